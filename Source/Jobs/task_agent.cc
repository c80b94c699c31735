#include "Jobs/task_agent.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "Jobs/job_work.h"
#include "Jobs/worker_id.h"

namespace rhubarbhaven::jobs {
namespace {

// A worker's lease ends this long before the agent's own, so that a renewal
// that is slightly delayed does not extend it beyond the agent's lease.
constexpr std::chrono::milliseconds kLeaseMargin{100};

auto Microseconds(TimePoint point) -> uint64_t {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          point.time_since_epoch())
          .count());
}

auto SameAmounts(const schema::Resources& left, const schema::Resources& right)
    -> bool {
  return left.millicores() == right.millicores() &&
         left.memory_mb() == right.memory_mb() &&
         left.accelerators() == right.accelerators();
}

// Whether the run is running or has ended by the listing.
auto Lists(const WorkerListing& listing, const CrashedRun& run) -> bool {
  const auto is_run = [&run](const auto& row) -> bool {
    return row.run() == run.run() &&
           DescribeTask(row.task()) == DescribeTask(run.task());
  };
  return std::any_of(listing.running.begin(), listing.running.end(), is_run) ||
         std::any_of(listing.ended.begin(), listing.ended.end(), is_run);
}

}  // namespace

TaskAgent::TaskAgent(TaskAgentOptions options, TaskAgentHooks hooks)
    : options_(options),
      hooks_(std::move(hooks)),
      start_check_([this](const ReadCall& call, const auto& done) -> void {
        hooks_.read_log(call, done);
      }),
      payloads_(options.max_payload_bytes) {}

auto TaskAgent::OnOrders(TimePoint now,
                         const std::string& peer,
                         const AgentOrders& orders) -> void {
  if (stopped_) {
    return;
  }
  active_since_ = active_since_.value_or(now);
  if (orders.fence() < fence_) {
    // The fence in the report notifies a replaced owner of its replacement.
    AgentReport report;
    report.set_fence(fence_);
    hooks_.report(peer, std::move(report));
    return;
  }
  if (orders.fence() > fence_ ||
      orders.owner_incarnation() != owner_incarnation_) {
    owner_incarnation_ = orders.owner_incarnation();
    AdoptFence(now, orders.fence());
  }
  orders_built_at_us_ = std::max(orders_built_at_us_, orders.built_at_us());
  owner_peer_ = peer;
  ordered_at_ = now;
  orders_received_.OnEvent(now);
  if (!LeaseHolds(now)) {
    // The owner may have started this worker's runs elsewhere during the gap.
    // Orders from before the gap must not start under a later lease.
    ++lease_number_;
  }
  RenewLease(now, orders);
  if (orders.worker_id() == heartbeat_.worker_id) {
    announced_with_runs_ = false;
  }
  evacuated_ = orders.evacuated();
  if (orders.crashes_of_incarnation() == options_.incarnation) {
    DiscardCrashes(now, orders.crashes_logged());
  }
  AcceptOrders(now, orders);
  RecoverWorker(now, orders.recorded_worker_id());
  owner_is_behind_ = orders.owner_is_behind();
  ExecuteOrders(now);
  ListIfDue(now);
  answer_by_ = answer_by_.value_or(now + options_.result_wait);
  ReportSettled(now);
}

auto TaskAgent::RenewLease(TimePoint now, const AgentOrders& orders) -> void {
  // A lease by the clock of another process would last longer than the owner
  // assumes.
  const auto from = ReportTime(now, options_.incarnation, orders);
  if (from) {
    lease_until_ = std::max(
        lease_until_, *from + std::chrono::milliseconds(orders.lease_ttl_ms()));
    grants_.OnEvent(now);
  }
}

