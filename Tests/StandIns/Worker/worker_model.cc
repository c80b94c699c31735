#include "Tests/StandIns/Worker/worker_model.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSampleInterval{1000};
constexpr std::size_t kSamplesKept = 120;
constexpr uint32_t kPermille = 1000;

auto RejectCommand(const std::string& problem) -> schema::WorkerReply {
  schema::WorkerReply reply;
  reply.set_problem(problem);
  return reply;
}

}  // namespace

auto WorkerModel::Task::running() const -> bool {
  return reported.state() == schema::WORKER_TASK_RUNNING ||
         reported.state() == schema::WORKER_TASK_THROTTLED;
}

auto WorkerModel::Task::finish_at() const -> TimePoint {
  const milliseconds left = work - done;
  return updated +
         (reported.state() == schema::WORKER_TASK_THROTTLED ? 2 * left : left);
}

WorkerModel::WorkerModel(WorkerModelOptions options)
    : options_(std::move(options)) {}

auto WorkerModel::Clock(TimePoint now) const -> uint64_t {
  const auto since = std::chrono::floor<milliseconds>(now.time_since_epoch());
  return static_cast<uint64_t>(since.count()) + 1;
}

auto WorkerModel::UpdateProgress(Task* task, TimePoint now) -> void {
  if (!task->running() || now <= task->updated) {
    return;
  }
  auto passed = std::chrono::floor<milliseconds>(now - task->updated);
  task->updated += passed;
  if (task->reported.state() == schema::WORKER_TASK_THROTTLED) {
    passed /= 2;
  }
  task->done = std::min(task->work, task->done + passed);
  if (task->work.count() > 0) {
    task->reported.set_progress_permille(
        static_cast<uint32_t>(kPermille * task->done / task->work));
  }
}

auto WorkerModel::End(Task* task,
                      schema::WorkerTaskState state,
                      const std::string& event,
                      TimePoint at) -> void {
  UpdateProgress(task, at);
  task->reported.set_state(state);
  task->reported.clear_used();
  if (options_.on_event) {
    options_.on_event(event, task->reported.name(), task->reported.attempt(),
                      at);
  }
}

auto WorkerModel::Advance(TimePoint now) -> void {
  for (auto& [name, task] : tasks_) {
    if (!task.running()) {
      continue;
    }
    const TimePoint finish = task.finish_at();
    if (task.lease_end <= now && task.lease_end < finish) {
      task.reported.set_detail("lease ran out");
      End(&task, schema::WORKER_TASK_STOPPED, "stop", task.lease_end);
    } else if (finish <= now && task.fails) {
      task.reported.set_detail("the command failed");
      End(&task, schema::WORKER_TASK_FAILED, "fail", finish);
    } else if (finish <= now) {
      End(&task, schema::WORKER_TASK_FINISHED, "finish", finish);
    } else {
      UpdateProgress(&task, now);
    }
  }
  TakeSample(now);
}

auto WorkerModel::Expired(TimePoint now,
                          uint64_t incarnation,
                          uint64_t not_after_ms) const -> bool {
  const bool other = incarnation != 0 && incarnation != options_.incarnation;
  return other || (not_after_ms != 0 && Clock(now) > not_after_ms);
}

auto WorkerModel::Start(TimePoint now, const schema::WorkerStart& start)
    -> schema::WorkerReply {
  Advance(now);
  schema::WorkerReply reply;
  const auto known = tasks_.find(start.name());
  if (known != tasks_.end()) {
    reply.set_ok(true);
    *reply.mutable_task() = known->second.reported;
    return reply;
  }
  if (Expired(now, start.incarnation(), start.not_after_ms())) {
    reply.set_expired(true);
    reply.set_problem("not_after_ms has passed, or another incarnation");
    return reply;
  }
  Task task;
  task.reported.set_name(start.name());
  task.reported.set_attempt(start.attempt());
  task.reported.set_checkpoint(start.checkpoint());
  task.reported.set_state(schema::WORKER_TASK_RUNNING);
  task.need = start.need();
  task.used = start.need();
  task.work = options_.run;
  long run_ms = 0;
  unsigned use = 0;
  const int parsed =
      std::sscanf(start.command().c_str(), "run %ld use %u", &run_ms, &use);
  if (parsed >= 1) {
    task.work = milliseconds(run_ms);
  }
  if (parsed >= 2) {
    task.used.set_millicores(use);
  }
  long done_ms = 0;
  if (std::sscanf(start.checkpoint().c_str(), "done=%ld", &done_ms) == 1) {
    task.done = std::min(task.work, milliseconds(done_ms));
  }
  task.fails = fail_all_ || start.command() == "fail";
  if (task.fails) {
    task.work = task.done;
  }
  task.updated = now;
  task.lease_end = now + milliseconds(start.lease_ms());
  *task.reported.mutable_used() = task.used;
  Task& added = tasks_[start.name()] = std::move(task);
  if (options_.on_event) {
    options_.on_event("start", start.name(), start.attempt(), now);
  }
  Advance(now);
  reply.set_ok(true);
  *reply.mutable_task() = added.reported;
  return reply;
}

