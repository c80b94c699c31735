#ifndef RHUBARBHAVEN_DAEMON_STREAM_DUTY_H_
#define RHUBARBHAVEN_DAEMON_STREAM_DUTY_H_

#include <functional>
#include <string>

#include "Journal/journal.h"

namespace rhubarbhaven {

struct StreamDutyOptions {
  std::string log_url;
  std::string stream;
  std::string writer;
  uint64_t incarnation = 0;
  std::chrono::milliseconds append_interval{100};
  // When snapshots are written; the writer is filled in.
  SnapshotPolicyOptions snapshot = {};
  // How long one read waits for a record.
  std::chrono::milliseconds read_wait{1000};
  // See WriterOptions::give_back_after.
  std::chrono::milliseconds give_back_after{0};
};

// The options that an entry's settings give for any of its streams.
auto StreamOptionsOf(const schema::DaemonSettings& settings,
                     uint64_t incarnation,
                     const std::string& stream) -> StreamDutyOptions;

// The state's side of a stream. All but `post` run on the thread to which the
// state belongs.
struct StreamHooks {
  // Runs a job on that thread; waits for room.
  std::function<auto(std::function<auto(TimePoint)->void>)->void> post;
  std::function<
      auto(TimePoint, uint64_t offset, const schema::LogRecord&)->void>
      on_record;
  // Takes a snapshot's serialised state if it covers more.
  std::function<auto(TimePoint, const std::string& state)->void> on_snapshot;
  std::function<auto(TimePoint, TimePoint asked)->void> on_caught_up;
  std::function<auto(TimePoint, bool reachable)->void> on_reachable;
  std::function<auto(TimePoint, const schema::LogEntry&)->void>
      on_append_failed;
  // The folded state, serialised, and the offset that it covers; empty for a
  // stream without snapshots.
  std::function<auto()->WholeSnapshot> export_state;
};

// One stream of the platform's log in one process: the follower, the writer,
// and the snapshots that keep the state from expiring.
class StreamDuty {
 public:
  StreamDuty(StreamDutyOptions options, StreamHooks hooks, Metrics* metrics);
  StreamDuty(const StreamDuty&) = delete;
  auto operator=(const StreamDuty&) -> StreamDuty& = delete;

  auto Start() -> void;
  auto Stop(std::chrono::milliseconds limit) -> void;
  // False if the queue is full: nothing was taken.
  auto Append(schema::LogEntry entry) -> bool;
  // The state was taken from a peer, at this offset.
  auto SkipTo(uint64_t applied) -> void { follower_.SkipTo(applied); }

 private:
  auto FollowerHooks() -> FollowerOptions;
  auto WriterHooks() -> WriterOptions;
  auto OnRecord(uint64_t offset, const schema::LogRecord& record) -> void;
  auto OnExtent(TimePoint now, uint64_t first_kept, uint64_t next) -> void;
  auto WriteSnapshot(TimePoint now) -> void;
  auto SetReachable(bool reachable) -> void;

  StreamDutyOptions options_;
  StreamHooks hooks_;
  Metrics* metrics_;
  // Belongs to the state's thread.
  SnapshotPolicy policy_;
  StreamWriter writer_;
  StreamFollower follower_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_STREAM_DUTY_H_
