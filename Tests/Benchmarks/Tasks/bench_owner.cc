// Measures bytes, messages, processor time and memory of an owner and its
// agents at increasing sizes, in virtual time. The owner and the supervisors
// are real; the network, the log and the workers are simulated. Byte and
// message counts are deterministic and have an upper bound; times depend on the
// machine and are only printed.

#include <malloc.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <deque>

#include "Placement/placement.h"
#include "Tasks/tasks.h"
#include "Tests/StandIns/Worker/worker_model.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{100};
constexpr uint32_t kTaskMillicores = 250;
// Required upper bound on the control traffic of one node, in bytes per second.
constexpr double kMaxBytesPerAgent = 5000;

auto CpuSeconds() -> double {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         1e-9 * static_cast<double>(time.tv_nsec);
}

auto HeapBytes() -> double {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

struct Usage {
  double owner_cpu = 0;
  double agents_cpu = 0;
  uint64_t messages = 0;
  uint64_t bytes_up = 0;
  uint64_t bytes_down = 0;
  uint64_t records = 0;
  uint64_t log_bytes = 0;
};

class Cell {
 public:
  Cell(int instances, uint32_t tasks, const std::string& command)
      : owner_(Options()) {
    for (int i = 0; i < instances; ++i) {
      AddInstance(i);
    }
    AddJob(tasks, command);
    Execute(owner_.OnConfig(now_, config_));
  }

  auto RunFor(seconds time) -> void {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      Step();
    }
  }

  auto usage() -> Usage& { return usage_; }
  auto finished() const -> uint64_t { return finished_; }
  auto started() const -> uint64_t { return started_; }

 private:
  static auto Options() -> OwnerOptions {
    OwnerOptions options;
    options.cell = "cell-0";
    options.entry_id = "entry-0";
    options.entry_incarnation = 1;
    return options;
  }

  auto AddInstance(int index) -> void {
    schema::VersionedObject object;
    object.mutable_key()->set_partner("cantabria");
    schema::Instance* instance = object.mutable_object()->mutable_instance();
    instance->set_name("worker-" + std::to_string(index));
    instance->mutable_capacity()->set_millicores(16000);
    instance->set_rack("rack-" + std::to_string(index / 3));
    config_.push_back(object);
    WorkerModelOptions worker;
    worker.incarnation = 1000 + static_cast<uint64_t>(index);
    worker.capacity = instance->capacity();
    worker.on_event = [this](const std::string& event, const std::string&,
                             uint32_t, TimePoint) -> void {
      started_ += event == "start" ? 1 : 0;
      finished_ += event == "finish" ? 1 : 0;
    };
    workers_.push_back(std::make_unique<WorkerModel>(worker));
    SupervisorOptions supervisor_options;
    supervisor_options.agent_id = "agent-" + std::to_string(index);
    supervisor_options.agent_incarnation = 2000 + static_cast<uint64_t>(index);
    supervisor_options.instance = instance->name();
    supervisors_.push_back(
        std::make_unique<TaskSupervisor>(supervisor_options));
  }

  auto AddJob(uint32_t tasks, const std::string& command) -> void {
    schema::VersionedObject object;
    object.mutable_key()->set_partner("cantabria");
    object.set_version(1);
    object.set_created(1);
    schema::Job* job = object.mutable_object()->mutable_job();
    job->set_name("allowance-run");
    job->set_tasks(tasks);
    job->set_command(command);
    job->set_max_attempts(5);
    job->mutable_need()->set_millicores(kTaskMillicores);
    config_.push_back(object);
  }

  template <typename F>
  static auto AddCpuTime(double* total, const F& operation)
      -> decltype(operation()) {
    const double before = CpuSeconds();
    auto result = operation();
    *total += CpuSeconds() - before;
    return result;
  }

  auto Step() -> void {
    AppendRecord();
    Execute(AddCpuTime(&usage_.owner_cpu,
                       [&]() { return owner_.OnCaughtUp(now_, now_); }));
    Execute(
        AddCpuTime(&usage_.owner_cpu, [&]() { return owner_.OnTick(now_); }));
    for (std::size_t i = 0; i < supervisors_.size(); ++i) {
      Execute(i, AddCpuTime(&usage_.agents_cpu,
                            [&]() { return supervisors_[i]->OnTick(now_); }));
    }
    Deliver();
  }

  // Appends all entries of a step as one record.
  auto AppendRecord() -> void {
    if (entries_.empty()) {
      return;
    }
    schema::LogRecord record;
    record.set_writer("entry-0");
    record.set_incarnation(1);
    record.set_sequence(++offset_);
    for (schema::LogEntry& entry : entries_) {
      *record.add_entries() = std::move(entry);
    }
    entries_.clear();
    ++usage_.records;
    usage_.log_bytes += record.ByteSizeLong();
    Execute(AddCpuTime(&usage_.owner_cpu, [&]() {
      return owner_.OnRecord(now_, offset_, record);
    }));
  }

  auto Execute(const OwnerActions& actions) -> void {
    for (const OwnerAction& action : actions) {
      if (const auto* append = std::get_if<AppendToCell>(&action)) {
        entries_.push_back(append->entry);
      } else if (const auto* order = std::get_if<SendToSupervisor>(&action)) {
        usage_.bytes_down += order->message.ByteSizeLong();
        ++usage_.messages;
        const std::size_t agent = std::stoul(order->agent.substr(6));
        queue_.push_back([this, agent, message = order->message]() -> void {
          Execute(agent, AddCpuTime(&usage_.agents_cpu, [&]() {
                    return supervisors_[agent]->OnMessage(now_, "entry-0",
                                                          message);
                  }));
        });
      }
    }
  }

  auto Execute(std::size_t agent, const SupervisorActions& actions) -> void {
    for (const SupervisorAction& action : actions) {
      if (const auto* call = std::get_if<CallWorker>(&action)) {
        queue_.push_back(
            [this, agent, call = *call]() -> void { Call(agent, call); });
      } else if (const auto* send = std::get_if<SendToOwner>(&action)) {
        usage_.bytes_up += send->message.ByteSizeLong();
        ++usage_.messages;
        queue_.push_back([this, agent, message = send->message]() -> void {
          const std::string name = "agent-" + std::to_string(agent);
          Execute(AddCpuTime(&usage_.owner_cpu, [&]() {
            return owner_.OnMessage(now_, name, message);
          }));
        });
      }
    }
  }

  auto Call(std::size_t agent, const CallWorker& call) -> void {
    WorkerModel& worker = *workers_[agent];
    TaskCallResult outcome;
    outcome.call_id = call.call_id;
    outcome.known = true;
    switch (call.kind) {
      case CallWorker::Kind::kStatus:
        outcome.status = worker.Status(now_);
        break;
      case CallWorker::Kind::kStart:
        outcome.reply = worker.Start(now_, call.start);
        break;
      case CallWorker::Kind::kRenew:
        outcome.reply = worker.Renew(now_, call.renew);
        break;
      default:
        outcome.reply = worker.Command(now_, "forget", call.command);
        break;
    }
    Execute(agent, AddCpuTime(&usage_.agents_cpu, [&]() {
              return supervisors_[agent]->OnWorkerReply(now_, outcome);
            }));
  }

  auto Deliver() -> void {
    while (!queue_.empty()) {
      const auto next = std::move(queue_.front());
      queue_.pop_front();
      next();
    }
  }

  TimePoint now_{std::chrono::hours(1)};
  std::vector<schema::VersionedObject> config_;
  Owner owner_;
  std::vector<std::unique_ptr<WorkerModel>> workers_;
  std::vector<std::unique_ptr<TaskSupervisor>> supervisors_;
  std::deque<std::function<auto()->void>> queue_;
  std::vector<schema::LogEntry> entries_;
  uint64_t offset_ = 0;
  uint64_t started_ = 0;
  uint64_t finished_ = 0;
  Usage usage_;
};

