#include "Jobs/Log/keyed_log_follower.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// After a successful read, the next one requests more bytes by one part in this
// many.
constexpr std::size_t kGrowthDivisor = 8;
// Growth of a value in a page of newest records, which has it in base64.
constexpr double kPageOverhead = 4.0 / 3.0;

}  // namespace

KeyedLogFollower::KeyedLogFollower(KeyedLogFollowerOptions options,
                                   KeyedLogPort port,
                                   KeyedLogFollowerHooks hooks)
    : options_(options),
      port_(std::move(port)),
      hooks_(std::move(hooks)),
      read_bytes_(options.max_bytes) {}

auto KeyedLogFollower::Start(TimePoint now) -> void {
  Restart(now);
}

auto KeyedLogFollower::Restart(TimePoint now) -> void {
  skipping_ = false;
  RequestNewest(now);
}

auto KeyedLogFollower::SkipToNewest(TimePoint now) -> void {
  skipping_ = true;
  RequestNewest(now);
}

auto KeyedLogFollower::ShouldSkip(const ReadResult& result) -> bool {
  std::size_t read = 0;
  for (const auto& record : result.records) {
    read += SizeInLog(record);
  }
  const double mean =
      static_cast<double>(read) / static_cast<double>(result.records.size());
  const double waiting = mean * static_cast<double>(result.end - next_);
  const double newest = static_cast<double>(total_size_) * kPageOverhead;
  const bool skips = newest < waiting + static_cast<double>(behind_bytes_);
  behind_bytes_ += read;
  return skips;
}

auto KeyedLogFollower::RequestNewest(TimePoint now) -> void {
  if (first_page_) {
    single_page_ = true;
    if (!skipping_) {
      current_ = false;
      hooks_.on_restart();
    }
  }
  NewestCall call;
  call.topic = options_.topic;
  call.after = after_;
  call.limits = options_.page_limits;
  call.limits.total = total_.value_or(call.limits.total);
  call.on_progress = BeginCall(now, /*newest=*/true);
  port_.newest(call, [this](TimePoint now, const NewestResult& result) -> void {
    OnNewest(now, result);
  });
}

auto KeyedLogFollower::BeginCall(TimePoint now, bool newest)
    -> OnTransferProgress {
  requested_at_ = now;
  requested_wait_ = std::chrono::milliseconds(0);
  return [this, newest, call = ++calls_](TimePoint then,
                                         std::size_t bytes) -> void {
    if (call != calls_) {
      return;
    }
    if (!transfer_) {
      transfer_ = FollowerTransfer{newest, then, 0};
    }
    transfer_->bytes = bytes;
  };
}

auto KeyedLogFollower::EndCall() -> void {
  ++calls_;
  transfer_.reset();
}

auto KeyedLogFollower::AdjustTotal(bool timed_out, std::size_t bytes) -> void {
  if (!timed_out) {
    total_.reset();
  } else if (bytes >= options_.read_limits.min_bytes) {
    total_ = std::min(total_.value_or(options_.read_limits.total) * 2,
                      options_.max_total);
  }
}

auto KeyedLogFollower::OnNewest(TimePoint now, const NewestResult& result)
    -> void {
  ReportPage(now, result);
  EndCall();
  AdjustTotal(result.timed_out, result.bytes);
  if (!result.answered) {
    // A copy that is in order is continued by reads as well.
    OnFailure(now, result.error, /*read_on=*/skipping_ && first_page_);
    return;
  }
  OnSuccess();
  if (first_page_) {
    first_page_ = false;
    next_ = result.end;
    keys_of_pages_.clear();
  }
  for (const auto& record : result.records) {
    after_ = record.key;
    keys_of_pages_.insert(record.key);
    Deliver(now, record);
  }
  if (result.more && !result.records.empty()) {
    single_page_ = false;
    RequestNewest(now);
    return;
  }
  after_.clear();
  first_page_ = true;
  skipping_ = false;
  RemoveMissingKeys(now);
  if (options_.newest_only && single_page_) {
    OnNewestComplete(now);
  }
  Read(now);
}

// Without this, a log that is changed during each transfer would never count as
// read.
auto KeyedLogFollower::OnNewestComplete(TimePoint now) -> void {
  current_ = true;
  behind_bytes_ = 0;
  caught_up_at_ = now;
  if (hooks_.on_newest_complete) {
    hooks_.on_newest_complete(requested_at_);
  }
  hooks_.on_caught_up(now, requested_at_);
}

auto KeyedLogFollower::RemoveMissingKeys(TimePoint now) -> void {
  std::vector<std::string> missing;
  for (const auto& [key, size] : sizes_) {
    if (!keys_of_pages_.contains(key)) {
      missing.push_back(key);
    }
  }
  for (const auto& key : missing) {
    SetSize(key, 0);
    hooks_.on_key_removed(now, key);
  }
}

auto KeyedLogFollower::SetSize(const std::string& key, std::size_t bytes)
    -> void {
  auto& size = sizes_[key];
  total_size_ += bytes - size;
  size = bytes;
  if (bytes == 0) {
    sizes_.erase(key);
  }
}

