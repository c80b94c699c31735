#include "Tasks/supervised_attempts.h"

#include "Tasks/resource_math.h"

namespace rhubarbhaven::tasks {

auto SupervisedAttempts::Find(const std::string& key) -> SupervisedAttempt* {
  const auto found = tasks_.find(key);
  return found == tasks_.end() ? nullptr : &found->second;
}

auto SupervisedAttempts::Add(const WorkerTaskName& name) -> SupervisedAttempt& {
  const std::string key = AttemptKey(name.task, name.attempt);
  SupervisedAttempt& task = tasks_[key];
  task.name = name;
  task.key = key;
  task.worker_name = FormatWorkerTaskName(name);
  return task;
}

auto SupervisedAttempts::Forget(const std::string& key, TimePoint until)
    -> void {
  // Must precede the erase: `key` may be a reference into the erased attempt.
  forgotten_[key] = until;
  tasks_.erase(key);
}

auto SupervisedAttempts::IsForgotten(TimePoint now,
                                     const std::string& key) const -> bool {
  const auto found = forgotten_.find(key);
  return found != forgotten_.end() && now < found->second;
}

auto SupervisedAttempts::HasOtherAttempt(const WorkerTaskName& name) const
    -> bool {
  for (const auto& [key, task] : tasks_) {
    const schema::TaskId& other = task.name.task;
    const bool same = other.partner() == name.task.partner() &&
                      other.job() == name.task.job() &&
                      other.index() == name.task.index() &&
                      other.job_version() == name.task.job_version();
    if (same && task.name.attempt != name.attempt && !task.is_final()) {
      return true;
    }
  }
  return false;
}

auto SupervisedAttempts::held() const -> schema::Resources {
  schema::Resources total;
  for (const auto& [key, task] : tasks_) {
    if (!task.is_final() && task.reject_reason.empty()) {
      total = Sum(total, Larger(task.name.admitted, task.observed_usage));
    }
  }
  return total;
}

auto SupervisedAttempts::Running() const -> std::vector<schema::RunningTask> {
  std::vector<schema::RunningTask> running;
  for (const auto& [key, task] : tasks_) {
    if (task.phase == SupervisedAttempt::Phase::kRunning) {
      running.push_back(ToRunningTask(task));
    }
  }
  return running;
}

auto SupervisedAttempts::Ended() const -> std::vector<schema::EndedTask> {
  std::vector<schema::EndedTask> ended;
  for (const auto& [key, task] : tasks_) {
    if (task.phase == SupervisedAttempt::Phase::kEnded && !task.recorded) {
      ended.push_back(ToEndedTask(task));
    }
  }
  return ended;
}

auto SupervisedAttempts::Rejected() const -> std::vector<schema::RefusedOrder> {
  std::vector<schema::RefusedOrder> refused;
  for (const auto& [key, task] : tasks_) {
    if (task.phase == SupervisedAttempt::Phase::kRejected && !task.recorded) {
      refused.push_back(ToRefusedOrder(task));
    }
  }
  return refused;
}

auto ToRunningTask(const SupervisedAttempt& task) -> schema::RunningTask {
  schema::RunningTask running;
  *running.mutable_task() = task.name.task;
  running.set_attempt(task.name.attempt);
  running.set_checkpoint(task.checkpoint);
  running.set_progress_permille(task.progress_permille);
  running.set_throttled(task.throttled);
  return running;
}

auto ToEndedTask(const SupervisedAttempt& task) -> schema::EndedTask {
  schema::EndedTask ended;
  *ended.mutable_task() = task.name.task;
  ended.set_attempt(task.name.attempt);
  ended.set_outcome(task.outcome);
  ended.set_checkpoint(task.checkpoint);
  ended.set_detail(task.detail);
  return ended;
}

auto ToRefusedOrder(const SupervisedAttempt& task) -> schema::RefusedOrder {
  schema::RefusedOrder refused;
  *refused.mutable_task() = task.name.task;
  refused.set_attempt(task.name.attempt);
  refused.set_why(task.reject_reason);
  return refused;
}

}  // namespace rhubarbhaven::tasks
