#ifndef RHUBARBHAVEN_ROUTING_AGENT_ADMISSION_IMPL_H_
#define RHUBARBHAVEN_ROUTING_AGENT_ADMISSION_IMPL_H_

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Routing/agent_admission.h"
#include "Routing/attempt_table.h"
#include "Routing/credit_ledger.h"
#include "Routing/window_planner.h"

namespace rhubarbhaven {

class AgentAdmission::Impl {
 public:
  explicit Impl(AdmissionOptions options);

  auto OnOffer(TimePoint now,
               const std::string& entry,
               uint64_t incarnation,
               const schema::Offer& offer) -> void;
  auto OnRecall(TimePoint now,
                const std::string& entry,
                uint64_t incarnation,
                const schema::Recall& recall) -> void;
  auto OnEndpointAnswer(TimePoint now, EndpointOutcome outcome) -> void;
  auto SetEntries(TimePoint now, const std::vector<std::string>& entries)
      -> void;
  auto SetIdentity(schema::Announce identity) -> void;
  auto SetEndpointHealthy(TimePoint now, bool healthy) -> void;
  auto Leave(TimePoint now) -> void;
  auto OnTick(TimePoint now) -> void;
  // The queue is checked for expired attempts with each announcement and at the
  // earliest deadline in it.
  auto next_wake() const -> TimePoint;
  auto running() const -> uint32_t { return running_; }
  auto queued() const -> uint32_t;
  auto TakeActions() -> AdmissionActions { return std::exchange(actions_, {}); }
  auto Count(schema::Reason reason) -> void;

 private:
  auto RejectionReason(TimePoint now,
                       const std::string& entry,
                       const schema::Offer& offer) -> schema::Reason;
  auto OnDuplicateOffer(TimePoint now,
                        const std::string& entry,
                        const Attempt& known,
                        const schema::Offer& offer) -> void;
  // Handles a recall of an attempt that is not in the table. If the attempt
  // never arrived, it is recorded as not run and is rejected if it arrives
  // later. If its record may have been removed, the answer is `may_have_run`.
  auto OnUnknownRecall(TimePoint now,
                       const std::string& entry,
                       uint64_t incarnation,
                       uint64_t id) -> void;
  // Rejects an attempt. A duplicate or delayed copy of the offer may still
  // arrive; running it would make the `not_run` verdict false. The table
  // therefore keeps the attempt as finished until its credit has expired.
  auto Reject(TimePoint now,
              const std::string& entry,
              uint64_t incarnation,
              uint64_t id,
              schema::Reason reason) -> void;
  auto StartQueued(TimePoint now) -> void;
  auto ExpireQueued(TimePoint now) -> void;
  auto Start(TimePoint now, uint64_t id, Attempt& attempt) -> void;
  auto End(TimePoint now, uint64_t id, schema::Answer answer) -> void;
  auto UpdateServiceTime(TimePoint now, const EndpointOutcome& outcome) -> void;
  auto ExpireServiceTime(TimePoint now) -> void;
  static auto NotRun(uint64_t id, schema::Reason reason) -> schema::Answer;
  // An answer without a verdict: the attempt is queued or running.
  static auto InProgress(uint64_t id) -> schema::Answer;
  auto MakeGrant(TimePoint now, const std::string& entry) -> schema::Grant;
  auto Send(TimePoint now, const std::string& entry, schema::Answer answer)
      -> void;
  auto AnnounceToAll(TimePoint now) -> void;
  auto Post(const std::string& entry, schema::Envelope message) -> void;

  AdmissionOptions options_;
  uint32_t slots_;
  CreditLedger ledger_;
  WindowPlanner planner_;
  AttemptTable attempts_;
  std::deque<uint64_t> queue_;
  // Earliest time at which a queued attempt expires. The value may be too
  // early.
  TimePoint queue_deadline_ = TimePoint::max();
  uint32_t running_ = 0;
  std::set<std::string> entries_;
  schema::Announce identity_;
  uint64_t announce_sequence_ = 0;
  TimePoint next_announce_;
  bool healthy_ = true;
  bool leaving_ = false;
  // Smoothed service time; zero while unknown.
  double service_time_us_ = 0;
  TimePoint service_time_updated_at_;
  AdmissionActions actions_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_AGENT_ADMISSION_IMPL_H_
