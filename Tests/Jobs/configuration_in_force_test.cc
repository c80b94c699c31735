// Tests by which configuration an entry handles callers' requests while the log
// fails.

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Tests/Jobs/virtual_log.h"
#include "Tests/Jobs/virtual_time.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kEntry[] = "entry-0";
constexpr char kConfigurationKey[] = "config";
constexpr char kHost[] = "queue.example";
constexpr milliseconds kBound{2000};
constexpr milliseconds kCallInterval{50};
constexpr milliseconds kDeadline{3000};

struct LogFault {
  std::string name;
  std::function<auto(VirtualLog*)->void> begin;
  std::function<auto(VirtualLog*)->void> end;
};

// An entry in virtual time, with a log whose configuration of version N has one
// queue, at the path "/N/".
class ConfigurationInForceTest : public testing::TestWithParam<LogFault> {
 protected:
  ConfigurationInForceTest() : entry_({kEntry, 1, kBound}, Hooks(), &metrics_) {
    Configure(1);
    entry_.Start(time_.now());
    Tick();
    RunFor(seconds(3));
  }

  auto Hooks() -> EntryHooks {
    EntryHooks hooks;
    hooks.log = log_.PortFor(kEntry, [] { return true; });
    hooks.send = [](const std::string&, const AgentOrders&) {};
    hooks.wall_clock = [] { return milliseconds(0); };
    hooks.ask_advice = [](const AdviceCall&, const auto&) {};
    hooks.read_configuration = [](const KeyedRecord& record) {
      return std::optional(ConfigurationOf(std::stoull(record.value)));
    };
    hooks.evacuated_domain = [](const std::string&) {
      return std::optional<std::string>();
    };
    return hooks;
  }

  static auto PathOf(uint64_t version) -> std::string {
    return "/" + std::to_string(version) + "/";
  }

  static auto ConfigurationOf(uint64_t version) -> QueueConfiguration {
    QueueConfiguration configuration;
    configuration.version = version;
    Queue queue;
    queue.name = "queue-" + std::to_string(version);
    queue.host = kHost;
    queue.path_prefix = PathOf(version);
    configuration.queues.push_back(queue);
    return configuration;
  }

  auto Configure(uint64_t version) -> void {
    log_.Put(LogTopic::kOperators,
             {kConfigurationKey, std::to_string(version), 0});
  }

  auto Tick() -> void {
    entry_.Tick(time_.now());
    time_.After(milliseconds(5), [this]() -> void { Tick(); });
  }

  auto RunFor(milliseconds span) -> void {
    const TimePoint end = time_.now() + span;
    while (time_.Step(end)) {
    }
  }

  // Submits a job to the queue of that version. The verdict is recorded once it
  // is known.
  auto Submit(uint64_t version, std::vector<JobVerdict>* verdicts) -> void {
    JobCall call;
    call.kind = JobCallKind::kSubmit;
    call.host = kHost;
    const std::string number = std::to_string(++jobs_);
    call.path = PathOf(version) + std::string(16 - number.size(), '0') + number;
    call.job.add_steps()->set_count(1);
    call.deadline = kDeadline;
    entry_.Call(time_.now(), std::move(call),
                [verdicts](const JobReply& reply) -> void {
                  verdicts->push_back(reply.verdict);
                });
  }

  // Asks for the pending jobs of the queue of that version.
  auto Query(uint64_t version, std::vector<JobVerdict>* verdicts) -> void {
    JobCall call;
    call.host = kHost;
    call.path = PathOf(version);
    call.deadline = kDeadline;
    entry_.Call(time_.now(), std::move(call),
                [verdicts](const JobReply& reply) -> void {
                  verdicts->push_back(reply.verdict);
                });
  }

  // Calls the queues of versions 1 and 2 for a time.
  auto CallFor(milliseconds span) -> void {
    const TimePoint end = time_.now() + span;
    while (time_.now() < end) {
      Submit(1, &removed_queue_);
      Submit(2, &added_queue_);
      Query(1, &removed_queue_);
      Query(2, &added_queue_);
      RunFor(kCallInterval);
    }
  }

  static auto Count(const std::vector<JobVerdict>& verdicts, JobVerdict verdict)
      -> long {
    return std::count(verdicts.begin(), verdicts.end(), verdict);
  }

  VirtualTime time_{1};
  VirtualLog log_{&time_};
  Metrics metrics_;
  EntryDecisions entry_;
  int jobs_ = 0;
  // Verdicts about calls of the queue that version 2 removes, and of the one
  // that it adds.
  std::vector<JobVerdict> removed_queue_;
  std::vector<JobVerdict> added_queue_;
};

// Guards against an entry that serves a removed queue, or denies that an added
// queue exists, because the log's reads do not show a version that the
// log acknowledged longer ago than the bound.
TEST_P(ConfigurationInForceTest, NoRequestIsHandledByAnOlderVersion) {
  GetParam().begin(&log_);
  Configure(2);
  RunFor(kBound);
  CallFor(seconds(6));
  EXPECT_EQ(Count(removed_queue_, JobVerdict::kAccepted), 0);
  EXPECT_EQ(Count(removed_queue_, JobVerdict::kPending), 0);
  EXPECT_EQ(Count(added_queue_, JobVerdict::kNoSuchQueue), 0);
}

// Guards against an entry that does not serve again once the log does.
TEST_P(ConfigurationInForceTest, AddedQueueIsServedAfterTheFault) {
  GetParam().begin(&log_);
  Configure(2);
  RunFor(seconds(6));
  GetParam().end(&log_);
  RunFor(seconds(4));
  CallFor(seconds(1));
  EXPECT_EQ(Count(added_queue_, JobVerdict::kAccepted),
            seconds(1) / kCallInterval);
  EXPECT_EQ(Count(added_queue_, JobVerdict::kPending),
            seconds(1) / kCallInterval);
  EXPECT_EQ(Count(removed_queue_, JobVerdict::kNoSuchQueue),
            2 * (seconds(1) / kCallInterval));
}

auto ModeFault(const std::string& name, VirtualLog::Mode mode) -> LogFault {
  return {name, [mode](VirtualLog* log) { log->SetModeFor(kEntry, mode); },
          [](VirtualLog* log) {
            log->SetModeFor(kEntry, VirtualLog::Mode::kServes);
          }};
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ConfigurationInForceTest,
    testing::Values(
        LogFault{"none", [](VirtualLog*) {}, [](VirtualLog*) {}},
        LogFault{
            "append_in_progress",
            [](VirtualLog* log) { log->HoldReads(LogTopic::kOperators); },
            [](VirtualLog* log) { log->ReleaseReads(LogTopic::kOperators); }},
        LogFault{"slow",
                 [](VirtualLog* log) { log->SetLatency(milliseconds(400)); },
                 [](VirtualLog* log) { log->SetLatency(milliseconds(4)); }},
        ModeFault("rejects", VirtualLog::Mode::kRejects),
        ModeFault("reads_unanswered", VirtualLog::Mode::kReadsUnanswered),
        ModeFault("unresponsive", VirtualLog::Mode::kUnresponsive)),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs
