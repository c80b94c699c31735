#ifndef RHUBARBHAVEN_ROUTING_CREDIT_LEDGER_H_
#define RHUBARBHAVEN_ROUTING_CREDIT_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// Number of credits that one grant covers. An entry that has used all of them
// waits for the next grant.
inline constexpr uint32_t kCreditNumbersPerGrant = 4096;

// The grants issued by one agent, and which of their credits have been used.
//
// An offer can remain in a socket's receive buffer while the agent process is
// suspended, and be read long after its caller received `not_run`. Running it
// then would make that verdict false. A grant expires by the agent's own clock,
// so the resumed agent finds the credit expired and rejects the offer without
// comparing clocks.
class CreditLedger {
 public:
  explicit CreditLedger(std::chrono::milliseconds ttl);

  // Returns the id of a grant for the entry. A recent grant is reused, so that
  // the number of grants stays small however many answers carry one.
  auto Issue(TimePoint now, const std::string& entry) -> uint64_t;
  // Marks the credit as used and returns REASON_NONE, or returns the reason for
  // which it is rejected.
  auto Redeem(TimePoint now,
              const std::string& entry,
              const schema::Credit& credit) -> schema::Reason;

 private:
  struct Grant {
    uint64_t id = 0;
    TimePoint issued;
    std::vector<bool> used;
  };

  auto RemoveExpiredGrants(TimePoint now, std::deque<Grant>& grants) const
      -> void;

  std::chrono::milliseconds ttl_;
  uint64_t last_id_ = 0;
  std::map<std::string, std::deque<Grant>> grants_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_CREDIT_LEDGER_H_
