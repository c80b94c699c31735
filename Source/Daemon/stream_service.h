#ifndef RHUBARBHAVEN_DAEMON_STREAM_SERVICE_H_
#define RHUBARBHAVEN_DAEMON_STREAM_SERVICE_H_

#include <functional>
#include <string>

#include "Journal/journal.h"

namespace rhubarbhaven {

struct StreamServiceOptions {
  std::string log_url;
  std::string stream;
  std::string writer;
  uint64_t incarnation = 0;
  std::chrono::milliseconds append_interval{100};
  // When snapshots are written. StreamService sets its `writer`.
  SnapshotPolicyOptions snapshot = {};
  // Longest time that one read waits for a record.
  std::chrono::milliseconds read_wait{1000};
  // See WriterOptions::give_back_after.
  std::chrono::milliseconds give_back_after{0};
};

// The options of one of an entry's streams, from its settings.
auto StreamOptionsOf(const schema::DaemonSettings& settings,
                     uint64_t incarnation,
                     const std::string& stream) -> StreamServiceOptions;

// Functions of the state that is folded from a stream. All except `post` are
// called on the thread that owns the state.
struct StreamHooks {
  // Runs a callback on that thread. Blocks until its ring has room.
  std::function<auto(std::function<auto(TimePoint)->void>)->void> post;
  std::function<
      auto(TimePoint, uint64_t offset, const schema::LogRecord&)->void>
      on_record;
  // Adopts a snapshot's serialised state if it covers more records.
  std::function<auto(TimePoint, const std::string& state)->void> on_snapshot;
  std::function<auto(TimePoint, TimePoint requested_at)->void> on_caught_up;
  std::function<auto(TimePoint, bool reachable)->void> on_reachable;
  std::function<auto(TimePoint, const schema::LogEntry&)->void>
      on_append_failed;
  // Returns the serialised state and the offset that it covers. Empty for a
  // stream without snapshots.
  std::function<auto()->CompleteSnapshot> export_state;
};

// One stream of the platform's log in one process: the follower, the writer,
// and the snapshots that preserve the state when the log expires its records.
class StreamService {
 public:
  StreamService(StreamServiceOptions options,
                StreamHooks hooks,
                Metrics* metrics);
  StreamService(const StreamService&) = delete;
  auto operator=(const StreamService&) -> StreamService& = delete;

  auto Start() -> void;
  auto Stop(std::chrono::milliseconds limit) -> void;
  // Returns false if the queue is full: the entry was not accepted.
  auto Append(schema::LogEntry entry) -> bool;
  // Continues after the offset `applied`, whose state came from a peer.
  auto SkipTo(uint64_t applied) -> void { follower_.SkipTo(applied); }

 private:
  auto FollowerHooks() -> FollowerOptions;
  auto WriterHooks() -> WriterOptions;
  auto OnRecord(uint64_t offset, const schema::LogRecord& record) -> void;
  auto OnExtent(TimePoint now, uint64_t first_kept, uint64_t next) -> void;
  auto WriteSnapshot(TimePoint now) -> void;
  auto SetReachable(bool reachable) -> void;

  StreamServiceOptions options_;
  StreamHooks hooks_;
  Metrics* metrics_;
  // Accessed only on the thread that owns the state.
  SnapshotPolicy policy_;
  StreamWriter writer_;
  StreamFollower follower_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_STREAM_SERVICE_H_
