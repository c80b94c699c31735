#ifndef RHUBARBHAVEN_DAEMON_CELL_DUTY_H_
#define RHUBARBHAVEN_DAEMON_CELL_DUTY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Daemon/stream_duty.h"
#include "Tasks/tasks.h"

namespace rhubarbhaven {

struct CellDutyOptions {
  OwnerOptions owner;
  StreamDutyOptions stream;
};

struct CellHooks {
  // Runs a job on the thread to which the cell's state belongs.
  std::function<auto(std::function<auto(TimePoint)->void>)->void> post;
  std::function<auto(const std::string& agent, schema::Envelope)->bool> send;
};

// One cell as this process sees it: its Owner and its stream. All methods but
// Start and Stop run on the thread to which the state belongs.
class CellDuty {
 public:
  CellDuty(const CellDutyOptions& options, CellHooks hooks, Metrics* metrics);
  CellDuty(const CellDuty&) = delete;
  auto operator=(const CellDuty&) -> CellDuty& = delete;

  auto Start() -> void { stream_.Start(); }
  // Sends what waits for the log, for at most `limit`.
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
  auto Carry(TimePoint now, const OwnerActions& actions) -> void;
  auto CarryOne(TimePoint now, const AppendToCell& append) -> void;
  auto CarryOne(TimePoint now, const SendToSupervisor& order) -> void;
  auto CarryOne(TimePoint now, const CountOwnerEvent& count) -> void;

  CellHooks hooks_;
  Metrics* metrics_;
  Owner owner_;
  StreamDuty stream_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_CELL_DUTY_H_
