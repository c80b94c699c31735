#ifndef RHUBARBHAVEN_PLACEMENT_PLACER_H_
#define RHUBARBHAVEN_PLACEMENT_PLACER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// "partner/job#index@version": one task of one job.
auto TaskName(const schema::TaskId& task) -> std::string;

// A worker as the placer sees it.
struct WorkerState {
  std::string instance;
  std::string partner;
  // Other partners whose tasks it takes.
  std::vector<std::string> open_to;
  std::string rack;
  std::string failure_domain;
  schema::Resources capacity;
  // Reserved for the endpoint and other work that is not placed here.
  schema::Resources reserved;
  // Takes new work: alive, leased, not draining, not set aside.
  bool accepting = false;
};

// A task that waits for a place.
struct PendingTask {
  schema::TaskId task;
  uint32_t attempt = 1;
  std::string team;
  // The larger of what was declared and what was seen of earlier attempts.
  schema::Resources need;
  schema::Urgency urgency = schema::NORMAL;
  uint32_t priority = 0;
  uint32_t max_per_rack = 0;
  std::string failure_domain;
  bool costly_to_evict = false;
  TimePoint waiting_since;
};

// A task that holds a place, until its stop is confirmed.
struct PlacedTask {
  PendingTask spec;
  std::string instance;
  // The larger of admitted and seen.
  schema::Resources held;
  // Work that an eviction now would lose.
  std::chrono::seconds unsaved_progress{0};
  uint32_t evictions = 0;
  bool stopping = false;
};

struct PlaceDecision {
  schema::TaskId task;
  std::string instance;
};

struct EvictDecision {
  schema::TaskId task;
  std::string why;
};

struct PlacerRound {
  std::vector<PlaceDecision> placements;
  std::vector<EvictDecision> evictions;
};

// Why a task waits, for operators.
struct Explanation {
  // True if no worker of the register could ever hold it.
  bool never = false;
  std::string text;
};

struct PlacerOptions {
  // A task that waits this long counts as one urgency class higher.
  std::chrono::seconds ageing{600};
  int max_evictions_per_round = 4;
  // Cost of running a task on an instance, beyond fit; for interference. The
  // cost of fit and spread is about 0 to 2. Infinite forbids the instance for
  // now.
  std::function<auto(const PendingTask&, const std::string& instance)->double>
      extra_cost;
};

// Keeps workers, placed and waiting tasks of one cell, and decides rounds.
// Jobs are held as groups, so that cancelling one costs O(1).
class Placer {
 public:
  explicit Placer(PlacerOptions options);
  Placer(const Placer&) = delete;
  auto operator=(const Placer&) -> Placer& = delete;
  ~Placer();

  auto SetWorker(const WorkerState& worker) -> void;
  auto RemoveWorker(const std::string& instance) -> void;
  auto SetRules(const std::string& partner, const schema::PartnerRules& rules)
      -> void;
  auto SetTeam(const std::string& partner, const schema::Team& team) -> void;

  // Ignored while the task holds a place.
  auto AddPending(PendingTask task) -> void;
  auto RemovePending(const schema::TaskId& task) -> void;
  // All waiting tasks of a job.
  auto RemoveJob(const std::string& partner, const std::string& job) -> void;
  auto AddPlaced(PlacedTask task) -> void;
  auto SetStopping(const schema::TaskId& task) -> void;
  // Usage seen of a placed task; only ever raises what is held.
  auto RaiseHeld(const schema::TaskId& task, const schema::Resources& seen)
      -> void;
  // The stop is confirmed; the place is free.
  auto RemovePlaced(const schema::TaskId& task) -> void;

  // Decides at most `limit` placements. A decided placement is taken as held
  // at once (the caller confirms by AddPlaced or undoes by RemovePlaced, then
  // AddPending); only a confirmed one may be evicted for another. A task to be
  // evicted counts as stopping from then on, and is not named again; the caller
  // sees its stop through.
  auto Decide(TimePoint now, std::size_t limit) -> PlacerRound;
  auto Explain(TimePoint now, const schema::TaskId& task) const -> Explanation;

  auto pending() const -> std::size_t;
  auto placed() const -> std::size_t;
  // What is free on an instance; never negative.
  auto free(const std::string& instance) const
      -> std::optional<schema::Resources>;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_PLACER_H_
