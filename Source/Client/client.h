#ifndef RHUBARBHAVEN_CLIENT_CLIENT_H_
#define RHUBARBHAVEN_CLIENT_CLIENT_H_

// The operators' client, as a library; the program is a thin front end.

#include "Client/change_plan.h"
#include "Client/command_line.h"

#endif  // RHUBARBHAVEN_CLIENT_CLIENT_H_
