#include "Routing/entry_router_impl.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

// Requests that were tried on all ready endpoints do not hold up those behind
// them, of which this many are looked at.
constexpr int kMostPassedOver = 32;
constexpr milliseconds kUncheckedInterval{100};
// The wait is an estimate; work that misses its deadline is lost, so the wait
// is taken for this much longer.
constexpr int kWaitMargin = 2;
// After the caller's deadline, how long the outcome of a non-repeatable
// request is still asked for.
constexpr std::chrono::seconds kOutcomeWanted{30};
constexpr milliseconds kShortestRetryAfter{100};
constexpr milliseconds kLongestRetryAfter{10000};
constexpr milliseconds kRetryAfterOutage{1000};

// Leaves room above for the attempts of one process.
auto FirstAttemptId(const RouterOptions& options) -> uint64_t {
  return StableHash(options.entry_id, options.entry_incarnation) >> 1U;
}

auto OnceKeyOf(const CallerRequest& caller) -> std::string {
  return absl::StrCat(caller.partner, "/", caller.service, "/",
                      absl::CHexEscape(caller.once_key));
}

// Headers differ between repeats of the same request (dates, trace ids).
auto RequestHash(const schema::HttpRequest& http) -> uint64_t {
  const uint64_t method = StableHash(http.method());
  return StableHash(http.body(), StableHash(http.path(), method));
}

auto MakeOnceOptions(const RouterOptions& options) -> OnceRunsOptions {
  OnceRunsOptions once;
  once.entry_id = options.entry_id;
  once.entry_incarnation = options.entry_incarnation;
  once.max_answer_bytes = options.once_answer_bytes;
  once.table.retention = options.once_retention;
  once.table.max_keys = options.once_max_keys;
  once.table.max_answer_bytes = options.once_max_answer_bytes;
  return once;
}

}  // namespace

EntryRouter::Impl::Impl(RouterOptions options)
    : options_(std::move(options)),
      table_(options_.failure_domain, options_.announce_timeout, options_.seed),
      shares_(options_.max_pending, options_.max_pending_bytes),
      budget_(options_.retry_ratio),
      once_([this] {
        OnceRunsOptions once = MakeOnceOptions(options_);
        once.append = [this](schema::LogEntry entry) {
          actions_.emplace_back(AppendOnce{std::move(entry)});
        };
        once.run = [this](TimePoint now, uint64_t id) {
          Request& request = requests_.at(id);
          request.owns_run = true;
          Wait(now, id, request);
        };
        once.finish = [this](TimePoint now, uint64_t id, Outcome outcome) {
          End(now, id, std::move(outcome));
        };
        return once;
      }()),
      last_attempt_(FirstAttemptId(options_)) {}

auto EntryRouter::Impl::OnRequest(TimePoint now, CallerRequest caller) -> void {
  const uint64_t id = ++last_request_;
  Request request;
  request.pool = {caller.partner, caller.service};
  request.bytes = caller.http.ByteSizeLong();
  request.caller = std::move(caller);
  const std::string partner = request.caller.partner;
  const std::size_t bytes = request.bytes;
  schema::Reason reason = directory_.Check(now, request.caller);
  if (reason == schema::REASON_NONE && !request.caller.once_key.empty()) {
    request.once_key = OnceKeyOf(request.caller);
  }
  // A repeat whose outcome is known needs no endpoint.
  const bool is_repeat =
      !request.once_key.empty() && once_.Knows(request.once_key);
  if (reason == schema::REASON_NONE && !is_repeat) {
    reason = CheckCapacity(now, request.pool, request.caller.deadline);
  }
  if (reason == schema::REASON_NONE && !MakeRoom(now, partner, bytes)) {
    reason = schema::OVERLOADED;
  }
  shares_.Add(partner, bytes);
  by_ticket_[request.caller.ticket] = id;
  Request& kept = requests_.emplace(id, std::move(request)).first->second;
  if (reason != schema::REASON_NONE) {
    End(now, id, {.verdict = schema::NOT_RUN, .reason = reason, .http = {}});
    return;
  }
  timers_.Set({TimerKind::kRequest, id}, kept.caller.deadline);
  if (kept.once_key.empty()) {
    Wait(now, id, kept);
    return;
  }
  kept.stage = Stage::kOnce;
  once_.Start(now, id, kept.once_key, RequestHash(kept.caller.http));
}

