#ifndef RHUBARBHAVEN_BASE_SETTINGS_CHECK_H_
#define RHUBARBHAVEN_BASE_SETTINGS_CHECK_H_

#include <absl/status/statusor.h>

#include <string>

#include "Schema/schema.h"

namespace rhubarbhaven {

// Reads and checks a daemon's settings file, with the checks that concern
// more than one field. The error is one line: file, field, found, allowed.
auto LoadDaemonSettings(const std::string& path)
    -> absl::StatusOr<schema::DaemonSettings>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_SETTINGS_CHECK_H_
