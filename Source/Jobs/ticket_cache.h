#ifndef RHUBARBHAVEN_JOBS_TICKET_CACHE_H_
#define RHUBARBHAVEN_JOBS_TICKET_CACHE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

struct AdviceCall {
  TaskName step;
  // Ids of workers, at most `kMaxAdvisedWorkers`.
  std::vector<std::string> workers;
};

// Maximum number of workers in one call, by the service's contract.
inline constexpr std::size_t kMaxAdvisedWorkers = 100;

struct Ticket {
  std::string worker_id;
  std::string text;
};

struct AdviceResult {
  bool answered = false;
  std::vector<Ticket> tickets;
  std::chrono::milliseconds valid{0};
};

// Requests tickets from the policy; calls back once, on the thread that makes
// the owner's decisions.
using AskAdvice =
    std::function<auto(const AdviceCall&,
                       std::function<auto(TimePoint, AdviceResult)->void>)
                      ->void>;

// Caches the tickets of steps whose queue has a policy. Requests tickets once
// per step, and again when they have expired or the set of workers has grown.
class TicketCache {
 public:
  explicit TicketCache(AskAdvice ask) : ask_(std::move(ask)) {}

  // Returns the ticket for a worker if there is one that stays valid for a
  // while. Otherwise requests tickets, unless a request is pending or was made
  // too recently.
  auto FindOrRequest(TimePoint now,
                     const TaskName& step,
                     const std::string& worker_id,
                     const std::vector<std::string>& workers)
      -> std::optional<std::string>;
  // The same, without requesting tickets.
  auto Lookup(TimePoint now,
              const TaskName& step,
              const std::string& worker_id) const -> std::optional<std::string>;
  // Called when a worker has rejected the step's ticket.
  auto Remove(const TaskName& step, const std::string& worker_id) -> void;
  // Removes the tickets of an ended job.
  auto Forget(const std::string& job) -> void;
  auto Clear() -> void;
  // Returns whether tickets have arrived since the previous call, or a delayed
  // request may be made now. The tasks that need tickets are then to be placed
  // again.
  auto ConsumeUpdate(TimePoint now) -> bool;
  // When a delayed request may be made.
  auto next_request_at() const -> TimePoint { return next_request_at_; }

 private:
  struct Entry {
    std::map<std::string, std::string> tickets;
    std::vector<std::string> requested_workers;
    TimePoint valid_until;
    TimePoint requested_at;
    bool request_pending = false;
  };

  static auto Key(const TaskName& step) -> std::string;
  auto RequestIfDue(TimePoint now,
                    const TaskName& step,
                    const std::vector<std::string>& workers) -> void;

  AskAdvice ask_;
  std::map<std::string, Entry> entries_;
  // Distinguishes answers to calls made before `Clear`.
  uint64_t generation_ = 0;
  bool updated_ = false;
  TimePoint next_request_at_ = TimePoint::max();
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_TICKET_CACHE_H_