auto WorkerModel::Renew(TimePoint now, const schema::WorkerRenew& renew)
    -> schema::WorkerReply {
  Advance(now);
  schema::WorkerReply reply;
  if (Expired(now, renew.incarnation(), renew.not_after_ms())) {
    reply.set_expired(true);
    reply.set_problem("not_after_ms has passed, or another incarnation");
    return reply;
  }
  for (const std::string& name : renew.names()) {
    const auto task = tasks_.find(name);
    if (task != tasks_.end() && task->second.running()) {
      task->second.lease_end = std::max(task->second.lease_end,
                                        now + milliseconds(renew.lease_ms()));
    }
  }
  reply.set_ok(true);
  return reply;
}

auto WorkerModel::Command(TimePoint now,
                          const std::string& verb,
                          const schema::WorkerCommand& command)
    -> schema::WorkerReply {
  Advance(now);
  const auto found = tasks_.find(command.name());
  if (verb == "forget") {
    schema::WorkerReply reply;
    if (found != tasks_.end() && found->second.running()) {
      return RejectCommand("the task runs");
    }
    if (found != tasks_.end()) {
      tasks_.erase(found);
    }
    reply.set_ok(true);
    return reply;
  }
  if (found == tasks_.end()) {
    return RejectCommand("no such task");
  }
  Task& task = found->second;
  if (task.running()) {
    if (verb == "checkpoint") {
      task.reported.set_checkpoint("done=" + std::to_string(task.done.count()));
    } else if (verb == "throttle") {
      task.reported.set_state(schema::WORKER_TASK_THROTTLED);
    } else if (verb == "unthrottle") {
      task.reported.set_state(schema::WORKER_TASK_RUNNING);
    } else if (verb == "stop") {
      End(&task, schema::WORKER_TASK_STOPPED, "stop", now);
    } else {
      return RejectCommand("no such command: " + verb);
    }
  }
  schema::WorkerReply reply;
  reply.set_ok(true);
  *reply.mutable_task() = task.reported;
  return reply;
}

auto WorkerModel::Status(TimePoint now) -> schema::WorkerStatus {
  Advance(now);
  schema::WorkerStatus status;
  status.set_incarnation(options_.incarnation);
  *status.mutable_capacity() = options_.capacity;
  status.set_clock_ms(Clock(now));
  for (const auto& [name, task] : tasks_) {
    schema::WorkerTask* reported = status.add_tasks();
    *reported = task.reported;
    if (task.running()) {
      reported->set_lease_left_ms(static_cast<uint32_t>(
          std::chrono::floor<milliseconds>(task.lease_end - now).count()));
    }
  }
  const auto visible = std::find_if(
      samples_.rbegin(), samples_.rend(), [&](const Sample& sample) -> bool {
        return now - sample.at >= options_.usage_lag;
      });
  if (visible != samples_.rend()) {
    const auto age = std::chrono::floor<milliseconds>(now - visible->at);
    for (schema::WorkerUsage usage : visible->status.usage()) {
      usage.set_age_ms(static_cast<uint32_t>(age.count()));
      *status.add_usage() = std::move(usage);
    }
  }
  return status;
}

auto WorkerModel::TakeSample(TimePoint now) -> void {
  if (!samples_.empty() && now - samples_.back().at < kSampleInterval) {
    return;
  }
  Sample sample;
  sample.at = now;
  for (const auto& [name, task] : tasks_) {
    if (!task.running()) {
      continue;
    }
    schema::WorkerUsage* usage = sample.status.add_usage();
    usage->set_name(name);
    *usage->mutable_used() = task.used;
    usage->set_service_p99_us(service_p99_us_);
    for (const auto& [other, neighbour] : tasks_) {
      if (other != name && neighbour.running()) {
        usage->add_beside(other);
      }
    }
  }
  samples_.push_back(std::move(sample));
  if (samples_.size() > kSamplesKept) {
    samples_.pop_front();
  }
}

auto WorkerModel::running_need() const -> schema::Resources {
  schema::Resources total;
  for (const auto& [name, task] : tasks_) {
    if (task.running()) {
      total.set_millicores(total.millicores() + task.need.millicores());
      total.set_memory_mb(total.memory_mb() + task.need.memory_mb());
      total.set_accelerators(total.accelerators() + task.need.accelerators());
    }
  }
  return total;
}

auto WorkerModel::IsRunning(const std::string& name) const -> bool {
  const auto found = tasks_.find(name);
  return found != tasks_.end() && found->second.running();
}

}  // namespace rhubarbhaven
