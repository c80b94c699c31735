#ifndef RHUBARBHAVEN_CLIENT_COMMAND_LINE_H_
#define RHUBARBHAVEN_CLIENT_COMMAND_LINE_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace rhubarbhaven {

// Exit codes of the operators' client.
enum class ExitCode {
  kOk = 0,
  // The command failed for another reason.
  kFailed = 1,
  // The command line or a file is invalid. Nothing was sent.
  kUsage = 2,
  // Another change to the same object was applied first.
  kConflict = 3,
  // The change was rejected as invalid.
  kRefused = 4,
  // The platform's log or an entry cannot be reached.
  kUnreachable = 5,
  // The wait timed out before the change was in force everywhere.
  kTimeout = 6
};

// Runs one command. `arguments` does not contain the program's name.
auto RunCommand(const std::vector<std::string>& arguments,
                std::ostream& out,
                std::ostream& err) -> ExitCode;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_COMMAND_LINE_H_
