// Tests of how a step finds the workers on which its queue's policy lets it
// run, with a model of the policy's service: it handles one call at a time.

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Jobs/jobs.h"
#include "Tests/Jobs/virtual_time.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kPlacementInterval{20};

struct PolicyOptions {
  milliseconds decide{50};
  milliseconds each{2};
  milliseconds valid{3000};
  // The call with this number, counted from 1, gets no answer; zero for none.
  int lost_call = 0;
};

class TicketCacheTest : public testing::Test {
 protected:
  auto MakeCache(const PolicyOptions& options) -> void {
    options_ = options;
    cache_ = std::make_unique<TicketCache>(
        [this](const AdviceCall& call, const auto& done) -> void {
          Ask(call, done);
        });
  }

  // The workers' ids sort as their numbers, and the last ones are allowed.
  auto AddWorkers(int count, int allowed) -> void {
    for (int i = 0; i < count; ++i) {
      workers_.push_back(absl::StrCat("worker-", next_worker_++));
      if (i >= count - allowed) {
        allowed_.insert(workers_.back());
      }
    }
  }

  static auto Step(int number) -> TaskName {
    TaskName step;
    step.set_job(absl::StrCat("job-", number));
    return step;
  }

  // Tries to place the step, which waits until `enough` workers have tickets.
  auto Place(const TaskName& step, std::size_t enough) -> bool {
    static_cast<void>(cache_->ConsumeUpdate(time_.now()));
    if (cache_->Held(time_.now(), step).size() >= enough) {
      return true;
    }
    cache_->Request(time_.now(), {step, "queue", workers_, 0, {}});
    return false;
  }

  auto RunFor(Duration span) -> void {
    const TimePoint end = time_.now() + span;
    while (time_.Step(end)) {
    }
  }

  // Returns how long it takes until so many workers have tickets.
  auto TimeToPlace(const TaskName& step, std::size_t enough, seconds limit)
      -> Duration {
    const TimePoint begin = time_.now();
    while (!Place(step, enough) && time_.now() - begin < limit) {
      RunFor(kPlacementInterval);
    }
    return time_.now() - begin;
  }

  auto Ask(const AdviceCall& call,
           const std::function<auto(TimePoint, AdviceResult)->void>& done)
      -> void {
    ++calls_;
    EXPECT_LE(call.workers.size(), kMaxAdvisedWorkers);
    EXPECT_FALSE(call.workers.empty());
    const auto work = options_.decide +
                      options_.each * static_cast<int64_t>(call.workers.size());
    free_at_ = std::max(free_at_, time_.now()) + work;
    const bool lost = ++calls_in_all_ == options_.lost_call;
    time_.After(free_at_ - time_.now(), [this, call, done, lost]() -> void {
      AdviceResult result;
      result.answered = !lost;
      result.valid = options_.valid;
      for (const auto& id : call.workers) {
        if (!lost && allowed_.contains(id)) {
          result.tickets.push_back({id, "ticket"});
        }
      }
      done(time_.now(), result);
    });
  }

  VirtualTime time_{1};
  PolicyOptions options_;
  std::unique_ptr<TicketCache> cache_;
  std::vector<std::string> workers_;
  std::set<std::string> allowed_;
  TimePoint free_at_;
  int next_worker_ = 10000;
  int calls_ = 0;
  int calls_in_all_ = 0;
};

struct PagesCase {
  std::string name;
  int workers = 0;
  int allowed = 0;
  int lost_call = 0;
  // Calls that the step may need in all, and the time.
  int calls = 0;
  milliseconds within{0};
};

class TicketPagesTest : public TicketCacheTest,
                        public testing::WithParamInterface<PagesCase> {};

// Guards against accepted jobs that never start: only the first workers of a
// service that is larger than a call were asked about, and the rest never.
TEST_P(TicketPagesTest, AllAllowedWorkersAreFound) {
  MakeCache({.lost_call = GetParam().lost_call});
  AddWorkers(GetParam().workers, GetParam().allowed);
  const auto allowed = static_cast<std::size_t>(GetParam().allowed);
  EXPECT_LE(TimeToPlace(Step(1), allowed, seconds(20)), GetParam().within);
  EXPECT_LE(calls_, GetParam().calls);
  // The next step of the queue is asked about the same workers first.
  calls_ = 0;
  EXPECT_LE(TimeToPlace(Step(2), allowed, seconds(20)), milliseconds(300));
  EXPECT_EQ(calls_, 1);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    TicketPagesTest,
    testing::Values(
        PagesCase{"one_page", 100, 8, 0, 1, milliseconds(300)},
        PagesCase{"one_worker_more", 101, 1, 0, 2, milliseconds(400)},
        PagesCase{"two_pages", 110, 8, 0, 2, milliseconds(400)},
        PagesCase{"lost_first_page", 110, 8, 1, 3, milliseconds(1000)},
        PagesCase{"lost_second_page", 110, 8, 2, 3, milliseconds(1000)},
        // Longer than a ticket is valid.
        PagesCase{"25_pages", 2500, 8, 0, 25, seconds(8)}),
    [](const auto& info) { return info.param.name; });

