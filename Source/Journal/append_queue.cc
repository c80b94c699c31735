#include "Journal/append_queue.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven {

AppendQueue::AppendQueue(AppendQueueOptions options)
    : options_(std::move(options)) {}

auto AppendQueue::Enqueue(schema::LogEntry entry, TimePoint now) -> bool {
  if (size() >= options_.max_entries) {
    return false;
  }
  waiting_.push_back({std::move(entry), now});
  return true;
}

auto AppendQueue::TakeUnsent() -> std::vector<schema::LogEntry> {
  return TakeUnsentBefore(TimePoint::max());
}

auto AppendQueue::TakeUnsentBefore(TimePoint limit)
    -> std::vector<schema::LogEntry> {
  std::vector<schema::LogEntry> taken;
  while (!waiting_.empty() && waiting_.front().since <= limit) {
    taken.push_back(std::move(waiting_.front().entry));
    waiting_.pop_front();
  }
  return taken;
}

auto AppendQueue::oldest_unsent() const -> std::optional<TimePoint> {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  return waiting_.front().since;
}

auto AppendQueue::NextRecord(TimePoint now)
    -> std::optional<schema::LogRecord> {
  if (now < next_wake()) {
    return std::nullopt;
  }
  if (!record_.has_value()) {
    FillRecord();
  }
  flight_ = Flight::kSent;
  sent_at_ = now;
  not_before_ = now + options_.interval;
  return record_;
}

auto AppendQueue::FillRecord() -> void {
  record_.emplace();
  record_->set_writer(options_.writer);
  record_->set_incarnation(options_.incarnation);
  record_->set_sequence(sequence_ + 1);
  record_since_.clear();
  maybe_appended_ = false;
  std::size_t bytes = 0;
  while (!waiting_.empty() &&
         record_since_.size() < options_.max_entries_per_record) {
    bytes += waiting_.front().entry.ByteSizeLong();
    if (!record_since_.empty() && bytes > options_.max_record_bytes) {
      return;
    }
    *record_->add_entries() = std::move(waiting_.front().entry);
    record_since_.push_back(waiting_.front().since);
    waiting_.pop_front();
  }
}

auto AppendQueue::OnAppended(TimePoint /*now*/) -> void {
  if (flight_ == Flight::kSent) {
    Settle();
  }
}

auto AppendQueue::OnRefused(TimePoint now) -> void {
  if (flight_ != Flight::kSent) {
    return;
  }
  flight_ = Flight::kNone;
  BackOff(now);
  if (maybe_appended_) {
    // An earlier try may still arrive. Its entries must keep their number, or
    // the late arrival and a new record would both take effect.
    return;
  }
  for (std::size_t i = record_since_.size(); i > 0; --i) {
    auto* entry = record_->mutable_entries(static_cast<int>(i - 1));
    waiting_.push_front({std::move(*entry), record_since_[i - 1]});
  }
  record_.reset();
  record_since_.clear();
}

auto AppendQueue::OnUnknown(TimePoint now) -> void {
  if (flight_ != Flight::kSent) {
    return;
  }
  flight_ = Flight::kUnknown;
  maybe_appended_ = true;
  BackOff(now);
}

auto AppendQueue::OnRead(TimePoint /*now*/, const schema::LogRecord& record)
    -> void {
  const bool ours = record.writer() == options_.writer &&
                    record.incarnation() == options_.incarnation;
  if (ours && record_.has_value() && record.sequence() == record_->sequence()) {
    Settle();
  }
}

auto AppendQueue::OnCaughtUp(TimePoint /*now*/, TimePoint asked) -> void {
  // A read that was sent before the append proves nothing about it.
  if (flight_ == Flight::kUnknown && asked > sent_at_) {
    flight_ = Flight::kNone;
  }
}

auto AppendQueue::Settle() -> void {
  // Only now may the next number be used: readers drop every number at or
  // below the highest they saw, so a later record that overtook this one
  // would void it.
  sequence_ = record_->sequence();
  record_.reset();
  record_since_.clear();
  flight_ = Flight::kNone;
  backoff_ = std::chrono::milliseconds(0);
}

auto AppendQueue::BackOff(TimePoint now) -> void {
  backoff_ = std::clamp(backoff_ * 2, options_.first_backoff,
                        options_.longest_backoff);
  not_before_ = std::max(not_before_, now + backoff_);
}

auto AppendQueue::next_wake() const -> TimePoint {
  if (flight_ != Flight::kNone) {
    return TimePoint::max();
  }
  if (!record_.has_value() && waiting_.empty()) {
    return TimePoint::max();
  }
  return not_before_;
}

auto AppendQueue::size() const -> std::size_t {
  return waiting_.size() + record_since_.size();
}

auto AppendQueue::unsure() const -> bool {
  return flight_ == Flight::kUnknown;
}

}  // namespace rhubarbhaven
