#ifndef RHUBARBHAVEN_ROUTING_ENTRY_ROUTER_H_
#define RHUBARBHAVEN_ROUTING_ENTRY_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// A request as received by an entry.
struct CallerRequest {
  // Identifies the waiting caller; unique in this process.
  uint64_t ticket = 0;
  std::string request_id;
  std::string partner;
  std::string service;
  // Empty for a repeatable request.
  std::string idempotency_key;
  bool repeatable = true;
  TimePoint deadline;
  schema::HttpRequest http;
};

// The final answer to a caller.
struct CallerReply {
  uint64_t ticket = 0;
  schema::Verdict verdict = schema::VERDICT_UNSPECIFIED;
  schema::Reason reason = schema::REASON_NONE;
  schema::HttpAnswer http;
  // Recommended delay before a retry; zero for none.
  std::chrono::milliseconds retry_after{0};
  std::string endpoint;
  int attempts = 0;
};

// Sends a message to one agent, identified by its id.
struct SendToAgent {
  std::string agent;
  schema::Envelope message;
};

// Appends an entry to the stream of non-repeatable requests. The record is
// passed back to `OnIdempotencyRecord`; if it could not be appended, the entry
// is passed to `OnAppendFailed`.
struct AppendIdempotencyEntry {
  schema::LogEntry entry;
};

// Counts an event, such as a retry or a rejection, with its reason.
struct CountReason {
  std::string event;
  schema::Reason reason = schema::REASON_NONE;
};

using RouterAction =
    std::variant<CallerReply, SendToAgent, AppendIdempotencyEntry, CountReason>;
using RouterActions = std::vector<RouterAction>;

struct RouterOptions {
  std::string entry_id;
  uint64_t entry_incarnation = 0;
  std::string failure_domain;
  uint64_t seed = 1;
  std::size_t max_pending = 4096;
  std::size_t max_pending_bytes = 256 << 20;
  // Retries allowed per first attempt, in the long run.
  double retry_ratio = 0.1;
  int max_attempts = 3;
  // An agent that has announced nothing for this long receives no new work.
  std::chrono::milliseconds announce_timeout{1000};
  // How long the outcome of an idempotency key is kept.
  std::chrono::seconds idempotency_retention{3600};
  // Largest answer, in bytes, that is stored for repeats of its key.
  std::size_t idempotency_answer_bytes = 16 << 10;
  // Maximum number of keys, and maximum memory for their answers in bytes. When
  // the limit on keys is reached, new non-repeatable requests are rejected.
  std::size_t idempotency_max_keys = 50000;
  std::size_t idempotency_max_answer_bytes = 16 << 20;
};

// State of one endpoint as shown to operators.
struct EndpointView {
  std::string agent;
  std::string partner;
  std::string service;
  std::string state;
  uint32_t credits = 0;
  uint32_t in_progress = 0;
  std::chrono::microseconds service_time{0};
};

// Selects an endpoint for each request, retries within limits, and reports in
// the reply whether the request ran.
class EntryRouter {
 public:
  explicit EntryRouter(RouterOptions options);
  EntryRouter(const EntryRouter&) = delete;
  auto operator=(const EntryRouter&) -> EntryRouter& = delete;
  ~EntryRouter();

  auto OnRequest(TimePoint now, CallerRequest request) -> RouterActions;
  // The caller has disconnected.
  auto OnCallerDisconnected(TimePoint now, uint64_t ticket) -> RouterActions;
  // Handles an Announce or an Answer from an agent.
  auto OnMessage(TimePoint now,
                 const std::string& agent,
                 const schema::Envelope& message) -> RouterActions;
  // The link reports that a message was not passed to any connection.
  auto OnUnsent(TimePoint now,
                const std::string& agent,
                const schema::Envelope& message) -> RouterActions;
  // Handles a record of the idempotency stream, in offset order, from any
  // writer.
  auto OnIdempotencyRecord(TimePoint now,
                           uint64_t offset,
                           const schema::LogRecord& record) -> RouterActions;
  // Sets whether the idempotency stream has been read to its end and can be
  // appended to.
  auto OnIdempotencyStream(TimePoint now, bool available) -> RouterActions;
  auto OnAppendFailed(TimePoint now, const schema::LogEntry& entry)
      -> RouterActions;
  // Sets the partners and services, with their weights, from the configuration.
  auto SetServices(TimePoint now,
                   const std::vector<schema::VersionedObject>& objects)
      -> RouterActions;
  auto OnTick(TimePoint now) -> RouterActions;
  // Time at which `OnTick` should be called next.
  auto next_wake() const -> TimePoint;

  auto endpoints() const -> std::vector<EndpointView>;
  auto pending() const -> std::size_t;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ENTRY_ROUTER_H_
