#include "Routing/pending_shares.h"

#include <algorithm>

namespace rhubarbhaven {

PendingShares::PendingShares(std::size_t max_count, std::size_t max_bytes)
    : max_count_(max_count), max_bytes_(max_bytes) {}

auto PendingShares::SetWeights(std::map<std::string, uint32_t> weights)
    -> void {
  weights_ = std::move(weights);
}

auto PendingShares::HasRoom(std::size_t bytes) const -> bool {
  return count_ < max_count_ && bytes_ + bytes <= max_bytes_;
}

auto PendingShares::PartnerToDisplace(const std::string& partner,
                                      std::size_t bytes) const -> std::string {
  double all_weights = uses_.contains(partner) ? 0 : Weight(partner);
  for (const auto& [name, use] : uses_) {
    all_weights += Weight(name);
  }
  const auto own = uses_.find(partner);
  const std::size_t own_count = own == uses_.end() ? 0 : own->second.count;
  const std::size_t own_bytes = own == uses_.end() ? 0 : own->second.bytes;
  double most = Excess(partner, own_count + 1, own_bytes + bytes, all_weights);
  std::string furthest;
  for (const auto& [name, use] : uses_) {
    if (name == partner || use.waiting.empty()) {
      continue;
    }
    const double excess = Excess(name, use.count, use.bytes, all_weights);
    if (excess > most) {
      most = excess;
      furthest = name;
    }
  }
  return furthest;
}

auto PendingShares::Add(const std::string& partner, std::size_t bytes) -> void {
  Use& use = uses_[partner];
  ++use.count;
  use.bytes += bytes;
  ++count_;
  bytes_ += bytes;
}

auto PendingShares::Remove(const std::string& partner, std::size_t bytes)
    -> void {
  const auto found = uses_.find(partner);
  Use& use = found->second;
  --use.count;
  use.bytes -= bytes;
  --count_;
  bytes_ -= bytes;
  if (use.count == 0) {
    uses_.erase(found);
  }
}

auto PendingShares::AddWaiting(const std::string& partner, uint64_t id)
    -> void {
  uses_[partner].waiting.insert(id);
}

auto PendingShares::RemoveWaiting(const std::string& partner, uint64_t id)
    -> void {
  const auto found = uses_.find(partner);
  if (found != uses_.end()) {
    found->second.waiting.erase(id);
  }
}

auto PendingShares::NewestWaiting(const std::string& partner) const
    -> uint64_t {
  const auto found = uses_.find(partner);
  return found == uses_.end() || found->second.waiting.empty()
             ? 0
             : *found->second.waiting.rbegin();
}

auto PendingShares::Weight(const std::string& partner) const -> double {
  const auto found = weights_.find(partner);
  return found == weights_.end() || found->second == 0 ? 1 : found->second;
}

auto PendingShares::Excess(const std::string& partner,
                           std::size_t count,
                           std::size_t bytes,
                           double all_weights) const -> double {
  const double share = Weight(partner) / all_weights;
  const double by_count =
      static_cast<double>(count) / static_cast<double>(max_count_);
  const double by_bytes =
      static_cast<double>(bytes) / static_cast<double>(max_bytes_);
  return std::max(by_count, by_bytes) / share;
}

}  // namespace rhubarbhaven
