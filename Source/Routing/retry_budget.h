#ifndef RHUBARBHAVEN_ROUTING_RETRY_BUDGET_H_
#define RHUBARBHAVEN_ROUTING_RETRY_BUDGET_H_

namespace rhubarbhaven {

// Bounds retries to a share of first attempts. Without it, a fault that
// refuses much would multiply the load on what still works; one would notice
// more attempts than requests. The budget ties retries to requests.
class RetryBudget {
 public:
  explicit RetryBudget(double ratio);

  auto OnFirstAttempt() -> void;
  // Takes one retry out; false if there is none.
  auto Take() -> bool;

 private:
  double ratio_;
  double tokens_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_RETRY_BUDGET_H_
