#ifndef RHUBARBHAVEN_TASKS_OWNER_REGISTER_H_
#define RHUBARBHAVEN_TASKS_OWNER_REGISTER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::tasks {

// Cell of instances that specify none.
inline constexpr char kDefaultCell[] = "cell-0";

struct RegisterJob {
  std::string partner;
  uint64_t created = 0;
  schema::Job job;

  auto Task(uint32_t index) const -> schema::TaskId;
};

struct RegisterInstance {
  std::string partner;
  schema::Instance instance;
};

// The part of the configuration that applies to one cell.
class Register {
 public:
  explicit Register(std::string cell);

  // Replaces the whole content. Returns the keys of jobs that were added,
  // changed or removed.
  auto Load(const std::vector<schema::VersionedObject>& objects)
      -> std::set<std::string>;

  // Keyed by "partner/job#created".
  auto jobs() const -> const std::map<std::string, RegisterJob>& {
    return jobs_;
  }
  auto instances() const -> const std::map<std::string, RegisterInstance>& {
    return instances_;
  }
  auto rules() const -> const std::map<std::string, schema::PartnerRules>& {
    return rules_;
  }
  // Keyed by partner.
  auto teams() const
      -> const std::map<std::string, std::vector<schema::Team>>& {
    return teams_;
  }
  auto services() const
      -> const std::map<std::string, std::vector<schema::Service>>& {
    return services_;
  }
  auto FindJob(const schema::TaskId& task) const -> const RegisterJob*;
  auto FindInstance(const std::string& name) const -> const RegisterInstance*;
  // Resources that the endpoints on an instance of the partner may reserve: the
  // largest reservation among the partner's services in each dimension, since
  // the register does not specify which service runs where.
  auto Reserved(const std::string& partner) const -> schema::Resources;

 private:
  auto LoadObject(const schema::VersionedObject& object) -> void;
  // Selects the cell that runs a job by rendezvous hashing over the cells named
  // by instances.
  auto CellOf(const std::string& partner, const std::string& job) const
      -> std::string;

  std::string cell_;
  std::set<std::string> cells_;
  std::map<std::string, RegisterJob> jobs_;
  std::map<std::string, RegisterInstance> instances_;
  std::map<std::string, schema::PartnerRules> rules_;
  std::map<std::string, std::vector<schema::Team>> teams_;
  std::map<std::string, std::vector<schema::Service>> services_;
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_OWNER_REGISTER_H_
