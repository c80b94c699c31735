#include "Journal/stream_follower.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "Journal/log_client.h"

namespace rhubarbhaven {
namespace {

// With records of up to half a megabyte, a response stays below the limit of
// the client.
constexpr uint32_t kReadLimit = 100;

}  // namespace

class StreamFollower::Impl {
 public:
  explicit Impl(FollowerOptions options)
      : options_(std::move(options)), log_(options_.log_url), reader_(0) {}

  ~Impl() { Stop(); }

  auto Start() -> void {
    thread_ = std::thread([this] { Run(); });
  }

  auto SkipTo(uint64_t applied) -> void {
    const std::lock_guard lock(mutex_);
    skip_to_ = std::max(skip_to_, applied);
  }

  auto Stop() -> void {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  auto Run() -> void {
    while (!stopping()) {
      ApplySkip();
      const TimePoint read_sent_at = Clock::now();
      const auto batch =
          log_.Read(options_.stream, reader_.next(), kReadLimit,
                    caught_up_ ? options_.wait : std::chrono::milliseconds(0));
      const auto status = batch.ok() ? CheckEnd(*batch) : batch.status();
      if (!status.ok()) {
        OnUnreachable(status);
        continue;
      }
      OnBatch(read_sent_at, *batch);
    }
  }

  // Fails if the log ends before the applied offset. It is then another log, or
  // one that was restored to an earlier state, and following it would revert
  // changes.
  auto CheckEnd(const schema::LogBatch& batch) const -> absl::Status {
    if (batch.next() > reader_.applied()) {
      return absl::OkStatus();
    }
    return absl::DataLossError(absl::StrCat(
        "log ", options_.log_url, ": stream ", options_.stream,
        " ends before offset ", batch.next(), ", but ", reader_.applied(),
        " was applied already; check that the URL names the same log"));
  }

  auto OnUnreachable(const absl::Status& status) -> void {
    caught_up_ = false;
    if (options_.on_unreachable) {
      options_.on_unreachable(status);
    }
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, options_.retry, [this] { return stopping_; });
  }

  auto OnBatch(TimePoint read_sent_at, const schema::LogBatch& batch) -> void {
    const auto step = reader_.OnBatch(batch);
    if (options_.on_extent) {
      options_.on_extent(batch.first_kept(), batch.next());
    }
    Deliver(step);
    caught_up_ = reader_.next() >= batch.next();
    // In a gap, the state lacks records although the end was read.
    if (caught_up_ && !reader_.in_gap() && options_.on_caught_up) {
      options_.on_caught_up(read_sent_at);
    }
  }

  auto Deliver(const GapReader::Step& step) -> void {
    if (step.adopt.has_value() && options_.on_snapshot) {
      options_.on_snapshot(*step.adopt);
    }
    if (!options_.on_record) {
      return;
    }
    for (const auto& [offset, record] : step.records) {
      options_.on_record(offset, record);
    }
  }

  auto ApplySkip() -> void {
    uint64_t applied = 0;
    {
      const std::lock_guard lock(mutex_);
      applied = std::exchange(skip_to_, 0);
    }
    if (applied > reader_.applied()) {
      Deliver(reader_.OnAdopted(applied));
    }
  }

  auto stopping() -> bool {
    const std::lock_guard lock(mutex_);
    return stopping_;
  }

  const FollowerOptions options_;
  LogClient log_;
  GapReader reader_;
  // False from a failure until the end of the stream is read. While it is
  // false, reads do not wait, so that `on_caught_up` is called without delay.
  bool caught_up_ = false;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t skip_to_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

StreamFollower::StreamFollower(FollowerOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

StreamFollower::~StreamFollower() = default;

auto StreamFollower::Start() -> void {
  impl_->Start();
}

auto StreamFollower::SkipTo(uint64_t applied) -> void {
  impl_->SkipTo(applied);
}

auto StreamFollower::Stop() -> void {
  impl_->Stop();
}

}  // namespace rhubarbhaven
