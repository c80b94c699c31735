#ifndef RHUBARBHAVEN_CLIENT_VIEW_COMMANDS_H_
#define RHUBARBHAVEN_CLIENT_VIEW_COMMANDS_H_

#include "Client/command.h"

namespace rhubarbhaven {

// Commands that check a file, show the state, or send a request to an entry.
auto RunCheck(CommandContext* context) -> ExitCode;
auto RunShow(CommandContext* context) -> ExitCode;
auto RunStatus(CommandContext* context) -> ExitCode;
auto RunTasks(CommandContext* context) -> ExitCode;
auto RunExplain(CommandContext* context) -> ExitCode;
auto RunEvict(CommandContext* context) -> ExitCode;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_VIEW_COMMANDS_H_
