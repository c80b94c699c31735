#include <algorithm>

#include "Routing/entry_router_impl.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

// Minimum time before the first recall of an attempt. Beyond this, a recall is
// sent when an attempt takes longer than nearly all others do.
constexpr milliseconds kMinOverdueDelay{250};
constexpr milliseconds kInitialRecallInterval{100};
constexpr milliseconds kMaxRecallInterval{1000};
// After this many recalls without an answer, a repeatable request is sent to
// another endpoint, and messages to the agent are assumed to be lost even if it
// announces itself.
constexpr int kRecallsForLostPath = 2;
// How long after its deadline an attempt waits for an answer, so that the
// answer can be matched and its slot at the agent is known to be free.
constexpr milliseconds kLateAnswerTimeout{1000};
constexpr std::chrono::seconds kLateOutcomeTimeout{30};
constexpr uint32_t kFirstServerError = 500;
constexpr uint32_t kLowestStatus = 100;
constexpr uint32_t kHighestStatus = 599;

auto IsEndpointFault(schema::Reason reason) -> bool {
  return reason >= schema::ENDPOINT_CONNECT_FAILED &&
         reason <= schema::ENDPOINT_ANSWER_MISMATCHED;
}

auto IsWellFormed(const schema::Answer& answer) -> bool {
  switch (answer.verdict()) {
    case schema::VERDICT_UNSPECIFIED:
    case schema::NOT_RUN:
    case schema::MAY_HAVE_RUN:
      return true;
    case schema::ANSWERED:
      return answer.http().status() >= kLowestStatus &&
             answer.http().status() <= kHighestStatus;
    default:
      return false;
  }
}

}  // namespace

auto EntryRouter::Impl::OnAnnounce(TimePoint now,
                                   const std::string& agent,
                                   uint64_t incarnation,
                                   const schema::Announce& announce) -> void {
  switch (table_.OnAnnounce(now, agent, incarnation, announce)) {
    case EndpointTable::AnnounceResult::kStale:
      CountDropped(schema::MESSAGE_LATE);
      return;
    case EndpointTable::AnnounceResult::kFull:
      CountDropped(schema::OVERLOADED);
      return;
    case EndpointTable::AnnounceResult::kRestarted:
      OnAgentRestarted(now, agent);
      break;
    case EndpointTable::AnnounceResult::kKnown:
      // The agent is reachable again, so recalls that went unanswered are
      // resent at once.
      for (const uint64_t id : AttemptsAt(agent)) {
        OpenAttempt& attempt = attempts_.at(id);
        if (attempt.unanswered_recalls > 0) {
          SendRecall(id, attempt);
        }
      }
      break;
    case EndpointTable::AnnounceResult::kAdded:
      break;
  }
  Dispatch(now, {announce.partner(), announce.service()});
}

auto EntryRouter::Impl::OnAnswer(TimePoint now,
                                 const std::string& agent,
                                 uint64_t incarnation,
                                 const schema::Answer& answer) -> void {
  if (!IsWellFormed(answer)) {
    CountDropped(schema::MESSAGE_MALFORMED);
    return;
  }
  Endpoint* endpoint = table_.Find(agent);
  if (endpoint != nullptr && endpoint->incarnation == incarnation) {
    table_.OnGrant(now, *endpoint, answer.grant());
  }
  const auto found = attempts_.find(answer.attempt_id());
  // An answer is matched by attempt, agent and incarnation. Otherwise one that
  // is late, duplicated or addressed to another process would be returned to
  // the wrong caller.
  if (found == attempts_.end() || found->second.agent != agent ||
      found->second.agent_incarnation != incarnation) {
    CountDropped(schema::MESSAGE_LATE);
  } else if (answer.verdict() == schema::VERDICT_UNSPECIFIED) {
    found->second.unanswered_recalls = 0;
  } else {
    if (Endpoint* answering_endpoint = FindEndpoint(found->second)) {
      RecordEndpointResult(now, *answering_endpoint, found->second, answer);
    }
    EndAttempt(now, answer.attempt_id(),
               {.verdict = answer.verdict(),
                .reason = answer.reason(),
                .http = answer.http()});
  }
  if (endpoint != nullptr) {
    Dispatch(now, {endpoint->pool->partner, endpoint->pool->service});
  }
}

auto EntryRouter::Impl::OnUnsentOffer(TimePoint now,
                                      const std::string& agent,
                                      const schema::Offer& offer) -> void {
  const auto found = attempts_.find(offer.attempt_id());
  if (found == attempts_.end() || found->second.agent != agent) {
    return;
  }
  if (Endpoint* endpoint = FindEndpoint(found->second)) {
    table_.OnUnsent(now, *endpoint);
  }
  // Each offer is sent only once, and no connection accepted this one.
  EndAttempt(now, offer.attempt_id(),
             {.verdict = schema::NOT_RUN,
              .reason = schema::AGENT_UNREACHABLE,
              .http = {}});
}

