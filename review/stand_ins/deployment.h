#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_DEPLOYMENT_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_DEPLOYMENT_H_

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "stand_ins/executors.h"
#include "stand_ins/record.h"
#include "stand_ins/store.h"

namespace review {

// Paths that a case is started with.
struct CasePaths {
  // The daemon as the deploy file builds it.
  std::string program;
  // A temporary folder for settings and logs.
  std::string folder;
};

// A small deployment on loopback: a store, executors with an agent each, and
// entries, run by the deploy file's command with settings like its templates.
// The constructor throws std::runtime_error if something can't be started.
class Deployment {
 public:
  Deployment(CasePaths paths,
             int entries,
             int agents,
             ExecutorOptions options,
             Record* record);
  // The same with the names of the agents, and the address and the figures of
  // the policy service (`Advice` of the queue); an empty address for none.
  Deployment(CasePaths paths,
             int entries,
             const std::vector<std::string>& agents,
             const std::string& advice_address,
             const nlohmann::json& advice,
             ExecutorOptions options,
             Record* record);
  Deployment(const Deployment&) = delete;
  auto operator=(const Deployment&) -> Deployment& = delete;
  // Ends all processes that it started.
  ~Deployment();

  // Starts the entries and the first `agents` agents with their executors (all
  // by default), and waits until all entries are ready; false if they aren't
  // within 30 s.
  auto Begin(int agents = -1) -> bool;
  // Starts an agent, and its executor joins.
  auto AddMachine(int agent) -> void;
  auto KillEntry(int entry) -> void;
  // Takes a machine away for good: its agent's process and its executor.
  auto RemoveMachine(int agent) -> void;
  // The entry whose claim is the newest in the store; -1 if there is none.
  auto Owner() -> int;
  auto entries() const -> int;

  // Sends a call as a client does, with a deadline of 3 s: to `entry`, then to
  // the next ones while there is no answer, a 502 or a 504, four times more at
  // most. Returns the last answer.
  auto Send(int entry,
            const std::string& method,
            const std::string& id,
            const std::string& body) -> HttpAnswer;
  // Makes the job known to the executors and submits it. True if accepted.
  auto Submit(int entry,
              const std::string& id,
              const nlohmann::json& body,
              Work work) -> bool;
  // `State` of the job, or the status if that isn't 200.
  auto StateOf(int entry, const std::string& id) -> std::string;

  auto executors() -> Executors& { return executors_; }
  auto store() -> Store& { return store_; }

 private:
  struct Process {
    std::string name;
    nlohmann::json settings;
    std::string callers;
    std::string ready;
    pid_t id = -1;
  };

  auto Launch(Process* process) -> void;
  auto Kill(Process* process) -> void;
  auto Ready(const Process& process) -> bool;

  CasePaths paths_;
  Record* record_;
  Store store_;
  Executors executors_;
  std::vector<Process> entries_;
  std::vector<Process> agents_;
};

// An id of a job: 16 hexadecimal digits.
auto JobId(int number) -> std::string;

}  // namespace review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_DEPLOYMENT_H_
