#include "Routing/agent_admission_impl.h"

#include <algorithm>

#include "Routing/ascii.h"

namespace rhubarbhaven {
namespace {

// Windows cover the slots and as many queued requests, which hides the round
// trip to the entries. Overlapping windows may queue twice that.
constexpr uint32_t kWindowCapacityPerSlot = 2;
constexpr uint32_t kMaxQueuedPerSlot = 2;
// A queued attempt expires this long before its deadline, so that the entry
// receives the `not_run` answer in time.
constexpr std::chrono::milliseconds kAnswerMargin{10};
// Weight of the newest sample in the smoothed service time.
constexpr double kServiceTimeGain = 0.1;
// A service time that no request has confirmed for this long is discarded.
// Otherwise an endpoint that was slow once would count as slow until it
// receives requests again. Entries with traffic send at least one request per
// second to each endpoint.
constexpr std::chrono::seconds kServiceTimeRetention{10};

using std::chrono::milliseconds;

}  // namespace

AgentAdmission::Impl::Impl(AdmissionOptions options)
    : options_(std::move(options)),
      slots_(std::max(1U, std::min(options_.slots, options_.connections))),
      ledger_(options_.credit_ttl),
      planner_(kWindowCapacityPerSlot * slots_, options_.announce_interval),
      // A rejected attempt is kept for longer than its credit is valid.
      attempts_({.retention = std::max(options_.answer_retention,
                                       2 * options_.credit_ttl),
                 .max_answer_bytes = options_.answer_retention_bytes}) {}

auto AgentAdmission::Impl::OnOffer(TimePoint now,
                                   const std::string& entry,
                                   uint64_t incarnation,
                                   const schema::Offer& offer) -> void {
  if (Attempt* known = attempts_.Find(offer.attempt_id())) {
    OnDuplicateOffer(now, entry, *known, offer);
    return;
  }
  const schema::Reason reason = RejectionReason(now, entry, offer);
  if (reason != schema::REASON_NONE) {
    Reject(now, entry, incarnation, offer.attempt_id(), reason);
    return;
  }
  attempts_.Add(offer.attempt_id(),
                {.state = Attempt::State::kQueued,
                 .entry = entry,
                 .entry_incarnation = incarnation,
                 .deadline = now + milliseconds(offer.remaining_ms()),
                 .offer = offer,
                 .answer = {}});
  queue_.push_back(offer.attempt_id());
  queue_deadline_ =
      std::min(queue_deadline_,
               now + milliseconds(offer.remaining_ms()) - kAnswerMargin);
  planner_.OnAccepted(now, entry);
  StartQueued(now);
}

auto AgentAdmission::Impl::OnRecall(TimePoint now,
                                    const std::string& entry,
                                    uint64_t incarnation,
                                    const schema::Recall& recall) -> void {
  const uint64_t id = recall.attempt_id();
  Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr) {
    OnUnknownRecall(now, entry, incarnation, id);
    return;
  }
  if (attempt->entry != entry) {
    Count(schema::MESSAGE_MALFORMED);
    return;
  }
  switch (attempt->state) {
    case Attempt::State::kQueued:
      if (!recall.cancel()) {
        Send(now, entry, InProgress(id));
        break;
      }
      std::erase(queue_, id);
      End(now, id, NotRun(id, schema::RECALLED));
      Count(schema::RECALLED);
      break;
    case Attempt::State::kRunning:
      Send(now, entry, InProgress(id));
      break;
    case Attempt::State::kFinished:
      Send(now, entry, attempt->answer);
      break;
  }
}

auto AgentAdmission::Impl::OnEndpointAnswer(TimePoint now,
                                            EndpointOutcome outcome) -> void {
  Attempt* attempt = attempts_.Find(outcome.attempt_id);
  // An answer may be duplicated or arrive after its attempt has ended. It must
  // not release a slot that another attempt holds.
  if (attempt == nullptr || attempt->state != Attempt::State::kRunning) {
    Count(schema::MESSAGE_LATE);
    return;
  }
  --running_;
  UpdateServiceTime(now, outcome);
  schema::Answer answer;
  answer.set_attempt_id(outcome.attempt_id);
  answer.set_verdict(outcome.verdict);
  answer.set_reason(outcome.reason);
  if (outcome.verdict == schema::ANSWERED) {
    *answer.mutable_http() = std::move(outcome.http);
    RemoveUnencodableHeaders(*answer.mutable_http());
  } else {
    Count(outcome.reason);
  }
  End(now, outcome.attempt_id, std::move(answer));
  StartQueued(now);
}

