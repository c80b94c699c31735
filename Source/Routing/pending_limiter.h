#ifndef RHUBARBHAVEN_ROUTING_PENDING_LIMITER_H_
#define RHUBARBHAVEN_ROUTING_PENDING_LIMITER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven {

// Limits the number and total size of the requests pending in one entry and,
// when a limit is reached, shares the capacity between partners by weight.
class PendingLimiter {
 public:
  PendingLimiter(std::size_t max_count, std::size_t max_bytes);

  auto SetWeights(std::map<std::string, uint32_t> weights) -> void;
  auto HasCapacity(std::size_t bytes) const -> bool;
  // Returns the partner that exceeds its share the most and must release a
  // request to admit one more request of `partner`; empty if that is `partner`
  // itself.
  auto PartnerToDisplace(const std::string& partner, std::size_t bytes) const
      -> std::string;
  auto Add(const std::string& partner, std::size_t bytes) -> void;
  auto Remove(const std::string& partner, std::size_t bytes) -> void;

  // Tracks requests that wait for an endpoint and can be rejected safely,
  // because they have been neither sent nor written to the stream.
  auto AddWaiting(const std::string& partner, uint64_t id) -> void;
  auto RemoveWaiting(const std::string& partner, uint64_t id) -> void;
  // Returns the partner's newest waiting request; zero for none.
  auto NewestWaiting(const std::string& partner) const -> uint64_t;

  auto count() const -> std::size_t { return count_; }

 private:
  struct Usage {
    std::size_t count = 0;
    std::size_t bytes = 0;
    std::set<uint64_t> waiting;
  };

  auto Weight(const std::string& partner) const -> double;
  // Usage divided by share, for the limit that is closer to being reached; a
  // value above one exceeds the share.
  auto Excess(const std::string& partner,
              std::size_t count,
              std::size_t bytes,
              double all_weights) const -> double;

  std::size_t max_count_;
  std::size_t max_bytes_;
  std::size_t count_ = 0;
  std::size_t bytes_ = 0;
  std::map<std::string, uint32_t> weights_;
  std::map<std::string, Usage> usages_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_PENDING_LIMITER_H_
