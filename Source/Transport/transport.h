#ifndef RHUBARBHAVEN_TRANSPORT_TRANSPORT_H_
#define RHUBARBHAVEN_TRANSPORT_TRANSPORT_H_

// Thin wrappers around HTTP (libmicrohttpd, libcurl) and ZeroMQ.

#include "Transport/http_client.h"
#include "Transport/http_server.h"
#include "Transport/link.h"

#endif  // RHUBARBHAVEN_TRANSPORT_TRANSPORT_H_
