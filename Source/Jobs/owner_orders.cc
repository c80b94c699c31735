#include <algorithm>
#include <utility>

#include "Jobs/job_owner.h"

// Which orders the messages to agents contain. Starts are limited by a window
// of unacknowledged bytes, so that they do not delay the leases and renewals on
// the owner's link.
namespace rhubarbhaven::jobs {
namespace {

// A shorter payload is always sent: an agent that lacks it would cost a round
// trip.
constexpr std::size_t kMinOmittedPayload = 256;

auto MillisecondsOf(Duration span) -> uint64_t {
  return static_cast<uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(std::max(Duration(0), span))
          .count());
}

auto NoteSent(TimePoint now, PendingOrder& order, const AgentOrders& orders)
    -> void {
  order.sent = true;
  order.sent_at = now;
  order.sent_in_us = orders.built_at_us();
}

}  // namespace

auto JobOwner::AddOrders(TimePoint now,
                         WorkerView& worker,
                         bool grants,
                         AgentOrders* orders) -> void {
  waiting_for_room_.erase(std::exchange(worker.waits_for_room, 0));
  std::size_t bytes = 0;
  for (auto& [number, order] : worker.orders) {
    if (!IsDue(now, worker, order)) {
      continue;
    }
    if (order.stop) {
      *orders->add_stops() = *order.stop;
      NoteSent(now, order, *orders);
      continue;
    }
    // An agent without a lease would reject a start, and end its run if the
    // agent's previous process has already started it.
    if (!grants) {
      continue;
    }
    // Without the start, the agent could not report that the run has no effect.
    const bool needs_room = !order.withdrawn;
    if (needs_room && worker.waits_for_room != 0) {
      continue;
    }
    const std::size_t size = BytesOf(worker, order);
    if (needs_room && !HasRoom(now, worker, number, bytes, size)) {
      worker.waits_for_room = number;
      continue;
    }
    bytes += size;
    AddStart(now, worker, order, orders);
  }
  window_.OnSent(now, worker.number, orders->built_at_us(), bytes);
  CountUnsent(now, worker);
}

auto JobOwner::HasRoom(TimePoint now,
                       WorkerView& worker,
                       uint64_t number,
                       std::size_t unsent,
                       std::size_t bytes) -> bool {
  if (!window_.FitsAgent(now, worker.number, unsent, bytes)) {
    // It is polled again once it has received something.
    return false;
  }
  // In the order of the decisions: a large start would otherwise wait for as
  // long as there are small ones. Further starts for the same agent go with the
  // first one, so that an agent does not get a message for each start.
  const bool is_next = unsent > 0 || waiting_for_room_.empty() ||
                       number < waiting_for_room_.begin()->first;
  if (is_next && window_.FitsAll(now, unsent, bytes)) {
    return true;
  }
  waiting_for_room_[number] = &worker;
  return false;
}

auto JobOwner::AddStart(TimePoint now,
                        WorkerView& worker,
                        PendingOrder& order,
                        AgentOrders* orders) -> void {
  auto* start = orders->add_starts();
  *start = *order.start;
  start->set_repeated(order.sent);
  start->set_withdrawn(order.withdrawn);
  start->set_decided_before_ms(MillisecondsOf(now - order.decided_at));
  if (MayOmitPayload(worker, order)) {
    start->clear_payload();
    start->set_payload_omitted(true);
  } else if (const auto job = jobs_.find(start->task().job());
             job != jobs_.end()) {
    job->second->payloads_sent[worker.number] = {worker.agent_incarnation,
                                                 orders->built_at_us()};
  }
  NoteSent(now, order, *orders);
}

auto JobOwner::IsDue(TimePoint now,
                     const WorkerView& worker,
                     const PendingOrder& order) const -> bool {
  const bool received = order.sent_in_us <= worker.received_us;
  return !order.sent ||
         (received && now - order.sent_at >= options_.repeat_after);
}

