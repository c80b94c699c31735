// Explores random orders of cancels and faults in virtual time.
//
// Checks that no task is started long after the cancel of its job was
// acknowledged, and that no job that nobody cancelled is reported as cancelled
// or unknown. Several clients cancel a job at different entries, some of them
// before its submission was answered, and each of them relies on the first
// acknowledgement. Entries read late, slowly or not at all, their appends are
// stored seconds later, and owners are cut off from agents.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Tests/Jobs/explorer_faults.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRounds = 14;
constexpr milliseconds kCheckInterval{100};
// A cancel must be effective this long after it was acknowledged: the shortest
// time that a platform requires.
constexpr milliseconds kCancelEffectiveWithin{3000};
// A fault excuses nothing that happens later than this after its end. The end
// of a fault is noticed at most one check interval late.
constexpr milliseconds kFaultGracePeriod = milliseconds(4000) + kCheckInterval;
// Time from the order to stop until the end of a run, including the next poll
// of the worker.
constexpr milliseconds kMaxStopTime{1000};
// An accepted job may be reported as unknown for this long.
constexpr milliseconds kVisibleWithin{3000};
// Jobs are queried for this long. Some time after their end they are deleted
// from the log and are then unknown.
constexpr seconds kQueryPeriod{60};
constexpr milliseconds kAnswerTimeout{3500};
constexpr double kCancelShare = 0.7;
// Bandwidths at which reads are answered too late, or just in time.
constexpr int64_t kMinSlowBandwidth = 40;
constexpr int64_t kMaxSlowBandwidth = 4000;
// Another entry must be able to read, so that it can detect that the owner does
// not answer.
constexpr std::ptrdiff_t kMaxEntriesNotReading = 1;
constexpr int kJobsWhileOwnerCannotRead = 5;
constexpr double kLostAnswersShare = 0.8;
// Nearly the time of a lease.
constexpr milliseconds kMaxOrderDelay{4800};

enum : int64_t {
  kUnansweredReads = kLastCommonFault + 1,
  kSlowReads,
  kLateAppends,
  kHeldAppends,
  kOwnerCannotRead,
  kOwnerLinksCut,
  kOwnerOrdersLate,
  kOwnerSlow,
  kFaults,
};

class CancelScenario {
 public:
  explicit CancelScenario(uint64_t seed) : cluster_(Options(seed)) {
    CheckPeriodically();
  }

  auto Run() -> void;
  auto problems() const -> std::vector<std::string>;
  auto cluster() const -> const SimulatedCluster& { return cluster_; }
  // Number of jobs whose cancel was acknowledged.
  auto cancelled() const -> std::size_t { return acknowledged_.size(); }

 private:
  auto Options(uint64_t seed) -> SimulatedClusterOptions;
  auto SubmitRandomJob() -> std::string;
  // Several clients cancel the job at about the same time.
  auto CancelLater(const std::string& job) -> void;
  // Cancels the job at one entry after the other until it is acknowledged.
  auto CancelAt(int entry, const std::string& job) -> void;
  auto InjectFault() -> void;
  auto CutOwnerLinks(milliseconds span) -> void;
  // Orders of the owner reach the agents late for this time. This excuses no
  // late start, since the agents work.
  auto DelayOwnerOrders(milliseconds span) -> void;
  auto SlowOwner(milliseconds span) -> void;
  auto StopReads(int entry) -> void;
  // Stops the reads of the owner alone, without any other fault.
  auto StopOwnerReads() -> void;
  auto Heal() -> void;
  auto QueryRandomJob() -> void;
  auto Query(int entry, const std::string& job) -> void;
  // Records active faults, checks what runs although it is cancelled, and
  // queries a job.
  auto CheckPeriodically() -> void;
  auto CheckRuns() -> void;
  auto CheckStates() -> void;
  auto OnStart(const TaskName& task) -> void;
  // Whether a fault is active that excuses a start. Unanswered or slow reads at
  // some entries do not, beyond the time until an entry that reads has replaced
  // the owner.
  auto HasFault() const -> bool;
  // Whether no such fault was active for this long.
  auto IsStableFor(milliseconds span) -> bool;
  auto RandomEntry() -> int {
    return static_cast<int>(cluster_.time().Pick(0, cluster_.entries() - 1));
  }
  auto ReportProblem(const std::string& text) -> void;

