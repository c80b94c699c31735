#ifndef RHUBARBHAVEN_JOURNAL_REGISTER_CHECK_H_
#define RHUBARBHAVEN_JOURNAL_REGISTER_CHECK_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// Checks one object by itself; part of the fold, so it must never depend on
// anything but its arguments.
auto CheckObject(const schema::ObjectKey& key,
                 const schema::ConfigObject& object) -> absl::Status;

// A register file as objects with keys; an error names the field.
struct RegisterObject {
  schema::ObjectKey key;
  schema::ConfigObject object;
};
auto ObjectsOf(const std::string& origin, const schema::RegisterFile& file)
    -> absl::StatusOr<std::vector<RegisterObject>>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_REGISTER_CHECK_H_
