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
#include "Tests/Soak/soak_options.h"

namespace rhubarbhaven::soak {

// Callers on threads of their own, who hand in, ask for and cancel jobs. They
// share one list of what is to be done when, so that several of them act on
// one job.
class Clients {
 public:
  Clients(const SoakOptions& options,
          std::vector<std::string> addresses,
          Checks* checks);
  Clients(const Clients&) = delete;
  auto operator=(const Clients&) -> Clients& = delete;
  ~Clients();

  // No more jobs from now on; what is under way goes on.
  auto StopHandingIn() -> void { hands_in_ = false; }

 private:
  enum class Act { kHandIn, kRepeat, kAsk, kCancel };
  struct Deed {
    Act act = Act::kHandIn;
    std::string job;
    int entry = 0;
  };

  auto Run() -> void;
  auto Do(const Deed& deed, EntryCaller* caller) -> void;
  auto HandIn(const Deed& deed, EntryCaller* caller) -> void;
  auto Cancel(const Deed& deed, EntryCaller* caller) -> void;
  auto Ask(const Deed& deed, EntryCaller* caller) -> void;
  // What follows on the acceptance of a job.
  auto PlanAfter(const std::string& job) -> void;
  auto Later(std::chrono::milliseconds wait, Deed deed) -> void;
  // Takes the next deed that is due; false for none.
  auto Next(Deed* deed) -> bool;
  auto NewJob() -> Deed;
  auto Pick(int64_t low, int64_t high) -> int64_t;
  auto AnyEntry() -> int;

  std::vector<std::string> addresses_;
  Checks* checks_;
  std::chrono::microseconds between_jobs_;
  std::atomic<bool> stop_ = false;
  std::atomic<bool> hands_in_ = true;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::multimap<TimePoint, Deed> deeds_;
  TimePoint next_job_;
  int kept_lasting_ = 0;
  int most_kept_lasting_;
  std::vector<std::thread> threads_;
};

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_CLIENTS_H_
