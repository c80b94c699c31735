#ifndef RHUBARBHAVEN_BASE_JSON_FILE_H_
#define RHUBARBHAVEN_BASE_JSON_FILE_H_

#include <absl/status/status.h>
#include <google/protobuf/message.h>

#include <string>

namespace rhubarbhaven {

// Reads a JSON file into `message`, rejects unknown fields, checks every field
// against the rules of the schema and fills in the fallbacks. The error is one
// line that names the file, the field, the value found and the values allowed.
auto LoadJsonFile(const std::string& path, google::protobuf::Message* message)
    -> absl::Status;

// Like `LoadJsonFile`, for a JSON text. Errors name `origin` as the file.
auto ParseJson(const std::string& origin,
               const std::string& text,
               google::protobuf::Message* message) -> absl::Status;

// Only checks the field rules and fills in the fallbacks.
auto CheckFieldRules(const std::string& origin,
                     google::protobuf::Message* message) -> absl::Status;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_JSON_FILE_H_
