// Random orders of cancels and faults over virtual time.
//
// Symptom watched for: a task that is started long after its job's cancel was
// acknowledged, or a job that nobody cancelled and that is said to be cancelled
// or not there. Several clients cancel a job at different entries, also before
// its hand-in was answered, and each takes the first acknowledgement at its
// word. Entries read late, slowly or not at all, what they append is stored
// seconds later, and owners are cut off from agents.

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
constexpr milliseconds kLook{100};
// A cancel that was acknowledged is in force after this.
constexpr milliseconds kCancelHolds{4000};
// A fault excuses nothing that happens later than this after it, and at most a
// look passes until it is seen to be over.
constexpr milliseconds kContact = milliseconds(4000) + kLook;
// From the order to stop to the end of a run, with the next look at the worker.
constexpr milliseconds kStops{1000};
// Within this a job that is accepted may be said not to be there.
constexpr milliseconds kVisible{3000};
// What has long been over is dropped from the log, and is not there any more.
constexpr seconds kAskedFor{60};
constexpr milliseconds kAskTimeout{3500};
constexpr double kCancelShare = 0.7;
// Of reads that are answered too late, or just in time.
constexpr int64_t kSlowestReads = 40;
constexpr int64_t kFastestSlowReads = 4000;
// Another entry has to be there that reads, and can still tell that the owner
// is silent.
constexpr std::ptrdiff_t kMostBlind = 1;
constexpr int kJobsOfBlindOwner = 5;
constexpr double kMostAnswersLost = 0.8;

enum : int64_t {
  kSilentReads = kLastPlainFault + 1,
  kSlowReads,
  kLateAppends,
  kHeldAppends,
  kBlindOwner,
  kOwnerCutOff,
  kFaults,
};

class CancelPlay {
 public:
  explicit CancelPlay(uint64_t seed) : world_(Options(seed)) { Look(); }

  auto Run() -> void;
  auto problems() const -> std::vector<std::string>;
  auto world() const -> const JobWorld& { return world_; }
  // Jobs whose cancel was acknowledged.
  auto cancelled() const -> std::size_t { return acknowledged_.size(); }

 private:
  auto Options(uint64_t seed) -> JobWorldOptions;
  auto SubmitAny() -> std::string;
  // Some clients cancel the job, all at about the same time.
  auto CancelLater(const std::string& job) -> void;
  // Until it is acknowledged, at one entry after the other.
  auto CancelAt(int entry, const std::string& job) -> void;
  auto InjectFault() -> void;
  auto CutOwnerOff(milliseconds span) -> void;
  auto SilenceReads(int entry) -> void;
  // The owner alone, and with nothing else that fails.
  auto BlindOwner() -> void;
  auto Heal() -> void;
  auto AskAny() -> void;
  auto Ask(int entry, const std::string& job) -> void;
  // Faults in force now, and what runs on although it is cancelled.
  auto Look() -> void;
  auto CheckRuns() -> void;
  auto CheckStates() -> void;
  auto OnStart(const TaskName& task) -> void;
  // Whether a fault is in force that excuses a start. Reads that are silent or
  // slow at some entries do not, for longer than it takes until one that reads
  // has replaced the owner.
  auto Disturbed() const -> bool;
  // No such fault was in force for this long.
  auto CalmFor(milliseconds span) -> bool;
  auto AnyEntry() -> int {
    return static_cast<int>(world_.time().Pick(0, world_.entries() - 1));
  }
  auto Problem(const std::string& text) -> void;

  // When a cancel of the job was first acknowledged.
  std::map<std::string, TimePoint> acknowledged_;
  std::set<std::string> cancel_asked_;
  // Entries whose reads are silent or slow.
  std::set<int> blind_;
  std::map<std::string, TimePoint> accepted_;
  std::set<std::string> started_;
  // Said to run on once.
  std::set<std::string> told_;
  TimePoint disturbed_at_;
  std::vector<std::string> problems_;
  JobWorld world_;
};

auto CancelPlay::Options(uint64_t seed) -> JobWorldOptions {
  JobWorldOptions options;
  options.seed = seed;
  options.failing_runs = 0.1;
  options.paced_registration = true;
  options.keep_order = true;
  options.on_start = [this](const TaskName& task) -> void { OnStart(task); };
  return options;
}

auto CancelPlay::Run() -> void {
  auto& time = world_.time();
  world_.RunFor(seconds(4));
  for (int round = 0; round < kRounds; ++round) {
    for (int64_t left = time.Pick(1, 3); left > 0; --left) {
      const auto job = SubmitAny();
      if (time.Chance(kCancelShare)) {
        CancelLater(job);
      }
      world_.RunFor(time.Milliseconds(0, 300));
    }
    InjectFault();
    if (time.Chance(0.4)) {
      InjectFault();
    }
    world_.RunFor(time.Milliseconds(200, 6000));
    if (time.Chance(0.5)) {
      Heal();
      world_.RunFor(time.Milliseconds(0, 9000));
    }
  }
  Heal();
  world_.RunFor(seconds(60));
  CheckStates();
}

