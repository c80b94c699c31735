#ifndef RHUBARBHAVEN_TASKS_OWNER_H_
#define RHUBARBHAVEN_TASKS_OWNER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Base/base.h"
#include "Tasks/cell_fold.h"

namespace rhubarbhaven {

struct OwnerOptions {
  std::string cell;
  std::string entry_id;
  uint64_t entry_incarnation = 0;
  // A claim that was not renewed in the log for this long may be replaced.
  std::chrono::milliseconds claim_timeout{6000};
  std::chrono::milliseconds claim_renewal{2000};
  // Longest lease that an agent is granted, and that a worker is given.
  std::chrono::milliseconds lease_ttl{6000};
  std::chrono::milliseconds worker_lease{6000};
  // Margin for clocks that run at different speeds, and for slow calls.
  std::chrono::milliseconds drift_margin{2000};
  // How long an owner that cannot reach the log goes on renewing leases.
  std::chrono::seconds unverified_limit{86400};
  std::size_t placements_per_round = 64;
};

// Append to the cell's stream; comes back by `OnRecord` when it took effect.
struct AppendCell {
  schema::LogEntry entry;
};

struct OrderAgent {
  std::string agent;
  schema::Envelope message;
};

struct CountOwner {
  std::string counter;
};

using OwnerAction = std::variant<AppendCell, OrderAgent, CountOwner>;
using OwnerActions = std::vector<OwnerAction>;

// What an operator sees of a task.
struct TaskView {
  schema::TaskId task;
  uint32_t attempt = 0;
  // "waiting", "placed", "running", "stopping", "finished", "failed",
  // "cancelled".
  std::string state;
  std::string instance;
  std::string why;
  uint32_t evictions = 0;
};

// What an operator sees of an instance of the cell.
struct InstanceView {
  std::string instance;
  std::string agent;
  // "leased", "silent", "draining", "lost", "set_aside", "unknown".
  std::string state;
  uint64_t incarnation = 0;
  std::chrono::milliseconds silent_for{0};
  uint32_t tasks = 0;
};

// One process's part in owning one cell: follows its stream, claims it when
// it is free, and while it owns it places tasks and grants leases.
class Owner {
 public:
  explicit Owner(OwnerOptions options);
  Owner(const Owner&) = delete;
  auto operator=(const Owner&) -> Owner& = delete;
  ~Owner();

  auto OnConfig(TimePoint now,
                const std::vector<schema::VersionedObject>& objects)
      -> OwnerActions;
  auto OnRecord(TimePoint now, uint64_t offset, const schema::LogRecord& record)
      -> OwnerActions;
  auto OnSnapshot(TimePoint now, const schema::CellState& state)
      -> OwnerActions;
  // A read that was sent at `asked` came back at `now` and reached the
  // stream's end: everything appended before `asked` has been applied.
  auto OnCaughtUp(TimePoint now, TimePoint asked) -> OwnerActions;
  // LeaseRequest and TaskReport, from an agent.
  auto OnMessage(TimePoint now,
                 const std::string& agent,
                 const schema::Envelope& message) -> OwnerActions;
  auto OnAppendFailed(TimePoint now, const schema::LogEntry& entry)
      -> OwnerActions;
  // An operator asks for one task to be evicted.
  auto Evict(TimePoint now, const schema::TaskId& task) -> OwnerActions;
  // A planned stop: gives the cell free in the log.
  auto Release(TimePoint now) -> OwnerActions;
  auto OnTick(TimePoint now) -> OwnerActions;
  auto next_wake() const -> TimePoint;

  // True while this process holds the claim in force, as far as it knows.
  auto owns() const -> bool;
  auto fold() const -> const CellFold&;
  auto Tasks(TimePoint now) const -> std::vector<TaskView>;
  auto Instances(TimePoint now) const -> std::vector<InstanceView>;
  // Why a task waits or failed, in one line.
  auto Explain(TimePoint now, const schema::TaskId& task) const -> std::string;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TASKS_OWNER_H_
