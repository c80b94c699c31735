#ifndef RHUBARBHAVEN_DAEMON_ROUTER_THREAD_H_
#define RHUBARBHAVEN_DAEMON_ROUTER_THREAD_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Daemon/event_loop_thread.h"
#include "Routing/routing.h"

namespace rhubarbhaven {

// Functions of the process that the router's actions use. Both return false if
// the item was not accepted.
struct RouterHooks {
  std::function<auto(const std::string& agent, schema::Envelope)->bool> send;
  std::function<auto(schema::LogEntry)->bool> append_idempotency_entry;
};

// The thread that routes requests: passes events to the EntryRouter and
// executes its actions.
class RouterThread {
 public:
  using OnReply = std::function<auto(const CallerReply&)->void>;

  RouterThread(RouterOptions options, RouterHooks hooks, Metrics* metrics);

  auto Start() -> void { thread_.Start(); }
  auto Stop() -> void { thread_.Stop(); }

  // Returns false if the ring is full: the request was not accepted.
  auto Submit(CallerRequest request, OnReply on_reply) -> bool;
  auto OnMessage(std::string agent, schema::Envelope message) -> void;
  auto OnUnsent(std::string agent, schema::Envelope message) -> void;
  // Runs a callback on the router's thread. Blocks until the ring has room.
  auto PostOrWait(const EventLoopThread::Callback& callback) -> void {
    thread_.PostOrWait(callback);
  }
  // The next three must be called on the router's thread.
  auto OnIdempotencyRecord(TimePoint now,
                           uint64_t offset,
                           const schema::LogRecord& record) -> void;
  auto OnIdempotencyStream(TimePoint now, bool available) -> void;
  auto OnAppendFailed(TimePoint now, const schema::LogEntry& entry) -> void;
  auto SetServices(std::vector<schema::VersionedObject> objects) -> void;
  // Calls `on_endpoints` on the router's thread.
  auto Endpoints(
      std::function<auto(std::vector<EndpointView>)->void> on_endpoints)
      -> void;

 private:
  struct PendingRequest {
    OnReply on_reply;
    TimePoint submitted_at;
  };

  auto Post(EventLoopThread::Callback callback) -> void;
  auto ExecuteActions(TimePoint now, RouterActions actions) -> void;
  auto ExecuteAction(TimePoint now, const CallerReply& reply) -> void;
  auto ExecuteAction(TimePoint now, SendToAgent& send) -> void;
  auto ExecuteAction(TimePoint now, AppendIdempotencyEntry& append) -> void;
  auto ExecuteAction(TimePoint now, const CountReason& count) -> void;

  EntryRouter router_;
  RouterHooks hooks_;
  Metrics* metrics_;
  std::map<uint64_t, PendingRequest> pending_;
  EventLoopThread thread_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_ROUTER_THREAD_H_