auto CancelPlay::SubmitAny() -> std::string {
  auto& time = world_.time();
  const auto tasks = static_cast<uint32_t>(time.Pick(1, 3));
  switch (time.Pick(0, 3)) {
    case 0:
      return world_.SubmitLasting(tasks);
    case 1:
      return world_.SubmitFilling(tasks);
    case 2:
      return world_.Submit({tasks, tasks});
    default:
      return world_.Submit({tasks});
  }
}

auto CancelPlay::CancelLater(const std::string& job) -> void {
  auto& time = world_.time();
  cancel_asked_.insert(job);
  const auto wait = time.Chance(0.5)   ? time.Milliseconds(0, 20)
                    : time.Chance(0.5) ? time.Milliseconds(20, 500)
                                       : time.Milliseconds(500, 8000);
  const int first = AnyEntry();
  const auto clients = static_cast<int>(time.Pick(1, world_.entries()));
  for (int client = 0; client < clients; ++client) {
    const int entry = (first + client) % world_.entries();
    time.After(wait + time.Milliseconds(0, 10),
               [this, entry, job]() -> void { CancelAt(entry, job); });
  }
}

auto CancelPlay::CancelAt(int entry, const std::string& job) -> void {
  auto& time = world_.time();
  // Shared by the answer and the end of the wait, whichever comes first.
  const auto over = std::make_shared<bool>(false);
  const auto next = [this, entry, job]() -> void {
    CancelAt((entry + 1) % world_.entries(), job);
  };
  world_.CallAt(
      entry, JobCallKind::kCancel, job,
      [this, entry, job, over, next](const JobReply& reply) -> void {
        if (std::exchange(*over, true)) {
          return;
        }
        const bool acknowledged = reply.verdict == JobVerdict::kCancelled ||
                                  reply.verdict == JobVerdict::kNoSuchJob;
        if (!acknowledged) {
          world_.time().After(world_.time().Milliseconds(100, 1000), next);
          return;
        }
        world_.Trace("ACKNOWLEDGED cancel of " + job + " by entry " +
                     std::to_string(entry) + ": " + reply.text);
        acknowledged_.emplace(job, world_.time().now());
      });
  time.After(kAskTimeout, [over, next]() -> void {
    if (!std::exchange(*over, true)) {
      next();
    }
  });
}

auto CancelPlay::InjectFault() -> void {
  auto& time = world_.time();
  const int entry = AnyEntry();
  const auto agent =
      static_cast<int>(time.Pick(0, std::ssize(world_.Agents()) - 1));
  const auto span = time.Milliseconds(300, 9000);
  const auto fault = time.Pick(0, kFaults - 1);
  const std::string client = "entry-" + std::to_string(entry);
  disturbed_at_ = time.now();
  if (fault <= kLastPlainFault) {
    MakeFault(world_, fault, {entry, agent, span});
    return;
  }
  world_.Trace("FAULT " + std::to_string(fault) + " " + client + " ms " +
               std::to_string(span.count()));
  switch (fault) {
    case kSilentReads:
      SilenceReads(entry);
      break;
    case kSlowReads:
      blind_.insert(entry);
      world_.log().SetBandwidthFor(
          client, static_cast<std::size_t>(
                      time.Pick(kSlowestReads, kFastestSlowReads)));
      break;
    case kLateAppends:
      world_.log().LoseAnswers(kMostAnswersLost);
      break;
    case kHeldAppends:
      world_.log().SetModeFor(client, VirtualLog::Mode::kHolds);
      break;
    case kBlindOwner:
      BlindOwner();
      break;
    default:
      CutOwnerOff(span);
  }
}

auto CancelPlay::SilenceReads(int entry) -> void {
  blind_.insert(entry);
  world_.log().SetModeFor("entry-" + std::to_string(entry),
                          VirtualLog::Mode::kReadsSilent);
}

auto CancelPlay::BlindOwner() -> void {
  Heal();
  SilenceReads(std::max(world_.Owner(), 0));
  for (int jobs = 0; jobs < kJobsOfBlindOwner; ++jobs) {
    CancelLater(SubmitAny());
    world_.RunFor(world_.time().Milliseconds(500, 2500));
  }
}

auto CancelPlay::CutOwnerOff(milliseconds span) -> void {
  const int owner = std::max(world_.Owner(), 0);
  for (const int agent : world_.Agents()) {
    if (world_.time().Chance(0.6)) {
      world_.CutLink(owner, agent, span);
    }
  }
}