auto EntryRouter::Impl::Send(TimePoint now, uint64_t id, Endpoint& endpoint)
    -> void {
  Request& request = requests_.at(id);
  const auto remaining =
      std::chrono::floor<milliseconds>(request.caller.deadline - now);
  const Duration time_bound = AttemptTimeBound(*endpoint.pool);
  const bool too_late =
      remaining < time_bound && !AllowUnchecked(now, request.pool);
  if (too_late || remaining.count() <= 0) {
    RejectWaiting(now, id, schema::DEADLINE_UNREACHABLE);
    return;
  }
  StopWaiting(id, request);
  request.stage = Stage::kSent;
  if (request.attempts == 0) {
    budget_.OnFirstAttempt();
  }
  const uint64_t attempt_id = ++last_attempt_;
  ++request.attempts;
  request.tried.push_back(endpoint.agent);
  request.open_attempts.insert(attempt_id);
  const Duration late = request.owns_run ? Duration(kLateOutcomeTimeout)
                                         : Duration(kLateAnswerTimeout);
  attempts_[attempt_id] = {.request = id,
                           .agent = endpoint.agent,
                           .agent_incarnation = endpoint.incarnation,
                           .sent = now,
                           .close_at = request.caller.deadline + late,
                           .recall_interval = kInitialRecallInterval};
  by_agent_[endpoint.agent].insert(attempt_id);
  const Duration overdue = std::max<Duration>(kMinOverdueDelay, time_bound);
  timers_.Set({TimerKind::kAttempt, attempt_id}, now + overdue);

  SendToAgent send{.agent = endpoint.agent, .message = {}};
  schema::Offer& offer = *send.message.mutable_offer();
  offer.set_attempt_id(attempt_id);
  offer.set_agent_incarnation(endpoint.incarnation);
  offer.set_remaining_ms(static_cast<uint32_t>(remaining.count()));
  offer.set_repeatable(request.idempotency_key.empty());
  offer.set_request_id(request.caller.request_id);
  offer.set_partner(request.caller.partner);
  *offer.mutable_request() = request.caller.http;
  *offer.mutable_credit() = table_.OnSent(now, endpoint);
  send.message.set_sender(options_.entry_id);
  send.message.set_sender_incarnation(options_.entry_incarnation);
  actions_.emplace_back(std::move(send));
}

auto EntryRouter::Impl::SendRecall(uint64_t attempt_id,
                                   const OpenAttempt& attempt) -> void {
  SendToAgent send{.agent = attempt.agent, .message = {}};
  schema::Recall& recall = *send.message.mutable_recall();
  recall.set_attempt_id(attempt_id);
  recall.set_cancel(!requests_.contains(attempt.request) ||
                    requests_.at(attempt.request).replied);
  send.message.set_sender(options_.entry_id);
  send.message.set_sender_incarnation(options_.entry_incarnation);
  actions_.emplace_back(std::move(send));
}

auto EntryRouter::Impl::OnAttemptTimer(TimePoint now, uint64_t attempt_id)
    -> void {
  OpenAttempt& attempt = attempts_.at(attempt_id);
  if (now >= attempt.close_at) {
    EndAttempt(now, attempt_id,
               {.verdict = schema::MAY_HAVE_RUN,
                .reason = schema::ATTEMPT_TIMEOUT,
                .http = {}});
    return;
  }
  if (!requests_.contains(attempt.request)) {
    timers_.Set({TimerKind::kAttempt, attempt_id}, attempt.close_at);
    return;
  }
  timers_.Set({TimerKind::kAttempt, attempt_id},
              std::min(attempt.close_at, now + attempt.recall_interval));
  attempt.recall_interval =
      std::min(kMaxRecallInterval, 2 * attempt.recall_interval);
  SendRecall(attempt_id, attempt);
  ++attempt.unanswered_recalls;
  if (attempt.unanswered_recalls < kRecallsForLostPath) {
    return;
  }
  if (Endpoint* endpoint = FindEndpoint(attempt)) {
    table_.OnPathLost(now, *endpoint);
  }
  RetryElsewhere(now, attempt, schema::ATTEMPT_TIMEOUT);
}

auto EntryRouter::Impl::EndAttempt(TimePoint now,
                                   uint64_t attempt_id,
                                   Outcome outcome) -> void {
  const auto found = attempts_.find(attempt_id);
  const OpenAttempt attempt = found->second;
  attempts_.erase(found);
  timers_.Cancel({TimerKind::kAttempt, attempt_id});
  const auto at_agent = by_agent_.find(attempt.agent);
  at_agent->second.erase(attempt_id);
  if (at_agent->second.empty()) {
    by_agent_.erase(at_agent);
  }
  if (Endpoint* endpoint = FindEndpoint(attempt)) {
    table_.OnAttemptClosed(now, *endpoint);
  }
  const auto request = requests_.find(attempt.request);
  if (request == requests_.end()) {
    // The caller already has its reply.
    if (outcome.verdict == schema::ANSWERED) {
      CountDropped(schema::MESSAGE_LATE);
    }
    return;
  }
  request->second.open_attempts.erase(attempt_id);
  OnAttemptOutcome(now, attempt.request, std::move(outcome));
}

