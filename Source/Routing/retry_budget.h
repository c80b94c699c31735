#ifndef RHUBARBHAVEN_ROUTING_RETRY_BUDGET_H_
#define RHUBARBHAVEN_ROUTING_RETRY_BUDGET_H_

namespace rhubarbhaven {

// Limits retries to a share of the first attempts. Without it, a fault that
// rejects many requests would multiply the load on the endpoints that still
// work.
class RetryBudget {
 public:
  explicit RetryBudget(double ratio);

  auto OnFirstAttempt() -> void;
  // Takes one retry from the budget; returns false if there is none.
  auto Take() -> bool;

 private:
  double ratio_;
  double tokens_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_RETRY_BUDGET_H_
