#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include <random>

#include "Journal/journal.h"

namespace rhubarbhaven {
namespace {

auto Chunks(const std::string& state, std::size_t chunk_bytes)
    -> std::vector<schema::SnapshotChunk> {
  std::vector<schema::SnapshotChunk> chunks;
  for (const auto& entry : SplitSnapshot(9, state, chunk_bytes)) {
    chunks.push_back(entry.snapshot());
  }
  return chunks;
}

struct ChunkCase {
  std::string name;
  // Indexes of the chunks of "abcdefg", of three bytes each, in the order in
  // which they are added; 9 is the first chunk with other bytes.
  std::vector<int> order;
  bool complete;
};

// Guards against a process that starts from a state that never existed. This
// occurs if chunks are assembled by index alone, and a writer crashes while it
// writes a snapshot, or chunks are repeated or damaged.
class AssemblerTest : public testing::TestWithParam<ChunkCase> {};

TEST_P(AssemblerTest, ReturnsTheCompleteStateOrNothing) {
  auto chunks = Chunks("abcdefg", 3);
  ASSERT_EQ(chunks.size(), 3);
  auto damaged = chunks[0];
  damaged.set_data("xyz");
  SnapshotAssembler assembler;
  std::optional<CompleteSnapshot> complete;
  for (const int index : GetParam().order) {
    const auto& chunk =
        index == 9 ? damaged : chunks[static_cast<std::size_t>(index)];
    auto added = assembler.Add(chunk);
    complete = added.has_value() ? added : complete;
  }
  ASSERT_EQ(complete.has_value(), GetParam().complete);
  if (complete.has_value()) {
    EXPECT_EQ(complete->state, "abcdefg");
    EXPECT_EQ(complete->covers, 9);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Orders,
    AssemblerTest,
    testing::Values(ChunkCase{"InOrder", {0, 1, 2}, true},
                    ChunkCase{"Reversed", {2, 1, 0}, true},
                    ChunkCase{"Repeated", {0, 0, 1, 1, 2}, true},
                    ChunkCase{"OneMissing", {0, 2, 0, 2}, false},
                    ChunkCase{"Damaged", {9, 1, 2}, false},
                    ChunkCase{"DamagedThenWhole", {9, 1, 2, 0, 1, 2}, true}),
    [](const auto& info) { return info.param.name; });

TEST(AssemblerTest, AcceptsAnEmptyStateAndDiscardsPartialOnes) {
  SnapshotAssembler assembler;
  EXPECT_TRUE(assembler.Add(Chunks("", 3)[0]).has_value());
  auto first = SplitSnapshot(1, "abcdef", 3)[0].snapshot();
  EXPECT_FALSE(assembler.Add(first).has_value());
  for (uint64_t covers = 2; covers < 20; ++covers) {
    assembler.Add(SplitSnapshot(covers, "abcdef", 3)[0].snapshot());
  }
  // The other chunks of a snapshot whose first chunk was removed are
  // incomplete.
  EXPECT_FALSE(
      assembler.Add(SplitSnapshot(1, "abcdef", 3)[1].snapshot()).has_value());
}

// A stream with retention. Its state is the concatenated text of all records.
class Stream {
 public:
  auto Append(const schema::LogRecord& record) -> void {
    records_.push_back(record.SerializeAsString());
  }
  auto AppendContent() -> void {
    schema::LogRecord record;
    record.add_entries()->mutable_once_intent()->set_key(
        absl::StrCat(next(), ","));
    Append(record);
  }
  auto AppendSnapshot(uint64_t covers, std::size_t chunks_written) -> void {
    auto entries = SplitSnapshot(covers, StateAt(covers), 64);
    chunks_written = std::min(chunks_written, entries.size());
    for (std::size_t i = 0; i < chunks_written; ++i) {
      schema::LogRecord record;
      *record.add_entries() = entries[i];
      Append(record);
    }
  }
  // Appends a snapshot that claims to cover records after it.
  auto AppendImpossibleSnapshot() -> void {
    schema::LogRecord record;
    *record.add_entries() = SplitSnapshot(next() + 3, "?", 64).front();
    Append(record);
  }
  auto Read(uint64_t from, std::size_t limit) const -> schema::LogBatch {
    schema::LogBatch batch;
    batch.set_first_kept(first_kept_);
    batch.set_next(next());
    for (uint64_t offset = std::max(from, first_kept_);
         offset < next() &&
         static_cast<std::size_t>(batch.items_size()) < limit;
         ++offset) {
      auto* item = batch.add_items();
      item->set_offset(offset);
      item->set_data(records_[offset - 1]);
    }
    return batch;
  }
  auto StateAt(uint64_t offset) const -> std::string {
    std::string state;
    for (uint64_t i = 0; i < offset; ++i) {
      schema::LogRecord record;
      record.ParseFromString(records_[i]);
      state += record.entries(0).once_intent().key();
    }
    return state;
  }
  auto Expire(uint64_t below) -> void {
    first_kept_ = std::max(first_kept_, std::min(below, next()));
  }
  auto next() const -> uint64_t { return records_.size() + 1; }

 private:
  std::vector<std::string> records_;
  uint64_t first_kept_ = 1;
};

struct Reader {
  GapReader gap{0};
  std::string state;

  auto Apply(const GapReader::Step& step) -> void {
    if (step.adopt.has_value()) {
      state = step.adopt->state;
    }
    for (const auto& [offset, record] : step.records) {
      state += record.entries(0).once_intent().key();
    }
  }
};

// Guards against a restarted process that lacks records, applies some twice, or
// reverts to an earlier state. This occurs if a gap is not detected, or if it
// is closed by a snapshot that covers less than the gap. Records expire during
// the read; snapshots are old, truncated, or appended during the read; the
// state of a peer is ahead or behind.
TEST(GapReaderTest, StateAlwaysMatchesItsOffset) {
  std::mt19937 random(5);
  int adopted = 0;
  int waited = 0;
  for (int run = 0; run < 300; ++run) {
    Stream stream;
    Reader reader;
    uint64_t before = 0;
    for (int step = 0; step < 150; ++step) {
      const auto kind = random() % 10;
      if (kind < 4) {
        stream.AppendContent();
      } else if (kind == 4) {
        stream.AppendSnapshot(random() % stream.next(), 1 + random() % 6);
        stream.AppendImpossibleSnapshot();
      } else if (kind == 5) {
        stream.Expire(stream.next() - random() % stream.next());
      } else if (kind == 6 && random() % 4 == 0) {
        const uint64_t peer = random() % stream.next();
        if (peer > reader.gap.applied()) {
          reader.state = stream.StateAt(peer);
        }
        reader.Apply(reader.gap.OnAdopted(peer));
      } else {
        const auto batch = stream.Read(reader.gap.next(), 1 + random() % 8);
        const auto step_result = reader.gap.OnBatch(batch);
        adopted += step_result.adopt.has_value() ? 1 : 0;
        reader.Apply(step_result);
        waited += reader.gap.in_gap() ? 1 : 0;
      }
      ASSERT_GE(reader.gap.applied(), before);
      before = reader.gap.applied();
      ASSERT_EQ(reader.state, stream.StateAt(before)) << "at " << before;
    }
    // With a complete snapshot of the end, every reader reaches the end.
    stream.AppendSnapshot(stream.next() - 1, 1000);
    while (reader.gap.next() < stream.next()) {
      reader.Apply(reader.gap.OnBatch(stream.Read(reader.gap.next(), 50)));
    }
    ASSERT_FALSE(reader.gap.in_gap());
    ASSERT_EQ(reader.state, stream.StateAt(stream.next() - 1));
  }
  // Otherwise the test would not cover gaps.
  EXPECT_GT(adopted, 100);
  EXPECT_GT(waited, 100);
}

TEST(GapReaderTest, MalformedRecordsAreSkipped) {
  schema::LogBatch batch;
  batch.set_first_kept(1);
  batch.set_next(2);
  batch.add_items()->set_offset(1);
  batch.mutable_items(0)->set_data("\xff\xff not a record");
  GapReader reader(0);
  EXPECT_EQ(reader.OnBatch(batch).records.size(), 1);
  EXPECT_EQ(reader.applied(), 1);
}

}  // namespace
}  // namespace rhubarbhaven
