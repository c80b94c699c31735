#ifndef RHUBARBHAVEN_JOBS_COMPLAINT_BOOK_H_
#define RHUBARBHAVEN_JOBS_COMPLAINT_BOOK_H_

#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <utility>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

struct ComplaintBookOptions {
  // A complaint that is still due is made again after this.
  std::chrono::seconds repeat_after{600};
  // Most complaints within that time; the counters go on.
  std::size_t most = 100;
};

// Remembers which input was complained of and why, so that what comes again and
// again is logged once, and a flood of it fills no log.
class ComplaintBook {
 public:
  explicit ComplaintBook(ComplaintBookOptions options = {})
      : options_(options) {}
  // Whether to complain of `what` now.
  auto IsNew(TimePoint now, const std::string& what, const std::string& why)
      -> bool;

 private:
  ComplaintBookOptions options_;
  TimePoint since_;
  std::set<std::pair<std::string, std::string>> made_;
};

// Text of another writer, for a log line: printable, and not long.
auto ForLog(const std::string& text) -> std::string;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_COMPLAINT_BOOK_H_
