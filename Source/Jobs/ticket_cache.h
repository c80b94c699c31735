#ifndef RHUBARBHAVEN_JOBS_TICKET_CACHE_H_
#define RHUBARBHAVEN_JOBS_TICKET_CACHE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

struct AdviceCall {
  TaskName step;
  // Ids of workers, at most `kMaxAdvisedWorkers`.
  std::vector<std::string> workers;
  std::chrono::milliseconds timeout{5000};
};

// What the queue's configuration says of its policy; zero if unknown.
struct PolicyTimes {
  // How long the service takes for a call, and for each worker that it names.
  std::chrono::milliseconds call{0};
  std::chrono::milliseconds worker{0};
  // How long tickets are valid.
  std::chrono::milliseconds valid{0};
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

// The workers that a step may run on as far as its service and their state
// allow, and the queue whose policy decides which of them it does run on.
struct TicketRequest {
  TaskName step;
  std::string queue;
  // Those with room for a task of the step come first.
  std::vector<std::string> workers;
  std::size_t with_room = 0;
  PolicyTimes times{};
};

// Maximum number of workers that a call should name, so that its tickets can
// still be used when it is answered.
auto MaxNamesFor(const PolicyTimes& times) -> std::size_t;

// Caches the tickets of steps whose queue has a policy. A step that waits asks
// about all of its workers, in as many calls as that takes, and again about
// those whose tickets have expired. A call names first the workers that have
// room, and among them those that were granted to the step or to others of its
// queue.
//
// A ticket is valid for a time that begins while the service handles the call.
// The service handles one call at a time, so that it has not begun before the
// answer to the previous one.
class TicketCache {
 public:
  explicit TicketCache(AskAdvice ask) : ask_(std::move(ask)) {}

  // Whether a call for the step is under way or queued.
  auto IsPending(const TaskName& step) const -> bool;
  // Returns the tickets that stay valid for a while, by worker. Where that is
  // uncertain, a ticket is returned: a rejected start costs less than a job
  // that never starts.
  auto Held(TimePoint now, const TaskName& step) const
      -> std::map<std::string, std::string>;
  // Asks about workers for which no valid answer is known. Does nothing while a
  // call for the step is pending, or if one without further workers to ask
  // about was made recently.
  auto Request(TimePoint now, const TicketRequest& request) -> void;
  // Called when a worker has rejected the step's ticket.
  auto Remove(const TaskName& step, const std::string& worker_id) -> void;
  // Removes the tickets of an ended job, or of one of its occurrences.
  auto Forget(const std::string& job) -> void;
  auto ForgetOccurrence(const std::string& job, uint32_t occurrence) -> void;
  auto Clear() -> void;
  // Returns whether tickets have arrived since the previous call, or a delayed
  // request may be made now. The tasks that need tickets are then to be placed
  // again.
  auto ConsumeUpdate(TimePoint now) -> bool;
  // When a delayed request may be made.
  auto next_request_at() const -> TimePoint { return next_request_at_; }

 private:
  // What the policy has said about a worker.
  struct Answer {
    // Empty if the worker was not granted.
    std::string ticket;
    // Until when a start with the ticket may be ordered, or until when the
    // worker need not be asked about again.
    TimePoint usable_until;
  };
  struct Entry {
    std::map<std::string, Answer> answers;
    // The newest request.
    TicketRequest request;
    TimePoint requested_at;
    // A call is under way or queued.
    bool pending = false;
    // The latest call could not name all workers that were to be asked about.
    bool has_more = false;
  };

  static auto Key(const TaskName& step) -> std::string;
  auto ForgetPrefix(const std::string& prefix) -> void;
  // Makes the queued calls that may be under way now.
  auto SendQueued(TimePoint now) -> void;
  auto Send(TimePoint now, const std::string& key, Entry& entry) -> void;
  // The workers to ask about now, those that are most likely to be granted
  // first.
  auto WorkersToAsk(TimePoint now, const Entry& entry) const
      -> std::vector<std::string>;
  auto OnAdvice(TimePoint asked,
                const AdviceCall& call,
                const std::string& key,
                TimePoint answered,
                const AdviceResult& result) -> void;
  // Removes ids of workers that are not in use any more.
  auto TrimGranted(const TicketRequest& request) -> void;

  AskAdvice ask_;
  std::map<std::string, Entry> entries_;
  // Keys of the entries whose call is queued, oldest first.
  std::deque<std::string> queued_;
  int calls_under_way_ = 0;
  // When the service last answered a call.
  TimePoint answered_at_;
  // Workers that were granted to a step, by queue.
  std::map<std::string, std::set<std::string>> granted_;
  // Distinguishes answers to calls made before `Clear`.
  uint64_t generation_ = 0;
  bool updated_ = false;
  TimePoint next_request_at_ = TimePoint::max();
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_TICKET_CACHE_H_
