#include "Jobs/overload_order.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using testing::ElementsAre;

constexpr CoreSeconds kNoWorkBefore{0};

auto Waiting(double core_seconds,
             milliseconds due,
             JobOutlook outlook = JobOutlook::kInTime) -> OverloadJob {
  return {{CoreSeconds(core_seconds), CoreSeconds(0)},
          milliseconds(0),
          due,
          outlook};
}

// Largest number of jobs that one machine can complete in time, by trying all
// subsets; each in the order of due times, which is best for a given subset.
auto MostInTime(const std::vector<OverloadJob>& jobs, double cores)
    -> std::size_t {
  std::size_t best = 0;
  for (uint32_t subset = 0; subset < (1U << jobs.size()); ++subset) {
    std::vector<OverloadJob> chosen;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      if ((subset >> i) & 1U) {
        chosen.push_back(jobs[i]);
      }
    }
    std::sort(chosen.begin(), chosen.end(),
              [](const OverloadJob& left, const OverloadJob& right) -> bool {
                return left.due < right.due;
              });
    CoreSeconds work{0};
    const bool in_time = std::all_of(
        chosen.begin(), chosen.end(), [&](const OverloadJob& job) -> bool {
          work += job.work_left.total();
          return work / cores <= CoreSeconds(job.due);
        });
    if (in_time) {
      best = std::max(best, chosen.size());
    }
  }
  return best;
}

// Guards against a burst in which every job is a little late although most
// could be in time. Load: 3 to 8 jobs of 1 to 20 core-seconds on 4 processors,
// due within 4 s.
TEST(OverloadOrderTest, AsManyJobsAreInTimeAsPossible) {
  constexpr double kCores = 4;
  std::mt19937 random(1);
  std::uniform_int_distribution<int> count(3, 8);
  std::uniform_real_distribution<double> work(1, 20);
  std::uniform_int_distribution<int> due(0, 4000);
  for (int round = 0; round < 500; ++round) {
    std::vector<OverloadJob> jobs;
    for (int job = count(random); job > 0; --job) {
      jobs.push_back(Waiting(work(random), milliseconds(due(random))));
    }
    const auto classes =
        ClassifyJobs(jobs, kCores, kNoWorkBefore, milliseconds(0));
    const auto in_time = static_cast<std::size_t>(
        std::count(classes.begin(), classes.end(), OverloadClass::kInTime));
    EXPECT_EQ(in_time, MostInTime(jobs, kCores)) << "round " << round;
  }
}

struct ClassCase {
  std::string name;
  std::vector<OverloadJob> jobs;
  double cores = 1;
  CoreSeconds work_before{0};
  std::vector<OverloadClass> classes;
};

class OverloadClassTest : public testing::TestWithParam<ClassCase> {};

TEST_P(OverloadClassTest, Classifies) {
  const auto& param = GetParam();
  EXPECT_THAT(
      ClassifyJobs(param.jobs, param.cores, param.work_before, milliseconds(0)),
      testing::ElementsAreArray(param.classes));
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    OverloadClassTest,
    testing::Values(
        // Without overload, the order is the one by outlook.
        ClassCase{
            "room_for_all",
            {Waiting(1, milliseconds(1000)), Waiting(1, milliseconds(2000))},
            1,
            CoreSeconds(0),
            {OverloadClass::kInTime, OverloadClass::kInTime}},
        ClassCase{
            "largest_job_is_displaced",
            {Waiting(1, milliseconds(1000)), Waiting(5, milliseconds(5000)),
             Waiting(1, milliseconds(5100)), Waiting(1, milliseconds(5200))},
            1,
            CoreSeconds(0),
            {OverloadClass::kInTime, OverloadClass::kLate,
             OverloadClass::kInTime, OverloadClass::kInTime}},
        // A job that is at work has little left to displace.
        ClassCase{"job_at_work_is_kept",
                  {{{CoreSeconds(0.5), CoreSeconds(3)},
                    milliseconds(0),
                    milliseconds(5000)},
                   Waiting(2, milliseconds(5000))},
                  1,
                  CoreSeconds(0),
                  {OverloadClass::kInTime, OverloadClass::kLate}},
        // Guards against a late job that waits with its last task behind all
        // new jobs.
        ClassCase{"late_job_with_little_left_is_finished_first",
                  {Waiting(0.5, milliseconds(-100), JobOutlook::kLate),
                   Waiting(4, milliseconds(-100), JobOutlook::kLate),
                   Waiting(1, milliseconds(2000))},
                  1,
                  CoreSeconds(0),
                  {OverloadClass::kFinishFirst, OverloadClass::kLate,
                   OverloadClass::kInTime}},
        ClassCase{"late_job_makes_no_other_late",
                  {Waiting(1.1, milliseconds(-100), JobOutlook::kLate),
                   Waiting(1, milliseconds(2000))},
                  1,
                  CoreSeconds(0),
                  {OverloadClass::kLate, OverloadClass::kInTime}},
        ClassCase{
            "work_of_higher_priorities_comes_first",
            {Waiting(1, milliseconds(1500)), Waiting(1, milliseconds(2500))},
            1,
            CoreSeconds(1),
            {OverloadClass::kLate, OverloadClass::kInTime}},
        ClassCase{"too_late_stays_last",
                  {Waiting(0.1, milliseconds(-9000), JobOutlook::kTooLate),
                   Waiting(1, milliseconds(2000))},
                  1,
                  CoreSeconds(0),
                  {OverloadClass::kTooLate, OverloadClass::kInTime}},
        // No worker accepts tasks, as at the start of a takeover.
        ClassCase{"unknown_rate",
                  {Waiting(9, milliseconds(1000)),
                   Waiting(1, milliseconds(-1), JobOutlook::kLate)},
                  0,
                  CoreSeconds(0),
                  {OverloadClass::kInTime, OverloadClass::kLate}}),
    [](const auto& param) { return param.param.name; });

