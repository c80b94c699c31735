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
  // All run on the follower's thread; must not block for long.
  std::function<auto(const WholeSnapshot&)->void> on_snapshot;
  std::function<auto(uint64_t offset, const schema::LogRecord&)->void>
      on_record;
  // A read that was sent at `asked` reached the stream's end.
  std::function<auto(TimePoint asked)->void> on_caught_up;
  // The log could not be read; called for each failed try.
  std::function<auto(const absl::Status&)->void> on_unreachable;
  // First offset that the log still keeps and the next one, after each read.
  std::function<auto(uint64_t first_kept, uint64_t next)->void> on_extent;
};

// A thread that reads one stream from its first kept record on.
class StreamFollower {
 public:
  explicit StreamFollower(FollowerOptions options);
  StreamFollower(const StreamFollower&) = delete;
  auto operator=(const StreamFollower&) -> StreamFollower& = delete;
  ~StreamFollower();
  auto Start() -> void;
  // The owner of the state took it from a peer, at this offset.
  auto SkipTo(uint64_t applied) -> void;
  auto Stop() -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_STREAM_FOLLOWER_H_
