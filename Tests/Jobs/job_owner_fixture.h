#ifndef RHUBARBHAVEN_TESTS_JOBS_JOB_OWNER_FIXTURE_H_
#define RHUBARBHAVEN_TESTS_JOBS_JOB_OWNER_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr char kJobId[] = "0123456789abcdef";
inline constexpr uint64_t kFence = 7;
// Time from the owner's start until all grants of owners before the last one
// have expired.
inline constexpr seconds kEarlierGrantsDuration{3};

// An owner whose agents are simulated by the test. The log is a fold that the
// test fills with records.
class JobOwnerTest : public testing::Test {
 protected:
  JobOwnerTest() : owner_(JobOwnerOptions(), Hooks()) {
    for (const char* agent : {"agent-0", "agent-1"}) {
      PutAgent(agent);
    }
    rules_.set_service("service");
    rules_.set_max_attempts(2);
  }

  auto Hooks() -> JobOwnerHooks {
    JobOwnerHooks hooks;
    hooks.send = [this](const std::string& agent, const AgentOrders& orders) {
      ++polls_[agent];
      crashes_logged_[agent] = orders.crashes_logged();
      leases_granted_ += orders.granted_from_us() > 0 ? 1 : 0;
      latest_orders_[agent] = orders;
      for (const auto& start : orders.starts()) {
        starts_[agent][start.order()] = start;
      }
      for (const auto& stop : orders.stops()) {
        stops_[agent][stop.order()] = stop;
      }
    };
    hooks.log = [this](const OwnerDecision& decision) {
      decisions_.push_back(decision);
      if (decision.what == "waits") {
        wait_reasons_.push_back(decision.why);
      }
    };
    hooks.log_agent = [](const std::string&, const std::string&) {};
    hooks.log_reconciliation = [this](const ReconciliationState& state) {
      logged_reconciliations_.push_back(state);
    };
    hooks.log_starved = [this](const StarvedJob& job) {
      logged_starved_jobs_.push_back(job);
    };
    hooks.log_silent = [this](const SilentAgents& silent) {
      logged_silent_agents_.push_back(silent);
    };
    hooks.report_starved = [this](std::size_t jobs) { starved_jobs_ = jobs; };
    hooks.report_overload = [this](const OverloadState& state) {
      overload_ = state;
    };
    hooks.report_run_length = [this](const RunLengthSample& sample) {
      run_lengths_.push_back(sample);
    };
    hooks.log_run_lengths = [](const std::string&, std::size_t) {};
    hooks.log_large_record = [this](const LargeRecord& record) {
      large_records_.push_back(record);
    };
    hooks.report_lag = [this](Duration lag) { lags_.push_back(lag); };
    hooks.report_orders = [this](const OrderTraffic& traffic) {
      order_traffic_.push_back(traffic);
    };
    hooks.report_start_delay = [this](Duration delay) {
      start_delays_.push_back(delay);
    };
    hooks.rules = [this](const std::string&) { return &rules_; };
    hooks.is_evacuated = [this](const std::string& domain) -> bool {
      return evacuated_.contains(domain);
    };
    hooks.exclusive_until = [this]() -> TimePoint {
      return std::min(now_, exclusive_until_);
    };
    hooks.renewed_at = [this]() -> TimePoint {
      return std::min(now_, exclusive_until_);
    };
    hooks.on_last_owner_bound = [this](TimePoint, TimePoint end) -> void {
      last_owner_bounds_.push_back(end);
    };
    hooks.stopped_lease_end =
        [this](const std::string& agent) -> std::optional<TimePoint> {
      return agent_stops_.LeaseEnd(agent);
    };
    hooks.log_position = [this]() -> LogPosition {
      return {now_ - log_age_, offset_ + 1};
    };
    hooks.wall_clock = [this]() -> milliseconds { return wall_time_; };
    hooks.ask_advice = [this](const AdviceCall& call, const auto& done) {
      advice_calls_.push_back(call);
      on_advice_ = done;
    };
    return hooks;
  }

