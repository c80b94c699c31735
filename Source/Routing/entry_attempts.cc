#include <algorithm>

#include "Routing/entry_router_impl.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

// An attempt is asked after when it took longer than nearly all do.
constexpr milliseconds kShortestOverdue{250};
constexpr milliseconds kFirstRecallPause{100};
constexpr milliseconds kLongestRecallPause{1000};
// With this many recalls sent and none answered before the last, a repeatable
// request is tried elsewhere, and an agent that announces itself all the same
// is taken not to get what is sent to it.
constexpr int kRecallsForLostPath = 2;
// After its deadline, how long an attempt's answer is waited for so that it
// can be told from an unknown one and its place at the agent is known free.
constexpr milliseconds kLateAnswerTime{1000};
constexpr std::chrono::seconds kLateOutcomeTime{30};
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
      Drop(schema::MESSAGE_LATE);
      return;
    case EndpointTable::AnnounceResult::kFull:
      Drop(schema::OVERLOADED);
      return;
    case EndpointTable::AnnounceResult::kRestarted:
      OnAgentRestarted(now, agent);
      break;
    case EndpointTable::AnnounceResult::kKnown:
      // The path is back: ask again at once for what went unanswered.
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
    Drop(schema::MESSAGE_MALFORMED);
    return;
  }
  Endpoint* endpoint = table_.Find(agent);
  if (endpoint != nullptr && endpoint->incarnation == incarnation) {
    table_.OnGrant(now, *endpoint, answer.grant());
  }
  const auto found = attempts_.find(answer.attempt_id());
  // An answer is matched by attempt, agent and incarnation. One that is late,
  // repeated or meant for somebody else would reach the wrong caller.
  if (found == attempts_.end() || found->second.agent != agent ||
      found->second.agent_incarnation != incarnation) {
    Drop(schema::MESSAGE_LATE);
  } else if (answer.verdict() == schema::VERDICT_UNSPECIFIED) {
    found->second.unanswered_recalls = 0;
  } else {
    if (Endpoint* judged = EndpointOf(found->second)) {
      JudgeEndpoint(now, *judged, found->second, answer);
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
  if (Endpoint* endpoint = EndpointOf(found->second)) {
    table_.OnUnsent(now, *endpoint);
  }
  // An offer is sent once, and this one went to no connection.
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
  const Duration usual = AttemptTime(*endpoint.pool);
  const bool too_late =
      remaining < usual && !PassesUnchecked(now, request.pool);
  if (too_late || remaining.count() <= 0) {
    RefuseWaiting(now, id, schema::DEADLINE_UNREACHABLE);
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
  const Duration late =
      request.owns_run ? Duration(kLateOutcomeTime) : Duration(kLateAnswerTime);
  attempts_[attempt_id] = {.request = id,
                           .agent = endpoint.agent,
                           .agent_incarnation = endpoint.incarnation,
                           .sent = now,
                           .close_at = request.caller.deadline + late,
                           .recall_pause = kFirstRecallPause};
  by_agent_[endpoint.agent].insert(attempt_id);
  const Duration overdue = std::max<Duration>(kShortestOverdue, usual);
  timers_.Set({TimerKind::kAttempt, attempt_id}, now + overdue);

  SendToAgent send{.agent = endpoint.agent, .message = {}};
  schema::Offer& offer = *send.message.mutable_offer();
  offer.set_attempt_id(attempt_id);
  offer.set_agent_incarnation(endpoint.incarnation);
  offer.set_remaining_ms(static_cast<uint32_t>(remaining.count()));
  offer.set_repeatable(request.once_key.empty());
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
  send.message.mutable_recall()->set_attempt_id(attempt_id);
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
              std::min(attempt.close_at, now + attempt.recall_pause));
  attempt.recall_pause =
      std::min(kLongestRecallPause, 2 * attempt.recall_pause);
  SendRecall(attempt_id, attempt);
  ++attempt.unanswered_recalls;
  if (attempt.unanswered_recalls < kRecallsForLostPath) {
    return;
  }
  if (Endpoint* endpoint = EndpointOf(attempt)) {
    table_.OnPathLost(now, *endpoint);
  }
  TryElsewhere(now, attempt, schema::ATTEMPT_TIMEOUT);
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
  if (Endpoint* endpoint = EndpointOf(attempt)) {
    table_.OnClosed(now, *endpoint);
  }
  const auto request = requests_.find(attempt.request);
  if (request == requests_.end()) {
    // The caller has its reply already.
    if (outcome.verdict == schema::ANSWERED) {
      Drop(schema::MESSAGE_LATE);
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
    End(now, id, std::move(outcome));
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
  // What one attempt vouches for does not cover the others.
  if (request.may_have_run) {
    outcome.verdict = schema::MAY_HAVE_RUN;
  }
  End(now, id, std::move(outcome));
}

auto EntryRouter::Impl::CanRetry(TimePoint now,
                                 const Request& request,
                                 schema::Verdict verdict) -> bool {
  const bool is_safe = verdict == schema::NOT_RUN || request.once_key.empty();
  if (!is_safe || request.attempts == 0 ||
      request.attempts >= options_.max_attempts ||
      now >= request.caller.deadline || !HasUntried(request)) {
    return false;
  }
  if (!budget_.Take()) {
    Count("retry_denied", schema::RETRY_BUDGET_EMPTY);
    return false;
  }
  return true;
}

auto EntryRouter::Impl::HasUntried(const Request& request) -> bool {
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
  Wait(now, id, requests_.at(id));
}

// Nothing was heard of the attempt. A repeatable request is sent to another
// endpoint too, and the first whole answer is taken.
auto EntryRouter::Impl::TryElsewhere(TimePoint now,
                                     OpenAttempt& attempt,
                                     schema::Reason reason) -> void {
  const auto found = requests_.find(attempt.request);
  if (attempt.given_up || found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  if (!request.once_key.empty() || request.stage != Stage::kSent ||
      !CanRetry(now, request, schema::MAY_HAVE_RUN)) {
    return;
  }
  attempt.given_up = true;
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

auto EntryRouter::Impl::OnAgentSilent(TimePoint now, const std::string& agent)
    -> void {
  Count("agent_silent", schema::AGENT_SILENT);
  for (const uint64_t id : AttemptsAt(agent)) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end() ||
        !requests_.contains(found->second.request)) {
      continue;
    }
    ++found->second.unanswered_recalls;
    SendRecall(id, found->second);
    TryElsewhere(now, found->second, schema::AGENT_SILENT);
  }
}

auto EntryRouter::Impl::OnAgentRestarted(TimePoint now,
                                         const std::string& agent) -> void {
  for (const uint64_t id : AttemptsAt(agent)) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end() || EndpointOf(found->second) != nullptr) {
      continue;
    }
    // Nobody is left who could vouch for it.
    EndAttempt(now, id,
               {.verdict = schema::MAY_HAVE_RUN,
                .reason = schema::AGENT_RESTARTED,
                .http = {}});
  }
}

auto EntryRouter::Impl::JudgeEndpoint(TimePoint now,
                                      Endpoint& endpoint,
                                      const OpenAttempt& attempt,
                                      const schema::Answer& answer) -> void {
  const bool answered = answer.verdict() == schema::ANSWERED;
  const bool failed = answered ? answer.http().status() >= kFirstServerError
                               : IsEndpointFault(answer.reason());
  if (failed) {
    table_.OnFailure(now, endpoint);
  } else if (answered) {
    table_.OnSuccess(now, endpoint, now - attempt.sent);
  }
}

auto EntryRouter::Impl::EndpointOf(const OpenAttempt& attempt) -> Endpoint* {
  Endpoint* endpoint = table_.Find(attempt.agent);
  return endpoint != nullptr &&
                 endpoint->incarnation == attempt.agent_incarnation
             ? endpoint
             : nullptr;
}

}  // namespace rhubarbhaven
