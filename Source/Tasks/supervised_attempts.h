#ifndef RHUBARBHAVEN_TASKS_SUPERVISED_ATTEMPTS_H_
#define RHUBARBHAVEN_TASKS_SUPERVISED_ATTEMPTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Tasks/worker_task_name.h"

namespace rhubarbhaven::tasks {

// State of one attempt of a task, as recorded by the agent.
struct SupervisedAttempt {
  enum class Phase {
    // Ordered by the owner; the worker has not been called yet.
    kAccepted,
    // The start call is pending.
    kStarting,
    // It is not known whether the worker has started the attempt; a later
    // status resolves this.
    kUnresolved,
    kRunning,
    // The worker reported the outcome.
    kEnded,
    // The attempt provably never started, and this agent will not start it.
    kRejected,
  };
  enum class Stop { kNone, kStop, kCheckpointAndStop };

  WorkerTaskName name;
  // Key in the table (see AttemptKey); `worker_name` is the name used in calls
  // to the worker.
  std::string key;
  std::string worker_name;
  Phase phase = Phase::kAccepted;
  Stop stop = Stop::kNone;
  std::string command;
  std::string checkpoint;
  schema::Resources observed_usage;
  uint32_t progress_permille = 0;
  bool throttled = false;
  bool want_throttled = false;
  // If not empty, the order is rejected with this reason as soon as it is
  // certain that the attempt has not started.
  std::string reject_reason;
  // No start of this attempt, sent by any incarnation of this agent, can reach
  // the worker after this point.
  TimePoint start_not_after = TimePoint::min();
  // When the worker first reported the attempt as running.
  TimePoint running_since = TimePoint::min();
  bool call_pending = false;
  TimePoint retry_at = TimePoint::min();
  int checkpoint_calls = 0;
  bool checkpointed = false;
  schema::TaskOutcome outcome = schema::OUTCOME_UNSPECIFIED;
  std::string detail;
  // The owner confirmed that the end is recorded in the log.
  bool recorded = false;

  auto is_final() const -> bool {
    return phase == Phase::kEnded || phase == Phase::kRejected;
  }
};

// All attempts known to an agent, keyed by `AttemptKey`.
class SupervisedAttempts {
 public:
  auto Find(const std::string& key) -> SupervisedAttempt*;
  auto Add(const WorkerTaskName& name) -> SupervisedAttempt&;
  // Removes the attempt and keeps its key until `until`, so that a late order
  // cannot start it again.
  auto Forget(const std::string& key, TimePoint until) -> void;
  auto IsForgotten(TimePoint now, const std::string& key) const -> bool;
  // True if another attempt of the same task has not ended.
  auto HasOtherAttempt(const WorkerTaskName& name) const -> bool;
  // Resources held by attempts that have not ended: for each, the larger of the
  // admitted and the observed usage.
  auto held() const -> schema::Resources;
  auto Running() const -> std::vector<schema::RunningTask>;
  auto Ended() const -> std::vector<schema::EndedTask>;
  auto Rejected() const -> std::vector<schema::RefusedOrder>;
  auto all() -> std::map<std::string, SupervisedAttempt>& { return tasks_; }
  auto all() const -> const std::map<std::string, SupervisedAttempt>& {
    return tasks_;
  }

 private:
  std::map<std::string, SupervisedAttempt> tasks_;
  std::map<std::string, TimePoint> forgotten_;
};

auto ToRunningTask(const SupervisedAttempt& task) -> schema::RunningTask;
auto ToEndedTask(const SupervisedAttempt& task) -> schema::EndedTask;
auto ToRefusedOrder(const SupervisedAttempt& task) -> schema::RefusedOrder;

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_SUPERVISED_ATTEMPTS_H_