  // When a cancel of the job was first acknowledged.
  std::map<std::string, TimePoint> acknowledged_;
  std::set<std::string> cancel_requested_;
  // Entries whose reads are unanswered or slow.
  std::set<int> not_reading_;
  std::map<std::string, TimePoint> accepted_;
  std::set<std::string> started_;
  // Tasks already reported as running after their cancel.
  std::set<std::string> reported_;
  TimePoint last_fault_at_;
  // Until when orders of some owner may be late, also those to stop a run.
  TimePoint orders_late_until_;
  std::vector<std::string> problems_;
  SimulatedCluster cluster_;
};

auto CancelScenario::Options(uint64_t seed) -> SimulatedClusterOptions {
  SimulatedClusterOptions options;
  options.seed = seed;
  options.failing_runs = 0.1;
  options.paced_registration = true;
  options.keep_order = true;
  options.on_start = [this](const TaskName& task) -> void { OnStart(task); };
  return options;
}

auto CancelScenario::Run() -> void {
  auto& time = cluster_.time();
  cluster_.RunFor(seconds(4));
  for (int round = 0; round < kRounds; ++round) {
    for (int64_t left = time.Pick(1, 3); left > 0; --left) {
      const auto job = SubmitRandomJob();
      if (time.Chance(kCancelShare)) {
        CancelLater(job);
      }
      cluster_.RunFor(time.Milliseconds(0, 300));
    }
    InjectFault();
    if (time.Chance(0.4)) {
      InjectFault();
    }
    cluster_.RunFor(time.Milliseconds(200, 6000));
    if (time.Chance(0.5)) {
      Heal();
      cluster_.RunFor(time.Milliseconds(0, 9000));
    }
  }
  Heal();
  cluster_.RunFor(seconds(60));
  CheckStates();
}

auto CancelScenario::SubmitRandomJob() -> std::string {
  auto& time = cluster_.time();
  const auto tasks = static_cast<uint32_t>(time.Pick(1, 3));
  switch (time.Pick(0, 3)) {
    case 0:
      return cluster_.SubmitLongRunning(tasks);
    case 1:
      return cluster_.SubmitOpportunistic(tasks);
    case 2:
      return cluster_.Submit({tasks, tasks});
    default:
      return cluster_.Submit({tasks});
  }
}

auto CancelScenario::CancelLater(const std::string& job) -> void {
  auto& time = cluster_.time();
  cancel_requested_.insert(job);
  const auto wait = time.Chance(0.5)   ? time.Milliseconds(0, 20)
                    : time.Chance(0.5) ? time.Milliseconds(20, 500)
                                       : time.Milliseconds(500, 8000);
  const int first = RandomEntry();
  const auto clients = static_cast<int>(time.Pick(1, cluster_.entries()));
  for (int client = 0; client < clients; ++client) {
    const int entry = (first + client) % cluster_.entries();
    time.After(wait + time.Milliseconds(0, 10),
               [this, entry, job]() -> void { CancelAt(entry, job); });
  }
}

auto CancelScenario::CancelAt(int entry, const std::string& job) -> void {
  auto& time = cluster_.time();
  // Shared by the answer and the timeout; the first of them sets it.
  const auto over = std::make_shared<bool>(false);
  const auto next = [this, entry, job]() -> void {
    CancelAt((entry + 1) % cluster_.entries(), job);
  };
  cluster_.CallAt(
      entry, JobCallKind::kCancel, job,
      [this, entry, job, over, next](const JobReply& reply) -> void {
        if (std::exchange(*over, true)) {
          return;
        }
        const bool acknowledged = reply.verdict == JobVerdict::kCancelled ||
                                  reply.verdict == JobVerdict::kNoSuchJob;
        if (!acknowledged) {
          cluster_.time().After(cluster_.time().Milliseconds(100, 1000), next);
          return;
        }
        cluster_.Trace("ACKNOWLEDGED cancel of " + job + " by entry " +
                       std::to_string(entry) + ": " + reply.text);
        acknowledged_.emplace(job, cluster_.time().now());
      });
  time.After(kAnswerTimeout, [over, next]() -> void {
    if (!std::exchange(*over, true)) {
      next();
    }
  });
}

