#include "Journal/snapshot.h"

#include <algorithm>

namespace rhubarbhaven {

auto CutSnapshot(uint64_t covers,
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
    -> std::optional<WholeSnapshot> {
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
  WholeSnapshot whole;
  whole.covers = chunk.covers();
  for (const auto& [index, data] : partial.chunks) {
    whole.state += data;
  }
  partials_.erase(id);
  if (StableHash(whole.state) != chunk.state_hash()) {
    return std::nullopt;
  }
  return whole;
}

GapReader::GapReader(uint64_t applied)
    : applied_(applied), next_(applied + 1) {}

auto GapReader::OnBatch(const schema::LogBatch& batch) -> Step {
  if (batch.first_kept() > next_) {
    // What lies between is gone from the log: without the gate, later records
    // would be applied to a state that lacks the lost ones.
    gap_ = true;
    held_.clear();
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
    // Every reader sees the same bytes, so all skip it alike.
    record.Clear();
  }
  for (const auto& entry : record.entries()) {
    if (!gap_ || !entry.has_snapshot() ||
        entry.snapshot().covers() >= item.offset()) {
      continue;
    }
    auto whole = assembler_.Add(entry.snapshot());
    if (whole.has_value() &&
        (!snapshot_.has_value() || whole->covers > snapshot_->covers)) {
      snapshot_ = std::move(whole);
    }
  }
  held_.emplace_back(item.offset(), std::move(record));
}

auto GapReader::first_held() const -> uint64_t {
  return held_.empty() ? next_ : held_.front().first;
}

auto GapReader::Release(Step* step) -> void {
  // The gate: in a gap, what was applied ends before the first record held, so
  // a snapshot that reaches that record covers more than was applied. One
  // that covers less would take the state back, or leave records out.
  if (gap_ && snapshot_.has_value() && snapshot_->covers + 1 >= first_held()) {
    applied_ = snapshot_->covers;
    step->adopt = std::move(snapshot_);
  }
  if (applied_ + 1 < first_held()) {
    return;
  }
  gap_ = false;
  snapshot_.reset();
  for (auto& [offset, record] : held_) {
    if (offset > applied_) {
      applied_ = offset;
      step->records.emplace_back(offset, std::move(record));
    }
  }
  held_.clear();
  next_ = std::max(next_, applied_ + 1);
}

auto GapReader::OnAdopted(uint64_t applied) -> Step {
  applied_ = std::max(applied_, applied);
  Step step;
  if (held_.empty() && applied_ + 1 > next_) {
    next_ = applied_ + 1;
  }
  Release(&step);
  return step;
}

auto GapReader::waiting() const -> bool {
  return gap_;
}

auto GapReader::next() const -> uint64_t {
  return next_;
}

auto GapReader::applied() const -> uint64_t {
  return applied_;
}

}  // namespace rhubarbhaven
