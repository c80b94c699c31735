#include "Client/change_plan.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <utility>

namespace rhubarbhaven {
namespace {

auto ShortKey(const schema::ObjectKey& key) -> std::string {
  return absl::StrCat(key.kind(), "/", key.name());
}

auto KeepCommandSettings(const schema::ConfigObject& from,
                         schema::ConfigObject* to) -> void {
  if (from.has_instance() && to->has_instance()) {
    auto* instance = to->mutable_instance();
    instance->set_draining(instance->draining() || from.instance().draining());
    instance->set_lost_incarnation(std::max(
        instance->lost_incarnation(), from.instance().lost_incarnation()));
  }
  if (from.has_job() && to->has_job()) {
    to->mutable_job()->set_cancelled(to->job().cancelled() ||
                                     from.job().cancelled());
  }
}

auto AddChange(const schema::ObjectKey& key,
               uint64_t version,
               const schema::ConfigObject* object,
               ChangePlan* plan) -> void {
  auto* item = plan->change.add_changes();
  *item->mutable_key() = key;
  item->set_expected_version(version);
  if (object != nullptr) {
    *item->mutable_object() = *object;
  }
}

}  // namespace

auto PlanChange(const ChangePlanOptions& options,
                const std::vector<RegisterObject>& wanted,
                const std::vector<schema::VersionedObject>& current)
    -> absl::StatusOr<ChangePlan> {
  using google::protobuf::util::MessageDifferencer;
  ChangePlan plan;
  plan.change.set_partner(options.partner);
  std::map<std::string, const schema::VersionedObject*> unlisted;
  for (const auto& object : current) {
    if (object.key().partner() == options.partner) {
      unlisted[ShortKey(object.key())] = &object;
      plan.current_version = std::max(plan.current_version, object.version());
    }
  }
  auto expected = options.expected;
  for (const auto& item : wanted) {
    const std::string key = ShortKey(item.key);
    const auto found = unlisted.find(key);
    const auto* existing = found == unlisted.end() ? nullptr : found->second;
    const auto expected_version = expected.extract(key);
    uint64_t version = existing == nullptr ? 0 : existing->version();
    const bool stale =
        !expected_version.empty() && expected_version.mapped() != version;
    version = expected_version.empty() ? version : expected_version.mapped();
    schema::ConfigObject object = item.object;
    if (existing != nullptr) {
      KeepCommandSettings(existing->object(), &object);
      unlisted.erase(found);
    }
    if (!stale && existing != nullptr &&
        MessageDifferencer::Equals(existing->object(), object)) {
      continue;
    }
    (existing == nullptr ? plan.created : plan.changed).push_back(key);
    AddChange(item.key, version, &object, &plan);
  }
  for (const auto& [key, object] : unlisted) {
    const auto expected_version = expected.extract(key);
    if (!options.prune) {
      plan.kept.push_back(key);
      continue;
    }
    plan.removed.push_back(key);
    AddChange(object->key(),
              expected_version.empty() ? object->version()
                                       : expected_version.mapped(),
              nullptr, &plan);
  }
  if (!expected.empty()) {
    return absl::InvalidArgumentError(
        absl::StrCat("option --expect: found \"", expected.begin()->first,
                     "\", allowed is an object of the file or of the partner"));
  }
  return plan;
}

auto ParseExpected(const std::vector<std::string>& items)
    -> absl::StatusOr<std::map<std::string, uint64_t>> {
  std::map<std::string, uint64_t> expected;
  for (const auto& item : items) {
    const std::vector<std::string> parts = absl::StrSplit(item, '=');
    uint64_t version = 0;
    if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &version)) {
      return absl::InvalidArgumentError(
          absl::StrCat("option --expect: found \"", item,
                       "\", allowed is KIND/NAME=VERSION"));
    }
    expected[parts[0]] = version;
  }
  return expected;
}

}  // namespace rhubarbhaven