auto EntryRouter::Impl::OnCallerGone(TimePoint now, uint64_t ticket) -> void {
  const auto found = by_ticket_.find(ticket);
  if (found == by_ticket_.end()) {
    return;
  }
  const uint64_t id = found->second;
  Request& request = requests_.at(id);
  const bool in_progress = !request.open_attempts.empty();
  if (request.stage == Stage::kOnce) {
    once_.GiveUp(id, request.once_key);
  }
  Release(id, request);
  if (request.owns_run && in_progress) {
    timers_.Set({TimerKind::kRequest, id}, now + kOutcomeWanted);
    return;
  }
  for (const uint64_t attempt : request.open_attempts) {
    SendRecall(attempt, attempts_.at(attempt));
  }
  const bool may_have_run = request.may_have_run || in_progress;
  End(now, id,
      {.verdict = may_have_run ? schema::MAY_HAVE_RUN : schema::NOT_RUN,
       .reason = schema::REASON_NONE,
       .http = {}});
}

auto EntryRouter::Impl::SetServices(
    const std::vector<schema::VersionedObject>& objects) -> void {
  directory_.Set(objects);
  shares_.SetWeights(directory_.weights());
}

auto EntryRouter::Impl::OnTick(TimePoint now) -> void {
  for (const std::string& agent : table_.OnTick(now)) {
    OnAgentSilent(now, agent);
  }
  while (const auto key = timers_.PopDue(now)) {
    if (key->first == TimerKind::kRequest) {
      OnRequestTimer(now, key->second);
    } else {
      OnAttemptTimer(now, key->second);
    }
  }
  once_.OnTick(now);
  DispatchAll(now);
}

auto EntryRouter::Impl::next_wake() const -> TimePoint {
  return std::min(timers_.next(), table_.next_wake());
}

auto EntryRouter::Impl::CheckCapacity(TimePoint now,
                                      const PoolKey& key,
                                      TimePoint deadline) -> schema::Reason {
  const EndpointPool* pool = table_.FindPool(key);
  if (pool == nullptr || pool->live == 0) {
    return schema::NO_ENDPOINT;
  }
  const auto waiting = waiting_.find(key);
  const std::size_t ahead =
      waiting == waiting_.end() ? 0 : waiting->second.size();
  const Duration wait = ExpectedWait(*pool, ahead);
  const Duration expected = kWaitMargin * wait + AttemptTime(*pool);
  if (now + expected > deadline && !PassesUnchecked(now, key)) {
    return schema::DEADLINE_UNREACHABLE;
  }
  return schema::REASON_NONE;
}

auto EntryRouter::Impl::MakeRoom(TimePoint now,
                                 const std::string& partner,
                                 std::size_t bytes) -> bool {
  while (!shares_.HasRoom(bytes)) {
    const std::string victim = shares_.PartnerToDisplace(partner, bytes);
    if (victim.empty()) {
      return false;
    }
    End(now, shares_.NewestWaiting(victim),
        {.verdict = schema::NOT_RUN, .reason = schema::OVERLOADED, .http = {}});
  }
  return true;
}

auto EntryRouter::Impl::Wait(TimePoint now, uint64_t id, Request& request)
    -> void {
  request.stage = Stage::kWaiting;
  waiting_[request.pool].insert(id);
  if (request.attempts == 0 && !request.owns_run) {
    shares_.AddWaiting(request.caller.partner, id);
  }
  Dispatch(now, request.pool);
}

auto EntryRouter::Impl::StopWaiting(uint64_t id, Request& request) -> void {
  const auto found = waiting_.find(request.pool);
  if (found != waiting_.end()) {
    found->second.erase(id);
  }
  if (!request.replied) {
    shares_.RemoveWaiting(request.caller.partner, id);
  }
}

auto EntryRouter::Impl::Dispatch(TimePoint now, const PoolKey& key) -> void {
  const auto found = waiting_.find(key);
  if (found == waiting_.end() || found->second.empty()) {
    return;
  }
  EndpointPool* pool = table_.FindPool(key);
  if (pool == nullptr || pool->live == 0) {
    for (const uint64_t id : std::set<uint64_t>(found->second)) {
      RefuseWaiting(now, id, schema::NO_ENDPOINT);
    }
    return;
  }
  int passed_over = 0;
  auto next = found->second.begin();
  while (next != found->second.end() && !pool->ready.empty() &&
         passed_over < kMostPassedOver) {
    const uint64_t id = *next;
    ++next;
    Endpoint* endpoint = table_.Choose(now, *pool, requests_.at(id).tried);
    if (endpoint == nullptr) {
      ++passed_over;
      continue;
    }
    Send(now, id, *endpoint);
  }
}

auto EntryRouter::Impl::DispatchAll(TimePoint now) -> void {
  std::vector<PoolKey> keys;
  for (const auto& [key, ids] : waiting_) {
    keys.push_back(key);
  }
  for (const PoolKey& key : keys) {
    Dispatch(now, key);
  }
  std::erase_if(waiting_, [](const auto& one) { return one.second.empty(); });
}

