#ifndef RHUBARBHAVEN_CLIENT_CONFIG_SESSION_H_
#define RHUBARBHAVEN_CLIENT_CONFIG_SESSION_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

#include "Journal/journal.h"

namespace rhubarbhaven {

// One command's work on the configuration stream: reads it to its end, folds
// it, and submits changes. Blocking; every call ends by the deadline.
class ConfigSession {
 public:
  ConfigSession(std::string log_url, TimePoint deadline);

  // Reads to the end. Unavailable if the log cannot be reached, or if its
  // oldest records are gone and no snapshot replaces them yet.
  auto CatchUp() -> absl::Status;
  auto fold() const -> const ConfigFold&;

  // Appends the change and waits for what the fold makes of it. An error is
  // Unavailable and says whether the change may have been taken.
  auto Submit(schema::ConfigChange change)
      -> absl::StatusOr<schema::ChangeOutcome>;

 private:
  auto ReadOnce(std::chrono::milliseconds wait) -> absl::Status;
  // Until the outcome is known, the deadline, or, where `to_end`, the end of
  // the stream as it is now.
  auto AwaitOutcome(const std::string& change_id, bool to_end)
      -> absl::StatusOr<schema::ChangeOutcome>;

  const TimePoint deadline_;
  LogClient log_;
  GapReader reader_;
  ConfigFold fold_;
  bool at_end_ = false;
  const uint64_t incarnation_;
  uint64_t sequence_ = 0;
};

// An id for a change that no other change has.
auto NewChangeId() -> std::string;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_CONFIG_SESSION_H_
