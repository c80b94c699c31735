#include "Daemon/operator_api.h"

#include <absl/strings/numbers.h>
#include <google/protobuf/util/json_util.h>

#include <optional>

namespace rhubarbhaven {
namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kBadRequest = 400;

auto Json(const google::protobuf::Message& message, unsigned status = 200)
    -> HttpServerAnswer {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  HttpServerAnswer answer;
  answer.status = status;
  answer.headers["Content-Type"] = "application/json";
  static_cast<void>(google::protobuf::util::MessageToJsonString(
      message, &answer.body, options));
  answer.body += "\n";
  return answer;
}

auto TaskOf(const HttpServerRequest& request) -> std::optional<schema::TaskId> {
  const auto partner = request.query.find("partner");
  const auto job = request.query.find("job");
  const auto index = request.query.find("index");
  uint32_t number = 0;
  if (partner == request.query.end() || job == request.query.end() ||
      index == request.query.end() ||
      !absl::SimpleAtoi(index->second, &number)) {
    return std::nullopt;
  }
  schema::TaskId task;
  task.set_partner(partner->second);
  task.set_job(job->second);
  task.set_index(number);
  return task;
}

// An empty `message` means that the entry does not own the task's cell.
template <typename Message>
auto OrNotFound(const std::optional<Message>& message) -> HttpServerAnswer {
  return message ? Json(*message) : Json(Message(), kNotFound);
}

}  // namespace

OperatorApi::OperatorApi(ControlThread* control, RouterThread* router)
    : control_(control), router_(router) {}

auto OperatorApi::Handle(const HttpServerRequest& request,
                         const HttpResponder& respond) -> void {
  const std::string operation = request.path.substr(sizeof(kOperatorPath) - 1);
  const bool is_get = request.method == "GET";
  if (operation == "status" && is_get) {
    AnswerStatus(respond);
  } else if (operation == "tasks" && is_get) {
    AnswerTasks(respond);
  } else if ((operation == "explain" && is_get) ||
             (operation == "evict" && request.method == "POST")) {
    HandleTask(operation, request, respond);
  } else {
    respond({kNotFound, {}, "No such operator call.\n"});
  }
}

auto OperatorApi::HandleTask(const std::string& operation,
                             const HttpServerRequest& request,
                             const HttpResponder& respond) -> void {
  const auto task = TaskOf(request);
  if (!task) {
    respond({kBadRequest, {}, "partner, job and index are needed.\n"});
    return;
  }
  const auto answer = [respond](const auto& message) -> void {
    respond(OrNotFound(message));
  };
  if (operation == "explain") {
    control_->Explain(*task, answer);
  } else {
    control_->Evict(*task, answer);
  }
}

auto OperatorApi::AnswerStatus(const HttpResponder& respond) -> void {
  control_->Status(
      [this, respond](const schema::OperatorStatus& status) -> void {
        router_->Endpoints(
            [status, respond](const std::vector<EndpointView>& views) -> void {
              schema::OperatorStatus combined = status;
              for (const auto& view : views) {
                auto* endpoint = combined.add_endpoints();
                endpoint->set_agent(view.agent);
                endpoint->set_partner(view.partner);
                endpoint->set_service(view.service);
                endpoint->set_state(view.state);
                endpoint->set_credits(view.credits);
                endpoint->set_in_progress(view.in_progress);
                endpoint->set_service_time_us(
                    static_cast<uint64_t>(view.service_time.count()));
              }
              respond(Json(combined));
            });
      });
}

auto OperatorApi::AnswerTasks(const HttpResponder& respond) -> void {
  control_->Tasks(
      [respond](bool owned, const schema::OperatorTasks& tasks) -> void {
        constexpr unsigned kOk = 200;
        respond(Json(tasks, owned ? kOk : kNotFound));
      });
}

}  // namespace rhubarbhaven
