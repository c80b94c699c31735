#ifndef RHUBARBHAVEN_DAEMON_CONTROL_THREAD_H_
#define RHUBARBHAVEN_DAEMON_CONTROL_THREAD_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Daemon/agent_membership.h"
#include "Daemon/cell_service.h"
#include "Daemon/event_loop_thread.h"
#include "Daemon/stream_service.h"

namespace rhubarbhaven {

struct ControlHooks {
  // Sends to an agent by its id, or to a peer by its link endpoint.
  std::function<auto(const std::string& peer, schema::Envelope)->bool> send;
  // Called with all objects when the configuration has changed.
  std::function<auto(std::vector<schema::VersionedObject>)->void> on_config;
};

// The thread that owns the configuration and the cells of an entry.
class ControlThread {
 public:
  ControlThread(const schema::DaemonSettings& settings,
                uint64_t incarnation,
                ControlHooks hooks,
                Metrics* metrics);
  ControlThread(const ControlThread&) = delete;
  auto operator=(const ControlThread&) -> ControlThread& = delete;

  auto Start() -> void;
  // A planned stop: releases the cells that this entry owns.
  auto Stop() -> void;

  // Handles Announce, LeaseRequest, TaskReport, StateRequest and StateReply.
  auto OnMessage(std::string peer, schema::Envelope message) -> void;

  // Operators' requests. `answer` is called on the control thread.
  auto Status(std::function<auto(schema::OperatorStatus)->void> answer) -> void;
  // `owned` is false if this entry owns none of its cells; the message then
  // contains only the id of an owner.
  auto Tasks(
      std::function<auto(bool owned, schema::OperatorTasks)->void> answer)
      -> void;
  // Answers with nullopt if this entry does not own the task's cell.
  auto Explain(
      schema::TaskId task,
      std::function<auto(std::optional<schema::OperatorExplanation>)->void>
          answer) -> void;
  auto Evict(
      schema::TaskId task,
      std::function<auto(std::optional<schema::OperatorReply>)->void> answer)
      -> void;

  // True once a configuration has been read from the log or from a peer.
  auto ready() const -> bool { return ready_; }

 private:
  auto ConfigHooks() -> StreamHooks;
  auto MakeCells(const schema::DaemonSettings& settings) -> void;
  auto AdoptConfig(TimePoint now, const std::string& bytes) -> bool;
  auto ConfigChanged(TimePoint now) -> void;
  auto Dispatch(TimePoint now,
                const std::string& peer,
                const schema::Envelope& message) -> void;
  auto OnAnnounce(TimePoint now, const schema::Envelope& message) -> void;
  auto SendNotice(const AgentView& agent) -> void;
  auto OnStateRequest(const std::string& peer,
                      const schema::StateRequest& request) -> void;
  auto OnStateReply(TimePoint now, const schema::StateReply& reply) -> void;
  auto RequestPeerStates(TimePoint now) -> void;
  auto OnTick(TimePoint now) -> void;
  auto AddInstances(TimePoint now, schema::OperatorStatus& status) -> void;
  auto FindOwnerOf(TimePoint now, const schema::TaskId& task) -> CellService*;
  auto WithTask(
      schema::TaskId task,
      std::function<auto(TimePoint, const schema::TaskId&, CellService*)->void>
          on_found) -> void;
  auto Post(EventLoopThread::Callback job) -> void;

  schema::DaemonSettings settings_;
  uint64_t incarnation_;
  ControlHooks hooks_;
  Metrics* metrics_;
  ConfigFold config_;
  AgentMembership agents_;
  std::atomic<bool> ready_ = false;
  bool log_reachable_ = false;
  TimePoint next_wake_;
  TimePoint next_peer_request_;
  EventLoopThread thread_;
  StreamService config_stream_;
  std::map<std::string, std::unique_ptr<CellService>> cells_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_CONTROL_THREAD_H_
