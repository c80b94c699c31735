#ifndef RHUBARBHAVEN_BASE_BOUNDED_STDOUT_SINK_H_
#define RHUBARBHAVEN_BASE_BOUNDED_STDOUT_SINK_H_

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>

#include "Base/time.h"

namespace rhubarbhaven {

// Writes lines to standard output, at a bounded rate and without ever waiting
// for the reader. What goes wrong without it: a burst of requests makes a burst
// of lines, the reader of the pipe falls behind, and a thread that decides
// stands still in a write. Lines left out are counted in a later line.
class BoundedStdoutSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  // Lines a second on average, and at once. A line costs some ten microseconds
  // of a processor, so the rate costs a percent or less of a core.
  static constexpr double kLinesPerSecond = 400;
  static constexpr double kBurst = 1200;

 protected:
  auto sink_it_(const spdlog::details::log_msg& message) -> void override;
  auto flush_() -> void override {}

 private:
  auto TakeToken() -> bool;
  auto WriteLine(const spdlog::memory_buf_t& line) -> bool;
  auto TellLeftOut() -> void;

  double tokens_ = kBurst;
  TimePoint refilled_at_ = Clock::now();
  uint64_t left_out_ = 0;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_BOUNDED_STDOUT_SINK_H_
