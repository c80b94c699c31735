#ifndef RHUBARBHAVEN_JOURNAL_STREAM_FOLLOWER_H_
#define RHUBARBHAVEN_JOURNAL_STREAM_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Base/base.h"
#include "Journal/snapshot.h"

namespace rhubarbhaven {

struct FollowerOptions {
  std::string log_url;
  std::string stream;
  std::chrono::milliseconds wait{1000};
  std::chrono::milliseconds retry{200};
  // All callbacks run on the follower's thread and must not block for long.
  std::function<auto(const CompleteSnapshot&)->void> on_snapshot;
  std::function<auto(uint64_t offset, const schema::LogRecord&)->void>
      on_record;
  // A read that was sent at `read_sent_at` reached the end of the stream.
  std::function<auto(TimePoint read_sent_at)->void> on_caught_up;
  // Called for each failed attempt to read the log.
  std::function<auto(const absl::Status&)->void> on_unreachable;
  // Called after each read with the first offset that the log keeps and the
  // offset of the next record.
  std::function<auto(uint64_t first_kept, uint64_t next)->void> on_extent;
};

// A thread that reads one stream, starting at the first record that the log
// keeps.
class StreamFollower {
 public:
  explicit StreamFollower(FollowerOptions options);
  StreamFollower(const StreamFollower&) = delete;
  auto operator=(const StreamFollower&) -> StreamFollower& = delete;
  ~StreamFollower();
  auto Start() -> void;
  // The owner of the state replaced it by that of a peer, at this offset.
  auto SkipTo(uint64_t applied) -> void;
  auto Stop() -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_STREAM_FOLLOWER_H_
