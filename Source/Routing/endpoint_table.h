#ifndef RHUBARBHAVEN_ROUTING_ENDPOINT_TABLE_H_
#define RHUBARBHAVEN_ROUTING_ENDPOINT_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Base/base.h"
#include "Routing/endpoint.h"

namespace rhubarbhaven {

using PoolKey = std::pair<std::string, std::string>;

// Tracks the endpoints and their states, and selects the endpoint for each
// request.
class EndpointTable {
 public:
  enum class AnnounceResult { kStale, kFull, kKnown, kAdded, kRestarted };

  EndpointTable(std::string failure_domain,
                std::chrono::milliseconds announce_timeout,
                uint64_t seed);

  auto OnAnnounce(TimePoint now,
                  const std::string& agent,
                  uint64_t incarnation,
                  const schema::Announce& announce) -> AnnounceResult;
  auto OnGrant(TimePoint now, Endpoint& endpoint, const schema::Grant& grant)
      -> void;
  auto OnSent(TimePoint now, Endpoint& endpoint) -> schema::Credit;
  // An attempt was answered or is no longer waited for.
  auto OnAttemptClosed(TimePoint now, Endpoint& endpoint) -> void;
  auto OnSuccess(TimePoint now, Endpoint& endpoint, Duration took) -> void;
  auto OnFailure(TimePoint now, Endpoint& endpoint) -> void;
  // Messages to the endpoint are lost although it announces itself. Opens its
  // circuit, within the limit for the pool, so that only probes are sent.
  auto OnPathLost(TimePoint now, Endpoint& endpoint) -> void;
  auto OnUnsent(TimePoint now, Endpoint& endpoint) -> void;
  // Returns the agents whose endpoints have become unresponsive.
  auto OnTick(TimePoint now) -> std::vector<std::string>;
  auto next_wake() const -> TimePoint { return timers_.next(); }

  auto Find(const std::string& agent) -> Endpoint*;
  auto FindPool(const PoolKey& key) -> EndpointPool*;
  auto FindPool(const PoolKey& key) const -> const EndpointPool*;
  // Selects the endpoint for the next request, excluding those in `tried`;
  // returns null if there is none.
  auto Choose(TimePoint now,
              EndpointPool& pool,
              const std::vector<std::string>& tried) -> Endpoint*;
  auto endpoints() const
      -> const std::map<std::string, std::unique_ptr<Endpoint>>& {
    return endpoints_;
  }

 private:
  auto Restart(Endpoint& endpoint, uint64_t incarnation) -> void;
  auto JoinPool(Endpoint& endpoint, const PoolKey& key) -> void;
  auto LeavePool(Endpoint& endpoint) -> void;
  // Updates the totals of the pool after a change of the endpoint's state.
  auto Refresh(TimePoint now, Endpoint& endpoint) -> void;
  auto SetReady(Endpoint& endpoint, bool ready) -> void;
  auto UpdateMedian(TimePoint now, EndpointPool& pool) -> void;
  auto OpenCircuit(TimePoint now, Endpoint& endpoint) -> void;
  auto IsBetter(const Endpoint& left, const Endpoint& right) const -> bool;
  auto ChooseIdleProbe(TimePoint now,
                       EndpointPool& pool,
                       const std::vector<std::string>& tried) -> Endpoint*;
  auto ChooseBest(const EndpointPool& pool,
                  const std::vector<std::string>& tried) const -> Endpoint*;
  auto SetTimer(TimePoint now, const Endpoint& endpoint) -> void;

  std::string failure_domain_;
  std::chrono::milliseconds announce_timeout_;
  std::mt19937_64 random_;
  std::map<std::string, std::unique_ptr<Endpoint>> endpoints_;
  std::map<PoolKey, std::unique_ptr<EndpointPool>> pools_;
  TimerQueue<std::string> timers_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ENDPOINT_TABLE_H_
