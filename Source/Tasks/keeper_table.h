#ifndef RHUBARBHAVEN_TASKS_KEEPER_TABLE_H_
#define RHUBARBHAVEN_TASKS_KEEPER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Tasks/worker_task_name.h"

namespace rhubarbhaven::tasks {

// One attempt, as an agent knows it.
struct KeeperTask {
  enum class Phase {
    // Ordered, not yet told to the worker.
    kAccepted,
    // The start is under way.
    kStarting,
    // Whether the worker has it is not known; a status will tell.
    kUnresolved,
    kRunning,
    // The worker said how it ended.
    kEnded,
    // Proved never to have started, and never will under this agent.
    kRefused,
  };
  enum class Stop { kNone, kStop, kCheckpointAndStop };

  WorkerTaskName name;
  // Its key in the table, and its name at the worker.
  std::string key;
  std::string text;
  Phase phase = Phase::kAccepted;
  Stop stop = Stop::kNone;
  std::string command;
  std::string checkpoint;
  schema::Resources seen;
  uint32_t progress_permille = 0;
  bool throttled = false;
  bool want_throttled = false;
  // Set if the order is refused once it is proved not to have started.
  std::string refuse_why;
  // No start of this attempt, from any incarnation of this agent, can reach
  // the worker after this point.
  TimePoint start_not_after = TimePoint::min();
  // When the worker was first heard to run it.
  TimePoint running_since = TimePoint::min();
  bool calling = false;
  TimePoint retry_at = TimePoint::min();
  int checkpoint_calls = 0;
  bool checkpointed = false;
  schema::TaskOutcome outcome = schema::OUTCOME_UNSPECIFIED;
  std::string detail;
  // The owner said that the end stands in the log.
  bool recorded = false;

  auto over() const -> bool {
    return phase == Phase::kEnded || phase == Phase::kRefused;
  }
};

// Every attempt that an agent knows, by its `AttemptKey`.
class KeeperTable {
 public:
  auto Find(const std::string& key) -> KeeperTask*;
  auto Add(const WorkerTaskName& name) -> KeeperTask&;
  // Remembers the name until `until`, so that a late order starts nothing.
  auto Forget(const std::string& key, TimePoint until) -> void;
  auto IsForgotten(TimePoint now, const std::string& key) const -> bool;
  // Another attempt of the same task that is not over.
  auto HasOtherAttempt(const WorkerTaskName& name) const -> bool;
  // What the attempts that are not over hold: the larger of admitted and seen.
  auto held() const -> schema::Resources;
  auto Running() const -> std::vector<schema::RunningTask>;
  auto Ended() const -> std::vector<schema::EndedTask>;
  auto Refused() const -> std::vector<schema::RefusedOrder>;
  auto all() -> std::map<std::string, KeeperTask>& { return tasks_; }
  auto all() const -> const std::map<std::string, KeeperTask>& {
    return tasks_;
  }

 private:
  std::map<std::string, KeeperTask> tasks_;
  std::map<std::string, TimePoint> forgotten_;
};

auto RunningOf(const KeeperTask& task) -> schema::RunningTask;
auto EndedOf(const KeeperTask& task) -> schema::EndedTask;
auto RefusedOf(const KeeperTask& task) -> schema::RefusedOrder;

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_KEEPER_TABLE_H_
