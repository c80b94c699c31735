#ifndef RHUBARBHAVEN_ROUTING_PENDING_SHARES_H_
#define RHUBARBHAVEN_ROUTING_PENDING_SHARES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven {

// Bounds the requests that wait in one entry, in number and bytes, and shares
// the room between partners by weight once it is full.
class PendingShares {
 public:
  PendingShares(std::size_t max_count, std::size_t max_bytes);

  auto SetWeights(std::map<std::string, uint32_t> weights) -> void;
  auto HasRoom(std::size_t bytes) const -> bool;
  // The partner that is furthest above its share and must give way to one
  // more request of `partner`; empty if that is `partner` itself.
  auto PartnerToDisplace(const std::string& partner, std::size_t bytes) const
      -> std::string;
  auto Add(const std::string& partner, std::size_t bytes) -> void;
  auto Remove(const std::string& partner, std::size_t bytes) -> void;

  // Requests that wait for an endpoint and can be refused without loss.
  auto AddWaiting(const std::string& partner, uint64_t id) -> void;
  auto RemoveWaiting(const std::string& partner, uint64_t id) -> void;
  // The partner's newest waiting request; zero for none.
  auto NewestWaiting(const std::string& partner) const -> uint64_t;

  auto count() const -> std::size_t { return count_; }

 private:
  struct Use {
    std::size_t count = 0;
    std::size_t bytes = 0;
    std::set<uint64_t> waiting;
  };

  auto Weight(const std::string& partner) const -> double;
  // Use over share of the fuller of the two bounds; above one is too much.
  auto Excess(const std::string& partner,
              std::size_t count,
              std::size_t bytes,
              double all_weights) const -> double;

  std::size_t max_count_;
  std::size_t max_bytes_;
  std::size_t count_ = 0;
  std::size_t bytes_ = 0;
  std::map<std::string, uint32_t> weights_;
  std::map<std::string, Use> uses_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_PENDING_SHARES_H_
