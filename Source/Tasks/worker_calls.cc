#include "Tasks/worker_calls.h"

#include <algorithm>

namespace rhubarbhaven::tasks {

auto WorkerCalls::Begin(TimePoint now,
                        CallWorker::Kind kind,
                        const std::string& key) -> CallWorker {
  CallWorker call;
  call.call_id = next_id_++;
  call.kind = kind;
  pending_[call.call_id] = {
      .kind = kind, .call_id = call.call_id, .key = key, .requested_at = now};
  return call;
}

auto WorkerCalls::Finish(uint64_t call_id) -> std::optional<PendingCall> {
  const auto found = pending_.find(call_id);
  if (found == pending_.end()) {
    return std::nullopt;
  }
  PendingCall call = found->second;
  pending_.erase(found);
  return call;
}

auto WorkerCalls::TakeOverdue(TimePoint requested_before)
    -> std::vector<PendingCall> {
  std::vector<PendingCall> overdue;
  for (const auto& [id, call] : pending_) {
    if (call.requested_at < requested_before) {
      overdue.push_back(call);
    }
  }
  for (const PendingCall& call : overdue) {
    pending_.erase(call.call_id);
  }
  return overdue;
}

auto WorkerCalls::IsPending(CallWorker::Kind kind) const -> bool {
  return std::any_of(
      pending_.begin(), pending_.end(),
      [&](const auto& pending) { return pending.second.kind == kind; });
}

auto WorkerClock::OnStatus(TimePoint replied, uint64_t clock_ms) -> void {
  replied_ = replied;
  clock_ms_ = clock_ms;
}

auto WorkerClock::ToWorkerMs(TimePoint point) const -> uint64_t {
  if (clock_ms_ == 0) {
    return 0;
  }
  // The worker read its clock before the reply was received, so at `replied` it
  // shows at least `clock_ms_`. A point computed from `clock_ms_` is therefore
  // never too late.
  const auto since =
      std::chrono::floor<std::chrono::milliseconds>(point - replied_).count();
  const int64_t worker = static_cast<int64_t>(clock_ms_) + since;
  return static_cast<uint64_t>(std::max<int64_t>(worker, 1));
}

}  // namespace rhubarbhaven::tasks
