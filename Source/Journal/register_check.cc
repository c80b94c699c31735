#include "Journal/register_check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

namespace rhubarbhaven {
namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr uint64_t kMaxMillicores = 4'000'000;
constexpr uint64_t kMaxMemoryMb = 64 << 20;
constexpr uint64_t kMaxAccelerators = 1024;
constexpr uint64_t kMaxWeight = 1000;
constexpr uint64_t kMaxTargetMs = 3'600'000;

auto FieldError(const std::string& field, const std::string& text)
    -> absl::Status {
  return absl::InvalidArgumentError(
      absl::StrCat("field \"", field, "\": ", text));
}

auto IsNameByte(char byte) -> bool {
  return absl::ascii_isalnum(static_cast<unsigned char>(byte)) || byte == '-' ||
         byte == '_' || byte == '.';
}

// Names are used in keys, paths and tables, so they contain no separators.
auto CheckName(const std::string& field, const std::string& name)
    -> absl::Status {
  if (name.empty()) {
    return FieldError(field, "is missing, a value is needed");
  }
  if (name.size() <= kMaxNameBytes &&
      std::all_of(name.begin(), name.end(), IsNameByte)) {
    return absl::OkStatus();
  }
  return FieldError(
      field,
      absl::StrCat("found \"", name, "\", allowed are up to ", kMaxNameBytes,
                   " letters, digits, \"-\", \"_\", \".\""));
}

auto CheckOptionalName(const std::string& field, const std::string& name)
    -> absl::Status {
  return name.empty() ? absl::OkStatus() : CheckName(field, name);
}

auto CheckAtMost(const std::string& field, uint64_t value, uint64_t limit)
    -> absl::Status {
  if (value <= limit) {
    return absl::OkStatus();
  }
  return FieldError(field,
                    absl::StrCat("found ", value, ", allowed is 0 to ", limit));
}

auto CheckUrgency(const std::string& field, int value) -> absl::Status {
  if (schema::Urgency_IsValid(value)) {
    return absl::OkStatus();
  }
  return FieldError(field,
                    absl::StrCat("found ", value,
                                 ", allowed is NORMAL, URGENT or BEST_EFFORT"));
}

auto FirstError(std::initializer_list<absl::Status> checks) -> absl::Status {
  for (const auto& check : checks) {
    if (!check.ok()) {
      return check;
    }
  }
  return absl::OkStatus();
}

auto CheckResources(const std::string& field,
                    const schema::Resources& resources) -> absl::Status {
  return FirstError({
      CheckAtMost(field + ".millicores", resources.millicores(),
                  kMaxMillicores),
      CheckAtMost(field + ".memory_mb", resources.memory_mb(), kMaxMemoryMb),
      CheckAtMost(field + ".accelerators", resources.accelerators(),
                  kMaxAccelerators),
  });
}

auto IsZero(const schema::Resources& resources) -> bool {
  return resources.millicores() == 0 && resources.memory_mb() == 0 &&
         resources.accelerators() == 0;
}

auto CheckService(const schema::Service& service) -> absl::Status {
  return FirstError({
      CheckAtMost("weight", service.weight(), kMaxWeight),
      CheckAtMost("target_p99_ms", service.target_p99_ms(), kMaxTargetMs),
      CheckResources("reserved", service.reserved()),
  });
}

auto CheckJob(const schema::Job& job) -> absl::Status {
  if (IsZero(job.need())) {
    return FieldError("need",
                      "is missing or zero in every dimension, a task "
                      "must need something");
  }
  return FirstError({
      CheckOptionalName("team", job.team()),
      CheckResources("need", job.need()),
      CheckUrgency("urgency", job.urgency()),
      CheckOptionalName("failure_domain", job.failure_domain()),
  });
}

auto CheckOpenTo(const std::string& partner, const schema::Instance& instance)
    -> absl::Status {
  std::set<std::string> seen;
  for (const auto& other : instance.open_to()) {
    auto status = CheckName("open_to", other);
    if (!status.ok()) {
      return status;
    }
    if (other == partner || !seen.insert(other).second) {
      return FieldError("open_to",
                        absl::StrCat("found \"", other,
                                     "\", allowed is each other partner once"));
    }
  }
  return absl::OkStatus();
}

auto CheckInstance(const std::string& partner, const schema::Instance& instance)
    -> absl::Status {
  const auto& capacity = instance.capacity();
  if (capacity.millicores() == 0 || capacity.memory_mb() == 0) {
    return FieldError("capacity",
                      "is missing or zero, processors and memory are needed");
  }
  return FirstError({
      CheckResources("capacity", capacity),
      CheckOptionalName("rack", instance.rack()),
      CheckOptionalName("failure_domain", instance.failure_domain()),
      CheckOptionalName("cell", instance.cell()),
      CheckOpenTo(partner, instance),
  });
}

auto CheckTeam(const schema::Team& team) -> absl::Status {
  if (team.has_quota() && IsZero(team.quota())) {
    return FieldError("quota",
                      "is zero in every dimension, nothing would ever "
                      "run; leave it out for no limit");
  }
  return CheckResources("quota", team.quota());
}

// Jobs with a higher rank run earlier.
auto UrgencyRank(schema::Urgency urgency) -> int {
  switch (urgency) {
    case schema::URGENT:
      return 2;
    case schema::NORMAL:
      return 1;
    default:
      return 0;
  }
}

auto CheckPreemption(const std::string& field,
                     const schema::PreemptionRule& rule) -> absl::Status {
  auto status = FirstError({
      CheckUrgency(field + ".preemptor", rule.preemptor()),
      CheckUrgency(field + ".victim", rule.victim()),
      CheckOptionalName(field + ".victim_team", rule.victim_team()),
  });
  if (!status.ok()) {
    return status;
  }
  // Two jobs that may each preempt the other would evict one another forever.
  if (UrgencyRank(rule.victim()) > UrgencyRank(rule.preemptor())) {
    return FieldError(
        field + ".victim",
        absl::StrCat("found ", schema::Urgency_Name(rule.victim()),
                     ", allowed is at most the urgency of the "
                     "preemptor, ",
                     schema::Urgency_Name(rule.preemptor())));
  }
  return absl::OkStatus();
}

auto CheckRules(const schema::PartnerRules& rules) -> absl::Status {
  for (int i = 0; i < rules.preemption_size(); ++i) {
    auto status = CheckPreemption(absl::StrCat("preemption[", i, "]"),
                                  rules.preemption(i));
    if (!status.ok()) {
      return status;
    }
  }
  return FirstError({
      CheckAtMost("tail_latency_weight", rules.tail_latency_weight(),
                  kMaxWeight),
      CheckAtMost("batch_throughput_weight", rules.batch_throughput_weight(),
                  kMaxWeight),
      CheckAtMost("eviction_weight", rules.eviction_weight(), kMaxWeight),
      CheckAtMost("request_weight", rules.request_weight(), kMaxWeight),
  });
}

struct KindAndName {
  std::string kind;
  std::string name;
};

auto KindAndNameOf(const schema::ConfigObject& object) -> KindAndName {
  switch (object.value_case()) {
    case schema::ConfigObject::kService:
      return {kServiceKind, object.service().name()};
    case schema::ConfigObject::kJob:
      return {kJobKind, object.job().name()};
    case schema::ConfigObject::kInstance:
      return {kInstanceKind, object.instance().name()};
    case schema::ConfigObject::kTeam:
      return {kTeamKind, object.team().name()};
    case schema::ConfigObject::kRules:
      return {kRulesKind, kRulesName};
    default:
      return {};
  }
}

auto CheckValue(const std::string& partner, const schema::ConfigObject& object)
    -> absl::Status {
  switch (object.value_case()) {
    case schema::ConfigObject::kService:
      return CheckService(object.service());
    case schema::ConfigObject::kJob:
      return CheckJob(object.job());
    case schema::ConfigObject::kInstance:
      return CheckInstance(partner, object.instance());
    case schema::ConfigObject::kTeam:
      return CheckTeam(object.team());
    case schema::ConfigObject::kRules:
      return CheckRules(object.rules());
    default:
      return FieldError("object", "holds no value of a known kind");
  }
}

auto CheckSchemaRules(const schema::ConfigObject& object) -> absl::Status {
  schema::ConfigObject copy = object;
  // The prefix is removed below; the message names the field by itself.
  const std::string prefix = "object";
  auto status = CheckFieldRules(prefix, &copy);
  if (status.ok()) {
    return status;
  }
  return absl::InvalidArgumentError(
      status.message().substr(prefix.size() + std::string(": ").size()));
}

}  // namespace

