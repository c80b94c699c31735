#ifndef RHUBARBHAVEN_TESTS_SOAK_CHECKS_H_
#define RHUBARBHAVEN_TESTS_SOAK_CHECKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Jobs/jobs.h"
#include "Tests/Soak/fault_free_periods.h"
#include "Tests/Soak/job_plan.h"
#include "Tests/StandIns/Platform/platform_stand_in.h"

namespace rhubarbhaven::soak {

enum class Guarantee {
  // A task runs in one place at a time, and not again after its end is
  // recorded.
  kRunsOnce,
  // No task of a cancelled job starts.
  kCancelled,
  // Every entry knows an accepted job.
  kKnown,
  // A long-running task runs whenever there is capacity for it.
  kRunsContinuously,
  // A job that ends by itself reaches its final state.
  kCompletes,
  // A job that was rejected never runs.
  kRejectedNeverRuns,
  // A daemon exits only on request.
  kStaysUp,
};

struct Violation {
  Guarantee guarantee = Guarantee::kRunsOnce;
  Duration at{0};
  std::string job;
  std::string description;
};

// Checks the answers that callers received and the actions of workers against
// the guarantees. Thread-safe.
class Checks {
 public:
  using TimeSource = std::function<auto()->TimePoint>;

  Checks(TimePoint start,
         const FaultFreePeriods* fault_free,
         TimeSource now = Clock::now);

  auto SubmitSent(const std::string& job) -> void;
  // `status` is the HTTP status of the answer, zero if there was none.
  auto SubmitAnswered(const std::string& job, unsigned status) -> void;
  auto CancelSent(const std::string& job) -> void;
  auto CancelAnswered(const std::string& job, int entry, unsigned status)
      -> void;
  // Answer to a query that was sent at `sent_at`.
  auto StateAnswered(const std::string& job,
                     int entry,
                     TimePoint sent_at,
                     unsigned status,
                     const std::string& body) -> void;
  auto Started(const std::string& worker,
               const jobs::TaskName& task,
               uint64_t run) -> void;
  auto DuplicateRunSeen(const std::string& problem) -> void;
  auto DaemonEnded(const std::string& name) -> void;
  // Checks that the tasks which should be running do run while a worker has
  // room that is not one of `unreachable`.
  auto CheckLongRunning(test::PlatformStandIn* platform,
                        const std::set<int>& unreachable) -> void;
  // To be called when no more jobs are submitted and the bounds have passed.
  auto ExpectOver(const std::string& job) -> void;
  auto ExpectKnown(const std::string& job, int entry, bool known) -> void;

  auto AcceptedJobs() const -> std::vector<std::string>;
  // Accepted jobs that end by themselves and whose end has not been observed
  // yet.
  auto OpenJobs() const -> std::vector<std::string>;
  auto violations() const -> std::vector<Violation>;
  // Number of times the guarantee was checked.
  auto check_count(Guarantee guarantee) const -> uint64_t;
  auto Summary() const -> std::string;

 private:
  struct JobView {
    int unanswered = 0;
    int rejections = 0;
    bool accepted_or_unknown = false;
    std::optional<TimePoint> accepted;
    bool cancel_sent = false;
    std::optional<TimePoint> cancelled;
    std::string cancel_answer;
    std::string state;
    int starts = 0;
  };

  auto AddViolation(Guarantee guarantee,
                    const std::string& job,
                    std::string description) -> void;
  auto ElapsedAt(TimePoint when) const -> Duration { return when - start_; }
  auto DescribeCancel(const JobView& job) const -> std::string;
  // Names of the long-running tasks that should be running.
  auto LongRunningTasks(TimePoint now) -> std::vector<std::string>;

  TimePoint start_;
  const FaultFreePeriods* fault_free_;
  TimeSource now_;
  mutable std::mutex mutex_;
  std::map<std::string, JobView> jobs_;
  std::map<std::string, TimePoint> not_running_since_;
  TimePoint room_since_;
  std::vector<Violation> violations_;
  std::map<Guarantee, uint64_t> check_counts_;
};

auto GuaranteeName(Guarantee guarantee) -> std::string;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_CHECKS_H_
