#include "Tests/Soak/checks.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <utility>

namespace rhubarbhaven::soak {
namespace {

using std::chrono::seconds;

// Bounds that the platform and the operators are promised.
constexpr seconds kStopsAfterCancel{4};
constexpr seconds kKnownAfter{3};
constexpr seconds kRunsAfter{10};

auto Milliseconds(Duration span) -> int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

auto IsAccepted(unsigned status) -> bool {
  return status >= 200 && status < 300;
}

auto IsRefused(unsigned status) -> bool {
  return status == 503 || status == 429;
}

auto IsOver(const std::string& state) -> bool {
  return absl::StrContains(state, "completed") ||
         absl::StrContains(state, "failed") ||
         absl::StrContains(state, "cancelled");
}

}  // namespace

auto PromiseName(Promise promise) -> std::string {
  constexpr std::array<const char*, 7> kNames = {
      "once", "cancelled", "known", "lasts", "completes", "refused", "alive"};
  return kNames.at(static_cast<std::size_t>(promise));
}

Checks::Checks(TimePoint start, const Calm* calm)
    : start_(start), calm_(calm), room_since_(start) {}

auto Checks::Break(Promise promise, const std::string& job, std::string what)
    -> void {
  broken_.push_back({promise, Since(Clock::now()), job, std::move(what)});
}

auto Checks::HandedIn(const std::string& job) -> void {
  const std::lock_guard lock(mutex_);
  ++jobs_[job].unanswered;
}

auto Checks::HandInAnswered(const std::string& job, unsigned status) -> void {
  const std::lock_guard lock(mutex_);
  auto& view = jobs_[job];
  --view.unanswered;
  if (IsRefused(status)) {
    ++view.refusals;
  } else {
    view.accepted_or_unknown = true;
  }
  if (IsAccepted(status) && !view.accepted) {
    view.accepted = Clock::now();
  }
  const bool only_refused =
      !view.accepted_or_unknown && view.unanswered == 0 && view.refusals > 0;
  if (only_refused) {
    ++looks_[Promise::kRefused];
  }
  if (only_refused && view.starts > 0) {
    Break(Promise::kRefused, job, "has run and every hand-in was refused");
  }
}

auto Checks::CancelSent(const std::string& job) -> void {
  const std::lock_guard lock(mutex_);
  jobs_[job].cancel_sent = true;
}

auto Checks::CancelAnswered(const std::string& job, int entry, unsigned status)
    -> void {
  const std::lock_guard lock(mutex_);
  auto& view = jobs_[job];
  const bool holds = IsAccepted(status) || status == 410;
  if (!holds || view.cancelled) {
    return;
  }
  view.cancelled = Clock::now();
  view.cancel_answer = absl::StrCat(status, " by entry-", entry);
  ++looks_[Promise::kCancelled];
}

auto Checks::StateAnswered(const std::string& job,
                           int entry,
                           TimePoint asked,
                           unsigned status,
                           const std::string& body) -> void {
  const std::lock_guard lock(mutex_);
  auto& view = jobs_[job];
  if (status == 200) {
    view.state = body;
  }
  const bool should_know =
      view.accepted && asked - *view.accepted > kKnownAfter;
  if (!should_know || (status != 200 && status != 410)) {
    return;
  }
  ++looks_[Promise::kKnown];
  if (status == 410) {
    Break(Promise::kKnown, job,
          absl::StrCat("entry-", entry, " answers 410, accepted at ",
                       Milliseconds(Since(*view.accepted)), " ms"));
  }
  const bool should_be_over = view.cancelled &&
                              asked - *view.cancelled > kStopsAfterCancel &&
                              calm_->LastedFor(kStopsAfterCancel, asked);
  if (status == 200 && should_be_over && !IsOver(body)) {
    Break(
        Promise::kCancelled, job,
        absl::StrCat("entry-", entry, " answers ", body, ", ", WhenSent(view)));
  }
}

auto Checks::WhenSent(const JobView& job) const -> std::string {
  const std::string accepted =
      job.accepted ? absl::StrCat("accepted at ",
                                  Milliseconds(Since(*job.accepted)), " ms, ")
                   : "";
  return absl::StrCat(accepted, "its cancel was answered ", job.cancel_answer,
                      " at ", Milliseconds(Since(*job.cancelled)), " ms");
}

auto Checks::Started(const std::string& worker,
                     const jobs::TaskName& task,
                     uint64_t run) -> void {
  const std::lock_guard lock(mutex_);
  const TimePoint now = Clock::now();
  auto& view = jobs_[task.job()];
  ++view.starts;
  ++looks_[Promise::kOnce];
  const bool only_refused =
      !view.accepted_or_unknown && view.unanswered == 0 && view.refusals > 0;
  if (only_refused) {
    Break(Promise::kRefused, task.job(),
          absl::StrCat(DescribeTask(task), " starts on ", worker,
                       ", every hand-in was refused"));
  }
  if (view.cancelled && now - *view.cancelled > kStopsAfterCancel &&
      calm_->LastedFor(kStopsAfterCancel, now)) {
    Break(Promise::kCancelled, task.job(),
          absl::StrCat(DescribeTask(task), " run ", run, " starts on ", worker,
                       ", ", WhenSent(view)));
  }
}

auto Checks::TwiceSeen(const std::string& problem) -> void {
  const std::lock_guard lock(mutex_);
  Break(Promise::kOnce, problem.substr(0, problem.find('.')), problem);
}

auto Checks::DaemonEnded(const std::string& name) -> void {
  const std::lock_guard lock(mutex_);
  Break(Promise::kAlive, "", name + " has ended by itself");
}

auto Checks::LastingTasks(TimePoint now) -> std::vector<std::string> {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> tasks;
  for (const auto& [job, view] : jobs_) {
    const bool lasts = KindOf(job) == JobKind::kLasting;
    if (!lasts || !view.accepted || view.cancel_sent ||
        now - *view.accepted < kRunsAfter) {
      continue;
    }
    for (auto& task : TasksOf(job)) {
      tasks.push_back(std::move(task));
    }
  }
  return tasks;
}

auto Checks::LookAtLasting(test::PlatformStandIn* platform) -> void {
  const TimePoint now = Clock::now();
  const auto calm_since = calm_->since();
  // The stand-in calls this object under its own lock, so it is asked first.
  std::map<std::string, bool> runs;
  for (const auto& task : LastingTasks(now)) {
    runs[task] = platform->Runs(task);
  }
  const bool room = platform->HasRoom();
  const std::lock_guard lock(mutex_);
  if (!room) {
    room_since_ = now;
  }
  for (const auto& [task, is_there] : runs) {
    ++looks_[Promise::kLasts];
    if (is_there) {
      absent_since_.erase(task);
      continue;
    }
    auto& since = absent_since_.try_emplace(task, now).first->second;
    if (!calm_since) {
      continue;
    }
    const TimePoint from = std::max({since, *calm_since, room_since_});
    const std::string job = task.substr(0, task.find('.'));
    if (now - from > kRunsAfter && !jobs_[job].cancel_sent) {
      Break(
          Promise::kLasts, job,
          absl::StrCat(task, " does not run since ", Milliseconds(Since(since)),
                       " ms, and there is room since ",
                       Milliseconds(Since(room_since_)), " ms"));
      // Said once for each span of this length.
      since = now;
    }
  }
}

auto Checks::ExpectOver(const std::string& job) -> void {
  const std::lock_guard lock(mutex_);
  auto& view = jobs_[job];
  ++looks_[Promise::kCompletes];
  const char* wanted =
      KindOf(job) == JobKind::kFailing ? "failed" : "completed";
  if (!view.cancel_sent && !absl::StrContains(view.state, wanted)) {
    Break(Promise::kCompletes, job,
          absl::StrCat("accepted at ", Milliseconds(Since(*view.accepted)),
                       " ms, is ", view.state, ", not ", wanted));
  }
}

auto Checks::ExpectKnown(const std::string& job, int entry, bool known)
    -> void {
  const std::lock_guard lock(mutex_);
  if (!known) {
    Break(Promise::kKnown, job,
          absl::StrCat("entry-", entry, " does not answer at the end"));
  }
}

auto Checks::AcceptedJobs() const -> std::vector<std::string> {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> accepted;
  for (const auto& [job, view] : jobs_) {
    if (view.accepted) {
      accepted.push_back(job);
    }
  }
  return accepted;
}

auto Checks::OpenJobs() const -> std::vector<std::string> {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> open;
  for (const auto& [job, view] : jobs_) {
    if (view.accepted && !view.cancel_sent && !IsOver(view.state) &&
        KindOf(job) != JobKind::kLasting) {
      open.push_back(job);
    }
  }
  return open;
}

auto Checks::broken() const -> std::vector<Broken> {
  const std::lock_guard lock(mutex_);
  return broken_;
}

auto Checks::looks(Promise promise) const -> uint64_t {
  const std::lock_guard lock(mutex_);
  const auto found = looks_.find(promise);
  return found == looks_.end() ? 0 : found->second;
}

auto Checks::Summary() const -> std::string {
  const std::lock_guard lock(mutex_);
  int accepted = 0;
  int cancelled = 0;
  int cancelled_as_unknown = 0;
  int refused = 0;
  for (const auto& [job, view] : jobs_) {
    accepted += view.accepted ? 1 : 0;
    refused += view.accepted ? 0 : 1;
    cancelled += view.cancelled ? 1 : 0;
    cancelled_as_unknown += view.cancel_answer.starts_with("410") ? 1 : 0;
  }
  return absl::StrCat(jobs_.size(), " jobs handed in, ", accepted,
                      " accepted, ", refused, " not, ", cancelled,
                      " cancelled, of which ", cancelled_as_unknown,
                      " were answered 410");
}

}  // namespace rhubarbhaven::soak
