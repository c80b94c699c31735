#include "stand_ins/record.h"

#include <iostream>

namespace review {
namespace {

constexpr int kMaxBreaksWritten = 20;
const SteadyTime kBegan = std::chrono::steady_clock::now();

}  // namespace

auto NowMs() -> int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kBegan)
      .count();
}

Record::Record(const std::string& path) : file_(path) {}

auto Record::Write(const std::string& line) -> void {
  const std::lock_guard lock(mutex_);
  file_ << NowMs() << " " << line << std::endl;
}

auto Record::Break(const std::string& line) -> void {
  const std::lock_guard lock(mutex_);
  if (++breaks_ <= kMaxBreaksWritten) {
    file_ << NowMs() << " BROKEN " << line << std::endl;
    std::cout << "BROKEN " << line << std::endl;
  }
}

auto Record::breaks() -> int {
  const std::lock_guard lock(mutex_);
  return breaks_;
}

}  // namespace review
