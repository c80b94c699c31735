#include "Journal/stream_writer.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "Journal/log_client.h"

namespace rhubarbhaven {

class StreamWriter::Impl {
 public:
  explicit Impl(WriterOptions options)
      : options_(std::move(options)),
        log_(options_.log_url),
        queue_(options_.queue) {}

  ~Impl() { Stop(std::chrono::milliseconds(0)); }

  auto Start() -> void {
    thread_ = std::thread([this] { Run(); });
  }

  auto Append(schema::LogEntry entry) -> bool {
    {
      const std::lock_guard lock(mutex_);
      if (stop_at_.has_value() ||
          !queue_.Enqueue(std::move(entry), Clock::now())) {
        return false;
      }
    }
    changed_.notify_all();
    return true;
  }

  auto OnRead(const schema::LogRecord& record) -> void {
    if (record.writer() != options_.queue.writer) {
      return;
    }
    {
      const std::lock_guard lock(mutex_);
      queue_.OnRead(Clock::now(), record);
    }
    changed_.notify_all();
  }

  auto OnCaughtUp(TimePoint read_sent_at) -> void {
    {
      const std::lock_guard lock(mutex_);
      queue_.OnCaughtUp(Clock::now(), read_sent_at);
    }
    changed_.notify_all();
  }

  auto Stop(std::chrono::milliseconds limit) -> void {
    {
      const std::lock_guard lock(mutex_);
      if (!stop_at_.has_value()) {
        stop_at_ = Clock::now() + limit;
      }
    }
    changed_.notify_all();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  auto backlog() const -> std::size_t {
    const std::lock_guard lock(mutex_);
    return queue_.size();
  }

 private:
  auto Run() -> void {
    std::unique_lock lock(mutex_);
    while (!Finished()) {
      ReturnUnsent(&lock, ReturnCutoff());
      auto record = queue_.NextRecord(Clock::now());
      if (record.has_value()) {
        Send(&lock, *record);
      } else {
        Wait(&lock);
      }
    }
    ReturnUnsent(&lock, TimePoint::max());
  }

  auto Finished() const -> bool {
    return stop_at_.has_value() &&
           (queue_.size() == 0 || Clock::now() >= *stop_at_);
  }

  // Unsent entries that were enqueued by this time are returned to the caller;
  // none if there is no time limit.
  auto ReturnCutoff() const -> TimePoint {
    const bool limited = options_.give_back_after.count() > 0;
    return limited ? Clock::now() - options_.give_back_after : TimePoint::min();
  }

  auto ReturnUnsent(std::unique_lock<std::mutex>* lock, TimePoint limit)
      -> void {
    const auto entries = queue_.TakeUnsentBefore(limit);
    if (entries.empty() || !options_.on_failed) {
      return;
    }
    lock->unlock();
    for (const auto& entry : entries) {
      options_.on_failed(entry);
    }
    lock->lock();
  }

  auto Send(std::unique_lock<std::mutex>* lock, const schema::LogRecord& record)
      -> void {
    lock->unlock();
    const auto result = log_.Append(options_.stream, record.SerializeAsString(),
                                    options_.timeout);
    ReportReachability(result);
    lock->lock();
    const TimePoint now = Clock::now();
    switch (result.kind) {
      case AppendResult::Kind::kAppended:
        queue_.OnAppended(now);
        break;
      case AppendResult::Kind::kRejected:
        queue_.OnRejected(now);
        break;
      case AppendResult::Kind::kUnknown:
        queue_.OnUnknown(now);
        break;
    }
  }

  auto ReportReachability(const AppendResult& result) -> void {
    const bool reachable = result.kind == AppendResult::Kind::kAppended;
    if (reachable_ == reachable) {
      return;
    }
    reachable_ = reachable;
    if (!reachable) {
      logger_->warn("The log does not accept appends stream={} problem=\"{}\"",
                    options_.stream, result.problem);
    }
    if (options_.on_reachable) {
      options_.on_reachable(reachable);
    }
  }

  auto Wait(std::unique_lock<std::mutex>* lock) -> void {
    TimePoint until = queue_.next_wake();
    if (stop_at_.has_value()) {
      until = std::min(until, *stop_at_);
    }
    const auto oldest = queue_.oldest_unsent();
    if (oldest.has_value() && options_.give_back_after.count() > 0) {
      until = std::min(until, *oldest + options_.give_back_after);
    }
    if (until == TimePoint::max()) {
      changed_.wait(*lock);
    } else {
      changed_.wait_until(*lock, until);
    }
  }

  const WriterOptions options_;
  const std::shared_ptr<spdlog::logger> logger_ = ComponentLogger("journal");
  LogClient log_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  AppendQueue queue_;
  std::optional<bool> reachable_;
  std::optional<TimePoint> stop_at_;
  std::thread thread_;
};

StreamWriter::StreamWriter(WriterOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

StreamWriter::~StreamWriter() = default;

auto StreamWriter::Start() -> void {
  impl_->Start();
}

auto StreamWriter::Append(schema::LogEntry entry) -> bool {
  return impl_->Append(std::move(entry));
}

auto StreamWriter::OnRead(const schema::LogRecord& record) -> void {
  impl_->OnRead(record);
}

auto StreamWriter::OnCaughtUp(TimePoint read_sent_at) -> void {
  impl_->OnCaughtUp(read_sent_at);
}

auto StreamWriter::Stop(std::chrono::milliseconds limit) -> void {
  impl_->Stop(limit);
}

auto StreamWriter::backlog() const -> std::size_t {
  return impl_->backlog();
}

}  // namespace rhubarbhaven
