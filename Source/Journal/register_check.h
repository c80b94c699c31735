#ifndef RHUBARBHAVEN_JOURNAL_REGISTER_CHECK_H_
#define RHUBARBHAVEN_JOURNAL_REGISTER_CHECK_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// Kinds of objects, as stored in `ObjectKey.kind`.
inline constexpr char kServiceKind[] = "service";
inline constexpr char kJobKind[] = "job";
inline constexpr char kInstanceKind[] = "instance";
inline constexpr char kTeamKind[] = "team";
inline constexpr char kRulesKind[] = "rules";
// Name of the only rules object of a partner.
inline constexpr char kRulesName[] = "rules";

// Checks one object on its own. The result must depend on nothing but the
// arguments, because the fold must be deterministic.
auto CheckObject(const schema::ObjectKey& key,
                 const schema::ConfigObject& object) -> absl::Status;

// One object of a register file, with its key.
struct RegisterObject {
  schema::ObjectKey key;
  schema::ConfigObject object;
};
// Converts a register file to objects with keys. An error names `origin` and
// the field.
auto ObjectsOf(const std::string& origin, const schema::RegisterFile& file)
    -> absl::StatusOr<std::vector<RegisterObject>>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_REGISTER_CHECK_H_
