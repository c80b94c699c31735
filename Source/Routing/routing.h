#ifndef RHUBARBHAVEN_ROUTING_ROUTING_H_
#define RHUBARBHAVEN_ROUTING_ROUTING_H_

// The decisions about requests. No I/O, no locks, no clock, no threads: an
// event and a time point go in, actions come out.

#include "Routing/agent_admission.h"
#include "Routing/entry_router.h"

#endif  // RHUBARBHAVEN_ROUTING_ROUTING_H_
