#ifndef RHUBARBHAVEN_CLIENT_COMMAND_H_
#define RHUBARBHAVEN_CLIENT_COMMAND_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <google/protobuf/message.h>

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Client/command_line.h"

namespace rhubarbhaven {

// The input and output of a command.
struct CommandContext {
  std::vector<std::string> arguments;
  std::ostream& out;
  std::ostream& err;
  // Time by which the command must end.
  TimePoint deadline;
};

struct Command {
  std::string name;
  // The arguments as the help text shows them, for example "FILE".
  std::string synopsis;
  std::string summary;
  std::vector<std::string> options;
  // Number of positional arguments.
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  std::function<auto(CommandContext*)->ExitCode> run;
};

// All commands, in the order in which the help text lists them.
auto Commands() -> const std::vector<Command>&;

// Prints the error and returns the exit code of the status: kUsage for
// InvalidArgument and NotFound, kConflict for Aborted, kRefused for
// FailedPrecondition, kUnreachable for Unavailable and DataLoss, kTimeout for
// DeadlineExceeded, and kFailed for all others.
auto Fail(CommandContext* context, const absl::Status& status) -> ExitCode;

// Formats the message as one line of JSON, with the field names of the schema.
auto ToJson(const google::protobuf::Message& message) -> std::string;

// Base URLs from the options or the environment. Returns InvalidArgument with
// the missing option if neither gives one.
auto LogUrl() -> absl::StatusOr<std::string>;
auto EntryUrls() -> absl::StatusOr<std::vector<std::string>>;

// Time until the deadline, at least one millisecond.
auto TimeLeft(TimePoint deadline) -> std::chrono::milliseconds;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_COMMAND_H_
