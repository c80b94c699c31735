#ifndef RHUBARBHAVEN_DAEMON_ENDPOINT_CALLER_H_
#define RHUBARBHAVEN_DAEMON_ENDPOINT_CALLER_H_

#include <functional>
#include <string>

#include "Routing/routing.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// Calls the agent's endpoint over HTTP and reports the outcome of each attempt.
class EndpointCaller {
 public:
  using OnOutcome = std::function<auto(EndpointOutcome)->void>;

  EndpointCaller(std::string base_url, uint32_t connections);

  // `on_outcome` runs on the thread of the HTTP client, or on the calling
  // thread if the request could not be started.
  auto Start(const CallEndpoint& call, const OnOutcome& on_outcome) -> void;

 private:
  std::string base_url_;
  HttpCaller http_;
};

// Maps an answer of the endpoint to the outcome of the attempt.
auto OutcomeOf(uint64_t attempt_id,
               const HttpClientAnswer& answer,
               std::chrono::microseconds service_time) -> EndpointOutcome;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_ENDPOINT_CALLER_H_
