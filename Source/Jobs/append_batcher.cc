#include "Jobs/append_batcher.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// The newest response time enters the smoothed one with a weight of one part in
// this many.
constexpr int kSmoothing = 4;
constexpr int kTimeoutFactor = 4;
constexpr int kMaxDoublings = 5;

auto BytesOf(const std::vector<KeyedRecord>& records) -> std::size_t {
  std::size_t bytes = 0;
  for (const auto& record : records) {
    bytes += record.key.size() + record.value.size();
  }
  return bytes;
}

}  // namespace

AppendBatcher::AppendBatcher(AppendBatcherOptions options)
    : options_(std::move(options)), sequence_(options_.first_sequence) {}

auto AppendBatcher::Enqueue(uint64_t ticket, std::vector<KeyedRecord> records)
    -> void {
  const std::size_t bytes = BytesOf(records);
  waiting_.push_back({ticket, std::move(records), bytes});
}

auto AppendBatcher::Next(TimePoint now) -> std::optional<AppendCall> {
  if (in_flight_ || fenced_ || now < not_before_) {
    return std::nullopt;
  }
  if (batch_.empty()) {
    FillBatch(now);
  }
  if (batch_.empty()) {
    return std::nullopt;
  }
  AppendCall call;
  call.producer = options_.producer;
  call.epoch = options_.epoch;
  call.sequence = sequence_;
  call.timeout = Timeout();
  for (const auto& entry : batch_) {
    call.records.insert(call.records.end(), entry.records.begin(),
                        entry.records.end());
  }
  in_flight_ = true;
  sent_at_ = now;
  return call;
}

auto AppendBatcher::OnResult(TimePoint now, const AppendResult& result)
    -> std::vector<SettledEntry> {
  in_flight_ = false;
  switch (result.outcome) {
    case AppendOutcome::kAppended:
      smoothed_latency_ += (now - sent_at_ - smoothed_latency_) / kSmoothing;
      return Settle(EntryOutcome::kStored);
    case AppendOutcome::kRejected:
      rejected_ = true;
      BackOff(now);
      if (options_.settle_rejected && !maybe_stored_) {
        // If the log had stored the batch after all, it would treat the next
        // batch under the same sequence number as a repeat and acknowledge it
        // without storing it. An accepted job would then be missing. A new
        // epoch rules this out.
        ++options_.epoch;
        return Settle(EntryOutcome::kNotStored);
      }
      return {};
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
        return Settle(EntryOutcome::kStored);
      }
      sequence_ = result.expected_sequence;
      BackOff(now);
      return {};
  }
  return {};
}

auto AppendBatcher::TakeWaiting() -> std::vector<SettledEntry> {
  std::vector<SettledEntry> taken;
  for (const auto& entry : waiting_) {
    taken.push_back({entry.ticket, EntryOutcome::kNotStored});
  }
  waiting_.clear();
  return taken;
}

auto AppendBatcher::next_wake() const -> TimePoint {
  const bool nothing_to_send = in_flight_ || fenced_ || idle();
  return nothing_to_send ? TimePoint::max() : not_before_;
}

auto AppendBatcher::FillBatch(TimePoint now) -> void {
  std::size_t bytes = 0;
  while (!waiting_.empty() && batch_.size() < options_.max_entries) {
    bytes += waiting_.front().bytes;
    if (!batch_.empty() && bytes > options_.max_bytes) {
      break;
    }
    batch_.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  maybe_stored_ = false;
  first_sent_ = now;
}

auto AppendBatcher::Settle(EntryOutcome outcome) -> std::vector<SettledEntry> {
  std::vector<SettledEntry> settled;
  for (const auto& entry : batch_) {
    settled.push_back({entry.ticket, outcome});
  }
  batch_.clear();
  ++sequence_;
  if (outcome == EntryOutcome::kStored) {
    failures_ = 0;
    rejected_ = false;
    not_before_ = TimePoint();
  }
  return settled;
}

auto AppendBatcher::BackOff(TimePoint now) -> void {
  const int doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const auto pause = options_.initial_backoff * (1 << doublings);
  not_before_ = now + std::min(pause, options_.max_backoff);
}

auto AppendBatcher::Timeout() const -> std::chrono::milliseconds {
  const int doublings = std::min(failures_, kMaxDoublings);
  const auto usual = std::max(std::chrono::ceil<std::chrono::milliseconds>(
                                  smoothed_latency_ * kTimeoutFactor),
                              options_.min_timeout);
  return std::min(usual * (1 << doublings), options_.max_timeout);
}

}  // namespace rhubarbhaven::jobs
