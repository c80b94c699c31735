#ifndef RHUBARBHAVEN_DAEMON_CALLER_API_H_
#define RHUBARBHAVEN_DAEMON_CALLER_API_H_

#include <string>
#include <variant>

#include "Routing/routing.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

// Path under which callers reach a service:
// /call/PARTNER/SERVICE/REST-OF-PATH
inline constexpr char kCallPath[] = "/call/";

// Reads a caller's request: the service from the path, the deadline from
// Rhubarbhaven-Deadline-Ms, the key from Idempotency-Key, and whether it may
// be repeated from the method or Rhubarbhaven-Repeatable. Gives the reason if
// it is refused.
auto ParseCallerRequest(const HttpServerRequest& http,
                        const schema::EntrySettings& settings,
                        uint64_t ticket)
    -> std::variant<CallerRequest, schema::Reason>;

// The final answer in HTTP, with verdict, reason and Retry-After.
auto RenderReply(const CallerReply& reply, const std::string& request_id)
    -> HttpServerAnswer;

// The answer to a request that was refused before it was routed.
auto RenderRefusal(schema::Reason reason, std::chrono::milliseconds retry_after)
    -> HttpServerAnswer;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_CALLER_API_H_
