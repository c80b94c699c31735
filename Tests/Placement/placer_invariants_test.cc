// Randomized tests: a seeded driver applies thousands of events in random order
// and checks every decision against an independent account of held resources.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "Tests/Placement/placement_builders.h"

namespace rhubarbhaven::testing {
namespace {

constexpr int kSteps = 4000;
constexpr int kWorkers = 12;

auto Memory(const schema::Resources& amount) -> int64_t {
  return static_cast<int64_t>(amount.memory_mb());
}

// Per-dimension sums that cannot overflow.
struct Sum {
  int64_t millicores = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  auto Add(const schema::Resources& amount) -> void {
    millicores += amount.millicores();
    memory_mb += Memory(amount);
    accelerators += amount.accelerators();
  }
  auto Within(const WorkerState& worker) const -> bool {
    const schema::Resources& all = worker.capacity;
    const schema::Resources& reserved = worker.reserved;
    return millicores <= int64_t{all.millicores()} - reserved.millicores() &&
           memory_mb <= Memory(all) - Memory(reserved) &&
           accelerators <=
               int64_t{all.accelerators()} - reserved.accelerators();
  }
};

class Driver {
 public:
  explicit Driver(uint32_t seed) : random_(seed) {
    MakePlacer();
    for (int worker = 0; worker < kWorkers; ++worker) {
      SetWorker(worker);
    }
  }

  auto Step() -> void {
    now_ += std::chrono::seconds(Pick(20));
    switch (Pick(12)) {
      case 0:
        return SetWorker(Pick(kWorkers));
      case 1:
        return RemoveWorker();
      case 2:
        Confirm();
        return Cancel();
      case 3:
        return ReportUsage();
      case 4:
      case 5:
        return Finish();
      case 6:
        return Pick(40) == 0 ? Restart() : Stop();
      case 7:
      case 8:
      case 9:
        return Submit();
      default:
        return Decide();
    }
  }

  auto CheckCounts() -> void {
    ASSERT_EQ(placer_->pending(), waiting_.size());
    ASSERT_EQ(placer_->placed(), placed_.size());
    for (const auto& [name, worker] : workers_) {
      const Sum held = HeldOn(name);
      const std::optional<schema::Resources> free = placer_->free(name);
      ASSERT_TRUE(free.has_value());
      const int64_t usable =
          std::max<int64_t>(0, int64_t{worker.capacity.millicores()} -
                                   worker.reserved.millicores());
      ASSERT_EQ(free->millicores(),
                std::max<int64_t>(0, usable - held.millicores));
    }
  }

 private:
  auto Pick(int count) -> int {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }

  auto MakePlacer() -> void {
    placer_ = std::make_unique<Placer>(PlacerOptions{});
    schema::PartnerRules rules;
    *rules.add_preemption() = Preempts(schema::URGENT, schema::BEST_EFFORT);
    *rules.add_preemption() = Preempts(schema::URGENT, schema::NORMAL, "t0");
    placer_->SetRules("coop", rules);
    schema::Team team;
    team.set_name("t0");
    *team.mutable_quota() = Need(30, 0);
    placer_->SetTeam("coop", team);
  }

  auto SetWorker(int number) -> void {
    const std::string name = "w" + std::to_string(number);
    WorkerState worker = Worker(name, "r" + std::to_string(number / 3),
                                Need(8 + static_cast<uint32_t>(Pick(3)) * 8, 60,
                                     static_cast<uint32_t>(Pick(3))));
    worker.reserved = Need(static_cast<uint32_t>(Pick(10)), 4);
    worker.accepting = Pick(5) != 0;
    if (Pick(2) == 0) {
      worker.open_to = {"cantabria"};
    }
    workers_[name] = worker;
    placer_->SetWorker(worker);
  }

  auto RemoveWorker() -> void {
    if (workers_.size() > 4) {
      const std::string name = std::next(workers_.begin(), Pick(4))->first;
      placer_->RemoveWorker(name);
      workers_.erase(name);
    }
  }

