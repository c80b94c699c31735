#ifndef RHUBARBHAVEN_ROUTING_IDEMPOTENCY_TABLE_H_
#define RHUBARBHAVEN_ROUTING_IDEMPOTENCY_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// State of one key according to the stream.
struct IdempotencyKeyState {
  // Offset of the intent that took effect.
  uint64_t intent_offset = 0;
  std::string entry;
  uint64_t entry_incarnation = 0;
  uint64_t request_hash = 0;
  // The outcome; both are false while there is none.
  bool answered = false;
  bool unknown = false;
  schema::StoredAnswer answer;
  // Time of the latest intent for the key, including intents without effect.
  TimePoint last_intent_at;
};

// A change made by a record.
struct IdempotencyEvent {
  enum class Kind {
    // An intent took effect.
    kIntent,
    // The key has an outcome.
    kDone,
    // The key's intent is known not to have run.
    kFreed,
    // A new incarnation of an entry wrote its first record.
    kEntryRestarted,
  };
  Kind kind = Kind::kIntent;
  // Name of the key, or of the entry for kEntryRestarted.
  std::string name;
};

struct IdempotencyTableOptions {
  std::chrono::seconds retention{3600};
  std::size_t max_keys = 50000;
  std::size_t max_answer_bytes = 16 << 20;
};

// Fold of the stream of non-repeatable requests. The first intent for a key
// takes effect and remains until it is known not to have run or its retention
// period ends, so that all entries agree on which of them runs the request.
class IdempotencyTable {
 public:
  explicit IdempotencyTable(IdempotencyTableOptions options);

  auto Apply(TimePoint now, uint64_t offset, const schema::LogRecord& record)
      -> std::vector<IdempotencyEvent>;
  auto Find(const std::string& key) const -> const IdempotencyKeyState*;
  // True if the entry that wrote the intent has restarted since, so that no
  // outcome will be recorded.
  auto IsOrphan(const IdempotencyKeyState& key) const -> bool;
  auto full() const -> bool { return keys_.size() >= options_.max_keys; }
  auto RemoveExpired(TimePoint now) -> void;

 private:
  struct ExpiryItem {
    TimePoint at;
    std::string key;
    uint64_t intent_offset = 0;
  };

  auto IsDuplicateRecord(const schema::LogRecord& record) -> bool;
  auto ApplyIntent(TimePoint now,
                   uint64_t offset,
                   const schema::OnceIntent& intent,
                   std::vector<IdempotencyEvent>& events) -> void;
  auto ApplyDone(const schema::OnceDone& done,
                 std::vector<IdempotencyEvent>& events) -> void;
  auto Erase(const std::string& key) -> void;

  IdempotencyTableOptions options_;
  std::map<std::string, IdempotencyKeyState> keys_;
  std::deque<ExpiryItem> expiry_queue_;
  std::size_t answer_bytes_ = 0;
  // Highest applied sequence number, by writer and incarnation.
  std::map<std::pair<std::string, uint64_t>, uint64_t> sequences_;
  // For each entry, the incarnation whose first record is the latest.
  std::map<std::string, uint64_t> newest_incarnations_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_IDEMPOTENCY_TABLE_H_