auto KeyedLogFollower::Read(TimePoint now) -> void {
  // The first read after the newest records does not wait. Its response
  // confirms that they are current, and callers get no answers before that.
  auto wait = std::chrono::milliseconds(0);
  if (current_) {
    wait = hooks_.read_wait ? hooks_.read_wait(options_.read_wait)
                            : options_.read_wait;
  }
  ReadCall call;
  call.topic = options_.topic;
  call.from = next_;
  call.wait = wait;
  call.max_bytes = read_bytes_;
  call.limits = options_.read_limits;
  call.limits.total = total_.value_or(call.limits.total);
  call.on_progress = BeginCall(now, /*newest=*/false);
  requested_wait_ = wait;
  port_.read(call, [this](TimePoint then, const ReadResult& result) -> void {
    OnRead(then, result);
  });
}

auto KeyedLogFollower::OnRead(TimePoint now, const ReadResult& result) -> void {
  ReportRead(now, result);
  EndCall();
  AdjustTotal(result.timed_out, result.bytes);
  switch (result.outcome) {
    case ReadOutcome::kFailed:
      if (result.timed_out) {
        read_bytes_ = std::max(read_bytes_ / 2, options_.min_bytes);
      } else {
        GrowReadSize();
      }
      OnFailure(now, result.error, /*read_on=*/true);
      return;
    case ReadOutcome::kGone:
      // Records that were not read have been deleted by compaction. The newest
      // record of each key is still available.
      Restart(now);
      return;
    case ReadOutcome::kRecords:
      break;
  }
  if (result.end < next_) {
    // The log was replaced or restored from a backup, so its history differs
    // from the one that was read.
    Restart(now);
    return;
  }
  OnSuccess();
  GrowReadSize();
  for (const auto& record : result.records) {
    Deliver(now, record);
    next_ = record.offset + 1;
  }
  if (next_ >= result.end) {
    current_ = true;
    behind_bytes_ = 0;
    caught_up_at_ = now;
    // A response without records was generated at the end of its wait.
    const auto waited =
        result.records.empty() ? requested_wait_ : std::chrono::milliseconds(0);
    hooks_.on_caught_up(now, std::min(now, requested_at_ + waited));
  } else if (options_.newest_only && ShouldSkip(result)) {
    SkipToNewest(now);
    return;
  }
  PauseOrRead(now, next_ >= result.end && !result.records.empty());
}

auto KeyedLogFollower::PauseOrRead(TimePoint now, bool may_pause) -> void {
  may_pause = may_pause && hooks_.pause != nullptr;
  const auto pause = may_pause ? hooks_.pause() : std::chrono::milliseconds(0);
  if (pause.count() == 0) {
    Read(now);
    return;
  }
  pausing_ = true;
  hooks_.schedule(now + pause,
                  [this, number = ++pauses_](TimePoint then) -> void {
                    if (number == pauses_) {
                      ResumeReading(then);
                    }
                  });
}

auto KeyedLogFollower::ResumeReading(TimePoint now) -> void {
  if (pausing_) {
    pausing_ = false;
    Read(now);
  }
}

auto KeyedLogFollower::GrowReadSize() -> void {
  read_bytes_ =
      std::min(read_bytes_ + read_bytes_ / kGrowthDivisor, options_.max_bytes);
}

auto KeyedLogFollower::Deliver(TimePoint now, const KeyedRecord& record)
    -> void {
  SetSize(record.key, record.value.empty() ? 0 : SizeInLog(record));
  hooks_.on_record(now, record);
}

auto KeyedLogFollower::OnFailure(TimePoint now,
                                 const std::string& error,
                                 bool read_on) -> void {
  if (reachable_ || !reachability_reported_) {
    hooks_.on_reachable(error);
  }
  reachable_ = false;
  reachability_reported_ = true;
  backoff_ =
      std::clamp(backoff_ * 2, options_.initial_backoff, options_.max_backoff);
  hooks_.schedule(now + backoff_, [this, read_on](TimePoint then) -> void {
    if (read_on) {
      Read(then);
    } else {
      RequestNewest(then);
    }
  });
}

auto KeyedLogFollower::ResponseBeganAt() const -> std::optional<TimePoint> {
  return transfer_ ? std::optional(transfer_->began_at) : std::nullopt;
}

auto KeyedLogFollower::ReportPage(TimePoint now,
                                  const NewestResult& result) const -> void {
  if (hooks_.on_call) {
    hooks_.on_call(
        now, {/*newest=*/true, requested_at_, std::chrono::milliseconds(0),
              /*from=*/0, result.records.size(), result.bytes,
              ResponseBeganAt(), result.end, result.error, !reachable_});
  }
}

auto KeyedLogFollower::ReportRead(TimePoint now, const ReadResult& result) const
    -> void {
  if (hooks_.on_call) {
    hooks_.on_call(now,
                   {/*newest=*/false, requested_at_, requested_wait_, next_,
                    result.records.size(), result.bytes, ResponseBeganAt(),
                    result.end, result.error, !reachable_});
  }
}

auto KeyedLogFollower::OnSuccess() -> void {
  backoff_ = std::chrono::milliseconds(0);
  if (!reachable_) {
    reachable_ = true;
    reachability_reported_ = true;
    hooks_.on_reachable("");
  }
}

}  // namespace rhubarbhaven::jobs
