#ifndef RHUBARBHAVEN_TESTS_SOAK_CLIENTS_H_
#define RHUBARBHAVEN_TESTS_SOAK_CLIENTS_H_

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "Tests/Soak/checks.h"
#include "Tests/Soak/entry_caller.h"
#include "Tests/Soak/job_plan.h"
#include "Tests/Soak/load_plan.h"
#include "Tests/Soak/soak_options.h"

namespace rhubarbhaven::soak {

// Threads that submit, query and cancel jobs as callers do. They share one
// schedule of actions, so that several threads act on the same job.
class Clients {
 public:
  Clients(const SoakOptions& options,
          std::vector<std::string> addresses,
          Checks* checks);
  Clients(const Clients&) = delete;
  auto operator=(const Clients&) -> Clients& = delete;
  ~Clients();

  // Stops submitting new jobs; scheduled actions are still executed.
  auto StopSubmitting() -> void { submits_jobs_ = false; }
  // Whether every job that is accepted from now on is cancelled soon, except
  // the long-running ones that are never cancelled.
  auto SetCancelsSoon(bool cancels_soon) -> void {
    cancels_soon_ = cancels_soon;
  }

 private:
  enum class ActionKind { kSubmit, kRepeat, kQuery, kCancel };
  struct Action {
    ActionKind action_kind = ActionKind::kSubmit;
    std::string job;
    int entry = 0;
  };

  auto Run() -> void;
  auto Execute(const Action& action, EntryCaller* caller) -> void;
  auto Submit(const Action& action, EntryCaller* caller) -> void;
  auto Cancel(const Action& action, EntryCaller* caller) -> void;
  auto Query(const Action& action, EntryCaller* caller) -> void;
  // Schedules the queries, repeats and cancels of an accepted job.
  auto ScheduleFollowUps(const std::string& job) -> void;
  // From the acceptance of a job to its cancel.
  auto CancelDelay() -> std::chrono::milliseconds;
  auto ScheduleAfter(std::chrono::milliseconds wait, Action action) -> void;
  // Removes the next action that is due and stores it in `action`; returns
  // false if there is none.
  auto Next(Action* action) -> bool;
  // Time between two new jobs.
  auto SubmitInterval(TimePoint now) const -> std::chrono::microseconds;
  auto NewJob() -> Action;
  auto Pick(int64_t low, int64_t high) -> int64_t;
  auto AnyEntry() -> int;

  std::vector<std::string> addresses_;
  LoadPlan plan_;
  Checks* checks_;
  std::chrono::microseconds submit_interval_;
  std::atomic<bool> stop_ = false;
  std::atomic<bool> submits_jobs_ = true;
  std::atomic<bool> cancels_soon_ = false;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::multimap<TimePoint, Action> actions_;
  TimePoint begin_;
  TimePoint next_job_;
  int uncancelled_long_running_ = 0;
  std::vector<std::thread> threads_;
};

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_CLIENTS_H_
