#ifndef RHUBARBHAVEN_ROUTING_CREDIT_LEDGER_H_
#define RHUBARBHAVEN_ROUTING_CREDIT_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// Credit numbers that one grant may be quoted with. An entry that has used
// them all waits for the next grant.
inline constexpr uint32_t kCreditNumbersPerGrant = 4096;

// The grants of one agent and which of their credits were used.
//
// An offer can sit in a socket's queue while the agent is stopped, and be
// read long after its caller was told that it did not run. One would notice
// a request that runs after `not_run`. A grant expires on the agent's own
// clock, so the woken agent finds the offer's credit expired and refuses it,
// without comparing clocks.
class CreditLedger {
 public:
  explicit CreditLedger(std::chrono::milliseconds ttl);

  // The id of a grant for the entry. A young grant is quoted again, so that
  // grants stay few however many answers carry one.
  auto Issue(TimePoint now, const std::string& entry) -> uint64_t;
  // REASON_NONE marks the credit as used; else why it is refused.
  auto Redeem(TimePoint now,
              const std::string& entry,
              const schema::Credit& credit) -> schema::Reason;

 private:
  struct Grant {
    uint64_t id = 0;
    TimePoint issued;
    std::vector<bool> used;
  };

  auto DropExpired(TimePoint now, std::deque<Grant>& grants) const -> void;

  std::chrono::milliseconds ttl_;
  uint64_t last_id_ = 0;
  std::map<std::string, std::deque<Grant>> grants_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_CREDIT_LEDGER_H_
