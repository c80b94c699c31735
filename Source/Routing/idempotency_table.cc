#include "Routing/idempotency_table.h"

#include <algorithm>

namespace rhubarbhaven {

IdempotencyTable::IdempotencyTable(IdempotencyTableOptions options)
    : options_(options) {}

auto IdempotencyTable::Apply(TimePoint now,
                             uint64_t offset,
                             const schema::LogRecord& record)
    -> std::vector<IdempotencyEvent> {
  std::vector<IdempotencyEvent> events;
  RemoveExpired(now);
  const bool first_of_incarnation =
      !sequences_.contains({record.writer(), record.incarnation()});
  if (IsDuplicateRecord(record)) {
    return events;
  }
  if (first_of_incarnation) {
    newest_incarnations_[record.writer()] = record.incarnation();
    events.push_back(
        {IdempotencyEvent::Kind::kEntryRestarted, record.writer()});
  }
  for (const schema::LogEntry& entry : record.entries()) {
    if (entry.has_once_intent()) {
      ApplyIntent(now, offset, entry.once_intent(), events);
    } else if (entry.has_once_done()) {
      ApplyDone(entry.once_done(), events);
    }
  }
  return events;
}

auto IdempotencyTable::Find(const std::string& key) const
    -> const IdempotencyKeyState* {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : &found->second;
}

auto IdempotencyTable::IsOrphan(const IdempotencyKeyState& key) const -> bool {
  const auto newest = newest_incarnations_.find(key.entry);
  return !key.answered && !key.unknown &&
         newest != newest_incarnations_.end() &&
         newest->second != key.entry_incarnation;
}

auto IdempotencyTable::RemoveExpired(TimePoint now) -> void {
  while (!expiry_queue_.empty() &&
         now - expiry_queue_.front().at >= options_.retention) {
    const IdempotencyKeyState* key = Find(expiry_queue_.front().key);
    if (key != nullptr &&
        key->intent_offset == expiry_queue_.front().intent_offset &&
        now - key->last_intent_at >= options_.retention) {
      Erase(expiry_queue_.front().key);
    }
    expiry_queue_.pop_front();
  }
}

// An append whose reply was lost may be in the stream twice. If its intent were
// applied again, it would take a key that was freed in between.
auto IdempotencyTable::IsDuplicateRecord(const schema::LogRecord& record)
    -> bool {
  const auto [highest, is_first] = sequences_.try_emplace(
      {record.writer(), record.incarnation()}, record.sequence());
  if (is_first) {
    return false;
  }
  if (record.sequence() <= highest->second) {
    return true;
  }
  highest->second = record.sequence();
  return false;
}

auto IdempotencyTable::ApplyIntent(TimePoint now,
                                   uint64_t offset,
                                   const schema::OnceIntent& intent,
                                   std::vector<IdempotencyEvent>& events)
    -> void {
  const auto [place, is_first] = keys_.try_emplace(intent.key());
  place->second.last_intent_at = now;
  // Entries that started at different times discard a key at different times.
  // An entry that still has the key ignores an intent that takes effect at
  // another entry and runs there. If the first entry discarded the key soon
  // afterwards, the key could run again. An intent without effect therefore
  // renews the key.
  if (!is_first) {
    expiry_queue_.push_back({now, intent.key(), place->second.intent_offset});
    return;
  }
  place->second.intent_offset = offset;
  place->second.entry = intent.entry();
  place->second.entry_incarnation = intent.entry_incarnation();
  place->second.request_hash = intent.request_hash();
  expiry_queue_.push_back({now, intent.key(), offset});
  events.push_back({IdempotencyEvent::Kind::kIntent, intent.key()});
}

auto IdempotencyTable::ApplyDone(const schema::OnceDone& done,
                                 std::vector<IdempotencyEvent>& events)
    -> void {
  const auto found = keys_.find(done.key());
  if (found == keys_.end() ||
      found->second.intent_offset != done.intent_offset() ||
      found->second.answered) {
    return;
  }
  if (done.not_run()) {
    Erase(done.key());
    events.push_back({IdempotencyEvent::Kind::kFreed, done.key()});
    return;
  }
  IdempotencyKeyState& key = found->second;
  const std::size_t bytes = done.answer().ByteSizeLong();
  const bool kept =
      done.has_answer() && answer_bytes_ + bytes <= options_.max_answer_bytes;
  key.answered = kept;
  key.unknown = !kept;
  if (kept) {
    key.answer = done.answer();
    answer_bytes_ += bytes;
  }
  events.push_back({IdempotencyEvent::Kind::kDone, done.key()});
}

auto IdempotencyTable::Erase(const std::string& key) -> void {
  const auto found = keys_.find(key);
  answer_bytes_ -= found->second.answer.ByteSizeLong();
  keys_.erase(found);
}

}  // namespace rhubarbhaven
