#ifndef RHUBARBHAVEN_ROUTING_ONCE_RUNS_H_
#define RHUBARBHAVEN_ROUTING_ONCE_RUNS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "Base/base.h"
#include "Routing/once_table.h"

namespace rhubarbhaven {

// The outcome of a request, or of one attempt of it.
struct Outcome {
  schema::Verdict verdict = schema::VERDICT_UNSPECIFIED;
  schema::Reason reason = schema::REASON_NONE;
  schema::HttpAnswer http;
};

struct OnceRunsOptions {
  std::string entry_id;
  uint64_t entry_incarnation = 0;
  // Largest answer that goes into the stream.
  std::size_t max_answer_bytes = 16 << 10;
  OnceTableOptions table;
  std::function<auto(schema::LogEntry)->void> append;
  // The request's intent is the first of its key: it may run now.
  std::function<auto(TimePoint now, uint64_t id)->void> run;
  // The request ends without being run by this entry.
  std::function<auto(TimePoint now, uint64_t id, Outcome)->void> finish;
};

// Runs each non-repeatable request at most once among all entries: the intent
// goes into the stream first, and only the entry whose intent is the first of
// its key runs the request. Repeats wait for the outcome.
class OnceRuns {
 public:
  explicit OnceRuns(OnceRunsOptions options);

  // Ends the request at once, or takes it until one of the hooks is called.
  auto Start(TimePoint now,
             uint64_t id,
             const std::string& key,
             uint64_t request_hash) -> void;
  // True if `Start` would not append an intent: the key is in use or known.
  auto Knows(const std::string& key) const -> bool {
    return table_.Find(key) != nullptr || locals_.contains(key);
  }
  // The final outcome of a request that `run` was called for.
  auto OnRan(const std::string& key, const Outcome& outcome) -> void;
  // The deadline of a request that still waits here; says its outcome.
  auto GiveUp(uint64_t id, const std::string& key) -> Outcome;

  auto OnRecord(TimePoint now, uint64_t offset, const schema::LogRecord& record)
      -> void;
  auto OnStream(TimePoint now, bool available) -> void;
  auto OnAppendFailed(TimePoint now, const schema::LogEntry& entry) -> void;
  auto OnTick(TimePoint now) -> void;

 private:
  // This entry's part in one key.
  struct Local {
    // The request whose intent was appended; zero if it was given up.
    uint64_t owner = 0;
    bool running = false;
    uint64_t request_hash = 0;
    // Requests that wait for the outcome, in order of arrival.
    std::map<uint64_t, uint64_t> waiters;
  };

  auto AppendIntent(const std::string& key, uint64_t id, uint64_t hash) -> void;
  auto AppendDone(schema::OnceDone done) -> void;
  auto OnIntent(TimePoint now, const std::string& key) -> void;
  auto OnDone(TimePoint now, const std::string& key) -> void;
  auto OnFreed(TimePoint now, const std::string& key) -> void;
  auto OnEntryRestarted(TimePoint now) -> void;
  auto IsOwn(const OnceKey& key) const -> bool;
  // The outcome for a repeat, if the stream already says it.
  auto KnownOutcome(const OnceKey& key, uint64_t hash, Outcome& outcome) const
      -> bool;
  auto FinishWaiters(TimePoint now, const std::string& key) -> void;
  auto Forget(const std::string& key) -> void;

  OnceRunsOptions options_;
  OnceTable table_;
  bool available_ = false;
  std::map<std::string, Local> locals_;
  // Outcomes that are not yet seen in the stream, by key.
  std::map<std::string, schema::OnceDone> unseen_;
  // Of these, the ones whose append failed.
  std::set<std::string> to_append_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_ONCE_RUNS_H_
