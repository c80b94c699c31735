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

auto BadTask() -> HttpServerAnswer {
  return {kBadRequest, {}, "partner, job and index are needed.\n"};
}

}  // namespace

OperatorApi::OperatorApi(ControlDuty* control, RouterDuty* router)
    : control_(control), router_(router) {}

auto OperatorApi::Handle(const HttpServerRequest& request,
                         const HttpResponder& respond) -> void {
  const std::string what = request.path.substr(sizeof(kOperatorPath) - 1);
  const auto task = TaskOf(request);
  if (what == "status" && request.method == "GET") {
    AnswerStatus(respond);
  } else if (what == "tasks" && request.method == "GET") {
    AnswerTasks(respond);
  } else if (what == "explain" && request.method == "GET") {
    if (!task) {
      respond(BadTask());
      return;
    }
    control_->Explain(
        *task, [respond](const schema::OperatorExplanation& text) -> void {
          respond(Json(text));
        });
  } else if (what == "evict" && request.method == "POST") {
    if (!task) {
      respond(BadTask());
      return;
    }
    control_->Evict(*task,
                    [respond](const schema::OperatorReply& reply) -> void {
                      respond(Json(reply));
                    });
  } else {
    respond({kNotFound, {}, "No such operator call.\n"});
  }
}

auto OperatorApi::AnswerStatus(const HttpResponder& respond) -> void {
  control_->Status(
      [this, respond](const schema::OperatorStatus& status) -> void {
        router_->Endpoints(
            [status, respond](const std::vector<EndpointView>& views) -> void {
              schema::OperatorStatus whole = status;
              for (const auto& view : views) {
                auto* endpoint = whole.add_endpoints();
                endpoint->set_agent(view.agent);
                endpoint->set_partner(view.partner);
                endpoint->set_service(view.service);
                endpoint->set_state(view.state);
                endpoint->set_credits(view.credits);
                endpoint->set_in_progress(view.in_progress);
                endpoint->set_service_time_us(
                    static_cast<uint64_t>(view.service_time.count()));
              }
              respond(Json(whole));
            });
      });
}

auto OperatorApi::AnswerTasks(const HttpResponder& respond) -> void {
  control_->Tasks([respond](const schema::OperatorTasks& tasks) -> void {
    const bool owned = tasks.tasks_size() > 0 || tasks.owner().empty();
    respond(Json(tasks, owned ? 200 : kNotFound));
  });
}

}  // namespace rhubarbhaven
