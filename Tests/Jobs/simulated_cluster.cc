#include "Tests/Jobs/simulated_cluster.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

constexpr char kHost[] = "queue.example";
constexpr char kPrefix[] = "/jobs/";
constexpr char kEndpoint[] = "tcp://agent-";
constexpr char kEvacuationPrefix[] = "evacuate/";
constexpr uint32_t kMaxAttempts = 4;
constexpr int kMaxFailuresPerTask = 2;
// After this many workers have crashed under a task, it must be started fewer
// than kStartLimitAfterCrashes more times.
constexpr int kCrashesUntilFailed = 3;
constexpr int kStartLimitAfterCrashes = 3;
constexpr std::chrono::milliseconds kHeartbeatInterval{500};
constexpr std::chrono::milliseconds kRegistrationInterval{100};
// Long-running tasks must run again within this time, once no fault has been
// active for kStableAfter.
constexpr std::chrono::seconds kMaxRestartTime{10};
constexpr std::chrono::seconds kStableAfter{4};
// A job without a running task must have one again within this time.
constexpr std::chrono::seconds kStarvationTimeout{3};
constexpr int kMinWorkersWithRoom = 2;
constexpr std::chrono::milliseconds kCheckInterval{100};
// How long a new owner waits for agents that do not answer: the time for which
// the previous owner may go on without a renewal, and the length of its lease.
constexpr std::chrono::milliseconds kMaxReconciliationTime{22000};
// A run of a long-running task normally outlasts the test, but some runs end by
// themselves.
constexpr std::chrono::hours kLongRunningWork{24};
constexpr double kLongRunningEndShare = 0.2;
// Time of an opportunistic task at full speed; the simulation does not slow it.
constexpr std::chrono::milliseconds kOpportunisticWork{4000};
// Time from the report that a worker has left to the exit of its agent.
constexpr std::chrono::milliseconds kExitDelay{50};
// Maximum time that an agent takes to record that it was told to stop.
constexpr std::chrono::milliseconds kMaxStopTime{1000};
constexpr std::chrono::milliseconds kStopCheckInterval{5};
constexpr double kBytesPerMegabit = 125000;
// How long a client waits for an answer to a read, beyond the requested wait.

auto Configuration(const std::vector<std::string>& services)
    -> QueueConfiguration {
  QueueConfiguration configuration;
  configuration.version = 1;
  Queue queue;
  queue.name = "queue";
  queue.host = kHost;
  queue.path_prefix = kPrefix;
  queue.rules.set_service("service");
  queue.rules.set_max_attempts(kMaxAttempts);
  queue.rules.set_stretch(2.0);
  configuration.queues.push_back(queue);
  for (const auto& name : services) {
    configuration.services.push_back({name});
  }
  return configuration;
}

auto BytesOf(const std::vector<KeyedRecord>& records) -> std::size_t {
  std::size_t bytes = 0;
  for (const auto& record : records) {
    bytes += record.key.size() + record.value.size();
  }
  return bytes;
}

}  // namespace

SimulatedCluster::SimulatedCluster(SimulatedClusterOptions options)
    : options_(std::move(options)), time_(options_.seed), log_(&time_) {
  const bool trace = std::getenv("EXPLORER_TRACE") != nullptr;
  spdlog::set_level(trace ? spdlog::level::info : spdlog::level::off);
  log_.Put(LogTopic::kOperators, {"config", "1", 0});
  for (int number = 0; number < options_.agents; ++number) {
    AddAgent();
  }
  for (int number = 0; number < options_.entries; ++number) {
    entries_.push_back(std::make_unique<Process>());
    entries_.back()->name = absl::StrCat("entry-", number);
    StartEntry(number);
  }
  if (options_.check_long_running || options_.check_starvation) {
    ScheduleChecks();
  }
}

SimulatedCluster::~SimulatedCluster() = default;

auto SimulatedCluster::RunFor(Duration span) -> void {
  const TimePoint end = time_.now() + span;
  constexpr int kEventsToCheck = 20;
  for (int event = 0; time_.Step(end); ++event) {
    if (event % kEventsToCheck == 0) {
      CheckIndexes();
    }
  }
}

auto SimulatedCluster::CheckIndexes() -> void {
  for (const auto& process : entries_) {
    if (!process->up) {
      continue;
    }
    for (const auto& problem :
         process->entry->owner().FindIndexErrors(time_.now())) {
      ReportProblem(problem);
    }
  }
}

auto SimulatedCluster::Submit(const std::vector<uint32_t>& steps)
    -> std::string {
  std::string id = absl::StrFormat("%016x", ++next_job_);
  Job job;
  job.set_payload(MakePayload(id));
  for (uint32_t number = 0; number < steps.size(); ++number) {
    auto* step = job.add_steps();
    step->set_count(steps[number]);
    step->mutable_need()->set_millicores(kTaskMillicores);
    step->set_estimated_ms(500);
    if (number > 0) {
      step->add_after(number - 1);
    }
  }
  submitted_[id].job = job;
  TrySubmit(id);
  return id;
}

auto SimulatedCluster::SubmitLongRunning(uint32_t tasks) -> std::string {
  JobStep step;
  step.set_count(tasks);
  step.set_long_running(true);
  return SubmitStep(step);
}

auto SimulatedCluster::SubmitOpportunistic(uint32_t tasks) -> std::string {
  JobStep step;
  step.set_count(tasks);
  step.set_estimated_ms(kOpportunisticWork.count());
  step.set_uses_spare_processors(true);
  step.set_checkpointing(true);
  step.set_image("filler");
  return SubmitStep(step);
}

auto SimulatedCluster::SubmitStep(const JobStep& step) -> std::string {
  std::string id = absl::StrFormat("%016x", ++next_job_);
  Job job;
  job.set_payload(MakePayload(id));
  *job.add_steps() = step;
  job.mutable_steps(0)->mutable_need()->set_millicores(kTaskMillicores);
  submitted_[id].job = job;
  TrySubmit(id);
  return id;
}

