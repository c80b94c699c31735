#include "Tasks/keeper_table.h"

#include "Tasks/resource_math.h"

namespace rhubarbhaven::tasks {

auto KeeperTable::Find(const std::string& key) -> KeeperTask* {
  const auto found = tasks_.find(key);
  return found == tasks_.end() ? nullptr : &found->second;
}

auto KeeperTable::Add(const WorkerTaskName& name) -> KeeperTask& {
  const std::string key = AttemptKey(name.task, name.attempt);
  KeeperTask& task = tasks_[key];
  task.name = name;
  task.key = key;
  task.text = FormatWorkerTaskName(name);
  return task;
}

auto KeeperTable::Forget(const std::string& key, TimePoint until) -> void {
  // First, as the key may be the task's own.
  forgotten_[key] = until;
  tasks_.erase(key);
}

auto KeeperTable::IsForgotten(TimePoint now, const std::string& key) const
    -> bool {
  const auto found = forgotten_.find(key);
  return found != forgotten_.end() && now < found->second;
}

auto KeeperTable::HasOtherAttempt(const WorkerTaskName& name) const -> bool {
  for (const auto& [key, task] : tasks_) {
    const schema::TaskId& other = task.name.task;
    const bool same = other.partner() == name.task.partner() &&
                      other.job() == name.task.job() &&
                      other.index() == name.task.index() &&
                      other.job_version() == name.task.job_version();
    if (same && task.name.attempt != name.attempt && !task.over()) {
      return true;
    }
  }
  return false;
}

auto KeeperTable::held() const -> schema::Resources {
  schema::Resources total;
  for (const auto& [key, task] : tasks_) {
    if (!task.over() && task.refuse_why.empty()) {
      total = Sum(total, Larger(task.name.admitted, task.seen));
    }
  }
  return total;
}

auto KeeperTable::Running() const -> std::vector<schema::RunningTask> {
  std::vector<schema::RunningTask> running;
  for (const auto& [key, task] : tasks_) {
    if (task.phase == KeeperTask::Phase::kRunning) {
      running.push_back(RunningOf(task));
    }
  }
  return running;
}

auto KeeperTable::Ended() const -> std::vector<schema::EndedTask> {
  std::vector<schema::EndedTask> ended;
  for (const auto& [key, task] : tasks_) {
    if (task.phase == KeeperTask::Phase::kEnded && !task.recorded) {
      ended.push_back(EndedOf(task));
    }
  }
  return ended;
}

auto KeeperTable::Refused() const -> std::vector<schema::RefusedOrder> {
  std::vector<schema::RefusedOrder> refused;
  for (const auto& [key, task] : tasks_) {
    if (task.phase == KeeperTask::Phase::kRefused && !task.recorded) {
      refused.push_back(RefusedOf(task));
    }
  }
  return refused;
}

auto RunningOf(const KeeperTask& task) -> schema::RunningTask {
  schema::RunningTask running;
  *running.mutable_task() = task.name.task;
  running.set_attempt(task.name.attempt);
  running.set_checkpoint(task.checkpoint);
  running.set_progress_permille(task.progress_permille);
  running.set_throttled(task.throttled);
  return running;
}

auto EndedOf(const KeeperTask& task) -> schema::EndedTask {
  schema::EndedTask ended;
  *ended.mutable_task() = task.name.task;
  ended.set_attempt(task.name.attempt);
  ended.set_outcome(task.outcome);
  ended.set_checkpoint(task.checkpoint);
  ended.set_detail(task.detail);
  return ended;
}

auto RefusedOf(const KeeperTask& task) -> schema::RefusedOrder {
  schema::RefusedOrder refused;
  *refused.mutable_task() = task.name.task;
  refused.set_attempt(task.name.attempt);
  refused.set_why(task.refuse_why);
  return refused;
}

}  // namespace rhubarbhaven::tasks
