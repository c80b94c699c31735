#ifndef RHUBARBHAVEN_PLACEMENT_NAME_TABLE_H_
#define RHUBARBHAVEN_PLACEMENT_NAME_TABLE_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven {

// Stands for a missing name: any failure domain, no team, or an unknown rack.
inline constexpr uint32_t kNoName = std::numeric_limits<uint32_t>::max();

// Interns names that occur in many records (partners, racks, failure domains,
// instances) as small dense ids. Ids are never reused.
class NameTable {
 public:
  auto Intern(const std::string& name) -> uint32_t;
  auto Find(const std::string& name) const -> std::optional<uint32_t>;
  auto name(uint32_t id) const -> const std::string& { return names_[id]; }

 private:
  absl::flat_hash_map<std::string, uint32_t> ids_;
  std::vector<std::string> names_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_NAME_TABLE_H_