auto SimulatedCluster::SubmitCrashing(const JobStep& step,
                                      std::chrono::milliseconds after)
    -> std::string {
  std::string id = SubmitStep(step);
  submitted_[id].crashes_after = after;
  return id;
}

auto SimulatedCluster::Cancel(const std::string& job) -> void {
  CancelAt(static_cast<int>(time_.Pick(0, options_.entries - 1)), job);
}

auto SimulatedCluster::CancelAt(int number, const std::string& job) -> void {
  if (!entries_.at(number)->up) {
    return;
  }
  submitted_.at(job).cancel_requested = true;
  CallAt(number, JobCallKind::kCancel, job, [this, job](const JobReply& reply) {
    if (reply.verdict == JobVerdict::kCancelled) {
      cancelled_.insert(job);
    }
  });
}

auto SimulatedCluster::CallAt(int number,
                              JobCallKind kind,
                              const std::string& job,
                              const JobResponder& respond) -> void {
  Process* process = entries_.at(number).get();
  if (!process->up) {
    return;
  }
  Deliver(process, [this, process, kind, job, respond]() -> void {
    JobCall call{kind, kHost, kPrefix + job, {}, {}};
    call.deadline = std::chrono::milliseconds(3000);
    process->entry->Call(time_.now(), call, respond);
  });
}

auto SimulatedCluster::KillEntry(int number, Duration down) -> void {
  Kill(entries_.at(number).get(), down,
       [this, number]() -> void { StartEntry(number); });
}

auto SimulatedCluster::KillAgent(int number, Duration down) -> void {
  Kill(agents_.at(number).get(), down,
       [this, number]() -> void { StartAgent(number); });
}

auto SimulatedCluster::FreezeEntry(int number, Duration span) -> void {
  entries_.at(number)->frozen_until = time_.now() + span;
}

auto SimulatedCluster::FreezeAgent(int number, Duration span) -> void {
  agents_.at(number)->frozen_until = time_.now() + span;
}

auto SimulatedCluster::CutLink(int entry, int agent, Duration span) -> void {
  cuts_[{entry, agent}] = time_.now() + span;
}

auto SimulatedCluster::DelayOrders(int entry,
                                   int agent,
                                   Duration delay,
                                   Duration span) -> void {
  auto& entry_delay = order_delays_[{entry, agent}];
  entry_delay.delay = delay;
  entry_delay.until = time_.now() + span;
}

auto SimulatedCluster::SlowEntry(int number, Duration per_event, Duration span)
    -> void {
  entries_.at(number)->per_event = per_event;
  entries_.at(number)->slow_until = time_.now() + span;
}

auto SimulatedCluster::Isolate(const std::set<int>& entries,
                               const std::set<int>& agents,
                               Duration span) -> void {
  std::vector<std::string> clients;
  clients.reserve(entries.size() + agents.size());
  for (const int entry : entries) {
    clients.push_back(entries_.at(entry)->name);
  }
  for (const int agent : agents) {
    clients.push_back(agents_.at(agent)->name);
  }
  for (int entry = 0; entry < options_.entries; ++entry) {
    for (int agent = 0; agent < static_cast<int>(agents_.size()); ++agent) {
      if (entries.contains(entry) != agents.contains(agent)) {
        CutLink(entry, agent, span);
      }
    }
  }
  for (const auto& client : clients) {
    log_.SetModeFor(client, VirtualLog::Mode::kHoldsAppends);
  }
  time_.After(span, [this, clients]() -> void {
    for (const auto& client : clients) {
      log_.SetModeFor(client, VirtualLog::Mode::kServes);
    }
  });
}

auto SimulatedCluster::StopEntry(int number) -> void {
  Process* process = entries_.at(number).get();
  if (!process->up) {
    return;
  }
  Deliver(process,
          [this, process]() -> void { process->entry->Release(time_.now()); });
  time_.After(std::chrono::milliseconds(1500), [this, number]() -> void {
    KillEntry(number, std::chrono::milliseconds(500));
  });
}

auto SimulatedCluster::AddAgent() -> int {
  const int number = static_cast<int>(agents_.size());
  workers_.push_back(std::make_unique<VirtualWorker>(
      &time_, absl::StrCat("worker-", number), MakeObserver()));
  agents_.push_back(std::make_unique<Process>());
  agents_.back()->name = absl::StrCat("agent-", number);
  StartAgent(number);
  SendHeartbeat(number);
  return number;
}

auto SimulatedCluster::RemoveAgent(int number, bool planned) -> void {
  Process* process = agents_.at(number).get();
  if (process->removed) {
    return;
  }
  const std::string lifetime = workers_.at(number)->Heartbeat().worker_id;
  workers_.at(number)->Remove();
  process->removed = true;
  const auto end = [this, number]() -> void { KillAgent(number, Duration(0)); };
  if (!planned) {
    end();
    return;
  }
  if (process->up) {
    Deliver(process, [this, process, lifetime]() -> void {
      process->agent->OnLeave(time_.now(), lifetime);
      Register(process);
    });
  }
  time_.After(kExitDelay, end);
}

auto SimulatedCluster::RemoveWorker(int number) -> void {
  workers_.at(number)->Remove();
}

auto SimulatedCluster::StopAgent(int number, Duration down) -> void {
  Process* process = agents_.at(number).get();
  if (!process->up || process->frozen_until > time_.now()) {
    return;
  }
  Deliver(process, [this, process]() -> void {
    const TimePoint now = time_.now();
    const Duration lease_left = process->agent->Stop(now);
    process->registration->RecordStop(
        {process->agent->ordered_at(), process->agent->left_worker()},
        lease_left);
    SendRegistration(process);
  });
  EndWhenRecorded(process, time_.now() + kMaxStopTime,
                  [this, number, down]() -> void { KillAgent(number, down); });
}

auto SimulatedCluster::StopAgentForGood(int number) -> void {
  StopAgent(number, Duration(0));
  agents_.at(number)->removed = true;
  workers_.at(number)->Remove();
}

