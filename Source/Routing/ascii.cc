#include "Routing/ascii.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace rhubarbhaven {
namespace {

auto IsEncodableHeader(const schema::HttpHeader& header) -> bool {
  return IsAscii(header.name()) && IsAscii(header.value());
}

}  // namespace

auto IsAscii(std::string_view text) -> bool {
  return std::all_of(text.begin(), text.end(), [](char one) {
    return absl::ascii_isascii(static_cast<unsigned char>(one));
  });
}

auto IsEncodable(const schema::HttpRequest& request) -> bool {
  return IsAscii(request.method()) && IsAscii(request.path()) &&
         std::all_of(request.headers().begin(), request.headers().end(),
                     IsEncodableHeader);
}

auto RemoveUnencodableHeaders(schema::HttpAnswer& answer) -> void {
  auto& headers = *answer.mutable_headers();
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [](const schema::HttpHeader& header) {
                                 return !IsEncodableHeader(header);
                               }),
                headers.end());
}

}  // namespace rhubarbhaven
