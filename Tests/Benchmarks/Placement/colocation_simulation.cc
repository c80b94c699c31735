#include "Tests/Benchmarks/Placement/colocation_simulation.h"

#include <algorithm>
#include <cmath>
#include <list>

namespace rhubarbhaven::bench {
namespace {

constexpr int kWorkers = 11;
constexpr int kSeconds = 6 * 3600;
constexpr int kWarmUp = 1200;
constexpr int kKinds = 24;
constexpr int kTasksPerJob = 6;
constexpr std::size_t kBacklog = 60;
constexpr double kBatchMillicores = 12000;
constexpr double kBatchMemoryMb = 52000;
constexpr double kThrottledRate = 0.5;
constexpr double kThrottledInterferenceShare = 0.25;
constexpr int kStopping = 10;
constexpr double kResumeLoss = 20;
constexpr int kLatencySamples = 40;

auto Amount(double millicores, double memory_mb) -> schema::Resources {
  schema::Resources amount;
  amount.set_millicores(static_cast<uint32_t>(millicores));
  amount.set_memory_mb(static_cast<uint64_t>(memory_mb));
  return amount;
}

struct SimWorker {
  WorkerState state;
  double load = 0.5;
  int down_s = 0;
};

class Simulation {
 public:
  Simulation(const Shape& shape, Policy* policy)
      : shape_(shape),
        policy_(policy),
        random_(shape.seed),
        job_random_(shape.seed),
        environment_random_(shape.seed) {
    MakeRatios();
    MakeKinds();
    for (int number = 0; number < kWorkers; ++number) {
      SimWorker& worker = workers_.emplace_back();
      worker.state.instance = "w" + std::to_string(number);
      worker.state.partner = shape.partner;
      worker.state.rack = "r" + std::to_string(number / 3);
      worker.state.failure_domain = "d" + std::to_string(number % 3);
      worker.state.capacity = Amount(16000, 60000);
      worker.state.reserved = Amount(4000, 8000);
      worker.state.accepting = true;
      NotifyPolicy(worker);
    }
  }

  auto Run() -> Outcome {
    for (second_ = 0; second_ < kSeconds; ++second_) {
      now_ += std::chrono::seconds(1);
      ShiftLoad();
      FailWorkers();
      if (policy_ != nullptr) {
        SubmitJobs();
        DeliverReports();
        Apply(policy_->Decide(now_));
      }
      std::map<std::string, std::vector<SimTask*>> running;
      for (SimTask& task : tasks_) {
        running[task.instance].push_back(&task);
      }
      for (SimWorker& worker : workers_) {
        RunWorker(worker, running[worker.state.instance]);
      }
      RemoveEnded();
    }
    // The checkpointed work of running tasks counts as completed.
    for (const SimTask& task : tasks_) {
      outcome_.throughput += task.saved_s * Cores(task);
    }
    auto nth = latencies_.begin() +
               static_cast<ptrdiff_t>(latencies_.size() * 99 / 100);
    std::ranges::nth_element(latencies_, nth);
    outcome_.p99 = *nth;
    return outcome_;
  }

