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
  // A claim that has not been renewed in the log for this long may be replaced.
  std::chrono::milliseconds claim_timeout{6000};
  std::chrono::milliseconds claim_renewal{2000};
  // Longest lease granted to an agent, and by an agent to a task at its worker.
  std::chrono::milliseconds lease_ttl{6000};
  std::chrono::milliseconds worker_lease{6000};
  // Margin for clock drift and for slow calls.
  std::chrono::milliseconds drift_margin{2000};
  // How long an owner that cannot reach the log continues to renew leases.
  std::chrono::seconds unverified_limit{86400};
  std::size_t placements_per_round = 64;
};

// Appends to the cell's stream. The entry is passed to `OnRecord` once it is in
// the log.
struct AppendToCell {
  schema::LogEntry entry;
};

struct SendToSupervisor {
  std::string agent;
  schema::Envelope message;
};

struct CountOwnerEvent {
  std::string counter;
};

using OwnerAction =
    std::variant<AppendToCell, SendToSupervisor, CountOwnerEvent>;
using OwnerActions = std::vector<OwnerAction>;

// State of a task as shown to operators.
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

// State of an instance as shown to operators.
struct InstanceView {
  std::string instance;
  std::string agent;
  // "leased", "silent", "draining", "lost", "set_aside", "unknown".
  std::string state;
  uint64_t incarnation = 0;
  std::chrono::milliseconds unresponsive_for{0};
  uint32_t tasks = 0;
};

// Owner of one cell, or candidate for it: follows the cell's stream, claims the
// cell when it has no owner and, while it owns the cell, places tasks and
// grants leases.
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
  // A read that was sent at `read_sent_at` and completed at `now` reached the
  // end of the stream: everything appended before `read_sent_at` has been
  // applied.
  auto OnCaughtUp(TimePoint now, TimePoint read_sent_at) -> OwnerActions;
  // Handles a LeaseRequest or TaskReport from an agent.
  auto OnMessage(TimePoint now,
                 const std::string& agent,
                 const schema::Envelope& message) -> OwnerActions;
  auto OnAppendFailed(TimePoint now, const schema::LogEntry& entry)
      -> OwnerActions;
  // Evicts one task at the request of an operator.
  auto Evict(TimePoint now, const schema::TaskId& task) -> OwnerActions;
  // Begins a planned stop: releases the cell in the log.
  auto Release(TimePoint now) -> OwnerActions;
  auto OnTick(TimePoint now) -> OwnerActions;
  auto next_wake() const -> TimePoint;

  // True while this process holds the latest claim it knows of.
  auto owns() const -> bool;
  auto fold() const -> const CellFold&;
  auto Tasks(TimePoint now) const -> std::vector<TaskView>;
  auto Instances(TimePoint now) const -> std::vector<InstanceView>;
  // Explains in one line why a task is waiting or has failed.
  auto Explain(TimePoint now, const schema::TaskId& task) const -> std::string;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TASKS_OWNER_H_
