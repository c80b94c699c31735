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
  // Whether objects of the partner that the register does not list are removed.
  bool prune = false;
  // Versions that the operator expects to be current, by "kind/name".
  std::map<std::string, uint64_t> expected;
};

struct ChangePlan {
  schema::ConfigChange change;
  std::vector<std::string> created;
  std::vector<std::string> changed;
  std::vector<std::string> removed;
  // Objects that the register does not list and that remain, without `prune`.
  std::vector<std::string> kept;
  // Highest version of the partner's objects. With nothing to change, `--wait`
  // waits for this version.
  uint64_t current_version = 0;
};

// Computes the change that turns the current objects into the wanted ones.
// Returns InvalidArgument if an expected version is given for an object that is
// neither in the file nor among the partner's.
//
// Values that operators set by commands (an instance's `draining` and
// `lost_incarnation`, a job's `cancelled`) are kept where the register does not
// set them. Otherwise, applying an unchanged register would return a drained
// instance to use and run a cancelled job.
auto PlanChange(const ChangePlanOptions& options,
                const std::vector<RegisterObject>& wanted,
                const std::vector<schema::VersionedObject>& current)
    -> absl::StatusOr<ChangePlan>;

// Parses items of the form "kind/name=version". Returns InvalidArgument if an
// item has another form.
auto ParseExpected(const std::vector<std::string>& items)
    -> absl::StatusOr<std::map<std::string, uint64_t>>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_CHANGE_PLAN_H_
