#include "Routing/pending_limiter.h"

#include <algorithm>

namespace rhubarbhaven {

PendingLimiter::PendingLimiter(std::size_t max_count, std::size_t max_bytes)
    : max_count_(max_count), max_bytes_(max_bytes) {}

auto PendingLimiter::SetWeights(std::map<std::string, uint32_t> weights)
    -> void {
  weights_ = std::move(weights);
}

auto PendingLimiter::HasCapacity(std::size_t bytes) const -> bool {
  return count_ < max_count_ && bytes_ + bytes <= max_bytes_;
}

auto PendingLimiter::PartnerToDisplace(const std::string& partner,
                                       std::size_t bytes) const -> std::string {
  double all_weights = usages_.contains(partner) ? 0 : Weight(partner);
  for (const auto& [name, usage] : usages_) {
    all_weights += Weight(name);
  }
  const auto own = usages_.find(partner);
  const std::size_t own_count = own == usages_.end() ? 0 : own->second.count;
  const std::size_t own_bytes = own == usages_.end() ? 0 : own->second.bytes;
  double most = Excess(partner, own_count + 1, own_bytes + bytes, all_weights);
  std::string most_over_share;
  for (const auto& [name, usage] : usages_) {
    if (name == partner || usage.waiting.empty()) {
      continue;
    }
    const double excess = Excess(name, usage.count, usage.bytes, all_weights);
    if (excess > most) {
      most = excess;
      most_over_share = name;
    }
  }
  return most_over_share;
}

auto PendingLimiter::Add(const std::string& partner, std::size_t bytes)
    -> void {
  Usage& usage = usages_[partner];
  ++usage.count;
  usage.bytes += bytes;
  ++count_;
  bytes_ += bytes;
}

auto PendingLimiter::Remove(const std::string& partner, std::size_t bytes)
    -> void {
  const auto found = usages_.find(partner);
  Usage& usage = found->second;
  --usage.count;
  usage.bytes -= bytes;
  --count_;
  bytes_ -= bytes;
  if (usage.count == 0) {
    usages_.erase(found);
  }
}

auto PendingLimiter::AddWaiting(const std::string& partner, uint64_t id)
    -> void {
  usages_[partner].waiting.insert(id);
}

auto PendingLimiter::RemoveWaiting(const std::string& partner, uint64_t id)
    -> void {
  const auto found = usages_.find(partner);
  if (found != usages_.end()) {
    found->second.waiting.erase(id);
  }
}

auto PendingLimiter::NewestWaiting(const std::string& partner) const
    -> uint64_t {
  const auto found = usages_.find(partner);
  return found == usages_.end() || found->second.waiting.empty()
             ? 0
             : *found->second.waiting.rbegin();
}

auto PendingLimiter::Weight(const std::string& partner) const -> double {
  const auto found = weights_.find(partner);
  return found == weights_.end() || found->second == 0 ? 1 : found->second;
}

auto PendingLimiter::Excess(const std::string& partner,
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
