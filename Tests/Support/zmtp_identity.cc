#include "Tests/Support/zmtp_identity.h"

#include <algorithm>
#include <cctype>
#include <cstddef>

namespace rhubarbhaven::test {
namespace {

constexpr std::size_t kGreetingBytes = 64;
constexpr char kGreetingStart = '\xff';
constexpr char kShortCommand = 4;
constexpr std::string_view kReady = "READY";
constexpr std::string_view kIdentity = "identity";
constexpr std::size_t kValueLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

// Removes the next bytes from `rest`; returns nullopt if it has fewer.
auto Take(std::string_view* rest, std::size_t size)
    -> std::optional<std::string_view> {
  if (rest->size() < size) {
    return std::nullopt;
  }
  const std::string_view taken = rest->substr(0, size);
  rest->remove_prefix(size);
  return taken;
}

// Removes a length of this many bytes, most significant first, and as many
// bytes as it says.
auto TakeCounted(std::string_view* rest, std::size_t length_bytes)
    -> std::optional<std::string_view> {
  const auto length = Take(rest, length_bytes);
  if (!length) {
    return std::nullopt;
  }
  std::size_t size = 0;
  for (const char byte : *length) {
    size = (size << kBitsPerByte) | static_cast<unsigned char>(byte);
  }
  return Take(rest, size);
}

// Names of properties are case-insensitive.
auto IsIdentity(std::string_view name) -> bool {
  return std::equal(name.begin(), name.end(), kIdentity.begin(),
                    kIdentity.end(), [](char a, char b) -> bool {
                      return std::tolower(static_cast<unsigned char>(a)) == b;
                    });
}

}  // namespace

auto ZmtpIdentity(std::string_view bytes) -> std::optional<std::string> {
  std::string_view rest = bytes;
  const auto greeting = Take(&rest, kGreetingBytes);
  const auto flags = Take(&rest, 1);
  if (!greeting || greeting->front() != kGreetingStart || !flags ||
      flags->front() != kShortCommand) {
    return std::nullopt;
  }
  auto command = TakeCounted(&rest, 1);
  if (!command || TakeCounted(&*command, 1) != kReady) {
    return std::nullopt;
  }
  while (!command->empty()) {
    const auto name = TakeCounted(&*command, 1);
    const auto value = TakeCounted(&*command, kValueLengthBytes);
    if (!name || !value) {
      return std::nullopt;
    }
    if (IsIdentity(*name)) {
      return std::string(*value);
    }
  }
  return std::nullopt;
}

}  // namespace rhubarbhaven::test