auto CancelScenario::InjectFault() -> void {
  auto& time = cluster_.time();
  const int entry = RandomEntry();
  const auto agent =
      static_cast<int>(time.Pick(0, std::ssize(cluster_.Agents()) - 1));
  const auto span = time.Milliseconds(300, 9000);
  const auto fault = time.Pick(0, kFaults - 1);
  const std::string client = "entry-" + std::to_string(entry);
  if (fault != kOwnerOrdersLate && fault != kOwnerSlow) {
    last_fault_at_ = time.now();
  }
  if (fault <= kLastCommonFault) {
    ApplyFault(cluster_, fault, {entry, agent, span});
    return;
  }
  cluster_.Trace("FAULT " + std::to_string(fault) + " " + client + " ms " +
                 std::to_string(span.count()));
  switch (fault) {
    case kUnansweredReads:
      StopReads(entry);
      break;
    case kSlowReads:
      not_reading_.insert(entry);
      cluster_.log().SetBandwidthFor(
          client, static_cast<std::size_t>(
                      time.Pick(kMinSlowBandwidth, kMaxSlowBandwidth)));
      break;
    case kLateAppends:
      cluster_.log().LoseAnswers(kLostAnswersShare);
      break;
    case kHeldAppends:
      cluster_.log().SetModeFor(client, VirtualLog::Mode::kHoldsAppends);
      break;
    case kOwnerCannotRead:
      StopOwnerReads();
      break;
    case kOwnerOrdersLate:
      DelayOwnerOrders(span);
      break;
    case kOwnerSlow:
      SlowOwner(span);
      break;
    default:
      CutOwnerLinks(span);
  }
}

auto CancelScenario::DelayOwnerOrders(milliseconds span) -> void {
  const auto delay = cluster_.time().Milliseconds(500, kMaxOrderDelay.count());
  orders_late_until_ =
      std::max(orders_late_until_, cluster_.time().now() + span + delay);
  for (const int agent : cluster_.Agents()) {
    cluster_.DelayOrders(std::max(cluster_.Owner(), 0), agent, delay, span);
  }
}

auto CancelScenario::SlowOwner(milliseconds span) -> void {
  orders_late_until_ = std::max(orders_late_until_,
                                cluster_.time().now() + span + kMaxOrderDelay);
  cluster_.SlowEntry(std::max(cluster_.Owner(), 0),
                     cluster_.time().Milliseconds(5, 40), span);
}

auto CancelScenario::StopReads(int entry) -> void {
  not_reading_.insert(entry);
  cluster_.log().SetModeFor("entry-" + std::to_string(entry),
                            VirtualLog::Mode::kReadsUnanswered);
}

auto CancelScenario::StopOwnerReads() -> void {
  Heal();
  StopReads(std::max(cluster_.Owner(), 0));
  for (int jobs = 0; jobs < kJobsWhileOwnerCannotRead; ++jobs) {
    CancelLater(SubmitRandomJob());
    cluster_.RunFor(cluster_.time().Milliseconds(500, 2500));
  }
}

auto CancelScenario::CutOwnerLinks(milliseconds span) -> void {
  const int owner = std::max(cluster_.Owner(), 0);
  for (const int agent : cluster_.Agents()) {
    if (cluster_.time().Chance(0.6)) {
      cluster_.CutLink(owner, agent, span);
    }
  }
}

auto CancelScenario::Heal() -> void {
  if (HasFault()) {
    last_fault_at_ = cluster_.time().now();
  }
  not_reading_.clear();
  cluster_.HealAll();
}

auto CancelScenario::QueryRandomJob() -> void {
  std::vector<std::string> jobs;
  for (const auto& [job, since] : accepted_) {
    if (!cancel_requested_.contains(job) &&
        cluster_.time().now() - since < kQueryPeriod) {
      jobs.push_back(job);
    }
  }
  if (!jobs.empty()) {
    const auto pick = cluster_.time().Pick(0, std::ssize(jobs) - 1);
    Query(RandomEntry(), jobs[static_cast<std::size_t>(pick)]);
  }
}

