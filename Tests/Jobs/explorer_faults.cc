#include "Tests/Jobs/explorer_faults.h"

#include <cstdlib>
#include <string>

namespace rhubarbhaven::jobs {

using std::chrono::milliseconds;

auto MakeFault(JobWorld& world, int64_t fault, const FaultPlace& place)
    -> void {
  auto& time = world.time();
  const auto [entry, agent, span] = place;
  world.Trace("FAULT " + std::to_string(fault) + " entry " +
              std::to_string(entry) + " agent " + std::to_string(agent) +
              " ms " + std::to_string(span.count()));
  switch (fault) {
    case 0:
      world.KillEntry(entry, time.Milliseconds(200, 4000));
      break;
    case 1:
      world.KillAgent(agent, time.Milliseconds(200, 8000));
      break;
    case 2:
      world.FreezeEntry(entry, span);
      break;
    case 3:
      world.FreezeAgent(agent, span);
      break;
    case 4:
      world.CutLink(entry, agent, span);
      break;
    case 5:
      for (int number = 0; number < world.entries(); ++number) {
        world.CutLink(number, agent, span);
      }
      break;
    case 6:
      world.log().SetMode(VirtualLog::Mode::kRefuses);
      break;
    case 7:
      world.log().SetModeFor("entry-" + std::to_string(entry),
                             VirtualLog::Mode::kSilent);
      break;
    case 8:
      world.log().LoseAnswers(0.3);
      break;
    case 9:
      world.log().Compact();
      break;
    case 10:
      world.log().SetLatency(milliseconds(240));
      break;
    case 11:
      world.worker(agent).Crash();
      break;
    case 12:
      world.worker(agent).SetUnanswered(0.2);
      break;
    case 13:
      world.worker(agent).SetSilent(true);
      break;
    default:
      world.StopEntry(entry);
  }
}

auto ExplorerSeeds(uint64_t count)
    -> testing::internal::ParamGenerator<uint64_t> {
  const char* first = std::getenv("EXPLORER_FIRST");
  const char* number = std::getenv("EXPLORER_COUNT");
  const uint64_t begin =
      first == nullptr ? 1 : std::strtoull(first, nullptr, 10);
  const uint64_t size =
      number == nullptr ? count : std::strtoull(number, nullptr, 10);
  return testing::Range(begin, begin + size);
}

}  // namespace rhubarbhaven::jobs
