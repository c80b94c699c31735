#include "Placement/worker_health.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace rhubarbhaven {
namespace {

// Jobs that were never tried elsewhere count half: they may be at fault.
constexpr int kUntriedFactor = 2;
// What is known of a job is forgotten when it ended nowhere for this long.
constexpr std::chrono::hours kJobMemory{6};
constexpr uint64_t kPruneEvery = 4096;

struct JobRecord {
  // Instances on which it failed, and not finished since.
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
  bool set_aside = false;
  TimePoint pause_ends;
  std::chrono::seconds pause{0};
  std::optional<TimePoint> probe_started;
  std::string why;
};

auto JobName(const schema::TaskId& task) -> std::string {
  return task.partner() + "/" + task.job();
}

}  // namespace

class WorkerHealth::Impl {
 public:
  explicit Impl(WorkerHealthOptions options) : options_(options) {}

  auto OnEnd(TimePoint now,
             const std::string& instance,
             const schema::TaskId& task,
             schema::TaskOutcome outcome) -> void {
    PruneSometimes(now);
    switch (outcome) {
      case schema::FINISHED:
        OnFinished(now, instance, JobName(task));
        return;
      case schema::FAILED:
        OnFailed(now, instance, JobName(task));
        return;
      default:
        // Says nothing about the worker; a probe may be tried again at once.
        workers_[instance].probe_started.reset();
    }
  }

  auto Check(TimePoint now, const std::string& instance) const -> Verdict {
    const auto entry = workers_.find(instance);
    if (entry == workers_.end() || !entry->second.set_aside) {
      return Verdict::kHealthy;
    }
    const WorkerRecord& worker = entry->second;
    if (now < worker.pause_ends) {
      return Verdict::kSetAside;
    }
    const bool probing = worker.probe_started.has_value() &&
                         now - *worker.probe_started < options_.longest_pause;
    return probing ? Verdict::kSetAside : Verdict::kProbe;
  }

  auto OnProbeStarted(TimePoint now, const std::string& instance) -> void {
    workers_[instance].probe_started = now;
  }

  auto Why(const std::string& instance) const -> std::string {
    const auto entry = workers_.find(instance);
    return entry == workers_.end() ? "" : entry->second.why;
  }

  auto FailedHere(const std::string& instance,
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
    // The job itself is fine, which tells against those on which it failed.
    for (const std::string& other : record.failed_on) {
      Judge(now, other);
    }
  }

  auto OnFailed(TimePoint now,
                const std::string& instance,
                const std::string& job) -> void {
    JobRecord& record = jobs_[job];
    record.latest = now;
    record.failed_on.insert(instance);
    WorkerRecord& worker = workers_[instance];
    if (worker.set_aside) {
      OnProbeFailed(now, job, worker);
      return;
    }
    const auto known = std::ranges::find(worker.streak, job, &JobFailure::job);
    if (known == worker.streak.end()) {
      worker.streak.push_back({job, now});
    }
    Judge(now, instance);
  }

  // A job that fails elsewhere too proves nothing, so the pause does not grow.
  auto OnProbeFailed(TimePoint now,
                     const std::string& job,
                     WorkerRecord& worker) const -> void {
    worker.probe_started.reset();
    const bool job_at_fault = jobs_.find(job)->second.failed_on.size() > 1;
    if (!job_at_fault) {
      worker.pause = std::min(worker.pause * 2, options_.longest_pause);
    }
    worker.pause_ends = now + worker.pause;
  }

  // Sets a worker aside when enough distinct jobs failed on it in a row that
  // finished elsewhere after that, or that nobody else has failed yet.
  //
  // Counting failures alone would set aside every worker on which a broken
  // job lands, and all workers when something they share is down: the cell
  // would empty while nothing is wrong with its instances.
  auto Judge(TimePoint now, const std::string& instance) -> void {
    const auto entry = workers_.find(instance);
    if (entry == workers_.end() || entry->second.set_aside) {
      return;
    }
    WorkerRecord& worker = entry->second;
    int fine_elsewhere = 0;
    int untried_elsewhere = 0;
    for (const JobFailure& failure : worker.streak) {
      const auto job = jobs_.find(failure.job);
      if (job == jobs_.end()) {
        continue;
      }
      const JobRecord& record = job->second;
      if (record.finished.has_value() && *record.finished >= failure.when &&
          record.finished_on != instance) {
        ++fine_elsewhere;
      } else if (record.failed_on.size() == 1) {
        ++untried_elsewhere;
      }
    }
    if (fine_elsewhere >= options_.distinct_jobs ||
        fine_elsewhere + untried_elsewhere >=
            options_.distinct_jobs * kUntriedFactor) {
      SetAside(now, fine_elsewhere, worker);
    }
  }

  auto SetAside(TimePoint now, int fine_elsewhere, WorkerRecord& worker) const
      -> void {
    worker.set_aside = true;
    worker.pause = options_.first_pause;
    worker.pause_ends = now + worker.pause;
    worker.probe_started.reset();
    worker.why = std::to_string(worker.streak.size()) +
                 " jobs failed there in a row, " +
                 std::to_string(fine_elsewhere) +
                 " of which finished elsewhere since; the last was " +
                 worker.streak.back().job;
  }

  auto PruneSometimes(TimePoint now) -> void {
    if (++ends_ % kPruneEvery != 0) {
      return;
    }
    absl::erase_if(jobs_, [now](const auto& entry) -> bool {
      return now - entry.second.latest > kJobMemory;
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

auto WorkerHealth::OnEnd(TimePoint now,
                         const std::string& instance,
                         const schema::TaskId& task,
                         schema::TaskOutcome outcome) -> void {
  impl_->OnEnd(now, instance, task, outcome);
}

auto WorkerHealth::Check(TimePoint now, const std::string& instance) const
    -> Verdict {
  return impl_->Check(now, instance);
}

auto WorkerHealth::OnProbeStarted(TimePoint now, const std::string& instance)
    -> void {
  impl_->OnProbeStarted(now, instance);
}

auto WorkerHealth::Why(const std::string& instance) const -> std::string {
  return impl_->Why(instance);
}

auto WorkerHealth::FailedHere(const std::string& instance,
                              const std::string& partner,
                              const std::string& job) const -> bool {
  return impl_->FailedHere(instance, partner, job);
}

}  // namespace rhubarbhaven
