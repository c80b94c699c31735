#ifndef RHUBARBHAVEN_ROUTING_IDEMPOTENCY_COORDINATOR_H_
#define RHUBARBHAVEN_ROUTING_IDEMPOTENCY_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "Base/base.h"
#include "Routing/idempotency_table.h"

namespace rhubarbhaven {

// The outcome of a request, or of one attempt of it.
struct Outcome {
  schema::Verdict verdict = schema::VERDICT_UNSPECIFIED;
  schema::Reason reason = schema::REASON_NONE;
  schema::HttpAnswer http;
};

struct IdempotencyCoordinatorOptions {
  std::string entry_id;
  uint64_t entry_incarnation = 0;
  // Largest answer, in bytes, that is written to the stream.
  std::size_t max_answer_bytes = 16 << 10;
  IdempotencyTableOptions table;
  std::function<auto(schema::LogEntry)->void> append;
  // Called when the request's intent is the first of its key: it may run now.
  std::function<auto(TimePoint now, uint64_t id)->void> run;
  // Called when the request ends without being run by this entry.
  std::function<auto(TimePoint now, uint64_t id, Outcome)->void> finish;
};

// Runs each non-repeatable request at most once across all entries. The intent
// is appended to the stream first, and only the entry whose intent is the first
// of its key runs the request. Repeats wait for the outcome.
class IdempotencyCoordinator {
 public:
  explicit IdempotencyCoordinator(IdempotencyCoordinatorOptions options);

  // Finishes the request immediately, or holds it until one of the callbacks is
  // called.
  auto Start(TimePoint now,
             uint64_t id,
             const std::string& key,
             uint64_t request_hash) -> void;
  // True if the key is in use or has a known outcome, so that `Start` would not
  // append an intent.
  auto HasKey(const std::string& key) const -> bool {
    return table_.Find(key) != nullptr || local_states_.contains(key);
  }
  // Records the final outcome of a request for which `run` was called.
  auto OnRunFinished(const std::string& key, const Outcome& outcome) -> void;
  // Stops waiting for a request whose deadline has passed or whose caller has
  // disconnected; returns its outcome.
  auto Abandon(uint64_t id, const std::string& key) -> Outcome;

  auto OnRecord(TimePoint now, uint64_t offset, const schema::LogRecord& record)
      -> void;
  auto OnStream(TimePoint now, bool available) -> void;
  auto OnAppendFailed(TimePoint now, const schema::LogEntry& entry) -> void;
  auto OnTick(TimePoint now) -> void;

 private:
  // This entry's state for one key.
  struct LocalState {
    // The request whose intent was appended; zero if it was abandoned.
    uint64_t owner = 0;
    bool running = false;
    uint64_t request_hash = 0;
    // Requests that wait for the outcome, with their hashes, in order of
    // arrival.
    std::map<uint64_t, uint64_t> waiters;
  };

  auto AppendIntent(const std::string& key, uint64_t id, uint64_t hash) -> void;
  auto AppendDone(schema::OnceDone done) -> void;
  auto OnIntent(TimePoint now, const std::string& key) -> void;
  auto OnDone(TimePoint now, const std::string& key) -> void;
  auto OnFreed(TimePoint now, const std::string& key) -> void;
  auto OnEntryRestarted(TimePoint now) -> void;
  auto IsOwn(const IdempotencyKeyState& key) const -> bool;
  // Sets the outcome of a repeat and returns true if the stream already
  // determines it.
  auto KnownOutcome(const IdempotencyKeyState& key,
                    uint64_t hash,
                    Outcome& outcome) const -> bool;
  auto FinishWaiters(TimePoint now, const std::string& key) -> void;
  auto RemoveIfUnused(const std::string& key) -> void;

  IdempotencyCoordinatorOptions options_;
  IdempotencyTable table_;
  bool available_ = false;
  std::map<std::string, LocalState> local_states_;
  // Outcomes not yet read back from the stream, by key.
  std::map<std::string, schema::OnceDone> unconfirmed_outcomes_;
  // The keys among these whose append failed.
  std::set<std::string> keys_to_append_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_IDEMPOTENCY_COORDINATOR_H_
