#ifndef RHUBARBHAVEN_JOBS_QUEUE_DIRECTORY_H_
#define RHUBARBHAVEN_JOBS_QUEUE_DIRECTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

// A queue of the configuration. Callers address it by host and path.
struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  QueueRules rules;
};

// A service whose workers run tasks.
struct WorkerService {
  std::string name;
  // Its workers reject tasks for which they have no room. Other workers start
  // every task they receive.
  bool rejects_overload = true;
  // Its instances are switched off and cost nothing.
  bool standby = false;
};

// One version of the operators' configuration.
struct QueueConfiguration {
  uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<WorkerService> services;
};

// Finds a queue in the newest configuration. An older version never replaces a
// newer one.
class QueueDirectory {
 public:
  // Returns false if the version is not newer than the one in force.
  auto Adopt(QueueConfiguration configuration) -> bool;
  auto known() const -> bool { return configuration_.version != 0; }
  auto version() const -> uint64_t { return configuration_.version; }
  // The queue with the longest prefix of `path`; null if there is none.
  auto Match(const std::string& host, const std::string& path) const
      -> const Queue*;
  auto FindByName(const std::string& name) const -> const Queue*;
  auto FindService(const std::string& name) const -> const WorkerService*;
  // Returns false if the configuration lists services, but not this one.
  auto MayUseService(const std::string& name) const -> bool;

 private:
  QueueConfiguration configuration_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_QUEUE_DIRECTORY_H_