auto TaskAgent::OnHeartbeat(TimePoint now, const WorkerHeartbeat& heartbeat)
    -> bool {
  // Without the start of its process, a heartbeat for a worker that states it
  // is another writer's.
  if (ended_worker_ids_.contains(heartbeat.worker_id) ||
      AddsStart(heartbeat_.worker_id, heartbeat.worker_id)) {
    return false;
  }
  if (heartbeat.worker_id == heartbeat_.worker_id) {
    const bool first = !std::exchange(described_, true);
    if (first) {
      sequence_.Reset(heartbeat.sequence);
    } else if (!sequence_.Accept(now, heartbeat.sequence)) {
      return true;
    }
    const bool drains = heartbeat.draining && !heartbeat_.draining;
    const bool resized = !SameAmounts(heartbeat.capacity, heartbeat_.capacity);
    heartbeat_ = heartbeat;
    if (first || drains || resized) {
      Report(now, /*with_running=*/true);
    }
    return true;
  }
  if (heartbeat_.worker_id.empty() || fence_ == 0) {
    UseWorker(now, heartbeat);
  } else {
    VerifyHeartbeat(heartbeat);
  }
  return true;
}

auto TaskAgent::UseWorker(TimePoint now, const WorkerHeartbeat& heartbeat)
    -> void {
  const bool same_name =
      !heartbeat_.worker_id.empty() &&
      WorkerNameOf(heartbeat_.worker_id) == WorkerNameOf(heartbeat.worker_id);
  heartbeat_ = heartbeat;
  sequence_.Reset(heartbeat.sequence);
  described_ = true;
  worker_left_ = false;
  if (same_name) {
    CarryOverStarts(now);
  }
  ResetWorker(now);
  announced_with_runs_ = WorkerStartOf(heartbeat.worker_id).has_value();
  ListIfDue(now);
}

auto TaskAgent::OnLeave(TimePoint now, const std::string& notice_of) -> void {
  // A notice without the start of the process is of the present one.
  const std::string worker_id = AddsStart(heartbeat_.worker_id, notice_of)
                                    ? heartbeat_.worker_id
                                    : notice_of;
  ended_worker_ids_.insert(worker_id);
  left_worker_id_ = worker_id;
  if (worker_id != heartbeat_.worker_id) {
    return;
  }
  // Both the heartbeats of this process and its notice may have been delayed
  // while runs are on a later one. An answer shows that no later one existed.
  worker_left_ = answered_ && !unverified_heartbeat_;
  heartbeat_ = WorkerHeartbeat();
  described_ = false;
  run_watch_.Clear();
  ResetWorker(now);
  Report(now, /*with_running=*/true);
}

auto TaskAgent::Tick(TimePoint now) -> void {
  active_since_ = active_since_.value_or(now);
  ticks_.OnEvent(now);
  start_check_.Tick(now);
  ExecuteOrders(now);
  ListIfDue(now);
  if (report_due_ || answer_by_) {
    ReportSettled(now);
  }
}

auto TaskAgent::Stop(TimePoint now) -> Duration {
  stopped_ = true;
  return LeaseLeft(now);
}

auto TaskAgent::next_wake() const -> TimePoint {
  TimePoint wake = TimePoint::max();
  if (stopped_) {
    return wake;
  }
  if (!listing_in_flight_ && !heartbeat_.worker_id.empty() && fence_ != 0) {
    wake = list_not_before_;
  }
  for (const auto& [number, order] : orders_) {
    if (order->state == OrderState::kWaiting && listed_) {
      wake = std::min(wake, order->not_before);
    }
  }
  return answer_by_ ? std::min(wake, *answer_by_) : wake;
}

auto TaskAgent::SinceEarlierOwner(TimePoint now) const -> Duration {
  // An earlier process of this agent has ended before this one was active.
  const auto since = std::max(earlier_owner_reported_at_, active_since_);
  return since ? now - *since : Duration(0);
}

auto TaskAgent::AdoptFence(TimePoint now, uint64_t fence) -> void {
  earlier_owner_reported_at_ = reported_at_;
  orders_built_at_us_ = 0;
  fence_ = fence;
  ++epoch_;
  run_watch_.OnCallsAbandoned(now);
  orders_.clear();
  results_seen_ = 0;
  listed_ = false;
  listing_in_flight_ = false;
  list_not_before_ = now;
  running_reported_at_ = std::nullopt;
}

