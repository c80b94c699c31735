#ifndef RHUBARBHAVEN_DAEMON_CELL_SERVICE_H_
#define RHUBARBHAVEN_DAEMON_CELL_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Daemon/stream_service.h"
#include "Tasks/tasks.h"

namespace rhubarbhaven {

struct CellServiceOptions {
  OwnerOptions owner;
  StreamServiceOptions stream;
};

struct CellHooks {
  // Runs a callback on the thread that owns the cell's state.
  std::function<auto(std::function<auto(TimePoint)->void>)->void> post;
  std::function<auto(const std::string& agent, schema::Envelope)->bool> send;
};

// One cell in this process: its Owner and its stream. All methods except Start
// and Stop must be called on the thread that owns the state.
class CellService {
 public:
  CellService(const CellServiceOptions& options,
              CellHooks hooks,
              Metrics* metrics);
  CellService(const CellService&) = delete;
  auto operator=(const CellService&) -> CellService& = delete;

  auto Start() -> void { stream_.Start(); }
  // Flushes pending appends to the log, for at most `limit`.
  auto Stop(std::chrono::milliseconds limit) -> void { stream_.Stop(limit); }

  auto OnConfig(TimePoint now,
                const std::vector<schema::VersionedObject>& objects) -> void;
  auto OnMessage(TimePoint now,
                 const std::string& agent,
                 const schema::Envelope& message) -> void;
  auto OnPeerState(TimePoint now, const schema::CellState& state) -> void;
  auto OnTick(TimePoint now) -> void;
  auto Evict(TimePoint now, const schema::TaskId& task) -> void;
  auto Release(TimePoint now) -> void;
  auto owner() const -> const Owner& { return owner_; }

 private:
  auto Hooks() -> StreamHooks;
  auto ExecuteActions(TimePoint now, const OwnerActions& actions) -> void;
  auto ExecuteAction(TimePoint now, const AppendToCell& append) -> void;
  auto ExecuteAction(TimePoint now, const SendToSupervisor& order) -> void;
  auto ExecuteAction(TimePoint now, const CountOwnerEvent& count) -> void;

  CellHooks hooks_;
  Metrics* metrics_;
  Owner owner_;
  StreamService stream_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_CELL_SERVICE_H_