// Measures the cost of leases, renewals and reports with long-running tasks.
auto MeasureSteadyState(int instances, uint32_t per_instance) -> bool {
  Cell cell(instances, static_cast<uint32_t>(instances) * per_instance,
            "run 100000000");
  cell.RunFor(seconds(30));
  cell.usage() = Usage();
  constexpr int kSeconds = 20;
  cell.RunFor(seconds(kSeconds));
  const Usage& usage = cell.usage();
  const double agents = instances;
  const double up = static_cast<double>(usage.bytes_up) / agents / kSeconds;
  const double down = static_cast<double>(usage.bytes_down) / agents / kSeconds;
  const bool within_bound =
      up + down <= kMaxBytesPerAgent &&
      cell.started() == static_cast<uint64_t>(instances) * per_instance;
  std::printf(
      "steady instances=%d tasks_each=%u started=%lu agent_bytes_up=%.0f/s "
      "agent_bytes_down=%.0f/s messages=%.2f/s agent_cpu=%.4f%% "
      "owner_cpu=%.3f%% records=%.2f/s%s\n",
      instances, per_instance, static_cast<unsigned long>(cell.started()), up,
      down, static_cast<double>(usage.messages) / agents / kSeconds,
      100 * usage.agents_cpu / agents / kSeconds,
      100 * usage.owner_cpu / kSeconds,
      static_cast<double>(usage.records) / kSeconds,
      within_bound ? "" : " BOUND MISSED");
  return within_bound;
}

