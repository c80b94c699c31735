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

// Who does not say yet that the configuration at `offset` is in force: names
// with what they said last. An entry answers for itself and its agents.
auto Lagging(const schema::OperatorStatus& status, uint64_t offset)
    -> std::vector<std::string>;

// Asks all entries until everybody has the offset in force, and writes a line
// whenever those who lag change. DeadlineExceeded names who still lags.
auto WaitInForce(EntryClient* entries,
                 uint64_t offset,
                 TimePoint deadline,
                 std::ostream& progress) -> absl::Status;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_IN_FORCE_WAIT_H_
