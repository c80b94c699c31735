#include "Tasks/owner_register.h"

#include <absl/strings/str_cat.h>

#include <utility>

#include "Tasks/resource_math.h"

namespace rhubarbhaven::tasks {
namespace {

auto JobKey(const std::string& partner,
            const std::string& job,
            uint64_t created) -> std::string {
  return absl::StrCat(partner, "/", job, "#", created);
}

auto CellName(const schema::Instance& instance) -> std::string {
  return instance.cell().empty() ? kDefaultCell : instance.cell();
}

auto SameJob(const RegisterJob& a, const RegisterJob& b) -> bool {
  return a.job.SerializeAsString() == b.job.SerializeAsString();
}

}  // namespace

auto RegisterJob::Task(uint32_t index) const -> schema::TaskId {
  schema::TaskId task;
  task.set_partner(partner);
  task.set_job(job.name());
  task.set_index(index);
  task.set_job_version(created);
  return task;
}

Register::Register(std::string cell) : cell_(std::move(cell)) {}

auto Register::Load(const std::vector<schema::VersionedObject>& objects)
    -> std::set<std::string> {
  const std::map<std::string, RegisterJob> before = std::exchange(jobs_, {});
  cells_.clear();
  instances_.clear();
  rules_.clear();
  teams_.clear();
  services_.clear();
  for (const schema::VersionedObject& object : objects) {
    LoadObject(object);
  }
  std::erase_if(jobs_, [&](const auto& job) {
    return CellOf(job.second.partner, job.second.job.name()) != cell_;
  });
  std::set<std::string> changed;
  for (const auto& [key, job] : before) {
    const auto now = jobs_.find(key);
    if (now == jobs_.end() || !SameJob(now->second, job)) {
      changed.insert(key);
    }
  }
  for (const auto& [key, job] : jobs_) {
    if (!before.contains(key)) {
      changed.insert(key);
    }
  }
  return changed;
}

auto Register::LoadObject(const schema::VersionedObject& object) -> void {
  const std::string& partner = object.key().partner();
  const schema::ConfigObject& value = object.object();
  switch (value.value_case()) {
    case schema::ConfigObject::kJob:
      jobs_[JobKey(partner, value.job().name(), object.created())] = {
          .partner = partner, .created = object.created(), .job = value.job()};
      return;
    case schema::ConfigObject::kInstance:
      cells_.insert(CellName(value.instance()));
      if (CellName(value.instance()) == cell_) {
        instances_[value.instance().name()] = {.partner = partner,
                                               .instance = value.instance()};
      }
      return;
    case schema::ConfigObject::kRules:
      rules_[partner] = value.rules();
      return;
    case schema::ConfigObject::kTeam:
      teams_[partner].push_back(value.team());
      return;
    case schema::ConfigObject::kService:
      services_[partner].push_back(value.service());
      return;
    default:
      return;
  }
}

auto Register::CellOf(const std::string& partner, const std::string& job) const
    -> std::string {
  std::string chosen = kDefaultCell;
  uint64_t highest = 0;
  for (const std::string& cell : cells_) {
    const uint64_t weight =
        StableHash(absl::StrCat(partner, "/", job), StableHash(cell));
    if (weight >= highest) {
      highest = weight;
      chosen = cell;
    }
  }
  return chosen;
}

auto Register::FindJob(const schema::TaskId& task) const -> const RegisterJob* {
  const auto found =
      jobs_.find(JobKey(task.partner(), task.job(), task.job_version()));
  return found == jobs_.end() ? nullptr : &found->second;
}

auto Register::FindInstance(const std::string& name) const
    -> const RegisterInstance* {
  const auto found = instances_.find(name);
  return found == instances_.end() ? nullptr : &found->second;
}

auto Register::Reserved(const std::string& partner) const -> schema::Resources {
  schema::Resources reserved;
  const auto services = services_.find(partner);
  if (services == services_.end()) {
    return reserved;
  }
  for (const schema::Service& service : services->second) {
    reserved = Larger(reserved, service.reserved());
  }
  return reserved;
}

}  // namespace rhubarbhaven::tasks
