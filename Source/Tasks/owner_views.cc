#include <absl/strings/str_cat.h>

#include "Tasks/owner_impl.h"

namespace rhubarbhaven {

auto Owner::Impl::StateOf(const tasks::RegisterJob& job,
                          const schema::TaskState* state,
                          const tasks::PlacedAttempt* attempt) const
    -> std::string {
  if (state != nullptr && state->placed()) {
    if (attempt != nullptr && attempt->stop != Stop::kNone) {
      return "stopping";
    }
    return attempt != nullptr && attempt->running ? "running" : "placed";
  }
  if (state != nullptr && state->last_outcome() == schema::FINISHED) {
    return "finished";
  }
  if (job.job.cancelled()) {
    return "cancelled";
  }
  return state != nullptr && tasks::IsOver(job, *state) ? "failed" : "waiting";
}

auto Owner::Impl::Tasks() const -> std::vector<TaskView> {
  std::vector<TaskView> views;
  for (const auto& [key, job] : register_.jobs()) {
    for (uint32_t index = 0; index < job.job.tasks(); ++index) {
      const std::string name = TaskName(job.Task(index));
      const auto known = fold_.tasks().find(name);
      const schema::TaskState* state =
          known == fold_.tasks().end() ? nullptr : &known->second;
      const tasks::PlacedAttempt* attempt = placed_.Find(name);
      TaskView& view = views.emplace_back();
      view.task = job.Task(index);
      view.state = StateOf(job, state, attempt);
      if (state != nullptr) {
        view.attempt = state->attempt();
        view.instance = state->placed() ? state->instance() : "";
        view.why = state->detail();
        view.evictions = state->evictions();
      }
      if (attempt != nullptr && !attempt->why.empty()) {
        view.why = attempt->why;
      }
    }
  }
  return views;
}

auto Owner::Impl::Instances(TimePoint now) const -> std::vector<InstanceView> {
  std::vector<InstanceView> views;
  for (const auto& [name, entry] : register_.instances()) {
    InstanceView& view = views.emplace_back();
    view.instance = name;
    view.state = "unknown";
    view.tasks = static_cast<uint32_t>(placed_.On(name).size());
    if (scheduler_ != nullptr) {
      const std::string why = scheduler_->IneligibleReason(now, name);
      view.state = why.empty() || why == "full" ? "leased" : why;
    }
    const tasks::AgentState* agent = agents_.Find(name);
    if (agent != nullptr && agent->confirmed()) {
      view.agent = agent->agent;
      view.incarnation = agent->instance_incarnation;
      view.unresponsive_for =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              now - agent->last_request_at);
    }
  }
  return views;
}

auto Owner::Impl::Explain(TimePoint now, const schema::TaskId& task) const
    -> std::string {
  const tasks::RegisterJob* job = register_.FindJob(task);
  if (job == nullptr) {
    return "no such job in this cell";
  }
  const std::string name = TaskName(task);
  const auto known = fold_.tasks().find(name);
  const schema::TaskState* state =
      known == fold_.tasks().end() ? nullptr : &known->second;
  const tasks::PlacedAttempt* attempt = placed_.Find(name);
  std::string what = StateOf(*job, state, attempt);
  if (what == "waiting") {
    if (scheduler_ == nullptr) {
      return "waiting: this process does not own the cell";
    }
    return absl::StrCat("waiting: ", scheduler_->Explain(now, task).text);
  }
  if (what == "failed") {
    return absl::StrCat(
        "failed: gave up after ", state->failures(), " failures and ",
        state->crashes(),
        " crashes of its instance, the last: ", state->detail());
  }
  if (state != nullptr && state->placed()) {
    return absl::StrCat(what, ": attempt ", state->attempt(), " on ",
                        state->instance(),
                        attempt != nullptr && !attempt->why.empty()
                            ? absl::StrCat(", ", attempt->why)
                            : "");
  }
  return what;
}

}  // namespace rhubarbhaven
