#ifndef RHUBARBHAVEN_ROUTING_ENTRY_ROUTER_IMPL_H_
#define RHUBARBHAVEN_ROUTING_ENTRY_ROUTER_IMPL_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Routing/endpoint_table.h"
#include "Routing/entry_router.h"
#include "Routing/idempotency_coordinator.h"
#include "Routing/pending_limiter.h"
#include "Routing/retry_budget.h"
#include "Routing/service_directory.h"

namespace rhubarbhaven {

class EntryRouter::Impl {
 public:
  explicit Impl(RouterOptions options);

  auto OnRequest(TimePoint now, CallerRequest caller) -> void;
  auto OnCallerDisconnected(TimePoint now, uint64_t ticket) -> void;
  auto OnAnnounce(TimePoint now,
                  const std::string& agent,
                  uint64_t incarnation,
                  const schema::Announce& announce) -> void;
  auto OnAnswer(TimePoint now,
                const std::string& agent,
                uint64_t incarnation,
                const schema::Answer& answer) -> void;
  auto OnUnsentOffer(TimePoint now,
                     const std::string& agent,
                     const schema::Offer& offer) -> void;
  auto SetServices(const std::vector<schema::VersionedObject>& objects) -> void;
  auto OnTick(TimePoint now) -> void;
  auto next_wake() const -> TimePoint;
  auto CountDropped(schema::Reason reason) -> void { Count("dropped", reason); }
  auto TakeActions() -> RouterActions { return std::exchange(actions_, {}); }

  auto idempotency() -> IdempotencyCoordinator& { return idempotency_; }
  auto table() const -> const EndpointTable& { return table_; }
  auto pending() const -> std::size_t { return pending_limiter_.count(); }

 private:
  // Processing stage of a request.
  enum class Stage { kNew, kIdempotency, kWaiting, kSent };

  struct Request {
    CallerRequest caller;
    PoolKey pool;
    std::size_t bytes = 0;
    Stage stage = Stage::kNew;
    // Empty for a repeatable request.
    std::string idempotency_key;
    // True if this entry's intent is the first of the key.
    bool owns_run = false;
    // True if the caller has its reply or has disconnected.
    bool replied = false;
    // True if an attempt that may have run has ended.
    bool may_have_run = false;
    int attempts = 0;
    std::vector<std::string> tried;
    std::set<uint64_t> open_attempts;
  };

  struct OpenAttempt {
    uint64_t request = 0;
    std::string agent;
    uint64_t agent_incarnation = 0;
    TimePoint sent;
    // Time at which the attempt is closed even without an answer.
    TimePoint close_at;
    std::chrono::milliseconds recall_interval{0};
    int unanswered_recalls = 0;
    // True if the request was sent to another endpoint because this attempt
    // went unanswered.
    bool retried_elsewhere = false;
  };

  enum class TimerKind { kRequest, kAttempt };
  using TimerKey = std::pair<TimerKind, uint64_t>;

  // Requests; defined in entry_router_impl.cc.
  auto CheckCapacity(TimePoint now, const PoolKey& key, TimePoint deadline)
      -> schema::Reason;
  auto EnsureCapacity(TimePoint now,
                      const std::string& partner,
                      std::size_t bytes) -> bool;
  auto StartWaiting(TimePoint now, uint64_t id, Request& request) -> void;
  auto StopWaiting(uint64_t id, Request& request) -> void;
  auto Dispatch(TimePoint now, const PoolKey& key) -> void;
  auto DispatchAll(TimePoint now) -> void;
  // Ends a waiting request that can no longer be sent.
  auto RejectWaiting(TimePoint now, uint64_t id, schema::Reason reason) -> void;
  auto OnRequestTimer(TimePoint now, uint64_t id) -> void;
  // Replies, records the outcome of a non-repeatable request, and removes the
  // request.
  auto End(TimePoint now, uint64_t id, const Outcome& outcome) -> void;
  auto Reply(TimePoint now, uint64_t id, const Outcome& outcome) -> void;
  auto Release(uint64_t id, Request& request) -> void;
  auto RetryAfter(schema::Reason reason, const PoolKey& pool) const
      -> std::chrono::milliseconds;
  auto Count(const char* event, schema::Reason reason) -> void;
  // Lets one request per interval pass without the check of the estimated time,
  // so that a wrong estimate is corrected by new samples.
  auto AllowUnchecked(TimePoint now, const PoolKey& key) -> bool;

  // Attempts; defined in entry_attempts.cc.
  auto Send(TimePoint now, uint64_t id, Endpoint& endpoint) -> void;
  auto SendRecall(uint64_t attempt_id, const OpenAttempt& attempt) -> void;
  auto OnAttemptTimer(TimePoint now, uint64_t attempt_id) -> void;
  auto EndAttempt(TimePoint now, uint64_t attempt_id, Outcome outcome) -> void;
  auto OnAttemptOutcome(TimePoint now, uint64_t id, Outcome outcome) -> void;
  auto CanRetry(TimePoint now, const Request& request, schema::Verdict verdict)
      -> bool;
  auto HasUntriedEndpoint(const Request& request) -> bool;
  auto Retry(TimePoint now, uint64_t id, schema::Reason reason) -> void;
  auto RetryElsewhere(TimePoint now,
                      OpenAttempt& attempt,
                      schema::Reason reason) -> void;
  auto AttemptsAt(const std::string& agent) const -> std::vector<uint64_t>;
  auto OnAgentUnresponsive(TimePoint now, const std::string& agent) -> void;
  auto OnAgentRestarted(TimePoint now, const std::string& agent) -> void;
  auto RecordEndpointResult(TimePoint now,
                            Endpoint& endpoint,
                            const OpenAttempt& attempt,
                            const schema::Answer& answer) -> void;
  auto FindEndpoint(const OpenAttempt& attempt) -> Endpoint*;

  RouterOptions options_;
  ServiceDirectory directory_;
  EndpointTable table_;
  PendingLimiter pending_limiter_;
  RetryBudget budget_;
  IdempotencyCoordinator idempotency_;
  TimerQueue<TimerKey> timers_;
  uint64_t last_request_ = 0;
  uint64_t last_attempt_;
  std::map<uint64_t, Request> requests_;
  std::map<uint64_t, uint64_t> by_ticket_;
  std::map<PoolKey, std::set<uint64_t>> waiting_;
  std::map<PoolKey, TimePoint> next_unchecked_at_;
  std::map<uint64_t, OpenAttempt> attempts_;
  std::map<std::string, std::set<uint64_t>> by_agent_;
  RouterActions actions_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ENTRY_ROUTER_IMPL_H_
