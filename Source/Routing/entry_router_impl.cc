#include "Routing/entry_router_impl.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

// Requests that have been tried on all ready endpoints do not block those
// behind them. At most this many are skipped.
constexpr int kMaxSkippedRequests = 32;
constexpr milliseconds kUncheckedInterval{100};
// The expected wait is an estimate, and work that misses its deadline is
// wasted, so the wait is multiplied by this factor.
constexpr int kWaitFactor = 2;
// How long after the caller's deadline the outcome of a non-repeatable request
// is still queried.
constexpr std::chrono::seconds kOutcomeQueryTime{30};
constexpr milliseconds kMinRetryAfter{100};
constexpr milliseconds kMaxRetryAfter{10000};
constexpr milliseconds kRetryAfterOutage{1000};

// Halves the hash so that the ids of one process do not overflow.
auto FirstAttemptId(const RouterOptions& options) -> uint64_t {
  return StableHash(options.entry_id, options.entry_incarnation) >> 1U;
}

auto MakeIdempotencyKey(const CallerRequest& caller) -> std::string {
  return absl::StrCat(caller.partner, "/", caller.service, "/",
                      absl::CHexEscape(caller.idempotency_key));
}

// Headers such as dates and trace ids differ between repeats of the same
// request and are not hashed.
auto RequestHash(const schema::HttpRequest& http) -> uint64_t {
  const uint64_t method = StableHash(http.method());
  return StableHash(http.body(), StableHash(http.path(), method));
}

auto MakeIdempotencyOptions(const RouterOptions& options)
    -> IdempotencyCoordinatorOptions {
  IdempotencyCoordinatorOptions idempotency;
  idempotency.entry_id = options.entry_id;
  idempotency.entry_incarnation = options.entry_incarnation;
  idempotency.max_answer_bytes = options.idempotency_answer_bytes;
  idempotency.table.retention = options.idempotency_retention;
  idempotency.table.max_keys = options.idempotency_max_keys;
  idempotency.table.max_answer_bytes = options.idempotency_max_answer_bytes;
  return idempotency;
}

}  // namespace

