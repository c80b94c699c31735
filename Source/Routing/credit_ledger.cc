#include "Routing/credit_ledger.h"

#include <algorithm>

namespace rhubarbhaven {
namespace {

// A grant is reused until 1/20 of its time to live has passed.
constexpr int kGrantReuseDivisor = 20;

}  // namespace

CreditLedger::CreditLedger(std::chrono::milliseconds ttl) : ttl_(ttl) {}

auto CreditLedger::Issue(TimePoint now, const std::string& entry) -> uint64_t {
  auto& grants = grants_[entry];
  RemoveExpiredGrants(now, grants);
  if (grants.empty() ||
      now - grants.back().issued >= ttl_ / kGrantReuseDivisor) {
    grants.push_back({.id = ++last_id_, .issued = now, .used = {}});
  }
  return grants.back().id;
}

auto CreditLedger::Redeem(TimePoint now,
                          const std::string& entry,
                          const schema::Credit& credit) -> schema::Reason {
  const auto ledger = grants_.find(entry);
  if (ledger == grants_.end()) {
    return schema::CREDIT_UNKNOWN;
  }
  auto& grants = ledger->second;
  RemoveExpiredGrants(now, grants);
  const auto grant = std::find_if(
      grants.begin(), grants.end(),
      [&](const Grant& one) { return one.id == credit.grant_id(); });
  if (grant == grants.end()) {
    const bool was_issued =
        credit.grant_id() > 0 && credit.grant_id() <= last_id_;
    return was_issued ? schema::CREDIT_EXPIRED : schema::CREDIT_UNKNOWN;
  }
  if (credit.number() >= kCreditNumbersPerGrant) {
    return schema::CREDIT_UNKNOWN;
  }
  if (grant->used.size() <= credit.number()) {
    grant->used.resize(credit.number() + 1, false);
  }
  if (grant->used[credit.number()]) {
    return schema::CREDIT_USED;
  }
  grant->used[credit.number()] = true;
  return schema::REASON_NONE;
}

auto CreditLedger::RemoveExpiredGrants(TimePoint now,
                                       std::deque<Grant>& grants) const
    -> void {
  while (!grants.empty() && now - grants.front().issued >= ttl_) {
    grants.pop_front();
  }
}

}  // namespace rhubarbhaven