  auto Put(KeyedRecord record) -> void {
    record.offset = ++offset_;
    const auto change = fold_.Apply(record);
    if (change.kind == RecordKind::kAgent) {
      const auto entry = fold_.agents().find(change.name);
      agent_stops_.OnEntry(
          now_, change.name,
          entry == fold_.agents().end() ? nullptr : &entry->second);
    }
    owner_.OnChange(now_, change);
  }

  // Stores the record of the agent's process that it was told to stop.
  auto PutStop(const std::string& agent,
               uint64_t incarnation,
               milliseconds lease_left) -> void {
    AgentEntry entry;
    entry.set_name(agent);
    entry.set_link_endpoint(agent);
    entry.set_incarnation(incarnation);
    entry.mutable_stop()->set_lease_left_ms(
        static_cast<uint64_t>(lease_left.count()));
    Put(MakeRecord(RecordKind::kAgent, agent, entry));
  }

  // Stores the agent's registration. A non-empty `left_worker_id` is the id of
  // a worker process that the registration reports as having left.
  auto PutAgent(const std::string& agent,
                const std::string& left_worker_id = "",
                uint64_t incarnation = 0) -> void {
    AgentEntry entry;
    entry.set_incarnation(incarnation);
    entry.set_name(agent);
    entry.set_link_endpoint(agent);
    entry.set_left_worker_id(left_worker_id);
    Put(MakeRecord(RecordKind::kAgent, agent, entry));
  }

  // Stores the owner's own claim; jobs in the log before it date from before a
  // takeover.
  auto PutClaim() -> void {
    OwnerClaim claim;
    claim.set_owner("entry");
    claim.set_fence(kFence);
    Put(MakeRecord(RecordKind::kClaim, "", claim));
  }

  // Stores an owner's record that it grants leases to the agent, for the worker
  // process `worker_id` and the agent's process `agent_incarnation`, if set.
  auto PutGrants(const std::string& agent,
                 uint64_t fence,
                 const std::string& worker_id = "",
                 uint64_t agent_incarnation = 0) -> void {
    AgentGrants grants;
    grants.set_agent_incarnation(agent_incarnation);
    grants.set_name(agent);
    grants.set_fence(fence);
    grants.set_worker_id(worker_id);
    Put(MakeRecord(RecordKind::kAgentGrants, agent, grants));
  }

  auto PutJob(const std::vector<JobStep>& steps, uint32_t occurrences = 0)
      -> void {
    Job job;
    job.set_id(kJobId);
    for (const auto& step : steps) {
      *job.add_steps() = step;
    }
    job.set_occurrences(occurrences);
    job.set_first_due_unix_ms(1000);
    job.set_interval_ms(500);
    Put(MakeRecord(RecordKind::kJob, kJobId, job));
  }

  static auto Step(uint32_t count) -> JobStep {
    JobStep step;
    step.set_count(count);
    step.mutable_need()->set_millicores(1000);
    step.set_estimated_ms(1000);
    return step;
  }

  auto Begin() -> void {
    owner_.Begin(now_, kFence, &fold_,
                 {now_ + seconds(20), now_ + kEarlierGrantsDuration});
  }

