#ifndef RHUBARBHAVEN_PLACEMENT_TEAM_QUOTAS_H_
#define RHUBARBHAVEN_PLACEMENT_TEAM_QUOTAS_H_

#include <cstdint>

#include "Placement/amounts.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven {

// The resource quota and usage of each team. A dimension whose quota is zero is
// not limited, and neither is a team without a quota.
class TeamQuotas {
 public:
  auto Set(uint32_t team, const Amounts& quota) -> void;
  auto Charge(uint32_t team, const Amounts& amounts) -> void;
  auto Refund(uint32_t team, const Amounts& amounts) -> void;

  // Returns the remaining quota; `kLargestAmount` where it is not limited.
  auto Room(uint32_t team) const -> Amounts;
  // Returns the quota itself; `kLargestAmount` where it is not limited.
  auto Limit(uint32_t team) const -> Amounts;

 private:
  struct Account {
    Amounts quota;
    Amounts used;
  };

  absl::flat_hash_map<uint32_t, Account> accounts_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_TEAM_QUOTAS_H_