auto JobOwner::MayOmitPayload(const WorkerView& worker,
                              const PendingOrder& order) const -> bool {
  if (!worker.keeps_payloads ||
      order.start->payload().size() < kMinOmittedPayload) {
    return false;
  }
  if (order.withdrawn) {
    return true;
  }
  const auto job = jobs_.find(order.start->task().job());
  if (job == jobs_.end()) {
    return false;
  }
  const auto& sent = job->second->payloads_sent;
  const auto found = sent.find(worker.number);
  return found != sent.end() &&
         found->second.agent_incarnation == worker.agent_incarnation;
}

auto JobOwner::BytesOf(const WorkerView& worker,
                       const PendingOrder& order) const -> std::size_t {
  const std::size_t omitted =
      MayOmitPayload(worker, order) ? order.start->payload().size() : 0;
  return order.start->ByteSizeLong() - omitted;
}

auto JobOwner::NoteReceived(TimePoint now,
                            WorkerView& worker,
                            const AgentReport& report) -> void {
  worker.keeps_payloads = report.keeps_payloads();
  // An agent of a version that does not name the newest message has received
  // one, since it reports under this fence.
  const uint64_t received = report.orders_built_at_us() == 0
                                ? worker.sent_us
                                : report.orders_built_at_us();
  worker.received_us = std::max(worker.received_us, received);
  window_.OnReceived(now, worker.number, worker.received_us);
  ResendPayloads(worker, report);
  const auto waiting = worker.orders.find(worker.waits_for_room);
  if (waiting != worker.orders.end() &&
      !waiting_for_room_.contains(worker.waits_for_room) &&
      window_.FitsAgent(now, worker.number, 0,
                        BytesOf(worker, waiting->second))) {
    PollSoon(worker);
  }
  window_changed_ = true;
}

auto JobOwner::ResendPayloads(WorkerView& worker, const AgentReport& report)
    -> void {
  for (const auto& id : report.missing_payloads()) {
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) {
      continue;
    }
    auto& sent = job->second->payloads_sent;
    const auto found = sent.find(worker.number);
    if (found == sent.end() ||
        report.orders_built_at_us() < found->second.sent_in_us) {
      // The payload is under way.
      continue;
    }
    sent.erase(found);
    for (auto& [number, order] : worker.orders) {
      if (order.start && order.start->task().job() == id) {
        order.sent_at = TimePoint();
      }
    }
    PollSoon(worker);
  }
}

auto JobOwner::UseWindow(TimePoint now) -> void {
  window_changed_ = false;
  while (!waiting_for_room_.empty()) {
    const auto [number, worker] = *waiting_for_room_.begin();
    const auto order = worker->orders.find(number);
    const std::size_t size =
        order == worker->orders.end() ? 0 : BytesOf(*worker, order->second);
    if (!window_.FitsAll(now, 0, size)) {
      return;
    }
    Poll(now, *worker);
  }
}

auto JobOwner::CountUnsent(TimePoint now, WorkerView& worker) -> void {
  unsent_start_bytes_ -= std::exchange(worker.unsent_start_bytes, 0);
  if (worker.waits_for_room == 0 || window_.unresponsive(now, worker.number)) {
    return;
  }
  for (auto order = worker.orders.lower_bound(worker.waits_for_room);
       order != worker.orders.end(); ++order) {
    if (order->second.start && !order->second.sent) {
      worker.unsent_start_bytes += BytesOf(worker, order->second);
    }
  }
  unsent_start_bytes_ += worker.unsent_start_bytes;
}

auto JobOwner::StartBytesLeft() const -> std::size_t {
  return window_.total_bytes() -
         std::min(unsent_start_bytes_, window_.total_bytes());
}

auto JobOwner::ResumePlacement() -> void {
  const bool has_room = unsent_start_bytes_ <= window_.total_bytes() / 2;
  if (placement_held_ && has_room) {
    placement_held_ = false;
    placement_due_ = true;
  }
}

}  // namespace rhubarbhaven::jobs
