#include "Routing/endpoint_table.h"

#include <algorithm>

#include "Routing/credit_ledger.h"

namespace rhubarbhaven {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kMaxEndpoints = 20000;
constexpr std::size_t kMaxPreviousIncarnations = 16;
// An unresponsive endpoint without unanswered attempts is removed after this
// time.
constexpr std::chrono::seconds kRemovalDelay{60};
// An endpoint that has received no request for this long is sent one. Only
// answers update its service time, so an endpoint that has recovered would
// otherwise keep its old service time and stay idle while others are busy.
constexpr milliseconds kIdleProbeInterval{1000};
constexpr milliseconds kMinIdleProbeInterval{20};
constexpr milliseconds kMedianInterval{100};
// Endpoints whose expected latencies differ by less than this share are treated
// as equal; the local failure domain is then preferred.
constexpr double kEqualLatencyTolerance = 0.1;
constexpr double kAttemptTimeGain = 0.05;
// Minimum time between two checks of an endpoint.
constexpr milliseconds kMinTimerDelay{10};

auto Contains(const std::vector<std::string>& tried, const Endpoint& endpoint)
    -> bool {
  return std::find(tried.begin(), tried.end(), endpoint.agent) != tried.end();
}

}  // namespace

EndpointTable::EndpointTable(std::string failure_domain,
                             milliseconds announce_timeout,
                             uint64_t seed)
    : failure_domain_(std::move(failure_domain)),
      announce_timeout_(announce_timeout),
      random_(seed) {}

auto EndpointTable::OnAnnounce(TimePoint now,
                               const std::string& agent,
                               uint64_t incarnation,
                               const schema::Announce& announce)
    -> AnnounceResult {
  if (announce.sequence() == 0) {
    return AnnounceResult::kStale;
  }
  AnnounceResult result = AnnounceResult::kKnown;
  auto found = endpoints_.find(agent);
  if (found == endpoints_.end()) {
    if (endpoints_.size() >= kMaxEndpoints) {
      return AnnounceResult::kFull;
    }
    found = endpoints_.emplace(agent, std::make_unique<Endpoint>()).first;
    found->second->agent = agent;
    found->second->incarnation = incarnation;
    result = AnnounceResult::kAdded;
  }
  Endpoint& endpoint = *found->second;
  if (endpoint.incarnation != incarnation) {
    const auto& previous_incarnations = endpoint.previous_incarnations;
    const bool late =
        std::any_of(previous_incarnations.begin(), previous_incarnations.end(),
                    [&](const auto& earlier) {
                      return earlier.first == incarnation &&
                             announce.sequence() <= earlier.second;
                    });
    if (late) {
      return AnnounceResult::kStale;
    }
    Restart(endpoint, incarnation);
    result = AnnounceResult::kRestarted;
  }
  if (announce.sequence() <= endpoint.announce_sequence) {
    return AnnounceResult::kStale;
  }
  endpoint.announce_sequence = announce.sequence();
  endpoint.last_announced_at = now;
  endpoint.failure_domain = announce.failure_domain();
  endpoint.slots = std::max(1U, announce.slots());
  endpoint.leaving = announce.leaving();
  endpoint.healthy = announce.endpoint_healthy();
  endpoint.unresponsive = false;
  endpoint.unreachable = false;
  JoinPool(endpoint, {announce.partner(), announce.service()});
  OnGrant(now, endpoint, announce.grant());
  SetTimer(now, endpoint);
  return result;
}

auto EndpointTable::OnGrant(TimePoint now,
                            Endpoint& endpoint,
                            const schema::Grant& grant) -> void {
  // Messages may be reordered; an older grant never replaces a newer one.
  if (grant.id() == 0 || grant.id() >= endpoint.grant.id()) {
    if (grant.id() != endpoint.grant.id()) {
      endpoint.next_credit = 0;
    }
    endpoint.grant = grant;
    endpoint.sent_since_report = 0;
  }
  UpdateMedian(now, *endpoint.pool);
  Refresh(now, endpoint);
}

auto EndpointTable::OnSent(TimePoint now, Endpoint& endpoint)
    -> schema::Credit {
  schema::Credit credit;
  credit.set_grant_id(endpoint.grant.id());
  credit.set_number(endpoint.next_credit);
  ++endpoint.next_credit;
  endpoint.last_sent = now;
  ++endpoint.unanswered;
  ++endpoint.sent_since_report;
  Refresh(now, endpoint);
  return credit;
}

auto EndpointTable::OnAttemptClosed(TimePoint now, Endpoint& endpoint) -> void {
  endpoint.unanswered -= std::min(endpoint.unanswered, 1U);
  Refresh(now, endpoint);
}

