#include "Daemon/caller_api.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

namespace rhubarbhaven {
namespace {

constexpr char kDeadlineHeader[] = "rhubarbhaven-deadline-ms";
constexpr char kRequestIdHeader[] = "rhubarbhaven-request-id";
constexpr char kRepeatableHeader[] = "rhubarbhaven-repeatable";
constexpr char kKeyHeader[] = "idempotency-key";
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxKeyBytes = 256;

// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1), and
// headers that each hop sets itself.
constexpr std::array kHopHeaders = {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",    "transfer-encoding",  "upgrade",
    "host",       "expect",     "content-length",     kDeadlineHeader};

auto IsHopHeader(const std::string& name) -> bool {
  return std::find(kHopHeaders.begin(), kHopHeaders.end(), name) !=
         kHopHeaders.end();
}

auto Header(const HttpServerRequest& http, const std::string& name)
    -> std::string {
  const auto found = http.headers.find(name);
  return found == http.headers.end() ? "" : found->second;
}

// Idempotent methods may be repeated (RFC 9110, section 9.2.2).
auto IsRepeatableMethod(const std::string& method) -> bool {
  return method != "POST" && method != "PATCH";
}

auto EscapeQuery(const std::string& text) -> std::string {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (absl::ascii_isalnum(byte) || absl::StrContains("-._~", {&c, 1})) {
      escaped += c;
    } else {
      escaped += '%';
      escaped += kHex[byte >> 4];
      escaped += kHex[byte & 0xf];
    }
  }
  return escaped;
}

auto PathAndQuery(const std::string& path, const HttpServerRequest& http)
    -> std::string {
  std::string text = absl::StrCat("/", path);
  char separator = '?';
  for (const auto& [name, value] : http.query) {
    absl::StrAppend(&text, std::string(1, separator), EscapeQuery(name), "=",
                    EscapeQuery(value));
    separator = '&';
  }
  return text;
}

auto ParseDeadline(const HttpServerRequest& http,
                   const schema::EntrySettings& settings)
    -> std::optional<TimePoint> {
  const std::string text = Header(http, kDeadlineHeader);
  uint32_t milliseconds = settings.default_deadline_ms();
  if (!text.empty() && !absl::SimpleAtoi(text, &milliseconds)) {
    return std::nullopt;
  }
  if (milliseconds == 0 || milliseconds > settings.max_deadline_ms()) {
    return std::nullopt;
  }
  return http.received + std::chrono::milliseconds(milliseconds);
}

auto HttpStatus(schema::Reason reason) -> unsigned {
  switch (reason) {
    case schema::BAD_REQUEST:
    case schema::DEADLINE_INVALID:
      return 400;
    case schema::UNKNOWN_PARTNER:
    case schema::UNKNOWN_SERVICE:
      return 404;
    case schema::BODY_TOO_LARGE:
      return 413;
    case schema::KEY_REUSED_FOR_OTHER_REQUEST:
      return 422;
    default:
      return 503;
  }
}

auto IsReturnedToCaller(const std::string& name) -> bool {
  return !IsHopHeader(name) && name != "rhubarbhaven-attempt-id";
}

auto AddVerdict(HttpServerAnswer& answer,
                schema::Verdict verdict,
                schema::Reason reason,
                std::chrono::milliseconds retry_after) -> void {
  answer.headers["Rhubarbhaven-Verdict"] = VerdictName(verdict);
  if (reason != schema::REASON_NONE) {
    answer.headers["Rhubarbhaven-Reason"] = ReasonName(reason);
  }
  if (retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    answer.headers["Retry-After"] = absl::StrCat(seconds.count());
  }
}

}  // namespace

auto ParseCallerRequest(const HttpServerRequest& http,
                        const schema::EntrySettings& settings,
                        uint64_t ticket)
    -> std::variant<CallerRequest, schema::Reason> {
  const std::vector<std::string> parts = absl::StrSplit(
      http.path.substr(sizeof(kCallPath) - 1), absl::MaxSplits('/', 2));
  constexpr std::size_t kPartnerAndService = 2;
  if (parts.size() < kPartnerAndService || parts[0].empty() ||
      parts[1].empty() || parts[0].size() > kMaxNameBytes ||
      parts[1].size() > kMaxNameBytes) {
    return schema::BAD_REQUEST;
  }
  const auto deadline = ParseDeadline(http, settings);
  if (!deadline) {
    return schema::DEADLINE_INVALID;
  }
  const std::string key = Header(http, kKeyHeader);
  const std::string repeatable = Header(http, kRepeatableHeader);
  if (key.size() > kMaxKeyBytes ||
      (!repeatable.empty() && repeatable != "true" && repeatable != "false")) {
    return schema::BAD_REQUEST;
  }
  CallerRequest request;
  request.ticket = ticket;
  request.request_id = Header(http, kRequestIdHeader);
  request.partner = parts[0];
  request.service = parts[1];
  request.repeatable = repeatable.empty() ? IsRepeatableMethod(http.method)
                                          : repeatable == "true";
  if (!request.repeatable && !key.empty()) {
    // The prefix keeps equal keys of different services apart.
    request.idempotency_key = absl::StrCat(parts[0], "/", parts[1], "/", key);
  }
  request.deadline = *deadline;
  request.http.set_method(http.method);
  request.http.set_path(PathAndQuery(parts.size() > 2 ? parts[2] : "", http));
  request.http.set_body(http.body);
  for (const auto& [name, value] : http.headers) {
    if (!IsHopHeader(name)) {
      auto* header = request.http.add_headers();
      header->set_name(name);
      header->set_value(value);
    }
  }
  return request;
}

auto RenderReply(const CallerReply& reply, const std::string& request_id)
    -> HttpServerAnswer {
  HttpServerAnswer answer;
  if (reply.verdict == schema::ANSWERED) {
    answer.status = reply.http.status();
    answer.body = reply.http.body();
    for (const auto& header : reply.http.headers()) {
      if (IsReturnedToCaller(header.name())) {
        answer.headers[header.name()] = header.value();
      }
    }
  } else {
    constexpr unsigned kGatewayTimeout = 504;
    answer.status = reply.verdict == schema::NOT_RUN ? HttpStatus(reply.reason)
                                                     : kGatewayTimeout;
    answer.body = absl::StrCat(VerdictName(reply.verdict), ": ",
                               ReasonName(reply.reason), "\n");
  }
  AddVerdict(answer, reply.verdict, reply.reason, reply.retry_after);
  answer.headers["Rhubarbhaven-Request-Id"] = request_id;
  if (!reply.endpoint.empty()) {
    answer.headers["Rhubarbhaven-Endpoint"] = reply.endpoint;
  }
  return answer;
}

auto RenderRejection(schema::Reason reason,
                     std::chrono::milliseconds retry_after)
    -> HttpServerAnswer {
  HttpServerAnswer answer;
  answer.status = HttpStatus(reason);
  answer.body = absl::StrCat(VerdictName(schema::NOT_RUN), ": ",
                             ReasonName(reason), "\n");
  AddVerdict(answer, schema::NOT_RUN, reason, retry_after);
  return answer;
}

}  // namespace rhubarbhaven
