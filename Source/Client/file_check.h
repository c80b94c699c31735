#ifndef RHUBARBHAVEN_CLIENT_FILE_CHECK_H_
#define RHUBARBHAVEN_CLIENT_FILE_CHECK_H_

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "Journal/journal.h"

namespace rhubarbhaven {

enum class FileKind { kSettings, kRegister };

// Determines by its fields whether a file is a daemon's settings file or a
// register, and validates it. An error is one line with the file, the field,
// the value found and the values allowed.
auto CheckFile(const std::string& path) -> absl::StatusOr<FileKind>;

struct Register {
  std::string partner;
  std::vector<RegisterObject> objects;
};
auto LoadRegister(const std::string& path) -> absl::StatusOr<Register>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_FILE_CHECK_H_
