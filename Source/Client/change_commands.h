#ifndef RHUBARBHAVEN_CLIENT_CHANGE_COMMANDS_H_
#define RHUBARBHAVEN_CLIENT_CHANGE_COMMANDS_H_

#include "Client/command.h"

namespace rhubarbhaven {

// Commands that change the configuration.
auto RunApply(CommandContext* context) -> ExitCode;
auto RunDrain(CommandContext* context) -> ExitCode;
auto RunCancel(CommandContext* context) -> ExitCode;
auto RunInstanceLost(CommandContext* context) -> ExitCode;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_CHANGE_COMMANDS_H_
