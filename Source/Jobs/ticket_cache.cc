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
// Minimum time between calls for the same step if the first one named all
// workers that were to be asked about.
constexpr std::chrono::milliseconds kRequestInterval{500};
// The policy does not change. A worker that was not granted is asked about
// again only in case the answer was wrong.
constexpr std::chrono::seconds kDenialPeriod{10};
// The service handles one call of an instance at a time, and tickets expire
// while further calls wait there. The second call keeps it busy.
constexpr int kMaxCallsUnderWay = 2;

}  // namespace

auto TicketCache::Held(TimePoint now, const TaskName& step) const
    -> std::map<std::string, std::string> {
  std::map<std::string, std::string> tickets;
  const auto entry = entries_.find(Key(step));
  if (entry == entries_.end()) {
    return tickets;
  }
  for (const auto& [id, answer] : entry->second.answers) {
    if (!answer.ticket.empty() && now + kDeliveryMargin < answer.valid_until) {
      tickets.emplace(id, answer.ticket);
    }
  }
  return tickets;
}

auto TicketCache::Remove(const TaskName& step, const std::string& worker_id)
    -> void {
  const auto found = entries_.find(Key(step));
  if (found != entries_.end()) {
    found->second.answers.erase(worker_id);
  }
}

auto TicketCache::Forget(const std::string& job) -> void {
  ForgetPrefix(absl::StrCat(job, "."));
}

auto TicketCache::ForgetOccurrence(const std::string& job, uint32_t occurrence)
    -> void {
  ForgetPrefix(absl::StrCat(job, ".", occurrence, "."));
}

auto TicketCache::ForgetPrefix(const std::string& prefix) -> void {
  auto entry = entries_.lower_bound(prefix);
  while (entry != entries_.end() && absl::StartsWith(entry->first, prefix)) {
    entry = entries_.erase(entry);
  }
}

auto TicketCache::Clear() -> void {
  entries_.clear();
  queued_.clear();
  granted_.clear();
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

auto TicketCache::Request(TimePoint now, const TicketRequest& request) -> void {
  const std::string key = Key(request.step);
  auto& entry = entries_[key];
  if (entry.pending) {
    return;
  }
  entry.request = request;
  if (WorkersToAsk(now, entry).empty()) {
    return;
  }
  const bool recent = entry.requested_at != TimePoint() &&
                      now - entry.requested_at < kRequestInterval;
  if (recent && !entry.has_more) {
    next_request_at_ =
        std::min(next_request_at_, entry.requested_at + kRequestInterval);
    return;
  }
  TrimGranted(request);
  entry.pending = true;
  queued_.push_back(key);
  SendQueued(now);
}

auto TicketCache::SendQueued(TimePoint now) -> void {
  while (!queued_.empty() && calls_under_way_ < kMaxCallsUnderWay) {
    const std::string key = std::move(queued_.front());
    queued_.pop_front();
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
      Send(now, key, found->second);
    }
  }
}

auto TicketCache::Send(TimePoint now, const std::string& key, Entry& entry)
    -> void {
  AdviceCall call{entry.request.step, WorkersToAsk(now, entry)};
  entry.has_more = call.workers.size() > kMaxAdvisedWorkers;
  if (entry.has_more) {
    call.workers.resize(kMaxAdvisedWorkers);
  }
  entry.requested_at = now;
  ++calls_under_way_;
  ask_(call,
       [this, call, key, asked = now, generation = generation_](
           TimePoint then, const AdviceResult& result) -> void {
         --calls_under_way_;
         if (generation == generation_) {
           OnAdvice(asked, call, key, result);
         }
         SendQueued(then);
       });
}

auto TicketCache::WorkersToAsk(TimePoint now, const Entry& entry) const
    -> std::vector<std::string> {
  const auto granted = granted_.find(entry.request.queue);
  std::vector<std::string> likely;
  std::vector<std::string> unknown;
  std::vector<std::string> denied;
  for (const auto& id : entry.request.workers) {
    const auto answer = entry.answers.find(id);
    if (answer == entry.answers.end()) {
      const bool granted_before =
          granted != granted_.end() && granted->second.contains(id);
      (granted_before ? likely : unknown).push_back(id);
    } else if (now + kDeliveryMargin >= answer->second.valid_until) {
      (answer->second.ticket.empty() ? denied : likely).push_back(id);
    }
  }
  likely.insert(likely.end(), unknown.begin(), unknown.end());
  likely.insert(likely.end(), denied.begin(), denied.end());
  return likely;
}

auto TicketCache::OnAdvice(TimePoint asked,
                           const AdviceCall& call,
                           const std::string& key,
                           const AdviceResult& result) -> void {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.pending = false;
  if (!result.answered) {
    // Without another event in the cell nothing would repeat the request.
    entry.has_more = false;
    next_request_at_ = std::min(next_request_at_, asked + kRequestInterval);
    return;
  }
  for (const auto& id : call.workers) {
    entry.answers[id] = {"", asked + kDenialPeriod};
  }
  for (const auto& ticket : result.tickets) {
    // Counted from the request, since the answer may have been delayed.
    entry.answers[ticket.worker_id] = {ticket.text, asked + result.valid};
    granted_[entry.request.queue].insert(ticket.worker_id);
  }
  updated_ = true;
}

auto TicketCache::TrimGranted(const TicketRequest& request) -> void {
  const auto granted = granted_.find(request.queue);
  if (granted == granted_.end() ||
      granted->second.size() <= request.workers.size()) {
    return;
  }
  const std::set<std::string> in_use(request.workers.begin(),
                                     request.workers.end());
  std::erase_if(granted->second, [&in_use](const std::string& id) -> bool {
    return !in_use.contains(id);
  });
}

}  // namespace rhubarbhaven::jobs