EntryRouter::Impl::Impl(RouterOptions options)
    : options_(std::move(options)),
      table_(options_.failure_domain, options_.announce_timeout, options_.seed),
      pending_limiter_(options_.max_pending, options_.max_pending_bytes),
      budget_(options_.retry_ratio),
      idempotency_([this] {
        IdempotencyCoordinatorOptions idempotency =
            MakeIdempotencyOptions(options_);
        idempotency.append = [this](schema::LogEntry entry) {
          actions_.emplace_back(AppendIdempotencyEntry{std::move(entry)});
        };
        idempotency.run = [this](TimePoint now, uint64_t id) {
          Request& request = requests_.at(id);
          request.owns_run = true;
          StartWaiting(now, id, request);
        };
        idempotency.finish = [this](TimePoint now, uint64_t id,
                                    const Outcome& outcome) {
          End(now, id, outcome);
        };
        return idempotency;
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
  if (reason == schema::REASON_NONE &&
      !request.caller.idempotency_key.empty()) {
    request.idempotency_key = MakeIdempotencyKey(request.caller);
  }
  // A repeat of a known key needs no endpoint.
  const bool is_repeat = !request.idempotency_key.empty() &&
                         idempotency_.HasKey(request.idempotency_key);
  if (reason == schema::REASON_NONE && !is_repeat) {
    reason = CheckCapacity(now, request.pool, request.caller.deadline);
  }
  if (reason == schema::REASON_NONE && !EnsureCapacity(now, partner, bytes)) {
    reason = schema::OVERLOADED;
  }
  pending_limiter_.Add(partner, bytes);
  by_ticket_[request.caller.ticket] = id;
  Request& stored = requests_.emplace(id, std::move(request)).first->second;
  if (reason != schema::REASON_NONE) {
    End(now, id, {.verdict = schema::NOT_RUN, .reason = reason, .http = {}});
    return;
  }
  timers_.Set({TimerKind::kRequest, id}, stored.caller.deadline);
  if (stored.idempotency_key.empty()) {
    StartWaiting(now, id, stored);
    return;
  }
  stored.stage = Stage::kIdempotency;
  idempotency_.Start(now, id, stored.idempotency_key,
                     RequestHash(stored.caller.http));
}

auto EntryRouter::Impl::OnCallerDisconnected(TimePoint now, uint64_t ticket)
    -> void {
  const auto found = by_ticket_.find(ticket);
  if (found == by_ticket_.end()) {
    return;
  }
  const uint64_t id = found->second;
  Request& request = requests_.at(id);
  const bool in_progress = !request.open_attempts.empty();
  if (request.stage == Stage::kIdempotency) {
    idempotency_.Abandon(id, request.idempotency_key);
  }
  Release(id, request);
  if (request.owns_run && in_progress) {
    timers_.Set({TimerKind::kRequest, id}, now + kOutcomeQueryTime);
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
  pending_limiter_.SetWeights(directory_.weights());
}

auto EntryRouter::Impl::OnTick(TimePoint now) -> void {
  for (const std::string& agent : table_.OnTick(now)) {
    OnAgentUnresponsive(now, agent);
  }
  while (const auto key = timers_.PopDue(now)) {
    if (key->first == TimerKind::kRequest) {
      OnRequestTimer(now, key->second);
    } else {
      OnAttemptTimer(now, key->second);
    }
  }
  idempotency_.OnTick(now);
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
  const Duration expected = kWaitFactor * wait + AttemptTimeBound(*pool);
  if (now + expected > deadline && !AllowUnchecked(now, key)) {
    return schema::DEADLINE_UNREACHABLE;
  }
  return schema::REASON_NONE;
}

auto EntryRouter::Impl::EnsureCapacity(TimePoint now,
                                       const std::string& partner,
                                       std::size_t bytes) -> bool {
  while (!pending_limiter_.HasCapacity(bytes)) {
    const std::string victim =
        pending_limiter_.PartnerToDisplace(partner, bytes);
    if (victim.empty()) {
      return false;
    }
    End(now, pending_limiter_.NewestWaiting(victim),
        {.verdict = schema::NOT_RUN, .reason = schema::OVERLOADED, .http = {}});
  }
  return true;
}

auto EntryRouter::Impl::StartWaiting(TimePoint now,
                                     uint64_t id,
                                     Request& request) -> void {
  request.stage = Stage::kWaiting;
  waiting_[request.pool].insert(id);
  if (request.attempts == 0 && !request.owns_run) {
    pending_limiter_.AddWaiting(request.caller.partner, id);
  }
  Dispatch(now, request.pool);
}

auto EntryRouter::Impl::StopWaiting(uint64_t id, Request& request) -> void {
  const auto found = waiting_.find(request.pool);
  if (found != waiting_.end()) {
    found->second.erase(id);
  }
  if (!request.replied) {
    pending_limiter_.RemoveWaiting(request.caller.partner, id);
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
      RejectWaiting(now, id, schema::NO_ENDPOINT);
    }
    return;
  }
  int skipped = 0;
  auto next = found->second.begin();
  while (next != found->second.end() && !pool->ready.empty() &&
         skipped < kMaxSkippedRequests) {
    const uint64_t id = *next;
    ++next;
    Endpoint* endpoint = table_.Choose(now, *pool, requests_.at(id).tried);
    if (endpoint == nullptr) {
      ++skipped;
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

auto EntryRouter::Impl::RejectWaiting(TimePoint now,
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
  if (request.stage == Stage::kIdempotency) {
    End(now, id, idempotency_.Abandon(id, request.idempotency_key));
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
    // Repeats of the key still need the outcome.
    StopWaiting(id, request);
    request.stage = Stage::kSent;
    Reply(now, id, outcome);
    timers_.Set({TimerKind::kRequest, id}, now + kOutcomeQueryTime);
    return;
  }
  End(now, id, outcome);
}

auto EntryRouter::Impl::End(TimePoint now, uint64_t id, const Outcome& outcome)
    -> void {
  Request& request = requests_.at(id);
  if (!request.replied) {
    Reply(now, id, outcome);
  }
  StopWaiting(id, request);
  timers_.Cancel({TimerKind::kRequest, id});
  const std::string key =
      request.owns_run ? request.idempotency_key : std::string();
  requests_.erase(id);
  if (!key.empty()) {
    idempotency_.OnRunFinished(key, outcome);
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

// Releases the request's share of the pending limits. Its caller receives
// nothing further.
auto EntryRouter::Impl::Release(uint64_t id, Request& request) -> void {
  pending_limiter_.RemoveWaiting(request.caller.partner, id);
  pending_limiter_.Remove(request.caller.partner, request.bytes);
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
    return kMinRetryAfter;
  }
  const auto expected = std::chrono::ceil<milliseconds>(
      ExpectedWait(*endpoints, waiting->second.size()));
  return std::clamp(expected, kMinRetryAfter, kMaxRetryAfter);
}

auto EntryRouter::Impl::Count(const char* event, schema::Reason reason)
    -> void {
  actions_.emplace_back(CountReason{event, reason});
}

auto EntryRouter::Impl::AllowUnchecked(TimePoint now, const PoolKey& key)
    -> bool {
  TimePoint& next = next_unchecked_at_[key];
  if (now < next) {
    return false;
  }
  next = now + kUncheckedInterval;
  return true;
}

}  // namespace rhubarbhaven