auto EntryRouter::Impl::RefuseWaiting(TimePoint now,
                                      uint64_t id,
                                      schema::Reason reason) -> void {
  Request& request = requests_.at(id);
  StopWaiting(id, request);
  request.stage = Stage::kSent;
  if (!request.open_attempts.empty()) {
    return;
  }
  End(now, id,
      {.verdict = request.may_have_run ? schema::MAY_HAVE_RUN : schema::NOT_RUN,
       .reason = reason,
       .http = {}});
}

auto EntryRouter::Impl::OnRequestTimer(TimePoint now, uint64_t id) -> void {
  Request& request = requests_.at(id);
  if (request.stage == Stage::kOnce) {
    End(now, id, once_.GiveUp(id, request.once_key));
    return;
  }
  const bool in_progress = !request.open_attempts.empty();
  Outcome outcome;
  if (in_progress || request.may_have_run) {
    outcome.verdict = schema::MAY_HAVE_RUN;
    outcome.reason = schema::ATTEMPT_TIMEOUT;
  } else {
    outcome.verdict = schema::NOT_RUN;
    outcome.reason = schema::DEADLINE_UNREACHABLE;
  }
  if (request.owns_run && in_progress && !request.replied) {
    // The outcome is still wanted, for the key's repeats.
    StopWaiting(id, request);
    request.stage = Stage::kSent;
    Reply(now, id, outcome);
    timers_.Set({TimerKind::kRequest, id}, now + kOutcomeWanted);
    return;
  }
  End(now, id, std::move(outcome));
}

auto EntryRouter::Impl::End(TimePoint now, uint64_t id, Outcome outcome)
    -> void {
  Request& request = requests_.at(id);
  if (!request.replied) {
    Reply(now, id, outcome);
  }
  StopWaiting(id, request);
  timers_.Cancel({TimerKind::kRequest, id});
  const std::string key = request.owns_run ? request.once_key : std::string();
  requests_.erase(id);
  if (!key.empty()) {
    once_.OnRan(key, outcome);
  }
}

auto EntryRouter::Impl::Reply(TimePoint /*now*/,
                              uint64_t id,
                              const Outcome& outcome) -> void {
  Request& request = requests_.at(id);
  CallerReply reply;
  reply.ticket = request.caller.ticket;
  reply.verdict = outcome.verdict;
  reply.reason = outcome.reason;
  reply.http = outcome.http;
  reply.attempts = request.attempts;
  if (!request.tried.empty()) {
    reply.endpoint = request.tried.back();
  }
  if (outcome.verdict == schema::NOT_RUN) {
    reply.retry_after = RetryAfter(outcome.reason, request.pool);
    Count("refused", outcome.reason);
  } else if (outcome.verdict == schema::MAY_HAVE_RUN) {
    Count("may_have_run", outcome.reason);
  }
  actions_.emplace_back(std::move(reply));
  Release(id, request);
}

// Gives the request's room back; its caller hears no more of it.
auto EntryRouter::Impl::Release(uint64_t id, Request& request) -> void {
  shares_.RemoveWaiting(request.caller.partner, id);
  shares_.Remove(request.caller.partner, request.bytes);
  by_ticket_.erase(request.caller.ticket);
  request.replied = true;
}

auto EntryRouter::Impl::RetryAfter(schema::Reason reason,
                                   const PoolKey& pool) const -> milliseconds {
  switch (reason) {
    case schema::BAD_REQUEST:
    case schema::UNKNOWN_PARTNER:
    case schema::UNKNOWN_SERVICE:
    case schema::DEADLINE_INVALID:
    case schema::KEY_REQUIRED:
    case schema::KEY_REUSED_FOR_OTHER_REQUEST:
      return milliseconds(0);
    case schema::ENTRY_NOT_READY:
    case schema::NO_ENDPOINT:
    case schema::LOG_UNAVAILABLE:
      return kRetryAfterOutage;
    default:
      break;
  }
  const EndpointPool* endpoints = table_.FindPool(pool);
  const auto waiting = waiting_.find(pool);
  if (endpoints == nullptr || waiting == waiting_.end()) {
    return kShortestRetryAfter;
  }
  const auto expected = std::chrono::ceil<milliseconds>(
      ExpectedWait(*endpoints, waiting->second.size()));
  return std::clamp(expected, kShortestRetryAfter, kLongestRetryAfter);
}

auto EntryRouter::Impl::Count(const char* event, schema::Reason reason)
    -> void {
  actions_.emplace_back(CountReason{event, reason});
}

auto EntryRouter::Impl::PassesUnchecked(TimePoint now, const PoolKey& key)
    -> bool {
  TimePoint& next = unchecked_at_[key];
  if (now < next) {
    return false;
  }
  next = now + kUncheckedInterval;
  return true;
}

}  // namespace rhubarbhaven
