#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_2_DEPLOYMENT_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_2_DEPLOYMENT_H_

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "keyed_log.h"
#include "workers.h"
#include "world.h"

namespace review {

// The policy of the queue, in milliseconds; without one if `valid_ms` is zero.
struct Advice {
  int decide_ms = 0;
  int each_ms = 0;
  int valid_ms = 0;
};

struct DeploymentOptions {
  int entries = 3;
  int attempts = 4;
  Advice advice;
  WorkersOptions workers;
  Workers::SpecOf spec_of;
};

// A small deployment: the store, the executors, and the settings of the
// daemons, which the case's script starts. Writes the settings into `folder`,
// as the templates of the deploy file give them.
class Deployment {
 public:
  Deployment(World* world,
             const std::string& folder,
             DeploymentOptions options);

  // Waits until all entries are ready; false after 20 s.
  auto WaitReady() -> bool;
  // Calls of a client at one entry; noted in the record. A POST is repeated at
  // the next entries until one has answered with 2xx; false after 12 tries.
  auto Submit(const std::string& id, const std::string& body) -> bool;
  // The state of the job, or "" and the status if it is not 200.
  auto StateOf(int entry, const std::string& id) -> std::string;

  auto workers() -> Workers& { return *workers_; }
  auto log() -> KeyedLog& { return log_; }
  auto entries() const -> int { return options_.entries; }

 private:
  auto WriteSettings(const std::string& folder) -> std::vector<std::string>;
  // The service that decides which workers may run a step: all that are named.
  // It handles one call at a time.
  auto Advise(const HttpRequest& request) -> HttpResponse;

  World* world_;
  DeploymentOptions options_;
  KeyedLog log_;
  std::mutex advising_;
  HttpServer advice_;
  std::unique_ptr<Workers> workers_;
  std::vector<int> callers_ports_;
  std::vector<int> ready_ports_;
};

}  // namespace review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_2_DEPLOYMENT_H_
