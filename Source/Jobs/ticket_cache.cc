#include "Jobs/ticket_cache.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// A ticket must be valid until the start has reached the worker. A start takes
// 5 to 15 ms, and some hundred where a call is repeated.
constexpr std::chrono::milliseconds kDeliveryMargin{400};
// Minimum time between calls for the same step: the policy does not change, so
// only other workers or expired tickets require another call.
constexpr std::chrono::milliseconds kRequestInterval{500};

}  // namespace

auto TicketCache::FindOrRequest(TimePoint now,
                                const TaskName& step,
                                const std::string& worker_id,
                                const std::vector<std::string>& workers)
    -> std::optional<std::string> {
  auto held = Lookup(now, step, worker_id);
  if (!held) {
    RequestIfDue(now, step, workers);
  }
  return held;
}

auto TicketCache::Lookup(TimePoint now,
                         const TaskName& step,
                         const std::string& worker_id) const
    -> std::optional<std::string> {
  const auto entry = entries_.find(Key(step));
  if (entry == entries_.end() ||
      now + kDeliveryMargin >= entry->second.valid_until) {
    return std::nullopt;
  }
  const auto found = entry->second.tickets.find(worker_id);
  return found == entry->second.tickets.end() ? std::nullopt
                                              : std::optional(found->second);
}

auto TicketCache::Remove(const TaskName& step, const std::string& worker_id)
    -> void {
  const auto found = entries_.find(Key(step));
  if (found != entries_.end()) {
    found->second.tickets.erase(worker_id);
    found->second.requested_workers.clear();
  }
}

auto TicketCache::Forget(const std::string& job) -> void {
  std::erase_if(entries_, [&job](const auto& item) -> bool {
    return absl::StartsWith(item.first, job + ".");
  });
}

auto TicketCache::Clear() -> void {
  entries_.clear();
  ++generation_;
  next_request_at_ = TimePoint::max();
}

auto TicketCache::ConsumeUpdate(TimePoint now) -> bool {
  const bool ask_again = next_request_at_ <= now;
  if (ask_again) {
    next_request_at_ = TimePoint::max();
  }
  return std::exchange(updated_, false) || ask_again;
}

auto TicketCache::Key(const TaskName& step) -> std::string {
  return absl::StrCat(step.job(), ".", step.occurrence(), ".", step.step());
}

auto TicketCache::RequestIfDue(TimePoint now,
                               const TaskName& step,
                               const std::vector<std::string>& workers)
    -> void {
  auto& entry = entries_[Key(step)];
  const bool same_workers = entry.requested_workers == workers;
  const bool still_valid = now + kDeliveryMargin < entry.valid_until;
  const bool recent = entry.requested_at != TimePoint() &&
                      now - entry.requested_at < kRequestInterval;
  if (entry.request_pending || (same_workers && still_valid) ||
      workers.empty()) {
    return;
  }
  if (recent) {
    next_request_at_ =
        std::min(next_request_at_, entry.requested_at + kRequestInterval);
    return;
  }
  entry.request_pending = true;
  entry.requested_at = now;
  entry.requested_workers = workers;
  AdviceCall call;
  call.step = step;
  call.workers = workers;
  if (call.workers.size() > kMaxAdvisedWorkers) {
    call.workers.resize(kMaxAdvisedWorkers);
  }
  ask_(call,
       [this, key = Key(step), asked = now, generation = generation_](
           TimePoint, const AdviceResult& result) -> void {
         const auto found = entries_.find(key);
         if (generation != generation_ || found == entries_.end()) {
           return;
         }
         found->second.request_pending = false;
         if (!result.answered) {
           // Without another event in the cell nothing would repeat the
           // request.
           found->second.requested_workers.clear();
           next_request_at_ =
               std::min(next_request_at_, asked + kRequestInterval);
           return;
         }
         found->second.tickets.clear();
         for (const auto& ticket : result.tickets) {
           found->second.tickets[ticket.worker_id] = ticket.text;
         }
         // Counted from the request, since the answer may have been delayed.
         found->second.valid_until = asked + result.valid;
         updated_ = true;
       });
}

}  // namespace rhubarbhaven::jobs
