#ifndef RHUBARBHAVEN_DAEMON_CALLER_API_H_
#define RHUBARBHAVEN_DAEMON_CALLER_API_H_

#include <string>
#include <variant>

#include "Routing/routing.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// Prefix of the paths under which callers reach a service:
// /call/PARTNER/SERVICE/REST-OF-PATH
inline constexpr char kCallPath[] = "/call/";

// Parses a caller's request: the service from the path, the deadline in
// milliseconds from Rhubarbhaven-Deadline-Ms, the idempotency key from
// Idempotency-Key, and whether it may be repeated from the method or
// Rhubarbhaven-Repeatable. Returns the reason if the request is rejected.
auto ParseCallerRequest(const HttpServerRequest& http,
                        const schema::EntrySettings& settings,
                        uint64_t ticket)
    -> std::variant<CallerRequest, schema::Reason>;

// Renders the final answer as HTTP, with the verdict, the reason and
// Retry-After.
auto RenderReply(const CallerReply& reply, const std::string& request_id)
    -> HttpServerAnswer;

// Renders the answer to a request that was rejected before it was routed.
auto RenderRejection(schema::Reason reason,
                     std::chrono::milliseconds retry_after) -> HttpServerAnswer;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_CALLER_API_H_
