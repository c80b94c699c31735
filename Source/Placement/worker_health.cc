#include "Placement/worker_health.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace rhubarbhaven {
namespace {

// Jobs that were never tried elsewhere count half, since they may themselves be
// at fault.
constexpr int kUntriedJobsFactor = 2;
// The record of a job is removed when no task of it has ended for this long.
constexpr std::chrono::hours kJobRetention{6};
constexpr uint64_t kPruneEvery = 4096;

struct JobRecord {
  // Instances on which the job failed and has not finished since.
  absl::flat_hash_set<std::string> failed_on;
  std::optional<TimePoint> finished;
  std::string finished_on;
  TimePoint latest;
};

struct JobFailure {
  std::string job;
  TimePoint when;
};

struct WorkerRecord {
  // First failure of each distinct job since the last success.
  std::vector<JobFailure> streak;
  bool quarantined = false;
  TimePoint quarantine_ends;
  std::chrono::seconds quarantine_duration{0};
  std::optional<TimePoint> probe_started;
  std::string reason;
};

auto JobName(const schema::TaskId& task) -> std::string {
  return task.partner() + "/" + task.job();
}

}  // namespace

class WorkerHealth::Impl {
 public:
  explicit Impl(WorkerHealthOptions options) : options_(options) {}

  auto OnTaskEnded(TimePoint now,
                   const std::string& instance,
                   const schema::TaskId& task,
                   schema::TaskOutcome outcome) -> void {
    PrunePeriodically(now);
    switch (outcome) {
      case schema::FINISHED:
        OnFinished(now, instance, JobName(task));
        return;
      case schema::FAILED:
        OnFailed(now, instance, JobName(task));
        return;
      default:
        // The outcome gives no evidence about the worker, so another probe may
        // start at once.
        workers_[instance].probe_started.reset();
    }
  }

  auto Check(TimePoint now, const std::string& instance) const -> Verdict {
    const auto entry = workers_.find(instance);
    if (entry == workers_.end() || !entry->second.quarantined) {
      return Verdict::kHealthy;
    }
    const WorkerRecord& worker = entry->second;
    if (now < worker.quarantine_ends) {
      return Verdict::kQuarantined;
    }
    const bool probing = worker.probe_started.has_value() &&
                         now - *worker.probe_started < options_.max_quarantine;
    return probing ? Verdict::kQuarantined : Verdict::kProbe;
  }

  auto OnProbeStarted(TimePoint now, const std::string& instance) -> void {
    workers_[instance].probe_started = now;
  }

  auto QuarantineReason(const std::string& instance) const -> std::string {
    const auto entry = workers_.find(instance);
    return entry == workers_.end() ? "" : entry->second.reason;
  }

  auto HasFailedOn(const std::string& instance,
                   const std::string& partner,
                   const std::string& job) const -> bool {
    const auto entry = jobs_.find(partner + "/" + job);
    return entry != jobs_.end() && entry->second.failed_on.contains(instance);
  }

 private:
  auto OnFinished(TimePoint now,
                  const std::string& instance,
                  const std::string& job) -> void {
    workers_.erase(instance);
    JobRecord& record = jobs_[job];
    record.latest = now;
    record.finished = now;
    record.finished_on = instance;
    record.failed_on.erase(instance);
    // The job is not at fault, which is evidence against the workers on which
    // it failed.
    for (const std::string& other : record.failed_on) {
      Evaluate(now, other);
    }
  }

  auto OnFailed(TimePoint now,
                const std::string& instance,
                const std::string& job) -> void {
    JobRecord& record = jobs_[job];
    record.latest = now;
    record.failed_on.insert(instance);
    WorkerRecord& worker = workers_[instance];
    if (worker.quarantined) {
      OnProbeFailed(now, job, worker);
      return;
    }
    const auto known = std::ranges::find(worker.streak, job, &JobFailure::job);
    if (known == worker.streak.end()) {
      worker.streak.push_back({job, now});
    }
    Evaluate(now, instance);
  }