auto AgentAdmission::Impl::SetEntries(TimePoint now,
                                      const std::vector<std::string>& entries)
    -> void {
  const std::set<std::string> wanted(entries.begin(), entries.end());
  for (const std::string& entry : entries_) {
    if (!wanted.contains(entry)) {
      planner_.RemoveEntry(entry);
    }
  }
  for (const std::string& entry : wanted) {
    planner_.AddEntry(entry);
  }
  entries_ = wanted;
  AnnounceToAll(now);
}

auto AgentAdmission::Impl::SetIdentity(schema::Announce identity) -> void {
  identity_ = std::move(identity);
  next_announce_ = TimePoint::min();
}

auto AgentAdmission::Impl::SetEndpointHealthy(TimePoint now, bool healthy)
    -> void {
  if (healthy_ == healthy) {
    return;
  }
  healthy_ = healthy;
  AnnounceToAll(now);
}

auto AgentAdmission::Impl::Leave(TimePoint now) -> void {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  AnnounceToAll(now);
}

auto AgentAdmission::Impl::OnTick(TimePoint now) -> void {
  attempts_.RemoveExpired(now);
  ExpireServiceTime(now);
  StartQueued(now);
  if (now >= next_announce_) {
    AnnounceToAll(now);
  }
}

auto AgentAdmission::Impl::next_wake() const -> TimePoint {
  return std::min(next_announce_, queue_deadline_);
}

auto AgentAdmission::Impl::queued() const -> uint32_t {
  return static_cast<uint32_t>(queue_.size());
}

auto AgentAdmission::Impl::Count(schema::Reason reason) -> void {
  actions_.emplace_back(CountRejection{reason});
}

auto AgentAdmission::Impl::RejectionReason(TimePoint now,
                                           const std::string& entry,
                                           const schema::Offer& offer)
    -> schema::Reason {
  // The offer was sent to an earlier incarnation of this agent, whose credits
  // are not valid here.
  if (offer.agent_incarnation() != options_.incarnation) {
    return schema::WRONG_INCARNATION;
  }
  if (leaving_) {
    return schema::AGENT_LEAVING;
  }
  const schema::Reason credit = ledger_.Redeem(now, entry, offer.credit());
  if (credit != schema::REASON_NONE) {
    return credit;
  }
  if (!healthy_) {
    return schema::ENDPOINT_CONNECT_FAILED;
  }
  if (milliseconds(offer.remaining_ms()) <= kAnswerMargin) {
    return schema::DEADLINE_PASSED;
  }
  const bool has_capacity =
      running_ < slots_ || queued() < kMaxQueuedPerSlot * slots_;
  if (!has_capacity || attempts_.full()) {
    return schema::AGENT_BUSY;
  }
  return schema::REASON_NONE;
}

auto AgentAdmission::Impl::OnDuplicateOffer(TimePoint now,
                                            const std::string& entry,
                                            const Attempt& known,
                                            const schema::Offer& offer)
    -> void {
  Count(schema::DUPLICATE_ATTEMPT);
  if (known.entry != entry) {
    // The id belongs to an attempt of another entry, so this attempt did not
    // run.
    Send(now, entry, NotRun(offer.attempt_id(), schema::DUPLICATE_ATTEMPT));
    return;
  }
  if (known.state == Attempt::State::kFinished) {
    Send(now, entry, known.answer);
  }
}

auto AgentAdmission::Impl::OnUnknownRecall(TimePoint now,
                                           const std::string& entry,
                                           uint64_t incarnation,
                                           uint64_t id) -> void {
  if (attempts_.full()) {
    Count(schema::AGENT_BUSY);
    return;
  }
  Reject(now, entry, incarnation, id, schema::RECALLED);
}

auto AgentAdmission::Impl::Reject(TimePoint now,
                                  const std::string& entry,
                                  uint64_t incarnation,
                                  uint64_t id,
                                  schema::Reason reason) -> void {
  Count(reason);
  schema::Answer answer = NotRun(id, reason);
  if (attempts_.MayHaveBeenRemoved(entry, incarnation, id)) {
    answer.set_verdict(schema::MAY_HAVE_RUN);
  }
  if (!attempts_.full()) {
    attempts_.Add(id, {.state = Attempt::State::kRunning,
                       .entry = entry,
                       .entry_incarnation = incarnation,
                       .deadline = now,
                       .offer = {},
                       .answer = {}});
    attempts_.Finish(now, id, answer);
  }
  Send(now, entry, std::move(answer));
}

auto AgentAdmission::Impl::StartQueued(TimePoint now) -> void {
  if (now >= queue_deadline_) {
    ExpireQueued(now);
  }
  while (running_ < slots_ && !queue_.empty()) {
    const uint64_t id = queue_.front();
    queue_.pop_front();
    Start(now, id, *attempts_.Find(id));
  }
}