auto EndpointTable::OnSuccess(TimePoint now, Endpoint& endpoint, Duration took)
    -> void {
  endpoint.breaker.OnSuccess();
  const double took_us =
      std::chrono::duration<double, std::micro>(took).count();
  EndpointPool& pool = *endpoint.pool;
  // The first samples form a plain mean, so that a slow first attempt is soon
  // outweighed.
  ++pool.attempt_samples;
  const double gain =
      std::max(kAttemptTimeGain, 1 / static_cast<double>(pool.attempt_samples));
  const double error = took_us - pool.mean_attempt_us;
  pool.mean_attempt_us += gain * error;
  if (pool.attempt_samples > 1) {
    pool.attempt_deviation_us +=
        gain * (std::abs(error) - pool.attempt_deviation_us);
  }
  Refresh(now, endpoint);
}

auto EndpointTable::OnFailure(TimePoint now, Endpoint& endpoint) -> void {
  if (endpoint.breaker.OnFailure(now)) {
    OpenCircuit(now, endpoint);
  }
  SetTimer(now, endpoint);
  Refresh(now, endpoint);
}

auto EndpointTable::OnPathLost(TimePoint now, Endpoint& endpoint) -> void {
  switch (endpoint.breaker.state()) {
    case CircuitBreaker::State::kClosed:
      OpenCircuit(now, endpoint);
      break;
    case CircuitBreaker::State::kProbing:
      endpoint.breaker.Open(now);
      break;
    case CircuitBreaker::State::kOpen:
      break;
  }
  SetTimer(now, endpoint);
  Refresh(now, endpoint);
}

// If a service fails on all endpoints, opening every circuit would not help. At
// most half of the live members of a pool may have a circuit that is not
// closed.
auto EndpointTable::OpenCircuit(TimePoint now, Endpoint& endpoint) -> void {
  const auto& members = endpoint.pool->members;
  const auto not_closed =
      std::count_if(members.begin(), members.end(), [](const Endpoint* member) {
        return IsLive(*member) &&
               member->breaker.state() != CircuitBreaker::State::kClosed;
      });
  if (2 * (static_cast<std::size_t>(not_closed) + 1) > endpoint.pool->live) {
    endpoint.breaker.ResetFailures();
    return;
  }
  endpoint.breaker.Open(now);
}

auto EndpointTable::OnUnsent(TimePoint now, Endpoint& endpoint) -> void {
  endpoint.unreachable = true;
  Refresh(now, endpoint);
}

auto EndpointTable::OnTick(TimePoint now) -> std::vector<std::string> {
  std::vector<std::string> newly_unresponsive;
  while (const auto agent = timers_.PopDue(now)) {
    const auto found = endpoints_.find(*agent);
    Endpoint& endpoint = *found->second;
    endpoint.breaker.Update(now);
    if (!endpoint.unresponsive &&
        now - endpoint.last_announced_at >= announce_timeout_) {
      endpoint.unresponsive = true;
      newly_unresponsive.push_back(*agent);
    }
    Refresh(now, endpoint);
    if (endpoint.unresponsive && endpoint.unanswered == 0 &&
        now - endpoint.last_announced_at >= kRemovalDelay) {
      LeavePool(endpoint);
      endpoints_.erase(found);
      continue;
    }
    SetTimer(now, endpoint);
  }
  return newly_unresponsive;
}

auto EndpointTable::Find(const std::string& agent) -> Endpoint* {
  const auto found = endpoints_.find(agent);
  return found == endpoints_.end() ? nullptr : found->second.get();
}

auto EndpointTable::FindPool(const PoolKey& key) -> EndpointPool* {
  const auto found = pools_.find(key);
  return found == pools_.end() ? nullptr : found->second.get();
}

auto EndpointTable::FindPool(const PoolKey& key) const -> const EndpointPool* {
  const auto found = pools_.find(key);
  return found == pools_.end() ? nullptr : found->second.get();
}

auto EndpointTable::Choose(TimePoint now,
                           EndpointPool& pool,
                           const std::vector<std::string>& tried) -> Endpoint* {
  if (Endpoint* probe = ChooseIdleProbe(now, pool, tried)) {
    return probe;
  }
  const std::size_t count = pool.ready.size();
  if (count >= 2) {
    const std::size_t first = random_() % count;
    const std::size_t second = (first + 1 + random_() % (count - 1)) % count;
    Endpoint* one = pool.ready[first];
    Endpoint* other = pool.ready[second];
    if (!Contains(tried, *one) && !Contains(tried, *other)) {
      return IsBetter(*other, *one) ? other : one;
    }
  }
  return ChooseBest(pool, tried);
}

auto EndpointTable::ChooseBest(const EndpointPool& pool,
                               const std::vector<std::string>& tried) const
    -> Endpoint* {
  Endpoint* best = nullptr;
  for (Endpoint* one : pool.ready) {
    const bool better = best == nullptr || IsBetter(*one, *best);
    if (better && !Contains(tried, *one)) {
      best = one;
    }
  }
  return best;
}

auto EndpointTable::Restart(Endpoint& endpoint, uint64_t incarnation) -> void {
  endpoint.previous_incarnations.emplace_back(endpoint.incarnation,
                                              endpoint.announce_sequence);
  if (endpoint.previous_incarnations.size() > kMaxPreviousIncarnations) {
    endpoint.previous_incarnations.pop_front();
  }
  endpoint.incarnation = incarnation;
  endpoint.announce_sequence = 0;
  endpoint.grant.Clear();
  endpoint.next_credit = 0;
  endpoint.unanswered = 0;
  endpoint.breaker = CircuitBreaker();
}

