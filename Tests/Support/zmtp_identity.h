#ifndef RHUBARBHAVEN_TESTS_SUPPORT_ZMTP_IDENTITY_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_ZMTP_IDENTITY_H_

#include <optional>
#include <string>
#include <string_view>

namespace rhubarbhaven::test {

// Returns the routing id that a ZeroMQ peer states in its READY command, given
// the first bytes that it sends (ZMTP 3.x, mechanism NULL). Returns nullopt if
// the command is not complete or states no id.
auto ZmtpIdentity(std::string_view bytes) -> std::optional<std::string>;

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_SUPPORT_ZMTP_IDENTITY_H_