  auto Submit() -> void {
    const int job = Pick(30);
    const bool guest = job % 5 == 0;
    PendingTask task =
        Waiting("j" + std::to_string(job), static_cast<uint32_t>(Pick(12)));
    task.task.set_partner(guest ? "cantabria" : "coop");
    task.need = Need(static_cast<uint32_t>(Pick(12)),
                     static_cast<uint64_t>(Pick(40)), Pick(8) == 0 ? 1 : 0);
    task.team = "t" + std::to_string(job % 3);
    task.urgency = static_cast<schema::Urgency>(job % 3);
    task.max_per_rack = job % 4 == 0 ? 2 : 0;
    task.waiting_since = now_;
    const std::string name = TaskName(task.task);
    if (!placed_.contains(name)) {
      waiting_[name] = task;
    }
    placer_->AddPending(task);
  }

  auto Cancel() -> void {
    if (waiting_.empty()) {
      return;
    }
    const schema::TaskId task = waiting_.begin()->second.task;
    placer_->RemoveJob(task.partner(), task.job());
    std::erase_if(waiting_, [&](const auto& entry) -> bool {
      const schema::TaskId& other = entry.second.task;
      return other.partner() == task.partner() && other.job() == task.job();
    });
  }

  auto PickPlaced() -> PlacedTask* {
    return placed_.empty() ? nullptr
                           : &std::next(placed_.begin(),
                                        Pick(static_cast<int>(placed_.size())))
                                  ->second;
  }

  // Reports usage of up to ten times the declared need.
  auto ReportUsage() -> void {
    PlacedTask* task = PickPlaced();
    if (task == nullptr) {
      return;
    }
    const auto factor = static_cast<uint32_t>(1 + Pick(10));
    schema::Resources seen = task->spec.need;
    seen.set_millicores(seen.millicores() * factor);
    seen.set_memory_mb(seen.memory_mb() * factor / 2);
    placer_->RaiseHeld(task->spec.task, seen);
    schema::Resources& held = task->held;
    held.set_millicores(std::max(held.millicores(), seen.millicores()));
    held.set_memory_mb(std::max(held.memory_mb(), seen.memory_mb()));
  }

  // Confirms the placements decided so far.
  auto Confirm() -> void {
    for (const std::string& name : unconfirmed_) {
      placer_->AddPlaced(placed_.at(name));
    }
    unconfirmed_.clear();
  }

  auto Finish() -> void {
    PlacedTask* task = PickPlaced();
    if (task != nullptr) {
      const schema::TaskId id = task->spec.task;
      placer_->RemovePlaced(id);
      placed_.erase(TaskName(id));
      unconfirmed_.erase(TaskName(id));
    }
  }

  auto Stop() -> void {
    PlacedTask* task = PickPlaced();
    if (task != nullptr) {
      task->stopping = true;
      placer_->SetStopping(task->spec.task);
    }
  }

  // Simulates a takeover by another process, which rebuilds the placer from the
  // records.
  auto Restart() -> void {
    MakePlacer();
    unconfirmed_.clear();
    for (const auto& [name, task] : placed_) {
      placer_->AddPlaced(task);
    }
    for (const auto& [name, worker] : workers_) {
      placer_->SetWorker(worker);
    }
    for (const auto& [name, task] : waiting_) {
      placer_->AddPending(task);
    }
  }

  auto Decide() -> void {
    const PlacerRound round = placer_->Decide(now_, 8);
    for (const EvictDecision& eviction : round.evictions) {
      const auto task = placed_.find(TaskName(eviction.task));
      ASSERT_NE(task, placed_.end());
      ASSERT_FALSE(task->second.stopping);
      ASSERT_FALSE(unconfirmed_.contains(task->first));
      task->second.stopping = true;
    }
    for (const PlaceDecision& decision : round.placements) {
      CheckPlacement(decision);
    }
  }

  auto CheckPlacement(const PlaceDecision& decision) -> void {
    const std::string name = TaskName(decision.task);
    const auto task = waiting_.find(name);
    ASSERT_NE(task, waiting_.end()) << name;
    ASSERT_FALSE(placed_.contains(name));
    ASSERT_TRUE(workers_.contains(decision.instance));
    const WorkerState& worker = workers_.at(decision.instance);
    ASSERT_TRUE(worker.accepting);
    const std::string& partner = task->second.task.partner();
    ASSERT_TRUE(partner == worker.partner ||
                std::ranges::count(worker.open_to, partner) == 1);
    placed_[name] = Placed(task->second, decision.instance);
    waiting_.erase(task);
    unconfirmed_.insert(name);
    ASSERT_TRUE(HeldOn(decision.instance).Within(worker)) << name;
    CheckQuota();
  }

