#include "Tasks/owner_tasks.h"

#include "Placement/placement.h"

namespace rhubarbhaven::tasks {

auto PlacedAttempts::Add(const schema::TaskState& state) -> PlacedAttempt& {
  const std::string name = TaskName(state.task());
  Remove(name);
  PlacedAttempt& attempt = attempts_[name];
  attempt.task = state.task();
  attempt.attempt = state.attempt();
  attempt.instance = state.instance();
  attempt.instance_incarnation = state.instance_incarnation();
  attempt.admitted = state.admitted();
  attempt.checkpoint = state.checkpoint();
  by_instance_[state.instance()].insert(name);
  return attempt;
}

auto PlacedAttempts::Remove(const std::string& name) -> void {
  const auto found = attempts_.find(name);
  if (found == attempts_.end()) {
    return;
  }
  const auto on = by_instance_.find(found->second.instance);
  on->second.erase(name);
  if (on->second.empty()) {
    by_instance_.erase(on);
  }
  attempts_.erase(found);
}

auto PlacedAttempts::Clear() -> void {
  attempts_.clear();
  by_instance_.clear();
}

auto PlacedAttempts::Find(const std::string& name) -> PlacedAttempt* {
  const auto found = attempts_.find(name);
  return found == attempts_.end() ? nullptr : &found->second;
}

auto PlacedAttempts::Find(const std::string& name) const
    -> const PlacedAttempt* {
  const auto found = attempts_.find(name);
  return found == attempts_.end() ? nullptr : &found->second;
}

auto PlacedAttempts::FindOn(const std::string& instance,
                            const schema::TaskId& task,
                            uint32_t attempt) -> PlacedAttempt* {
  PlacedAttempt* found = Find(TaskName(task));
  const bool same = found != nullptr && found->attempt == attempt &&
                    found->instance == instance;
  return same ? found : nullptr;
}

auto PlacedAttempts::On(const std::string& instance) const
    -> const std::set<std::string>& {
  static const std::set<std::string> kNone;
  const auto found = by_instance_.find(instance);
  return found == by_instance_.end() ? kNone : found->second;
}

}  // namespace rhubarbhaven::tasks
