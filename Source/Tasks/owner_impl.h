#ifndef RHUBARBHAVEN_TASKS_OWNER_IMPL_H_
#define RHUBARBHAVEN_TASKS_OWNER_IMPL_H_

#include <memory>
#include <string>
#include <vector>

#include "Tasks/owner.h"
#include "Tasks/owner_agents.h"
#include "Tasks/owner_claim.h"
#include "Tasks/owner_orders.h"
#include "Tasks/owner_register.h"
#include "Tasks/owner_scheduler.h"
#include "Tasks/owner_tasks.h"

namespace rhubarbhaven {

// Connects the parts of an owner: takes events and collects actions.
class Owner::Impl {
 public:
  explicit Impl(OwnerOptions options);

  auto OnConfig(TimePoint now,
                const std::vector<schema::VersionedObject>& objects) -> void;
  auto OnRecord(TimePoint now, uint64_t offset, const schema::LogRecord& record)
      -> void;
  auto OnSnapshot(TimePoint now, const schema::CellState& state) -> void;
  auto OnCaughtUp(TimePoint now, TimePoint read_sent_at) -> void;
  auto OnMessage(TimePoint now,
                 const std::string& agent,
                 const schema::Envelope& message) -> void;
  auto OnAppendFailed(TimePoint now, const schema::LogEntry& entry) -> void;
  auto Evict(const schema::TaskId& task) -> void;
  auto Release() -> void;
  // Performs everything that is due at `now`; called after each event.
  auto Advance(TimePoint now) -> void;
  auto TakeActions() -> OwnerActions;

  auto next_wake() const -> TimePoint;
  auto owns() const -> bool { return claim_.owns(); }
  auto fold() const -> const CellFold& { return fold_; }
  auto Tasks() const -> std::vector<TaskView>;
  auto Instances(TimePoint now) const -> std::vector<InstanceView>;
  auto Explain(TimePoint now, const schema::TaskId& task) const -> std::string;

 private:
  using Stop = tasks::PlacedAttempt::Stop;

  auto Count(const std::string& counter) -> void;
  auto Append(schema::LogEntry entry) -> void;
  // Handles a change of the fold, by which ownership may begin or end.
  auto ObserveClaim(TimePoint now) -> void;
  auto Begin(TimePoint now) -> void;
  auto OnEffect(TimePoint now, const CellEffect& effect) -> void;
  auto OnPlaced(TimePoint now, const schema::TaskState& state) -> void;
  auto OnEnded(TimePoint now, const schema::TaskEnd& end) -> void;

  auto OnRequest(TimePoint now,
                 const std::string& agent,
                 const schema::Envelope& message) -> void;
  auto OnConfirmedRequest(TimePoint now, const schema::LeaseRequest& request)
      -> void;
  auto OnReport(TimePoint now, const schema::Envelope& message) -> void;
  // True if the instance may be granted a lease.
  auto MayLease(const schema::LeaseRequest& request) const -> bool;
  auto Grant(TimePoint now,
             const std::string& agent,
             const schema::LeaseRequest& request,
             std::chrono::milliseconds ttl) -> void;
  auto AddRecorded(const schema::LeaseRequest& request,
                   schema::LeaseGrant* grant) const -> void;
  // True if the end of the attempt is recorded in the log.
  auto IsRecorded(const schema::TaskId& task, uint32_t attempt) const -> bool;

  auto OnRunning(TimePoint now,
                 const std::string& instance,
                 const schema::RunningTask& running) -> void;
  auto OnEndReported(const std::string& instance,
                     const schema::EndedTask& ended) -> void;
  auto OnRejected(TimePoint now,
                  const std::string& instance,
                  const schema::RefusedOrder& refused) -> void;
  auto OnUsage(TimePoint now, const schema::LeaseRequest& request) -> void;
  auto IssueEnd(tasks::PlacedAttempt* attempt,
                schema::TaskOutcome outcome,
                const std::string& detail) -> void;

  // Sends the order that the attempt needs now, if its agent is confirmed.
  auto SendOrder(const tasks::PlacedAttempt& attempt) -> void;
  auto SendOrders(const std::string& instance) -> void;
  auto SetStop(tasks::PlacedAttempt* attempt, Stop stop, const std::string& why)
      -> void;
  // Stops attempts whose job was cancelled or removed.
  auto StopUnwanted() -> void;
  auto IsUnwanted(const schema::TaskId& task) const -> bool;

  auto Check(TimePoint now) -> void;
  auto CheckLost(TimePoint now) -> void;
  // Returns why the attempt is lost with its instance, or an empty string if
  // that is not proved.
  auto LossReason(TimePoint now, const tasks::PlacedAttempt& attempt) const
      -> std::string;
  auto EvictFromDraining() -> void;
  auto PlaceTasks(TimePoint now) -> void;
  auto StateOf(const tasks::RegisterJob& job,
               const schema::TaskState* state,
               const tasks::PlacedAttempt* attempt) const -> std::string;

  OwnerOptions options_;
  CellFold fold_;
  tasks::Register register_;
  tasks::CellClaim claim_;
  tasks::OwnerOrders orders_;
  tasks::AgentTable agents_;
  tasks::PlacedAttempts placed_;
  // Set only while the cell is owned.
  std::unique_ptr<tasks::OwnerScheduler> scheduler_;
  bool configured_ = false;
  // Highest object version seen in any configuration.
  uint64_t config_version_ = 0;
  TimePoint next_check_ = TimePoint::min();
  TimePoint next_round_ = TimePoint::min();
  OwnerActions actions_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TASKS_OWNER_IMPL_H_
