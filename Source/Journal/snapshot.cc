#include "Journal/snapshot.h"

#include <algorithm>

namespace rhubarbhaven {

auto SplitSnapshot(uint64_t covers,
                   const std::string& state,
                   std::size_t chunk_bytes) -> std::vector<schema::LogEntry> {
  const std::size_t size = std::max<std::size_t>(chunk_bytes, 1);
  const std::size_t count =
      std::max<std::size_t>((state.size() + size - 1) / size, 1);
  const uint64_t hash = StableHash(state);
  std::vector<schema::LogEntry> entries(count);
  for (std::size_t i = 0; i < count; ++i) {
    auto* chunk = entries[i].mutable_snapshot();
    chunk->set_covers(covers);
    chunk->set_index(static_cast<uint32_t>(i));
    chunk->set_count(static_cast<uint32_t>(count));
    chunk->set_data(state.substr(i * size, size));
    chunk->set_state_hash(hash);
  }
  return entries;
}

auto SnapshotAssembler::Add(const schema::SnapshotChunk& chunk)
    -> std::optional<CompleteSnapshot> {
  if (chunk.index() >= chunk.count()) {
    return std::nullopt;
  }
  const auto id = std::make_pair(chunk.covers(), chunk.state_hash());
  auto& partial = partials_[id];
  if (partial.count == 0) {
    partial.count = chunk.count();
  }
  if (partial.count != chunk.count()) {
    return std::nullopt;
  }
  partial.chunks[chunk.index()] = chunk.data();
  if (partial.chunks.size() < partial.count) {
    if (partials_.size() > kMaxPartials) {
      partials_.erase(partials_.begin());
    }
    return std::nullopt;
  }
  CompleteSnapshot complete;
  complete.covers = chunk.covers();
  for (const auto& [index, data] : partial.chunks) {
    complete.state += data;
  }
  partials_.erase(id);
  if (StableHash(complete.state) != chunk.state_hash()) {
    return std::nullopt;
  }
  return complete;
}

GapReader::GapReader(uint64_t applied)
    : applied_(applied), next_(applied + 1) {}

auto GapReader::OnBatch(const schema::LogBatch& batch) -> Step {
  if (batch.first_kept() > next_) {
    // The records in between have expired. Later records must be buffered, or
    // they would be applied to a state that lacks the expired ones.
    gap_ = true;
    buffered_.clear();
    next_ = batch.first_kept();
  }
  for (const auto& item : batch.items()) {
    if (item.offset() >= next_) {
      OnItem(item);
      next_ = item.offset() + 1;
    }
  }
  Step step;
  Release(&step);
  return step;
}

auto GapReader::OnItem(const schema::LogItem& item) -> void {
  schema::LogRecord record;
  if (!record.ParseFromString(item.data())) {
    // Every reader reads the same bytes, so every reader skips this record.
    record.Clear();
  }
  for (const auto& entry : record.entries()) {
    if (!gap_ || !entry.has_snapshot() ||
        entry.snapshot().covers() >= item.offset()) {
      continue;
    }
    auto complete = assembler_.Add(entry.snapshot());
    if (complete.has_value() &&
        (!snapshot_.has_value() || complete->covers > snapshot_->covers)) {
      snapshot_ = std::move(complete);
    }
  }
  buffered_.emplace_back(item.offset(), std::move(record));
}

auto GapReader::first_buffered() const -> uint64_t {
  return buffered_.empty() ? next_ : buffered_.front().first;
}

auto GapReader::Release(Step* step) -> void {
  // In a gap, the applied records end before the first buffered one, so a
  // snapshot that reaches the first buffered record covers more than was
  // applied. A snapshot that covers less would revert the state or omit
  // records.
  if (gap_ && snapshot_.has_value() &&
      snapshot_->covers + 1 >= first_buffered()) {
    applied_ = snapshot_->covers;
    step->adopt = std::move(snapshot_);
  }
  if (applied_ + 1 < first_buffered()) {
    return;
  }
  gap_ = false;
  snapshot_.reset();
  for (auto& [offset, record] : buffered_) {
    if (offset > applied_) {
      applied_ = offset;
      step->records.emplace_back(offset, std::move(record));
    }
  }
  buffered_.clear();
  next_ = std::max(next_, applied_ + 1);
}

auto GapReader::OnAdopted(uint64_t applied) -> Step {
  applied_ = std::max(applied_, applied);
  Step step;
  if (buffered_.empty() && applied_ + 1 > next_) {
    next_ = applied_ + 1;
  }
  Release(&step);
  return step;
}

auto GapReader::in_gap() const -> bool {
  return gap_;
}

auto GapReader::next() const -> uint64_t {
  return next_;
}

auto GapReader::applied() const -> uint64_t {
  return applied_;
}

}  // namespace rhubarbhaven
