#ifndef RHUBARBHAVEN_TESTS_SOAK_CHECKS_H_
#define RHUBARBHAVEN_TESTS_SOAK_CHECKS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Jobs/jobs.h"
#include "Tests/Soak/fault_injector.h"
#include "Tests/Soak/job_plan.h"
#include "Tests/StandIns/Platform/platform_stand_in.h"

namespace rhubarbhaven::soak {

enum class Promise {
  // A task is in one place, and is not run again after a noted end.
  kOnce,
  // Nothing of a cancelled job starts.
  kCancelled,
  // An accepted job is known.
  kKnown,
  // What lasts runs while there is room.
  kLasts,
  // What is short gets to its end.
  kCompletes,
  // A job that was refused never runs.
  kRefused,
  // A daemon ends only when it is told to.
  kAlive,
};

struct Broken {
  Promise promise = Promise::kOnce;
  Duration at{0};
  std::string job;
  std::string what;
};

// What callers were told and what workers did, against the promises. For all
// threads.
class Checks {
 public:
  Checks(TimePoint start, const Calm* calm);

  auto HandedIn(const std::string& job) -> void;
  // The status of an answer is zero if none came.
  auto HandInAnswered(const std::string& job, unsigned status) -> void;
  auto CancelSent(const std::string& job) -> void;
  auto CancelAnswered(const std::string& job, int entry, unsigned status)
      -> void;
  // Of a question that was sent at `asked`.
  auto StateAnswered(const std::string& job,
                     int entry,
                     TimePoint asked,
                     unsigned status,
                     const std::string& body) -> void;
  auto Started(const std::string& worker,
               const jobs::TaskName& task,
               uint64_t run) -> void;
  auto TwiceSeen(const std::string& problem) -> void;
  auto DaemonEnded(const std::string& name) -> void;
  // Looks at what should run by now.
  auto LookAtLasting(test::PlatformStandIn* platform) -> void;
  // Once nothing is handed in any more and the bounds have passed.
  auto ExpectOver(const std::string& job) -> void;
  auto ExpectKnown(const std::string& job, int entry, bool known) -> void;

  auto AcceptedJobs() const -> std::vector<std::string>;
  // Accepted jobs that end by themselves and are not seen at their end yet.
  auto OpenJobs() const -> std::vector<std::string>;
  auto broken() const -> std::vector<Broken>;
  // How often the promise was looked at.
  auto looks(Promise promise) const -> uint64_t;
  auto Summary() const -> std::string;

 private:
  struct JobView {
    int unanswered = 0;
    int refusals = 0;
    bool accepted_or_unknown = false;
    std::optional<TimePoint> accepted;
    bool cancel_sent = false;
    std::optional<TimePoint> cancelled;
    std::string cancel_answer;
    std::string state;
    int starts = 0;
  };

  auto Break(Promise promise, const std::string& job, std::string what) -> void;
  auto Since(TimePoint when) const -> Duration { return when - start_; }
  auto WhenSent(const JobView& job) const -> std::string;
  // Names of tasks that should run.
  auto LastingTasks(TimePoint now) -> std::vector<std::string>;

  TimePoint start_;
  const Calm* calm_;
  mutable std::mutex mutex_;
  std::map<std::string, JobView> jobs_;
  std::map<std::string, TimePoint> absent_since_;
  TimePoint room_since_;
  std::vector<Broken> broken_;
  std::map<Promise, uint64_t> looks_;
};

auto PromiseName(Promise promise) -> std::string;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_CHECKS_H_
