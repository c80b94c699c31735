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

// Returns "partner/job#index@version", the full name of a task.
auto TaskName(const schema::TaskId& task) -> std::string;

// A worker as the placer sees it.
struct WorkerState {
  std::string instance;
  std::string partner;
  // Other partners whose tasks the worker accepts.
  std::vector<std::string> open_to;
  std::string rack;
  std::string failure_domain;
  schema::Resources capacity;
  // Reserved for the endpoint and other work that the placer does not manage.
  schema::Resources reserved;
  // Accepts new work: alive, leased, not draining and not quarantined.
  bool accepting = false;
};

// A task that waits for placement.
struct PendingTask {
  schema::TaskId task;
  uint32_t attempt = 1;
  std::string team;
  // Maximum of the declared need and the usage reported for earlier attempts.
  schema::Resources need;
  schema::Urgency urgency = schema::NORMAL;
  uint32_t priority = 0;
  uint32_t max_per_rack = 0;
  std::string failure_domain;
  bool costly_to_evict = false;
  TimePoint waiting_since;
};

// A task that is placed on an instance, until its stop is confirmed.
struct PlacedTask {
  PendingTask spec;
  std::string instance;
  // Maximum of the admitted need and the reported usage.
  schema::Resources held;
  // Progress that would be lost if the task were evicted now.
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

// Explains to operators why a task waits.
struct Explanation {
  // The task can never run: no registered worker could hold it even when
  // empty, or it exceeds its team's quota.
  bool can_never_run = false;
  std::string text;
};

struct PlacerOptions {
  // A task is promoted by one urgency class each time it has waited this long.
  std::chrono::seconds ageing{600};
  int max_evictions_per_round = 4;
  // Additional cost of running a task on an instance, such as interference.
  // The cost of fit and spread is about 0 to 2. An infinite cost excludes the
  // instance from this search.
  std::function<auto(const PendingTask&, const std::string& instance)->double>
      extra_cost;
};

// Tracks the workers and the placed and waiting tasks of one cell, and decides
// placements and evictions in rounds. Waiting tasks are grouped by job, so that
// cancelling a job costs O(1).
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

  // Ignored while the task is placed.
  auto AddPending(PendingTask task) -> void;
  auto RemovePending(const schema::TaskId& task) -> void;
  // Removes all waiting tasks of a job, in every version.
  auto RemoveJob(const std::string& partner, const std::string& job) -> void;
  auto AddPlaced(PlacedTask task) -> void;
  auto SetStopping(const schema::TaskId& task) -> void;
  // Raises the held amounts of a placed task to the reported usage; never
  // lowers them.
  auto RaiseHeld(const schema::TaskId& task, const schema::Resources& usage)
      -> void;
  // Releases the resources of a task whose stop is confirmed.
  auto RemovePlaced(const schema::TaskId& task) -> void;

  // Decides at most `limit` placements. The resources of a decided placement
  // are held at once. The caller confirms it by AddPlaced, or undoes it by
  // RemovePlaced followed by AddPending; only a confirmed task may be preempted
  // for another. A task chosen for eviction counts as stopping from then on and
  // is not chosen again; the caller must complete its stop.
  auto Decide(TimePoint now, std::size_t limit) -> PlacerRound;
  auto Explain(TimePoint now, const schema::TaskId& task) const -> Explanation;

  auto pending() const -> std::size_t;
  auto placed() const -> std::size_t;
  // Free resources of an instance, ignoring claims; never negative. None if the
  // instance is not registered.
  auto free(const std::string& instance) const
      -> std::optional<schema::Resources>;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_PLACER_H_
