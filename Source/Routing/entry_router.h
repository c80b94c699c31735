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

// A request as an entry received it.
struct CallerRequest {
  // Names the waiting caller; unique in this process.
  uint64_t ticket = 0;
  std::string request_id;
  std::string partner;
  std::string service;
  // Empty for a repeatable request.
  std::string once_key;
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
  // When to come back; zero for no advice.
  std::chrono::milliseconds retry_after{0};
  std::string endpoint;
  int attempts = 0;
};

// To one agent, by its id.
struct SendToAgent {
  std::string agent;
  schema::Envelope message;
};

// Append to the stream of non-repeatable requests; the record's fate comes
// back by `OnOnceRecord` and, if it could not be appended, `OnAppendFailed`.
struct AppendOnce {
  schema::LogEntry entry;
};

// Ask a peer entry nothing, count something: a retry or refusal with reason.
struct CountReason {
  std::string event;
  schema::Reason reason = schema::REASON_NONE;
};

using RouterAction =
    std::variant<CallerReply, SendToAgent, AppendOnce, CountReason>;
using RouterActions = std::vector<RouterAction>;

struct RouterOptions {
  std::string entry_id;
  uint64_t entry_incarnation = 0;
  std::string failure_domain;
  uint64_t seed = 1;
  std::size_t max_pending = 4096;
  std::size_t max_pending_bytes = 256 << 20;
  // Retries allowed for each first attempt, in the long run.
  double retry_ratio = 0.1;
  int max_attempts = 3;
  // An agent that announced nothing for this long gets no new work.
  std::chrono::milliseconds announce_timeout{1000};
  // How long the outcome of a non-repeatable key is remembered.
  std::chrono::seconds once_retention{3600};
  // Largest answer that is kept for a repeated key.
  std::size_t once_answer_bytes = 16 << 10;
  // Keys that are remembered at most, and the memory for their answers. When
  // the keys are full, new non-repeatable requests are refused.
  std::size_t once_max_keys = 50000;
  std::size_t once_max_answer_bytes = 16 << 20;
};

// What an operator sees of one endpoint.
struct EndpointView {
  std::string agent;
  std::string partner;
  std::string service;
  std::string state;
  uint32_t credits = 0;
  uint32_t in_progress = 0;
  std::chrono::microseconds service_time{0};
};

// Chooses an endpoint for each request, retries within limits, and says in
// the end whether the request ran.
class EntryRouter {
 public:
  explicit EntryRouter(RouterOptions options);
  EntryRouter(const EntryRouter&) = delete;
  auto operator=(const EntryRouter&) -> EntryRouter& = delete;
  ~EntryRouter();

  auto OnRequest(TimePoint now, CallerRequest request) -> RouterActions;
  // The caller has gone away.
  auto OnCallerGone(TimePoint now, uint64_t ticket) -> RouterActions;
  // Announce and Answer, from an agent.
  auto OnMessage(TimePoint now,
                 const std::string& agent,
                 const schema::Envelope& message) -> RouterActions;
  // The link says that a message was not handed to any connection.
  auto OnUnsent(TimePoint now,
                const std::string& agent,
                const schema::Envelope& message) -> RouterActions;
  // A record of the once stream, in offset order, from all writers.
  auto OnOnceRecord(TimePoint now,
                    uint64_t offset,
                    const schema::LogRecord& record) -> RouterActions;
  // Whether the once stream is read up to its end and can be appended to.
  auto OnOnceStream(TimePoint now, bool available) -> RouterActions;
  auto OnAppendFailed(TimePoint now, const schema::LogEntry& entry)
      -> RouterActions;
  // Partners and services with their weights, from the configuration.
  auto SetServices(TimePoint now,
                   const std::vector<schema::VersionedObject>& objects)
      -> RouterActions;
  auto OnTick(TimePoint now) -> RouterActions;
  // When `OnTick` is wanted next.
  auto next_wake() const -> TimePoint;

  auto endpoints() const -> std::vector<EndpointView>;
  auto pending() const -> std::size_t;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ENTRY_ROUTER_H_
