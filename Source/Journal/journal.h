#ifndef RHUBARBHAVEN_JOURNAL_JOURNAL_H_
#define RHUBARBHAVEN_JOURNAL_JOURNAL_H_

// Access to the platform's append-only log: client, writers, followers,
// snapshots, and the fold of the configuration stream.

#include "Journal/append_queue.h"
#include "Journal/config_fold.h"
#include "Journal/log_client.h"
#include "Journal/register_check.h"
#include "Journal/snapshot.h"
#include "Journal/snapshot_policy.h"
#include "Journal/stream_follower.h"
#include "Journal/stream_writer.h"
#include "Journal/writer_marks.h"

#endif  // RHUBARBHAVEN_JOURNAL_JOURNAL_H_
