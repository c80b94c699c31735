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
  pending_.push_back({std::move(entry), now});
  return true;
}

auto AppendQueue::TakeUnsent() -> std::vector<schema::LogEntry> {
  return TakeUnsentBefore(TimePoint::max());
}

auto AppendQueue::TakeUnsentBefore(TimePoint limit)
    -> std::vector<schema::LogEntry> {
  std::vector<schema::LogEntry> taken;
  while (!pending_.empty() && pending_.front().enqueued_at <= limit) {
    taken.push_back(std::move(pending_.front().entry));
    pending_.pop_front();
  }
  return taken;
}

auto AppendQueue::oldest_unsent() const -> std::optional<TimePoint> {
  if (pending_.empty()) {
    return std::nullopt;
  }
  return pending_.front().enqueued_at;
}

auto AppendQueue::NextRecord(TimePoint now)
    -> std::optional<schema::LogRecord> {
  if (now < next_wake()) {
    return std::nullopt;
  }
  if (!record_.has_value()) {
    FillRecord();
  }
  send_state_ = SendState::kSent;
  sent_at_ = now;
  not_before_ = now + options_.interval;
  return record_;
}

auto AppendQueue::FillRecord() -> void {
  record_.emplace();
  record_->set_writer(options_.writer);
  record_->set_incarnation(options_.incarnation);
  record_->set_sequence(sequence_ + 1);
  record_enqueued_at_.clear();
  maybe_appended_ = false;
  std::size_t bytes = 0;
  while (!pending_.empty() &&
         record_enqueued_at_.size() < options_.max_entries_per_record) {
    bytes += pending_.front().entry.ByteSizeLong();
    if (!record_enqueued_at_.empty() && bytes > options_.max_record_bytes) {
      return;
    }
    *record_->add_entries() = std::move(pending_.front().entry);
    record_enqueued_at_.push_back(pending_.front().enqueued_at);
    pending_.pop_front();
  }
}

auto AppendQueue::OnAppended(TimePoint /*now*/) -> void {
  if (send_state_ == SendState::kSent) {
    ConfirmRecord();
  }
}

auto AppendQueue::OnRejected(TimePoint now) -> void {
  if (send_state_ != SendState::kSent) {
    return;
  }
  send_state_ = SendState::kNone;
  BackOff(now);
  if (maybe_appended_) {
    // An earlier attempt may still arrive. Its entries must keep their sequence
    // number; otherwise both the late arrival and a new record would take
    // effect.
    return;
  }
  for (std::size_t i = record_enqueued_at_.size(); i > 0; --i) {
    auto* entry = record_->mutable_entries(static_cast<int>(i - 1));
    pending_.push_front({std::move(*entry), record_enqueued_at_[i - 1]});
  }
  record_.reset();
  record_enqueued_at_.clear();
}

auto AppendQueue::OnUnknown(TimePoint now) -> void {
  if (send_state_ != SendState::kSent) {
    return;
  }
  send_state_ = SendState::kUnknown;
  maybe_appended_ = true;
  BackOff(now);
}

auto AppendQueue::OnRead(TimePoint /*now*/, const schema::LogRecord& record)
    -> void {
  const bool is_own = record.writer() == options_.writer &&
                      record.incarnation() == options_.incarnation;
  if (is_own && record_.has_value() &&
      record.sequence() == record_->sequence()) {
    ConfirmRecord();
  }
}

auto AppendQueue::OnCaughtUp(TimePoint /*now*/, TimePoint read_sent_at)
    -> void {
  // A read that was sent before the append cannot show that the log lacks the
  // record.
  if (send_state_ == SendState::kUnknown && read_sent_at > sent_at_) {
    send_state_ = SendState::kNone;
  }
}

auto AppendQueue::ConfirmRecord() -> void {
  // The next sequence number may be used only now. Readers ignore every number
  // at or below the highest one that they have read, so a later record that
  // overtook this one would cause this one to be ignored.
  sequence_ = record_->sequence();
  record_.reset();
  record_enqueued_at_.clear();
  send_state_ = SendState::kNone;
  backoff_ = std::chrono::milliseconds(0);
}

auto AppendQueue::BackOff(TimePoint now) -> void {
  backoff_ = std::clamp(backoff_ * 2, options_.first_backoff,
                        options_.longest_backoff);
  not_before_ = std::max(not_before_, now + backoff_);
}

auto AppendQueue::next_wake() const -> TimePoint {
  if (send_state_ != SendState::kNone) {
    return TimePoint::max();
  }
  if (!record_.has_value() && pending_.empty()) {
    return TimePoint::max();
  }
  return not_before_;
}

auto AppendQueue::size() const -> std::size_t {
  return pending_.size() + record_enqueued_at_.size();
}

auto AppendQueue::outcome_unknown() const -> bool {
  return send_state_ == SendState::kUnknown;
}

}  // namespace rhubarbhaven