// Measures the cost of starts and ends with short tasks, and how many of them
// one owner can process.
auto MeasureChurn(int instances, uint32_t tasks) -> void {
  Cell cell(instances, tasks, "run 2000");
  cell.RunFor(seconds(8));
  const uint64_t before = cell.finished();
  cell.usage() = Usage();
  constexpr int kSeconds = 8;
  cell.RunFor(seconds(kSeconds));
  const Usage& usage = cell.usage();
  const auto done = static_cast<double>(cell.finished() - before);
  std::printf(
      "churn instances=%d tasks=%u done=%.1f/s owner_us_each=%.1f "
      "agent_us_each=%.1f owner_limit=%.0f/s records=%.2f/s "
      "log_bytes_each=%.0f\n",
      instances, tasks, done / kSeconds, 1e6 * usage.owner_cpu / done,
      1e6 * usage.agents_cpu / done, done / usage.owner_cpu,
      static_cast<double>(usage.records) / kSeconds,
      static_cast<double>(usage.log_bytes) / done);
}

// Measures the bytes in the fold for a placed task and for a finished one.
auto MeasureMemory() -> void {
  constexpr uint32_t kTasks = 50000;
  for (const bool finished : {false, true}) {
    const double before = HeapBytes();
    CellFold fold("cell-0");
    schema::LogRecord claim;
    claim.set_sequence(1);
    claim.add_entries()->mutable_claim()->set_cell("cell-0");
    fold.Apply(1, claim);
    for (uint32_t index = 0; index < kTasks; ++index) {
      schema::LogRecord record;
      record.set_sequence(index + 2);
      schema::Placement* placement = record.add_entries()->mutable_placement();
      placement->set_fence(1);
      placement->mutable_task()->set_partner("cantabria");
      placement->mutable_task()->set_job("allowance-run");
      placement->mutable_task()->set_index(index);
      placement->set_attempt(1);
      placement->set_instance("worker-100");
      placement->mutable_admitted()->set_millicores(kTaskMillicores);
      if (finished) {
        schema::TaskEnd* end = record.add_entries()->mutable_task_end();
        end->set_fence(1);
        *end->mutable_task() = placement->task();
        end->set_attempt(1);
        end->set_outcome(schema::FINISHED);
      }
      fold.Apply(index + 2, record);
    }
    std::printf("memory fold %s=%.0f bytes_each snapshot=%.0f bytes_each\n",
                finished ? "finished" : "placed",
                (HeapBytes() - before) / kTasks,
                static_cast<double>(fold.Export().ByteSizeLong()) / kTasks);
  }
}

}  // namespace
}  // namespace rhubarbhaven

auto main() -> int {
  using rhubarbhaven::MeasureChurn;
  bool within_bound = true;
  for (const int instances : {11, 50, 250}) {
    for (const uint32_t tasks : {0U, 8U, 25U}) {
      within_bound =
          rhubarbhaven::MeasureSteadyState(instances, tasks) && within_bound;
    }
  }
  MeasureChurn(11, 8000);
  MeasureChurn(50, 30000);
  MeasureChurn(250, 60000);
  rhubarbhaven::MeasureMemory();
  return within_bound ? 0 : 1;
}
