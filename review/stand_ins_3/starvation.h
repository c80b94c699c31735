#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_3_STARVATION_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_3_STARVATION_H_

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "review/stand_ins_3/small_deployment.h"

namespace rhubarbhaven::review {

// A wide job that comes once, beside short jobs that come all the time.
struct WideJob {
  int tasks = 0;
  // `AntiAffinity` of its step.
  int max_per_executor = 0;
  Milliseconds estimate{0};
  // Its tasks last until the job is cancelled.
  bool lasts = false;
  // What a run of one of its tasks does; runs are numbered from 0 here. Called
  // under the executor's lock.
  std::function<auto(int run)->TaskPlan> plan;
};

// Plays a small deployment of six sound executors in which nothing happens but
// the coming of the jobs: no process ends, and no call is late or lost.
//
// Judged as LOST is written: for 3 s, a job has nothing running while a task's
// turn has come, there is capacity for it twice over, and under half of the
// service's capacity is in use. Only times count of which the 4 s before are
// calm, that is, later than 4 s after the wide job was handed in. A job that
// lasts is not judged itself.
class StarvationCase {
 public:
  StarvationCase(std::string program,
                 std::string folder,
                 const std::string& record,
                 WideJob wide);
  // Returns 1 if the rule was broken, 0 if not, and 2 if the case could not
  // run.
  auto Run() -> int;

 private:
  struct JobState {
    int tasks = 0;
    bool judged = true;
    bool accepted = false;
    std::set<std::string> done;
    std::set<std::string> running;
    int starts = 0;
    // Since when its turn has come, nothing runs and there is room.
    TimePoint nothing_since;
    bool reported = false;
  };

  auto PlanOf(const std::string& task) -> TaskPlan;
  auto SubmitShort(SmallDeployment& deployment) -> void;
  auto SubmitWide(SmallDeployment& deployment) -> void;
  // `step` and what follows are JSON.
  auto Submit(SmallDeployment& deployment,
              const std::string& id,
              const std::string& step,
              int tasks) -> void;
  auto OnEvent(const std::string& executor,
               const std::string& event,
               const std::string& task,
               uint64_t run) -> void;
  auto Judge(SmallDeployment& deployment) -> void;
  auto Summarize() -> void;

  Record record_;
  WideJob wide_;
  DeploymentOptions options_;
  std::mutex mutex_;
  std::map<std::string, JobState> jobs_;
  TimePoint calm_from_ = TimePoint::max();
  int calls_ = 0;
  int wide_runs_ = 0;
  int broken_ = 0;
};

}  // namespace rhubarbhaven::review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_3_STARVATION_H_
