#include "Placement/team_quotas.h"

#include "Placement/name_table.h"

namespace rhubarbhaven {
namespace {

auto RoomIn(int64_t quota, int64_t used) -> int64_t {
  return quota == 0 ? kLargestAmount : quota - used;
}

}  // namespace

auto TeamQuotas::Set(uint32_t team, const Amounts& quota) -> void {
  accounts_[team].quota = quota;
}

auto TeamQuotas::Charge(uint32_t team, const Amounts& amounts) -> void {
  if (team != kNoName) {
    accounts_[team].used += amounts;
  }
}

auto TeamQuotas::Refund(uint32_t team, const Amounts& amounts) -> void {
  if (team != kNoName) {
    accounts_[team].used -= amounts;
  }
}

auto TeamQuotas::Room(uint32_t team) const -> Amounts {
  const auto entry = accounts_.find(team);
  const Account account = entry == accounts_.end() ? Account{} : entry->second;
  return {RoomIn(account.quota.millicores, account.used.millicores),
          RoomIn(account.quota.memory_mb, account.used.memory_mb),
          RoomIn(account.quota.accelerators, account.used.accelerators)};
}

auto TeamQuotas::Limit(uint32_t team) const -> Amounts {
  const auto entry = accounts_.find(team);
  const Amounts quota =
      entry == accounts_.end() ? Amounts{} : entry->second.quota;
  return {RoomIn(quota.millicores, 0), RoomIn(quota.memory_mb, 0),
          RoomIn(quota.accelerators, 0)};
}

}  // namespace rhubarbhaven