auto CancelPlay::Heal() -> void {
  if (Disturbed()) {
    disturbed_at_ = world_.time().now();
  }
  blind_.clear();
  world_.HealAll();
}

auto CancelPlay::AskAny() -> void {
  std::vector<std::string> jobs;
  for (const auto& [job, since] : accepted_) {
    if (!cancel_asked_.contains(job) &&
        world_.time().now() - since < kAskedFor) {
      jobs.push_back(job);
    }
  }
  if (!jobs.empty()) {
    const auto pick = world_.time().Pick(0, std::ssize(jobs) - 1);
    Ask(AnyEntry(), jobs[static_cast<std::size_t>(pick)]);
  }
}

auto CancelPlay::Ask(int entry, const std::string& job) -> void {
  const bool seen_long = world_.time().now() - accepted_.at(job) >= kVisible;
  world_.CallAt(
      entry, JobCallKind::kQuery, job,
      [this, entry, job, seen_long](const JobReply& reply) -> void {
        const bool cancelled =
            reply.verdict == JobVerdict::kState && reply.state == JOB_CANCELLED;
        const bool none = reply.verdict == JobVerdict::kNoSuchJob && seen_long;
        if (cancelled || none) {
          Problem(job + " is accepted and was not cancelled, and entry " +
                  std::to_string(entry) + " says that it is " +
                  (none ? "not there" : "cancelled"));
        }
      });
}

auto CancelPlay::Look() -> void {
  auto& time = world_.time();
  if (Disturbed()) {
    disturbed_at_ = time.now();
  }
  for (const auto& job : world_.accepted()) {
    accepted_.emplace(job, time.now());
  }
  CheckRuns();
  AskAny();
  time.After(kLook, [this]() -> void { Look(); });
}

auto CancelPlay::CheckRuns() -> void {
  if (!CalmFor(kContact + kStops)) {
    return;
  }
  for (const auto& task : started_) {
    const auto found = acknowledged_.find(task.substr(0, task.find('.')));
    const bool is_over =
        found != acknowledged_.end() &&
        world_.time().now() - found->second > kCancelHolds + kStops;
    if (is_over && world_.RunsAnywhere(task) && told_.insert(task).second) {
      Problem(task + " runs on, long after its job's cancel was acknowledged");
    }
  }
}

auto CancelPlay::CheckStates() -> void {
  for (const auto& [job, since] : acknowledged_) {
    for (int entry = 0; entry < world_.entries(); ++entry) {
      const auto state = world_.StateOf(entry, job);
      if (state && *state < JOB_COMPLETED) {
        Problem(job + " is " + JobState_Name(*state) + " at entry " +
                std::to_string(entry) + ", and its cancel was acknowledged");
      }
    }
  }
  for (const auto& job : cancel_asked_) {
    if (!acknowledged_.contains(job)) {
      Problem("nobody has acknowledged the cancel of " + job);
    }
  }
}

auto CancelPlay::OnStart(const TaskName& task) -> void {
  started_.insert(DescribeTask(task));
  const auto found = acknowledged_.find(task.job());
  const bool is_late = found != acknowledged_.end() &&
                       world_.time().now() - found->second > kCancelHolds;
  if (is_late && CalmFor(kContact)) {
    Problem(DescribeTask(task) +
            " starts long after its job's cancel was acknowledged");
  }
}

auto CancelPlay::Disturbed() const -> bool {
  return world_.DisturbedBeyondReads() || std::ssize(blind_) > kMostBlind;
}

auto CancelPlay::CalmFor(milliseconds span) -> bool {
  return !Disturbed() && world_.time().now() - disturbed_at_ >= span;
}

auto CancelPlay::Problem(const std::string& text) -> void {
  const auto now = std::chrono::duration_cast<milliseconds>(
      world_.time().now().time_since_epoch());
  world_.Trace("PROBLEM " + text);
  problems_.push_back(std::to_string(now.count()) + " ms: " + text);
}

auto CancelPlay::problems() const -> std::vector<std::string> {
  auto all = problems_;
  all.insert(all.end(), world_.problems().begin(), world_.problems().end());
  return all;
}

class CancelExplorerTest : public testing::TestWithParam<uint64_t> {};

TEST_P(CancelExplorerTest, AcknowledgedCancelsHoldWhateverFails) {
  CancelPlay play(GetParam());
  play.Run();
  for (const auto& problem : play.problems()) {
    ADD_FAILURE() << problem;
  }
  EXPECT_GE(play.world().Owner(), 0);
  EXPECT_FALSE(play.world().accepted().empty());
  EXPECT_GT(play.cancelled(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelExplorerTest, ExplorerSeeds(60));

}  // namespace
}  // namespace rhubarbhaven::jobs