auto SimulatedCluster::EndWhenRecorded(Process* process,
                                       TimePoint limit,
                                       const std::function<auto()->void>& end)
    -> void {
  time_.After(kStopCheckInterval, [this, process, limit, end,
                                   generation = process->generation]() {
    if (process->generation != generation) {
      return;
    }
    if (process->registration->stop_recorded() || time_.now() >= limit) {
      end();
    } else {
      EndWhenRecorded(process, limit, end);
    }
  });
}

auto SimulatedCluster::RemoveEntry(int number) -> void {
  Process* process = entries_.at(number).get();
  process->removed = true;
  Kill(process, Duration(0), []() -> void {});
}

auto SimulatedCluster::Agents() const -> std::vector<int> {
  std::vector<int> numbers;
  for (int number = 0; number < static_cast<int>(agents_.size()); ++number) {
    if (!agents_[number]->removed) {
      numbers.push_back(number);
    }
  }
  return numbers;
}

auto SimulatedCluster::HealAll() -> void {
  log_.HealAll();
  cuts_.clear();
  for (const auto& worker : workers_) {
    worker->SetUnresponsive(false);
    worker->SetUnanswered(0);
    worker->SetAnswersLost(0);
  }
}

auto SimulatedCluster::Owner() const -> int {
  int owner = -1;
  for (int number = 0; number < options_.entries; ++number) {
    const auto& process = entries_[number];
    if (process->up && process->entry->owner().active()) {
      owner = owner == -1 ? number : -2;
    }
  }
  return std::max(owner, -1);
}

auto SimulatedCluster::FenceOf(int entry) const -> uint64_t {
  const auto& process = entries_.at(entry);
  return process->up ? process->entry->fence() : 0;
}

auto SimulatedCluster::StateOf(int entry, const std::string& job) const
    -> std::optional<JobState> {
  const auto& process = entries_.at(entry);
  const auto* stored = process->up ? process->entry->fold().Find(job) : nullptr;
  return stored == nullptr ? std::nullopt : std::optional(stored->state());
}

auto SimulatedCluster::StartEntry(int number) -> void {
  Process* process = entries_.at(number).get();
  process->up = true;
  EntryHooks hooks;
  hooks.log =
      OverLink(process, log_.PortFor(process->name, [] { return true; }));
  // Answers are delivered to the generation of the process that asked, and wait
  // while it is frozen.
  const auto port = hooks.log;
  const uint64_t generation = process->generation;
  const auto in_process =
      [this, process,
       generation](const std::function<auto()->void>& event) -> void {
    if (process->generation == generation) {
      Deliver(process, event);
    }
  };
  const auto progress_in_process =
      [this, in_process](
          const OnTransferProgress& on_progress) -> OnTransferProgress {
    return [this, in_process, on_progress](TimePoint, std::size_t bytes) {
      in_process([this, on_progress, bytes] {
        if (on_progress) {
          on_progress(time_.now(), bytes);
        }
      });
    };
  };
  hooks.log.append = [this, port, in_process](
                         const AppendCall& call,
                         const KeyedLogPort::OnAppend& done) -> void {
    port.append(
        call, [this, in_process, done](TimePoint, const AppendResult& result) {
          in_process([this, done, result] { done(time_.now(), result); });
        });
  };
  hooks.log.read = [this, port, in_process, progress_in_process](
                       ReadCall call,
                       const KeyedLogPort::OnRead& done) -> void {
    call.on_progress = progress_in_process(call.on_progress);
    port.read(call,
              [this, in_process, done](TimePoint, const ReadResult& result) {
                in_process([this, done, result] { done(time_.now(), result); });
              });
  };
  hooks.log.newest = [this, port, in_process, progress_in_process](
                         NewestCall call,
                         const KeyedLogPort::OnNewest& done) -> void {
    call.on_progress = progress_in_process(call.on_progress);
    port.newest(
        call, [this, in_process, done](TimePoint, const NewestResult& result) {
          in_process([this, done, result] { done(time_.now(), result); });
        });
  };
  hooks.send = [this, number](const std::string& endpoint,
                              const AgentOrders& orders) -> void {
    SendOrders(number, endpoint, orders);
  };
  hooks.wall_clock = [this]() -> std::chrono::milliseconds {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        time_.now().time_since_epoch());
  };
  hooks.ask_advice = [](const AdviceCall&, const auto&) {};
  hooks.read_configuration = [this](const KeyedRecord&) {
    return std::optional(Configuration(options_.services));
  };
  hooks.evacuated_domain =
      [](const std::string& key) -> std::optional<std::string> {
    absl::string_view domain = key;
    return absl::ConsumePrefix(&domain, kEvacuationPrefix)
               ? std::optional<std::string>(domain)
               : std::nullopt;
  };
  EntryOptions entry;
  entry.name = process->name;
  entry.incarnation = process->generation;
  entry.limits.link_mbps =
      static_cast<double>(options_.link_bytes_per_second) / kBytesPerMegabit;
  process->entry = std::make_unique<EntryDecisions>(entry, hooks, &metrics_);
  Deliver(process,
          [this, process]() -> void { process->entry->Start(time_.now()); });
}

