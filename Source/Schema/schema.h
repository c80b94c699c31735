#ifndef RHUBARBHAVEN_SCHEMA_SCHEMA_H_
#define RHUBARBHAVEN_SCHEMA_SCHEMA_H_

// Messages and settings, generated from the .proto files in this folder.

#include "jobs.pb.h"
#include "journal.pb.h"
#include "operator.pb.h"
#include "options.pb.h"
#include "reasons.pb.h"
#include "register.pb.h"
#include "settings.pb.h"
#include "wire.pb.h"
#include "worker.pb.h"

#endif  // RHUBARBHAVEN_SCHEMA_SCHEMA_H_
