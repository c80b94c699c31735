#include "Jobs/ticket_book.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// A ticket must hold until the start has reached the worker; a start takes
// 5 to 15 ms, and some hundred where a call is repeated.
constexpr std::chrono::milliseconds kWayToWorker{400};
// Between two calls for the same step: the policy does not change, so only
// other workers or run-out tickets call for another.
constexpr std::chrono::milliseconds kAskAgain{500};

}  // namespace

auto TicketBook::Find(TimePoint now,
                      const TaskName& step,
                      const std::string& worker_id,
                      const std::vector<std::string>& workers)
    -> std::optional<std::string> {
  auto held = Held(now, step, worker_id);
  if (!held) {
    AskIfDue(now, step, workers);
  }
  return held;
}

auto TicketBook::Held(TimePoint now,
                      const TaskName& step,
                      const std::string& worker_id) const
    -> std::optional<std::string> {
  const auto entry = entries_.find(Key(step));
  if (entry == entries_.end() ||
      now + kWayToWorker >= entry->second.valid_until) {
    return std::nullopt;
  }
  const auto found = entry->second.tickets.find(worker_id);
  return found == entry->second.tickets.end() ? std::nullopt
                                              : std::optional(found->second);
}

auto TicketBook::Drop(const TaskName& step, const std::string& worker_id)
    -> void {
  const auto found = entries_.find(Key(step));
  if (found != entries_.end()) {
    found->second.tickets.erase(worker_id);
    found->second.asked_about.clear();
  }
}

auto TicketBook::Forget(const std::string& job) -> void {
  std::erase_if(entries_, [&job](const auto& item) -> bool {
    return absl::StartsWith(item.first, job + ".");
  });
}

auto TicketBook::Clear() -> void {
  entries_.clear();
  ++generation_;
  ask_again_at_ = TimePoint::max();
}

auto TicketBook::TakeNews(TimePoint now) -> bool {
  const bool ask_again = ask_again_at_ <= now;
  if (ask_again) {
    ask_again_at_ = TimePoint::max();
  }
  return std::exchange(news_, false) || ask_again;
}

auto TicketBook::Key(const TaskName& step) -> std::string {
  return absl::StrCat(step.job(), ".", step.occurrence(), ".", step.step());
}

auto TicketBook::AskIfDue(TimePoint now,
                          const TaskName& step,
                          const std::vector<std::string>& workers) -> void {
  auto& entry = entries_[Key(step)];
  const bool same_workers = entry.asked_about == workers;
  const bool still_valid = now + kWayToWorker < entry.valid_until;
  const bool recent =
      entry.asked_at != TimePoint() && now - entry.asked_at < kAskAgain;
  if (entry.asking || (same_workers && still_valid) || workers.empty()) {
    return;
  }
  if (recent) {
    ask_again_at_ = std::min(ask_again_at_, entry.asked_at + kAskAgain);
    return;
  }
  entry.asking = true;
  entry.asked_at = now;
  entry.asked_about = workers;
  AdviceCall call;
  call.step = step;
  call.workers = workers;
  if (call.workers.size() > kMostAdvisedWorkers) {
    call.workers.resize(kMostAdvisedWorkers);
  }
  ask_(call,
       [this, key = Key(step), asked = now, generation = generation_](
           TimePoint, const AdviceResult& result) -> void {
         const auto found = entries_.find(key);
         if (generation != generation_ || found == entries_.end()) {
           return;
         }
         found->second.asking = false;
         if (!result.answered) {
           // Without another event in the cell nobody would ask again.
           found->second.asked_about.clear();
           ask_again_at_ = std::min(ask_again_at_, asked + kAskAgain);
           return;
         }
         found->second.tickets.clear();
         for (const auto& ticket : result.tickets) {
           found->second.tickets[ticket.worker_id] = ticket.text;
         }
         // From when it was asked: the answer may have been long under way.
         found->second.valid_until = asked + result.valid;
         news_ = true;
       });
}

}  // namespace rhubarbhaven::jobs
