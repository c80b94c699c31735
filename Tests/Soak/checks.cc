#include "Tests/Soak/checks.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <utility>

namespace rhubarbhaven::soak {
namespace {

using std::chrono::seconds;

// Bounds that are guaranteed to the platform and the operators.
// The shortest time that a platform allows for a cancel.
constexpr seconds kStopsAfterCancel{3};
constexpr seconds kKnownAfter{3};
constexpr seconds kRunsAfter{7};
// Time without faults after which a cancel must be effective.
constexpr seconds kSettled{4};

auto Milliseconds(Duration span) -> int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

auto IsAccepted(unsigned status) -> bool {
  return status >= 200 && status < 300;
}

auto IsRejected(unsigned status) -> bool {
  return status == 503 || status == 429;
}

auto IsOver(const std::string& state) -> bool {
  return absl::StrContains(state, "completed") ||
         absl::StrContains(state, "failed") ||
         absl::StrContains(state, "cancelled");
}

}  // namespace

auto GuaranteeName(Guarantee guarantee) -> std::string {
  constexpr std::array<const char*, 7> kNames = {
      "once", "cancelled", "known", "lasts", "completes", "refused", "alive"};
  return kNames.at(static_cast<std::size_t>(guarantee));
}

Checks::Checks(TimePoint start,
               const FaultFreePeriods* fault_free,
               TimeSource now)
    : start_(start),
      fault_free_(fault_free),
      now_(std::move(now)),
      room_since_(start) {}

auto Checks::AddViolation(Guarantee guarantee,
                          const std::string& job,
                          std::string description) -> void {
  violations_.push_back(
      {guarantee, ElapsedAt(now_()), job, std::move(description)});
}

auto Checks::SubmitSent(const std::string& job) -> void {
  const std::lock_guard lock(mutex_);
  ++jobs_[job].unanswered;
}

auto Checks::SubmitAnswered(const std::string& job, unsigned status) -> void {
  const std::lock_guard lock(mutex_);
  auto& view = jobs_[job];
  --view.unanswered;
  if (IsRejected(status)) {
    ++view.rejections;
  } else {
    view.accepted_or_unknown = true;
  }
  if (IsAccepted(status) && !view.accepted) {
    view.accepted = now_();
  }
  const bool only_rejected =
      !view.accepted_or_unknown && view.unanswered == 0 && view.rejections > 0;
  if (only_rejected) {
    ++check_counts_[Guarantee::kRejectedNeverRuns];
  }
  if (only_rejected && view.starts > 0) {
    AddViolation(Guarantee::kRejectedNeverRuns, job,
                 "has run although every submission was rejected");
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
  const bool acknowledged = IsAccepted(status) || status == 410;
  if (!acknowledged || view.cancelled) {
    return;
  }
  view.cancelled = now_();
  view.cancel_answer = absl::StrCat(status, " by entry-", entry);
  ++check_counts_[Guarantee::kCancelled];
}

auto Checks::StateAnswered(const std::string& job,
                           int entry,
                           TimePoint sent_at,
                           unsigned status,
                           const std::string& body) -> void {
  const std::lock_guard lock(mutex_);
  auto& view = jobs_[job];
  if (status == 200) {
    view.state = body;
  }
  const bool should_know =
      view.accepted && sent_at - *view.accepted > kKnownAfter;
  if (!should_know || (status != 200 && status != 410)) {
    return;
  }
  ++check_counts_[Guarantee::kKnown];
  if (status == 410) {
    AddViolation(Guarantee::kKnown, job,
                 absl::StrCat("entry-", entry, " answers 410, accepted at ",
                              Milliseconds(ElapsedAt(*view.accepted)), " ms"));
  }
  const bool should_be_over = view.cancelled &&
                              sent_at - *view.cancelled > kStopsAfterCancel &&
                              fault_free_->all().HasLasted(kSettled, sent_at);
  if (status == 200 && should_be_over && !IsOver(body)) {
    AddViolation(Guarantee::kCancelled, job,
                 absl::StrCat("entry-", entry, " answers ", body, ", ",
                              DescribeCancel(view)));
  }
}

auto Checks::DescribeCancel(const JobView& job) const -> std::string {
  const std::string accepted =
      job.accepted
          ? absl::StrCat("accepted at ", Milliseconds(ElapsedAt(*job.accepted)),
                         " ms, ")
          : "";
  return absl::StrCat(accepted, "its cancel was answered ", job.cancel_answer,
                      " at ", Milliseconds(ElapsedAt(*job.cancelled)), " ms");
}

auto Checks::Started(const std::string& worker,
                     const jobs::TaskName& task,
                     uint64_t run) -> void {
  const std::lock_guard lock(mutex_);
  const TimePoint now = now_();
  auto& view = jobs_[task.job()];
  ++view.starts;
  ++check_counts_[Guarantee::kRunsOnce];
  const bool only_rejected =
      !view.accepted_or_unknown && view.unanswered == 0 && view.rejections > 0;
  if (only_rejected) {
    AddViolation(Guarantee::kRejectedNeverRuns, task.job(),
                 absl::StrCat(DescribeTask(task), " starts on ", worker,
                              " although every submission was rejected"));
  }
  if (view.cancelled && now - *view.cancelled > kStopsAfterCancel &&
      fault_free_->starts().HasLasted(kSettled, now)) {
    AddViolation(Guarantee::kCancelled, task.job(),
                 absl::StrCat(DescribeTask(task), " run ", run, " starts on ",
                              worker, ", ", DescribeCancel(view)));
  }
}

auto Checks::DuplicateRunSeen(const std::string& problem) -> void {
  const std::lock_guard lock(mutex_);
  AddViolation(Guarantee::kRunsOnce, problem.substr(0, problem.find('.')),
               problem);
}

auto Checks::DaemonEnded(const std::string& name) -> void {
  const std::lock_guard lock(mutex_);
  AddViolation(Guarantee::kStaysUp, "", name + " exited without a request");
}

auto Checks::LongRunningTasks(TimePoint now) -> std::vector<std::string> {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> tasks;
  for (const auto& [job, view] : jobs_) {
    const bool long_running = KindOf(job) == JobKind::kLongRunning;
    if (!long_running || !view.accepted || view.cancel_sent ||
        now - *view.accepted < kRunsAfter) {
      continue;
    }
    for (auto& task : TasksOf(job)) {
      tasks.push_back(std::move(task));
    }
  }
  return tasks;
}

auto Checks::CheckLongRunning(test::PlatformStandIn* platform,
                              const std::set<int>& unreachable) -> void {
  const TimePoint now = now_();
  const auto fault_free_since = fault_free_->all().since();
  // The stand-in calls this object while it holds its own lock. To avoid a
  // deadlock, it is queried before this object's lock is taken.
  std::map<std::string, bool> runs;
  for (const auto& task : LongRunningTasks(now)) {
    runs[task] = platform->Runs(task);
  }
  const bool has_room = platform->HasRoom(unreachable);
  const std::lock_guard lock(mutex_);
  if (!has_room) {
    room_since_ = now;
  }
  for (const auto& [task, is_running] : runs) {
    ++check_counts_[Guarantee::kRunsContinuously];
    if (is_running) {
      not_running_since_.erase(task);
      continue;
    }
    auto& since = not_running_since_.try_emplace(task, now).first->second;
    if (!fault_free_since) {
      continue;
    }
    const TimePoint from = std::max({since, *fault_free_since, room_since_});
    const std::string job = task.substr(0, task.find('.'));
    if (now - from > kRunsAfter && !jobs_[job].cancel_sent) {
      AddViolation(Guarantee::kRunsContinuously, job,
                   absl::StrCat(task, " has not been running since ",
                                Milliseconds(ElapsedAt(since)),
                                " ms, and there has been capacity since ",
                                Milliseconds(ElapsedAt(room_since_)), " ms"));
      // Reports one violation for each interval of this length.
      since = now;
    }
  }
}

auto Checks::ExpectOver(const std::string& job) -> void {
  const std::lock_guard lock(mutex_);
  auto& view = jobs_[job];
  ++check_counts_[Guarantee::kCompletes];
  const char* expected_state =
      KindOf(job) == JobKind::kFailing ? "failed" : "completed";
  if (!view.cancel_sent && !absl::StrContains(view.state, expected_state)) {
    AddViolation(
        Guarantee::kCompletes, job,
        absl::StrCat("accepted at ", Milliseconds(ElapsedAt(*view.accepted)),
                     " ms, is ", view.state, ", not ", expected_state));
  }
}

auto Checks::ExpectKnown(const std::string& job, int entry, bool known)
    -> void {
  const std::lock_guard lock(mutex_);
  if (!known) {
    AddViolation(Guarantee::kKnown, job,
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
        KindOf(job) != JobKind::kLongRunning) {
      open.push_back(job);
    }
  }
  return open;
}

auto Checks::violations() const -> std::vector<Violation> {
  const std::lock_guard lock(mutex_);
  return violations_;
}

auto Checks::check_count(Guarantee guarantee) const -> uint64_t {
  const std::lock_guard lock(mutex_);
  const auto found = check_counts_.find(guarantee);
  return found == check_counts_.end() ? 0 : found->second;
}

auto Checks::Summary() const -> std::string {
  const std::lock_guard lock(mutex_);
  int accepted = 0;
  int cancelled = 0;
  int cancelled_as_unknown = 0;
  int not_accepted = 0;
  for (const auto& [job, view] : jobs_) {
    accepted += view.accepted ? 1 : 0;
    not_accepted += view.accepted ? 0 : 1;
    cancelled += view.cancelled ? 1 : 0;
    cancelled_as_unknown += view.cancel_answer.starts_with("410") ? 1 : 0;
  }
  return absl::StrCat(jobs_.size(), " jobs submitted, ", accepted,
                      " accepted, ", not_accepted, " not accepted, ", cancelled,
                      " cancelled, of which ", cancelled_as_unknown,
                      " were answered 410");
}

}  // namespace rhubarbhaven::soak
