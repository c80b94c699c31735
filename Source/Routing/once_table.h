#ifndef RHUBARBHAVEN_ROUTING_ONCE_TABLE_H_
#define RHUBARBHAVEN_ROUTING_ONCE_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// What the stream says of one key.
struct OnceKey {
  // Offset of the intent that won.
  uint64_t intent_offset = 0;
  std::string entry;
  uint64_t entry_incarnation = 0;
  uint64_t request_hash = 0;
  // The outcome; neither of these while there is none.
  bool answered = false;
  bool unknown = false;
  schema::StoredAnswer answer;
  // The latest intent for the key, also one that came too late.
  TimePoint renewed;
};

// What a record changed.
struct OnceEvent {
  enum class Kind {
    // An intent took effect.
    kIntent,
    // The key has an outcome.
    kDone,
    // The key's intent was proved not to have run.
    kFreed,
    // A new incarnation of the entry wrote for the first time.
    kEntryRestarted,
  };
  Kind kind = Kind::kIntent;
  // Of the key; for kEntryRestarted, of the entry.
  std::string name;
};

struct OnceTableOptions {
  std::chrono::seconds retention{3600};
  std::size_t max_keys = 50000;
  std::size_t max_answer_bytes = 16 << 20;
};

// Fold of the stream of non-repeatable requests. The first intent for a key
// takes effect and stays until it is proved not to have run or its time is
// over, so that every entry sees the same one run the request.
class OnceTable {
 public:
  explicit OnceTable(OnceTableOptions options);

  auto Apply(TimePoint now, uint64_t offset, const schema::LogRecord& record)
      -> std::vector<OnceEvent>;
  auto Find(const std::string& key) const -> const OnceKey*;
  // True if the entry that wrote the intent has restarted since, so that
  // nobody will say what became of it.
  auto IsOrphan(const OnceKey& key) const -> bool;
  auto full() const -> bool { return keys_.size() >= options_.max_keys; }
  auto DropOld(TimePoint now) -> void;

 private:
  struct Age {
    TimePoint at;
    std::string key;
    uint64_t intent_offset = 0;
  };

  auto IsRepeated(const schema::LogRecord& record) -> bool;
  auto ApplyIntent(TimePoint now,
                   uint64_t offset,
                   const schema::OnceIntent& intent,
                   std::vector<OnceEvent>& events) -> void;
  auto ApplyDone(const schema::OnceDone& done, std::vector<OnceEvent>& events)
      -> void;
  auto Erase(const std::string& key) -> void;

  OnceTableOptions options_;
  std::map<std::string, OnceKey> keys_;
  std::deque<Age> ages_;
  std::size_t answer_bytes_ = 0;
  // Highest sequence applied, by writer and incarnation.
  std::map<std::pair<std::string, uint64_t>, uint64_t> sequences_;
  // The incarnation of each entry that first wrote last.
  std::map<std::string, uint64_t> newest_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ONCE_TABLE_H_