  auto CheckQuota() -> void {
    Sum team;
    for (const auto& [name, task] : placed_) {
      if (task.spec.team == "t0" && task.spec.task.partner() == "coop") {
        team.Add(task.held);
      }
    }
    // Only tasks that grew after their placement may exceed the team's quota.
    if (placed_.size() == PlacedAtNeed()) {
      ASSERT_LE(team.millicores, 30000);
    }
  }

  auto PlacedAtNeed() const -> std::size_t {
    return static_cast<std::size_t>(
        std::ranges::count_if(placed_, [](const auto& entry) -> bool {
          return entry.second.held.millicores() ==
                 entry.second.spec.need.millicores();
        }));
  }

  auto HeldOn(const std::string& instance) const -> Sum {
    Sum held;
    for (const auto& [name, task] : placed_) {
      if (task.instance == instance) {
        held.Add(task.held);
      }
    }
    return held;
  }

  std::mt19937 random_;
  TimePoint now_ = At(0);
  std::unique_ptr<Placer> placer_;
  std::map<std::string, WorkerState> workers_;
  std::map<std::string, PendingTask> waiting_;
  std::map<std::string, PlacedTask> placed_;
  std::set<std::string> unconfirmed_;
};

class InvariantsTest : public ::testing::TestWithParam<uint32_t> {};

// Guards against instances that run more than they can hold and tasks that are
// placed twice. Both occur when held amounts are released early, counted twice
// or not counted. The events are submissions, decisions, late growth by up to
// 10x, unconfirmed stops, cancellations, changes of workers and restarts.
TEST_P(InvariantsTest, HoldAfterEveryStep) {
  Driver driver(GetParam());
  for (int step = 0; step < kSteps; ++step) {
    driver.Step();
    driver.CheckCounts();
    if (HasFatalFailure()) {
      FAIL() << "step " << step;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         InvariantsTest,
                         ::testing::Range(uint32_t{1}, uint32_t{9}));

// When all jobs are cancelled at once, the resources of running tasks stay
// held.
TEST(PlacerTest, WaveOfCancellations) {
  Placer placer{PlacerOptions{}};
  placer.SetWorker(Worker("a"));
  for (int job = 0; job < 50; ++job) {
    for (uint32_t index = 0; index < 20; ++index) {
      placer.AddPending(Waiting("j" + std::to_string(job), index));
    }
  }
  EXPECT_EQ(placer.Decide(At(1), 100).placements.size(), 4U);
  for (int job = 0; job < 50; ++job) {
    placer.RemoveJob("coop", "j" + std::to_string(job));
  }
  EXPECT_EQ(placer.pending(), 0U);
  EXPECT_EQ(placer.placed(), 4U);
  EXPECT_EQ(placer.free("a")->millicores(), 0U);
  EXPECT_TRUE(placer.Decide(At(2), 100).placements.empty());
}

// A large task that has waited long must start even in a busy cell. Small tasks
// end one by one, and other small tasks could take each freed part. Without a
// claim, enough resources for the large task would never be free together.
TEST(PlacerTest, LargeTaskGetsRoomInABusyCell) {
  Placer placer{PlacerOptions{}};
  placer.SetWorker(Worker("a"));
  for (uint32_t index = 0; index < 4; ++index) {
    placer.AddPlaced(Placed(Waiting("small", index), "a"));
  }
  placer.AddPending(Waiting("large", 0, Need(16, 8)));
  bool placed = false;
  for (uint32_t round = 0; round < 4; ++round) {
    PendingTask fresh = Waiting("fresh", round);
    fresh.waiting_since = At(700 + round);
    placer.AddPending(fresh);
    placer.RemovePlaced(Task("small", round));
    const PlacerRound decided = placer.Decide(At(700 + round), 1);
    placed = placed || (!decided.placements.empty() &&
                        decided.placements[0].task.job() == "large");
  }
  EXPECT_TRUE(placed);
}

}  // namespace
}  // namespace rhubarbhaven::testing
