#include "Jobs/Log/append_batcher.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// The newest response time enters the smoothed one with a weight of one part in
// this many.
constexpr int kSmoothing = 4;
constexpr int kTimeoutFactor = 4;
constexpr int kMaxDoublings = 5;
// Assumed of a link whose bandwidth is unknown, for the timeouts only.
constexpr std::size_t kAssumedBytesPerSecond = 250000;
// Other traffic may take as much of the link as the request.
constexpr int kLinkShare = 2;

auto SizeOf(const std::vector<KeyedRecord>& records) -> std::size_t {
  std::size_t bytes = 0;
  for (const auto& record : records) {
    bytes += SizeInLog(record);
  }
  return bytes;
}

}  // namespace

AppendBatcher::AppendBatcher(AppendBatcherOptions options)
    : options_(std::move(options)),
      max_records_(options_.max_records),
      sequence_(options_.first_sequence) {}

auto AppendBatcher::Enqueue(uint64_t ticket, std::vector<KeyedRecord> records)
    -> void {
  pending_bytes_ += SizeOf(records);
  entries_.push_back({ticket, std::move(records), 0, {}});
}

auto AppendBatcher::EnqueueFirst(uint64_t ticket,
                                 std::vector<KeyedRecord> records) -> void {
  pending_bytes_ += SizeOf(records);
  urgent_.push_back({ticket, std::move(records), 0, {}});
}

auto AppendBatcher::Next(TimePoint now, bool link_busy)
    -> std::optional<AppendCall> {
  if (in_flight_ || fenced_ || now < not_before_) {
    return std::nullopt;
  }
  if (batch_records_ == 0) {
    FillBatch(now);
  }
  if (batch_records_ == 0) {
    return std::nullopt;
  }
  AppendCall call;
  call.producer = options_.producer;
  call.epoch = options_.epoch;
  call.sequence = sequence_;
  call.timeout =
      link_busy ? std::max(Timeout(), options_.busy_timeout) : Timeout();
  call.records = RecordsOfBatch();
  in_flight_ = true;
  sent_at_ = now;
  return call;
}

auto AppendBatcher::OnResult(TimePoint now, const AppendResult& result)
    -> std::vector<SettledEntry> {
  in_flight_ = false;
  switch (result.outcome) {
    case AppendOutcome::kAppended:
      smoothed_latency_ += (std::max(Duration(0), now - sent_at_ - LinkTime()) -
                            smoothed_latency_) /
                           kSmoothing;
      return OnStored();
    case AppendOutcome::kRejected:
      rejected_ = true;
      BackOff(now);
      if (options_.settle_rejected && !maybe_stored_) {
        // If the log had stored the batch after all, it would treat the next
        // batch under the same sequence number as a repeat and acknowledge it
        // without storing it. An accepted job would then be missing. A new
        // epoch rules this out.
        ++options_.epoch;
        ++sequence_;
        return SettleBatchAsNotStored();
      }
      return {};
    case AppendOutcome::kInvalid:
      return OnInvalid(now);
    case AppendOutcome::kUnknown:
      maybe_stored_ = true;
      rejected_ = false;
      BackOff(now);
      return {};
    case AppendOutcome::kFenced:
      fenced_ = true;
      return {};
    case AppendOutcome::kOutOfOrder:
      if (result.expected_sequence > sequence_) {
        // An earlier attempt was stored, and the log no longer keeps its
        // response.
        sequence_ = result.expected_sequence - 1;
        return OnStored();
      }
      sequence_ = result.expected_sequence;
      BackOff(now);
      return {};
  }
  return {};
}

auto AppendBatcher::TakeWaiting() -> std::vector<SettledEntry> {
  std::vector<SettledEntry> taken;
  while (entries_.size() > batch_entries_) {
    pending_bytes_ -= SizeOf(entries_.back().records);
    taken.push_back({entries_.back().ticket, EntryOutcome::kNotStored});
    entries_.pop_back();
  }
  std::reverse(taken.begin(), taken.end());
  return taken;
}

auto AppendBatcher::next_wake() const -> TimePoint {
  const bool nothing_to_send = in_flight_ || fenced_ || idle();
  return nothing_to_send ? TimePoint::max() : not_before_;
}

auto AppendBatcher::MaxBatchBytes() const -> std::size_t {
  if (options_.link_bytes_per_second == 0) {
    return options_.max_bytes;
  }
  const auto bytes =
      static_cast<double>(options_.link_bytes_per_second) *
      std::chrono::duration<double>(options_.max_link_time).count();
  return std::min(options_.max_bytes, static_cast<std::size_t>(bytes));
}

