#ifndef RHUBARBHAVEN_PLACEMENT_NAME_TABLE_H_
#define RHUBARBHAVEN_PLACEMENT_NAME_TABLE_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven {

// No name: any failure domain, no team, a rack that is not known.
inline constexpr uint32_t kNoName = std::numeric_limits<uint32_t>::max();

// Small dense numbers for names that stand in many records (partners, racks,
// failure domains, instances). Numbers are never given back.
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