auto EndpointTable::JoinPool(Endpoint& endpoint, const PoolKey& key) -> void {
  auto& pool = pools_[key];
  if (pool == nullptr) {
    pool = std::make_unique<EndpointPool>();
    pool->partner = key.first;
    pool->service = key.second;
  }
  EndpointPool* joined = pool.get();
  if (endpoint.pool == joined) {
    return;
  }
  if (endpoint.pool != nullptr) {
    LeavePool(endpoint);
  }
  endpoint.pool = joined;
  joined->members.push_back(&endpoint);
}

auto EndpointTable::LeavePool(Endpoint& endpoint) -> void {
  EndpointPool& pool = *endpoint.pool;
  SetReady(endpoint, false);
  pool.live -= endpoint.counted_live ? 1 : 0;
  pool.window_total -= endpoint.counted_window;
  endpoint.counted_live = false;
  endpoint.counted_window = 0;
  std::erase(pool.members, &endpoint);
  endpoint.pool = nullptr;
  if (pool.members.empty()) {
    pools_.erase({pool.partner, pool.service});
  }
}

auto EndpointTable::Refresh(TimePoint now, Endpoint& endpoint) -> void {
  endpoint.breaker.Update(now);
  EndpointPool& pool = *endpoint.pool;
  const bool live = IsLive(endpoint);
  const uint32_t window = live ? Window(endpoint) : 0;
  pool.live += live ? 1 : 0;
  pool.live -= endpoint.counted_live ? 1 : 0;
  pool.window_total += window;
  pool.window_total -= endpoint.counted_window;
  endpoint.counted_live = live;
  endpoint.counted_window = window;
  SetReady(endpoint, endpoint.unanswered < window && endpoint.grant.id() != 0 &&
                         endpoint.next_credit < kCreditNumbersPerGrant);
}

auto EndpointTable::SetReady(Endpoint& endpoint, bool ready) -> void {
  auto& all = endpoint.pool->ready;
  if (ready == (endpoint.ready_index >= 0)) {
    return;
  }
  if (ready) {
    endpoint.ready_index = static_cast<std::ptrdiff_t>(all.size());
    all.push_back(&endpoint);
    return;
  }
  Endpoint* last = all.back();
  all[static_cast<std::size_t>(endpoint.ready_index)] = last;
  last->ready_index = endpoint.ready_index;
  all.pop_back();
  endpoint.ready_index = -1;
}

auto EndpointTable::UpdateMedian(TimePoint now, EndpointPool& pool) -> void {
  if (now - pool.median_updated_at < kMedianInterval) {
    return;
  }
  pool.median_updated_at = now;
  std::vector<uint64_t> times;
  times.reserve(pool.members.size());
  for (const Endpoint* member : pool.members) {
    if (IsLive(*member) && member->grant.service_time_us() > 0) {
      times.push_back(member->grant.service_time_us());
    }
  }
  if (times.empty()) {
    return;
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  pool.median_service_us = static_cast<double>(*middle);
}

auto EndpointTable::IsBetter(const Endpoint& left, const Endpoint& right) const
    -> bool {
  const double left_us = ExpectedLatencyUs(left);
  const double right_us = ExpectedLatencyUs(right);
  const bool equal = std::abs(left_us - right_us) <=
                     kEqualLatencyTolerance * std::max(left_us, right_us);
  if (equal && left.failure_domain != right.failure_domain) {
    return left.failure_domain == failure_domain_;
  }
  return left_us < right_us;
}

auto EndpointTable::ChooseIdleProbe(TimePoint now,
                                    EndpointPool& pool,
                                    const std::vector<std::string>& tried)
    -> Endpoint* {
  if (now < pool.next_idle_probe_at) {
    return nullptr;
  }
  pool.next_idle_probe_at =
      now +
      std::max(kMinIdleProbeInterval,
               kIdleProbeInterval / static_cast<int64_t>(pool.members.size()));
  const auto found =
      std::find_if(pool.ready.begin(), pool.ready.end(), [&](Endpoint* one) {
        return now - one->last_sent >= kIdleProbeInterval &&
               !Contains(tried, *one);
      });
  return found == pool.ready.end() ? nullptr : *found;
}

auto EndpointTable::SetTimer(TimePoint now, const Endpoint& endpoint) -> void {
  TimePoint at =
      endpoint.last_announced_at +
      (endpoint.unresponsive ? Duration(kRemovalDelay) : announce_timeout_);
  if (endpoint.breaker.state() == CircuitBreaker::State::kOpen) {
    at = std::min(at, endpoint.breaker.probe_at());
  }
  timers_.Set(endpoint.agent, std::max(at, now + kMinTimerDelay));
}

}  // namespace rhubarbhaven
