#ifndef RHUBARBHAVEN_JOBS_WORKER_VIEW_H_
#define RHUBARBHAVEN_JOBS_WORKER_VIEW_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Base/base.h"
#include "Jobs/job_work.h"
#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven::jobs {

// Amounts in signed numbers, so that differences never wrap.
struct Room {
  int64_t millicores = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  auto Add(const schema::Resources& amounts, int sign) -> void;
  auto Holds(const Room& need) const -> bool;
};

auto RoomOf(const schema::Resources& amounts) -> Room;

// An order on its way to an agent, until its result has come.
struct PendingOrder {
  std::optional<StartOrder> start;
  std::optional<StopOrder> stop;
  TimePoint sent_at;
  bool sent = false;
};

// A run that has a target for its latency.
struct ServingRun {
  std::string image;
  double target_ms = 0;
};

// What runs on a worker's spare processors ask for.
struct FillerDemand {
  // By names that the steps of these runs hold.
  absl::btree_map<std::string_view, double> share_by_image;
  double millicores = 0;
};

// What was found out of a worker as it is loaded at one version.
struct FillerSpeeds {
  uint64_t load_version = 0;
  FillerDemand demand;
  // Of one more run of the image that wants so many millicores.
  absl::flat_hash_map<std::pair<std::string, uint32_t>, double> speeds;
};

// A worker and its agent, as the owner knows them.
struct WorkerView {
  std::string agent;
  // Of its owner's; never given again.
  uint64_t number = 0;
  // Its mark in `WorkerChanges`.
  uint64_t changed_at = 0;
  // Where the agent is reached, as it said in the log.
  AgentEntry registration;
  // Life of the worker; empty while it is not known.
  std::string worker_id;
  std::string service;
  std::string failure_domain;
  std::string kind;
  std::string rack;
  std::vector<std::string> labels;
  Room capacity;
  bool draining = false;
  bool silent = false;
  // Operators empty its failure domain.
  bool evacuated = false;
  // Process of the agent that reported the worker's life.
  uint64_t agent_incarnation = 0;
  // The agent has listed what runs under this owner's fence.
  bool confirmed = false;
  // The log says that this owner grants to the agent. Only then it may: the
  // next owner counts on it.
  bool grants_noted = false;
  // Nothing of earlier owners runs there: the agent has told this owner so, or
  // the log that its worker has left.
  bool emptied = false;
  // The worker has ended as planned, and the agent has no other.
  bool left = false;
  // When the agent last made itself known in the log.
  TimePoint registered_at;
  // When the agent last answered, also without a worker.
  TimePoint heard_at;
  // The latest report of a worker; its agent's clock is echoed in grants.
  TimePoint reported_at;
  uint64_t reported_us = 0;
  // Nothing that rests on this owner's grants runs after this.
  TimePoint lease_bound;

  // Held by runs whose processors count, and by those on spare processors.
  Room held;
  int64_t spare_millicores_used = 0;
  // Runs with a target for their latency; see FillerSpeed.
  std::map<uint64_t, ServingRun> serving;
  // Grows with each change of what runs or is known of it.
  uint64_t load_version = 1;
  FillerSpeeds filler_speeds;
  absl::btree_map<uint64_t, TaskPlace> runs;
  // Of these, by their numbers: runs of tasks that may have crashed a worker.
  std::set<uint64_t> suspects;

  std::map<uint64_t, PendingOrder> orders;
  uint64_t results_seen = 0;
  TimePoint polled_at;
  TimePoint pressures_told_at;
  // Stands first in the owner's queue of polls.
  bool poll_due = false;

  // Newest end that was taken in, and newest that is in the log.
  uint64_t ends_taken = 0;
  uint64_t ends_logged = 0;
  // The same of what crashes ended, as told by one process of the agent.
  uint64_t crashes_of_incarnation = 0;
  uint64_t crashes_taken = 0;
  uint64_t crashes_logged = 0;
  uint64_t pacing_version = 1;
  uint64_t agent_pacing_version = 0;

  // Failed runs since the last one that ended well.
  int failures_in_row = 0;
  TimePoint set_aside_until;

  auto Free() const -> Room;
  // Takes new runs at `now`.
  auto Accepts(TimePoint now) const -> bool;
  auto HasLabel(const std::string& label) const -> bool;
  // Tasks of one step's occurrence that run here.
  auto CountOf(const TaskPlace& place) const -> uint32_t;
  auto Hold(const JobStep& step, uint64_t run) -> void;
  auto Release(const JobStep& step, uint64_t run) -> void;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_WORKER_VIEW_H_
