#include "Daemon/endpoint_caller.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace rhubarbhaven {
namespace {

constexpr char kAttemptHeader[] = "rhubarbhaven-attempt-id";

// True if the endpoint echoed the id of another attempt. An answer without the
// header is accepted, since endpoints need not support it.
auto IsMismatched(uint64_t attempt_id, const schema::HttpAnswer& http) -> bool {
  for (const auto& header : http.headers()) {
    if (header.name() == kAttemptHeader && !header.value().empty()) {
      return header.value() != absl::StrCat(attempt_id);
    }
  }
  return false;
}

}  // namespace

EndpointCaller::EndpointCaller(std::string base_url, uint32_t connections)
    : base_url_(std::move(base_url)), http_(static_cast<int>(connections)) {}

auto EndpointCaller::Start(const CallEndpoint& call,
                           const OnOutcome& on_outcome) -> void {
  HttpClientRequest request;
  request.method = call.http.method();
  request.url = base_url_ + call.http.path();
  request.body = call.http.body();
  request.headers.assign(call.http.headers().begin(),
                         call.http.headers().end());
  auto& attempt = request.headers.emplace_back();
  attempt.set_name(kAttemptHeader);
  attempt.set_value(absl::StrCat(call.attempt_id));
  request.timeout = call.timeout;
  // That a kept-alive connection is closed may show only after the request was
  // sent, and a non-repeatable request cannot be retried then. It is sent on a
  // new connection.
  request.fresh_connection = !call.repeatable;
  const uint64_t attempt_id = call.attempt_id;
  const TimePoint begun = Clock::now();
  const bool accepted = http_.Start(
      std::move(request),
      [attempt_id, begun, on_outcome](const HttpClientAnswer& answer) -> void {
        const auto service_time =
            std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                                  begun);
        on_outcome(OutcomeOf(attempt_id, answer, service_time));
      });
  if (!accepted) {
    EndpointOutcome outcome;
    outcome.attempt_id = attempt_id;
    outcome.verdict = schema::NOT_RUN;
    outcome.reason = schema::RING_FULL;
    on_outcome(outcome);
  }
}

auto OutcomeOf(uint64_t attempt_id,
               const HttpClientAnswer& answer,
               std::chrono::microseconds service_time) -> EndpointOutcome {
  EndpointOutcome outcome;
  outcome.attempt_id = attempt_id;
  outcome.service_time = service_time;
  if (answer.complete && IsMismatched(attempt_id, answer.http)) {
    outcome.verdict = schema::MAY_HAVE_RUN;
    outcome.reason = schema::ENDPOINT_ANSWER_MISMATCHED;
  } else if (answer.complete) {
    outcome.verdict = schema::ANSWERED;
    outcome.http = answer.http;
  } else {
    outcome.verdict =
        answer.maybe_sent ? schema::MAY_HAVE_RUN : schema::NOT_RUN;
    outcome.reason = answer.reason;
  }
  return outcome;
}

}  // namespace rhubarbhaven
