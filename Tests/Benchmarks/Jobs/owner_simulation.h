#ifndef RHUBARBHAVEN_TESTS_BENCHMARKS_JOBS_OWNER_SIMULATION_H_
#define RHUBARBHAVEN_TESTS_BENCHMARKS_JOBS_OWNER_SIMULATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {

// Requirements of the tasks of a simulation.
enum class Load {
  kPlain,
  // Serving tasks on every worker, and opportunistic tasks beside them.
  kOpportunistic,
  // Gangs, required labels, limits per worker, and plain tasks.
  kMixed,
};

// Simulates an owner, its log and its agents in virtual time. Agents execute
// orders immediately. The open jobs exceed the capacity by a fifth.
class OwnerSimulation {
 public:
  OwnerSimulation(int workers, Load load);
  OwnerSimulation(const OwnerSimulation&) = delete;
  auto operator=(const OwnerSimulation&) -> OwnerSimulation& = delete;
  ~OwnerSimulation() = default;

  // Makes the report of the next agent that has a run which can end, and ends
  // one such run. Makes a report without an end if there is no such agent.
  auto ReportWithEnd() -> const AgentReport&;
  auto ReportWithoutEnd() -> const AgentReport&;
  // Delivers the last report to the owner, which then decides.
  auto Deliver() -> void;
  // Stores the owner's records in the log and adds jobs in place of completed
  // ones. Not measured.
  auto StoreRecords() -> void;
  // Adds a job of `tasks` tasks at the head of the queue and lets the owner
  // decide.
  auto AddUrgentJob(uint32_t tasks) -> void;

  auto tasks_running() const -> std::size_t { return running_; }

 private:
  struct Run {
    TaskName task;
    uint64_t run = 0;
    bool ends = true;
  };
  struct Agent {
    std::string name;
    AgentReport report;
    std::vector<Run> runs;
    std::vector<uint64_t> started_orders;
    uint64_t ends = 0;
    uint64_t sent_us = 0;
  };

  auto Hooks() -> JobOwnerHooks;
  auto Put(KeyedRecord record) -> void;
  auto PutJob(const std::string& queue, std::vector<JobStep> steps) -> void;
  auto AddJob() -> void;
  auto AddLongRunning() -> void;
  auto Begin() -> void;
  auto RefillBacklog() -> void;
  auto OnOrders(Agent& agent, const AgentOrders& orders) -> void;
  auto NextAgent() -> Agent&;
  auto MakeReport(Agent& agent) -> AgentReport&;

  Load load_;
  std::map<std::string, Agent> agents_;
  std::map<std::string, Agent>::iterator next_agent_;
  Agent* reporting_ = nullptr;
  TimePoint now_{std::chrono::seconds(1000)};
  Duration report_interval_{0};
  uint64_t offset_ = 0;
  uint64_t next_job_ = 0;
  std::size_t running_ = 0;
  // Number of tasks that have no run yet.
  std::size_t waiting_ = 0;
  std::size_t backlog_ = 0;
  QueueRules rules_;
  QueueRules urgent_rules_;
  JobFold fold_;
  JobOwner owner_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_BENCHMARKS_JOBS_OWNER_SIMULATION_H_