auto CheckObject(const schema::ObjectKey& key,
                 const schema::ConfigObject& object) -> absl::Status {
  const auto identity = KindAndNameOf(object);
  auto status = CheckName("partner", key.partner());
  if (status.ok()) {
    status = CheckSchemaRules(object);
  }
  if (status.ok() && !identity.kind.empty()) {
    status = CheckName("name", identity.name);
  }
  if (status.ok()) {
    status = CheckValue(key.partner(), object);
  }
  if (status.ok() &&
      (key.kind() != identity.kind || key.name() != identity.name)) {
    status = FieldError(
        "key", absl::StrCat("does not fit the object, which is ", identity.kind,
                            " \"", identity.name, "\""));
  }
  if (status.ok()) {
    return status;
  }
  return absl::InvalidArgumentError(absl::StrCat(
      key.partner(), "/", key.kind(), "/", key.name(), ": ", status.message()));
}

namespace {

// Collects the objects of one register file.
class RegisterReader {
 public:
  RegisterReader(std::string origin, std::string partner)
      : origin_(std::move(origin)), partner_(std::move(partner)) {}

  auto Add(const std::string& field_path, schema::ConfigObject object)
      -> absl::Status {
    const auto identity = KindAndNameOf(object);
    RegisterObject item;
    item.key.set_partner(partner_);
    item.key.set_kind(identity.kind);
    item.key.set_name(identity.name);
    item.object = std::move(object);
    auto status = CheckObject(item.key, item.object);
    if (!status.ok()) {
      return absl::InvalidArgumentError(
          absl::StrCat(origin_, ": ", field_path, ": ", status.message()));
    }
    if (!seen_.insert({identity.kind, identity.name}).second) {
      return absl::InvalidArgumentError(absl::StrCat(
          origin_, ": field \"", field_path, ".name\": found \"", identity.name,
          "\" a second time, allowed is each ", identity.kind, " once"));
    }
    objects_.push_back(std::move(item));
    return absl::OkStatus();
  }

