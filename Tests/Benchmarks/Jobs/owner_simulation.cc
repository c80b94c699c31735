#include "Tests/Benchmarks/Jobs/owner_simulation.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <utility>

namespace rhubarbhaven::jobs {
namespace {

constexpr uint64_t kFence = 7;
constexpr char kUrgentQueue[] = "urgent";
constexpr char kBatchQueue[] = "batch";
constexpr uint32_t kWorkerMillicores = 16000;
constexpr uint32_t kWorkerMemoryMb = 62500;
constexpr int kWorkersPerRack = 8;
constexpr int kKinds = 4;
constexpr uint32_t kTasksPerJob = 27;
constexpr uint32_t kTaskMillicores = 1800;
constexpr uint32_t kTaskMemoryMb = 3200;
constexpr int kImages = 30;
constexpr int kServingPerWorker = 3;
constexpr uint32_t kServingMillicores = 3200;
constexpr int kTargetMs = 50;
constexpr int kServingLatencyMs = 12;
// Number of tasks that fit on a worker, and the divisor of that number which
// gives the backlog.
constexpr std::size_t kTasksPerWorker = kWorkerMillicores / kTaskMillicores;
constexpr std::size_t kBacklogDivisor = 5;
constexpr std::chrono::milliseconds kPollInterval{300};

auto BatchStep(uint64_t number) -> JobStep {
  JobStep step;
  step.set_count(kTasksPerJob);
  step.mutable_need()->set_millicores(kTaskMillicores -
                                      static_cast<uint32_t>(number * 37 % 300));
  step.mutable_need()->set_memory_mb(kTaskMemoryMb);
  step.set_estimated_ms(1700);
  step.set_image(absl::StrCat("image-", number % kImages));
  return step;
}

}  // namespace

OwnerSimulation::OwnerSimulation(int workers, Load load)
    : load_(load),
      report_interval_(std::chrono::duration_cast<Duration>(kPollInterval) /
                       workers),
      owner_(JobOwnerOptions(), Hooks()) {
  rules_.set_service("service");
  rules_.set_priority(1);
  urgent_rules_ = rules_;
  urgent_rules_.set_priority(0);
  for (int number = 0; number < workers; ++number) {
    Agent agent;
    agent.name = absl::StrFormat("agent-%05d", number);
    auto& report = agent.report;
    report.set_fence(kFence);
    report.set_worker_id("life-of-" + agent.name);
    report.set_service("service");
    report.mutable_capacity()->set_millicores(kWorkerMillicores);
    report.mutable_capacity()->set_memory_mb(kWorkerMemoryMb);
    report.add_labels(absl::StrCat("kind-", number % kKinds));
    report.add_labels(absl::StrCat("rack-", number / kWorkersPerRack));
    report.set_complete(true);
    AgentEntry entry;
    entry.set_name(agent.name);
    entry.set_link_endpoint(agent.name);
    Put(MakeRecord(RecordKind::kAgent, agent.name, entry));
    agents_.emplace(agent.name, std::move(agent));
  }
  next_agent_ = agents_.begin();
  backlog_ = agents_.size() * kTasksPerWorker / kBacklogDivisor;
  Begin();
}

auto OwnerSimulation::Hooks() -> JobOwnerHooks {
  JobOwnerHooks hooks;
  hooks.send = [this](const std::string& agent, const AgentOrders& orders) {
    OnOrders(agents_.at(agent), orders);
  };
  hooks.log = [](const OwnerDecision&) {};
  hooks.log_agent = [](const std::string&, const std::string&) {};
  hooks.log_reconciliation = [](const ReconciliationState&) {};
  hooks.log_starved = [](const StarvedJob&) {};
  hooks.report_starved = [](std::size_t) {};
  hooks.report_overload = [](const OverloadState&) {};
  hooks.report_run_length = [](const RunLengthSample&) {};
  hooks.log_run_lengths = [](const std::string&, std::size_t) {};
  hooks.log_large_record = [](const LargeRecord&) {};
  hooks.report_lag = [](Duration) {};
  hooks.rules = [this](const std::string& queue) {
    return queue == kUrgentQueue ? &urgent_rules_ : &rules_;
  };
  hooks.is_evacuated = [](const std::string&) { return false; };
  hooks.report_orders = [](const OrderTraffic&) {};
  hooks.report_start_delay = [](Duration) {};
  hooks.log_silent = [](const SilentAgents&) {};
  hooks.exclusive_until = [this]() -> TimePoint { return now_; };
  hooks.renewed_at = [this]() -> TimePoint { return now_; };
  hooks.on_last_owner_bound = [](TimePoint, TimePoint) {};
  hooks.log_position = [this]() -> LogPosition { return {now_, 0}; };
  hooks.wall_clock = [this]() -> std::chrono::milliseconds {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now_.time_since_epoch());
  };
  hooks.ask_advice = [](const AdviceCall&, const auto&) {};
  return hooks;
}

auto OwnerSimulation::Put(KeyedRecord record) -> void {
  record.offset = ++offset_;
  const auto change = fold_.Apply(record);
  owner_.OnChange(now_, change);
}

auto OwnerSimulation::PutJob(const std::string& queue,
                             std::vector<JobStep> steps) -> void {
  Job job;
  job.set_id(absl::StrFormat("%016x", ++next_job_));
  job.set_queue(queue);
  job.set_received_unix_ms(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now_.time_since_epoch())
          .count()));
  for (auto& step : steps) {
    waiting_ += step.count();
    *job.add_steps() = std::move(step);
  }
  Put(MakeRecord(RecordKind::kJob, job.id(), job));
}