// Guards against a step that waits although an allowed worker has joined while
// it was asking.
TEST_F(TicketCacheTest, WorkersThatComeAndGoBetweenPagesAreAskedAbout) {
  MakeCache({});
  AddWorkers(150, 0);
  EXPECT_FALSE(Place(Step(1), 1));
  RunFor(milliseconds(260));
  EXPECT_FALSE(Place(Step(1), 1));
  workers_.erase(workers_.begin(), workers_.begin() + 120);
  AddWorkers(1, 1);
  EXPECT_LE(TimeToPlace(Step(1), 1, seconds(5)), milliseconds(1000));
  EXPECT_LE(calls_, 3);
}

// Guards against tickets that run out before the last page is in, so that a
// step which needs them together never starts.
TEST_F(TicketCacheTest, ExpiredTicketsAreRenewedBeforeFurtherPages) {
  MakeCache({});
  AddWorkers(100, 4);
  AddWorkers(2000, 0);
  AddWorkers(100, 4);
  EXPECT_LE(TimeToPlace(Step(1), 8, seconds(20)), seconds(9));
}

// Guards against jobs that wait in a burst: the time of a ticket was counted
// from when its call was queued, and it had passed when the answer came.
TEST_F(TicketCacheTest, TicketsOfABurstAreValidWhenTheyArrive) {
  MakeCache({.decide = milliseconds(110)});
  AddWorkers(30, 4);
  constexpr int kSteps = 40;
  std::set<int> waiting;
  for (int step = 0; step < kSteps; ++step) {
    waiting.insert(step);
  }
  // One call for each step, one after the other.
  constexpr auto kWork = milliseconds(170) * kSteps;
  const TimePoint end = time_.now() + kWork + milliseconds(500);
  while (time_.now() < end && !waiting.empty()) {
    std::erase_if(waiting, [this](int step) { return Place(Step(step), 4); });
    RunFor(kPlacementInterval);
  }
  EXPECT_TRUE(waiting.empty()) << waiting.size();
  EXPECT_EQ(calls_, kSteps);
}

// From when a worker counts the time of a ticket.
enum class ValidFrom { kCall, kHandling, kAnswer };

struct ShortTicketCase {
  std::string name;
  PolicyTimes times;
  int workers = 0;
  int allowed = 0;
  // Steps that wait at the same time.
  int steps = 1;
  ValidFrom valid_from = ValidFrom::kHandling;
  milliseconds within{0};
};

// A policy with the times of its queue's configuration, and workers that check
// tickets.
class ShortTicketTest : public TicketCacheTest,
                        public testing::WithParamInterface<ShortTicketCase> {
 protected:
  static constexpr milliseconds kDelivery{10};

  auto Ask(const AdviceCall& call,
           const std::function<auto(TimePoint, AdviceResult)->void>& done)
      -> void {
    const PolicyTimes& times = GetParam().times;
    EXPECT_LE(call.workers.size(), kMaxAdvisedWorkers);
    const TimePoint begins = std::max(free_at_, time_.now());
    free_at_ = begins + times.call +
               times.worker * static_cast<int64_t>(call.workers.size());
    EXPECT_GT(time_.now() + call.timeout, free_at_);
    const std::map<ValidFrom, TimePoint> from = {
        {ValidFrom::kCall, time_.now()},
        {ValidFrom::kHandling, begins},
        {ValidFrom::kAnswer, free_at_}};
    time_.At(free_at_,
             [this, call, done, times,
              valid_from = from.at(GetParam().valid_from)]() -> void {
               AdviceResult result;
               result.answered = true;
               result.valid = times.valid;
               for (const auto& id : call.workers) {
                 if (allowed_.contains(id)) {
                   const auto ticket = absl::StrCat("ticket-", ++tickets_);
                   valid_until_[ticket] = valid_from + times.valid;
                   result.tickets.push_back({id, ticket});
                 }
               }
               done(time_.now(), result);
             });
  }

  // Orders a start on each worker with a ticket. Returns whether one was
  // carried out.
  auto TryStart(const TaskName& step) -> bool {
    bool started = false;
    for (const auto& [id, ticket] : cache_->Held(time_.now(), step)) {
      if (time_.now() + kDelivery <= valid_until_.at(ticket)) {
        started = true;
      } else {
        cache_->Remove(step, id);
        ++rejected_starts_;
      }
    }
    return started;
  }

  std::map<std::string, TimePoint> valid_until_;
  int tickets_ = 0;
  int rejected_starts_ = 0;
};