auto TaskAgent::NoteCrash(TimePoint now) -> void {
  const auto worker = std::exchange(crashed_worker_, std::nullopt);
  if (!worker) {
    return;
  }
  const auto crashed = run_watch_.TakeCrashed();
  if (worker->draining) {
    // A draining worker ends as planned.
    return;
  }
  for (auto run : crashed) {
    if (Lists(listing_, run)) {
      // Called at the earlier process and carried out by the later one.
      continue;
    }
    run.set_worker_id(worker->worker_id);
    run.set_number(next_crash_++);
    hooks_.log({"crashed", run.task(), run.run(),
                absl::StrCat("its worker has crashed, it ran for ",
                             run.ran_ms(), " ms")});
    crashes_.push_back({now + options_.crash_report_period, run});
  }
}

auto TaskAgent::DiscardCrashes(TimePoint now, uint64_t stored) -> void {
  while (!crashes_.empty() && (crashes_.front().until < now ||
                               crashes_.front().run.number() <= stored)) {
    crashes_.pop_front();
  }
}

auto TaskAgent::ResetWorker(TimePoint now) -> void {
  ++epoch_;
  for (const auto& [number, order] : orders_) {
    // The ends that the previous process listed are not reported any more.
    order->after_end = 0;
    if (order->state != OrderState::kFinished && !order->carried_over) {
      Finish(order, order->is_stop ? ORDER_DONE : ORDER_REFUSED);
    }
  }
  forget_through_ = 0;
  listed_ = false;
  answered_ = false;
  announced_with_runs_ = false;
  replaced_ = false;
  listing_ = WorkerListing();
  listing_in_flight_ = false;
  list_not_before_ = now;
  unresponsive_since_ = std::nullopt;
  worker_lease_until_ = now + options_.max_lease;
  worker_clock_at_ = TimePoint();
}

auto TaskAgent::CarryOverStarts(TimePoint now) -> void {
  for (const auto& [number, order] : orders_) {
    const bool settled = order->state == OrderState::kFinished ||
                         (order->state == OrderState::kWaiting &&
                          !order->unconfirmed && !order->revoked);
    if (order->is_stop || settled) {
      continue;
    }
    order->carried_over = true;
    order->unconfirmed = true;
    order->revoked = true;
    order->outcome = ORDER_REFUSED;
    order->state = OrderState::kWaiting;
    order->not_before = now;
  }
}

auto TaskAgent::MayRunEarlierStarts() const -> bool {
  return std::any_of(orders_.begin(), orders_.end(),
                     [](const auto& item) -> bool {
                       return item.second->carried_over &&
                              item.second->state != OrderState::kFinished;
                     });
}

auto TaskAgent::ListIfDue(TimePoint now) -> void {
  if (stopped_ || listing_in_flight_ || heartbeat_.worker_id.empty() ||
      fence_ == 0 || now < list_not_before_) {
    return;
  }
  ListCall call;
  call.fence = fence_;
  // While the worker does not answer, a later process of the same name may have
  // replaced it. That process would forget ends of its own.
  call.forget_through = unresponsive_since_ ? 0 : forget_through_;
  call.worker_id = heartbeat_.worker_id;
  if (listed_ && !unresponsive_since_ && LeaseHolds(now)) {
    call.deadline = WorkerDeadline();
    call.wait = options_.list_wait;
    NoteGranted(now);
  }
  listing_in_flight_ = true;
  hooks_.worker.list(call,
                     [this, now, epoch = epoch_](
                         TimePoint then, WorkerListing listing) -> void {
                       if (epoch == epoch_) {
                         OnListing(now, then, std::move(listing));
                       }
                     });
}

