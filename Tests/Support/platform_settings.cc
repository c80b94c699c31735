#include "Tests/Support/platform_settings.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace rhubarbhaven::test {

auto LoopbackAddress(int port) -> std::string {
  return absl::StrCat("127.0.0.1:", port);
}

auto SettingsOf(const EntryPlace& place) -> std::string {
  return absl::StrFormat(R"({"role":"entry","id":"%s","failure_domain":"zone",)"
                         R"("logging":{"form":"json"},"platform":{)"
                         R"("callers_address":"%s","ready_address":"%s",)"
                         R"("log_address":"%s","stop_grace_ms":4000}})",
                         place.id, place.callers_address, place.ready_address,
                         place.log_address);
}

auto SettingsOf(const AgentPlace& place) -> std::string {
  return absl::StrFormat(R"({"role":"agent","id":"%s","failure_domain":"zone",)"
                         R"("logging":{"form":"json"},"platform":{)"
                         R"("heartbeat_address":"%s","worker_address":"%s",)"
                         R"("link_endpoint":"tcp://%s","log_address":"%s"}})",
                         place.id, place.heartbeat_address,
                         place.worker_address, place.link_address,
                         place.log_address);
}

}  // namespace rhubarbhaven::test
