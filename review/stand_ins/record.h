#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_RECORD_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using SteadyTime = std::chrono::steady_clock::time_point;

// Milliseconds since this process began, on the steady clock.
auto NowMs() -> int64_t;

// Writes what was sent, answered and run, one line an event, each with the
// milliseconds since the start. Safe to use from any thread.
class Record {
 public:
  // The file at `path` is written anew; lines are lost if it can't be opened.
  explicit Record(const std::string& path);

  auto Write(const std::string& line) -> void;
  // Notes that the rule was broken; the first 20 are written in full.
  auto Break(const std::string& line) -> void;
  // Number of times that the rule was broken.
  auto breaks() -> int;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  int breaks_ = 0;
};

}  // namespace review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_RECORD_H_