auto AgentAdmission::Impl::ExpireQueued(TimePoint now) -> void {
  queue_deadline_ = TimePoint::max();
  for (const uint64_t id : std::exchange(queue_, {})) {
    const TimePoint last_start = attempts_.Find(id)->deadline - kAnswerMargin;
    if (now >= last_start) {
      Count(schema::DEADLINE_PASSED);
      End(now, id, NotRun(id, schema::DEADLINE_PASSED));
      continue;
    }
    queue_.push_back(id);
    queue_deadline_ = std::min(queue_deadline_, last_start);
  }
}

auto AgentAdmission::Impl::Start(TimePoint now, uint64_t id, Attempt& attempt)
    -> void {
  ++running_;
  attempt.state = Attempt::State::kRunning;
  actions_.emplace_back(CallEndpoint{
      .attempt_id = id,
      .request_id = attempt.offer.request_id(),
      .partner = attempt.offer.partner(),
      .repeatable = attempt.offer.repeatable(),
      .timeout = std::chrono::ceil<milliseconds>(attempt.deadline - now),
      .http = std::move(*attempt.offer.mutable_request())});
  attempt.offer.Clear();
}

auto AgentAdmission::Impl::End(TimePoint now,
                               uint64_t id,
                               schema::Answer answer) -> void {
  const std::string entry = attempts_.Find(id)->entry;
  planner_.OnFinished(now, entry);
  attempts_.Finish(now, id, answer);
  Send(now, entry, std::move(answer));
}

auto AgentAdmission::Impl::UpdateServiceTime(TimePoint now,
                                             const EndpointOutcome& outcome)
    -> void {
  // A request that did not run gives no information about the service time.
  if (outcome.verdict == schema::NOT_RUN) {
    return;
  }
  service_time_updated_at_ = now;
  const auto newest = static_cast<double>(outcome.service_time.count());
  service_time_us_ =
      service_time_us_ == 0
          ? newest
          : service_time_us_ + kServiceTimeGain * (newest - service_time_us_);
}

auto AgentAdmission::Impl::ExpireServiceTime(TimePoint now) -> void {
  if (running_ == 0 &&
      now - service_time_updated_at_ >= kServiceTimeRetention) {
    service_time_us_ = 0;
  }
}

auto AgentAdmission::Impl::NotRun(uint64_t id, schema::Reason reason)
    -> schema::Answer {
  schema::Answer answer;
  answer.set_attempt_id(id);
  answer.set_verdict(schema::NOT_RUN);
  answer.set_reason(reason);
  return answer;
}

auto AgentAdmission::Impl::InProgress(uint64_t id) -> schema::Answer {
  schema::Answer answer;
  answer.set_attempt_id(id);
  return answer;
}

auto AgentAdmission::Impl::MakeGrant(TimePoint now, const std::string& entry)
    -> schema::Grant {
  schema::Grant grant;
  grant.set_running(running_);
  grant.set_queued(queued());
  grant.set_service_time_us(static_cast<uint64_t>(service_time_us_));
  if (!leaving_ && healthy_) {
    grant.set_id(ledger_.Issue(now, entry));
    grant.set_credits(planner_.Window(now, entry));
    grant.set_ttl_ms(static_cast<uint32_t>(options_.credit_ttl.count()));
  }
  return grant;
}

auto AgentAdmission::Impl::Send(TimePoint now,
                                const std::string& entry,
                                schema::Answer answer) -> void {
  *answer.mutable_grant() = MakeGrant(now, entry);
  schema::Envelope message;
  *message.mutable_answer() = std::move(answer);
  Post(entry, std::move(message));
}

auto AgentAdmission::Impl::AnnounceToAll(TimePoint now) -> void {
  next_announce_ = now + options_.announce_interval;
  // An entry lists an endpoint under the service that it announces. An
  // announcement without an identity would list it under an empty service name:
  // its status would be "ready" while every request is rejected with
  // NO_ENDPOINT.
  if (identity_.instance().empty()) {
    return;
  }
  ++announce_sequence_;
  for (const std::string& entry : entries_) {
    schema::Envelope message;
    schema::Announce& announce = *message.mutable_announce();
    announce = identity_;
    announce.set_slots(slots_);
    announce.set_leaving(leaving_);
    announce.set_endpoint_healthy(healthy_);
    announce.set_sequence(announce_sequence_);
    *announce.mutable_grant() = MakeGrant(now, entry);
    Post(entry, std::move(message));
  }
}

auto AgentAdmission::Impl::Post(const std::string& entry,
                                schema::Envelope message) -> void {
  message.set_sender(options_.agent_id);
  message.set_sender_incarnation(options_.incarnation);
  actions_.emplace_back(SendToEntry{entry, std::move(message)});
}

}  // namespace rhubarbhaven
