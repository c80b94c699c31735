#include "Journal/config_fold.h"

#include <absl/strings/str_cat.h>

#include <set>
#include <utility>

#include "Journal/register_check.h"

namespace rhubarbhaven {
namespace {

auto JobInChange(const schema::ObjectChange& item) -> const schema::Job* {
  const bool is_job = item.has_object() && item.object().has_job();
  return is_job ? &item.object().job() : nullptr;
}

auto TeamKey(const std::string& partner, const std::string& team)
    -> std::string {
  schema::ObjectKey key;
  key.set_partner(partner);
  key.set_kind(kTeamKind);
  key.set_name(team);
  return KeyText(key);
}

}  // namespace

auto KeyText(const schema::ObjectKey& key) -> std::string {
  return absl::StrCat(key.partner(), "/", key.kind(), "/", key.name());
}

auto ConfigFold::Apply(uint64_t offset, const schema::LogRecord& record)
    -> std::vector<schema::ChangeOutcome> {
  std::vector<schema::ChangeOutcome> outcomes;
  if (offset <= applied_) {
    return outcomes;
  }
  applied_ = offset;
  if (!writers_.Accept(offset, record)) {
    return outcomes;
  }
  for (const auto& entry : record.entries()) {
    if (!entry.has_config_change()) {
      continue;
    }
    const auto& change = entry.config_change();
    if (outcomes_.contains(change.change_id())) {
      // The same change was appended again under another sequence number.
      continue;
    }
    outcomes.push_back(Decide(offset, change));
    StoreOutcome(outcomes.back());
  }
  return outcomes;
}

auto ConfigFold::Decide(uint64_t offset, const schema::ConfigChange& change)
    -> schema::ChangeOutcome {
  schema::ChangeOutcome outcome;
  outcome.set_change_id(change.change_id());
  outcome.set_offset(offset);
  std::vector<schema::ObjectChange> items(change.changes().begin(),
                                          change.changes().end());
  absl::Status status;
  if (change.change_id().empty()) {
    status = absl::InvalidArgumentError(
        "field \"change_id\": is missing, a value is needed");
  } else if (items.empty()) {
    status = absl::InvalidArgumentError("the change names no object");
  }
  std::set<std::string> keys;
  for (auto& item : items) {
    if (status.ok()) {
      status = CheckObjectChange(change, &item);
    }
    if (status.ok() && !keys.insert(KeyText(item.key())).second) {
      status = absl::InvalidArgumentError(absl::StrCat(
          KeyText(item.key()), ": stands twice in one change; name it once"));
    }
  }
  for (const auto& item : items) {
    if (status.ok()) {
      status = CheckVersion(item);
    }
  }
  if (status.ok()) {
    status = CheckReferences(items);
  }
  if (!status.ok()) {
    outcome.set_problem(std::string(status.message()));
    outcome.set_conflict(absl::IsAborted(status));
    return outcome;
  }
  outcome.set_accepted(true);
  for (auto& item : items) {
    StoreObject(offset, std::move(item));
  }
  return outcome;
}

auto ConfigFold::CheckObjectChange(const schema::ConfigChange& change,
                                   schema::ObjectChange* item) const
    -> absl::Status {
  const std::string text = KeyText(item->key());
  if (item->key().partner() != change.partner()) {
    return absl::InvalidArgumentError(absl::StrCat(
        text, ": is not partner \"", change.partner(),
        "\"'s; a change may name only objects of its own partner"));
  }
  if (item->has_object()) {
    auto status = CheckObject(item->key(), item->object());
    if (!status.ok()) {
      return status;
    }
    return CheckFieldRules(text, item->mutable_object());
  }
  if (item->expected_version() == 0) {
    return absl::InvalidArgumentError(absl::StrCat(
        text,
        ": is to be removed but its expected version is 0; give the "
        "version that is to be removed"));
  }
  return absl::OkStatus();
}

auto ConfigFold::CheckVersion(const schema::ObjectChange& item) const
    -> absl::Status {
  const auto current = objects_.find(KeyText(item.key()));
  const uint64_t version =
      current == objects_.end() ? 0 : current->second.version();
  if (version == item.expected_version()) {
    return absl::OkStatus();
  }
  return absl::AbortedError(
      absl::StrCat(KeyText(item.key()), ": the change expects version ",
                   item.expected_version(), ", the current version is ",
                   version, version == 0 ? " (there is no such object)" : "",
                   "; look at the object as it is now and apply again"));
}

auto ConfigFold::CheckReferences(
    const std::vector<schema::ObjectChange>& items) const -> absl::Status {
  std::set<std::string> stored_keys;
  std::set<std::string> removed_keys;
  for (const auto& item : items) {
    (item.has_object() ? stored_keys : removed_keys)
        .insert(KeyText(item.key()));
  }
  for (const auto& item : items) {
    const auto& key = item.key();
    const auto owner = instance_partner_.find(key.name());
    // Placements refer to instances without naming the partner. Two instances
    // of one name could not be told apart, and a change by one partner would
    // move the work of the other.
    if (key.kind() == kInstanceKind && item.has_object() &&
        owner != instance_partner_.end() && owner->second != key.partner()) {
      return absl::InvalidArgumentError(
          absl::StrCat(KeyText(key),
                       ": field \"name\": the instance name is "
                       "in use by another partner; take "
                       "another name"));
    }
    const auto* job = JobInChange(item);
    if (job == nullptr || job->team().empty()) {
      continue;
    }
    const std::string team = TeamKey(key.partner(), job->team());
    if (stored_keys.contains(team) ||
        (objects_.contains(team) && !removed_keys.contains(team))) {
      continue;
    }
    return absl::InvalidArgumentError(
        absl::StrCat(KeyText(key), ": field \"team\": found \"", job->team(),
                     "\", allowed is a team of the partner's register"));
  }
  return CheckTeamsInUse(removed_keys, stored_keys);
}

auto ConfigFold::CheckTeamsInUse(const std::set<std::string>& removed_keys,
                                 const std::set<std::string>& stored_keys) const
    -> absl::Status {
  if (removed_keys.empty()) {
    return absl::OkStatus();
  }
  for (const auto& [text, object] : objects_) {
    if (!object.object().has_job() || removed_keys.contains(text) ||
        stored_keys.contains(text)) {
      continue;
    }
    const auto& job = object.object().job();
    const std::string team = TeamKey(object.key().partner(), job.team());
    if (removed_keys.contains(team)) {
      return absl::InvalidArgumentError(absl::StrCat(
          team, ": is still named by ", text,
          "; remove the job or give it another team in the same change"));
    }
  }
  return absl::OkStatus();
}

auto ConfigFold::StoreObject(uint64_t offset, schema::ObjectChange item)
    -> void {
  const std::string text = KeyText(item.key());
  const bool is_instance = item.key().kind() == kInstanceKind;
  if (!item.has_object()) {
    objects_.erase(text);
    if (is_instance) {
      instance_partner_.erase(item.key().name());
    }
    return;
  }
  auto& stored = objects_[text];
  if (stored.created() == 0) {
    stored.set_created(offset);
  }
  stored.set_version(offset);
  *stored.mutable_key() = item.key();
  *stored.mutable_object() = std::move(*item.mutable_object());
  if (is_instance) {
    instance_partner_[item.key().name()] = item.key().partner();
  }
}

auto ConfigFold::StoreOutcome(const schema::ChangeOutcome& outcome) -> void {
  if (outcome.change_id().empty()) {
    return;
  }
  outcomes_[outcome.change_id()] = outcome;
  outcome_order_.push_back(outcome.change_id());
  if (outcome_order_.size() > kMaxOutcomes) {
    outcomes_.erase(outcome_order_.front());
    outcome_order_.pop_front();
  }
}

auto ConfigFold::Adopt(const schema::ConfigState& state) -> bool {
  if (state.applied() <= applied_) {
    return false;
  }
  applied_ = state.applied();
  objects_.clear();
  instance_partner_.clear();
  for (const auto& object : state.objects()) {
    objects_[KeyText(object.key())] = object;
    if (object.key().kind() == kInstanceKind) {
      instance_partner_[object.key().name()] = object.key().partner();
    }
  }
  writers_.Load(state);
  outcome_order_.clear();
  outcomes_.clear();
  for (const auto& outcome : state.recent()) {
    StoreOutcome(outcome);
  }
  return true;
}

auto ConfigFold::Export() const -> schema::ConfigState {
  schema::ConfigState state;
  state.set_applied(applied_);
  for (const auto& [text, object] : objects_) {
    *state.add_objects() = object;
  }
  writers_.Save(&state);
  for (const auto& id : outcome_order_) {
    *state.add_recent() = outcomes_.at(id);
  }
  return state;
}

auto ConfigFold::applied() const -> uint64_t {
  return applied_;
}

auto ConfigFold::Find(const schema::ObjectKey& key) const
    -> std::optional<schema::VersionedObject> {
  const auto found = objects_.find(KeyText(key));
  if (found == objects_.end()) {
    return std::nullopt;
  }
  return found->second;
}

auto ConfigFold::objects() const -> std::vector<schema::VersionedObject> {
  std::vector<schema::VersionedObject> all;
  all.reserve(objects_.size());
  for (const auto& [text, object] : objects_) {
    all.push_back(object);
  }
  return all;
}

auto ConfigFold::outcome(const std::string& change_id) const
    -> std::optional<schema::ChangeOutcome> {
  const auto found = outcomes_.find(change_id);
  if (found == outcomes_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace rhubarbhaven
