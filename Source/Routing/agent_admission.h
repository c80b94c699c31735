#ifndef RHUBARBHAVEN_ROUTING_AGENT_ADMISSION_H_
#define RHUBARBHAVEN_ROUTING_AGENT_ADMISSION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

struct AdmissionOptions {
  std::string agent_id;
  uint64_t incarnation = 0;
  uint32_t slots = 8;
  uint32_t connections = 64;
  std::chrono::milliseconds credit_ttl{1000};
  std::chrono::milliseconds announce_interval{250};
  // How long the answer of a finished attempt is kept so that a recall can
  // return it.
  std::chrono::milliseconds answer_retention{10000};
  std::size_t answer_retention_bytes = 8 << 20;
};

// Calls the endpoint. The outcome is passed back to `OnEndpointAnswer`.
struct CallEndpoint {
  uint64_t attempt_id = 0;
  std::string request_id;
  std::string partner;
  bool repeatable = true;
  std::chrono::milliseconds timeout{0};
  schema::HttpRequest http;
};

// Sends a message to one entry, identified by the peer name that its messages
// carry.
struct SendToEntry {
  std::string entry;
  schema::Envelope message;
};

struct CountRejection {
  schema::Reason reason = schema::REASON_NONE;
};

using AdmissionAction = std::variant<CallEndpoint, SendToEntry, CountRejection>;
using AdmissionActions = std::vector<AdmissionAction>;

// The outcome of a call of the endpoint.
struct EndpointOutcome {
  uint64_t attempt_id = 0;
  schema::Verdict verdict = schema::VERDICT_UNSPECIFIED;
  schema::Reason reason = schema::REASON_NONE;
  schema::HttpAnswer http;
  std::chrono::microseconds service_time{0};
};

// Decides which offers an agent runs. It grants credits that expire by the
// agent's own clock, detects stale and duplicate offers, keeps a bounded queue,
// and confirms which attempts never ran.
class AgentAdmission {
 public:
  explicit AgentAdmission(AdmissionOptions options);
  AgentAdmission(const AgentAdmission&) = delete;
  auto operator=(const AgentAdmission&) -> AgentAdmission& = delete;
  ~AgentAdmission();

  // Handles an Offer or a Recall from an entry.
  auto OnMessage(TimePoint now,
                 const std::string& entry,
                 const schema::Envelope& message) -> AdmissionActions;
  auto OnEndpointAnswer(TimePoint now, EndpointOutcome outcome)
      -> AdmissionActions;
  // Sets the entries to which the agent announces itself.
  auto SetEntries(TimePoint now, const std::vector<std::string>& entries)
      -> AdmissionActions;
  // Sets the fields of the announcement that do not concern admission.
  auto SetIdentity(schema::Announce identity) -> void;
  auto SetEndpointHealthy(TimePoint now, bool healthy) -> AdmissionActions;
  // Begins a planned stop: the agent accepts no new work and finishes what is
  // in progress.
  auto Leave(TimePoint now) -> AdmissionActions;
  auto OnTick(TimePoint now) -> AdmissionActions;
  auto next_wake() const -> TimePoint;

  // True if nothing runs and nothing is queued, so that a planned stop may
  // finish.
  auto idle() const -> bool;
  auto running() const -> uint32_t;
  auto queued() const -> uint32_t;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_AGENT_ADMISSION_H_
