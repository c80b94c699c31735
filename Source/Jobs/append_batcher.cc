#include "Jobs/append_batcher.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// Weight of the newest answer in the usual time of one.
constexpr int kSmoothing = 4;
constexpr int kTimeoutFactor = 4;
constexpr int kMostDoublings = 5;

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
      usual_answer_ += (now - sent_at_ - usual_answer_) / kSmoothing;
      return Settle(AppendFate::kStored);
    case AppendOutcome::kRefused:
      refused_ = true;
      BackOff(now);
      if (options_.give_back_refused && !maybe_stored_) {
        // Had the log stored the batch all the same, it would take the next one
        // under the same number for a repeat and answer without storing it: an
        // accepted job would be unknown. Under a new epoch it cannot.
        ++options_.epoch;
        return Settle(AppendFate::kNotStored);
      }
      return {};
    case AppendOutcome::kUnknown:
      maybe_stored_ = true;
      refused_ = false;
      BackOff(now);
      return {};
    case AppendOutcome::kFenced:
      fenced_ = true;
      return {};
    case AppendOutcome::kOutOfOrder:
      if (result.expected_sequence > sequence_) {
        // An earlier try was stored, and the log no longer repeats its answer.
        sequence_ = result.expected_sequence - 1;
        return Settle(AppendFate::kStored);
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
    taken.push_back({entry.ticket, AppendFate::kNotStored});
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
  while (!waiting_.empty() && batch_.size() < options_.most_entries) {
    bytes += waiting_.front().bytes;
    if (!batch_.empty() && bytes > options_.most_bytes) {
      break;
    }
    batch_.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  maybe_stored_ = false;
  first_sent_ = now;
}

auto AppendBatcher::Settle(AppendFate fate) -> std::vector<SettledEntry> {
  std::vector<SettledEntry> settled;
  for (const auto& entry : batch_) {
    settled.push_back({entry.ticket, fate});
  }
  batch_.clear();
  ++sequence_;
  if (fate == AppendFate::kStored) {
    failures_ = 0;
    refused_ = false;
    not_before_ = TimePoint();
  }
  return settled;
}

auto AppendBatcher::BackOff(TimePoint now) -> void {
  const int doublings = std::min(failures_, kMostDoublings);
  ++failures_;
  const auto pause = options_.first_backoff * (1 << doublings);
  not_before_ = now + std::min(pause, options_.longest_backoff);
}

auto AppendBatcher::Timeout() const -> std::chrono::milliseconds {
  const int doublings = std::min(failures_, kMostDoublings);
  const auto usual = std::max(std::chrono::ceil<std::chrono::milliseconds>(
                                  usual_answer_ * kTimeoutFactor),
                              options_.shortest_timeout);
  return std::min(usual * (1 << doublings), options_.longest_timeout);
}

}  // namespace rhubarbhaven::jobs
