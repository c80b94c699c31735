#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_3_SMALL_DEPLOYMENT_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_3_SMALL_DEPLOYMENT_H_

#include <sys/types.h>

#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Tests/StandIns/Platform/platform_stand_in.h"
#include "review/stand_ins_3/executor.h"

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
  // HOST:PORT of the platform's store. If empty, it is the project's stand-in
  // with the queue /jobs/ at host queue.example.
  std::string store;
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
  // Whether every process that was started and not killed still runs.
  auto AllRun() -> bool;

 private:
  auto StartProgram(const DeploymentOptions& options,
                    const std::string& name,
                    const std::string& settings) -> void;

  std::unique_ptr<test::PlatformStandIn> platform_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::vector<std::string> fronts_;
  std::vector<std::string> readies_;
  std::vector<pid_t> processes_;
};

}  // namespace rhubarbhaven::review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_3_SMALL_DEPLOYMENT_H_
