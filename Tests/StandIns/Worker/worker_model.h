#ifndef RHUBARBHAVEN_TESTS_STANDINS_WORKER_WORKER_MODEL_H_
#define RHUBARBHAVEN_TESTS_STANDINS_WORKER_WORKER_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven {

struct WorkerModelOptions {
  uint64_t incarnation = 1;
  schema::Resources capacity;
  std::chrono::milliseconds run{3000};
  std::chrono::milliseconds usage_lag{1000};
  // Called at each start, stop (also by an expired lease), finish and failure,
  // with the time at which it happened.
  std::function<auto(const std::string& event,
                     const std::string& name,
                     uint32_t attempt,
                     TimePoint at)
                    ->void>
      on_event;
};

// Model of the platform's worker, which runs tasks under leases on its own
// clock. It does no I/O and does not read the system clock; the stand-in
// program and the explorer of event orders share it.
//
// Commands: "run MS", "run MS use MILLICORES", "fail"; anything else runs for
// the default time. A throttled task runs at half speed. A checkpoint is
// "done=MS".
class WorkerModel {
 public:
  explicit WorkerModel(WorkerModelOptions options);

  // Finishes each task or expires its lease, whichever is due first by `now`.
  auto Advance(TimePoint now) -> void;
  auto Start(TimePoint now, const schema::WorkerStart& start)
      -> schema::WorkerReply;
  auto Renew(TimePoint now, const schema::WorkerRenew& renew)
      -> schema::WorkerReply;
  // `verb`: checkpoint, throttle, unthrottle, stop or forget.
  auto Command(TimePoint now,
               const std::string& verb,
               const schema::WorkerCommand& command) -> schema::WorkerReply;
  auto Status(TimePoint now) -> schema::WorkerStatus;

  // Makes every task fail as soon as it starts.
  auto set_fail_all(bool fail) -> void { fail_all_ = fail; }
  auto set_service_p99_us(uint32_t p99) -> void { service_p99_us_ = p99; }
  // Sum of the resources that the running tasks need.
  auto running_need() const -> schema::Resources;
  auto IsRunning(const std::string& name) const -> bool;

 private:
  struct Task {
    schema::WorkerTask reported;
    schema::Resources need;
    schema::Resources used;
    std::chrono::milliseconds work{0};
    std::chrono::milliseconds done{0};
    bool fails = false;
    TimePoint updated;
    TimePoint lease_end;

    auto running() const -> bool;
    auto finish_at() const -> TimePoint;
  };
  struct Sample {
    TimePoint at;
    schema::WorkerStatus status;
  };

  auto UpdateProgress(Task* task, TimePoint now) -> void;
  auto End(Task* task,
           schema::WorkerTaskState state,
           const std::string& event,
           TimePoint at) -> void;
  auto Clock(TimePoint now) const -> uint64_t;
  auto Expired(TimePoint now, uint64_t incarnation, uint64_t not_after_ms) const
      -> bool;
  auto TakeSample(TimePoint now) -> void;

  WorkerModelOptions options_;
  std::map<std::string, Task> tasks_;
  std::deque<Sample> samples_;
  bool fail_all_ = false;
  uint32_t service_p99_us_ = 0;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TESTS_STANDINS_WORKER_WORKER_MODEL_H_
