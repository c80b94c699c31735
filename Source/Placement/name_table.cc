#include "Placement/name_table.h"

namespace rhubarbhaven {

auto NameTable::Intern(const std::string& name) -> uint32_t {
  const auto next = static_cast<uint32_t>(names_.size());
  const auto [entry, added] = ids_.try_emplace(name, next);
  if (added) {
    names_.push_back(name);
  }
  return entry->second;
}

auto NameTable::Find(const std::string& name) const -> std::optional<uint32_t> {
  const auto entry = ids_.find(name);
  if (entry == ids_.end()) {
    return std::nullopt;
  }
  return entry->second;
}

}  // namespace rhubarbhaven
