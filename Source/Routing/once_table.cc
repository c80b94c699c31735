#include "Routing/once_table.h"

#include <algorithm>

namespace rhubarbhaven {

OnceTable::OnceTable(OnceTableOptions options) : options_(options) {}

auto OnceTable::Apply(TimePoint now,
                      uint64_t offset,
                      const schema::LogRecord& record)
    -> std::vector<OnceEvent> {
  std::vector<OnceEvent> events;
  DropOld(now);
  const bool first_of_incarnation =
      !sequences_.contains({record.writer(), record.incarnation()});
  if (IsRepeated(record)) {
    return events;
  }
  if (first_of_incarnation) {
    newest_[record.writer()] = record.incarnation();
    events.push_back({OnceEvent::Kind::kEntryRestarted, record.writer()});
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

auto OnceTable::Find(const std::string& key) const -> const OnceKey* {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : &found->second;
}

auto OnceTable::IsOrphan(const OnceKey& key) const -> bool {
  const auto newest = newest_.find(key.entry);
  return !key.answered && !key.unknown && newest != newest_.end() &&
         newest->second != key.entry_incarnation;
}

auto OnceTable::DropOld(TimePoint now) -> void {
  while (!ages_.empty() && now - ages_.front().at >= options_.retention) {
    const OnceKey* key = Find(ages_.front().key);
    if (key != nullptr && key->intent_offset == ages_.front().intent_offset &&
        now - key->renewed >= options_.retention) {
      Erase(ages_.front().key);
    }
    ages_.pop_front();
  }
}

// An append whose answer was lost may be in the stream twice. Applied again,
// an intent would take a key that was freed in between.
auto OnceTable::IsRepeated(const schema::LogRecord& record) -> bool {
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

auto OnceTable::ApplyIntent(TimePoint now,
                            uint64_t offset,
                            const schema::OnceIntent& intent,
                            std::vector<OnceEvent>& events) -> void {
  const auto [place, is_first] = keys_.try_emplace(intent.key());
  place->second.renewed = now;
  // Entries that started at different times forget a key at different times.
  // One that still has it takes the intent for void where another runs it;
  // were it to forget the key soon after, the key could be run again. A void
  // intent therefore renews the key.
  if (!is_first) {
    ages_.push_back({now, intent.key(), place->second.intent_offset});
    return;
  }
  place->second.intent_offset = offset;
  place->second.entry = intent.entry();
  place->second.entry_incarnation = intent.entry_incarnation();
  place->second.request_hash = intent.request_hash();
  ages_.push_back({now, intent.key(), offset});
  events.push_back({OnceEvent::Kind::kIntent, intent.key()});
}

auto OnceTable::ApplyDone(const schema::OnceDone& done,
                          std::vector<OnceEvent>& events) -> void {
  const auto found = keys_.find(done.key());
  if (found == keys_.end() ||
      found->second.intent_offset != done.intent_offset() ||
      found->second.answered) {
    return;
  }
  if (done.not_run()) {
    Erase(done.key());
    events.push_back({OnceEvent::Kind::kFreed, done.key()});
    return;
  }
  OnceKey& key = found->second;
  const std::size_t bytes = done.answer().ByteSizeLong();
  const bool kept =
      done.has_answer() && answer_bytes_ + bytes <= options_.max_answer_bytes;
  key.answered = kept;
  key.unknown = !kept;
  if (kept) {
    key.answer = done.answer();
    answer_bytes_ += bytes;
  }
  events.push_back({OnceEvent::Kind::kDone, done.key()});
}

auto OnceTable::Erase(const std::string& key) -> void {
  const auto found = keys_.find(key);
  answer_bytes_ -= found->second.answer.ByteSizeLong();
  keys_.erase(found);
}

}  // namespace rhubarbhaven
