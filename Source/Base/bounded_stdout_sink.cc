#include "Base/bounded_stdout_sink.h"

#include <absl/strings/str_cat.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <string>

namespace rhubarbhaven {

auto BoundedStdoutSink::sink_it_(const spdlog::details::log_msg& message)
    -> void {
  const bool is_mandatory = message.level >= spdlog::level::warn;
  if (!TakeToken() && !is_mandatory) {
    ++dropped_;
    return;
  }
  LogDroppedCount();
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (!WriteLine(line)) {
    ++dropped_;
  }
}

auto BoundedStdoutSink::TakeToken() -> bool {
  const TimePoint now = Clock::now();
  const double seconds =
      std::chrono::duration<double>(now - refilled_at_).count();
  refilled_at_ = now;
  tokens_ = std::min(kBurst, tokens_ + seconds * kLinesPerSecond);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

auto BoundedStdoutSink::WriteLine(const spdlog::memory_buf_t& line) -> bool {
  // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
  const std::size_t size = std::min<std::size_t>(line.size(), PIPE_BUF);
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
    return false;
  }
  return write(STDOUT_FILENO, line.data(), size) > 0;
}

auto BoundedStdoutSink::LogDroppedCount() -> void {
  if (dropped_ == 0) {
    return;
  }
  const std::string text = absl::StrCat("Log lines dropped. count=", dropped_);
  dropped_ = 0;
  const spdlog::details::log_msg message("log", spdlog::level::info, text);
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  static_cast<void>(WriteLine(line));
}

}  // namespace rhubarbhaven
