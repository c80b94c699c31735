#include "Routing/retry_budget.h"

#include <algorithm>

namespace rhubarbhaven {
namespace {

// Maximum number of retries that can accumulate: enough for the offers in
// transit to one endpoint that stops.
constexpr double kMaxTokens = 32;

}  // namespace

RetryBudget::RetryBudget(double ratio) : ratio_(ratio), tokens_(kMaxTokens) {}

auto RetryBudget::OnFirstAttempt() -> void {
  tokens_ = std::min(kMaxTokens, tokens_ + ratio_);
}

auto RetryBudget::Take() -> bool {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace rhubarbhaven
