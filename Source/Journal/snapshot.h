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

// Splits a folded state into chunks of up to `chunk_bytes` bytes, one log entry
// each. `covers` is the offset of the last record that the state includes.
auto SplitSnapshot(uint64_t covers,
                   const std::string& state,
                   std::size_t chunk_bytes) -> std::vector<schema::LogEntry>;

struct CompleteSnapshot {
  uint64_t covers = 0;
  std::string state;
};

// Reassembles snapshots from chunks, which may be repeated and out of order.
class SnapshotAssembler {
 public:
  // Returns the complete state when its last missing chunk is added. Discards
  // malformed chunks and a state that does not match its checksum.
  auto Add(const schema::SnapshotChunk& chunk)
      -> std::optional<CompleteSnapshot>;

 private:
  // Limit of incomplete snapshots, whose writers may have crashed. Those that
  // cover the fewest records are removed first.
  static constexpr std::size_t kMaxPartials = 8;

  struct Partial {
    uint32_t count = 0;
    std::map<uint32_t, std::string> chunks;
  };
  // By (covers, state hash).
  std::map<std::pair<uint64_t, uint64_t>, Partial> partials_;
};

// Reads a stream whose oldest records may have expired. Buffers the records
// after a gap until a complete snapshot covers the gap, then replays them.
class GapReader {
 public:
  struct Step {
    std::optional<CompleteSnapshot> adopt;
    // Records to apply now, in offset order.
    std::vector<std::pair<uint64_t, schema::LogRecord>> records;
  };
  // `applied`: the offset that the reader's state already covers.
  explicit GapReader(uint64_t applied);
  auto OnBatch(const schema::LogBatch& batch) -> Step;
  // The state was replaced by that of a peer.
  auto OnAdopted(uint64_t applied) -> Step;
  // True while records are buffered because no snapshot covers the gap.
  auto in_gap() const -> bool;
  // Offset from which to read next.
  auto next() const -> uint64_t;
  auto applied() const -> uint64_t;

 private:
  using BufferedRecords = std::vector<std::pair<uint64_t, schema::LogRecord>>;

  auto OnItem(const schema::LogItem& item) -> void;
  auto Release(Step* step) -> void;
  // Offset of the first record that can be applied when the gap closes.
  auto first_buffered() const -> uint64_t;

  uint64_t applied_;
  uint64_t next_;
  bool gap_ = false;
  BufferedRecords buffered_;
  SnapshotAssembler assembler_;
  // The complete snapshot with the highest offset that was read in the gap.
  std::optional<CompleteSnapshot> snapshot_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_SNAPSHOT_H_
