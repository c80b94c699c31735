#ifndef RHUBARBHAVEN_JOURNAL_STREAM_WRITER_H_
#define RHUBARBHAVEN_JOURNAL_STREAM_WRITER_H_

#include <functional>
#include <memory>
#include <string>

#include "Base/base.h"
#include "Journal/append_queue.h"

namespace rhubarbhaven {

struct WriterOptions {
  std::string log_url;
  std::string stream;
  AppendQueueOptions queue;
  std::chrono::milliseconds timeout{2000};
  // An entry that was not sent within this time is returned by `on_failed`;
  // zero for no limit.
  std::chrono::milliseconds give_back_after{0};
  // Called on the writer's thread; the entry is certainly not in the log.
  std::function<auto(const schema::LogEntry&)->void> on_failed;
  std::function<auto(bool reachable)->void> on_reachable;
};

// A thread that appends to one stream, through an AppendQueue.
class StreamWriter {
 public:
  explicit StreamWriter(WriterOptions options);
  StreamWriter(const StreamWriter&) = delete;
  auto operator=(const StreamWriter&) -> StreamWriter& = delete;
  ~StreamWriter();
  auto Start() -> void;
  // May be called from any thread. Returns false, without queuing the entry,
  // if the queue is full or the writer is stopping.
  auto Append(schema::LogEntry entry) -> bool;
  // Forwarded from the stream's follower.
  auto OnRead(const schema::LogRecord& record) -> void;
  auto OnCaughtUp(TimePoint read_sent_at) -> void;
  // Sends the queued entries, for at most `limit`, then ends the thread.
  auto Stop(std::chrono::milliseconds limit) -> void;
  auto backlog() const -> std::size_t;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_STREAM_WRITER_H_