auto CancelScenario::Query(int entry, const std::string& job) -> void {
  const bool must_be_visible =
      cluster_.time().now() - accepted_.at(job) >= kVisibleWithin;
  cluster_.CallAt(
      entry, JobCallKind::kQuery, job,
      [this, entry, job, must_be_visible](const JobReply& reply) -> void {
        const bool cancelled =
            reply.verdict == JobVerdict::kState && reply.state == JOB_CANCELLED;
        const bool not_found =
            reply.verdict == JobVerdict::kNoSuchJob && must_be_visible;
        if (cancelled || not_found) {
          ReportProblem(job + " is accepted and was not cancelled, but entry " +
                        std::to_string(entry) + " reports it as " +
                        (not_found ? "unknown" : "cancelled"));
        }
      });
}

auto CancelScenario::CheckPeriodically() -> void {
  auto& time = cluster_.time();
  if (HasFault()) {
    last_fault_at_ = time.now();
  }
  for (const auto& job : cluster_.accepted()) {
    accepted_.emplace(job, time.now());
  }
  CheckRuns();
  QueryRandomJob();
  time.After(kCheckInterval, [this]() -> void { CheckPeriodically(); });
}

auto CancelScenario::CheckRuns() -> void {
  if (!IsStableFor(kFaultGracePeriod + kMaxStopTime) ||
      cluster_.time().now() < orders_late_until_ + kFaultGracePeriod) {
    return;
  }
  for (const auto& task : started_) {
    const auto found = acknowledged_.find(task.substr(0, task.find('.')));
    const bool must_have_ended = found != acknowledged_.end() &&
                                 cluster_.time().now() - found->second >
                                     kCancelEffectiveWithin + kMaxStopTime;
    if (must_have_ended && cluster_.RunsAnywhere(task) &&
        reported_.insert(task).second) {
      ReportProblem(
          task +
          " still runs long after the cancel of its job was acknowledged");
    }
  }
}

auto CancelScenario::CheckStates() -> void {
  for (const auto& [job, since] : acknowledged_) {
    for (int entry = 0; entry < cluster_.entries(); ++entry) {
      const auto state = cluster_.StateOf(entry, job);
      if (state && *state < JOB_COMPLETED) {
        ReportProblem(job + " is " + JobState_Name(*state) + " at entry " +
                      std::to_string(entry) +
                      ", although its cancel was acknowledged");
      }
    }
  }
  for (const auto& job : cancel_requested_) {
    if (!acknowledged_.contains(job)) {
      ReportProblem("no entry has acknowledged the cancel of " + job);
    }
  }
}

auto CancelScenario::OnStart(const TaskName& task) -> void {
  started_.insert(DescribeTask(task));
  const auto found = acknowledged_.find(task.job());
  const bool is_late =
      found != acknowledged_.end() &&
      cluster_.time().now() - found->second > kCancelEffectiveWithin;
  if (is_late && IsStableFor(kFaultGracePeriod)) {
    ReportProblem(DescribeTask(task) +
                  " starts long after the cancel of its job was acknowledged");
  }
}

auto CancelScenario::HasFault() const -> bool {
  return cluster_.HasFaultBeyondReads() ||
         std::ssize(not_reading_) > kMaxEntriesNotReading;
}

auto CancelScenario::IsStableFor(milliseconds span) -> bool {
  return !HasFault() && cluster_.time().now() - last_fault_at_ >= span;
}

auto CancelScenario::ReportProblem(const std::string& text) -> void {
  const auto now = std::chrono::duration_cast<milliseconds>(
      cluster_.time().now().time_since_epoch());
  cluster_.Trace("PROBLEM " + text);
  problems_.push_back(std::to_string(now.count()) + " ms: " + text);
}

auto CancelScenario::problems() const -> std::vector<std::string> {
  auto all = problems_;
  all.insert(all.end(), cluster_.problems().begin(), cluster_.problems().end());
  return all;
}

class CancelExplorerTest : public testing::TestWithParam<uint64_t> {};

TEST_P(CancelExplorerTest, AcknowledgedCancelsHoldWhateverFails) {
  CancelScenario scenario(GetParam());
  scenario.Run();
  for (const auto& problem : scenario.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(scenario.cluster().Owner(), 0);
  EXPECT_FALSE(scenario.cluster().accepted().empty());
  EXPECT_GT(scenario.cancelled(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelExplorerTest, ExplorerSeeds(60));

// In these, orders of the owner lie for seconds on their way to the agents.
INSTANTIATE_TEST_SUITE_P(Regressions,
                         CancelExplorerTest,
                         testing::Values(249, 277, 280));

}  // namespace
}  // namespace rhubarbhaven::jobs
