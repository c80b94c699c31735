#ifndef RHUBARBHAVEN_DAEMON_ROUTER_DUTY_H_
#define RHUBARBHAVEN_DAEMON_ROUTER_DUTY_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Daemon/duty_thread.h"
#include "Routing/routing.h"

namespace rhubarbhaven {

// What the router's actions need of the rest of the process.
struct RouterHooks {
  std::function<auto(const std::string& agent, schema::Envelope)->bool> send;
  std::function<auto(schema::LogEntry)->bool> append_once;
};

// The thread that routes requests: feeds the EntryRouter and carries out its
// actions.
class RouterDuty {
 public:
  using OnReply = std::function<auto(const CallerReply&)->void>;

  RouterDuty(RouterOptions options, RouterHooks hooks, Metrics* metrics);

  auto Start() -> void { thread_.Start(); }
  auto Stop() -> void { thread_.Stop(); }

  // False if the ring is full: the request was not taken.
  auto Submit(CallerRequest request, OnReply on_reply) -> bool;
  auto OnMessage(std::string agent, schema::Envelope message) -> void;
  auto OnUnsent(std::string agent, schema::Envelope message) -> void;
  // Runs a job on the router's thread; waits for room.
  auto PostOrWait(const DutyThread::Job& job) -> void {
    thread_.PostOrWait(job);
  }
  // On the router's thread only.
  auto OnIdempotencyRecord(TimePoint now,
                           uint64_t offset,
                           const schema::LogRecord& record) -> void;
  auto OnIdempotencyStream(TimePoint now, bool available) -> void;
  auto OnAppendFailed(TimePoint now, const schema::LogEntry& entry) -> void;
  auto SetServices(std::vector<schema::VersionedObject> objects) -> void;
  // Calls back on the router's thread.
  auto Endpoints(
      std::function<auto(std::vector<EndpointView>)->void> on_endpoints)
      -> void;

 private:
  struct Waiting {
    OnReply on_reply;
    TimePoint since;
  };

  auto Post(DutyThread::Job job) -> void;
  auto Carry(TimePoint now, RouterActions actions) -> void;
  auto CarryOne(TimePoint now, const CallerReply& reply) -> void;
  auto CarryOne(TimePoint now, SendToAgent& send) -> void;
  auto CarryOne(TimePoint now, AppendIdempotencyEntry& append) -> void;
  auto CarryOne(TimePoint now, const CountReason& count) -> void;

  EntryRouter router_;
  RouterHooks hooks_;
  Metrics* metrics_;
  std::map<uint64_t, Waiting> waiting_;
  DutyThread thread_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_ROUTER_DUTY_H_
