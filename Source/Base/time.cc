#include "Base/time.h"

#include <ctime>

namespace rhubarbhaven {

auto Clock::now() noexcept -> time_point {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

auto ThreadProcessorTime() -> Duration {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

}  // namespace rhubarbhaven