auto AppendBatcher::FillBatch(TimePoint now) -> void {
  entries_.insert(entries_.begin(), std::make_move_iterator(urgent_.begin()),
                  std::make_move_iterator(urgent_.end()));
  urgent_.clear();
  const std::size_t max_bytes = MaxBatchBytes();
  batch_bytes_ = 0;
  bool full = false;
  for (const auto& entry : entries_) {
    for (std::size_t i = entry.settled; i < entry.records.size() && !full;
         ++i) {
      const std::size_t bytes = SizeInLog(entry.records[i]);
      full = batch_records_ == max_records_ ||
             (batch_records_ > 0 && batch_bytes_ + bytes > max_bytes);
      batch_records_ += full ? 0 : 1;
      batch_bytes_ += full ? 0 : bytes;
    }
    if (full) {
      break;
    }
    ++batch_entries_;
  }
  // The entry whose records are only in part in this batch.
  batch_entries_ += full ? 1 : 0;
  maybe_stored_ = false;
  first_sent_ = now;
}

auto AppendBatcher::RecordsOfBatch() const -> std::vector<KeyedRecord> {
  std::vector<KeyedRecord> records;
  records.reserve(batch_records_);
  for (const auto& entry : entries_) {
    for (std::size_t i = entry.settled;
         i < entry.records.size() && records.size() < batch_records_; ++i) {
      records.push_back(entry.records[i]);
    }
  }
  return records;
}

auto AppendBatcher::OnStored() -> std::vector<SettledEntry> {
  ++sequence_;
  failures_ = 0;
  rejected_ = false;
  not_before_ = TimePoint();
  max_records_ += std::min(max_records_, options_.max_records - max_records_);
  return SettleBatch(/*invalid=*/false);
}

// A repeat of records that are stored is acknowledged, so no earlier attempt
// has stored these. They leave the sequence number unused.
auto AppendBatcher::OnInvalid(TimePoint now) -> std::vector<SettledEntry> {
  if (options_.settle_rejected) {
    // As after a rejection: the next batch must not be taken for a repeat.
    ++options_.epoch;
  }
  if (batch_records_ > 1) {
    max_records_ = batch_records_ / 2;
    batch_records_ = 0;
    batch_entries_ = 0;
    return {};
  }
  if (!options_.settle_rejected) {
    // The producer may enqueue another version of the record at once.
    BackOff(now);
  }
  return SettleBatch(/*invalid=*/true);
}

auto AppendBatcher::SettleBatch(bool invalid) -> std::vector<SettledEntry> {
  std::vector<SettledEntry> settled;
  while (batch_records_ > 0) {
    Entry& entry = entries_.front();
    const std::size_t count =
        std::min(batch_records_, entry.records.size() - entry.settled);
    if (invalid) {
      entry.invalid_keys.push_back(entry.records[entry.settled].key);
    }
    entry.settled += count;
    batch_records_ -= count;
    if (entry.settled < entry.records.size()) {
      break;
    }
    pending_bytes_ -= SizeOf(entry.records);
    settled.push_back({entry.ticket,
                       entry.invalid_keys.empty() ? EntryOutcome::kStored
                                                  : EntryOutcome::kInvalid,
                       std::move(entry.invalid_keys)});
    entries_.pop_front();
  }
  batch_entries_ = 0;
  return settled;
}

auto AppendBatcher::SettleBatchAsNotStored() -> std::vector<SettledEntry> {
  std::vector<SettledEntry> settled;
  for (; batch_entries_ > 0; --batch_entries_) {
    pending_bytes_ -= SizeOf(entries_.front().records);
    settled.push_back({entries_.front().ticket, EntryOutcome::kNotStored});
    entries_.pop_front();
  }
  batch_records_ = 0;
  return settled;
}

auto AppendBatcher::BackOff(TimePoint now) -> void {
  const int doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const auto pause = options_.initial_backoff * (1 << doublings);
  not_before_ = now + std::min(pause, options_.max_backoff);
}

auto AppendBatcher::LinkTime() const -> Duration {
  const std::size_t rate = options_.link_bytes_per_second > 0
                               ? options_.link_bytes_per_second
                               : kAssumedBytesPerSecond;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(batch_bytes_) / static_cast<double>(rate)));
}

auto AppendBatcher::Timeout() const -> std::chrono::milliseconds {
  const int doublings = std::min(failures_, kMaxDoublings);
  const auto usual = std::max(std::chrono::ceil<std::chrono::milliseconds>(
                                  smoothed_latency_ * kTimeoutFactor),
                              options_.min_timeout);
  return std::min(usual * (1 << doublings), options_.max_timeout) +
         std::chrono::floor<std::chrono::milliseconds>(LinkTime() * kLinkShare);
}

}  // namespace rhubarbhaven::jobs
