#ifndef RHUBARBHAVEN_TESTS_ROUTING_FAKE_CLUSTER_H_
#define RHUBARBHAVEN_TESTS_ROUTING_FAKE_CLUSTER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "Routing/routing.h"

namespace rhubarbhaven {

inline constexpr char kPartner[] = "coop";
inline constexpr char kService[] = "results";

// How one message is delivered.
struct Delivery {
  int copies = 1;
  Duration extra_delay{0};
  bool unsent = false;
};

// How an endpoint responds to one call.
struct EndpointResponse {
  Duration response_time = std::chrono::milliseconds(10);
  schema::Verdict verdict = schema::ANSWERED;
  schema::Reason reason = schema::REASON_NONE;
  uint32_t status = 200;
};

struct ClusterOptions {
  int entries = 1;
  int agents = 2;
  int failure_domains = 1;
  uint64_t seed = 1;
  Duration in_domain = std::chrono::microseconds(200);
  Duration between_domains = std::chrono::milliseconds(1);
  Duration log_delay = std::chrono::milliseconds(5);
  RouterOptions router;
  AdmissionOptions admission;
  // Simulates the network between processes.
  std::function<auto(const std::string& from,
                     const std::string& to,
                     const schema::Envelope&)
                    ->Delivery>
      network;
  std::function<auto(int agent, const CallEndpoint&)->EndpointResponse>
      endpoint;
  // Called for each start of a request at an endpoint.
  std::function<auto(int agent, const CallEndpoint&)->void> on_run;
  std::function<auto(const CountReason&)->void> on_count;
  std::function<auto(schema::Reason)->void> on_agent_count;
  // Returns true if the record of an append is added to the log a second time,
  // later.
  std::function<auto()->bool> append_twice;
};

// Entries and agents on a simulated network in virtual time, with a log.
// Messages to suspended processes are queued; messages to killed processes are
// lost.
class FakeCluster {
 public:
  using OnReply = std::function<auto(const CallerReply&)->void>;

  explicit FakeCluster(ClusterOptions options);

  auto now() const -> TimePoint { return now_; }
  auto At(TimePoint time, std::function<auto()->void> what) -> void;
  auto After(Duration delay, std::function<auto()->void> what) -> void;
  auto RunFor(Duration time) -> void;

  // Submits the request to the entry; a killed entry never replies.
  auto Submit(int entry, const CallerRequest& request, const OnReply& on_reply)
      -> void;
  auto DisconnectCaller(int entry, uint64_t ticket) -> void;

  auto StopEntry(int entry) -> void { entries_[entry].Stop(); }
  auto ContinueEntry(int entry) -> void;
  auto KillEntry(int entry) -> void;
  auto StartEntry(int entry) -> void;
  auto StopAgent(int agent) -> void { agents_[agent].Stop(); }
  auto ContinueAgent(int agent) -> void;
  auto KillAgent(int agent) -> void;
  auto StartAgent(int agent) -> void;
  auto Leave(int agent) -> void;
  auto SetLogUp(bool up) -> void;

  auto router(int entry) -> EntryRouter& { return *entries_[entry].logic; }
  auto agent(int agent) -> AgentAdmission& { return *agents_[agent].logic; }
  auto appends() const -> uint64_t { return log_.size(); }
  auto ConfigureEntry(int entry) -> void;
  auto services() -> std::vector<schema::VersionedObject>& { return services_; }

  static auto EntryName(int entry) -> std::string;
  static auto AgentName(int agent) -> std::string;

 private:
  template <typename Logic>
  struct Process {
    std::unique_ptr<Logic> logic;
    uint64_t incarnation = 0;
    bool stopped = false;
    TimePoint wake = TimePoint::max();
    std::deque<std::function<auto()->void>> inbox;

    auto Stop() -> void { stopped = logic != nullptr; }
  };
  struct Event {
    TimePoint time;
    uint64_t number = 0;
    std::function<auto()->void> what;
    auto operator<(const Event& other) const -> bool {
      return time != other.time ? time > other.time : number > other.number;
    }
  };

  template <typename Logic>
  auto Deliver(Process<Logic>& process, std::function<auto()->void> what)
      -> void;
  template <typename Logic>
  auto Continue(Process<Logic>& process) -> void;
  template <typename Logic, typename OnTicked>
  auto ScheduleTick(Process<Logic>& process, OnTicked perform) -> void;
  auto Execute(int entry, RouterActions actions) -> void;
  auto Execute(int agent, AdmissionActions actions) -> void;
  auto Post(const std::string& from,
            const std::string& to,
            Duration delay,
            const schema::Envelope& message,
            const std::function<auto(const schema::Envelope&)->void>& arrive,
            const std::function<auto(const schema::Envelope&)->void>& unsent)
      -> void;
  auto Delay(int entry, int agent) const -> Duration;
  auto Append(int entry, const schema::LogEntry& entry_to_append) -> void;
  auto AddToLog(const schema::LogRecord& record) -> void;
  auto ReadLog(int entry) -> void;
  auto Call(int agent, const CallEndpoint& call) -> void;

  ClusterOptions options_;
  TimePoint now_{std::chrono::seconds(1000)};
  uint64_t last_event_ = 0;
  uint64_t last_incarnation_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Process<EntryRouter>> entries_;
  std::vector<Process<AgentAdmission>> agents_;
  std::vector<schema::VersionedObject> services_;
  bool log_up_ = true;
  std::vector<schema::LogRecord> log_;
  std::map<int, uint64_t> sequences_;
  // Number of records that each entry has read.
  std::map<int, std::size_t> read_;
  // By entry's incarnation and ticket.
  std::map<std::pair<uint64_t, uint64_t>, OnReply> callers_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TESTS_ROUTING_FAKE_CLUSTER_H_
