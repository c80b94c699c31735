#ifndef RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_LOG_H_
#define RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_LOG_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Jobs/jobs.h"
#include "Tests/Jobs/virtual_time.h"

namespace rhubarbhaven::jobs {

// The platform's keyed log over virtual time: producers with epochs and
// sequence numbers, newest records, history that may be dropped, and the ways
// in which it fails.
class VirtualLog {
 public:
  enum class Mode {
    kServes,
    kRefuses,
    kSilent,
    // Silent as a link that is cut: appends are carried out, unanswered, once
    // the client is served again.
    kHolds,
    // Appends are served, reads are not answered.
    kReadsSilent,
  };

  explicit VirtualLog(VirtualTime* time) : time_(time) {}

  // Calls of one client; `alive` tells whether it can still be answered.
  auto PortFor(const std::string& client,
               const std::function<auto()->bool>& alive) -> KeyedLogPort;
  auto SetMode(Mode mode) -> void { mode_ = mode; }
  auto SetModeFor(const std::string& client, Mode mode) -> void {
    client_modes_[client] = mode;
    CarryOutHeld();
  }
  auto HealAll() -> void {
    mode_ = Mode::kServes;
    client_modes_.clear();
    bandwidths_.clear();
    CarryOutHeld();
    lose_answers_ = 0;
    latency_ = kLatency;
  }
  // Whether it fails in any way at present. A client that is served again is no
  // fault: taken for one, it would switch off for good every check that waits
  // for calm.
  auto disturbed() const -> bool {
    const bool silent = std::any_of(
        client_modes_.begin(), client_modes_.end(),
        [](const auto& item) { return item.second == Mode::kReadsSilent; });
    return disturbed_beyond_reads() || silent || !bandwidths_.empty();
  }
  // Whether it fails in a way other than that reads of some clients are silent
  // or slow.
  auto disturbed_beyond_reads() const -> bool {
    const bool client_fails = std::any_of(
        client_modes_.begin(), client_modes_.end(), [](const auto& item) {
          return item.second != Mode::kServes &&
                 item.second != Mode::kReadsSilent;
        });
    return mode_ != Mode::kServes || client_fails || lose_answers_ > 0 ||
           latency_ != kLatency;
  }
  // Share of appends that are done, some of them late, and not answered.
  auto LoseAnswers(double share) -> void { lose_answers_ = share; }
  auto SetLatency(std::chrono::milliseconds latency) -> void {
    latency_ = latency;
  }
  // How fast the client's reads are answered, in bytes a second; zero without
  // limit.
  auto SetBandwidthFor(const std::string& client, std::size_t bytes) -> void {
    bandwidths_[client] = bytes;
  }
  // How often the client has asked for records.
  auto reads(const std::string& client) const -> uint64_t {
    const auto found = reads_.find(client);
    return found == reads_.end() ? 0 : found->second;
  }
  // Drops all records but the newest of each key.
  auto Compact() -> void { first_kept_ = end(); }
  // Appends as an operator does, beyond failures.
  auto Put(LogTopic topic, KeyedRecord record) -> void;

 private:
  static constexpr std::chrono::milliseconds kLatency{4};

  struct Producer {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    bool any = false;
    // Sequence numbers whose answers are repeated.
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
  // What clients sent that are served again.
  auto CarryOutHeld() -> void;
  auto end() const -> uint64_t {
    const auto found = topics_.find(LogTopic::kJobs);
    return found == topics_.end() ? 0 : found->second.records.size();
  }
  // How long the records take on their way to the client.
  auto TransferOf(const std::string& client,
                  const std::vector<KeyedRecord>& records) const
      -> std::chrono::milliseconds;
  auto Apply(const AppendCall& call) -> AppendResult;
  auto Append(const std::string& client,
              const AppendCall& call,
              const KeyedLogPort::OnAppend& done) -> void;
  auto Read(const std::string& client,
            const ReadCall& call,
            TimePoint give_up,
            const KeyedLogPort::OnRead& done) -> void;
  auto Newest(const std::string& client,
              const NewestCall& call,
              const KeyedLogPort::OnNewest& done) -> void;

  VirtualTime* time_;
  Mode mode_ = Mode::kServes;
  std::map<std::string, Mode> client_modes_;
  double lose_answers_ = 0;
  std::chrono::milliseconds latency_ = kLatency;
  uint64_t first_kept_ = 0;
  std::map<LogTopic, Topic> topics_;
  std::map<std::string, Producer> producers_;
  std::vector<HeldAppend> held_;
  std::map<std::string, std::size_t> bandwidths_;
  std::map<std::string, uint64_t> reads_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_TESTS_JOBS_VIRTUAL_LOG_H_
