#ifndef RHUBARBHAVEN_BASE_SETTINGS_CHECK_H_
#define RHUBARBHAVEN_BASE_SETTINGS_CHECK_H_

#include <absl/status/statusor.h>

#include <string>

#include "Schema/schema.h"

namespace rhubarbhaven {

// Reads and checks the settings file of a daemon, including the checks that
// involve more than one field. The error is one line that names the file, the
// field, the value found and the values allowed.
auto LoadDaemonSettings(const std::string& path)
    -> absl::StatusOr<schema::DaemonSettings>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_SETTINGS_CHECK_H_