  auto Take() -> std::vector<RegisterObject> { return std::move(objects_); }

 private:
  const std::string origin_;
  const std::string partner_;
  std::set<std::pair<std::string, std::string>> seen_;
  std::vector<RegisterObject> objects_;
};

// `assign` copies one item into the object.
template <typename Items, typename Put>
auto AddAll(RegisterReader* reader,
            const std::string& field,
            const Items& items,
            Put assign) -> absl::Status {
  for (int i = 0; i < items.size(); ++i) {
    schema::ConfigObject object;
    assign(items[i], &object);
    auto status =
        reader->Add(absl::StrCat(field, "[", i, "]"), std::move(object));
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

}  // namespace

auto ObjectsOf(const std::string& origin, const schema::RegisterFile& file)
    -> absl::StatusOr<std::vector<RegisterObject>> {
  using schema::ConfigObject;
  RegisterReader reader(origin, file.partner());
  auto status = CheckName("partner", file.partner());
  if (!status.ok()) {
    return absl::InvalidArgumentError(
        absl::StrCat(origin, ": ", status.message()));
  }
  status = AddAll(&reader, "services", file.services(),
                  [](const auto& item, ConfigObject* object) {
                    *object->mutable_service() = item;
                  });
  if (status.ok()) {
    status = AddAll(&reader, "jobs", file.jobs(),
                    [](const auto& item, ConfigObject* object) {
                      *object->mutable_job() = item;
                    });
  }
  if (status.ok()) {
    status = AddAll(&reader, "instances", file.instances(),
                    [](const auto& item, ConfigObject* object) {
                      *object->mutable_instance() = item;
                    });
  }
  if (status.ok()) {
    status = AddAll(&reader, "teams", file.teams(),
                    [](const auto& item, ConfigObject* object) {
                      *object->mutable_team() = item;
                    });
  }
  if (status.ok() && file.has_rules()) {
    ConfigObject object;
    *object.mutable_rules() = file.rules();
    status = reader.Add("rules", std::move(object));
  }
  if (!status.ok()) {
    return status;
  }
  return reader.Take();
}

}  // namespace rhubarbhaven