 private:
  auto Uniform(double low, double high) -> double {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  // Load and failures use a random generator of their own, so that they are the
  // same for every policy.
  auto EnvironmentUniform(double low, double high) -> double {
    return std::uniform_real_distribution<double>(low,
                                                  high)(environment_random_);
  }
  static auto Cores(const SimTask& task) -> double {
    return task.kind->declared.millicores() / 1000.0;
  }

  auto MakeRatios() -> void {
    constexpr double kSigma = 0.4;
    constexpr double kNormalP99 = 2.326;
    std::normal_distribution<double> normal;
    for (double& ratio : ratios_) {
      ratio = std::exp(kSigma * (normal(environment_random_) - kNormalP99));
    }
  }

  // One kind in eight causes a large slowdown and one in four a small one; the
  // slowdown of one in four comes in waves.
  auto MakeKinds() -> void {
    for (int number = 0; number < kKinds; ++number) {
      JobKind& kind = kinds_.emplace_back();
      kind.name = "job" + std::to_string(number);
      kind.interference =
          shape_.interference * (number % 8 == 3   ? Uniform(0.15, 0.4)
                                 : number % 4 == 1 ? Uniform(0.01, 0.03)
                                                   : Uniform(0, 0.005));
      kind.in_waves = number % 4 == 3;
      const double millicores = 1000 * std::floor(Uniform(1, 5));
      const double memory_mb = 1000 * std::floor(Uniform(2, 11));
      kind.declared = Amount(millicores, memory_mb);
      // Most kinds use less than declared; one in six uses far more.
      const bool underdeclared = number % 6 == 5;
      kind.millicores =
          millicores * (underdeclared ? Uniform(1, 2) : Uniform(0.5, 1));
      kind.memory_mb = std::min(
          kBatchMemoryMb * 0.8,
          memory_mb * (underdeclared ? Uniform(2, 10) : Uniform(0.3, 1)));
      kind.work_s = static_cast<int>(Uniform(300, 2400));
      kind.checkpoint_every_s = static_cast<int>(Uniform(60, 600));
      kind.costly_to_evict = number % 5 == 2;
    }
  }

  auto ShiftLoad() -> void {
    const double phase = 2 * M_PI * second_ / 10800.0;
    for (SimWorker& worker : workers_) {
      if (second_ % 900 == 0) {
        worker.load = EnvironmentUniform(-0.15, 0.15);
      }
    }
    cell_load_ = shape_.mean_load + 0.25 * std::sin(phase);
    wave_active_ = (second_ / 420) % 3 == 1;
  }

  // Simulates random failures of workers, and one worker on which every task
  // fails for an hour.
  auto FailWorkers() -> void {
    for (SimWorker& worker : workers_) {
      const bool fails = EnvironmentUniform(0, 1) < 1.0 / 9000;
      if (worker.down_s > 0 && --worker.down_s == 0) {
        worker.state.accepting = true;
        NotifyPolicy(worker);
      } else if (fails && worker.down_s == 0) {
        worker.down_s = 120;
        worker.state.accepting = false;
        NotifyPolicy(worker);
        EndAllOn(worker.state.instance, schema::LOST);
      }
    }
    failing_instance_ = second_ > 7200 && second_ < 10800 ? "w7" : "";
  }

  auto NotifyPolicy(const SimWorker& worker) -> void {
    if (policy_ != nullptr) {
      policy_->SetWorker(worker.state);
    }
  }

  auto Waiting() const -> std::size_t {
    return static_cast<std::size_t>(std::ranges::count_if(
        tasks_,
        [](const SimTask& task) -> bool { return task.instance.empty(); }));
  }

  auto SubmitJobs() -> void {
    while (Waiting() < kBacklog) {
      const JobKind& kind = kinds_[job_random_() % kKinds];
      ++version_;
      for (uint32_t index = 0; index < kTasksPerJob; ++index) {
        SimTask& task = tasks_.emplace_back();
        task.id.set_partner(shape_.partner);
        task.id.set_job(kind.name);
        task.id.set_index(index);
        task.id.set_job_version(version_);
        task.kind = &kind;
        task.waiting_since = now_;
        policy_->Submit(task);
      }
    }
  }

  auto Find(const schema::TaskId& id) -> SimTask* {
    const std::string name = TaskName(id);
    const auto task = std::ranges::find_if(
        tasks_, [&](const SimTask& one) { return TaskName(one.id) == name; });
    return task == tasks_.end() ? nullptr : &*task;
  }

  auto Apply(const PlacerRound& round) -> void {
    for (const EvictDecision& eviction : round.evictions) {
      BeginEviction(eviction.task);
    }
    for (const PlaceDecision& placement : round.placements) {
      SimTask* task = Find(placement.task);
      task->instance = placement.instance;
      task->throttled = false;
      task->running_s = 0;
      task->stopping_s = 0;
      ++task->attempt;
      policy_->OnStarted(now_, *task);
    }
  }

  auto BeginEviction(const schema::TaskId& id) -> void {
    SimTask* task = Find(id);
    if (task != nullptr && !task->instance.empty() && task->stopping_s == 0) {
      task->stopping_s = kStopping;
    }
  }

  auto DeliverReports() -> void {
    for (auto report = reports_.begin(); report != reports_.end();) {
      if (report->due > now_) {
        ++report;
        continue;
      }
      for (const InterferenceAction& action :
           policy_->OnReport(now_, *report)) {
        ApplyAction(action);
      }
      report = reports_.erase(report);
    }
  }

  auto ApplyAction(const InterferenceAction& action) -> void {
    SimTask* task = Find(action.task);
    if (task == nullptr) {
      return;
    }
    if (action.step == InterferenceStep::kMove) {
      BeginEviction(action.task);
      return;
    }
    task->throttled = action.step == InterferenceStep::kThrottle;
    outcome_.throttles += task->throttled ? 1 : 0;
  }

  auto InterferenceOf(const SimTask& task, double load) const -> double {
    double interference = task.kind->interference * (0.4 + 0.8 * load);
    if (task.kind->in_waves) {
      interference *= wave_active_ ? 1.5 : 0.5;
    }
    return task.throttled ? interference * kThrottledInterferenceShare
                          : interference;
  }

  static auto MemoryOf(const SimTask& task) -> double {
    return task.kind->memory_mb * std::min(1.0, task.running_s / 90.0);
  }

  auto RunWorker(const SimWorker& worker, const std::vector<SimTask*>& running)
      -> void {
    const double load = std::clamp(cell_load_ + worker.load, 0.1, 1.0);
    double millicores = 0;
    double interference = 0;
    for (const SimTask* task : running) {
      millicores +=
          task->kind->millicores * (task->throttled ? kThrottledRate : 1);
      interference += InterferenceOf(*task, load);
    }
    const double overload = std::max(0.0, millicores / kBatchMillicores - 1);
    interference += 0.3 * overload;
    const double alone = 10000 * (0.55 + 0.45 * load * load);
    Sample(worker, load, alone * std::exp(interference));
    Measure(worker, running, alone * std::exp(interference));
    for (SimTask* task : running) {
      Advance(*task, 1 / (1 + overload));
    }
    KillForMemory(running);
  }

  // Samples the latencies of this second's requests, lognormal with the
  // worker's current p99.
  auto Sample(const SimWorker& worker, double load, double p99_us) -> void {
    if (second_ < kWarmUp || worker.down_s > 0) {
      return;
    }
    const auto first = static_cast<std::size_t>(second_) * 131 +
                       static_cast<unsigned char>(worker.state.instance.back());
    const int count = static_cast<int>(kLatencySamples * load);
    for (int request = 0; request < count; ++request) {
      const std::size_t draw = (first + request) % ratios_.size();
      latencies_.push_back(static_cast<float>(p99_us * ratios_[draw]));
    }
  }

  // Every ten seconds, queues a report for each task with the service's p99; it
  // arrives up to a minute late.
  auto Measure(const SimWorker& worker,
               const std::vector<SimTask*>& running,
               double p99_us) -> void {
    const int number = std::stoi(worker.state.instance.substr(1));
    if (policy_ == nullptr || second_ % 10 != number % 10) {
      return;
    }
    const auto late = std::chrono::seconds(static_cast<int>(Uniform(10, 61)));
    const double noise = std::exp(Uniform(-0.1, 0.1));
    SimReport report{now_ + late, now_, worker.state.instance, {}};
    report.usage.set_service_p99_us(static_cast<uint32_t>(p99_us * noise));
    if (running.empty()) {
      reports_.push_back(report);
    }
    for (const SimTask* task : running) {
      *report.usage.mutable_task() = task->id;
      *report.usage.mutable_used() =
          Amount(task->kind->millicores, MemoryOf(*task));
      reports_.push_back(report);
    }
  }

  auto Advance(SimTask& task, double rate) -> void {
    ++task.running_s;
    if (task.instance == failing_instance_ && task.running_s == 5) {
      End(task, schema::FAILED);
      return;
    }
    if (task.stopping_s > 0) {
      if (--task.stopping_s == 0) {
        // The task was checkpointed; only the time to load the checkpoint at
        // the next start is lost.
        task.saved_s = std::max(task.saved_s, task.done_s - kResumeLoss);
        End(task, schema::EVICTED);
      }
      return;
    }
    task.done_s += rate * (task.throttled ? kThrottledRate : 1);
    if (task.running_s % task.kind->checkpoint_every_s == 0) {
      task.saved_s = task.done_s;
    }
    if (task.done_s >= task.kind->work_s) {
      outcome_.throughput += task.done_s * Cores(task);
      End(task, schema::FINISHED);
    }
  }

  // Simulates the out-of-memory killer, which kills the task that exceeds its
  // declared memory the most.
  auto KillForMemory(const std::vector<SimTask*>& running) -> void {
    double used = 0;
    SimTask* worst = nullptr;
    double worst_beyond = -1e18;
    for (SimTask* task : running) {
      if (task->instance.empty() || task->kind == nullptr) {
        continue;
      }
      used += MemoryOf(*task);
      const double beyond =
          MemoryOf(*task) -
          static_cast<double>(task->kind->declared.memory_mb());
      if (beyond > worst_beyond) {
        worst = task;
        worst_beyond = beyond;
      }
    }
    if (used > kBatchMemoryMb && worst != nullptr) {
      ++outcome_.oom_kills;
      End(*worst, schema::EVICTED);
    }
  }

  auto EndAllOn(const std::string& instance, schema::TaskOutcome outcome)
      -> void {
    for (SimTask& task : tasks_) {
      if (task.instance == instance) {
        End(task, outcome);
      }
    }
  }

  auto End(SimTask& task, schema::TaskOutcome outcome) -> void {
    const std::string instance = task.instance;
    task.instance.clear();
    if (outcome == schema::FINISHED) {
      policy_->OnEnded(now_, task, instance, outcome);
      task.kind = nullptr;
      return;
    }
    outcome_.lost_core_s += (task.done_s - task.saved_s) * Cores(task);
    task.done_s = task.saved_s;
    if (outcome == schema::EVICTED) {
      ++outcome_.evictions;
      ++task.evictions;
    }
    task.waiting_since = now_;
    policy_->OnEnded(now_, task, instance, outcome);
    policy_->Submit(task);
  }

  auto RemoveEnded() -> void {
    std::erase_if(tasks_, [](const SimTask& task) -> bool {
      return task.kind == nullptr;
    });
  }

  Shape shape_;
  Policy* policy_;
  std::mt19937 random_;
  std::mt19937 job_random_;
  std::mt19937 environment_random_;
  std::vector<JobKind> kinds_;
  std::vector<SimWorker> workers_;
  std::list<SimTask> tasks_;
  std::list<SimReport> reports_;
  // Ratios of request latencies to the current p99, drawn once.
  std::vector<double> ratios_ = std::vector<double>(100003);
  std::vector<float> latencies_;
  Outcome outcome_;
  TimePoint now_{std::chrono::hours(24)};
  int second_ = 0;
  double cell_load_ = 0;
  bool wave_active_ = false;
  std::string failing_instance_;
  uint64_t version_ = 0;
};

}  // namespace

auto RunSimulation(const Shape& shape, Policy* policy) -> Outcome {
  return Simulation(shape, policy).Run();
}

}  // namespace rhubarbhaven::bench
