#ifndef RHUBARBHAVEN_JOURNAL_SNAPSHOT_H_
#define RHUBARBHAVEN_JOURNAL_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// Cuts a folded state into chunks, ready to be appended.
auto CutSnapshot(uint64_t covers,
                 const std::string& state,
                 std::size_t chunk_bytes) -> std::vector<schema::LogEntry>;

struct WholeSnapshot {
  uint64_t covers = 0;
  std::string state;
};

// Puts chunks together again, whatever their order and repetitions.
class SnapshotAssembler {
 public:
  // The whole state, once its last missing chunk has come. Malformed chunks
  // and a state that does not match its checksum are dropped.
  auto Add(const schema::SnapshotChunk& chunk) -> std::optional<WholeSnapshot>;

 private:
  // Snapshots that never became whole (their writer died) are forgotten, the
  // ones that cover least first.
  static constexpr std::size_t kMaxPartials = 8;

  struct Partial {
    uint32_t count = 0;
    std::map<uint32_t, std::string> chunks;
  };
  // By (covers, state hash).
  std::map<std::pair<uint64_t, uint64_t>, Partial> partials_;
};

// Feeds a reader from a stream whose oldest records may be gone: holds records
// back until a snapshot that covers the gap is whole, then replays them.
class GapReader {
 public:
  struct Step {
    std::optional<WholeSnapshot> adopt;
    // Records to apply now, in offset order.
    std::vector<std::pair<uint64_t, schema::LogRecord>> records;
  };
  // `applied`: the offset that the reader's state covers already.
  explicit GapReader(uint64_t applied);
  auto OnBatch(const schema::LogBatch& batch) -> Step;
  // The state was adopted from elsewhere (a peer).
  auto OnAdopted(uint64_t applied) -> Step;
  // True while records are held back for want of a snapshot.
  auto waiting() const -> bool;
  // Offset from which to read next.
  auto next() const -> uint64_t;
  auto applied() const -> uint64_t;

 private:
  using Held = std::vector<std::pair<uint64_t, schema::LogRecord>>;

  auto OnItem(const schema::LogItem& item) -> void;
  auto Release(Step* step) -> void;
  // Offset of the first record that can be applied when the gap closes.
  auto first_held() const -> uint64_t;

  uint64_t applied_;
  uint64_t next_;
  bool gap_ = false;
  Held held_;
  SnapshotAssembler assembler_;
  // The newest whole snapshot that was read in the gap.
  std::optional<WholeSnapshot> snapshot_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_SNAPSHOT_H_