auto OwnerSimulation::AddJob() -> void {
  const uint64_t number = next_job_;
  auto step = BatchStep(number);
  if (load_ == Load::kOpportunistic) {
    step.set_uses_spare_processors(true);
  }
  if (load_ == Load::kMixed) {
    switch (number % 4) {
      case 0:
        step.set_gang(true);
        step.set_count(4);
        break;
      case 1:
        step.set_required_label(absl::StrCat("kind-", number % kKinds));
        break;
      case 2:
        step.set_max_per_worker(2);
        break;
      default:
        break;
    }
  }
  PutJob(kBatchQueue, {step});
}

auto OwnerSimulation::AddLongRunning() -> void {
  for (int image = 0; image < kServingPerWorker; ++image) {
    JobStep step;
    step.set_count(static_cast<uint32_t>(agents_.size()));
    step.set_long_running(true);
    step.set_max_per_worker(1);
    step.mutable_need()->set_millicores(kServingMillicores);
    step.set_image(absl::StrCat("serving-", image));
    step.set_target_latency_ms(kTargetMs);
    PutJob(kUrgentQueue, {step});
  }
}

auto OwnerSimulation::Begin() -> void {
  owner_.Begin(now_, kFence, &fold_, {now_, now_});
  for (std::size_t number = 0; number < agents_.size(); ++number) {
    ReportWithoutEnd();
    Deliver();
  }
  StoreRecords();
  if (load_ == Load::kOpportunistic) {
    AddLongRunning();
  }
  constexpr int kRoundsToFill = 4;
  for (int round = 0; round < kRoundsToFill; ++round) {
    for (std::size_t number = 0; number < agents_.size(); ++number) {
      ReportWithoutEnd();
      Deliver();
    }
    RefillBacklog();
  }
  StoreRecords();
}

auto OwnerSimulation::RefillBacklog() -> void {
  while (waiting_ < backlog_) {
    AddJob();
    owner_.Tick(now_);
  }
}

auto OwnerSimulation::NextAgent() -> Agent& {
  Agent& agent = next_agent_->second;
  if (++next_agent_ == agents_.end()) {
    next_agent_ = agents_.begin();
  }
  return agent;
}

auto OwnerSimulation::MakeReport(Agent& agent) -> AgentReport& {
  now_ += report_interval_;
  reporting_ = &agent;
  auto& report = agent.report;
  report.clear_running();
  report.clear_ended();
  report.clear_results();
  report.set_sent_us(++agent.sent_us);
  for (const uint64_t order : agent.started_orders) {
    auto* result = report.add_results();
    result->set_order(order);
    result->set_outcome(ORDER_DONE);
  }
  agent.started_orders.clear();
  return report;
}

auto OwnerSimulation::ReportWithoutEnd() -> const AgentReport& {
  Agent& agent = NextAgent();
  auto& report = MakeReport(agent);
  for (const auto& run : agent.runs) {
    auto* row = report.add_running();
    *row->mutable_task() = run.task;
    row->set_run(run.run);
    row->set_percent(static_cast<uint32_t>(agent.sent_us % 100));
    row->set_load(run.ends ? kTaskMillicores : kServingLatencyMs);
  }
  return report;
}

auto OwnerSimulation::ReportWithEnd() -> const AgentReport& {
  for (std::size_t checked = 0; checked < agents_.size(); ++checked) {
    auto& runs = next_agent_->second.runs;
    for (auto run = runs.begin(); run != runs.end(); ++run) {
      if (!run->ends) {
        continue;
      }
      Agent& agent = next_agent_->second;
      EndedTask ended;
      ended.set_number(++agent.ends);
      *ended.mutable_task() = run->task;
      ended.set_run(run->run);
      ended.set_end(RUN_DONE);
      runs.erase(run);
      --running_;
      ReportWithoutEnd();
      *agent.report.add_ended() = ended;
      return agent.report;
    }
    NextAgent();
  }
  return ReportWithoutEnd();
}

auto OwnerSimulation::Deliver() -> void {
  owner_.OnReport(now_, reporting_->name, reporting_->report);
  owner_.Tick(now_);
}

auto OwnerSimulation::StoreRecords() -> void {
  for (const auto& record : owner_.TakeBatch()) {
    Put(record);
  }
  owner_.OnBatchStored(now_);
  owner_.Tick(now_);
  RefillBacklog();
}

auto OwnerSimulation::AddUrgentJob(uint32_t tasks) -> void {
  auto step = BatchStep(next_job_);
  step.set_count(tasks);
  PutJob(kUrgentQueue, {step});
  owner_.Tick(now_);
}

auto OwnerSimulation::OnOrders(Agent& agent, const AgentOrders& orders)
    -> void {
  for (const auto& start : orders.starts()) {
    agent.started_orders.push_back(start.order());
    const auto* entry = fold_.Find(start.task().job());
    const bool ends = entry == nullptr || !entry->job.steps(0).long_running();
    agent.runs.push_back({start.task(), start.run(), ends});
    ++running_;
    waiting_ -= waiting_ > 0 ? 1 : 0;
  }
}

}  // namespace rhubarbhaven::jobs
