#ifndef RHUBARBHAVEN_DAEMON_ENDPOINT_CALLER_H_
#define RHUBARBHAVEN_DAEMON_ENDPOINT_CALLER_H_

#include <functional>
#include <string>

#include "Routing/routing.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// Calls the endpoint beside the agent over HTTP, and says what each attempt
// came to.
class EndpointCaller {
 public:
  using OnOutcome = std::function<auto(EndpointOutcome)->void>;

  EndpointCaller(std::string base_url, uint32_t connections);

  // `on_outcome` runs on the caller's thread.
  auto Start(const CallEndpoint& call, const OnOutcome& on_outcome) -> void;

 private:
  std::string base_url_;
  HttpCaller http_;
};

// What an answer of the endpoint means for the attempt.
auto OutcomeOf(uint64_t attempt_id,
               const HttpClientAnswer& answer,
               std::chrono::microseconds service_time) -> EndpointOutcome;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_ENDPOINT_CALLER_H_
