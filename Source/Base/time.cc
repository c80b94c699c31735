#include "Base/time.h"

#include <ctime>

namespace rhubarbhaven {

auto Clock::now() noexcept -> time_point {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace rhubarbhaven