auto EntryRouter::Impl::OnAttemptOutcome(TimePoint now,
                                         uint64_t id,
                                         Outcome outcome) -> void {
  Request& request = requests_.at(id);
  if (outcome.verdict == schema::ANSWERED) {
    End(now, id, outcome);
    return;
  }
  const schema::Verdict verdict = outcome.verdict;
  request.may_have_run |= verdict == schema::MAY_HAVE_RUN;
  if (!request.open_attempts.empty() || request.stage == Stage::kWaiting) {
    return;
  }
  if (!request.replied && CanRetry(now, request, verdict)) {
    Retry(now, id, outcome.reason);
    return;
  }
  // The `not_run` verdict of one attempt does not apply to the others.
  if (request.may_have_run) {
    outcome.verdict = schema::MAY_HAVE_RUN;
  }
  End(now, id, outcome);
}

auto EntryRouter::Impl::CanRetry(TimePoint now,
                                 const Request& request,
                                 schema::Verdict verdict) -> bool {
  const bool is_safe =
      verdict == schema::NOT_RUN || request.idempotency_key.empty();
  if (!is_safe || request.attempts == 0 ||
      request.attempts >= options_.max_attempts ||
      now >= request.caller.deadline || !HasUntriedEndpoint(request)) {
    return false;
  }
  if (!budget_.Take()) {
    Count("retry_denied", schema::RETRY_BUDGET_EMPTY);
    return false;
  }
  return true;
}

auto EntryRouter::Impl::HasUntriedEndpoint(const Request& request) -> bool {
  const EndpointPool* pool = table_.FindPool(request.pool);
  if (pool == nullptr) {
    return false;
  }
  const auto& tried = request.tried;
  return std::any_of(
      pool->members.begin(), pool->members.end(), [&](const Endpoint* member) {
        return IsLive(*member) && std::find(tried.begin(), tried.end(),
                                            member->agent) == tried.end();
      });
}

auto EntryRouter::Impl::Retry(TimePoint now, uint64_t id, schema::Reason reason)
    -> void {
  Count("retried", reason);
  StartWaiting(now, id, requests_.at(id));
}

// Sends a repeatable request whose attempt went unanswered to another endpoint
// as well. The first complete answer is used.
auto EntryRouter::Impl::RetryElsewhere(TimePoint now,
                                       OpenAttempt& attempt,
                                       schema::Reason reason) -> void {
  const auto found = requests_.find(attempt.request);
  if (attempt.retried_elsewhere || found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  if (!request.idempotency_key.empty() || request.stage != Stage::kSent ||
      !CanRetry(now, request, schema::MAY_HAVE_RUN)) {
    return;
  }
  attempt.retried_elsewhere = true;
  Retry(now, attempt.request, reason);
}

auto EntryRouter::Impl::AttemptsAt(const std::string& agent) const
    -> std::vector<uint64_t> {
  const auto found = by_agent_.find(agent);
  if (found == by_agent_.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

auto EntryRouter::Impl::OnAgentUnresponsive(TimePoint now,
                                            const std::string& agent) -> void {
  Count("agent_silent", schema::AGENT_SILENT);
  for (const uint64_t id : AttemptsAt(agent)) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end() ||
        !requests_.contains(found->second.request)) {
      continue;
    }
    ++found->second.unanswered_recalls;
    SendRecall(id, found->second);
    RetryElsewhere(now, found->second, schema::AGENT_SILENT);
  }
}

auto EntryRouter::Impl::OnAgentRestarted(TimePoint now,
                                         const std::string& agent) -> void {
  for (const uint64_t id : AttemptsAt(agent)) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end() || FindEndpoint(found->second) != nullptr) {
      continue;
    }
    // The incarnation that could report whether the attempt ran no longer
    // exists.
    EndAttempt(now, id,
               {.verdict = schema::MAY_HAVE_RUN,
                .reason = schema::AGENT_RESTARTED,
                .http = {}});
  }
}

auto EntryRouter::Impl::RecordEndpointResult(TimePoint now,
                                             Endpoint& endpoint,
                                             const OpenAttempt& attempt,
                                             const schema::Answer& answer)
    -> void {
  const bool answered = answer.verdict() == schema::ANSWERED;
  const bool failed = answered ? answer.http().status() >= kFirstServerError
                               : IsEndpointFault(answer.reason());
  if (failed) {
    table_.OnFailure(now, endpoint);
  } else if (answered) {
    table_.OnSuccess(now, endpoint, now - attempt.sent);
  }
}

auto EntryRouter::Impl::FindEndpoint(const OpenAttempt& attempt) -> Endpoint* {
  Endpoint* endpoint = table_.Find(attempt.agent);
  return endpoint != nullptr &&
                 endpoint->incarnation == attempt.agent_incarnation
             ? endpoint
             : nullptr;
}

}  // namespace rhubarbhaven