auto SimulatedCluster::StartAgent(int number) -> void {
  Process* process = agents_.at(number).get();
  if (process->removed) {
    return;
  }
  process->up = true;
  const uint64_t generation = process->generation;
  const auto in_process =
      [this, process,
       generation](const std::function<auto()->void>& event) -> void {
    if (process->generation == generation) {
      Deliver(process, event);
    }
  };
  const WorkerPort port = workers_.at(number)->PortFor([] { return true; });
  const auto deferred = [this, in_process](const WorkerPort::OnCall& done) {
    return [this, in_process, done](TimePoint, WorkerCallResult result) {
      in_process([this, done, result] { done(time_.now(), result); });
    };
  };
  TaskAgentHooks hooks;
  hooks.worker.start = [port, deferred](const StartCall& call,
                                        const WorkerPort::OnCall& done) {
    port.start(call, deferred(done));
  };
  hooks.worker.stop = [port, deferred](const StopCall& call,
                                       const WorkerPort::OnCall& done) {
    port.stop(call, deferred(done));
  };
  hooks.worker.pace = [port, deferred](const PaceCall& call,
                                       const WorkerPort::OnCall& done) {
    port.pace(call, deferred(done));
  };
  hooks.worker.list = [this, port, in_process](
                          const ListCall& call,
                          const WorkerPort::OnListing& done) {
    port.list(call, [this, in_process, done](TimePoint,
                                             const WorkerListing& listing) {
      in_process([this, done, listing] { done(time_.now(), listing); });
    });
  };
  hooks.read_log =
      [this, port = log_.PortFor(process->name, [] { return true; }),
       in_process](ReadCall call, const KeyedLogPort::OnRead& done) {
        call.on_progress = [this, in_process, on_progress = call.on_progress](
                               TimePoint, std::size_t bytes) {
          in_process([this, on_progress, bytes] {
            if (on_progress) {
              on_progress(time_.now(), bytes);
            }
          });
        };
        port.read(call, [this, in_process, done](TimePoint,
                                                 const ReadResult& result) {
          in_process([this, done, result] { done(time_.now(), result); });
        });
      };
  hooks.report = [this, number](const std::string& peer,
                                const AgentReport& report) {
    SendReport(number, peer, report);
  };
  hooks.log = [this, process](const AgentDecision& decision) {
    Trace(absl::StrCat(process->name, " ", decision.what, " ",
                       DescribeTask(decision.task), " run ", decision.run, " ",
                       decision.why));
  };
  hooks.log_worker = [this, process](const WorkerObservation& observation) {
    Trace(absl::StrCat(process->name, " ", observation.what, " ",
                       observation.worker_id));
  };
  TaskAgentOptions agent;
  agent.incarnation = generation;
  process->agent = std::make_unique<TaskAgent>(agent, hooks);
  AgentRegistrationOptions registration;
  registration.name = process->name;
  registration.incarnation = generation;
  registration.link_endpoint = absl::StrCat(kEndpoint, number);
  if (!options_.paced_registration) {
    registration.min_interval = std::chrono::milliseconds(0);
  }
  process->registration = std::make_unique<AgentRegistration>(registration);
  KeepRegistered(process);
}

auto SimulatedCluster::Register(Process* process) -> void {
  if (SkipsRegistration(*process)) {
    return;
  }
  process->registration->RegisterIfDue(
      time_.now(),
      {process->agent->ordered_at(), process->agent->left_worker()});
  SendRegistration(process);
}

auto SimulatedCluster::SendRegistration(Process* process) -> void {
  const auto call = process->registration->Next(time_.now());
  if (!call) {
    return;
  }
  const uint64_t generation = process->generation;
  log_.PortFor(
          process->name,
          [process, generation] { return process->generation == generation; })
      .append(*call, [process](TimePoint now, const AppendResult& result) {
        process->registration->OnResult(now, result);
      });
}

auto SimulatedCluster::KeepRegistered(Process* process) -> void {
  Register(process);
  time_.After(kRegistrationInterval,
              [this, process, generation = process->generation]() -> void {
                if (process->generation == generation) {
                  KeepRegistered(process);
                }
              });
}

auto SimulatedCluster::SkipsRegistration(const Process& process) const -> bool {
  return options_.paced_registration && process.frozen_until > time_.now();
}

auto SimulatedCluster::Kill(Process* process,
                            Duration down,
                            std::function<auto()->void> start) -> void {
  if (!process->up) {
    return;
  }
  ++process->generation;
  process->up = false;
  process->frozen_until = TimePoint();
  process->slow_until = TimePoint();
  process->busy_until = TimePoint();
  process->link_free_at = TimePoint();
  process->inbox.clear();
  process->wake_at = TimePoint::max();
  process->entry.reset();
  process->agent.reset();
  time_.After(down, std::move(start));
}

auto SimulatedCluster::Deliver(Process* process,
                               const std::function<auto()->void>& event)
    -> void {
  if (options_.keep_order) {
    process->inbox.push_back(event);
    HandleInbox(process);
    return;
  }
  const uint64_t generation = process->generation;
  // Always passes through the event queue, so that no code of a process runs
  // inside a call that the process makes.
  const TimePoint when = std::max(time_.now(), process->frozen_until);
  time_.At(when, [this, process, generation, event]() -> void {
    if (process->generation != generation) {
      return;
    }
    if (process->frozen_until > time_.now()) {
      Deliver(process, event);
      return;
    }
    event();
    WakeLater(process);
  });
}

auto SimulatedCluster::HandleInbox(Process* process) -> void {
  const uint64_t generation = process->generation;
  const TimePoint when =
      std::max({time_.now(), process->frozen_until, process->busy_until});
  time_.At(when, [this, process, generation]() -> void {
    if (process->generation != generation || process->inbox.empty()) {
      return;
    }
    if (std::max(process->frozen_until, process->busy_until) > time_.now()) {
      HandleInbox(process);
      return;
    }
    const auto event = std::move(process->inbox.front());
    process->inbox.pop_front();
    event();
    if (time_.now() < process->slow_until) {
      process->busy_until = time_.now() + process->per_event;
    }
    WakeLater(process);
  });
}

auto SimulatedCluster::WakeLater(Process* process) -> void {
  const TimePoint requested_wake = process->entry != nullptr
                                       ? process->entry->next_wake()
                                       : process->agent->next_wake();
  if (requested_wake == TimePoint::max()) {
    return;
  }
  const TimePoint wake =
      std::max(requested_wake, time_.now() + std::chrono::milliseconds(1));
  if (wake >= process->wake_at && process->wake_at > time_.now()) {
    return;
  }
  process->wake_at = wake;
  const uint64_t generation = process->generation;
  time_.At(wake, [this, process, generation, wake]() -> void {
    if (process->generation != generation || process->wake_at != wake) {
      return;
    }
    process->wake_at = TimePoint::max();
    Deliver(process, [this, process]() -> void {
      if (process->entry != nullptr) {
        process->entry->Tick(time_.now());
      } else {
        process->agent->Tick(time_.now());
      }
    });
  });
}

