// Table tests of single rounds. Each row gives the state of the cell, the
// waiting tasks and the expected decisions.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "Tests/Placement/placement_builders.h"

namespace rhubarbhaven::testing {
namespace {

using ::testing::ElementsAreArray;
using ::testing::HasSubstr;

struct RulesCase {
  std::string name = {};
  std::vector<WorkerState> workers = {};
  std::vector<PendingTask> waiting = {};
  std::vector<PlacedTask> placed = {};
  std::vector<schema::PreemptionRule> rules = {};
  // Quota of the team "ageing" of the partner "coop".
  schema::Resources quota = {};
  int64_t now = 1;
  // "job#index>instance" in order, and "job#index" of the evicted tasks.
  std::vector<std::string> placements = {};
  std::vector<std::string> evictions = {};
  // Substring of the explanation of the first waiting task after the round.
  std::string explained = {};
  bool can_never_run = false;
};

auto ShortName(const schema::TaskId& task) -> std::string {
  return task.job() + "#" + std::to_string(task.index());
}

class RulesTest : public ::testing::TestWithParam<RulesCase> {};

TEST_P(RulesTest, Decides) {
  const RulesCase& row = GetParam();
  Placer placer{PlacerOptions{}};
  schema::PartnerRules rules;
  for (const schema::PreemptionRule& rule : row.rules) {
    *rules.add_preemption() = rule;
  }
  placer.SetRules("coop", rules);
  placer.SetRules("cantabria", rules);
  schema::Team team;
  team.set_name("ageing");
  *team.mutable_quota() = row.quota;
  placer.SetTeam("coop", team);
  for (const WorkerState& worker : row.workers) {
    placer.SetWorker(worker);
  }
  for (const PlacedTask& task : row.placed) {
    placer.AddPlaced(task);
  }
  for (const PendingTask& task : row.waiting) {
    placer.AddPending(task);
  }
  const PlacerRound round = placer.Decide(At(row.now), 100);
  std::vector<std::string> placements;
  for (const PlaceDecision& decision : round.placements) {
    placements.push_back(ShortName(decision.task) + ">" + decision.instance);
  }
  std::vector<std::string> evictions;
  for (const EvictDecision& decision : round.evictions) {
    evictions.push_back(ShortName(decision.task));
  }
  EXPECT_THAT(placements, ElementsAreArray(row.placements));
  EXPECT_THAT(evictions, ElementsAreArray(row.evictions));
  if (!row.waiting.empty()) {
    const Explanation explanation =
        placer.Explain(At(row.now), row.waiting.front().task);
    EXPECT_THAT(explanation.text, HasSubstr(row.explained));
    EXPECT_EQ(explanation.can_never_run, row.can_never_run);
  }
}

const auto kUrgent = schema::URGENT;
const auto kNormal = schema::NORMAL;
const auto kBestEffort = schema::BEST_EFFORT;

// A worker of 16 cores on which three tasks hold 5 cores each.
auto Crowd(PendingTask first, PendingTask second, PendingTask third)
    -> std::vector<PlacedTask> {
  return {Placed(std::move(first), "a", 500),
          Placed(std::move(second), "a", 20),
          Placed(std::move(third), "a", 300)};
}

auto Cases() -> std::vector<RulesCase> {
  const PendingTask best = Waiting("best", 0, Need(5, 5), kBestEffort);
  const PendingTask best1 = Waiting("best", 1, Need(5, 5), kBestEffort);
  const PendingTask best2 = Waiting("best", 2, Need(5, 5), kBestEffort);
  const PendingTask urgent = Waiting("urgent", 0, Need(5, 5), kUrgent);
  const PendingTask costly = With(Waiting("log", 0, Need(5, 5), kBestEffort),
                                  &PendingTask::costly_to_evict, true);
  const PendingTask in_team =
      With(Waiting("photo", 0, Need(4, 8)), &PendingTask::team, "ageing");
  const PendingTask in_team1 =
      With(Waiting("photo", 1, Need(4, 8)), &PendingTask::team, "ageing");
  const PendingTask guest =
      Waiting("night", 0, Need(5, 5), kBestEffort, "cantabria");
  const WorkerState open = With(Worker("a"), &WorkerState::open_to,
                                std::vector<std::string>{"cantabria"});
  const WorkerState gpu = Worker("gpu", "r1", Need(16, 60, 2));
  const std::vector<schema::PreemptionRule> over_best = {
      Preempts(kUrgent, kBestEffort)};
  const auto rack_limited = [](uint32_t index) -> PendingTask {
    return With(Waiting("spread", index), &PendingTask::max_per_rack, 1U);
  };
  return {
      {.name = "TakesItsPlace",
       .workers = {Worker("a")},
       .waiting = {Waiting("x")},
       .placements = {"x#0>a"},
       .explained = "runs on a"},
      {.name = "NotBeyondReserved",
       .workers = {With(Worker("a"), &WorkerState::reserved, Need(13, 0))},
       .waiting = {Waiting("x")},
       .explained = "processors 4000 of 3000",
       .can_never_run = true},
      {.name = "MemoryFull",
       .workers = {Worker("a")},
       .waiting = {Waiting("x", 0, Need(1, 20))},
       .placed = {Placed(Waiting("y", 0, Need(1, 50)), "a")},
       .explained = "are in use"},
      {.name = "NoAcceleratorAnywhere",
       .workers = {Worker("a")},
       .waiting = {Waiting("x", 0, Need(1, 1, 1)), Waiting("y")},
       .placements = {"y#0>a"},
       .explained = "accelerators 1 of 0",
       .can_never_run = true},
      {.name = "NeedOverflowsNothing",
       .workers = {Worker("a")},
       .waiting = {Waiting("x", 0, Need(4294967, ~uint64_t{0} / 1000)),
                   Waiting("y")},
       .placements = {"y#0>a"},
       .explained = "can never run",
       .can_never_run = true},
      {.name = "KeepsAcceleratorsFree",
       .workers = {gpu, Worker("a")},
       .waiting = {Waiting("x"), Waiting("y", 0, Need(1, 1, 2))},
       .placements = {"x#0>a", "y#0>gpu"}},
      {.name = "KeepsLargeHolesFree",
       .workers = {Worker("a"), Worker("b")},
       .waiting = {Waiting("x"), Waiting("y", 0, Need(16, 8))},
       .placed = {Placed(Waiting("z", 0, Need(8, 30)), "b")},
       .placements = {"x#0>b", "y#0>a"}},
      {.name = "NotAccepting",
       .workers = {With(Worker("a"), &WorkerState::accepting, false)},
       .waiting = {Waiting("x")},
       .explained = "none of the 1 instances"},
      {.name = "OtherPartnersInstance",
       .workers = {Worker("a")},
       .waiting = {guest},
       .explained = "no instance takes tasks of partner cantabria",
       .can_never_run = true},
      {.name = "OpenToPartner",
       .workers = {open},
       .waiting = {guest},
       .placements = {"night#0>a"}},
      {.name = "FailureDomainUnknown",
       .workers = {Worker("a")},
       .waiting = {With(Waiting("x"), &PendingTask::failure_domain, "oviedo")},
       .explained = "failure domain oviedo",
       .can_never_run = true},
      {.name = "RackLimit",
       .workers = {Worker("a", "r1"), Worker("b", "r1")},
       .waiting = {rack_limited(1), rack_limited(0)},
       .placed = {Placed(rack_limited(2), "a")},
       .explained = "max_per_rack"},
      {.name = "SpreadsOverRacks",
       .workers = {Worker("a", "r1"), Worker("b", "r2")},
       .waiting = {Waiting("x", 2), Waiting("x", 3)},
       .placed = {Placed(Waiting("x", 0), "a"), Placed(Waiting("x", 1), "a")},
       .placements = {"x#2>b", "x#3>b"}},
      {.name = "UrgentFirstThenPriority",
       .workers = {Worker("a")},
       .waiting = {best, Waiting("low", 0, Need(4, 4)),
                   With(Waiting("high", 0, Need(4, 4)), &PendingTask::priority,
                        5U),
                   urgent},
       .placements = {"urgent#0>a", "high#0>a", "low#0>a"},
       .explained = "are in use"},
      {.name = "AgedSharesWithUrgent",
       .workers = {Worker("a", "r1", Need(6, 60))},
       .waiting = {Waiting("old", 0, Need(1, 1)), Waiting("old", 1, Need(1, 1)),
                   With(Waiting("u", 0, Need(1, 1), kUrgent),
                        &PendingTask::waiting_since, At(600)),
                   With(Waiting("u", 1, Need(1, 1), kUrgent),
                        &PendingTask::waiting_since, At(600)),
                   Waiting("u", 2, Need(1, 1), kUrgent),
                   Waiting("u", 3, Need(1, 1), kUrgent),
                   Waiting("u", 4, Need(1, 1), kUrgent)},
       .now = 601,
       .placements = {"u#0>a", "u#1>a", "u#2>a", "u#3>a", "old#0>a", "u#4>a"},
       .explained = "runs on a"},
      {.name = "QuotaOfTeam",
       .workers = {Worker("a")},
       .waiting = {in_team1, Waiting("other")},
       .placed = {Placed(in_team, "a")},
       .quota = Need(7, 0),
       .placements = {"other#0>a"},
       .explained = "quota of team coop/ageing is in use"},
      {.name = "QuotaTooSmallForEver",
       .workers = {Worker("a")},
       .waiting = {in_team},
       .quota = Need(3, 0),
       .explained = "more than the quota of team",
       .can_never_run = true},
      {.name = "NoRuleNoPreemption",
       .workers = {Worker("a")},
       .waiting = {urgent},
       .placed = Crowd(best, best1, best2),
       .explained = "are in use"},
      {.name = "EvictsLeastUnsavedProgress",
       .workers = {Worker("a")},
       .waiting = {urgent},
       .placed = Crowd(best, best1, best2),
       .rules = over_best,
       .evictions = {"best#1"},
       .explained = "room is kept on a"},
      {.name = "RuleNamesAnotherTeam",
       .workers = {Worker("a")},
       .waiting = {urgent},
       .placed = Crowd(best, best1, best2),
       .rules = {Preempts(kUrgent, kBestEffort, "ageing")},
       .explained = "are in use"},
      {.name = "CostlyLast",
       .workers = {Worker("a")},
       .waiting = {urgent},
       .placed = Crowd(best, costly, best2),
       .rules = over_best,
       .evictions = {"best#2"}},
      {.name = "NotTheSameTaskOverAndOver",
       .workers = {Worker("a")},
       .waiting = {urgent},
       .placed = {Placed(best, "a", 9000), Placed(best1, "a", 20, 3),
                  Placed(best2, "a", 8000)},
       .rules = over_best,
       .evictions = {"best#2"}},
      {.name = "FewestVictims",
       .workers = {Worker("a"), Worker("b")},
       .waiting = {Waiting("urgent", 0, Need(10, 5), kUrgent)},
       .placed = {Placed(best, "a"), Placed(best1, "a"), Placed(best2, "a"),
                  Placed(Waiting("big", 0, Need(12, 5), kBestEffort), "b")},
       .rules = over_best,
       .evictions = {"big#0"}},
      {.name = "StoppingSuffices",
       .workers = {Worker("a")},
       .waiting = {urgent},
       .placed = {Placed(best, "a"), Placed(best1, "a"),
                  [&]() -> PlacedTask {
                    PlacedTask task = Placed(best2, "a");
                    task.stopping = true;
                    return task;
                  }()},
       .rules = over_best,
       .explained = "room is kept on a"},
      {.name = "HostDisplacesGuest",
       .workers = {open},
       .waiting = {urgent},
       .placed = {Placed(guest, "a"),
                  Placed(Waiting("n", 0, Need(10, 5)), "a")},
       .rules = over_best,
       .evictions = {"night#0"}},
      {.name = "GuestNeverDisplacesHost",
       .workers = {open},
       .waiting = {Waiting("night", 0, Need(5, 5), kUrgent, "cantabria")},
       .placed = Crowd(best, best1, best2),
       .rules = over_best,
       .explained = "are in use"},
      {.name = "AgedGainsNoPreemption",
       .workers = {Worker("a")},
       .waiting = {Waiting("old", 0, Need(5, 5), kNormal)},
       .placed = Crowd(best, best1, best2),
       .rules = over_best,
       .now = 100000,
       .explained = "aged"},
      {.name = "OvercommittedMemoryEvictsOne",
       .workers = {Worker("a")},
       .waiting = {},
       .placed = {Placed(Waiting("x", 0, Need(1, 50)), "a", 900),
                  Placed(Waiting("y", 0, Need(1, 20)), "a", 30)},
       .evictions = {"y#0"}},
  };
}

INSTANTIATE_TEST_SUITE_P(Table,
                         RulesTest,
                         ::testing::ValuesIn(Cases()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::testing
