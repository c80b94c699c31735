#include "Jobs/order_window.h"

#include <algorithm>

namespace rhubarbhaven::jobs {
namespace {

// How long the owner's link may be busy with the window.
constexpr std::chrono::milliseconds kWindowTime{200};
// The same with one response of the log.
constexpr std::chrono::milliseconds kReadWindowTime{50};
// A window that is as large or larger is not limited.
constexpr std::size_t kMaxReadWindowBytes = 256UL * 1024;
constexpr std::size_t kUnknownLinkBytes = 256UL * 1024;
constexpr std::size_t kMinWindowBytes = 16UL * 1024;
// Agents that use the whole window together.
constexpr std::size_t kAgentsPerWindow = 4;
// An agent's own link may be much thinner than the owner's, and carries its
// leases too.
constexpr std::size_t kMaxAgentBytes = 64UL * 1024;
constexpr double kBytesPerMegabit = 125000;

}  // namespace

auto LinkBytesPerSecond(double link_mbps) -> std::size_t {
  return static_cast<std::size_t>(std::max(0.0, link_mbps) * kBytesPerMegabit);
}

auto ReadWindowFor(double link_mbps) -> std::size_t {
  const auto bytes = static_cast<std::size_t>(
      static_cast<double>(LinkBytesPerSecond(link_mbps)) *
      std::chrono::duration<double>(kReadWindowTime).count());
  const bool limits = bytes > 0 && bytes < kMaxReadWindowBytes;
  return limits ? std::max(bytes, kMinWindowBytes) : 0;
}

auto OrderWindowFor(double link_mbps) -> OrderWindowOptions {
  OrderWindowOptions options;
  const double bytes = static_cast<double>(LinkBytesPerSecond(link_mbps)) *
                       std::chrono::duration<double>(kWindowTime).count();
  options.total_bytes =
      link_mbps > 0 ? std::max(kMinWindowBytes, static_cast<std::size_t>(bytes))
                    : kUnknownLinkBytes;
  options.agent_bytes =
      std::min(options.total_bytes / kAgentsPerWindow, kMaxAgentBytes);
  return options;
}

auto OrderWindow::OnSent(TimePoint now,
                         uint64_t agent,
                         uint64_t built_at_us,
                         std::size_t bytes) -> void {
  // While nothing waits for room, this is the only call.
  Expire(now);
  Channel& channel = channels_[agent];
  channel.messages.push_back({built_at_us, bytes, now});
  channel.bytes += bytes;
  in_flight_ += bytes;
  expiries_.push_back({now + options_.unresponsive_after, agent, built_at_us});
}

auto OrderWindow::OnReceived(TimePoint now,
                             uint64_t agent,
                             uint64_t built_at_us) -> void {
  const auto found = channels_.find(agent);
  if (found == channels_.end()) {
    return;
  }
  Channel& channel = found->second;
  const std::size_t under_way = channel.messages.size();
  RemoveThrough(channel, built_at_us);
  if (channel.messages.size() < under_way) {
    channel.received_at = now;
  }
}

auto OrderWindow::RemoveThrough(Channel& channel, uint64_t built_at_us)
    -> void {
  while (!channel.messages.empty() &&
         channel.messages.front().built_at_us <= built_at_us) {
    const std::size_t bytes = channel.messages.front().bytes;
    channel.messages.pop_front();
    channel.bytes -= bytes;
    if (channel.uncounted > 0) {
      --channel.uncounted;
    } else {
      in_flight_ -= bytes;
    }
  }
}

auto OrderWindow::Forget(uint64_t agent) -> void {
  const auto found = channels_.find(agent);
  if (found != channels_.end()) {
    RemoveThrough(found->second, UINT64_MAX);
    channels_.erase(found);
  }
}

auto OrderWindow::Clear() -> void {
  channels_.clear();
  expiries_.clear();
  in_flight_ = 0;
}

auto OrderWindow::Expire(TimePoint now) -> void {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    const Expiry expiry = expiries_.front();
    expiries_.pop_front();
    const auto found = channels_.find(expiry.agent);
    if (found == channels_.end()) {
      continue;
    }
    Channel& channel = found->second;
    const bool under_way =
        channel.uncounted < channel.messages.size() &&
        channel.messages[channel.uncounted].built_at_us == expiry.built_at_us;
    if (under_way) {
      in_flight_ -= channel.messages[channel.uncounted].bytes;
      ++channel.uncounted;
    }
  }
}

auto OrderWindow::unresponsive(TimePoint now, uint64_t agent) const -> bool {
  const auto found = channels_.find(agent);
  if (found == channels_.end() || found->second.messages.empty()) {
    return false;
  }
  const Channel& channel = found->second;
  const TimePoint since =
      std::max(channel.messages.front().sent_at, channel.received_at);
  return now - since >= options_.unresponsive_after;
}

auto OrderWindow::FitsAgent(TimePoint now,
                            uint64_t agent,
                            std::size_t unsent,
                            std::size_t bytes) const -> bool {
  if (unresponsive(now, agent)) {
    return false;
  }
  const auto found = channels_.find(agent);
  const std::size_t under_way =
      unsent + (found == channels_.end() ? 0 : found->second.bytes);
  return under_way + std::min(bytes, options_.agent_bytes / 2) <=
         options_.agent_bytes;
}

auto OrderWindow::FitsAll(TimePoint now, std::size_t unsent, std::size_t bytes)
    -> bool {
  Expire(now);
  return in_flight_ + unsent + std::min(bytes, options_.total_bytes / 2) <=
         options_.total_bytes;
}

}  // namespace rhubarbhaven::jobs
