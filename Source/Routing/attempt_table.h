#ifndef RHUBARBHAVEN_ROUTING_ATTEMPT_TABLE_H_
#define RHUBARBHAVEN_ROUTING_ATTEMPT_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "Base/base.h"

namespace rhubarbhaven {

// The agent's record of one attempt.
struct Attempt {
  enum class State { kQueued, kRunning, kFinished };
  State state = State::kQueued;
  std::string entry;
  uint64_t entry_incarnation = 0;
  TimePoint deadline;
  // The offer; cleared when the attempt starts.
  schema::Offer offer;
  // The answer; set when the attempt has finished.
  schema::Answer answer;
};

struct AttemptTableOptions {
  std::chrono::milliseconds retention{10000};
  std::size_t max_answer_bytes = 8 << 20;
  std::size_t max_attempts = 50000;
};

// The attempts that an agent has received, kept for a retention period after
// they finish. When the answers use too much memory, the oldest ones are
// evicted first. For removed attempts, the highest id per entry incarnation is
// kept, so that a removed attempt is never reported as `not_run`.
class AttemptTable {
 public:
  explicit AttemptTable(AttemptTableOptions options);

  auto Find(uint64_t id) -> Attempt*;
  auto Add(uint64_t id, Attempt attempt) -> Attempt&;
  // Marks the attempt as finished and stores its answer for a later recall.
  auto Finish(TimePoint now, uint64_t id, schema::Answer answer) -> void;
  auto full() const -> bool;
  // True if an attempt that is not in the table may have been removed from it.
  // Entries assign increasing ids, so this is the case if the id is not above
  // the highest removed one.
  auto MayHaveBeenRemoved(const std::string& entry,
                          uint64_t incarnation,
                          uint64_t id) const -> bool;
  auto RemoveExpired(TimePoint now) -> void;

 private:
  struct Finished {
    TimePoint at;
    uint64_t id = 0;
  };

  auto EvictAnswers() -> void;
  auto Remove(uint64_t id) -> void;

  AttemptTableOptions options_;
  std::map<uint64_t, Attempt> attempts_;
  // Ordered by finish time.
  std::deque<Finished> finished_;
  // Answers of finished attempts before this index have been evicted.
  std::size_t first_with_answer_ = 0;
  std::size_t answer_bytes_ = 0;
  // Highest id among the removed attempts that ran, by entry and incarnation.
  std::map<std::pair<std::string, uint64_t>, uint64_t> highest_removed_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ATTEMPT_TABLE_H_