auto TaskAgent::OnListing(TimePoint asked, TimePoint now, WorkerListing listing)
    -> void {
  listing_in_flight_ = false;
  if (stopped_) {
    return;
  }
  if (!listing.answered) {
    if (!unresponsive_since_) {
      unresponsive_since_ = asked;
    }
    list_not_before_ = now + options_.retry_pause;
    return;
  }
  if (listing.other_worker_id || listing.fenced) {
    if (listing.other_worker_id && !std::exchange(replaced_, true)) {
      hooks_.log_worker({"worker_answers_as_another", heartbeat_.worker_id});
    }
    list_not_before_ = now + options_.retry_pause;
    return;
  }
  if (AddsStart(listing.worker_id, heartbeat_.worker_id)) {
    heartbeat_.worker_id = listing.worker_id;
  }
  const bool was_unresponsive = unresponsive_since_.has_value();
  unresponsive_since_ = std::nullopt;
  const uint64_t newest_known = NewestListedEnd();
  const bool new_ends =
      !listing.ended.empty() && listing.ended.back().number() > newest_known;
  const bool first = !listed_;
  listings_.OnEvent(now);
  listing_ = std::move(listing);
  LogLapsedRuns(now, newest_known);
  listed_ = true;
  answered_ = true;
  NoteCrash(now);
  listed_at_ = asked;
  worker_clock_ = listing_.clock;
  worker_clock_at_ = now;
  const bool ends_wait = !listing_.ended.empty() &&
                         listing_.ended.back().number() > forget_through_;
  list_not_before_ = ends_wait && !first ? now + options_.list_pause : now;
  run_watch_.OnListing(asked, now, listing_.running);
  SettleVerified(asked);
  Pace(now);
  if (first || was_unresponsive) {
    Report(now, /*with_running=*/true);
  } else if (new_ends || report_due_) {
    // Answers orders as well, if an answer is due.
    Report(now, answer_by_ && RunningIsDue(now));
  }
  ExecuteOrders(now);
  ListIfDue(now);
}

auto TaskAgent::LogLapsedRuns(TimePoint now, uint64_t newest_known) const
    -> void {
  std::string why;
  for (const auto& row : listing_.ended) {
    if (row.number() <= newest_known || row.end() != RUN_LEASE_LAPSED) {
      continue;
    }
    if (why.empty()) {
      why = DescribeGaps(now);
    }
    hooks_.log({"lapsed", row.task(), row.run(), why});
  }
}

auto TaskAgent::DescribeGaps(TimePoint now) const -> std::string {
  const auto text = [now](const RecentGap& gap) -> std::string {
    const auto longest = gap.Longest(now);
    return longest ? absl::StrCat(InMilliseconds(*longest), " ms") : "unknown";
  };
  std::string why = absl::StrCat(
      "its lease has expired; longest recent gaps: of this process ",
      text(ticks_), ", of orders ", text(orders_received_), ", of grants ",
      text(grants_), ", of the worker's answers ", text(listings_));
  if (active_since_ && now - *active_since_ < kGapMemory) {
    absl::StrAppend(&why, "; this process started ",
                    InMilliseconds(now - *active_since_), " ms ago");
  }
  return why;
}

auto TaskAgent::Pace(TimePoint now) -> void {
  for (const auto& change : pacing_.OnListing(
           now, listing_.running, heartbeat_.capacity.millicores())) {
    PaceCall call;
    call.task = change.run.task();
    call.run = change.run.run();
    call.fence = fence_;
    call.percent = change.percent;
    call.worker_id = heartbeat_.worker_id;
    hooks_.worker.pace(
        call,
        [this, run = call.run](TimePoint, WorkerCallResult result) -> void {
          if (result.outcome != WorkerCallOutcome::kDone) {
            pacing_.OnUnconfirmed(run);
          }
        });
  }
}

auto TaskAgent::GrantUntil() const -> TimePoint {
  return unresponsive_since_ && worker_lease_until_
             ? std::min(lease_until_, *worker_lease_until_)
             : lease_until_;
}

auto TaskAgent::NoteGranted(TimePoint now) -> void {
  worker_lease_until_ =
      std::max(worker_lease_until_.value_or(now), GrantUntil());
}

auto TaskAgent::WorkerDeadline() const -> WorkerTime {
  return ToWorkerTime(GrantUntil() - kLeaseMargin);
}

auto TaskAgent::ToWorkerTime(TimePoint time) const -> WorkerTime {
  const auto left = std::chrono::floor<WorkerTime>(time - worker_clock_at_);
  return worker_clock_ + std::max(WorkerTime(1), left);
}

auto TaskAgent::LeaseLapsed(TimePoint now) const -> bool {
  if (!unresponsive_since_ || !worker_lease_until_) {
    return false;
  }
  const auto drift = std::chrono::duration_cast<Duration>(
      (*worker_lease_until_ - *unresponsive_since_) *
      options_.worker_clock_drift);
  return now > *worker_lease_until_ + drift + kLeaseMargin;
}

