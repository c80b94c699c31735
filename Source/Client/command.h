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

// What a command works with.
struct CommandContext {
  std::vector<std::string> arguments;
  std::ostream& out;
  std::ostream& err;
  // The command ends by then.
  TimePoint deadline;
};

struct Command {
  std::string name;
  // How the arguments are written, for instance "FILE".
  std::string synopsis;
  std::string summary;
  std::vector<std::string> options;
  // Number of arguments, beside options.
  std::size_t least_arguments = 0;
  std::size_t most_arguments = 0;
  std::function<auto(CommandContext*)->ExitCode> run;
};

// All commands, in the order in which they are listed.
auto Commands() -> const std::vector<Command>&;

// Prints the problem and returns the exit code that fits the status:
// InvalidArgument and NotFound are usage, Aborted a conflict,
// FailedPrecondition a refusal, Unavailable unreachable, DeadlineExceeded
// a timeout.
auto Fail(CommandContext* context, const absl::Status& status) -> ExitCode;

// The message in JSON with the field names of the schema, on one line.
auto ToJson(const google::protobuf::Message& message) -> std::string;

// Base URLs from options or environment; an error says what to give.
auto LogUrl() -> absl::StatusOr<std::string>;
auto EntryUrls() -> absl::StatusOr<std::vector<std::string>>;

// Time left to the deadline, at least one millisecond.
auto TimeLeft(TimePoint deadline) -> std::chrono::milliseconds;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_COMMAND_H_
