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
#include "absl/hash/hash.h"
#include "absl/strings/string_view.h"

namespace rhubarbhaven::jobs {

// Signed resource amounts, so that differences never wrap.
struct ResourceAmounts {
  int64_t millicores = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  auto Add(const schema::Resources& amounts, int sign) -> void;
  auto Covers(const ResourceAmounts& need) const -> bool;
};

auto AmountsOf(const schema::Resources& amounts) -> ResourceAmounts;

// An order to an agent whose result has not been received.
struct PendingOrder {
  std::optional<StartOrder> start;
  std::optional<StopOrder> stop;
  TimePoint sent_at;
  bool sent = false;
  TimePoint decided_at;
  // A start whose run was ordered to stop.
  bool withdrawn = false;
  // `built_at_us` of the message that contained it last; zero if none did.
  uint64_t sent_in_us = 0;
};

// Whether the order is to start this run of the task.
auto IsStartOf(const PendingOrder& order, const TaskPlace& place, uint64_t run)
    -> bool;

// A run with a target latency.
struct ServingRun {
  std::string image;
  double target_ms = 0;
};

// Demand of the opportunistic runs on a worker.
struct OpportunisticDemand {
  // Keys refer to names owned by the steps of these runs.
  absl::btree_map<std::string_view, double> share_by_image;
  double millicores = 0;
};

// What a further opportunistic run asks for.
struct ImageDemand {
  std::string image;
  uint32_t millicores = 0;
};

struct ImageDemandView {
  absl::string_view image;
  uint32_t millicores = 0;
};

// Hash and equality for look-ups that do not copy the image's name.
struct ImageDemandHash {
  using is_transparent = void;
  auto operator()(const ImageDemandView& key) const -> std::size_t {
    return absl::HashOf(key.image, key.millicores);
  }
  auto operator()(const ImageDemand& key) const -> std::size_t {
    return absl::HashOf(absl::string_view(key.image), key.millicores);
  }
};

struct ImageDemandEqual {
  using is_transparent = void;
  template <typename Left, typename Right>
  auto operator()(const Left& left, const Right& right) const -> bool {
    return left.millicores == right.millicores && left.image == right.image;
  }
};

// Speeds computed for a worker's load at one version.
struct OpportunisticSpeeds {
  uint64_t load_version = 0;
  OpportunisticDemand demand;
  // Speed of one more run of the image that requests so many millicores.
  absl::flat_hash_map<ImageDemand, double, ImageDemandHash, ImageDemandEqual>
      speeds;
};

// The owner's view of a worker and its agent.
struct WorkerView {
  std::string agent;
  // Assigned by the owner and never reused.
  uint64_t number = 0;
  // Its mark in `WorkerChanges`.
  uint64_t change_mark = 0;
  // How to reach the agent, by its entry in the log.
  AgentEntry registration;
  // Id of the worker; empty while unknown.
  std::string worker_id;
  std::string service;
  std::string failure_domain;
  std::string kind;
  std::string rack;
  std::vector<std::string> labels;
  ResourceAmounts capacity;
  bool draining = false;
  bool silent = false;
  // Operators have evacuated its failure domain.
  bool evacuated = false;
  // Incarnation of the agent that reported the worker id.
  uint64_t agent_incarnation = 0;
  // Incarnations that reported before another one did.
  std::set<uint64_t> followed_agent_incarnations;
  // The agent has listed its runs under this owner's fence.
  bool confirmed = false;
  // The log records that this owner grants to the agent. The owner may grant
  // only then, since the next owner relies on it.
  bool grants_recorded = false;
  // Nothing that earlier owners started runs there: the agent has reported so
  // to this owner, or the log records that its worker has left.
  bool earlier_runs_ended = false;
  // The worker has ended as planned, and the agent has no other.
  bool left = false;
  // When the agent last registered in the log.
  TimePoint registered_at;
  // When the agent last answered, even without a worker.
  TimePoint last_contact_at;
  // When the owner built the newest orders that the process for which grants
  // are recorded has answered.
  TimePoint followed_at;
  // Time of the latest report with a worker, and the agent's clock in it, which
  // grants echo.
  TimePoint reported_at;
  uint64_t reported_us = 0;
  // Nothing that depends on this owner's grants runs after this.
  TimePoint lease_bound;

  // Resources held by runs, without the processors of opportunistic runs, which
  // are counted separately.
  ResourceAmounts held;
  int64_t spare_millicores_used = 0;
  // Runs with a target latency; see OpportunisticSpeed.
  std::map<uint64_t, ServingRun> serving;
  // Incremented with each change of the runs or of what is known about them.
  uint64_t load_version = 1;
  OpportunisticSpeeds opportunistic_speeds;
  absl::btree_map<uint64_t, TaskPlace> runs;
  // Steps of tasks for which a place is held here until they start, by number.
  std::map<uint64_t, const JobStep*> held_places;
  // Numbers of those runs whose tasks may have crashed a worker.
  std::set<uint64_t> suspects;

  std::map<uint64_t, PendingOrder> orders;
  uint64_t results_seen = 0;
  // `built_at_us` of the newest message, and of the newest one that the agent's
  // process has received.
  uint64_t sent_us = 0;
  uint64_t received_us = 0;
  // The agent keeps the payloads of jobs; see StartOrder.
  bool keeps_payloads = false;
  // Number of the first start that was not sent because the window of orders
  // was full; zero if there is none.
  uint64_t waits_for_room = 0;
  // Bytes of such starts, as of the latest message.
  std::size_t unsent_start_bytes = 0;
  TimePoint polled_at;
  // When it is polled next, unless it is due at once.
  TimePoint poll_at;
  TimePoint pressures_sent_at;
  // Is due at once in the owner's queue of polls.
  bool poll_due = false;

  // Newest end that was processed, and newest that is in the log.
  uint64_t ends_processed = 0;
  uint64_t ends_logged = 0;
  // The same for runs ended by crashes, as numbered by one process of the
  // agent.
  uint64_t crashes_of_incarnation = 0;
  uint64_t crashes_processed = 0;
  uint64_t crashes_logged = 0;
  // Runs up to this number were declared lost here if this owner does not know
  // them: their ends do not count, since their tasks may run elsewhere.
  uint64_t lost_through_run = 0;
  uint64_t pacing_version = 1;
  uint64_t agent_pacing_version = 0;

  // Failed runs since the last one that ended well.
  int failures_in_row = 0;
  TimePoint quarantined_until;

  auto Free() const -> ResourceAmounts;
  // Whether the worker accepts new runs at `now`.
  auto Accepts(TimePoint now) const -> bool;
  auto HasLabel(const std::string& label) const -> bool;
  // Number of tasks of the step's occurrence that run here.
  auto CountOf(const TaskPlace& place) const -> uint32_t;
  auto Hold(const JobStep& step, uint64_t run) -> void;
  auto Release(const JobStep& step, uint64_t run) -> void;
  // Holds a place for a task of the step, as a run of it would take, until
  // `ReleasePlace`.
  auto HoldPlace(const JobStep& step, uint64_t number) -> void;
  auto ReleasePlace(uint64_t number) -> void;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_WORKER_VIEW_H_
