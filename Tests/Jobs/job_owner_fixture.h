#ifndef RHUBARBHAVEN_TESTS_JOBS_JOB_OWNER_FIXTURE_H_
#define RHUBARBHAVEN_TESTS_JOBS_JOB_OWNER_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr char kId[] = "0123456789abcdef";
inline constexpr uint64_t kFence = 7;
// When grants of the owners before the last one are over.
inline constexpr seconds kEarlierGrants{3};

// An owner whose agents are played by the test; the log is a fold that the test
// fills.
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
      granted_ += orders.granted_from_us() > 0 ? 1 : 0;
      latest_[agent] = orders;
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
        waits_.push_back(decision.why);
      }
    };
    hooks.log_agent = [](const std::string&, const std::string&) {};
    hooks.log_reconciliation = [this](const ReconciliationState& state) {
      census_told_.push_back(state);
    };
    hooks.log_starved = [this](const StarvedJob& job) {
      standing_told_.push_back(job);
    };
    hooks.report_starved = [this](std::size_t jobs) { standing_jobs_ = jobs; };
    hooks.report_lag = [this](Duration lag) { lags_.push_back(lag); };
    hooks.rules = [this](const std::string&) { return &rules_; };
    hooks.is_evacuated = [this](const std::string& domain) -> bool {
      return evacuated_.contains(domain);
    };
    hooks.exclusive_until = [this]() -> TimePoint {
      return std::min(now_, alone_until_);
    };
    hooks.wall_clock = [this]() -> milliseconds { return wall_; };
    hooks.ask_advice = [this](const AdviceCall& call, const auto& done) {
      advice_calls_.push_back(call);
      on_advice_ = done;
    };
    return hooks;
  }

  auto Put(KeyedRecord record) -> void {
    record.offset = ++offset_;
    const auto change = fold_.Apply(record);
    owner_.OnChange(now_, change);
  }

  // The agent's registration; with the word that a life of its worker has left,
  // if one is named.
  auto PutAgent(const std::string& agent, const std::string& left = "")
      -> void {
    AgentEntry entry;
    entry.set_name(agent);
    entry.set_link_endpoint(agent);
    entry.set_left_worker_id(left);
    Put(MakeRecord(RecordKind::kAgent, agent, entry));
  }

  // The owner's own claim: jobs in the log before it are of before a takeover.
  auto PutClaim() -> void {
    OwnerClaim claim;
    claim.set_owner("entry");
    claim.set_fence(kFence);
    Put(MakeRecord(RecordKind::kClaim, "", claim));
  }

  // The note of an owner that it grants to the agent.
  auto PutGrants(const std::string& agent,
                 uint64_t fence,
                 const std::string& life = "") -> void {
    AgentGrants grants;
    grants.set_name(agent);
    grants.set_fence(fence);
    grants.set_worker_id(life);
    Put(MakeRecord(RecordKind::kAgentGrants, agent, grants));
  }

  auto PutJob(const std::vector<JobStep>& steps, uint32_t occurrences = 0)
      -> void {
    Job job;
    job.set_id(kId);
    for (const auto& step : steps) {
      *job.add_steps() = step;
    }
    job.set_occurrences(occurrences);
    job.set_first_due_unix_ms(1000);
    job.set_interval_ms(500);
    Put(MakeRecord(RecordKind::kJob, kId, job));
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
                 {now_ + seconds(20), now_ + kEarlierGrants});
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

  auto Report(const std::string& agent, const AgentReport& report) -> void {
    EXPECT_TRUE(owner_.OnReport(now_, agent, report));
    NoteGrants();
    owner_.Tick(now_);
  }

  // The log takes at once that the owner grants to agents that have answered;
  // other records wait for `StoreBatch`.
  auto NoteGrants() -> void {
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
    owner_.OnBatchStored();
  }

  auto Starts() const -> std::size_t {
    std::size_t count = 0;
    for (const auto& [agent, starts] : starts_) {
      count += starts.size();
    }
    return count;
  }

  // A report by which an agent has carried out all of its starts.
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
  // From then on nothing shows that no other owner has followed.
  TimePoint alone_until_ = TimePoint::max();
  milliseconds wall_{0};
  uint64_t offset_ = 0;
  QueueRules rules_;
  JobFold fold_;
  std::map<std::string, int> polls_;
  // Of the latest poll.
  std::map<std::string, uint64_t> crashes_logged_;
  std::map<std::string, AgentOrders> latest_;
  std::set<std::string> evacuated_;
  // Orders with a lease.
  int granted_ = 0;
  std::map<std::string, std::map<uint64_t, StartOrder>> starts_;
  std::map<std::string, std::map<uint64_t, StopOrder>> stops_;
  // What the log was told of the census.
  std::vector<ReconciliationState> census_told_;
  std::vector<Duration> lags_;
  // Jobs that have nothing running, as told to the log, and how many.
  std::vector<StarvedJob> standing_told_;
  std::size_t standing_jobs_ = 0;
  // What the log was told of runs.
  std::vector<OwnerDecision> decisions_;
  // Why tasks wait, as told to the log.
  std::vector<std::string> waits_;
  std::vector<AdviceCall> advice_calls_;
  std::function<auto(TimePoint, AdviceResult)->void> on_advice_;
  JobOwner owner_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_JOB_OWNER_FIXTURE_H_
