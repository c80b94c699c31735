#ifndef RHUBARBHAVEN_ROUTING_ROUTING_H_
#define RHUBARBHAVEN_ROUTING_ROUTING_H_

// Routing decisions for requests. The classes do no I/O, take no locks, read no
// clock and start no threads: they take an event and a time point and return
// actions.

#include "Routing/agent_admission.h"
#include "Routing/entry_router.h"

#endif  // RHUBARBHAVEN_ROUTING_ROUTING_H_
