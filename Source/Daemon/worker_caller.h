#ifndef RHUBARBHAVEN_DAEMON_WORKER_CALLER_H_
#define RHUBARBHAVEN_DAEMON_WORKER_CALLER_H_

#include <string>

#include "Tasks/tasks.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// Calls the platform's worker, in JSON over HTTP; see worker.proto.
class WorkerCaller {
 public:
  explicit WorkerCaller(std::string base_url);

  // Blocks until the answer arrives or the call times out.
  auto Call(const CallWorker& call) -> TaskCallResult;

 private:
  std::string base_url_;
  HttpClient http_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_WORKER_CALLER_H_
