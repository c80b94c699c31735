#ifndef RHUBARBHAVEN_JOBS_TICKET_BOOK_H_
#define RHUBARBHAVEN_JOBS_TICKET_BOOK_H_

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
  // Ids of workers, at most `kMostAdvisedWorkers`.
  std::vector<std::string> workers;
};

// The most workers that one call may name, by the service's contract.
inline constexpr std::size_t kMostAdvisedWorkers = 100;

struct Ticket {
  std::string worker_id;
  std::string text;
};

struct AdviceResult {
  bool answered = false;
  std::vector<Ticket> tickets;
  std::chrono::milliseconds valid{0};
};

// Asks the policy; answers once, on the thread of the decisions.
using AskAdvice =
    std::function<auto(const AdviceCall&,
                       std::function<auto(TimePoint, AdviceResult)->void>)
                      ->void>;

// The tickets of steps whose queue has a policy. Tickets are asked for once a
// step and again when they have run out or the set of workers has grown.
class TicketBook {
 public:
  explicit TicketBook(AskAdvice ask) : ask_(std::move(ask)) {}

  // The ticket for a worker, if there is one that holds for a while. Otherwise
  // asks, unless a call is under way or was made a moment ago.
  auto Find(TimePoint now,
            const TaskName& step,
            const std::string& worker_id,
            const std::vector<std::string>& workers)
      -> std::optional<std::string>;
  // The same, without a question.
  auto Held(TimePoint now,
            const TaskName& step,
            const std::string& worker_id) const -> std::optional<std::string>;
  // A worker has refused the step's ticket.
  auto Drop(const TaskName& step, const std::string& worker_id) -> void;
  // The job is over.
  auto Forget(const std::string& job) -> void;
  auto Clear() -> void;
  // Whether tickets came since this was last called, or a question that had to
  // wait may be asked now: the tasks that need them are to be looked at.
  auto TakeNews(TimePoint now) -> bool;
  // When a question that has to wait may be asked.
  auto ask_again_at() const -> TimePoint { return ask_again_at_; }

 private:
  struct Entry {
    std::map<std::string, std::string> tickets;
    std::vector<std::string> asked_about;
    TimePoint valid_until;
    TimePoint asked_at;
    bool asking = false;
  };

  static auto Key(const TaskName& step) -> std::string;
  auto AskIfDue(TimePoint now,
                const TaskName& step,
                const std::vector<std::string>& workers) -> void;

  AskAdvice ask_;
  std::map<std::string, Entry> entries_;
  // Answers to calls of before `Clear` are told apart by this.
  uint64_t generation_ = 0;
  bool news_ = false;
  TimePoint ask_again_at_ = TimePoint::max();
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_TICKET_BOOK_H_
