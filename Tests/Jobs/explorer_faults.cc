#include "Tests/Jobs/explorer_faults.h"

#include <cstdlib>
#include <string>

namespace rhubarbhaven::jobs {

using std::chrono::milliseconds;

auto ApplyFault(SimulatedCluster& cluster,
                int64_t fault,
                const FaultTarget& target) -> void {
  auto& time = cluster.time();
  const auto [entry, agent, span] = target;
  cluster.Trace("FAULT " + std::to_string(fault) + " entry " +
                std::to_string(entry) + " agent " + std::to_string(agent) +
                " ms " + std::to_string(span.count()));
  switch (fault) {
    case 0:
      cluster.KillEntry(entry, time.Milliseconds(200, 4000));
      break;
    case 1:
      cluster.KillAgent(agent, time.Milliseconds(200, 8000));
      break;
    case 2:
      cluster.FreezeEntry(entry, span);
      break;
    case 3:
      cluster.FreezeAgent(agent, span);
      break;
    case 4:
      cluster.CutLink(entry, agent, span);
      break;
    case 5:
      for (int number = 0; number < cluster.entries(); ++number) {
        cluster.CutLink(number, agent, span);
      }
      break;
    case 6:
      cluster.log().SetMode(VirtualLog::Mode::kRejects);
      break;
    case 7:
      cluster.log().SetModeFor("entry-" + std::to_string(entry),
                               VirtualLog::Mode::kUnresponsive);
      break;
    case 8:
      cluster.log().LoseAnswers(0.3);
      break;
    case 9:
      cluster.log().Compact();
      break;
    case 10:
      cluster.log().SetLatency(milliseconds(240));
      break;
    case 11:
      cluster.worker(agent).Crash();
      break;
    case 12:
      cluster.worker(agent).SetUnanswered(0.2);
      break;
    case 13:
      cluster.worker(agent).SetUnresponsive(true);
      break;
    default:
      cluster.StopEntry(entry);
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
