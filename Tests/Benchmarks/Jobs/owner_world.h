#ifndef RHUBARBHAVEN_TESTS_BENCHMARKS_JOBS_OWNER_WORLD_H_
#define RHUBARBHAVEN_TESTS_BENCHMARKS_JOBS_OWNER_WORLD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {

// What the tasks of a world ask for.
enum class Load {
  kPlain,
  // Tasks that serve on every worker, and fillers beside them.
  kFillers,
  // Gangs, labels, limits a worker, and plain tasks.
  kMixed,
};

// An owner, its log and its agents in virtual time. Agents carry out at once
// what they are told; more jobs are open than there is room for, by a fifth.
class OwnerWorld {
 public:
  OwnerWorld(int workers, Load load);
  OwnerWorld(const OwnerWorld&) = delete;
  auto operator=(const OwnerWorld&) -> OwnerWorld& = delete;
  ~OwnerWorld() = default;

  // The next agent's report, with the end of one of its runs if it has one
  // that ends.
  auto ReportWithEnd() -> const AgentReport&;
  auto ReportWithoutEnd() -> const AgentReport&;
  // Takes the report last made, and decides.
  auto Deliver() -> void;
  // Lets the log store what the owner has to say, and adds jobs for those that
  // are done. Not part of what is measured.
  auto Settle() -> void;
  // Adds a job of so many tasks at the head of the queue, and decides.
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
  auto AddLasting() -> void;
  auto Begin() -> void;
  auto FillUp() -> void;
  auto OnOrders(Agent& agent, const AgentOrders& orders) -> void;
  auto NextAgent() -> Agent&;
  auto MakeReport(Agent& agent) -> AgentReport&;

  Load load_;
  std::map<std::string, Agent> agents_;
  std::map<std::string, Agent>::iterator next_agent_;
  Agent* reporting_ = nullptr;
  TimePoint now_{std::chrono::seconds(1000)};
  Duration between_reports_{0};
  uint64_t offset_ = 0;
  uint64_t next_job_ = 0;
  std::size_t running_ = 0;
  // Tasks that have no run yet.
  std::size_t waiting_ = 0;
  std::size_t backlog_ = 0;
  QueueRules rules_;
  QueueRules urgent_rules_;
  JobFold fold_;
  JobOwner owner_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_BENCHMARKS_JOBS_OWNER_WORLD_H_