// One job of a load: `tasks` runs of a second on one processor each.
struct LoadedJob {
  milliseconds arrival{0};
  milliseconds due{0};
  int tasks = 0;
  int started = 0;
  milliseconds completed{0};
};

// Serves the jobs on a number of processors, one task on each, in an order that
// is chosen anew every 100 ms. Returns how many are completed in time.
class LoadedCell {
 public:
  LoadedCell(std::vector<LoadedJob> jobs, int cores, bool by_class)
      : jobs_(std::move(jobs)),
        free_at_(static_cast<std::size_t>(cores)),
        by_class_(by_class) {}

  auto CountInTime() -> int {
    constexpr milliseconds kRound{100};
    constexpr milliseconds kEnd{60000};
    for (now_ = milliseconds(0); now_ < kEnd; now_ += kRound) {
      StartTasks(Order());
    }
    return static_cast<int>(std::count_if(
        jobs_.begin(), jobs_.end(),
        [](const LoadedJob& job) -> bool { return job.completed <= job.due; }));
  }

 private:
  static constexpr milliseconds kRunTime{1000};

  auto Order() -> std::vector<LoadedJob*> {
    std::vector<LoadedJob*> waiting;
    std::vector<OverloadJob> described;
    for (auto& job : jobs_) {
      if (job.arrival <= now_ && job.started < job.tasks) {
        waiting.push_back(&job);
        described.push_back(Describe(job));
      }
    }
    CoreSeconds running{0};
    for (const auto at : free_at_) {
      running += std::max(CoreSeconds(0), CoreSeconds(at - now_));
    }
    auto classes = ClassifyJobs(described, static_cast<double>(free_at_.size()),
                                running, now_);
    using Ranked = std::tuple<OverloadClass, milliseconds, LoadedJob*>;
    std::vector<Ranked> ranked;
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      ranked.emplace_back(
          by_class_ ? classes[i] : ClassOf(described[i].outlook),
          waiting[i]->due, waiting[i]);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<LoadedJob*> order;
    order.reserve(ranked.size());
    for (const auto& [job_class, due, job] : ranked) {
      order.push_back(job);
    }
    return order;
  }

  auto Describe(const LoadedJob& job) const -> OverloadJob {
    OverloadJob described = Waiting(job.tasks - job.started, job.due);
    described.chain_left = kRunTime;
    if (now_ + kRunTime > job.due) {
      described.outlook = JobOutlook::kLate;
    }
    return described;
  }

  auto StartTasks(const std::vector<LoadedJob*>& order) -> void {
    auto next = order.begin();
    for (auto& at : free_at_) {
      while (next != order.end() && (*next)->started == (*next)->tasks) {
        ++next;
      }
      if (at <= now_ && next != order.end()) {
        at = now_ + kRunTime;
        ++(*next)->started;
        (*next)->completed = at;
      }
    }
  }

  std::vector<LoadedJob> jobs_;
  // When each processor is free.
  std::vector<milliseconds> free_at_;
  bool by_class_;
  milliseconds now_{0};
};

struct LoadCase {
  std::string name;
  // Arrivals relative to what 20 processors can serve, during the burst and
  // otherwise.
  double burst = 1;
  double usual = 0.7;
  milliseconds burst_time{0};
  // Whether more jobs must be in time than in the order by outlook alone.
  bool must_gain = false;
};

class OverloadLoadTest : public testing::TestWithParam<LoadCase> {};

// Guards against fewer jobs in time than in the order by due time alone.
TEST_P(OverloadLoadTest, MoreJobsAreInTime) {
  constexpr int kCores = 20;
  constexpr double kMeanTasks = 10;
  const auto& param = GetParam();
  int by_outlook = 0;
  int by_class = 0;
  for (unsigned seed = 1; seed <= 5; ++seed) {
    std::mt19937 random(seed);
    std::uniform_int_distribution<int> tasks(2, 18);
    std::vector<LoadedJob> jobs;
    double at_s = 0;
    while (at_s < 20) {
      const bool bursts =
          at_s >= 5 && milliseconds(std::lround(at_s * 1000)) <
                           milliseconds(5000) + param.burst_time;
      const double load = bursts ? param.burst : param.usual;
      at_s += std::exponential_distribution<double>(load * kCores /
                                                    kMeanTasks)(random);
      const milliseconds arrival(std::lround(at_s * 1000));
      jobs.push_back({arrival, arrival + milliseconds(3000), tasks(random)});
    }
    by_outlook += LoadedCell(jobs, kCores, /*by_class=*/false).CountInTime();
    by_class += LoadedCell(jobs, kCores, /*by_class=*/true).CountInTime();
  }
  RecordProperty("by_outlook", by_outlook);
  RecordProperty("by_class", by_class);
  EXPECT_GE(by_class, by_outlook);
  if (param.must_gain) {
    EXPECT_GT(by_class, by_outlook);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    OverloadLoadTest,
    testing::Values(
        LoadCase{"usual", 1, 0.7, milliseconds(0), false},
        LoadCase{"burst_of_large_batches", 2.6, 0.7, milliseconds(4000), true},
        LoadCase{"burst_of_all_kinds", 1.7, 0.7, milliseconds(3000), true}),
    [](const auto& param) { return param.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs
