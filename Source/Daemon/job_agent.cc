#include "Daemon/job_agent.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "Daemon/job_service.h"

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kTickInterval{250};

auto AgentOptions(const jobs::AgentRegistrationOptions& options)
    -> jobs::TaskAgentOptions {
  jobs::TaskAgentOptions agent;
  agent.incarnation = options.incarnation;
  return agent;
}

}  // namespace

JobAgent::JobAgent(jobs::AgentRegistrationOptions options,
                   JobAgentHooks hooks,
                   Metrics* metrics)
    : hooks_(std::move(hooks)),
      metrics_(metrics),
      log_("agent"),
      agent_(AgentOptions(options), MakeAgentHooks()),
      registration_(std::move(options)),
      thread_({.on_tick = [this](TimePoint now) -> void { Tick(now); },
               .next_wake = [this]() -> TimePoint { return NextWake(); },
               .on_stall = [this](const Stall& stall) -> void {
                 LogStall(log_, stall);
               }}) {}

auto JobAgent::Start() -> void {
  thread_.Start();
}

auto JobAgent::Stop(std::chrono::milliseconds record_limit) -> void {
  auto recorded = stop_recorded_.get_future();
  thread_.PostOrWait([this](TimePoint now) -> void { RecordStop(now); });
  if (recorded.wait_for(record_limit) != std::future_status::ready) {
    log_.Write("stop_not_recorded",
               {{"waited_ms", InMilliseconds(record_limit)}});
  }
  thread_.Stop();
}

auto JobAgent::RecordStop(TimePoint now) -> void {
  const Duration lease_left = agent_.Stop(now);
  registration_.RecordStop({agent_.ordered_at(), agent_.left_worker()},
                           lease_left);
  log_.Write("agent_stops", {{"lease_left_ms", InMilliseconds(lease_left)},
                             {"left_worker", agent_.left_worker()}});
  SendRegistration(now);
}

auto JobAgent::OnOrders(const std::string& peer, jobs::AgentOrders orders)
    -> void {
  thread_.PostOrWait([this, peer,
                      orders = std::move(orders)](TimePoint now) -> void {
    const uint64_t fence = agent_.fence();
    agent_.OnOrders(now, peer, orders);
    if (agent_.fence() != fence) {
      log_.Write("new_owner",
                 {{"fence", absl::StrCat(agent_.fence())}, {"owner", peer}});
    }
  });
}

auto JobAgent::OnHeartbeat(
    jobs::WorkerHeartbeat heartbeat,
    const std::function<auto(bool accepted)->void>& respond) -> void {
  const bool posted = thread_.Post(
      [this, heartbeat = std::move(heartbeat), respond](TimePoint now) -> void {
        const bool was_draining = agent_.draining();
        const bool accepted = agent_.OnHeartbeat(now, heartbeat);
        if (agent_.draining() && !was_draining) {
          log_.Write("worker_drains", {{"worker", heartbeat.worker_id}});
        }
        respond(accepted);
      });
  if (!posted) {
    respond(false);
  }
}

auto JobAgent::OnLeave(const std::string& worker_id,
                       const std::function<auto(bool accepted)->void>& respond)
    -> void {
  const bool posted =
      thread_.Post([this, worker_id, respond](TimePoint now) -> void {
        log_.Write("worker_leaves", {{"worker", worker_id}});
        agent_.OnLeave(now, worker_id);
        respond(true);
        if (agent_.stopped()) {
          RecordStop(now);
        } else {
          Register(now);
        }
      });
  if (!posted) {
    respond(false);
  }
}

auto JobAgent::Tick(TimePoint now) -> void {
  last_tick_ = now;
  agent_.Tick(now);
  Register(now);
}

auto JobAgent::NextWake() const -> TimePoint {
  return std::min({last_tick_ + kTickInterval, agent_.next_wake(),
                   registration_.next_wake()});
}

auto JobAgent::Register(TimePoint now) -> void {
  const std::string left_worker = agent_.left_worker();
  if (registration_.RegisterIfDue(now, {agent_.ordered_at(), left_worker})) {
    log_.Write("register", {{"endpoint", registration_.link_endpoint()},
                            {"left_worker", left_worker}});
  }
  SendRegistration(now);
}

auto JobAgent::SendRegistration(TimePoint now) -> void {
  auto call = registration_.Next(now);
  if (!call) {
    return;
  }
  OnThread(hooks_.log, &thread_)
      .append(*call,
              [this](TimePoint then, const jobs::AppendResult& result) -> void {
                registration_.OnResult(then, result);
                if (registration_.stop_recorded() &&
                    !std::exchange(stop_reported_, true)) {
                  stop_recorded_.set_value();
                }
              });
}

// Wraps `port` so that its callbacks run on this agent's thread.
auto JobAgent::WorkerOnThread(const jobs::WorkerPort& port)
    -> jobs::WorkerPort {
  const auto call_back =
      [this](const jobs::WorkerPort::OnCall& done) -> jobs::WorkerPort::OnCall {
    return [this, done](TimePoint, jobs::WorkerCallResult result) -> void {
      thread_.PostOrWait(
          [done, result](TimePoint now) -> void { done(now, result); });
    };
  };
  jobs::WorkerPort on_thread;
  on_thread.start = [port, call_back](
                        const jobs::StartCall& call,
                        const jobs::WorkerPort::OnCall& done) -> void {
    port.start(call, call_back(done));
  };
  on_thread.stop = [port, call_back](
                       const jobs::StopCall& call,
                       const jobs::WorkerPort::OnCall& done) -> void {
    port.stop(call, call_back(done));
  };
  on_thread.pace = [port, call_back](
                       const jobs::PaceCall& call,
                       const jobs::WorkerPort::OnCall& done) -> void {
    port.pace(call, call_back(done));
  };
  on_thread.list = [this, port](
                       const jobs::ListCall& call,
                       const jobs::WorkerPort::OnListing& done) -> void {
    port.list(call,
              [this, done](TimePoint, jobs::WorkerListing listing) -> void {
                thread_.PostOrWait([done, listing = std::move(listing)](
                                       TimePoint now) mutable -> void {
                  done(now, std::move(listing));
                });
              });
  };
  return on_thread;
}

auto JobAgent::LogDecision(const jobs::AgentDecision& decision) -> void {
  metrics_->Add(absl::StrCat("rhubarbhaven_worker_", decision.what, "_total"));
  if (decision.what == "lapsed") {
    log_.Warn(decision.what, {{"task", DescribeTask(decision.task)},
                              {"run", absl::StrCat(decision.run)},
                              {"fence", absl::StrCat(agent_.fence())},
                              {"why", decision.why}});
    return;
  }
  if (!decision.ages) {
    log_.Write(decision.what, {{"task", DescribeTask(decision.task)},
                               {"run", absl::StrCat(decision.run)},
                               {"why", decision.why}});
    return;
  }
  const auto& ages = *decision.ages;
  metrics_->RecordLatency("rhubarbhaven_start_age_seconds",
                          ages.since_decision);
  log_.Write(decision.what,
             {{"task", DescribeTask(decision.task)},
              {"run", absl::StrCat(decision.run)},
              {"why", decision.why},
              {"decided_ms", InMilliseconds(ages.since_decision)},
              {"confirmed_ms", InMilliseconds(ages.since_confirmation)},
              {"log_age_ms", InMilliseconds(ages.log)},
              {"at_agent_ms", InMilliseconds(ages.at_agent)}});
}

auto JobAgent::MakeAgentHooks() -> jobs::TaskAgentHooks {
  jobs::TaskAgentHooks hooks;
  hooks.worker = WorkerOnThread(hooks_.worker);
  hooks.read_log = OnThread(hooks_.log, &thread_).read;
  hooks.report = [this](const std::string& peer,
                        jobs::AgentReport report) -> void {
    schema::Envelope envelope;
    *envelope.mutable_agent_report() = std::move(report);
    if (!hooks_.send(peer, std::move(envelope))) {
      metrics_->Add("rhubarbhaven_reports_dropped_total");
    }
  };
  hooks.log = [this](const jobs::AgentDecision& decision) -> void {
    LogDecision(decision);
  };
  hooks.log_worker =
      [this](const jobs::WorkerObservation& observation) -> void {
    metrics_->Add(absl::StrCat("rhubarbhaven_", observation.what, "_total"));
    log_.Write(
        observation.what,
        {{"worker", observation.worker_id},
         {"since_start_ms", InMilliseconds(Clock::now() - started_at_)}});
  };
  return hooks;
}

}  // namespace rhubarbhaven
