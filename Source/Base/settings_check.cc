#include "Base/settings_check.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <utility>
#include <vector>

#include "Base/json_file.h"

namespace rhubarbhaven {
namespace {

auto FieldError(const std::string& path,
                const std::string& field,
                const std::string& text) -> absl::Status {
  return absl::InvalidArgumentError(
      absl::StrCat(path, ": field \"", field, "\": ", text));
}

auto CheckLinkEndpoint(const std::string& path,
                       const std::string& field,
                       const std::string& value) -> absl::Status {
  if (!absl::StartsWith(value, "tcp://")) {
    return FieldError(
        path, field,
        absl::StrCat("found \"", value, "\", allowed is \"tcp://IP:PORT\""));
  }
  return absl::OkStatus();
}

auto CheckUrl(const std::string& path,
              const std::string& field,
              const std::string& value) -> absl::Status {
  if (!value.empty() && !absl::StartsWith(value, "http://")) {
    return FieldError(
        path, field,
        absl::StrCat("found \"", value, "\", allowed is \"http://IP:PORT\""));
  }
  return absl::OkStatus();
}

template <typename List>
auto CheckLinkEndpoints(const std::string& path,
                        const std::string& field,
                        const List& list) -> absl::Status {
  for (int i = 0; i < list.size(); ++i) {
    auto status =
        CheckLinkEndpoint(path, absl::StrCat(field, "[", i, "]"), list[i]);
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

auto CheckEntry(const std::string& path, schema::DaemonSettings& settings)
    -> absl::Status {
  if (!settings.has_entry()) {
    return FieldError(path, "entry", "is missing, the role \"entry\" needs it");
  }
  if (settings.log_url().empty()) {
    return FieldError(path, "log_url", "is missing, a value is needed");
  }
  auto& entry = *settings.mutable_entry();
  auto status =
      CheckLinkEndpoint(path, "entry.link_endpoint", entry.link_endpoint());
  if (!status.ok()) {
    return status;
  }
  if (entry.default_deadline_ms() > entry.max_deadline_ms()) {
    return FieldError(path, "entry.default_deadline_ms",
                      absl::StrCat("found ", entry.default_deadline_ms(),
                                   ", allowed is at most max_deadline_ms, ",
                                   entry.max_deadline_ms()));
  }
  return CheckLinkEndpoints(path, "entry.peers", entry.peers());
}

auto CheckAgent(const std::string& path, schema::DaemonSettings& settings)
    -> absl::Status {
  if (!settings.has_agent()) {
    return FieldError(path, "agent", "is missing, the role \"agent\" needs it");
  }
  auto& agent = *settings.mutable_agent();
  if (agent.cell().empty()) {
    agent.set_cell("cell-0");
  }
  for (const auto& [field, value] :
       {std::pair("agent.endpoint_url", agent.endpoint_url()),
        std::pair("agent.worker_url", agent.worker_url())}) {
    auto status = CheckUrl(path, field, value);
    if (!status.ok()) {
      return status;
    }
  }
  if (!agent.endpoint_url().empty() &&
      (agent.service().empty() || agent.partner().empty())) {
    return FieldError(path, "agent.service",
                      "is missing, an endpoint needs partner and service");
  }
  return CheckLinkEndpoints(path, "agent.entries", agent.entries());
}

auto CheckAddress(const std::string& path,
                  const std::string& field,
                  const std::string& value) -> absl::Status {
  const auto colon = value.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == value.size()) {
    return FieldError(
        path, field,
        absl::StrCat("found \"", value, "\", allowed is \"IP:PORT\""));
  }
  return absl::OkStatus();
}

auto CheckPlatform(const std::string& path,
                   const schema::DaemonSettings& settings) -> absl::Status {
  const auto& platform = settings.platform();
  std::vector<std::pair<std::string, std::string>> needed = {
      {"platform.log_address", platform.log_address()}};
  if (settings.role() == "entry") {
    needed.emplace_back("platform.callers_address", platform.callers_address());
    needed.emplace_back("platform.ready_address", platform.ready_address());
  } else {
    needed.emplace_back("platform.heartbeat_address",
                        platform.heartbeat_address());
    needed.emplace_back("platform.worker_address", platform.worker_address());
  }
  for (const auto& [field, value] : needed) {
    auto status = CheckAddress(path, field, value);
    if (!status.ok()) {
      return status;
    }
  }
  if (settings.role() == "agent") {
    return CheckLinkEndpoint(path, "platform.link_endpoint",
                             platform.link_endpoint());
  }
  return absl::OkStatus();
}

auto CheckRole(const std::string& path, schema::DaemonSettings& settings)
    -> absl::Status {
  if (settings.has_platform()) {
    return CheckPlatform(path, settings);
  }
  return settings.role() == "entry" ? CheckEntry(path, settings)
                                    : CheckAgent(path, settings);
}

}  // namespace

auto LoadDaemonSettings(const std::string& path)
    -> absl::StatusOr<schema::DaemonSettings> {
  schema::DaemonSettings settings;
  auto status = LoadJsonFile(path, &settings);
  if (status.ok()) {
    status = CheckUrl(path, "log_url", settings.log_url());
  }
  if (status.ok()) {
    status = CheckRole(path, settings);
  }
  if (!status.ok()) {
    return status;
  }
  return settings;
}

}  // namespace rhubarbhaven
