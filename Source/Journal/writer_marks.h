#ifndef RHUBARBHAVEN_JOURNAL_WRITER_MARKS_H_
#define RHUBARBHAVEN_JOURNAL_WRITER_MARKS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// Highest sequence number that was applied of each writer incarnation, so
// that a record which was appended twice takes effect once. Remembers a
// bounded number of writers and forgets the one that wrote longest ago.
class WriterMarks {
 public:
  static constexpr std::size_t kMaxWriters = 1024;

  // False if the record is a repeat. Records come in offset order.
  auto Accept(uint64_t offset, const schema::LogRecord& record) -> bool;
  auto Load(const schema::ConfigState& state) -> void;
  auto Save(schema::ConfigState* state) const -> void;
  auto size() const -> std::size_t;

 private:
  auto Put(const std::string& key, schema::WriterMark mark) -> void;

  std::map<std::string, schema::WriterMark> marks_;
  // Keys by the offset of the writer's latest record.
  std::map<uint64_t, std::string> by_offset_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_WRITER_MARKS_H_
