#ifndef RHUBARBHAVEN_BASE_BOUNDED_STDOUT_SINK_H_
#define RHUBARBHAVEN_BASE_BOUNDED_STDOUT_SINK_H_

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>

#include "Base/time.h"

namespace rhubarbhaven {

// Writes lines to standard output at a bounded rate and without blocking.
// Otherwise a burst of requests causes a burst of lines, the reader of the pipe
// falls behind, and a thread that makes decisions blocks in a write. The number
// of dropped lines is logged by a later line.
class BoundedStdoutSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  // Average rate and burst of lines. A line takes about ten microseconds of
  // processor time, so this rate takes at most one percent of a core.
  static constexpr double kLinesPerSecond = 400;
  static constexpr double kBurst = 1200;

 protected:
  auto sink_it_(const spdlog::details::log_msg& message) -> void override;
  auto flush_() -> void override {}

 private:
  auto TakeToken() -> bool;
  auto WriteLine(const spdlog::memory_buf_t& line) -> bool;
  auto LogDroppedCount() -> void;

  double tokens_ = kBurst;
  TimePoint refilled_at_ = Clock::now();
  uint64_t dropped_ = 0;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_BOUNDED_STDOUT_SINK_H_
