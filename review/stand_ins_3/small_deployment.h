#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_3_SMALL_DEPLOYMENT_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_3_SMALL_DEPLOYMENT_H_

#include <sys/types.h>

#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/stand_ins_3/executor.h"
#include "review/stand_ins_3/store.h"

namespace rhubarbhaven::review {

// Lines "MILLISECONDS TEXT" with the time since the record was opened. Usable
// from any thread.
class Record {
 public:
  explicit Record(const std::string& path);
  auto Write(const std::string& text) -> void;
  // Milliseconds since the record was opened.
  auto Now() const -> int64_t;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  TimePoint opened_;
};

struct DeploymentOptions {
  int entries = 3;
  int executors = 6;
  // The program of the deploy file.
  std::string program;
  // Folder for settings and logs; it must exist.
  std::string folder;
  // HOST:PORT of the platform's store. If empty, a store is started that holds
  // a configuration with the queue /jobs/ at host queue.example.
  std::string store;
  // If not zero, each entry reaches the store over a path of its own, on which
  // an answer takes at least its size divided by this rate, in bytes a second.
  // Needs `store`.
  std::size_t entry_bytes_per_second = 0;
  // `Limits.LinkMbps` of the entries, in megabits a second.
  double link_mbps = 1000.0;
  // What all executors have in common; see `ExecutorOptions`.
  ExecutorOptions executor;
};

// The processes of a small deployment, with settings as `deploy/*.json` renders
// them, on loopback addresses: entries, and an agent beside each executor.
class SmallDeployment {
 public:
  explicit SmallDeployment(const DeploymentOptions& options);
  SmallDeployment(const SmallDeployment&) = delete;
  auto operator=(const SmallDeployment&) -> SmallDeployment& = delete;
  // Ends all processes.
  ~SmallDeployment();

  // Whether all entries were ready within `limit`.
  auto WaitReady(Milliseconds limit) -> bool;
  // Sends a client's request for job `id` to an entry and returns the status,
  // zero without an answer. `body` gets the answer's body.
  auto Call(int entry,
            const std::string& method,
            const std::string& id,
            std::string* body) -> int;
  auto executors() -> std::vector<std::unique_ptr<Executor>>& {
    return executors_;
  }
  auto entries() const -> int { return static_cast<int>(fronts_.size()); }
  // Ends the process of this entry with SIGKILL.
  auto KillEntry(int entry) -> void;
  // Sends SIGTERM to the process of this entry.
  auto TerminateEntry(int entry) -> void;
  // Whether the process of this entry has ended after a SIGTERM. It counts as
  // killed from then on.
  auto EntryHasEnded(int entry) -> bool;
  // Starts the program of a killed entry again, with the same settings.
  auto RestartEntry(int entry) -> void;
  // Whether every process that was started and not killed still runs.
  auto AllRun() -> bool;

 private:
  // Returns the process. Its settings are in the folder, as NAME.json.
  auto StartProgram(const std::string& name) -> pid_t;
  auto WriteSettings(const std::string& name, const std::string& settings)
      -> void;

  const std::string program_;
  const std::string folder_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<test::FaultProxy>> paths_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::vector<std::string> fronts_;
  std::vector<std::string> readies_;
  std::vector<pid_t> processes_;
};

}  // namespace rhubarbhaven::review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_3_SMALL_DEPLOYMENT_H_
