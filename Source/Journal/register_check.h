#ifndef RHUBARBHAVEN_JOURNAL_REGISTER_CHECK_H_
#define RHUBARBHAVEN_JOURNAL_REGISTER_CHECK_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// Kinds of objects, as they stand in `ObjectKey.kind`.
inline constexpr char kServiceKind[] = "service";
inline constexpr char kJobKind[] = "job";
inline constexpr char kInstanceKind[] = "instance";
inline constexpr char kTeamKind[] = "team";
inline constexpr char kRulesKind[] = "rules";
// Name of a partner's one rules object.
inline constexpr char kRulesName[] = "rules";

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
