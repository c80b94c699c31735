#include "Client/command_line.h"

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <ostream>

#include "Client/command.h"
#include "Client/options.h"

namespace rhubarbhaven {
namespace {

constexpr char kExitCodes[] =
    "Exit codes:\n"
    "  0  done\n"
    "  1  failed for another reason\n"
    "  2  the command line or a file is wrong; nothing was sent\n"
    "  3  somebody else changed the same object first\n"
    "  4  the change was refused as invalid\n"
    "  5  the platform's log or an entry cannot be reached\n"
    "  6  the wait ended before everybody had it in force\n";

auto PrintOverview(std::ostream& out) -> void {
  out << "Usage: rhubarbhaven COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n";
  for (const auto& command : Commands()) {
    std::string name = command.name;
    name.resize(std::max<std::size_t>(name.size(), 14), ' ');
    out << "  " << name << "  " << command.summary << "\n";
  }
  out << "\n\"rhubarbhaven COMMAND --help\" describes a command.\n\n"
      << kExitCodes;
}

auto PrintHelp(const Command& command, std::ostream& out) -> void {
  out << "Usage: rhubarbhaven " << command.name
      << (command.synopsis.empty() ? "" : " ") << command.synopsis
      << " [OPTIONS]\n\n"
      << command.summary << "\n\nOptions:\n"
      << DescribeOptions(command.options) << DescribeOptions(GlobalOptions())
      << "\n"
      << kExitCodes;
}

// Removes the command's name from the front of `arguments`. Returns null if
// they begin with no command.
auto TakeCommand(std::vector<std::string>* arguments) -> const Command* {
  for (const auto& command : Commands()) {
    const auto words =
        std::count(command.name.begin(), command.name.end(), ' ') + 1;
    if (static_cast<std::ptrdiff_t>(arguments->size()) < words) {
      continue;
    }
    std::string name = arguments->front();
    for (std::ptrdiff_t i = 1; i < words; ++i) {
      absl::StrAppend(&name, " ", (*arguments)[static_cast<std::size_t>(i)]);
    }
    if (name == command.name) {
      arguments->erase(arguments->begin(), arguments->begin() + words);
      return &command;
    }
  }
  return nullptr;
}

auto IsHelp(const std::string& word) -> bool {
  return word == "help" || word == "--help" || word == "-h";
}

auto CheckArgumentCount(const Command& command, std::size_t count)
    -> absl::Status {
  if (count >= command.min_arguments && count <= command.max_arguments) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(absl::StrCat(
      "found ", count, " arguments, allowed is: rhubarbhaven ", command.name,
      command.synopsis.empty() ? "" : " ", command.synopsis));
}

}  // namespace

auto RunCommand(const std::vector<std::string>& arguments,
                std::ostream& out,
                std::ostream& err) -> ExitCode {
  // Options of an earlier call in the same process must not remain set.
  const gflags::FlagSaver saver;
  CommandContext context{arguments, out, err, TimePoint()};
  if (arguments.empty() || IsHelp(arguments.front())) {
    PrintOverview(arguments.empty() ? err : out);
    return arguments.empty() ? ExitCode::kUsage : ExitCode::kOk;
  }
  std::vector<std::string> rest = arguments;
  const Command* command = TakeCommand(&rest);
  if (command == nullptr) {
    return Fail(&context, absl::InvalidArgumentError(absl::StrCat(
                              "command: found \"", arguments.front(),
                              "\", \"rhubarbhaven --help\" lists those that "
                              "there are")));
  }
  context.arguments.clear();
  auto status = ParseOptions(rest, command->options, &context.arguments);
  if (status.ok() && FLAGS_help_command) {
    PrintHelp(*command, out);
    return ExitCode::kOk;
  }
  if (status.ok()) {
    status = CheckArgumentCount(*command, context.arguments.size());
  }
  if (!status.ok()) {
    return Fail(&context, status);
  }
  context.deadline = Clock::now() + std::chrono::seconds(FLAGS_timeout_s);
  return command->run(&context);
}

}  // namespace rhubarbhaven
