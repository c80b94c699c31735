#ifndef RHUBARBHAVEN_TESTS_SUPPORT_PLATFORM_SETTINGS_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_PLATFORM_SETTINGS_H_

#include <string>

namespace rhubarbhaven::test {

auto LoopbackAddress(int port) -> std::string;

// Id and addresses of an entry on the platform.
struct EntryAddresses {
  std::string id;
  std::string callers_address;
  std::string ready_address;
  std::string log_address;
  // Bandwidth of its link that it is told; zero to tell it nothing.
  int link_mbps = 0;
};

// Id and addresses of an agent on the platform.
struct AgentAddresses {
  std::string id;
  std::string heartbeat_address;
  std::string worker_address;
  std::string link_address;
  std::string log_address;
};

// Returns the text of a settings file of `rhubarbhavend`.
auto RenderSettings(const EntryAddresses& addresses) -> std::string;
auto RenderSettings(const AgentAddresses& addresses) -> std::string;

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_SUPPORT_PLATFORM_SETTINGS_H_
