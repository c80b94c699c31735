#include <algorithm>
#include <set>
#include <utility>

#include "Jobs/job_owner.h"

// Polls of agents: what is sent to them, and when.
namespace rhubarbhaven::jobs {
namespace {

constexpr std::chrono::seconds kLagReportInterval{1};
// An owner whose polls are this late handles reports late, too. A callback or a
// round of placement takes a few milliseconds.
constexpr std::chrono::milliseconds kBehindLag{20};
// Lighter traffic ends the lag. Without this time, the owner would alternate
// between both.
constexpr std::chrono::seconds kBehindPeriod{10};

// Rounded down, so that the agent never takes the message for younger than it
// is.
auto MicrosecondsOf(Duration span) -> uint64_t {
  return static_cast<uint64_t>(
      std::chrono::floor<std::chrono::microseconds>(std::max(Duration(0), span))
          .count());
}

auto MillisecondsOf(Duration span) -> uint64_t {
  return static_cast<uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(std::max(Duration(0), span))
          .count());
}

}  // namespace

auto JobOwner::PollAll(TimePoint now) -> void {
  while (const auto number = polls_.PopDue(now)) {
    WorkerView& worker = *numbered_.at(*number);
    if (worker.polled_at >= begun_at_) {
      NoteLag(now, now - worker.poll_at);
    }
    Poll(now, worker);
  }
  behind_ = now < behind_until_;
  ReportLag(now);
}

auto JobOwner::NoteLag(TimePoint now, Duration lag) -> void {
  longest_lag_ = std::max(longest_lag_, lag);
  if (lag >= kBehindLag) {
    behind_until_ = now + kBehindPeriod;
  }
}

auto JobOwner::ReportLag(TimePoint now) -> void {
  if (now - lag_reported_at_ >= kLagReportInterval) {
    lag_reported_at_ = now;
    hooks_.report_lag(std::exchange(longest_lag_, Duration(0)));
    hooks_.report_start_delay(std::exchange(longest_start_delay_, Duration(0)));
    hooks_.report_orders(std::exchange(order_traffic_, {}));
  }
}

auto JobOwner::CountOrders(const AgentOrders& orders) -> void {
  order_traffic_.bytes += orders.ByteSizeLong();
  for (const auto& start : orders.starts()) {
    const uint64_t size = start.ByteSizeLong();
    order_traffic_.start_bytes += size;
    order_traffic_.payload_bytes += start.payload().size();
    order_traffic_.repeated_bytes += start.repeated() ? size : 0;
  }
}

auto JobOwner::PollSoon(WorkerView& worker) -> void {
  if (!worker.poll_due) {
    worker.poll_due = true;
    polls_.Set(worker.number, TimePoint());
  }
}

auto JobOwner::SchedulePoll(WorkerView& worker) -> void {
  worker.poll_at = NextPoll(worker);
  polls_.Set(worker.number, worker.poll_at);
}

auto JobOwner::NextPoll(const WorkerView& worker) const -> TimePoint {
  const bool first = !worker.confirmed &&
                     worker.polled_at < begun_at_ + options_.first_poll_period;
  return worker.polled_at +
         (first ? FirstPollInterval() : options_.poll_interval);
}

auto JobOwner::FirstPollInterval() const -> std::chrono::milliseconds {
  const auto waiting = static_cast<int64_t>(unconfirmed_.size());
  return std::clamp(options_.min_first_poll_spacing * waiting,
                    options_.first_poll_interval, options_.poll_interval);
}

auto JobOwner::Poll(TimePoint now, WorkerView& worker) -> void {
  worker.poll_due = false;
  worker.polled_at = now;
  SchedulePoll(worker);
  AgentOrders orders;
  orders.set_fence(fence_);
  orders.set_owner_incarnation(options_.incarnation);
  // Larger than that of any message before, also of one at the same time: an
  // agent acknowledges the newest one.
  orders.set_built_at_us(
      std::max(MicrosecondsOf(now.time_since_epoch()), worker.sent_us + 1));
  const auto lease = LeaseFor(now, worker);
  const bool grants = lease > std::chrono::milliseconds(0);
  if (grants) {
    orders.set_granted_from_us(worker.reported_us);
    orders.set_granted_to_incarnation(worker.agent_incarnation);
    orders.set_lease_ttl_ms(static_cast<uint64_t>(lease.count()));
    orders.set_built_after_us(MicrosecondsOf(now - worker.reported_at));
    worker.lease_bound =
        std::max(worker.lease_bound, LeaseBound(worker.reported_at));
  }
  // The listing of an agent that has none adopted yet is not put off.
  orders.set_owner_is_behind(behind_ && worker.confirmed);
  const LogPosition log = hooks_.log_position();
  orders.set_log_age_ms(MillisecondsOf(now - log.as_of));
  orders.set_log_read_to(log.read_to);
  orders.set_evacuated(worker.evacuated);
  orders.set_worker_id(worker.worker_id);
  if (!worker.confirmed) {
    orders.set_recorded_worker_id(worker.worker_id.empty()
                                      ? fold_->granted_worker(worker.agent)
                                      : worker.worker_id);
  }
  orders.set_ends_logged(worker.ends_logged);
  orders.set_results_seen(worker.results_seen);
  orders.set_crashes_logged(worker.crashes_logged);
  orders.set_crashes_of_incarnation(worker.crashes_of_incarnation);
  orders.set_pacing_version(worker.pacing_version);
  if (worker.agent_pacing_version != worker.pacing_version) {
    AddPacedRuns(worker, &orders);
  }
  if (now - worker.pressures_sent_at >= options_.pressure_send_interval) {
    worker.pressures_sent_at = now;
    AddPressures(worker, &orders);
  }
  AddOrders(now, worker, grants, &orders);
  worker.sent_us = orders.built_at_us();
  CountOrders(orders);
  hooks_.send(worker.registration.link_endpoint(), std::move(orders));
}

auto JobOwner::AddPressures(const WorkerView& worker, AgentOrders* orders) const
    -> void {
  std::set<std::string> serving;
  std::set<std::string> fillers;
  for (const auto& [number, place] : worker.runs) {
    const auto& step = place.spec();
    if (step.target_latency_ms() > 0) {
      serving.insert(step.image());
    } else if (step.uses_spare_processors()) {
      fillers.insert(step.image());
    }
  }
  for (const auto& served : serving) {
    for (const auto& filler : fillers) {
      auto* pressure = orders->add_pressures();
      pressure->set_serving_image(served);
      pressure->set_filler_image(filler);
      pressure->set_pressure(interference_.Pressure(served, filler));
    }
  }
}

auto JobOwner::AddPacedRuns(const WorkerView& worker, AgentOrders* orders) const
    -> void {
  for (const auto& [number, place] : worker.runs) {
    const auto& step = place.spec();
    if (step.target_latency_ms() == 0 && !step.uses_spare_processors()) {
      continue;
    }
    for (const auto& run : place.task().runs) {
      if (run.worker == &worker) {
        auto* paced = orders->add_paced_runs();
        *paced->mutable_task() = place.Name();
        paced->set_run(run.run);
        paced->set_target_latency_ms(step.target_latency_ms());
        paced->set_uses_spare_processors(step.uses_spare_processors());
        paced->set_image(step.image());
        paced->set_millicores(step.need().millicores());
        paced->set_rank(static_cast<uint32_t>(place.work->outlook));
      }
    }
  }
}

}  // namespace rhubarbhaven::jobs
