#include "world.h"

#include <cstdio>
#include <cstdlib>

namespace review {

World::World(const std::string& path) : record_(path) {
  if (!record_) {
    std::fprintf(stderr, "cannot write %s\n", path.c_str());
    std::_Exit(2);
  }
}

auto World::Now() const -> int64_t {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - started_)
      .count();
}

auto World::Note(const std::string& line) -> void {
  record_ << Now() << " " << line << std::endl;
}

}  // namespace review