auto SimulatedCluster::SendOrders(int entry,
                                  const std::string& endpoint,
                                  const AgentOrders& orders) -> void {
  const int number = std::stoi(endpoint.substr(sizeof(kEndpoint) - 1));
  if (IsCut(entry, number)) {
    return;
  }
  const TimePoint sent_at =
      Transfer(entries_.at(entry).get(), orders.ByteSizeLong());
  const auto deliver = [this, entry, number, orders]() {
    Process* process = agents_.at(number).get();
    if (process->up && !IsCut(entry, number)) {
      Deliver(process, [this, process, entry, orders]() -> void {
        process->agent->OnOrders(time_.now(), absl::StrCat(entry), orders);
      });
    }
  };
  time_.At(DeliveryTime(entry, number, sent_at), deliver);
}

auto SimulatedCluster::SendReport(int agent,
                                  const std::string& peer,
                                  const AgentReport& report) -> void {
  const int entry = std::stoi(peer);
  if (IsCut(entry, agent)) {
    return;
  }
  time_.After(time_.Milliseconds(1, 3), [this, agent, entry, report]() {
    Process* process = entries_.at(entry).get();
    if (process->up && !IsCut(entry, agent)) {
      Deliver(process, [this, process, agent, report]() -> void {
        process->entry->OnReport(time_.now(), agents_.at(agent)->name, report);
      });
    }
  });
}

auto SimulatedCluster::DeliveryTime(int entry, int agent, TimePoint sent_at)
    -> TimePoint {
  const TimePoint undelayed = sent_at + time_.Milliseconds(1, 3);
  const auto found = order_delays_.find({entry, agent});
  if (found == order_delays_.end()) {
    return undelayed;
  }
  auto& link = found->second;
  const bool active = time_.now() < link.until;
  link.last_delivery = std::max(
      link.last_delivery, undelayed + (active ? link.delay : Duration(0)));
  return link.last_delivery;
}

auto SimulatedCluster::Transfer(Process* process, std::size_t bytes)
    -> TimePoint {
  if (options_.link_bytes_per_second == 0) {
    return time_.now();
  }
  const std::chrono::duration<double> time(
      static_cast<double>(bytes) /
      static_cast<double>(options_.link_bytes_per_second));
  process->link_free_at = std::max(process->link_free_at, time_.now()) +
                          std::chrono::duration_cast<Duration>(time);
  return process->link_free_at;
}

auto SimulatedCluster::TransferOf(Process* process,
                                  const std::vector<KeyedRecord>& records,
                                  TimePoint waited_until) -> VirtualTransfer {
  VirtualTransfer transfer;
  transfer.waited_until = waited_until;
  transfer.bytes = BytesOf(records);
  transfer.begins = std::max(process->link_free_at, time_.now());
  transfer.ends = Transfer(process, transfer.bytes);
  return transfer;
}

auto SimulatedCluster::OverLink(Process* process, const KeyedLogPort& port)
    -> KeyedLogPort {
  if (options_.link_bytes_per_second == 0) {
    return port;
  }
  KeyedLogPort limited = port;
  limited.append = [this, process, port](const AppendCall& call,
                                         const KeyedLogPort::OnAppend& done) {
    const TimePoint sent_at = Transfer(process, BytesOf(call.records));
    const TimePoint deadline = time_.now() + call.timeout;
    if (sent_at < deadline) {
      AppendCall sent = call;
      sent.timeout =
          std::chrono::ceil<std::chrono::milliseconds>(deadline - sent_at);
      time_.At(sent_at, [port, sent, done] { port.append(sent, done); });
      return;
    }
    time_.At(sent_at, [port, call] {
      port.append(call, [](TimePoint, const AppendResult&) {});
    });
    time_.At(deadline, [this, done] {
      done(time_.now(), {AppendOutcome::kUnknown, 0});
    });
  };
  limited.read = [this, process, port](const ReadCall& call,
                                       const KeyedLogPort::OnRead& done) {
    const TimePoint waited_until = time_.now() + call.wait;
    port.read(call, [this, process, limits = call.limits, waited_until, done](
                        TimePoint, const ReadResult& result) {
      const auto transfer = TransferOf(process, result.records, waited_until);
      const auto fails_at = FailureTime(limits, transfer);
      if (!fails_at) {
        time_.At(transfer.ends,
                 [this, done, result] { done(time_.now(), result); });
        return;
      }
      time_.At(*fails_at, [this, done] {
        ReadResult failed;
        failed.error = "timeout";
        failed.timed_out = true;
        done(time_.now(), failed);
      });
    });
  };
  limited.newest = [this, process, port](const NewestCall& call,
                                         const KeyedLogPort::OnNewest& done) {
    const TimePoint requested_at = time_.now();
    port.newest(call, [this, process, limits = call.limits, requested_at, done](
                          TimePoint, const NewestResult& result) {
      const auto transfer = TransferOf(process, result.records, requested_at);
      const auto fails_at = FailureTime(limits, transfer);
      if (!fails_at) {
        time_.At(transfer.ends,
                 [this, done, result] { done(time_.now(), result); });
        return;
      }
      time_.At(*fails_at, [this, done] {
        NewestResult failed;
        failed.error = "timeout";
        failed.timed_out = true;
        done(time_.now(), failed);
      });
    });
  };
  return limited;
}

auto SimulatedCluster::IsCut(int entry, int agent) const -> bool {
  const auto found = cuts_.find({entry, agent});
  return found != cuts_.end() && time_.now() < found->second;
}

auto SimulatedCluster::LosePower(Duration down) -> void {
  for (int number = 0; number < options_.entries; ++number) {
    KillEntry(number, down);
  }
  for (const int number : Agents()) {
    KillAgent(number, down);
  }
}

