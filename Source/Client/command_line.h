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
  // The command line or a file is wrong; nothing was sent.
  kUsage = 2,
  // Somebody else changed the same object first.
  kConflict = 3,
  // The change was refused as invalid.
  kRefused = 4,
  // The platform's log or an entry cannot be reached.
  kUnreachable = 5,
  // The wait ended before everybody had it in force.
  kTimeout = 6
};

// Runs one command: `arguments` without the program's name.
auto RunCommand(const std::vector<std::string>& arguments,
                std::ostream& out,
                std::ostream& err) -> ExitCode;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_COMMAND_LINE_H_
