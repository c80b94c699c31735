#include "Jobs/ticket_cache.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// A ticket must be valid until the start has reached the worker. A start takes
// 5 to 15 ms, and some hundred where a call is repeated.
constexpr std::chrono::milliseconds kMaxDeliveryMargin{400};
// The same for tickets that are valid only briefly: this part of their time.
constexpr int kDeliveryPart = 4;
// Minimum time between calls for the same step if the first one named all
// workers that were to be asked about. Shorter where tickets expire sooner.
constexpr std::chrono::milliseconds kMaxRequestInterval{500};
constexpr std::chrono::milliseconds kMinRequestInterval{50};
// Maximum time that a call may take by the number of workers it names.
constexpr std::chrono::milliseconds kMaxCallTime{2000};
// Time that a call may take beyond what its handling and that of the call
// before it take.
constexpr std::chrono::milliseconds kCallTimeout{5000};
// The policy does not change. A worker that was not granted is asked about
// again only in case the answer was wrong.
constexpr std::chrono::seconds kDenialPeriod{10};
// The service handles one call of an instance at a time, and tickets expire
// while further calls wait there. The second call keeps it busy.
constexpr int kMaxCallsUnderWay = 2;

auto DeliveryMargin(std::chrono::milliseconds valid)
    -> std::chrono::milliseconds {
  return std::min(valid / kDeliveryPart, kMaxDeliveryMargin);
}

auto RequestInterval(const PolicyTimes& times) -> std::chrono::milliseconds {
  return times.valid.count() == 0
             ? kMaxRequestInterval
             : std::clamp(times.valid / 2, kMinRequestInterval,
                          kMaxRequestInterval);
}

auto HandlingTime(const PolicyTimes& times, std::size_t workers)
    -> std::chrono::milliseconds {
  return times.call + times.worker * static_cast<int64_t>(workers);
}

}  // namespace

auto MaxNamesFor(const PolicyTimes& times) -> std::size_t {
  if (times.worker.count() == 0) {
    return kMaxAdvisedWorkers;
  }
  auto longest = kMaxCallTime;
  if (times.valid.count() > 0) {
    const auto margin = DeliveryMargin(times.valid);
    // As much time is left for starts as for their delivery, unless the call
    // itself already takes most of it.
    const auto handling = times.valid - 2 * margin;
    const bool mostly_call = times.call >= handling / 2;
    longest = std::min(longest, mostly_call ? times.valid - margin : handling);
  }
  const auto names =
      std::max<int64_t>(1, (longest - times.call) / times.worker);
  return std::min(kMaxAdvisedWorkers, static_cast<std::size_t>(names));
}

auto TicketCache::IsPending(const TaskName& step) const -> bool {
  const auto entry = entries_.find(Key(step));
  return entry != entries_.end() && entry->second.pending;
}

auto TicketCache::Held(TimePoint now, const TaskName& step) const
    -> std::map<std::string, std::string> {
  std::map<std::string, std::string> tickets;
  const auto entry = entries_.find(Key(step));
  if (entry == entries_.end()) {
    return tickets;
  }
  for (const auto& [id, answer] : entry->second.answers) {
    if (!answer.ticket.empty() && now < answer.usable_until) {
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
  answered_at_ = TimePoint();
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
  const auto interval = RequestInterval(request.times);
  const bool recent =
      entry.requested_at != TimePoint() && now - entry.requested_at < interval;
  if (recent && !entry.has_more) {
    next_request_at_ =
        std::min(next_request_at_, entry.requested_at + interval);
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
  const PolicyTimes& times = entry.request.times;
  const std::size_t max_names = MaxNamesFor(times);
  AdviceCall call{entry.request.step, WorkersToAsk(now, entry)};
  entry.has_more = call.workers.size() > max_names;
  if (entry.has_more) {
    call.workers.resize(max_names);
  }
  call.timeout =
      kCallTimeout + kMaxCallsUnderWay * HandlingTime(times, max_names);
  entry.requested_at = now;
  ++calls_under_way_;
  ask_(call,
       [this, call, key, asked = now, generation = generation_](
           TimePoint then, const AdviceResult& result) -> void {
         --calls_under_way_;
         if (generation == generation_) {
           OnAdvice(asked, call, key, then, result);
         }
         SendQueued(then);
       });
}

auto TicketCache::WorkersToAsk(TimePoint now, const Entry& entry) const
    -> std::vector<std::string> {
  const auto granted = granted_.find(entry.request.queue);
  const auto granted_before = [&](const std::string& id) -> bool {
    return granted != granted_.end() && granted->second.contains(id);
  };
  // Denied workers last, those with room before those without.
  std::array<std::vector<std::string>, 5> by_rank;
  for (std::size_t i = 0; i < entry.request.workers.size(); ++i) {
    const auto& id = entry.request.workers[i];
    const auto answer = entry.answers.find(id);
    if (answer != entry.answers.end() && now < answer->second.usable_until) {
      continue;
    }
    const bool denied =
        answer != entry.answers.end() && answer->second.ticket.empty();
    const std::size_t without_room = i < entry.request.with_room ? 0 : 2;
    const std::size_t rank = denied
                                 ? by_rank.size() - 1
                                 : without_room + (granted_before(id) ? 0 : 1);
    by_rank[rank].push_back(id);
  }
  std::vector<std::string> workers;
  for (const auto& ids : by_rank) {
    workers.insert(workers.end(), ids.begin(), ids.end());
  }
  return workers;
}

auto TicketCache::OnAdvice(TimePoint asked,
                           const AdviceCall& call,
                           const std::string& key,
                           TimePoint answered,
                           const AdviceResult& result) -> void {
  const TimePoint handled_from = std::max(asked, answered_at_);
  if (result.answered) {
    answered_at_ = answered;
  }
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.pending = false;
  if (!result.answered) {
    // Without another event in the cell nothing would repeat the request.
    entry.has_more = false;
    next_request_at_ = std::min(next_request_at_,
                                asked + RequestInterval(entry.request.times));
    return;
  }
  for (const auto& id : call.workers) {
    entry.answers[id] = {"", asked + kDenialPeriod};
  }
  // The answer may have been delayed, so the time is counted from when the
  // call's handling may have begun. If that leaves little, the handling itself
  // took most of it, and half of the time is taken to be left.
  const TimePoint valid_until =
      std::max(handled_from + result.valid, answered + result.valid / 2);
  for (const auto& ticket : result.tickets) {
    entry.answers[ticket.worker_id] = {
        ticket.text, valid_until - DeliveryMargin(result.valid)};
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
