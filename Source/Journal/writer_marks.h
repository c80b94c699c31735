#ifndef RHUBARBHAVEN_JOURNAL_WRITER_MARKS_H_
#define RHUBARBHAVEN_JOURNAL_WRITER_MARKS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// Highest applied sequence number of each writer incarnation, so that a record
// that was appended twice takes effect once. The number of writers is bounded;
// the least recent writer is removed first.
class WriterMarks {
 public:
  static constexpr std::size_t kMaxWriters = 1024;

  // Returns false if the record is a duplicate. Records must be passed in
  // offset order.
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
