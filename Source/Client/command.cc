#include "Client/command.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cstdlib>
#include <ostream>

#include "Client/change_commands.h"
#include "Client/options.h"
#include "Client/view_commands.h"

namespace rhubarbhaven {
namespace {

constexpr char kLogUrlVariable[] = "RHUBARBHAVEN_LOG_URL";
constexpr char kEntriesVariable[] = "RHUBARBHAVEN_ENTRIES";

auto FromEnvironment(const char* name) -> std::string {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

auto CodeOf(const absl::Status& status) -> ExitCode {
  switch (status.code()) {
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kNotFound:
      return ExitCode::kUsage;
    case absl::StatusCode::kAborted:
      return ExitCode::kConflict;
    case absl::StatusCode::kFailedPrecondition:
      return ExitCode::kRefused;
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kDataLoss:
      return ExitCode::kUnreachable;
    case absl::StatusCode::kDeadlineExceeded:
      return ExitCode::kTimeout;
    default:
      return ExitCode::kFailed;
  }
}

// Prefix of error messages, which distinguishes a rejected change from a
// platform that is down.
auto Label(ExitCode code) -> const char* {
  switch (code) {
    case ExitCode::kUsage:
      return "not sent";
    case ExitCode::kConflict:
      return "conflict";
    case ExitCode::kRefused:
      return "refused";
    case ExitCode::kUnreachable:
      return "unreachable";
    case ExitCode::kTimeout:
      return "timeout";
    default:
      return "failed";
  }
}

}  // namespace

auto Commands() -> const std::vector<Command>& {
  static const std::vector<Command> commands = {
      {"check",
       "FILE",
       "Check a settings file or a register; send nothing.",
       {},
       1,
       1,
       RunCheck},
      {"apply",
       "FILE",
       "Make the partner's objects those of the register.",
       {"wait", "prune", "expect", "as"},
       1,
       1,
       RunApply},
      {"show",
       "[KIND | KIND/NAME | PARTNER/KIND/NAME]",
       "Show the objects in force in the log, with their versions.",
       {"partner"},
       0,
       1,
       RunShow},
      {"status",
       "",
       "Show entries, agents, endpoints and instances.",
       {"partner"},
       0,
       0,
       RunStatus},
      {"tasks", "", "Show the tasks of all jobs.", {"partner"}, 0, 0, RunTasks},
      {"explain",
       "PARTNER/JOB/INDEX",
       "Say why a task is where it is.",
       {},
       1,
       1,
       RunExplain},
      {"drain",
       "[PARTNER/]INSTANCE",
       "Take an instance out of use; its work moves.",
       {"wait", "undo", "as"},
       1,
       1,
       RunDrain},
      {"cancel",
       "[PARTNER/]JOB",
       "Cancel a job and stop its tasks.",
       {"wait", "as"},
       1,
       1,
       RunCancel},
      {"evict",
       "PARTNER/JOB/INDEX",
       "Ask for a task to be checkpointed, stopped and placed again.",
       {},
       1,
       1,
       RunEvict},
      {"instance lost",
       "[PARTNER/]INSTANCE",
       "Vouch that an instance is gone and runs nothing, so that its tasks "
       "may run elsewhere at once.",
       {"incarnation", "wait", "as"},
       1,
       1,
       RunInstanceLost},
  };
  return commands;
}

auto Fail(CommandContext* context, const absl::Status& status) -> ExitCode {
  const ExitCode code = CodeOf(status);
  context->err << "rhubarbhaven: " << Label(code) << ": " << status.message()
               << "\n";
  return code;
}

auto ToJson(const google::protobuf::Message& message) -> std::string {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string text;
  static_cast<void>(
      google::protobuf::util::MessageToJsonString(message, &text, options));
  return text;
}

auto LogUrl() -> absl::StatusOr<std::string> {
  const std::string url =
      FLAGS_log_url.empty() ? FromEnvironment(kLogUrlVariable) : FLAGS_log_url;
  if (url.empty()) {
    return absl::InvalidArgumentError(
        "option --log-url: is missing; give the URL of the platform's log");
  }
  return url;
}

auto EntryUrls() -> absl::StatusOr<std::vector<std::string>> {
  auto urls = ListOption(FLAGS_entry.empty() ? FromEnvironment(kEntriesVariable)
                                             : FLAGS_entry);
  if (urls.empty()) {
    return absl::InvalidArgumentError(
        "option --entry: is missing; give the URL of each entry");
  }
  return urls;
}

auto TimeLeft(TimePoint deadline) -> std::chrono::milliseconds {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - Clock::now());
  return std::max(left, std::chrono::milliseconds(1));
}

}  // namespace rhubarbhaven
