#include "Routing/retry_budget.h"

#include <algorithm>

namespace rhubarbhaven {
namespace {

// What may be saved up: enough for the offers on their way to one endpoint
// that stops.
constexpr double kMostTokens = 32;

}  // namespace

RetryBudget::RetryBudget(double ratio) : ratio_(ratio), tokens_(kMostTokens) {}

auto RetryBudget::OnFirstAttempt() -> void {
  tokens_ = std::min(kMostTokens, tokens_ + ratio_);
}

auto RetryBudget::Take() -> bool {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace rhubarbhaven
