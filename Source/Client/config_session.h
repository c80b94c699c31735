#ifndef RHUBARBHAVEN_CLIENT_CONFIG_SESSION_H_
#define RHUBARBHAVEN_CLIENT_CONFIG_SESSION_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

#include "Journal/journal.h"

namespace rhubarbhaven {

// Access of one command to the configuration stream: reads it to its end, folds
// it, and submits changes. Calls block, at the longest until the deadline.
class ConfigSession {
 public:
  ConfigSession(std::string log_url, TimePoint deadline);

  // Reads the stream to its end. Returns Unavailable if the log cannot be
  // reached or cannot be read to its end by the deadline, or if its oldest
  // records have expired and no snapshot replaces them yet.
  auto CatchUp() -> absl::Status;
  auto fold() const -> const ConfigFold&;

  // Appends the change and waits for its outcome in the fold. An error is
  // Unavailable; its message states whether the change may have been appended.
  auto Submit(schema::ConfigChange change)
      -> absl::StatusOr<schema::ChangeOutcome>;

 private:
  auto ReadBatch(std::chrono::milliseconds wait) -> absl::Status;
  // Reads until the outcome is known, the deadline passes or, with `to_end`,
  // the current end of the stream is reached.
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

// Returns a random 128-bit id in hexadecimal.
auto NewChangeId() -> std::string;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_CONFIG_SESSION_H_
