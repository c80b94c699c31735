#include "Journal/config_fold.h"

#include <absl/strings/str_cat.h>

#include <set>
#include <utility>

#include "Journal/register_check.h"

namespace rhubarbhaven {
namespace {

auto JobOf(const schema::ObjectChange& item) -> const schema::Job* {
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
      // The same change, written again under another number.
      continue;
    }
    outcomes.push_back(Decide(offset, change));
    Remember(outcomes.back());
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
      status = CheckOne(change, &item);
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
    Put(offset, std::move(item));
  }
  return outcome;
}

auto ConfigFold::CheckOne(const schema::ConfigChange& change,
                          schema::ObjectChange* item) const -> absl::Status {
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
  std::set<std::string> put;
  std::set<std::string> removed;
  for (const auto& item : items) {
    (item.has_object() ? put : removed).insert(KeyText(item.key()));
  }
  for (const auto& item : items) {
    const auto& key = item.key();
    const auto holder = instance_partner_.find(key.name());
    // Placements name instances without their partner: two of one name would
    // be taken for one, and one partner's edit would move the other's work.
    if (key.kind() == kInstanceKind && item.has_object() &&
        holder != instance_partner_.end() && holder->second != key.partner()) {
      return absl::InvalidArgumentError(
          absl::StrCat(KeyText(key),
                       ": field \"name\": the instance name is "
                       "in use by another partner; take "
                       "another name"));
    }
    const auto* job = JobOf(item);
    if (job == nullptr || job->team().empty()) {
      continue;
    }
    const std::string team = TeamKey(key.partner(), job->team());
    if (put.contains(team) ||
        (objects_.contains(team) && !removed.contains(team))) {
      continue;
    }
    return absl::InvalidArgumentError(
        absl::StrCat(KeyText(key), ": field \"team\": found \"", job->team(),
                     "\", allowed is a team of the partner's register"));
  }
  return CheckTeamsInUse(removed, put);
}

auto ConfigFold::CheckTeamsInUse(const std::set<std::string>& removed,
                                 const std::set<std::string>& put) const
    -> absl::Status {
  if (removed.empty()) {
    return absl::OkStatus();
  }
  for (const auto& [text, object] : objects_) {
    if (!object.object().has_job() || removed.contains(text) ||
        put.contains(text)) {
      continue;
    }
    const auto& job = object.object().job();
    const std::string team = TeamKey(object.key().partner(), job.team());
    if (removed.contains(team)) {
      return absl::InvalidArgumentError(absl::StrCat(
          team, ": is still named by ", text,
          "; remove the job or give it another team in the same change"));
    }
  }
  return absl::OkStatus();
}

auto ConfigFold::Put(uint64_t offset, schema::ObjectChange item) -> void {
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

auto ConfigFold::Remember(const schema::ChangeOutcome& outcome) -> void {
  if (outcome.change_id().empty()) {
    return;
  }
  outcomes_[outcome.change_id()] = outcome;
  recent_.push_back(outcome.change_id());
  if (recent_.size() > kMaxOutcomes) {
    outcomes_.erase(recent_.front());
    recent_.pop_front();
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
  recent_.clear();
  outcomes_.clear();
  for (const auto& outcome : state.recent()) {
    Remember(outcome);
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
  for (const auto& id : recent_) {
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
