#include "Tests/Soak/entry_caller.h"

#include <absl/strings/str_cat.h>

#include "Tests/Soak/job_plan.h"

namespace rhubarbhaven::soak {
namespace {

constexpr std::chrono::seconds kCallTimeout{4};

}  // namespace

auto EntryCaller::Submit(int entry, const std::string& job) -> CallerAnswer {
  return Call(entry, "POST", job, JobBody(job, payloads_));
}

auto EntryCaller::Query(int entry, const std::string& job) -> CallerAnswer {
  return Call(entry, "GET", job, "");
}

auto EntryCaller::Cancel(int entry, const std::string& job) -> CallerAnswer {
  return Call(entry, "DELETE", job, "");
}

auto EntryCaller::Call(int entry,
                       const char* method,
                       const std::string& job,
                       const std::string& body) -> CallerAnswer {
  HttpClientRequest request;
  request.method = method;
  request.url = absl::StrCat("http://", addresses_.at(entry), "/jobs/", job);
  request.body = body;
  request.timeout = kCallTimeout;
  schema::HttpHeader host;
  host.set_name("Host");
  host.set_value("queue.example");
  request.headers.push_back(host);
  const HttpClientAnswer answer = client_.Call(request);
  if (!answer.complete) {
    return {};
  }
  return {answer.http.status(), answer.http.body()};
}

}  // namespace rhubarbhaven::soak
