#ifndef RHUBARBHAVEN_JOBS_ORDER_WINDOW_H_
#define RHUBARBHAVEN_JOBS_ORDER_WINDOW_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "Base/base.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven::jobs {

struct OrderWindowOptions {
  // Bytes of starts that may be under way to all agents, and to one of them.
  std::size_t total_bytes = 0;
  std::size_t agent_bytes = 0;
  // An agent that has received nothing for this long, although something was
  // under way to it, counts as unresponsive.
  std::chrono::milliseconds unresponsive_after{1000};
};

// Bytes per second that a link of this bandwidth carries, in megabits per
// second; zero if it is unknown.
auto LinkBytesPerSecond(double link_mbps) -> std::size_t;

// Limit on the bytes of a response of the log that may be under way to an entry
// whose link has this bandwidth; zero for none. The owner's renewals wait
// behind them.
auto ReadWindowFor(double link_mbps) -> std::size_t;

// Returns the window for an owner whose link has this bandwidth, in megabits
// per second; zero if it is unknown.
auto OrderWindowFor(double link_mbps) -> OrderWindowOptions;

// Limits the bytes of starts that an owner has sent to agents and that have not
// arrived. Its renewals, its reads of the log and the leases that it grants
// share its link with starts: without a limit, a burst of starts delays them by
// seconds, and another entry replaces the owner. Agents are named by numbers.
class OrderWindow {
 public:
  explicit OrderWindow(OrderWindowOptions options) : options_(options) {}

  // `built_at_us`: names the message; later messages have larger ones. `bytes`:
  // of its starts. Other bytes are not counted: if answers are slow, polls
  // alone would otherwise fill the window.
  auto OnSent(TimePoint now,
              uint64_t agent,
              uint64_t built_at_us,
              std::size_t bytes) -> void;
  // The agent has received this message, and all before it that will arrive:
  // messages to one agent arrive in order.
  auto OnReceived(TimePoint now, uint64_t agent, uint64_t built_at_us) -> void;
  // Discards what is known of the agent, or of all agents.
  auto Forget(uint64_t agent) -> void;
  auto Clear() -> void;

  // Whether a start of this size may be sent to the agent now, by what is under
  // way to that agent and the `unsent` bytes before it in the same message. A
  // start that exceeds the window is sent while half of it is free.
  auto FitsAgent(TimePoint now,
                 uint64_t agent,
                 std::size_t unsent,
                 std::size_t bytes) const -> bool;
  // The same, by what is under way to all agents.
  auto FitsAll(TimePoint now, std::size_t unsent, std::size_t bytes) -> bool;
  auto unresponsive(TimePoint now, uint64_t agent) const -> bool;
  auto total_bytes() const -> std::size_t { return options_.total_bytes; }
  // Bytes under way, without those that were sent so long ago that their agents
  // must be unresponsive or slow.
  auto in_flight() const -> std::size_t { return in_flight_; }
  // For tests: messages of which something is remembered.
  auto tracked_messages() const -> std::size_t { return expiries_.size(); }

 private:
  struct Message {
    uint64_t built_at_us = 0;
    std::size_t bytes = 0;
    TimePoint sent_at;
  };
  struct Channel {
    // Under way, in the order in which they were sent.
    std::deque<Message> messages;
    std::size_t bytes = 0;
    // Number of the first messages that are no longer counted in `in_flight_`.
    std::size_t uncounted = 0;
    // When the agent was last seen to have received a message.
    TimePoint received_at;
  };
  struct Expiry {
    TimePoint at;
    uint64_t agent = 0;
    uint64_t built_at_us = 0;
  };

  // Ceases to count messages that have been under way for too long: they must
  // not keep other agents from getting orders.
  auto Expire(TimePoint now) -> void;
  auto RemoveThrough(Channel& channel, uint64_t built_at_us) -> void;

  OrderWindowOptions options_;
  absl::flat_hash_map<uint64_t, Channel> channels_;
  std::deque<Expiry> expiries_;
  std::size_t in_flight_ = 0;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_ORDER_WINDOW_H_