auto SimulatedCluster::PauseHeartbeats(Duration span) -> void {
  heartbeats_paused_until_ = time_.now() + span;
}

auto SimulatedCluster::DeliverLateHeartbeat(int number, Duration delay)
    -> void {
  const auto heartbeat = workers_.at(number)->Heartbeat();
  time_.After(delay, [this, number, heartbeat]() -> void {
    Process* process = agents_.at(number).get();
    if (process->up && !process->removed) {
      Deliver(process, [this, process, heartbeat]() -> void {
        process->agent->OnHeartbeat(time_.now(), heartbeat);
      });
    }
  });
}

auto SimulatedCluster::SendHeartbeat(int number) -> void {
  Process* process = agents_.at(number).get();
  if (process->removed) {
    return;
  }
  const auto heartbeat = workers_.at(number)->Heartbeat();
  const auto& worker = *workers_.at(number);
  const bool paused = time_.now() < heartbeats_paused_until_;
  if (process->up && !worker.down() && !worker.removed() && !paused) {
    Deliver(process, [this, process, heartbeat]() -> void {
      if (!process->agent->OnHeartbeat(time_.now(), heartbeat)) {
        Trace(absl::StrCat(process->name, " rejects ", heartbeat.worker_id));
      }
    });
  }
  time_.After(kHeartbeatInterval,
              [this, number]() -> void { SendHeartbeat(number); });
}

auto SimulatedCluster::TrySubmit(const std::string& id) -> void {
  auto& submitted = submitted_[id];
  if (submitted.accepted) {
    return;
  }
  ++submitted.tries;
  const int number = static_cast<int>(time_.Pick(0, options_.entries - 1));
  Process* process = entries_[number].get();
  if (process->up) {
    JobCall call{JobCallKind::kSubmit, kHost, kPrefix + id, submitted.job, {}};
    call.deadline = std::chrono::milliseconds(3000);
    Deliver(process, [this, process, call, id]() -> void {
      process->entry->Call(
          time_.now(), call,
          [this, id](const JobReply& reply) -> void { OnReply(id, reply); });
    });
  }
  time_.After(time_.Milliseconds(400, 1200),
              [this, id]() -> void { TrySubmit(id); });
}

auto SimulatedCluster::OnReply(const std::string& id, const JobReply& reply)
    -> void {
  if (reply.verdict == JobVerdict::kAccepted) {
    auto& submitted = submitted_[id];
    submitted.accepted = true;
    accepted_.insert(id);
    if (IsLongRunningJob(id)) {
      for (uint32_t index = 0; index < submitted.job.steps(0).count();
           ++index) {
        startable_since_.emplace(absl::StrCat(id, ".0.0.", index), time_.now());
      }
    }
  }
}

auto SimulatedCluster::MakeObserver() -> WorkerObserver {
  WorkerObserver observer;
  observer.on_start = [this](const std::string& worker, const TaskName& task,
                             uint64_t run) -> void {
    OnStart(worker, task, run);
  };
  observer.on_payload = [this](const TaskName& task,
                               const std::string& payload) -> void {
    CheckPayload(task, payload);
  };
  observer.on_end = [this](const TaskName& task, RunEnd end,
                           bool recorded) -> void {
    OnEnd(task, end, recorded);
  };
  observer.on_done = [this](const TaskName& task) -> void {
    ++done_runs_[DescribeTask(task)];
    Trace(absl::StrCat("DONE ", DescribeTask(task)));
  };
  observer.work = [this](const TaskName& task) -> std::chrono::milliseconds {
    if (IsLongRunning(task)) {
      return time_.Chance(kLongRunningEndShare) ? time_.Milliseconds(500, 8000)
                                                : kLongRunningWork;
    }
    if (IsOpportunistic(task)) {
      return kOpportunisticWork;
    }
    return time_.Milliseconds(200, 2500);
  };
  observer.crashes_after =
      [this](const TaskName& task) -> std::optional<std::chrono::milliseconds> {
    return Crashes(task) ? submitted_.at(task.job()).crashes_after
                         : std::nullopt;
  };
  observer.restart_delay = options_.restart_delay;
  observer.keeps_name = options_.workers_keep_names;
  observer.on_crash = [this](const TaskName& task) -> void { OnCrash(task); };
  observer.is_opportunistic = [this](const TaskName& task) -> bool {
    return IsOpportunistic(task);
  };
  observer.fails = [this](const TaskName& task) -> bool {
    const std::string name = DescribeTask(task);
    if (IsLongRunning(task)) {
      return time_.Chance(0.5);
    }
    const bool fails = failed_runs_[name] < kMaxFailuresPerTask &&
                       time_.Chance(options_.failing_runs);
    failed_runs_[name] += fails ? 1 : 0;
    return fails;
  };
  return observer;
}

auto SimulatedCluster::Trace(const std::string& text) -> void {
  if (std::getenv("EXPLORER_TRACE") != nullptr) {
    std::cout << std::chrono::duration_cast<std::chrono::milliseconds>(
                     time_.now().time_since_epoch())
                     .count()
              << " " << text << std::endl;
  }
}

auto SimulatedCluster::OnStart(const std::string& worker,
                               const TaskName& task,
                               uint64_t run) -> void {
  ++starts_;
  options_.on_start(task);
  Trace(
      absl::StrCat("START ", DescribeTask(task), " run ", run, " at ", worker));
  const std::string name = DescribeTask(task);
  for (const auto& other : workers_) {
    if (other->name() != worker && other->Runs(name)) {
      ReportProblem(
          absl::StrCat(name, " runs at ", worker, " and at ", other->name()));
    }
  }
  if (Crashes(task)) {
    CheckCrashBudget(name);
  }
  if (IsLongRunning(task)) {
    long_running_restarts_ += long_running_starts_[name]++ > 0 ? 1 : 0;
    if (startable_since_.contains(name)) {
      startable_since_[name] = time_.now();
    }
    return;
  }
  if (recorded_done_.contains(name)) {
    ReportProblem(absl::StrCat(name, " starts after its end was recorded"));
  }
  if (recorded_failures_[name] >= static_cast<int>(kMaxAttempts)) {
    ReportProblem(absl::StrCat(name, " starts after its last attempt"));
  }
  if (!submitted_.contains(task.job())) {
    ReportProblem(
        absl::StrCat(name, " belongs to a job that was not submitted"));
  }
}

