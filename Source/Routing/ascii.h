#ifndef RHUBARBHAVEN_ROUTING_ASCII_H_
#define RHUBARBHAVEN_ROUTING_ASCII_H_

#include <string_view>

#include "Base/base.h"

namespace rhubarbhaven {

// True if every byte is ASCII. Protobuf does not parse a message whose string
// fields are not valid UTF-8, so one such byte in a header would lose the whole
// message. The start line and headers of HTTP messages are ASCII by
// specification.
auto IsAscii(std::string_view text) -> bool;

// True if the request can be sent unchanged in a protobuf message.
auto IsEncodable(const schema::HttpRequest& request) -> bool;

// Removes headers that cannot be sent in a protobuf message.
auto RemoveUnencodableHeaders(schema::HttpAnswer& answer) -> void;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ASCII_H_
