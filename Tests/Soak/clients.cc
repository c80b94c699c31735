#include "Tests/Soak/clients.h"

#include <utility>

namespace rhubarbhaven::soak {
namespace {

using std::chrono::milliseconds;

// Enough although a slow entry holds calls until they time out.
constexpr int kThreadsPerEntry = 8;
constexpr milliseconds kIdleInterval{2};
constexpr milliseconds kRetryInterval{300};
constexpr milliseconds kFirstQueryDelay{3100};
constexpr milliseconds kQueryInterval{2000};
constexpr int64_t kPercent = 100;

auto IsFinalStatus(unsigned status) -> bool {
  return status == 410 || (status >= 200 && status < 300);
}

}  // namespace

Clients::Clients(const SoakOptions& options,
                 std::vector<std::string> addresses,
                 Checks* checks)
    : addresses_(std::move(addresses)),
      plan_(MakeLoadPlan(options)),
      checks_(checks),
      submit_interval_(static_cast<int64_t>(
          1e6 / (plan_.jobs_per_agent_second * options.agents))),
      random_(options.seed),
      begin_(Clock::now()),
      next_job_(begin_) {
  for (int i = 0; i < kThreadsPerEntry * options.entries; ++i) {
    threads_.emplace_back([this]() -> void { Run(); });
  }
}

Clients::~Clients() {
  stop_ = true;
  for (auto& thread : threads_) {
    thread.join();
  }
}

auto Clients::Run() -> void {
  EntryCaller caller(addresses_, plan_.payloads);
  while (!stop_) {
    Action action;
    if (Next(&action)) {
      Execute(action, &caller);
    } else {
      std::this_thread::sleep_for(kIdleInterval);
    }
  }
}

auto Clients::Next(Action* action) -> bool {
  const std::lock_guard lock(mutex_);
  const TimePoint now = Clock::now();
  if (!actions_.empty() && actions_.begin()->first <= now) {
    *action = std::move(actions_.begin()->second);
    actions_.erase(actions_.begin());
    return true;
  }
  if (!submits_jobs_ || next_job_ > now) {
    return false;
  }
  next_job_ = now + SubmitInterval(now);
  *action = NewJob();
  return true;
}

auto Clients::SubmitInterval(TimePoint now) const -> std::chrono::microseconds {
  const auto since = std::chrono::duration_cast<milliseconds>(now - begin_);
  return IsBurst(since) ? submit_interval_ / plan_.burst_factor
                        : submit_interval_;
}

auto Clients::NewJob() -> Action {
  constexpr int64_t kLastingShare = 30;
  constexpr int64_t kWideShare = 8;
  constexpr int64_t kFailingShare = 6;
  const int64_t draw = Pick(0, kPercent - 1);
  JobKind kind = JobKind::kShort;
  if (draw < kLastingShare) {
    kind = JobKind::kLongRunning;
  } else if (draw < kLastingShare + kWideShare) {
    kind = JobKind::kWide;
  } else if (draw < kLastingShare + kWideShare + kFailingShare) {
    kind = JobKind::kFailing;
  }
  return {ActionKind::kSubmit, MakeJobId(kind, random_()), AnyEntry()};
}

auto Clients::Pick(int64_t low, int64_t high) -> int64_t {
  return low + static_cast<int64_t>(random_() %
                                    static_cast<uint64_t>(high - low + 1));
}

auto Clients::AnyEntry() -> int {
  return static_cast<int>(Pick(0, static_cast<int64_t>(addresses_.size()) - 1));
}

auto Clients::ScheduleAfter(milliseconds wait, Action action) -> void {
  actions_.emplace(Clock::now() + wait, std::move(action));
}

auto Clients::Execute(const Action& action, EntryCaller* caller) -> void {
  switch (action.action_kind) {
    case ActionKind::kSubmit:
      Submit(action, caller);
      break;
    case ActionKind::kRepeat:
      caller->Submit(action.entry, action.job);
      break;
    case ActionKind::kCancel:
      Cancel(action, caller);
      break;
    case ActionKind::kQuery:
      Query(action, caller);
      break;
  }
}

auto Clients::Submit(const Action& action, EntryCaller* caller) -> void {
  constexpr int64_t kAbandonedWhenRejectedShare = 50;
  checks_->SubmitSent(action.job);
  const unsigned status = caller->Submit(action.entry, action.job).status;
  checks_->SubmitAnswered(action.job, status);
  const std::lock_guard lock(mutex_);
  if (status >= 200 && status < 300) {
    ScheduleFollowUps(action.job);
    return;
  }
  const bool rejected = status == 503 || status == 429;
  if (rejected && Pick(0, kPercent - 1) < kAbandonedWhenRejectedShare) {
    return;
  }
  ScheduleAfter(kRetryInterval, {ActionKind::kSubmit, action.job, AnyEntry()});
}

auto Clients::ScheduleFollowUps(const std::string& job) -> void {
  constexpr int64_t kCancelledShortShare = 30;
  constexpr int64_t kRepeatedShare = 10;
  constexpr int64_t kMaxCancels = 3;
  if (Pick(0, kPercent - 1) < kRepeatedShare) {
    ScheduleAfter(milliseconds(Pick(500, 5000)),
                  {ActionKind::kRepeat, job, AnyEntry()});
  }
  ScheduleAfter(kFirstQueryDelay, {ActionKind::kQuery, job, AnyEntry()});
  const bool long_running = KindOf(job) == JobKind::kLongRunning;
  if (long_running &&
      uncancelled_long_running_ < plan_.uncancelled_long_running) {
    ++uncancelled_long_running_;
    return;
  }
  const bool cancelled =
      Pick(0, kPercent - 1) < kCancelledShortShare || cancels_soon_;
  if (!long_running && !cancelled) {
    return;
  }
  const milliseconds wait = CancelDelay();
  for (int64_t left = Pick(1, kMaxCancels); left > 0; --left) {
    ScheduleAfter(wait + milliseconds(Pick(0, 20)),
                  {ActionKind::kCancel, job, AnyEntry()});
  }
}

auto Clients::CancelDelay() -> milliseconds {
  constexpr int64_t kAtOnceShare = 50;
  constexpr int64_t kSoonShare = 40;
  const int64_t draw = Pick(0, kPercent - 1);
  if (cancels_soon_) {
    return milliseconds(Pick(100, 2000));
  }
  if (draw < kAtOnceShare) {
    return milliseconds(Pick(0, 60));
  }
  return milliseconds(draw < kAtOnceShare + kSoonShare ? Pick(100, 2000)
                                                       : Pick(2000, 4000));
}

auto Clients::Cancel(const Action& action, EntryCaller* caller) -> void {
  checks_->CancelSent(action.job);
  const unsigned status = caller->Cancel(action.entry, action.job).status;
  checks_->CancelAnswered(action.job, action.entry, status);
  if (!IsFinalStatus(status)) {
    const std::lock_guard lock(mutex_);
    ScheduleAfter(kRetryInterval,
                  {ActionKind::kCancel, action.job, AnyEntry()});
  }
}

auto Clients::Query(const Action& action, EntryCaller* caller) -> void {
  const TimePoint sent_at = Clock::now();
  const CallerAnswer answer = caller->Query(action.entry, action.job);
  checks_->StateAnswered(action.job, action.entry, sent_at, answer.status,
                         answer.body);
  const std::lock_guard lock(mutex_);
  if (submits_jobs_) {
    ScheduleAfter(kQueryInterval, {ActionKind::kQuery, action.job, AnyEntry()});
  }
}

}  // namespace rhubarbhaven::soak
