#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_2_WORLD_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_2_WORLD_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// What all stand-ins share: one lock, the time since the start, and the record
// of what was sent, answered and run.
class World {
 public:
  // Writes the record to `path`; exits with 2 if it cannot be written.
  explicit World(const std::string& path);

  // Milliseconds since the stand-in started.
  auto Now() const -> int64_t;
  // Adds a line with the time. The caller holds `mutex`.
  auto Note(const std::string& line) -> void;

  std::mutex mutex;
  // Notified of each change of the log or of a worker.
  std::condition_variable changed;

 private:
  Clock::time_point started_ = Clock::now();
  std::ofstream record_;
};

}  // namespace review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_2_WORLD_H_
