#ifndef RHUBARBHAVEN_ROUTING_ATTEMPT_TABLE_H_
#define RHUBARBHAVEN_ROUTING_ATTEMPT_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "Base/base.h"

namespace rhubarbhaven {

// What an agent knows of one attempt.
struct Attempt {
  enum class State { kQueued, kRunning, kFinished };
  State state = State::kQueued;
  std::string entry;
  uint64_t entry_incarnation = 0;
  TimePoint deadline;
  // The offer, until the attempt starts.
  schema::Offer offer;
  // The answer, once finished.
  schema::Answer answer;
};

struct AttemptTableOptions {
  std::chrono::milliseconds retention{10000};
  std::size_t max_answer_bytes = 8 << 20;
  std::size_t max_attempts = 50000;
};

// Every attempt that an agent has seen, kept for a while after its end. Answers
// are forgotten first when they take too much memory, then whole attempts; of
// these a mark stays, so that a forgotten attempt is never called `not_run`.
class AttemptTable {
 public:
  explicit AttemptTable(AttemptTableOptions options);

  auto Find(uint64_t id) -> Attempt*;
  auto Add(uint64_t id, Attempt attempt) -> Attempt&;
  // Keeps the answer for a recall.
  auto Finish(TimePoint now, uint64_t id, schema::Answer answer) -> void;
  auto full() const -> bool;
  // True if an attempt that is not in the table may once have been: entries
  // number their attempts upwards, so it is not above the forgotten ones.
  auto MayBeForgotten(const std::string& entry,
                      uint64_t incarnation,
                      uint64_t id) const -> bool;
  auto DropOld(TimePoint now) -> void;

 private:
  struct Finished {
    TimePoint at;
    uint64_t id = 0;
  };

  auto DropAnswers() -> void;
  auto Forget(uint64_t id) -> void;

  AttemptTableOptions options_;
  std::map<uint64_t, Attempt> attempts_;
  // In order of their end.
  std::deque<Finished> finished_;
  // Finished attempts before this position have no answer any more.
  std::size_t first_with_answer_ = 0;
  std::size_t answer_bytes_ = 0;
  // Highest forgotten attempt that ran, of each entry's incarnation.
  std::map<std::pair<std::string, uint64_t>, uint64_t> forgotten_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ATTEMPT_TABLE_H_
