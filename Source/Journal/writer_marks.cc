#include "Journal/writer_marks.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace rhubarbhaven {
namespace {

auto KeyOf(const std::string& writer, uint64_t incarnation) -> std::string {
  return absl::StrCat(incarnation, "/", writer);
}

}  // namespace

auto WriterMarks::Accept(uint64_t offset, const schema::LogRecord& record)
    -> bool {
  const std::string key = KeyOf(record.writer(), record.incarnation());
  const auto known = marks_.find(key);
  if (known != marks_.end() && record.sequence() <= known->second.sequence()) {
    return false;
  }
  schema::WriterMark mark;
  mark.set_writer(record.writer());
  mark.set_incarnation(record.incarnation());
  mark.set_sequence(record.sequence());
  mark.set_offset(offset);
  Put(key, std::move(mark));
  return true;
}

auto WriterMarks::Put(const std::string& key, schema::WriterMark mark) -> void {
  const auto known = marks_.find(key);
  if (known != marks_.end()) {
    by_offset_.erase(known->second.offset());
  }
  by_offset_[mark.offset()] = key;
  marks_[key] = std::move(mark);
  if (marks_.size() > kMaxWriters) {
    marks_.erase(by_offset_.begin()->second);
    by_offset_.erase(by_offset_.begin());
  }
}

auto WriterMarks::Load(const schema::ConfigState& state) -> void {
  marks_.clear();
  by_offset_.clear();
  for (const auto& mark : state.writers()) {
    Put(KeyOf(mark.writer(), mark.incarnation()), mark);
  }
}

auto WriterMarks::Save(schema::ConfigState* state) const -> void {
  for (const auto& [offset, key] : by_offset_) {
    *state->add_writers() = marks_.at(key);
  }
}

auto WriterMarks::size() const -> std::size_t {
  return marks_.size();
}

}  // namespace rhubarbhaven
