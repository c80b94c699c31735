#ifndef RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_LOG_H_
#define RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_LOG_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Jobs/jobs.h"
#include "Tests/Jobs/virtual_time.h"

namespace rhubarbhaven::jobs {

// The transfer of a response in virtual time.
struct VirtualTransfer {
  // Until when the log may have waited for a record.
  TimePoint waited_until;
  // When the first byte arrives, and the last one.
  TimePoint begins;
  TimePoint ends;
  std::size_t bytes = 0;
};

// When the transfer exceeds the limits; none if it does not.
auto FailureTime(const TransferLimits& limits, const VirtualTransfer& transfer)
    -> std::optional<TimePoint>;

// Simulates the keyed log of the platform in virtual time: producers with
// epochs and sequence numbers, newest records by key, history that may be
// compacted, and the ways in which the log fails.
class VirtualLog {
 public:
  enum class Mode {
    kServes,
    kRejects,
    kUnresponsive,
    // Unresponsive like a cut link: appends get no answer and are applied once
    // the client is served again.
    kHoldsAppends,
    // Appends are served; reads are not answered.
    kReadsUnanswered,
  };

  explicit VirtualLog(VirtualTime* time) : time_(time) {}

  // The calls of one client; `alive` returns whether it can still be answered.
  auto PortFor(const std::string& client,
               const std::function<auto()->bool>& alive) -> KeyedLogPort;
  auto SetMode(Mode mode) -> void { mode_ = mode; }
  auto SetModeFor(const std::string& client, Mode mode) -> void {
    client_modes_[client] = mode;
    ApplyHeldAppends();
  }
  auto HealAll() -> void {
    mode_ = Mode::kServes;
    client_modes_.clear();
    bandwidths_.clear();
    ApplyHeldAppends();
    lose_answers_ = 0;
    latency_ = kLatency;
  }
  // Whether any failure is active. A client that is served again does not count
  // as a fault: if it did, every check that waits for a time without faults
  // would be switched off for good.
  auto has_fault() const -> bool {
    const bool reads_unanswered = std::any_of(
        client_modes_.begin(), client_modes_.end(),
        [](const auto& item) { return item.second == Mode::kReadsUnanswered; });
    return has_fault_beyond_reads() || reads_unanswered || !bandwidths_.empty();
  }
  // Whether a failure is active other than unanswered or slow reads of some
  // clients.
  auto has_fault_beyond_reads() const -> bool {
    const bool client_fails = std::any_of(
        client_modes_.begin(), client_modes_.end(), [](const auto& item) {
          return item.second != Mode::kServes &&
                 item.second != Mode::kReadsUnanswered;
        });
    return mode_ != Mode::kServes || client_fails || lose_answers_ > 0 ||
           latency_ != kLatency;
  }
  // Sets the share of appends that are applied, some of them late, without an
  // answer.
  auto LoseAnswers(double share) -> void { lose_answers_ = share; }
  auto SetLatency(std::chrono::milliseconds latency) -> void {
    latency_ = latency;
  }
  // Simulates an append to the topic that is in progress: until `ReleaseReads`,
  // reads do not return records that are stored from now on and report the
  // present end, and requests for newest records are not answered.
  auto HoldReads(LogTopic topic) -> void {
    ends_for_reads_[topic] = EndForReads(topic);
  }
  auto ReleaseReads(LogTopic topic) -> void { ends_for_reads_.erase(topic); }
  // Sets the rate at which reads of the client are answered, in bytes per
  // second; zero for no limit.
  auto SetBandwidthFor(const std::string& client, std::size_t bytes) -> void {
    bandwidths_[client] = bytes;
  }
  // Sets the size from which a record is not accepted, in bytes; zero for no
  // limit.
  auto SetRecordLimit(std::size_t bytes) -> void { record_limit_ = bytes; }
  // Number of appends that were not accepted.
  auto invalid_appends() const -> int { return invalid_appends_; }
  // Number of reads that the client has sent.
  auto reads(const std::string& client) const -> uint64_t {
    const auto found = reads_.find(client);
    return found == reads_.end() ? 0 : found->second;
  }
  // Discards all records but the newest of each key.
  auto Compact() -> void { first_kept_ = end(); }
  // Appends a record as an operator does, unaffected by failures.
  auto Put(LogTopic topic, KeyedRecord record) -> void;

 private:
  static constexpr std::chrono::milliseconds kLatency{4};

  struct Producer {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    bool has_appended = false;
    // The latest sequence numbers; a repeated append with one of them is
    // acknowledged again.
    std::deque<uint64_t> recent;
  };
  struct Topic {
    std::vector<KeyedRecord> records;
    std::map<std::string, KeyedRecord> newest;
  };

  struct HeldAppend {
    std::string client;
    AppendCall call;
  };

  auto ModeOf(const std::string& client) const -> Mode;
  static auto AnswersReads(Mode mode) -> bool;
  auto EndForReads(LogTopic topic) const -> uint64_t;
  // Applies held appends of the clients that are served again.
  auto ApplyHeldAppends() -> void;
  auto end() const -> uint64_t {
    const auto found = topics_.find(LogTopic::kJobs);
    return found == topics_.end() ? 0 : found->second.records.size();
  }
  // The transfer of the records to the client, if the log answers now.
  auto TransferOf(const std::string& client,
                  const std::vector<KeyedRecord>& records,
                  TimePoint waited_until) const -> VirtualTransfer;
  // Notifies `on_progress`, which may be null, until the transfer ends.
  auto ReportProgress(const VirtualTransfer& transfer,
                      TimePoint end,
                      const OnTransferProgress& on_progress) -> void;
  auto Apply(const AppendCall& call) -> AppendResult;
  auto Append(const std::string& client,
              const AppendCall& call,
              const KeyedLogPort::OnAppend& done) -> void;
  auto Read(const std::string& client,
            const ReadCall& call,
            TimePoint waits_until,
            const KeyedLogPort::OnRead& done) -> void;
  auto Newest(const std::string& client,
              const NewestCall& call,
              TimePoint deadline,
              const KeyedLogPort::OnNewest& done) -> void;

  VirtualTime* time_;
  Mode mode_ = Mode::kServes;
  std::map<std::string, Mode> client_modes_;
  double lose_answers_ = 0;
  std::chrono::milliseconds latency_ = kLatency;
  uint64_t first_kept_ = 0;
  std::map<LogTopic, Topic> topics_;
  // Of the topics whose reads are held.
  std::map<LogTopic, uint64_t> ends_for_reads_;
  std::map<std::string, Producer> producers_;
  std::vector<HeldAppend> held_;
  std::map<std::string, std::size_t> bandwidths_;
  std::map<std::string, uint64_t> reads_;
  std::size_t record_limit_ = 0;
  int invalid_appends_ = 0;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_LOG_H_
