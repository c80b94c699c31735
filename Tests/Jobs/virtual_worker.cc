#include "Tests/Jobs/virtual_worker.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace rhubarbhaven::jobs {
namespace {

constexpr uint32_t kTaskMillicores = 1000;
constexpr uint32_t kSlowdownFactor = 10;
constexpr std::chrono::milliseconds kCallTimeout{400};
constexpr std::chrono::milliseconds kStopTime{100};
constexpr std::chrono::milliseconds kListRetryInterval{5};
constexpr std::chrono::milliseconds kMaxLease{10000};

}  // namespace

VirtualWorker::VirtualWorker(VirtualTime* time,
                             std::string name,
                             WorkerObserver observer)
    : time_(time), name_(std::move(name)), observer_(std::move(observer)) {}

auto VirtualWorker::Clock() const -> WorkerTime {
  return std::chrono::duration_cast<WorkerTime>(time_->now() - born_);
}

auto VirtualWorker::Id() const -> std::string {
  return observer_.keeps_name
             ? MakeWorkerId(name_,
                            WorkerStart(std::chrono::duration_cast<WorkerTime>(
                                born_.time_since_epoch())))
             : absl::StrCat(name_, "-life-", lifetime_);
}

auto VirtualWorker::ReachesProcess(int lifetime) const -> bool {
  return !observer_.keeps_name || lifetime == lifetime_;
}

auto VirtualWorker::Accepts(const std::string& worker_id) const -> bool {
  return observer_.keeps_name ? WorkerNameOf(worker_id) == name_
                              : worker_id == Id();
}

auto VirtualWorker::PercentOf(const Run& run) const -> uint32_t {
  constexpr int64_t kAll = 100;
  const auto done = time_->now() - run.started;
  return static_cast<uint32_t>(
      std::min(kAll, kAll * done.count() / Duration(run.work).count()));
}

auto VirtualWorker::RunsUsingRoom() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(runs_.begin(), runs_.end(), [this](const auto& item) {
        return !observer_.is_opportunistic(item.second.task);
      }));
}

auto VirtualWorker::PortFor(const std::function<auto()->bool>& alive)
    -> WorkerPort {
  const auto guard = [alive](const WorkerPort::OnCall& done) {
    return [alive, done](TimePoint now, WorkerCallResult result) -> void {
      if (alive()) {
        done(now, result);
      }
    };
  };
  WorkerPort port;
  port.start = [this, guard](const StartCall& call,
                             const WorkerPort::OnCall& done) -> void {
    Order<StartCall>(
        call, [this](const StartCall& order) { return Start(order); },
        guard(done));
  };
  port.stop = [this, guard](const StopCall& call,
                            const WorkerPort::OnCall& done) -> void {
    Order<StopCall>(
        call, [this](const StopCall& order) { return Stop(order); },
        guard(done));
  };
  port.pace = [this, guard](const PaceCall& call,
                            const WorkerPort::OnCall& done) -> void {
    Order<PaceCall>(
        call, [](const PaceCall&) { return WorkerCallOutcome::kDone; },
        guard(done));
  };
  port.list = [this, alive](const ListCall& call,
                            const WorkerPort::OnListing& done) -> void {
    const auto guarded = [alive, done](TimePoint now,
                                       const WorkerListing& listing) -> void {
      if (alive()) {
        done(now, listing);
      }
    };
    if (down_) {
      time_->After(std::chrono::milliseconds(1), [this, guarded]() -> void {
        guarded(time_->now(), WorkerListing());
      });
      return;
    }
    if (unresponsive_ || removed_) {
      time_->After(call.wait + kCallTimeout, [this, guarded]() -> void {
        guarded(time_->now(), WorkerListing());
      });
      return;
    }
    time_->After(std::chrono::milliseconds(1), [this, call, guarded]() -> void {
      WaitAndList(call, time_->now() + call.wait, lifetime_, guarded);
    });
  };
  return port;
}

auto VirtualWorker::Heartbeat() -> WorkerHeartbeat {
  WorkerHeartbeat heartbeat;
  heartbeat.worker_id = Id();
  heartbeat.sequence = ++heartbeats_;
  heartbeat.service = "service";
  heartbeat.capacity.set_millicores(kMillicores);
  heartbeat.capacity.set_memory_mb(1 << 20);
  heartbeat.labels = {"kind", "rack"};
  heartbeat.draining = draining_;
  return heartbeat;
}

auto VirtualWorker::Crash() -> void {
  ++lifetime_;
  down_ = false;
  runs_.clear();
  last_ended_run_.clear();
  reported_ends_.clear();
  last_end_number_ = 0;
  fence_ = 0;
  lease_until_ = WorkerTime(0);
  draining_ = false;
  if (observer_.keeps_name) {
    born_ = time_->now();
    heartbeats_ = 0;
  }
}

