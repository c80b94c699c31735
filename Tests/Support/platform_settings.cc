#include "Tests/Support/platform_settings.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace rhubarbhaven::test {

auto LoopbackAddress(int port) -> std::string {
  return absl::StrCat("127.0.0.1:", port);
}

auto RenderSettings(const EntryAddresses& addresses) -> std::string {
  return absl::StrFormat(
      R"({"role":"entry","id":"%s","failure_domain":"zone",)"
      R"("logging":{"form":"json"},"platform":{)"
      R"("callers_address":"%s","ready_address":"%s",)"
      R"("log_address":"%s","stop_grace_ms":4000%s}})",
      addresses.id, addresses.callers_address, addresses.ready_address,
      addresses.log_address,
      addresses.link_mbps > 0
          ? absl::StrCat(",\"link_mbps\":", addresses.link_mbps)
          : "");
}

auto RenderSettings(const AgentAddresses& addresses) -> std::string {
  return absl::StrFormat(R"({"role":"agent","id":"%s","failure_domain":"zone",)"
                         R"("logging":{"form":"json"},"platform":{)"
                         R"("heartbeat_address":"%s","worker_address":"%s",)"
                         R"("link_endpoint":"tcp://%s","log_address":"%s"}})",
                         addresses.id, addresses.heartbeat_address,
                         addresses.worker_address, addresses.link_address,
                         addresses.log_address);
}

}  // namespace rhubarbhaven::test
