#ifndef RHUBARBHAVEN_TESTS_SUPPORT_PLATFORM_SETTINGS_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_PLATFORM_SETTINGS_H_

#include <string>

namespace rhubarbhaven::test {

auto LoopbackAddress(int port) -> std::string;

// Addresses of one entry on the platform.
struct EntryPlace {
  std::string id;
  std::string callers_address;
  std::string ready_address;
  std::string log_address;
};

// Addresses of one agent on the platform.
struct AgentPlace {
  std::string id;
  std::string heartbeat_address;
  std::string worker_address;
  std::string link_address;
  std::string log_address;
};

// The text of a settings file of `rhubarbhavend`.
auto SettingsOf(const EntryPlace& place) -> std::string;
auto SettingsOf(const AgentPlace& place) -> std::string;

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_SUPPORT_PLATFORM_SETTINGS_H_