auto SimulatedCluster::MakePayload(const std::string& job) const
    -> std::string {
  std::string payload = job;
  payload.resize(std::max(payload.size(), options_.payload_bytes), '.');
  return payload;
}

auto SimulatedCluster::CheckPayload(const TaskName& task,
                                    const std::string& payload) -> void {
  if (payload != MakePayload(task.job())) {
    ReportProblem(absl::StrCat(DescribeTask(task),
                               " starts with the payload of '",
                               payload.substr(0, task.job().size()), "'"));
  }
}

auto SimulatedCluster::OnCrash(const TaskName& task) -> void {
  Trace(absl::StrCat("CRASH under ", DescribeTask(task)));
  ++crashes_[DescribeTask(task)];
}

auto SimulatedCluster::CheckCrashBudget(const std::string& task) -> void {
  if (crashes_[task] < kCrashesUntilFailed) {
    return;
  }
  if (++starts_after_crashes_[task] >= kStartLimitAfterCrashes) {
    ReportProblem(absl::StrCat(task, " was started ",
                               starts_after_crashes_[task],
                               " more times after ", kCrashesUntilFailed,
                               " workers had crashed under it"));
  }
}

auto SimulatedCluster::OnEnd(const TaskName& task, RunEnd end, bool recorded)
    -> void {
  const std::string name = DescribeTask(task);
  Trace(absl::StrCat("FORGOTTEN ", name, " ", RunEnd_Name(end),
                     recorded ? " recorded" : " lapsed"));
  lapsed_runs_ += end == RUN_LEASE_LAPSED ? 1 : 0;
  if (!recorded || IsLongRunning(task)) {
    // The lease of the worker expired before the end was recorded, so the task
    // may have been started again in the meantime.
    return;
  }
  if (end == RUN_FAILED) {
    ++recorded_failures_[name];
  }
  if (end != RUN_DONE) {
    return;
  }
  recorded_done_.emplace(name, time_.now());
  for (const auto& worker : workers_) {
    if (worker->Runs(name)) {
      ReportProblem(absl::StrCat(name, " runs at ", worker->name(),
                                 " after its end was recorded"));
    }
  }
}

auto SimulatedCluster::CheckCompleted() -> void {
  for (const auto& id : accepted_) {
    const auto& job = submitted_[id].job;
    for (int entry = 0; entry < options_.entries; ++entry) {
      if (StateOf(entry, id) != JOB_COMPLETED) {
        continue;
      }
      for (int step = 0; step < job.steps_size(); ++step) {
        for (uint32_t index = 0; index < job.steps(step).count(); ++index) {
          const auto task = absl::StrCat(id, ".0.", step, ".", index);
          if (done_runs_[task] < 1) {
            ReportProblem(absl::StrCat(id, " is completed, but ", task,
                                       " has not run to its end"));
          }
        }
      }
    }
  }
}

auto SimulatedCluster::long_running_jobs() const -> std::vector<std::string> {
  std::vector<std::string> jobs;
  for (const auto& [id, submitted] : submitted_) {
    if (IsLongRunningJob(id) && !submitted.cancel_requested) {
      jobs.push_back(id);
    }
  }
  return jobs;
}

auto SimulatedCluster::long_running_tasks() const -> std::size_t {
  std::size_t tasks = 0;
  for (const auto& [id, submitted] : submitted_) {
    const bool open = IsLongRunningJob(id) && !cancelled_.contains(id);
    tasks += open ? submitted.job.steps(0).count() : 0;
  }
  return tasks;
}

auto SimulatedCluster::IsLongRunningJob(const std::string& job) const -> bool {
  const auto found = submitted_.find(job);
  return found != submitted_.end() && found->second.job.steps(0).long_running();
}

auto SimulatedCluster::IsLongRunning(const TaskName& task) const -> bool {
  return IsLongRunningJob(task.job());
}

auto SimulatedCluster::IsOpportunistic(const TaskName& task) const -> bool {
  const auto found = submitted_.find(task.job());
  return found != submitted_.end() &&
         found->second.job.steps(0).uses_spare_processors();
}

auto SimulatedCluster::Crashes(const TaskName& task) const -> bool {
  const auto found = submitted_.find(task.job());
  return task.index() == 0 && found != submitted_.end() &&
         found->second.crashes_after.has_value();
}

auto SimulatedCluster::MayHaveFailed(const std::string& job) const -> bool {
  return std::any_of(crashes_.begin(), crashes_.end(),
                     [&job](const auto& item) -> bool {
                       return item.first.starts_with(job) &&
                              item.second >= kCrashesUntilFailed;
                     });
}

auto SimulatedCluster::crashes(const std::string& job) const -> int {
  const auto found = crashes_.find(absl::StrCat(job, ".0.0.0"));
  return found == crashes_.end() ? 0 : found->second;
}

auto SimulatedCluster::HasFault() const -> bool {
  return log_.has_fault() || HasFaultBeyondReads();
}

auto SimulatedCluster::HasFaultBeyondReads() const -> bool {
  const auto fails = [this](const auto& process) -> bool {
    return !process->removed &&
           (!process->up || process->frozen_until > time_.now());
  };
  return log_.has_fault_beyond_reads() ||
         std::any_of(entries_.begin(), entries_.end(), fails) ||
         std::any_of(agents_.begin(), agents_.end(), fails) ||
         std::any_of(workers_.begin(), workers_.end(),
                     [](const auto& worker) -> bool {
                       return !worker->removed() && worker->has_fault();
                     }) ||
         std::any_of(cuts_.begin(), cuts_.end(),
                     [this](const auto& cut) -> bool {
                       return time_.now() < cut.second &&
                              !agents_.at(cut.first.second)->removed;
                     });
}

