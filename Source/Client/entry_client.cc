#include "Client/entry_client.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <google/protobuf/util/json_util.h>

#include <utility>

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{2000};
constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpNotFound = 404;
constexpr std::size_t kMaxAnswerBytes = 64 << 20;

// Names need no escaping in a query: the check of the register allows no bytes
// that would.
auto Query(const TaskName& task) -> std::string {
  return absl::StrCat("?partner=", task.partner, "&job=", task.job,
                      "&index=", task.index);
}

}  // namespace

auto ParseTaskName(const std::string& text) -> absl::StatusOr<TaskName> {
  const std::vector<std::string> parts = absl::StrSplit(text, '/');
  TaskName task;
  if (parts.size() != 3 || parts[0].empty() || parts[1].empty() ||
      !absl::SimpleAtoi(parts[2], &task.index)) {
    return absl::InvalidArgumentError(
        absl::StrCat("task: found \"", text,
                     "\", allowed is PARTNER/JOB/INDEX, as \"tasks\" lists"));
  }
  task.partner = parts[0];
  task.job = parts[1];
  return task;
}

EntryClient::EntryClient(std::vector<std::string> urls)
    : urls_(std::move(urls)) {}

auto EntryClient::urls() const -> const std::vector<std::string>& {
  return urls_;
}

auto EntryClient::Call(const std::string& method,
                       const std::string& url,
                       const std::string& path,
                       google::protobuf::Message* answer) -> absl::Status {
  HttpClientRequest request;
  request.method = method;
  request.url = url + path;
  request.timeout = kCallTimeout;
  request.max_answer_bytes = kMaxAnswerBytes;
  const auto reply = http_.Call(request);
  if (!reply.complete) {
    return absl::UnavailableError(
        absl::StrCat("entry ", url, ": ", reply.error));
  }
  const unsigned status = reply.http.status();
  google::protobuf::util::JsonParseOptions options;
  // A newer entry may send fields that this client does not know.
  options.ignore_unknown_fields = true;
  const auto parsed = google::protobuf::util::JsonStringToMessage(
      reply.http.body(), answer, options);
  if (status == kHttpNotFound) {
    return absl::NotFoundError(
        absl::StrCat("entry ", url, ": does not own the cell"));
  }
  if (status != kHttpOk || !parsed.ok()) {
    return absl::UnavailableError(absl::StrCat(
        "entry ", url, ": answered status ", status, " to ", path));
  }
  return absl::OkStatus();
}

auto EntryClient::CallAny(const std::string& method,
                          const std::string& path,
                          google::protobuf::Message* answer) -> absl::Status {
  absl::Status problem;
  for (const auto& url : urls_) {
    answer->Clear();
    auto status = Call(method, url, path, answer);
    if (status.ok()) {
      return status;
    }
    // An entry that cannot be reached may be the owner, so its error takes
    // precedence over "does not own the cell" from the others.
    if (problem.ok() || !absl::IsUnavailable(problem)) {
      problem = std::move(status);
    }
  }
  return absl::IsNotFound(problem)
             ? absl::UnavailableError(
                   "no entry owns the cell at the moment; try again")
             : problem;
}

auto EntryClient::Status(const std::string& url)
    -> absl::StatusOr<schema::OperatorStatus> {
  schema::OperatorStatus answer;
  auto status = Call("GET", url, "/operator/v1/status", &answer);
  if (!status.ok()) {
    return status;
  }
  return answer;
}

auto EntryClient::Tasks(const std::string& url)
    -> absl::StatusOr<schema::OperatorTasks> {
  schema::OperatorTasks answer;
  auto status = Call("GET", url, "/operator/v1/tasks", &answer);
  if (!status.ok()) {
    return status;
  }
  return answer;
}

auto EntryClient::Explain(const TaskName& task) -> absl::StatusOr<std::string> {
  schema::OperatorExplanation answer;
  auto status = CallAny("GET", "/operator/v1/explain" + Query(task), &answer);
  if (!status.ok()) {
    return status;
  }
  return answer.text();
}

auto EntryClient::Evict(const TaskName& task) -> absl::Status {
  schema::OperatorReply answer;
  auto status = CallAny("POST", "/operator/v1/evict" + Query(task), &answer);
  if (status.ok() && !answer.ok()) {
    return absl::FailedPreconditionError(answer.problem());
  }
  return status;
}

}  // namespace rhubarbhaven
