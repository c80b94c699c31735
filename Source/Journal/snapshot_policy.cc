#include "Journal/snapshot_policy.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbhaven {
namespace {

constexpr std::size_t kMaxUncovered = 100000;

}  // namespace

SnapshotPolicy::SnapshotPolicy(SnapshotPolicyOptions options)
    : options_(std::move(options)) {}

auto SnapshotPolicy::OnExtent(TimePoint now, uint64_t first_kept, uint64_t next)
    -> void {
  first_kept_ = std::max(first_kept_, first_kept);
  next_ = std::max(next_, next);
  Update(now);
}

auto SnapshotPolicy::OnRecord(TimePoint now,
                              uint64_t offset,
                              const schema::LogRecord& record) -> void {
  next_ = std::max(next_, offset + 1);
  bool has_content = false;
  for (const auto& entry : record.entries()) {
    if (entry.has_snapshot()) {
      OnChunk(now, offset, entry.snapshot());
    } else {
      has_content = true;
    }
  }
  if (has_content && uncovered_.size() < kMaxUncovered) {
    uncovered_.emplace_back(offset, now);
  }
  Update(now);
}

auto SnapshotPolicy::OnChunk(TimePoint now,
                             uint64_t offset,
                             const schema::SnapshotChunk& chunk) -> void {
  if (chunk.covers() <= covered_ || chunk.covers() >= offset ||
      chunk.index() >= chunk.count()) {
    return;
  }
  const auto id = std::make_pair(chunk.covers(), chunk.state_hash());
  auto& partial = partials_[id];
  partial.chunks.insert(chunk.index());
  partial.latest = now;
  if (partial.chunks.size() < chunk.count()) {
    return;
  }
  covered_ = chunk.covers();
  completed_at_ = now;
  written_at_.reset();
  needed_by_count_at_ = TimePoint::max();
  std::erase_if(partials_,
                [&](const auto& item) { return item.first.first <= covered_; });
  while (!uncovered_.empty() && uncovered_.front().first <= covered_) {
    uncovered_.pop_front();
  }
}

auto SnapshotPolicy::NeededByCount() const -> bool {
  const uint64_t kept = next_ - std::min(first_kept_, next_);
  const bool nothing_dropped = first_kept_ <= 1;
  if (nothing_dropped && kept < options_.min_records) {
    return false;
  }
  if (uncovered_.size() >= options_.max_records) {
    return true;
  }
  // A snapshot is usable while the log keeps every record after the offset that
  // it covers. Records between that offset and the chunks (such as the chunks
  // of another process) may expire first, so the covered offset is decisive,
  // not the offset of the chunks.
  const uint64_t usable_from = covered_ + 1;
  return usable_from <= first_kept_ || (usable_from - first_kept_) * 2 < kept;
}

auto SnapshotPolicy::Update(TimePoint now) -> void {
  if (!NeededByCount()) {
    needed_by_count_at_ = TimePoint::max();
  } else if (needed_by_count_at_ == TimePoint::max()) {
    needed_by_count_at_ = now;
  }
}

auto SnapshotPolicy::needed_at() const -> TimePoint {
  TimePoint needed = needed_by_count_at_;
  if (!uncovered_.empty()) {
    needed = std::min(needed, uncovered_.front().second + options_.max_age);
  }
  if (completed_at_.has_value()) {
    needed = std::min(needed, *completed_at_ + options_.refresh_after);
  }
  return needed;
}

auto SnapshotPolicy::write_delay() const -> std::chrono::milliseconds {
  const auto spread = static_cast<uint64_t>(options_.spread.count());
  if (spread == 0) {
    return std::chrono::milliseconds(0);
  }
  // The order changes with each snapshot, so that no process writes all.
  const uint64_t hash = StableHash(options_.writer, covered_);
  return std::chrono::milliseconds(hash % spread);
}

auto SnapshotPolicy::Due(TimePoint now) const -> bool {
  const TimePoint needed = needed_at();
  if (needed == TimePoint::max() || now < needed + write_delay()) {
    return false;
  }
  if (written_at_.has_value() && now < *written_at_ + options_.rewrite_after) {
    return false;
  }
  // Another process may be writing a snapshot.
  return std::none_of(
      partials_.begin(), partials_.end(), [&](const auto& item) {
        return now < item.second.latest + options_.rewrite_after;
      });
}

auto SnapshotPolicy::IsUseful(uint64_t covers) const -> bool {
  return covers >= covered_ && covers + 1 >= first_kept_;
}

auto SnapshotPolicy::OnWritten(TimePoint now) -> void {
  written_at_ = now;
}

auto SnapshotPolicy::covered() const -> uint64_t {
  return covered_;
}

}  // namespace rhubarbhaven
