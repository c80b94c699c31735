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
  // Waiting attempts are looked through with each announcement, and at the
  // deadline of the first.
  auto next_wake() const -> TimePoint;
  auto running() const -> uint32_t { return running_; }
  auto queued() const -> uint32_t;
  auto TakeActions() -> AdmissionActions { return std::exchange(actions_, {}); }
  auto Count(schema::Reason reason) -> void;

 private:
  auto ReasonToRefuse(TimePoint now,
                      const std::string& entry,
                      const schema::Offer& offer) -> schema::Reason;
  auto OnKnownOffer(TimePoint now,
                    const std::string& entry,
                    const Attempt& known,
                    const schema::Offer& offer) -> void;
  // The attempt is not known: either it never came, and then it never starts
  // now, or it was forgotten, and then nothing is vouched for.
  auto OnUnknownRecall(TimePoint now,
                       const std::string& entry,
                       uint64_t incarnation,
                       uint64_t id) -> void;
  // An attempt that was called `not_run` may come again, duplicated or late;
  // were it run then, the verdict would be false. The table keeps it as
  // finished until its credit has expired.
  auto Refuse(TimePoint now,
              const std::string& entry,
              uint64_t incarnation,
              uint64_t id,
              schema::Reason reason) -> void;
  auto StartQueued(TimePoint now) -> void;
  auto DropOverdue(TimePoint now) -> void;
  auto Start(TimePoint now, uint64_t id, Attempt& attempt) -> void;
  auto End(TimePoint now, uint64_t id, schema::Answer answer) -> void;
  auto Learn(TimePoint now, const EndpointOutcome& outcome) -> void;
  auto ForgetOldServiceTime(TimePoint now) -> void;
  static auto NotRun(uint64_t id, schema::Reason reason) -> schema::Answer;
  // No verdict yet: the attempt waits or runs.
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
  // When the first of the queue must be given up; may be too early.
  TimePoint queue_deadline_ = TimePoint::max();
  uint32_t running_ = 0;
  std::set<std::string> entries_;
  schema::Announce identity_;
  uint64_t announce_sequence_ = 0;
  TimePoint next_announce_;
  bool healthy_ = true;
  bool leaving_ = false;
  // Smoothed; zero while it is not known.
  double service_time_us_ = 0;
  TimePoint learned_at_;
  AdmissionActions actions_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_AGENT_ADMISSION_IMPL_H_
