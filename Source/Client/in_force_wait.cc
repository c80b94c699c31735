#include "Client/in_force_wait.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <ostream>
#include <set>
#include <thread>

#include "Client/command.h"

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kPollInterval{100};

auto LaggingAtAnyEntry(EntryClient* entries, uint64_t offset)
    -> std::vector<std::string> {
  // More than one entry may list the same agent.
  std::set<std::string> names;
  for (const auto& url : entries->urls()) {
    const auto status = entries->Status(url);
    if (!status.ok()) {
      names.insert(absl::StrCat(url, " (no answer)"));
      continue;
    }
    const auto lagging = Lagging(*status, offset);
    names.insert(lagging.begin(), lagging.end());
  }
  return {names.begin(), names.end()};
}

}  // namespace

auto Lagging(const schema::OperatorStatus& status, uint64_t offset)
    -> std::vector<std::string> {
  std::vector<std::string> names;
  if (status.config_applied() < offset) {
    names.push_back(
        absl::StrCat(status.process(), " (at ", status.config_applied(), ")"));
  }
  for (const auto& agent : status.agents()) {
    if (agent.config_applied() < offset) {
      names.push_back(
          absl::StrCat(agent.agent(), " (at ", agent.config_applied(), ")"));
    }
  }
  return names;
}

auto WaitInForce(EntryClient* entries,
                 uint64_t offset,
                 TimePoint deadline,
                 std::ostream& progress) -> absl::Status {
  std::vector<std::string> previous;
  while (true) {
    const auto names = LaggingAtAnyEntry(entries, offset);
    if (names.empty()) {
      return absl::OkStatus();
    }
    if (Clock::now() >= deadline) {
      return absl::DeadlineExceededError(absl::StrCat(
          "offset ", offset,
          " is not in force everywhere: ", absl::StrJoin(names, ", ")));
    }
    if (names != previous) {
      progress << "waiting for " << names.size() << ": "
               << absl::StrJoin(names, ", ") << "\n";
    }
    previous = names;
    std::this_thread::sleep_for(std::min(kPollInterval, TimeLeft(deadline)));
  }
}

}  // namespace rhubarbhaven
