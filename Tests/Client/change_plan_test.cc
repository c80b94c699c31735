#include <gtest/gtest.h>

#include <absl/strings/str_join.h>

#include "Client/client.h"

namespace rhubarbhaven {
namespace {

auto Team(const std::string& partner, const std::string& name, uint32_t cores)
    -> RegisterObject {
  RegisterObject item;
  item.key.set_partner(partner);
  item.key.set_kind(kTeamKind);
  item.key.set_name(name);
  auto* team = item.object.mutable_team();
  team->set_name(name);
  team->mutable_quota()->set_millicores(cores);
  return item;
}

auto Versioned(const RegisterObject& item, uint64_t version)
    -> schema::VersionedObject {
  schema::VersionedObject object;
  *object.mutable_key() = item.key;
  *object.mutable_object() = item.object;
  object.set_version(version);
  return object;
}

struct PlanCase {
  std::string name;
  std::vector<RegisterObject> wanted;
  bool prune;
  std::map<std::string, uint64_t> expected;
  // "name@expected version" of each change, with the prefix "-" for a removal.
  std::string changes;
};

class ChangePlanTest : public testing::TestWithParam<PlanCase> {};

// The partner has teams a (version 3) and b (version 5); q has a team c.
TEST_P(ChangePlanTest, TurnsCurrentIntoWanted) {
  const std::vector<schema::VersionedObject> current = {
      Versioned(Team("p", "a", 1), 3), Versioned(Team("p", "b", 1), 5),
      Versioned(Team("q", "c", 1), 6)};
  ChangePlanOptions options;
  options.partner = "p";
  options.prune = GetParam().prune;
  options.expected = GetParam().expected;
  const auto plan = PlanChange(options, GetParam().wanted, current);
  if (!plan.ok()) {
    EXPECT_EQ(GetParam().changes, "error") << plan.status();
    return;
  }
  std::vector<std::string> changes;
  for (const auto& item : plan->change.changes()) {
    changes.push_back((item.has_object() ? "" : "-") + item.key().name() + "@" +
                      std::to_string(item.expected_version()));
  }
  EXPECT_EQ(absl::StrJoin(changes, " "), GetParam().changes);
  EXPECT_EQ(plan->current_version, 5);
}

INSTANTIATE_TEST_SUITE_P(
    Plans,
    ChangePlanTest,
    testing::Values(
        PlanCase{"Same", {Team("p", "a", 1), Team("p", "b", 1)}, true, {}, ""},
        PlanCase{"Create", {Team("p", "d", 1)}, false, {}, "d@0"},
        PlanCase{"Edit", {Team("p", "a", 2)}, false, {}, "a@3"},
        PlanCase{"Prune", {Team("p", "a", 1)}, true, {}, "-b@5"},
        PlanCase{"Seen", {Team("p", "a", 2)}, false, {{"team/a", 3}}, "a@3"},
        // An expected version that is no longer current must lead to a
        // conflict, even if the object already has the wanted value.
        PlanCase{"Stale", {Team("p", "a", 1)}, false, {{"team/a", 2}}, "a@2"},
        PlanCase{"StalePrune", {}, true, {{"team/b", 4}}, "-a@3 -b@4"},
        PlanCase{"Unknown", {}, false, {{"team/x", 4}}, "error"}),
    [](const auto& info) { return info.param.name; });

// Guards against a drained instance that gets work again and a cancelled job
// that runs: an operator drains or cancels, the register is applied again, and
// fields that the register omits are read as false.
TEST(ChangePlanCommandSettingsTest, ApplyKeepsWhatCommandsHaveSet) {
  RegisterObject instance;
  instance.key.set_partner("p");
  instance.key.set_kind(kInstanceKind);
  instance.key.set_name("i");
  instance.object.mutable_instance()->set_name("i");
  auto drained = Versioned(instance, 4);
  drained.mutable_object()->mutable_instance()->set_draining(true);
  drained.mutable_object()->mutable_instance()->set_lost_incarnation(77);
  RegisterObject job = instance;
  job.key.set_kind(kJobKind);
  job.object.mutable_job()->set_name("i");
  auto cancelled = Versioned(job, 5);
  cancelled.mutable_object()->mutable_job()->set_cancelled(true);

  ChangePlanOptions options;
  options.partner = "p";
  const std::vector<schema::VersionedObject> current = {drained, cancelled};
  EXPECT_EQ(
      PlanChange(options, {instance, job}, current)->change.changes_size(), 0);
  instance.object.mutable_instance()->set_rack("r");
  const auto plan = PlanChange(options, {instance, job}, current);
  ASSERT_EQ(plan->change.changes_size(), 1);
  EXPECT_TRUE(plan->change.changes(0).object().instance().draining());
  EXPECT_EQ(plan->change.changes(0).object().instance().lost_incarnation(), 77);
}

}  // namespace
}  // namespace rhubarbhaven
