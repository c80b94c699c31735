#ifndef RHUBARBHAVEN_CLIENT_CHANGE_PLAN_H_
#define RHUBARBHAVEN_CLIENT_CHANGE_PLAN_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Journal/journal.h"

namespace rhubarbhaven {

struct ChangePlanOptions {
  std::string partner;
  // Objects of the partner that are not wanted are removed.
  bool prune = false;
  // Versions that the operator vouches to have seen, by "kind/name".
  std::map<std::string, uint64_t> expected;
};

struct ChangePlan {
  schema::ConfigChange change;
  std::vector<std::string> created;
  std::vector<std::string> changed;
  std::vector<std::string> removed;
  // Objects that are not listed but stay, since pruning was not asked for.
  std::vector<std::string> left;
  // Highest version of the partner's objects; what a wait waits for if there
  // is nothing to change.
  uint64_t current_version = 0;
};

// The one change that leads from the current objects to the wanted ones.
//
// What operators set by commands (an instance's `draining` and
// `lost_incarnation`, a job's `cancelled`) is carried over where the register
// does not set it: otherwise applying an unchanged register would put a
// drained instance back into use and run a cancelled job.
auto PlanChange(const ChangePlanOptions& options,
                const std::vector<RegisterObject>& wanted,
                const std::vector<schema::VersionedObject>& current)
    -> absl::StatusOr<ChangePlan>;

// Parses "kind/name=version" items.
auto ParseExpected(const std::vector<std::string>& items)
    -> absl::StatusOr<std::map<std::string, uint64_t>>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_CHANGE_PLAN_H_