  // A job that also failed elsewhere is no evidence against the worker, so the
  // quarantine is not extended for it.
  auto OnProbeFailed(TimePoint now,
                     const std::string& job,
                     WorkerRecord& worker) const -> void {
    worker.probe_started.reset();
    const bool job_at_fault = jobs_.find(job)->second.failed_on.size() > 1;
    if (!job_at_fault) {
      worker.quarantine_duration =
          std::min(worker.quarantine_duration * 2, options_.max_quarantine);
    }
    worker.quarantine_ends = now + worker.quarantine_duration;
  }

  // Quarantines a worker when enough distinct jobs failed on it in a row that
  // have since finished elsewhere, or that have failed on no other worker.
  //
  // Counting failures alone would quarantine every worker on which a broken
  // job is placed, and all workers when a shared dependency is down. The cell
  // would then run nothing although its instances are healthy.
  auto Evaluate(TimePoint now, const std::string& instance) -> void {
    const auto entry = workers_.find(instance);
    if (entry == workers_.end() || entry->second.quarantined) {
      return;
    }
    WorkerRecord& worker = entry->second;
    int finished_elsewhere = 0;
    int untried_elsewhere = 0;
    for (const JobFailure& failure : worker.streak) {
      const auto job = jobs_.find(failure.job);
      if (job == jobs_.end()) {
        continue;
      }
      const JobRecord& record = job->second;
      if (record.finished.has_value() && *record.finished >= failure.when &&
          record.finished_on != instance) {
        ++finished_elsewhere;
      } else if (record.failed_on.size() == 1) {
        ++untried_elsewhere;
      }
    }
    if (finished_elsewhere >= options_.distinct_jobs ||
        finished_elsewhere + untried_elsewhere >=
            options_.distinct_jobs * kUntriedJobsFactor) {
      Quarantine(now, finished_elsewhere, worker);
    }
  }

  auto Quarantine(TimePoint now,
                  int finished_elsewhere,
                  WorkerRecord& worker) const -> void {
    worker.quarantined = true;
    worker.quarantine_duration = options_.initial_quarantine;
    worker.quarantine_ends = now + worker.quarantine_duration;
    worker.probe_started.reset();
    worker.reason = std::to_string(worker.streak.size()) +
                    " jobs failed there in a row, " +
                    std::to_string(finished_elsewhere) +
                    " of which finished elsewhere since; the last was " +
                    worker.streak.back().job;
  }

  auto PrunePeriodically(TimePoint now) -> void {
    if (++ends_ % kPruneEvery != 0) {
      return;
    }
    absl::erase_if(jobs_, [now](const auto& entry) -> bool {
      return now - entry.second.latest > kJobRetention;
    });
  }

  WorkerHealthOptions options_;
  absl::flat_hash_map<std::string, JobRecord> jobs_;
  absl::flat_hash_map<std::string, WorkerRecord> workers_;
  uint64_t ends_ = 0;
};

WorkerHealth::WorkerHealth(WorkerHealthOptions options)
    : impl_(std::make_unique<Impl>(options)) {}

WorkerHealth::~WorkerHealth() = default;

auto WorkerHealth::OnTaskEnded(TimePoint now,
                               const std::string& instance,
                               const schema::TaskId& task,
                               schema::TaskOutcome outcome) -> void {
  impl_->OnTaskEnded(now, instance, task, outcome);
}

auto WorkerHealth::Check(TimePoint now, const std::string& instance) const
    -> Verdict {
  return impl_->Check(now, instance);
}

auto WorkerHealth::OnProbeStarted(TimePoint now, const std::string& instance)
    -> void {
  impl_->OnProbeStarted(now, instance);
}

auto WorkerHealth::QuarantineReason(const std::string& instance) const
    -> std::string {
  return impl_->QuarantineReason(instance);
}

auto WorkerHealth::HasFailedOn(const std::string& instance,
                               const std::string& partner,
                               const std::string& job) const -> bool {
  return impl_->HasFailedOn(instance, partner, job);
}

}  // namespace rhubarbhaven
