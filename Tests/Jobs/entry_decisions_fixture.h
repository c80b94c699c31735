#ifndef RHUBARBHAVEN_TESTS_JOBS_ENTRY_DECISIONS_FIXTURE_H_
#define RHUBARBHAVEN_TESTS_JOBS_ENTRY_DECISIONS_FIXTURE_H_

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {

inline constexpr char kEntryName[] = "entry-0";
inline constexpr char kConfigurationKey[] = "config";
inline constexpr char kQueueHost[] = "queue.example";
inline constexpr char kQueuePrefix[] = "/jobs/";
inline constexpr char kEvacuationKey[] = "key of an evacuation";
// Offset after the last record of the log.
inline constexpr uint64_t kEnd = 9;

// An entry whose calls to the log are held until the test answers them.
class EntryDecisionsTest : public testing::Test {
 protected:
  EntryDecisionsTest() : entry_({kEntryName, 1}, Hooks(), &metrics_) {
    entry_.Start(now_);
  }

  auto Hooks() -> EntryHooks {
    EntryHooks hooks;
    hooks.log.append = [this](const AppendCall& call, const auto& done) {
      appended_.insert(appended_.end(), call.records.begin(),
                       call.records.end());
      on_append_.push_back(done);
    };
    hooks.log.read = [this](const ReadCall& call, const auto& done) {
      on_read_[call.topic] = done;
    };
    hooks.log.newest = [this](const NewestCall& call, const auto& done) {
      if (call.after == kAfterAllKeys) {
        on_end_[call.topic] = done;
      } else {
        on_newest_[call.topic] = done;
      }
    };
    hooks.send = [](const std::string&, const AgentOrders&) {};
    hooks.wall_clock = []() -> std::chrono::milliseconds {
      return std::chrono::milliseconds(0);
    };
    hooks.ask_advice = [](const AdviceCall&, const auto&) {};
    hooks.read_configuration = [](const KeyedRecord& record) {
      return record.key == kConfigurationKey ? std::optional(OneQueue())
                                             : std::nullopt;
    };
    hooks.evacuated_domain =
        [](const std::string& key) -> std::optional<std::string> {
      return key == kEvacuationKey ? std::optional<std::string>("domain")
                                   : std::nullopt;
    };
    return hooks;
  }

  static auto OneQueue() -> QueueConfiguration {
    QueueConfiguration configuration;
    configuration.version = 1;
    Queue queue;
    queue.name = "queue";
    queue.host = kQueueHost;
    queue.path_prefix = kQueuePrefix;
    configuration.queues.push_back(queue);
    return configuration;
  }

  // Answers with the complete log of the operators, which has these records.
  auto AnswerOperators(std::vector<KeyedRecord> records) -> void {
    NewestResult newest;
    newest.answered = true;
    newest.records = std::move(records);
    std::exchange(on_newest_[LogTopic::kOperators], nullptr)(now_, newest);
    AnswerOperatorsRead();
    AnswerOperatorsEnd();
  }

  // Answers that the operators' log has no record that the entry has not read.
  // Returns whether this was asked.
  auto AnswerOperatorsEnd() -> bool {
    return AnswerEnd(LogTopic::kOperators, /*answered=*/true, 0);
  }

  auto AnswerOperatorsRead() -> void {
    ReadResult read;
    read.outcome = ReadOutcome::kRecords;
    std::exchange(on_read_[LogTopic::kOperators], nullptr)(now_, read);
  }

  auto AnswerNewest(std::vector<KeyedRecord> records, bool more) -> void {
    NewestResult result;
    result.answered = true;
    result.records = std::move(records);
    result.more = more;
    result.end = kEnd;
    std::exchange(on_newest_[LogTopic::kJobs], nullptr)(now_, result);
  }

  // Without records, the newest records were all that the log has.
  auto AnswerRead(ReadOutcome outcome, std::vector<KeyedRecord> records = {})
      -> void {
    ReadResult result;
    result.outcome = outcome;
    end_ += records.size();
    result.end = end_;
    result.records = std::move(records);
    std::exchange(on_read_[LogTopic::kJobs], nullptr)(now_, result);
  }

  // Answers a request for the end of the log. Returns whether there was one.
  auto AnswerEnd(LogTopic topic, bool answered, uint64_t end) -> bool {
    const auto done = std::exchange(on_end_[topic], nullptr);
    if (done != nullptr) {
      NewestResult result;
      result.answered = answered;
      result.end = end;
      done(now_, result);
    }
    return done != nullptr;
  }

  auto AnswerAppends() -> void {
    for (const auto& done : std::exchange(on_append_, {})) {
      done(now_, {AppendOutcome::kAppended, 0});
    }
  }

  auto AdvanceTime(std::chrono::milliseconds span) -> void {
    now_ += span;
    entry_.Tick(now_);
  }

  // The newest record of this kind that the entry has appended.
  auto Appended(RecordKind kind) const -> std::optional<KeyedRecord> {
    for (auto record = appended_.rbegin(); record != appended_.rend();
         ++record) {
      if (ParseKey(record->key).kind == kind) {
        auto found = *record;
        found.offset = static_cast<uint64_t>(appended_.rend() - record);
        return found;
      }
    }
    return std::nullopt;
  }

  TimePoint now_{std::chrono::seconds(100)};
  uint64_t end_ = kEnd;
  Metrics metrics_;
  std::vector<KeyedRecord> appended_;
  std::vector<KeyedLogPort::OnAppend> on_append_;
  std::map<LogTopic, KeyedLogPort::OnRead> on_read_;
  std::map<LogTopic, KeyedLogPort::OnNewest> on_end_;
  std::map<LogTopic, KeyedLogPort::OnNewest> on_newest_;
  EntryDecisions entry_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_ENTRY_DECISIONS_FIXTURE_H_