auto VirtualWorker::CrashFor(std::chrono::milliseconds down) -> void {
  const auto runs = runs_;
  Crash();
  if (observer_.keeps_name) {
    born_ += down;
  }
  down_ = true;
  time_->After(down, [this, lifetime = lifetime_]() -> void {
    if (lifetime == lifetime_) {
      down_ = false;
    }
  });
  for (const auto& [task, run] : runs) {
    observer_.on_crash(run.task);
  }
}

auto VirtualWorker::CrashLater(const std::string& task,
                               uint64_t number,
                               std::chrono::milliseconds after) -> void {
  time_->After(after, [this, task, number]() -> void {
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.number == number) {
      CrashFor(observer_.restart_delay);
    }
  });
}

auto VirtualWorker::Remove() -> void {
  // Orders in transit carry the earlier worker id and are rejected.
  Crash();
  removed_ = true;
}

auto VirtualWorker::HasRoom() const -> bool {
  return !removed_ && !down_ && !draining_ &&
         (RunsUsingRoom() + 1) * kTaskMillicores <= kMillicores;
}

auto VirtualWorker::RunsOneOf(const std::string& prefix) const -> bool {
  const auto first = runs_.lower_bound(prefix);
  return first != runs_.end() && first->first.starts_with(prefix);
}

auto VirtualWorker::Runs(const std::string& task) const -> bool {
  return runs_.contains(task);
}

auto VirtualWorker::ExpireLease() -> void {
  if (Clock() < lease_until_) {
    return;
  }
  for (auto& end : reported_ends_) {
    end.lease_lapsed = true;
  }
  while (!runs_.empty()) {
    EndRun(runs_.begin()->first, RUN_LEASE_LAPSED);
    reported_ends_.back().lease_lapsed = true;
  }
}

auto VirtualWorker::ExtendLease(WorkerTime deadline) -> void {
  if (deadline.count() == 0) {
    return;
  }
  lease_until_ =
      std::max(lease_until_, std::min(deadline, Clock() + kMaxLease));
  time_->After(lease_until_ - Clock() + std::chrono::milliseconds(1),
               [this]() -> void { ExpireLease(); });
}

auto VirtualWorker::Start(const StartCall& call) -> WorkerCallOutcome {
  if (!Accepts(call.worker_id)) {
    return WorkerCallOutcome::kOtherWorkerId;
  }
  if (call.fence < fence_) {
    return WorkerCallOutcome::kFenced;
  }
  fence_ = call.fence;
  if (Clock() >= call.deadline) {
    return WorkerCallOutcome::kLate;
  }
  const std::string task = DescribeTask(call.task);
  const auto existing = runs_.find(task);
  if (existing != runs_.end() && existing->second.run == call.run) {
    ExtendLease(call.deadline);
    return WorkerCallOutcome::kDone;
  }
  ExtendLease(call.deadline);
  const auto over = last_ended_run_.find(task);
  if (over != last_ended_run_.end() && call.run <= over->second) {
    return WorkerCallOutcome::kRunOver;
  }
  if (!observer_.is_opportunistic(call.task) &&
      (RunsUsingRoom() + 1) * kTaskMillicores > kMillicores) {
    return WorkerCallOutcome::kNoRoom;
  }
  const uint64_t number = ++last_run_number_;
  const auto work = observer_.work(call.task);
  runs_[task] = {call.task, call.run, false, number, time_->now(), work};
  observer_.on_start(name_, call.task, call.run);
  observer_.on_payload(call.task, call.payload);
  if (const auto after = observer_.crashes_after(call.task)) {
    CrashLater(task, number, *after);
  }
  time_->After(work, [this, task, number]() -> void {
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.number == number &&
        !run->second.stopping) {
      EndRun(task, observer_.fails(run->second.task) ? RUN_FAILED : RUN_DONE);
    }
  });
  return WorkerCallOutcome::kDone;
}

auto VirtualWorker::Stop(const StopCall& call) -> WorkerCallOutcome {
  if (!Accepts(call.worker_id)) {
    return WorkerCallOutcome::kOtherWorkerId;
  }
  if (call.fence < fence_) {
    return WorkerCallOutcome::kFenced;
  }
  fence_ = call.fence;
  const std::string task = DescribeTask(call.task);
  last_ended_run_[task] = std::max(last_ended_run_[task], call.run);
  const auto run = runs_.find(task);
  if (run != runs_.end() && run->second.run <= call.run &&
      !run->second.stopping) {
    run->second.stopping = true;
    time_->After(kStopTime, [this, task, number = run->second.number]() {
      const auto still = runs_.find(task);
      if (still != runs_.end() && still->second.number == number) {
        EndRun(task, RUN_STOPPED);
      }
    });
  }
  return WorkerCallOutcome::kDone;
}

