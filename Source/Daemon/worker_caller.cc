#include "Daemon/worker_caller.h"

#include <google/protobuf/util/json_util.h>

#include <utility>

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{1000};

auto PathOf(CallWorker::Kind kind) -> std::string {
  switch (kind) {
    case CallWorker::Kind::kStatus:
      return "/v1/status";
    case CallWorker::Kind::kStart:
      return "/v1/tasks/start";
    case CallWorker::Kind::kRenew:
      return "/v1/tasks/renew";
    case CallWorker::Kind::kCheckpoint:
      return "/v1/tasks/checkpoint";
    case CallWorker::Kind::kThrottle:
      return "/v1/tasks/throttle";
    case CallWorker::Kind::kUnthrottle:
      return "/v1/tasks/unthrottle";
    case CallWorker::Kind::kStop:
      return "/v1/tasks/stop";
    case CallWorker::Kind::kForget:
      return "/v1/tasks/forget";
  }
  return "";
}

auto BodyOf(const CallWorker& call) -> const google::protobuf::Message& {
  switch (call.kind) {
    case CallWorker::Kind::kStart:
      return call.start;
    case CallWorker::Kind::kRenew:
      return call.renew;
    default:
      return call.command;
  }
}

auto FromJson(const std::string& text, google::protobuf::Message* message)
    -> bool {
  google::protobuf::util::JsonParseOptions options;
  // A newer worker may send fields that this version does not know.
  options.ignore_unknown_fields = true;
  return google::protobuf::util::JsonStringToMessage(text, message, options)
      .ok();
}

}  // namespace

WorkerCaller::WorkerCaller(std::string base_url)
    : base_url_(std::move(base_url)) {}

auto WorkerCaller::Call(const CallWorker& call) -> TaskCallResult {
  TaskCallResult outcome;
  outcome.call_id = call.call_id;
  const TimePoint now = Clock::now();
  // Without this check, a process that is suspended between the decision and
  // the call would start a task after its lease has expired.
  if (now >= call.not_after) {
    outcome.not_sent = true;
    return outcome;
  }
  HttpClientRequest request;
  request.url = base_url_ + PathOf(call.kind);
  request.timeout = kCallTimeout;
  if (call.not_after - now < request.timeout) {
    request.timeout =
        std::chrono::ceil<std::chrono::milliseconds>(call.not_after - now);
  }
  // If a kept-alive connection proves to be closed, the start may or may not
  // have been received, and its outcome would have to be determined first.
  request.fresh_connection = call.kind == CallWorker::Kind::kStart;
  const bool is_status = call.kind == CallWorker::Kind::kStatus;
  if (!is_status) {
    request.method = "POST";
    static_cast<void>(google::protobuf::util::MessageToJsonString(
        BodyOf(call), &request.body));
  }
  const HttpClientAnswer answer = http_.Call(request);
  outcome.not_sent = !answer.maybe_sent;
  constexpr uint32_t kOk = 200;
  if (answer.complete && answer.http.status() == kOk) {
    google::protobuf::Message* target = &outcome.reply;
    if (is_status) {
      target = &outcome.status;
    }
    outcome.known = FromJson(answer.http.body(), target);
  }
  return outcome;
}

}  // namespace rhubarbhaven
