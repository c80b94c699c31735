#ifndef RHUBARBHAVEN_ROUTING_ASCII_H_
#define RHUBARBHAVEN_ROUTING_ASCII_H_

#include <string_view>

#include "Base/base.h"

namespace rhubarbhaven {

// True if every byte is ASCII. The codec refuses to parse a message whose text
// fields are not UTF-8, so one foreign byte in a header would lose the whole
// message on the way; HTTP heads are ASCII by their own rules.
auto IsAscii(std::string_view text) -> bool;

// True if the request can be sent between processes as it is.
auto IsEncodable(const schema::HttpRequest& request) -> bool;

// Takes out headers that cannot be sent between processes.
auto DropUnencodable(schema::HttpAnswer& answer) -> void;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ASCII_H_
