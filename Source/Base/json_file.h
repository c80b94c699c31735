#ifndef RHUBARBHAVEN_BASE_JSON_FILE_H_
#define RHUBARBHAVEN_BASE_JSON_FILE_H_

#include <absl/status/status.h>
#include <google/protobuf/message.h>

#include <string>

namespace rhubarbhaven {

// Reads a JSON file into `message`, rejects unknown fields, checks every
// field against the rules of the schema and fills in their fallbacks. The
// error is one line that names the file, the field, what was found and what
// is allowed.
auto LoadJsonFile(const std::string& path, google::protobuf::Message* message)
    -> absl::Status;

// The same for a text; `origin` stands for the file's name in errors.
auto ParseJson(const std::string& origin,
               const std::string& text,
               google::protobuf::Message* message) -> absl::Status;

// Checks the field rules only, and fills in fallbacks.
auto CheckFieldRules(const std::string& origin,
                     google::protobuf::Message* message) -> absl::Status;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_JSON_FILE_H_
