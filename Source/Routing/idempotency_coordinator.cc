#include "Routing/idempotency_coordinator.h"

#include <utility>

#include "Routing/ascii.h"

namespace rhubarbhaven {
namespace {

constexpr char kContentType[] = "Content-Type";

auto MakeOutcome(schema::Verdict verdict, schema::Reason reason) -> Outcome {
  return {.verdict = verdict, .reason = reason, .http = {}};
}

auto ToStoredAnswer(const schema::HttpAnswer& http) -> schema::StoredAnswer {
  schema::StoredAnswer stored;
  stored.set_status(http.status());
  stored.set_body(http.body());
  for (const schema::HttpHeader& header : http.headers()) {
    if (header.name() == kContentType && IsAscii(header.value())) {
      stored.set_content_type(header.value());
    }
  }
  return stored;
}

auto FromStoredAnswer(const schema::StoredAnswer& stored)
    -> schema::HttpAnswer {
  schema::HttpAnswer http;
  http.set_status(stored.status());
  http.set_body(stored.body());
  if (!stored.content_type().empty()) {
    schema::HttpHeader& header = *http.add_headers();
    header.set_name(kContentType);
    header.set_value(stored.content_type());
  }
  return http;
}

}  // namespace

IdempotencyCoordinator::IdempotencyCoordinator(
    IdempotencyCoordinatorOptions options)
    : options_(std::move(options)), table_(options_.table) {}

auto IdempotencyCoordinator::Start(TimePoint now,
                                   uint64_t id,
                                   const std::string& key,
                                   uint64_t request_hash) -> void {
  if (const IdempotencyKeyState* known = table_.Find(key)) {
    Outcome outcome;
    if (KnownOutcome(*known, request_hash, outcome)) {
      options_.finish(now, id, std::move(outcome));
      return;
    }
    local_states_[key].waiters.emplace(id, request_hash);
    return;
  }
  const auto local = local_states_.find(key);
  if (local != local_states_.end()) {
    local->second.waiters.emplace(id, request_hash);
    return;
  }
  if (!available_) {
    options_.finish(now, id,
                    MakeOutcome(schema::NOT_RUN, schema::LOG_UNAVAILABLE));
    return;
  }
  if (table_.full()) {
    options_.finish(now, id, MakeOutcome(schema::NOT_RUN, schema::OVERLOADED));
    return;
  }
  AppendIntent(key, id, request_hash);
}

auto IdempotencyCoordinator::OnRunFinished(const std::string& key,
                                           const Outcome& outcome) -> void {
  LocalState& local = local_states_[key];
  local.owner = 0;
  local.running = false;
  const IdempotencyKeyState* known = table_.Find(key);
  if (known == nullptr || !IsOwn(*known)) {
    // The request ran for longer than the retention period of its key.
    RemoveIfUnused(key);
    return;
  }
  schema::OnceDone done;
  done.set_key(key);
  done.set_intent_offset(known->intent_offset);
  done.set_not_run(outcome.verdict == schema::NOT_RUN);
  if (outcome.verdict == schema::ANSWERED &&
      outcome.http.body().size() <= options_.max_answer_bytes) {
    *done.mutable_answer() = ToStoredAnswer(outcome.http);
  } else {
    done.set_unknown(!done.not_run());
  }
  AppendDone(std::move(done));
}

auto IdempotencyCoordinator::Abandon(uint64_t id, const std::string& key)
    -> Outcome {
  const auto found = local_states_.find(key);
  if (found != local_states_.end()) {
    LocalState& local = found->second;
    local.waiters.erase(id);
    // The intent may still be read from the stream; the key is then freed.
    local.owner = local.owner == id ? 0 : local.owner;
    RemoveIfUnused(key);
  }
  if (table_.Find(key) != nullptr) {
    return MakeOutcome(schema::MAY_HAVE_RUN, schema::KEY_IN_PROGRESS);
  }
  return MakeOutcome(schema::NOT_RUN, schema::LOG_UNAVAILABLE);
}

auto IdempotencyCoordinator::OnRecord(TimePoint now,
                                      uint64_t offset,
                                      const schema::LogRecord& record) -> void {
  for (const IdempotencyEvent& event : table_.Apply(now, offset, record)) {
    switch (event.kind) {
      case IdempotencyEvent::Kind::kIntent:
        OnIntent(now, event.name);
        break;
      case IdempotencyEvent::Kind::kDone:
        OnDone(now, event.name);
        break;
      case IdempotencyEvent::Kind::kFreed:
        OnFreed(now, event.name);
        break;
      case IdempotencyEvent::Kind::kEntryRestarted:
        OnEntryRestarted(now);
        break;
    }
  }
}

auto IdempotencyCoordinator::OnStream(TimePoint now, bool available) -> void {
  available_ = available;
  OnTick(now);
}

auto IdempotencyCoordinator::OnAppendFailed(TimePoint now,
                                            const schema::LogEntry& entry)
    -> void {
  if (entry.has_once_done()) {
    const std::string& key = entry.once_done().key();
    if (unconfirmed_outcomes_.contains(key)) {
      keys_to_append_.insert(key);
    }
    return;
  }
  const std::string key = entry.once_intent().key();
  const auto found = local_states_.find(key);
  if (found == local_states_.end() || found->second.running ||
      table_.Find(key) != nullptr) {
    return;
  }
  const uint64_t owner = std::exchange(found->second.owner, 0);
  const auto waiters = std::exchange(found->second.waiters, {});
  local_states_.erase(found);
  const Outcome rejection =
      MakeOutcome(schema::NOT_RUN, schema::LOG_UNAVAILABLE);
  if (owner != 0) {
    options_.finish(now, owner, rejection);
  }
  for (const auto& [id, hash] : waiters) {
    options_.finish(now, id, rejection);
  }
}

auto IdempotencyCoordinator::OnTick(TimePoint now) -> void {
  table_.RemoveExpired(now);
  if (!available_) {
    return;
  }
  for (const std::string& key : std::exchange(keys_to_append_, {})) {
    schema::LogEntry entry;
    *entry.mutable_once_done() = unconfirmed_outcomes_[key];
    options_.append(std::move(entry));
  }
}

auto IdempotencyCoordinator::AppendIntent(const std::string& key,
                                          uint64_t id,
                                          uint64_t hash) -> void {
  LocalState& local = local_states_[key];
  local.owner = id;
  local.request_hash = hash;
  schema::LogEntry entry;
  schema::OnceIntent& intent = *entry.mutable_once_intent();
  intent.set_key(key);
  intent.set_entry(options_.entry_id);
  intent.set_entry_incarnation(options_.entry_incarnation);
  intent.set_request_hash(hash);
  options_.append(std::move(entry));
}

auto IdempotencyCoordinator::AppendDone(schema::OnceDone done) -> void {
  unconfirmed_outcomes_[done.key()] = done;
  schema::LogEntry entry;
  *entry.mutable_once_done() = std::move(done);
  options_.append(std::move(entry));
}

auto IdempotencyCoordinator::OnIntent(TimePoint now, const std::string& key)
    -> void {
  const IdempotencyKeyState& known = *table_.Find(key);
  const auto found = local_states_.find(key);
  if (!IsOwn(known)) {
    if (found == local_states_.end()) {
      return;
    }
    // Another entry's intent came first, so the request that was to run now
    // waits.
    LocalState& local = found->second;
    if (local.owner != 0) {
      local.waiters.emplace(local.owner, local.request_hash);
      local.owner = 0;
    }
    FinishWaiters(now, key);
    return;
  }
  const bool wanted = found != local_states_.end() &&
                      found->second.owner != 0 &&
                      found->second.request_hash == known.request_hash;
  if (!wanted) {
    // Its caller has received `not_run` in the meantime, so the request must
    // never run.
    schema::OnceDone done;
    done.set_key(key);
    done.set_intent_offset(known.intent_offset);
    done.set_not_run(true);
    AppendDone(std::move(done));
    return;
  }
  found->second.running = true;
  const uint64_t owner = found->second.owner;
  FinishWaiters(now, key);
  options_.run(now, owner);
}

auto IdempotencyCoordinator::OnDone(TimePoint now, const std::string& key)
    -> void {
  unconfirmed_outcomes_.erase(key);
  keys_to_append_.erase(key);
  FinishWaiters(now, key);
  RemoveIfUnused(key);
}

auto IdempotencyCoordinator::OnFreed(TimePoint now, const std::string& key)
    -> void {
  unconfirmed_outcomes_.erase(key);
  keys_to_append_.erase(key);
  const auto found = local_states_.find(key);
  if (found == local_states_.end()) {
    return;
  }
  LocalState& local = found->second;
  if (local.owner == 0 && local.waiters.empty()) {
    local_states_.erase(found);
    return;
  }
  if (!available_) {
    schema::LogEntry entry;
    entry.mutable_once_intent()->set_key(key);
    OnAppendFailed(now, entry);
    return;
  }
  // An intent appended in the meantime had no effect, so a new one is needed.
  if (local.owner == 0) {
    const auto first = local.waiters.begin();
    local.owner = first->first;
    local.request_hash = first->second;
    local.waiters.erase(first);
  }
  AppendIntent(key, local.owner, local.request_hash);
}

auto IdempotencyCoordinator::OnEntryRestarted(TimePoint now) -> void {
  std::set<std::string> keys;
  for (const auto& [key, local] : local_states_) {
    if (!local.waiters.empty() && table_.Find(key) != nullptr) {
      keys.insert(key);
    }
  }
  for (const std::string& key : keys) {
    FinishWaiters(now, key);
    RemoveIfUnused(key);
  }
}

auto IdempotencyCoordinator::IsOwn(const IdempotencyKeyState& key) const
    -> bool {
  return key.entry == options_.entry_id &&
         key.entry_incarnation == options_.entry_incarnation;
}

auto IdempotencyCoordinator::KnownOutcome(const IdempotencyKeyState& key,
                                          uint64_t hash,
                                          Outcome& outcome) const -> bool {
  if (key.request_hash != hash) {
    outcome =
        MakeOutcome(schema::NOT_RUN, schema::KEY_REUSED_FOR_OTHER_REQUEST);
    return true;
  }
  if (key.answered) {
    outcome = {.verdict = schema::ANSWERED,
               .reason = schema::REASON_NONE,
               .http = FromStoredAnswer(key.answer)};
    return true;
  }
  const bool by_previous_incarnation =
      key.entry == options_.entry_id && !IsOwn(key);
  if (key.unknown || by_previous_incarnation || table_.IsOrphan(key)) {
    // This repeat did not run, but an earlier request with its key may have;
    // `not_run` would invite the caller to run it again under another key.
    outcome = MakeOutcome(schema::MAY_HAVE_RUN, schema::KEY_OUTCOME_UNKNOWN);
    return true;
  }
  return false;
}

auto IdempotencyCoordinator::FinishWaiters(TimePoint now,
                                           const std::string& key) -> void {
  const IdempotencyKeyState* known = table_.Find(key);
  const auto found = local_states_.find(key);
  if (known == nullptr || found == local_states_.end()) {
    return;
  }
  std::map<uint64_t, Outcome> finished;
  for (const auto& [id, hash] : found->second.waiters) {
    Outcome outcome;
    if (KnownOutcome(*known, hash, outcome)) {
      finished.emplace(id, std::move(outcome));
    }
  }
  for (auto& [id, outcome] : finished) {
    found->second.waiters.erase(id);
    options_.finish(now, id, std::move(outcome));
  }
}

// Removes this entry's state for a key that no request uses or waits for any
// more.
auto IdempotencyCoordinator::RemoveIfUnused(const std::string& key) -> void {
  const auto found = local_states_.find(key);
  if (found != local_states_.end() && found->second.owner == 0 &&
      !found->second.running && found->second.waiters.empty()) {
    local_states_.erase(found);
  }
}

}  // namespace rhubarbhaven