  static auto MicrosecondsOf(TimePoint time) -> uint64_t {
    return static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            time.time_since_epoch())
            .count());
  }

  static auto ReportOf(const std::string& agent) -> AgentReport {
    AgentReport report;
    report.set_fence(kFence);
    report.set_sent_us(++sent_us_);
    report.set_worker_id("life-of-" + agent);
    report.set_service("service");
    report.mutable_capacity()->set_millicores(4000);
    report.mutable_capacity()->set_memory_mb(4000);
    report.set_complete(true);
    return report;
  }

  // Delivers the report as an answer to orders that were built just now, unless
  // it names others.
  auto Report(const std::string& agent, AgentReport report) -> void {
    if (report.orders_built_at_us() == 0) {
      report.set_orders_built_at_us(MicrosecondsOf(now_));
    }
    EXPECT_TRUE(owner_.OnReport(now_, agent, report));
    RecordGrants();
    owner_.Tick(now_);
  }

  // Stores the pending batch if the owner has to record that it grants leases
  // to agents that have answered. Other records wait for `StoreBatch`.
  auto RecordGrants() -> void {
    const auto& workers = owner_.workers();
    if (std::any_of(workers.begin(), workers.end(), [](const auto& item) {
          return item.second->confirmed && !item.second->grants_recorded;
        })) {
      StoreBatch();
    }
  }

  auto ReportAll() -> void {
    for (const char* agent : {"agent-0", "agent-1"}) {
      Report(agent, ReportOf(agent));
    }
  }

  auto StoreBatch() -> void {
    for (const auto& record : owner_.TakeBatch()) {
      Put(record);
    }
    owner_.OnBatchStored(now_);
  }

  auto Starts() const -> std::size_t {
    std::size_t count = 0;
    for (const auto& [agent, starts] : starts_) {
      count += starts.size();
    }
    return count;
  }

  // Returns a report that says that the agent has carried out all of its
  // starts, each with `percent` of progress.
  auto Started(const std::string& agent, uint32_t percent) -> AgentReport {
    auto report = ReportOf(agent);
    for (const auto& [number, start] : starts_[agent]) {
      auto* result = report.add_results();
      result->set_order(number);
      result->set_outcome(ORDER_DONE);
      auto* row = report.add_running();
      *row->mutable_task() = start.task();
      row->set_run(start.run());
      row->set_percent(percent);
    }
    return report;
  }

  static inline uint64_t sent_us_ = 0;
  TimePoint now_{seconds(100)};
  // The log has confirmed only up to this time that no other owner has
  // followed.
  TimePoint exclusive_until_ = TimePoint::max();
  // Age of the owner's copy of the log.
  milliseconds log_age_{0};
  milliseconds wall_time_{0};
  uint64_t offset_ = 0;
  QueueRules rules_;
  JobFold fold_;
  AgentStops agent_stops_{JobOwnerOptions().clock_drift};
  std::map<std::string, int> polls_;
  // From the latest poll of each agent.
  std::map<std::string, uint64_t> crashes_logged_;
  std::map<std::string, AgentOrders> latest_orders_;
  std::set<std::string> evacuated_;
  // Number of order messages that carried a lease.
  int leases_granted_ = 0;
  std::map<std::string, std::map<uint64_t, StartOrder>> starts_;
  std::map<std::string, std::map<uint64_t, StopOrder>> stops_;
  // States of the reconciliation that the owner logged.
  std::vector<ReconciliationState> logged_reconciliations_;
  // Bounds on the previous owner's grants that the owner reported.
  std::vector<TimePoint> last_owner_bounds_;
  std::vector<Duration> lags_;
  std::vector<Duration> start_delays_;
  std::vector<OrderTraffic> order_traffic_;
  std::vector<LargeRecord> large_records_;
  // Starved jobs that the owner logged, and the number that it last reported.
  std::vector<StarvedJob> logged_starved_jobs_;
  std::size_t starved_jobs_ = 0;
  std::vector<SilentAgents> logged_silent_agents_;
  std::vector<RunLengthSample> run_lengths_;
  // The latest state of overload that the owner reported.
  OverloadState overload_;
  // Decisions on runs that the owner logged.
  std::vector<OwnerDecision> decisions_;
  // Logged reasons why tasks wait.
  std::vector<std::string> wait_reasons_;
  std::vector<AdviceCall> advice_calls_;
  std::function<auto(TimePoint, AdviceResult)->void> on_advice_;
  JobOwner owner_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_JOB_OWNER_FIXTURE_H_