auto TaskAgent::LeaseLeft(TimePoint now) const -> Duration {
  if (worker_left_) {
    return Duration(0);
  }
  const auto drift = std::chrono::duration_cast<Duration>(
      options_.max_lease * options_.worker_clock_drift);
  // Without a known lease, an earlier process may have extended it until now.
  const TimePoint until =
      worker_lease_until_.value_or(now + options_.max_lease);
  return std::max(Duration(0), until + drift + kLeaseMargin - now);
}

auto TaskAgent::CallsWorker() const -> bool {
  return std::any_of(orders_.begin(), orders_.end(),
                     [](const auto& item) -> bool {
                       return item.second->state == OrderState::kCalling;
                     });
}

auto TaskAgent::RunningIsDue(TimePoint now) const -> bool {
  return !owner_is_behind_ || !running_reported_at_ ||
         now - *running_reported_at_ >= options_.running_interval;
}

auto TaskAgent::ReportSettled(TimePoint now) -> void {
  if (owner_is_behind_ && answer_by_ && now < *answer_by_ && CallsWorker()) {
    return;
  }
  Report(now, answer_by_ && RunningIsDue(now));
}

auto TaskAgent::Report(TimePoint now, bool with_running) -> void {
  if (owner_peer_.empty()) {
    return;
  }
  report_due_ = false;
  answer_by_ = std::nullopt;
  AgentReport report;
  report.set_fence(fence_);
  report.set_sent_us(Microseconds(now));
  report.set_orders_built_at_us(orders_built_at_us_);
  report.set_since_earlier_owner_ms(static_cast<uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(SinceEarlierOwner(now))
          .count()));
  reported_at_ = now;
  // A heartbeat may be a delayed one of a process that has ended. An owner that
  // took that process for the present one would start elsewhere what runs here.
  // A listing from before the worker became unresponsive may be outdated. An
  // owner that has declared its runs lost would treat them as running again.
  const bool has_listing = listed_ && !unresponsive_since_;
  const bool names_worker = answered_ && !MayRunEarlierStarts() &&
                            (has_listing || !announced_with_runs_);
  const bool listed = has_listing && names_worker;
  with_running = with_running || announced_with_runs_;
  report.set_worker_id(names_worker ? heartbeat_.worker_id : "");
  report.set_left_worker_id(left_worker_id_);
  report.set_incarnation(options_.incarnation);
  report.set_service(heartbeat_.service);
  report.set_failure_domain(heartbeat_.failure_domain);
  *report.mutable_capacity() = heartbeat_.capacity;
  report.mutable_labels()->Assign(heartbeat_.labels.begin(),
                                  heartbeat_.labels.end());
  report.set_draining(heartbeat_.draining);
  report.set_draining_remaining_ms(
      static_cast<uint64_t>(heartbeat_.remaining.count()));
  report.set_pacing_version(pacing_version_);
  report.set_worker_silent(unresponsive_since_ &&
                           now - *unresponsive_since_ >
                               options_.unresponsive_after);
  report.set_worker_lapsed(worker_left_ || LeaseLapsed(now));
  DiscardCrashes(now, 0);
  for (const auto& crash : crashes_) {
    *report.add_crashed() = crash.run;
  }
  report.set_complete(listed && with_running);
  if (report.complete()) {
    running_reported_at_ = now;
  }
  if (listed) {
    if (with_running) {
      for (const auto& row : listing_.running) {
        *report.add_running() = row;
      }
    }
    for (const auto& row : listing_.ended) {
      if (row.number() > forget_through_) {
        *report.add_ended() = row;
      }
    }
  }
  report.set_keeps_payloads(true);
  std::set<std::string> missing;
  for (const auto& [number, order] : orders_) {
    if (order->state == OrderState::kFinished) {
      auto* result = report.add_results();
      result->set_order(number);
      result->set_outcome(order->outcome);
      result->set_after_end(order->after_end);
    }
    const bool waits = order->state == OrderState::kWaiting &&
                       !order->is_stop && !order->revoked;
    if (waits && PayloadOf(*order) == nullptr) {
      missing.insert(order->task.job());
    }
  }
  report.mutable_missing_payloads()->Assign(missing.begin(), missing.end());
  hooks_.report(owner_peer_, std::move(report));
}

}  // namespace rhubarbhaven::jobs
