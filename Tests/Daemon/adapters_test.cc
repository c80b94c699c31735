#include <gtest/gtest.h>

#include "Daemon/caller_api.h"
#include "Daemon/endpoint_caller.h"

namespace rhubarbhaven {
namespace {

struct OutcomeCase {
  std::string name;
  bool complete;
  bool maybe_sent;
  std::string echoed_attempt;
  schema::Verdict verdict;
  schema::Reason reason;
};

auto PrintTo(const OutcomeCase& one, std::ostream* out) -> void {
  *out << one.name;
}

class EndpointOutcomeTest : public testing::TestWithParam<OutcomeCase> {};

// Guards against a caller that receives the answer to another attempt: the
// endpoint swaps two answers, and the agent accepts any answer that arrives on
// the connection.
TEST_P(EndpointOutcomeTest, MapsAnswerToOutcome) {
  const OutcomeCase& one = GetParam();
  HttpClientAnswer answer;
  answer.complete = one.complete;
  answer.maybe_sent = one.maybe_sent;
  answer.reason = one.complete ? schema::REASON_NONE : one.reason;
  if (!one.echoed_attempt.empty()) {
    auto* header = answer.http.add_headers();
    header->set_name("rhubarbhaven-attempt-id");
    header->set_value(one.echoed_attempt);
  }
  constexpr uint64_t kAttempt = 7;
  const auto outcome =
      OutcomeOf(kAttempt, answer, std::chrono::microseconds(1));
  EXPECT_EQ(outcome.verdict, one.verdict);
  EXPECT_EQ(outcome.reason, one.reason);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    EndpointOutcomeTest,
    testing::Values(OutcomeCase{"Own", true, true, "7", schema::ANSWERED,
                                schema::REASON_NONE},
                    OutcomeCase{"NoEcho", true, true, "", schema::ANSWERED,
                                schema::REASON_NONE},
                    OutcomeCase{"Crossed", true, true, "8",
                                schema::MAY_HAVE_RUN,
                                schema::ENDPOINT_ANSWER_MISMATCHED},
                    OutcomeCase{"TimedOut", false, true, "",
                                schema::MAY_HAVE_RUN, schema::ENDPOINT_TIMEOUT},
                    OutcomeCase{"NeverSent", false, false, "", schema::NOT_RUN,
                                schema::ENDPOINT_CONNECT_FAILED}),
    [](const testing::TestParamInfo<OutcomeCase>& info) -> std::string {
      return info.param.name;
    });

auto Settings() -> schema::EntrySettings {
  schema::EntrySettings settings;
  settings.set_default_deadline_ms(2000);
  settings.set_max_deadline_ms(60000);
  return settings;
}

auto Parse(const HttpServerRequest& http)
    -> std::variant<CallerRequest, schema::Reason> {
  return ParseCallerRequest(http, Settings(), 1);
}

TEST(CallerApiTest, KeysOfDifferentServicesDiffer) {
  HttpServerRequest http;
  http.method = "POST";
  http.headers["idempotency-key"] = "k";
  http.path = "/call/a/b/c";
  const auto one = std::get<CallerRequest>(Parse(http));
  http.path = "/call/a/other/c";
  const auto other = std::get<CallerRequest>(Parse(http));
  EXPECT_FALSE(one.repeatable);
  EXPECT_NE(one.idempotency_key, other.idempotency_key);
}

TEST(CallerApiTest, ForwardsPathQueryAndHeaders) {
  HttpServerRequest http;
  http.method = "GET";
  http.path = "/call/a/b/c/d";
  http.query["q"] = "x y&z";
  http.headers["accept"] = "text/plain";
  http.headers["connection"] = "close";
  const auto request = std::get<CallerRequest>(Parse(http));
  EXPECT_TRUE(request.repeatable);
  EXPECT_EQ(request.http.path(), "/c/d?q=x%20y%26z");
  ASSERT_EQ(request.http.headers_size(), 1);
  EXPECT_EQ(request.http.headers(0).name(), "accept");
}

TEST(CallerApiTest, RejectionHasRetryAfter) {
  CallerReply reply;
  reply.verdict = schema::NOT_RUN;
  reply.reason = schema::OVERLOADED;
  reply.retry_after = std::chrono::milliseconds(1200);
  const auto answer = RenderReply(reply, "id-1");
  EXPECT_EQ(answer.status, 503U);
  EXPECT_EQ(answer.headers.at("Retry-After"), "2");
  EXPECT_EQ(answer.headers.at("Rhubarbhaven-Verdict"), "not_run");
  EXPECT_EQ(answer.headers.at("Rhubarbhaven-Request-Id"), "id-1");
}

}  // namespace
}  // namespace rhubarbhaven