auto VirtualWorker::List(const ListCall& call) -> WorkerListing {
  WorkerListing listing;
  listing.answered = true;
  listing.clock = Clock();
  listing.worker_id = Id();
  listing.other_worker_id = !Accepts(call.worker_id);
  listing.fenced = call.fence < fence_;
  if (listing.other_worker_id || listing.fenced) {
    return listing;
  }
  fence_ = call.fence;
  // A later process of the same name has carried out the call by the time that
  // its answer tells the two apart.
  listing.other_worker_id = !MayBeSameWorker(call.worker_id, Id());
  ExtendLease(call.deadline);
  std::erase_if(reported_ends_, [this, &call](const End& end) -> bool {
    if (end.row.number() > call.forget_through) {
      return false;
    }
    observer_.on_end(end.row.task(), end.row.end(), !end.lease_lapsed);
    return true;
  });
  for (const auto& [task, run] : runs_) {
    RunningTask row;
    *row.mutable_task() = run.task;
    row.set_run(run.run);
    row.set_percent(PercentOf(run));
    if (observer_.is_opportunistic(run.task)) {
      row.set_load(slowed_ ? kTaskMillicores / kSlowdownFactor
                           : kTaskMillicores);
    }
    listing.running.push_back(std::move(row));
  }
  for (const auto& end : reported_ends_) {
    listing.ended.push_back(end.row);
  }
  return listing;
}

auto VirtualWorker::WaitAndList(const ListCall& call,
                                TimePoint until,
                                int lifetime,
                                const WorkerPort::OnListing& done) -> void {
  const WorkerListing listing =
      ReachesProcess(lifetime) ? List(call) : WorkerListing();
  if (listing.ended.empty() && time_->now() < until && listing.answered &&
      !listing.other_worker_id && !listing.fenced) {
    time_->After(kListRetryInterval, [this, call, until, lifetime, done]() {
      WaitAndList(call, until, lifetime, done);
    });
    return;
  }
  time_->After(std::chrono::milliseconds(1), [this, done, listing]() -> void {
    done(time_->now(), listing);
  });
}

auto VirtualWorker::EndRun(const std::string& task, RunEnd end) -> void {
  const auto run = runs_.find(task);
  EndedTask row;
  row.set_number(++last_end_number_);
  *row.mutable_task() = run->second.task;
  row.set_run(run->second.run);
  row.set_end(end);
  last_ended_run_[task] = std::max(last_ended_run_[task], run->second.run);
  reported_ends_.push_back({row, false});
  if (end == RUN_DONE) {
    observer_.on_done(run->second.task);
  }
  runs_.erase(run);
}

template <typename Call>
auto VirtualWorker::Order(
    const Call& call,
    std::function<auto(const Call&)->WorkerCallOutcome> act,
    const WorkerPort::OnCall& done) -> void {
  if (down_) {
    // The port rejects connections while the worker is down, so nothing was
    // sent.
    time_->After(std::chrono::milliseconds(1), [this, done]() -> void {
      done(time_->now(), {WorkerCallOutcome::kUnhealthy});
    });
    return;
  }
  const bool unreachable = unresponsive_ || removed_;
  if (unreachable || time_->Chance(unanswered_)) {
    if (!unreachable && time_->Chance(0.5)) {
      time_->After(time_->Milliseconds(500, 9000),
                   [this, call, act, lifetime = lifetime_]() -> void {
                     if (ReachesProcess(lifetime)) {
                       act(call);
                     }
                   });
    }
    time_->After(kCallTimeout, [this, done]() -> void {
      done(time_->now(), {WorkerCallOutcome::kUnknown});
    });
    return;
  }
  const bool answer_lost = answers_lost_ > 0 && time_->Chance(answers_lost_);
  time_->After(
      time_->Milliseconds(1, 4),
      [this, call, act, done, answer_lost, lifetime = lifetime_]() -> void {
        const WorkerCallOutcome carried_out =
            ReachesProcess(lifetime) ? act(call) : WorkerCallOutcome::kUnknown;
        const WorkerCallOutcome outcome =
            answer_lost ? WorkerCallOutcome::kUnknown : carried_out;
        time_->After(
            answer_lost ? kCallTimeout : std::chrono::milliseconds(1),
            [this, done, outcome]() { done(time_->now(), {outcome}); });
      });
}

}  // namespace rhubarbhaven::jobs