// Guards against jobs that never start: a call named all workers, and its
// tickets had expired, by a fixed margin, when it was answered.
TEST_P(ShortTicketTest, StepStarts) {
  cache_ = std::make_unique<TicketCache>(
      [this](const AdviceCall& call, const auto& done) -> void {
        Ask(call, done);
      });
  AddWorkers(GetParam().workers, GetParam().allowed);
  std::set<int> waiting;
  for (int step = 0; step < GetParam().steps; ++step) {
    waiting.insert(step);
  }
  const TimePoint end = time_.now() + GetParam().within;
  while (time_.now() < end && !waiting.empty()) {
    static_cast<void>(cache_->ConsumeUpdate(time_.now()));
    std::erase_if(waiting,
                  [this](int step) -> bool { return TryStart(Step(step)); });
    for (const int step : waiting) {
      cache_->Request(time_.now(), {Step(step), "queue", workers_,
                                    workers_.size(), GetParam().times});
    }
    RunFor(milliseconds(5));
  }
  EXPECT_TRUE(waiting.empty()) << waiting.size();
  EXPECT_LE(rejected_starts_, GetParam().workers);
}

auto Times(int call, int worker, int valid) -> PolicyTimes {
  return {milliseconds(call), milliseconds(worker), milliseconds(valid)};
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ShortTicketTest,
    testing::Values(
        ShortTicketCase{"a_second", Times(50, 50, 1000), 11, 11, 1,
                        ValidFrom::kHandling, milliseconds(1000)},
        ShortTicketCase{"a_second_from_the_call", Times(50, 50, 1000), 11, 11,
                        1, ValidFrom::kCall, milliseconds(1000)},
        ShortTicketCase{"a_second_from_the_answer", Times(50, 50, 1000), 11, 11,
                        1, ValidFrom::kAnswer, milliseconds(1000)},
        ShortTicketCase{"many_workers", Times(50, 50, 1000), 40, 40, 1,
                        ValidFrom::kHandling, milliseconds(1000)},
        ShortTicketCase{"few_of_many_allowed", Times(50, 50, 1000), 40, 4, 1,
                        ValidFrom::kHandling, milliseconds(3500)},
        ShortTicketCase{"slow_by_worker", Times(50, 300, 1000), 11, 11, 1,
                        ValidFrom::kHandling, milliseconds(1000)},
        ShortTicketCase{"slow_by_call", Times(500, 10, 900), 11, 11, 1,
                        ValidFrom::kHandling, milliseconds(1000)},
        ShortTicketCase{"three_steps", Times(50, 50, 1000), 11, 11, 3,
                        ValidFrom::kHandling, milliseconds(2500)},
        ShortTicketCase{"three_steps_from_the_answer", Times(50, 50, 1000), 11,
                        11, 3, ValidFrom::kAnswer, milliseconds(2500)},
        ShortTicketCase{"fifth_of_a_second", Times(20, 20, 200), 11, 11, 1,
                        ValidFrom::kHandling, milliseconds(500)},
        // Expired when they arrive, unless their time begins with the answer.
        ShortTicketCase{"shorter_than_a_call", Times(50, 300, 300), 11, 11, 1,
                        ValidFrom::kAnswer, milliseconds(1000)},
        // No answer within the usual timeout of a call, if it named all.
        ShortTicketCase{"long_but_slow", Times(50, 300, 60000), 40, 40, 1,
                        ValidFrom::kHandling, milliseconds(2500)}),
    [](const auto& info) { return info.param.name; });

// Guards against tickets that expire unused, since the workers that a call
// names have no room.
TEST_F(TicketCacheTest, WorkersWithRoomAreNamedFirst) {
  AdviceCall asked;
  TicketCache cache(
      [&asked](const AdviceCall& call, const auto&) -> void { asked = call; });
  cache.Request(time_.now(), {Step(1),
                              "queue",
                              {"room-1", "room-2", "full-1", "full-2"},
                              2,
                              Times(50, 100, 1000)});
  EXPECT_EQ(asked.workers.size(), 4U);
  EXPECT_EQ(asked.workers[0], "room-1");
  EXPECT_EQ(asked.workers[1], "room-2");
}

}  // namespace
}  // namespace rhubarbhaven::jobs
