#include "Jobs/keyed_log_follower.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// A read that was answered lets the next one ask for one part in so many more.
constexpr std::size_t kGrowthPart = 8;

}  // namespace

KeyedLogFollower::KeyedLogFollower(KeyedLogFollowerOptions options,
                                   KeyedLogPort port,
                                   KeyedLogFollowerHooks hooks)
    : options_(options),
      port_(std::move(port)),
      hooks_(std::move(hooks)),
      read_bytes_(options.most_bytes),
      page_timeout_(options.shortest_page_timeout) {}

auto KeyedLogFollower::Start() -> void {
  AskNewest();
}

auto KeyedLogFollower::AskNewest() -> void {
  if (first_page_) {
    current_ = false;
    hooks_.on_begin_anew();
  }
  port_.newest({options_.topic, after_, page_timeout_},
               [this](TimePoint now, const NewestResult& result) -> void {
                 OnNewest(now, result);
               });
}

auto KeyedLogFollower::OnNewest(TimePoint now, const NewestResult& result)
    -> void {
  if (!result.answered) {
    page_timeout_ = std::min(page_timeout_ * 2, options_.longest_page_timeout);
    Failed(now, result.error, /*read_on=*/false);
    return;
  }
  Succeeded();
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
    AskNewest();
    return;
  }
  after_.clear();
  first_page_ = true;
  page_timeout_ = options_.shortest_page_timeout;
  ForgetMissingKeys(now);
  Read(now);
}

auto KeyedLogFollower::ForgetMissingKeys(TimePoint now) -> void {
  std::vector<std::string> missing;
  std::set_difference(keys_.begin(), keys_.end(), keys_of_pages_.begin(),
                      keys_of_pages_.end(), std::back_inserter(missing));
  for (const auto& key : missing) {
    keys_.erase(key);
    hooks_.on_key_gone(now, key);
  }
}

auto KeyedLogFollower::Read(TimePoint now) -> void {
  // The first read after the newest records does not wait: its answer shows
  // that they are current, without which callers are told nothing.
  auto wait = std::chrono::milliseconds(0);
  if (current_) {
    wait = hooks_.read_wait ? hooks_.read_wait(options_.read_wait)
                            : options_.read_wait;
  }
  asked_at_ = now;
  asked_wait_ = wait;
  port_.read({options_.topic, next_, wait, read_bytes_},
             [this](TimePoint then, const ReadResult& result) -> void {
               OnRead(then, result);
             });
}

auto KeyedLogFollower::OnRead(TimePoint now, const ReadResult& result) -> void {
  switch (result.outcome) {
    case ReadOutcome::kFailed:
      if (result.timed_out) {
        read_bytes_ = std::max(read_bytes_ / 2, options_.fewest_bytes);
      } else {
        AskForMore();
      }
      Failed(now, result.error, /*read_on=*/true);
      return;
    case ReadOutcome::kGone:
      // Records that were not read have been deleted; the newest of each key
      // are still there.
      AskNewest();
      return;
    case ReadOutcome::kRecords:
      break;
  }
  if (result.end < next_) {
    // Another log, or one that was put back: its history is not ours.
    AskNewest();
    return;
  }
  Succeeded();
  AskForMore();
  for (const auto& record : result.records) {
    Deliver(now, record);
    next_ = record.offset + 1;
  }
  if (next_ >= result.end) {
    current_ = true;
    caught_up_at_ = now;
    // One without records was given at the end of its wait.
    const auto waited =
        result.records.empty() ? asked_wait_ : std::chrono::milliseconds(0);
    hooks_.on_caught_up(now, std::min(now, asked_at_ + waited));
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
  hooks_.at(now + pause, [this, number = ++pauses_](TimePoint then) -> void {
    if (number == pauses_) {
      ReadOn(then);
    }
  });
}

auto KeyedLogFollower::ReadOn(TimePoint now) -> void {
  if (pausing_) {
    pausing_ = false;
    Read(now);
  }
}

auto KeyedLogFollower::AskForMore() -> void {
  read_bytes_ =
      std::min(read_bytes_ + read_bytes_ / kGrowthPart, options_.most_bytes);
}

auto KeyedLogFollower::Deliver(TimePoint now, const KeyedRecord& record)
    -> void {
  if (record.value.empty()) {
    keys_.erase(record.key);
  } else {
    keys_.insert(record.key);
  }
  hooks_.on_record(now, record);
}

auto KeyedLogFollower::Failed(TimePoint now,
                              const std::string& error,
                              bool read_on) -> void {
  if (reachable_ || !ever_reached_) {
    hooks_.on_reachable(error);
  }
  reachable_ = false;
  ever_reached_ = true;
  backoff_ = std::clamp(backoff_ * 2, options_.first_backoff,
                        options_.longest_backoff);
  hooks_.at(now + backoff_, [this, read_on](TimePoint then) -> void {
    if (read_on) {
      Read(then);
    } else {
      AskNewest();
    }
  });
}

auto KeyedLogFollower::Succeeded() -> void {
  backoff_ = std::chrono::milliseconds(0);
  if (!reachable_) {
    reachable_ = true;
    ever_reached_ = true;
    hooks_.on_reachable("");
  }
}

}  // namespace rhubarbhaven::jobs