auto SimulatedCluster::HasRoom() const -> bool {
  const auto agents = Agents();
  return std::any_of(agents.begin(), agents.end(), [this](int number) -> bool {
    return workers_.at(number)->HasRoom();
  });
}

auto SimulatedCluster::IsReconciling() const -> bool {
  const int owner = Owner();
  return owner >= 0 && !entries_[owner]->entry->owner().reconciliation_done() &&
         std::any_of(agents_.begin(), agents_.end(),
                     [](const auto& agent) -> bool { return agent->removed; });
}

auto SimulatedCluster::RunsAnywhere(const std::string& task) const -> bool {
  return std::any_of(
      workers_.begin(), workers_.end(),
      [&task](const auto& worker) -> bool { return worker->Runs(task); });
}

auto SimulatedCluster::IsStable() -> bool {
  if (HasFault()) {
    RecordFault();
  }
  if (!IsReconciling()) {
    no_reconciliation_at_ = time_.now();
  }
  const bool may_reconcile =
      options_.allow_reconciliation && IsReconciling() &&
      time_.now() - no_reconciliation_at_ < kMaxReconciliationTime;
  return time_.now() - last_fault_at_ >= kStableAfter && !may_reconcile;
}

auto SimulatedCluster::HasAmpleRoom() const -> bool {
  int with_room = 0;
  std::size_t used = 0;
  const auto agents = Agents();
  for (const int number : agents) {
    const auto& worker = *workers_.at(number);
    with_room += worker.HasRoom() ? 1 : 0;
    used += worker.running() * kTaskMillicores;
  }
  return with_room >= kMinWorkersWithRoom &&
         used < agents.size() * VirtualWorker::kMillicores / 2;
}

auto SimulatedCluster::MayHaveEnded(const std::string& job) const -> bool {
  const auto& submitted = submitted_.at(job);
  if (submitted.cancel_requested || submitted.crashes_after ||
      completed_.contains(job)) {
    return true;
  }
  for (int entry = 0; entry < options_.entries; ++entry) {
    const auto state = StateOf(entry, job);
    if (state && *state >= JOB_COMPLETED) {
      return true;
    }
  }
  return false;
}

auto SimulatedCluster::AnyTaskRuns(const std::string& job) const -> bool {
  const std::string prefix = job + ".";
  return std::any_of(workers_.begin(), workers_.end(),
                     [&prefix](const auto& worker) -> bool {
                       return worker->RunsOneOf(prefix);
                     });
}

auto SimulatedCluster::CheckStarvation() -> void {
  const bool startable = IsStable() && HasAmpleRoom();
  for (const auto& id : accepted_) {
    TimePoint& since = idle_since_.emplace(id, time_.now()).first->second;
    if (!startable || MayHaveEnded(id) || AnyTaskRuns(id)) {
      since = time_.now();
    } else if (time_.now() - since >= kStarvationTimeout) {
      ReportProblem(
          absl::StrCat(id, " is starved although there is room for its tasks"));
      since = time_.now();
    }
  }
}

auto SimulatedCluster::CheckLongRunning() -> void {
  const bool startable = IsStable() && HasRoom();
  for (auto& [task, since] : startable_since_) {
    const auto& job = submitted_.at(task.substr(0, task.find('.')));
    if (job.cancel_requested || job.crashes_after || !startable ||
        RunsAnywhere(task)) {
      since = time_.now();
    } else if (time_.now() - since >= kMaxRestartTime) {
      ReportProblem(absl::StrCat(
          task, " is long-running and does not run although there is room"));
      since = time_.now();
    }
  }
}

auto SimulatedCluster::ScheduleChecks() -> void {
  time_.After(kCheckInterval, [this]() -> void {
    if (options_.check_long_running) {
      CheckLongRunning();
    }
    RecordCompleted();
    if (options_.check_starvation) {
      CheckStarvation();
    }
    ScheduleChecks();
  });
}

auto SimulatedCluster::RecordCompleted() -> void {
  for (const auto& id : accepted_) {
    for (int entry = 0; entry < options_.entries; ++entry) {
      if (!completed_.contains(id) && StateOf(entry, id) == JOB_COMPLETED) {
        completed_.insert(id);
      }
    }
  }
}

auto SimulatedCluster::CheckJobs() -> void {
  RecordCompleted();
  for (const auto& id : accepted_) {
    for (int entry = 0; entry < options_.entries; ++entry) {
      if (!entries_[entry]->removed) {
        CheckStateOf(id, entry);
      }
    }
  }
  for (const auto& [task, since] : startable_since_) {
    const std::string id = task.substr(0, task.find('.'));
    if (cancelled_.contains(id) && RunsAnywhere(task)) {
      ReportProblem(absl::StrCat(task, " runs, but its job is cancelled"));
    }
  }
}

auto SimulatedCluster::CheckStateOf(const std::string& job, int entry) -> void {
  const auto state = StateOf(entry, job);
  bool expected = state && *state < JOB_COMPLETED;
  if (cancelled_.contains(job)) {
    expected = !state || *state == JOB_CANCELLED;
  } else if (submitted_.at(job).cancel_requested) {
    expected = expected || !state || *state == JOB_CANCELLED;
  } else if (submitted_.at(job).crashes_after) {
    expected = !state || *state == JOB_FAILED;
  } else if (!IsLongRunningJob(job)) {
    expected = state ? *state == JOB_COMPLETED : completed_.contains(job);
  }
  if (!expected && state == JOB_FAILED) {
    expected = MayHaveFailed(job);
  }
  if (!expected) {
    ReportProblem(absl::StrCat(job, " is ",
                               state ? JobState_Name(*state) : "unknown",
                               " at entry ", entry));
  }
}

auto SimulatedCluster::ReportProblem(const std::string& text) -> void {
  problems_.push_back(
      absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(
                       time_.now().time_since_epoch())
                       .count(),
                   " ms: ", text));
}

}  // namespace rhubarbhaven::jobs
