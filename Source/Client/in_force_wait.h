#ifndef RHUBARBHAVEN_CLIENT_IN_FORCE_WAIT_H_
#define RHUBARBHAVEN_CLIENT_IN_FORCE_WAIT_H_

#include <absl/status/status.h>

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Client/entry_client.h"

namespace rhubarbhaven {

// The entry and those of its agents in `status` that have not yet applied the
// configuration at `offset`, each with the offset that it has applied.
auto Lagging(const schema::OperatorStatus& status, uint64_t offset)
    -> std::vector<std::string>;

// Polls all entries until they and their agents have applied the configuration
// at `offset`. Writes a line to `progress` whenever the set of processes that
// lag changes. Returns DeadlineExceeded with the names of those that still lag.
auto WaitInForce(EntryClient* entries,
                 uint64_t offset,
                 TimePoint deadline,
                 std::ostream& progress) -> absl::Status;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_IN_FORCE_WAIT_H_
