#include "Tests/Routing/fake_cluster.h"

#include <absl/strings/str_cat.h>

namespace rhubarbhaven {

FakeCluster::FakeCluster(ClusterOptions options)
    : options_(std::move(options)),
      entries_(options_.entries),
      agents_(options_.agents) {
  schema::VersionedObject service;
  service.mutable_key()->set_partner(kPartner);
  service.mutable_key()->set_kind("service");
  service.mutable_key()->set_name(kService);
  service.mutable_object()->mutable_service()->set_name(kService);
  services_.push_back(service);
  for (int entry = 0; entry < options_.entries; ++entry) {
    StartEntry(entry);
  }
  for (int agent = 0; agent < options_.agents; ++agent) {
    StartAgent(agent);
  }
}

auto FakeCluster::EntryName(int entry) -> std::string {
  return absl::StrCat("entry-", entry);
}

auto FakeCluster::AgentName(int agent) -> std::string {
  return absl::StrCat("agent-", agent);
}

auto FakeCluster::At(TimePoint time, std::function<auto()->void> what) -> void {
  events_.push({std::max(time, now_), ++last_event_, std::move(what)});
}

auto FakeCluster::After(Duration delay, std::function<auto()->void> what)
    -> void {
  At(now_ + delay, std::move(what));
}

auto FakeCluster::RunFor(Duration time) -> void {
  const TimePoint end = now_ + time;
  while (!events_.empty() && events_.top().time <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    event.what();
  }
  now_ = end;
}

auto FakeCluster::Submit(int entry,
                         const CallerRequest& request,
                         const OnReply& on_reply) -> void {
  Deliver(entries_[entry], [this, entry, request, on_reply] {
    callers_[{entries_[entry].incarnation, request.ticket}] = on_reply;
    Execute(entry, entries_[entry].logic->OnRequest(now_, request));
  });
}

auto FakeCluster::DisconnectCaller(int entry, uint64_t ticket) -> void {
  Deliver(entries_[entry], [this, entry, ticket] {
    callers_.erase({entries_[entry].incarnation, ticket});
    Execute(entry, entries_[entry].logic->OnCallerDisconnected(now_, ticket));
  });
}

auto FakeCluster::KillEntry(int entry) -> void {
  entries_[entry] = {};
}

auto FakeCluster::StartEntry(int entry) -> void {
  auto& process = entries_[entry];
  process = {};
  process.incarnation = ++last_incarnation_;
  sequences_[entry] = 0;
  read_[entry] = 0;
  RouterOptions options = options_.router;
  options.entry_id = EntryName(entry);
  options.entry_incarnation = process.incarnation;
  options.failure_domain =
      absl::StrCat("domain-", entry % options_.failure_domains);
  options.seed = options_.seed * 1000 + process.incarnation;
  process.logic = std::make_unique<EntryRouter>(options);
  ConfigureEntry(entry);
  if (log_up_) {
    ReadLog(entry);
    Execute(entry, process.logic->OnIdempotencyStream(now_, true));
  }
}

auto FakeCluster::ConfigureEntry(int entry) -> void {
  Execute(entry, entries_[entry].logic->SetServices(now_, services_));
}

auto FakeCluster::KillAgent(int agent) -> void {
  agents_[agent] = {};
}

auto FakeCluster::StartAgent(int agent) -> void {
  auto& process = agents_[agent];
  process = {};
  process.incarnation = ++last_incarnation_;
  AdmissionOptions options = options_.admission;
  options.agent_id = AgentName(agent);
  options.incarnation = process.incarnation;
  process.logic = std::make_unique<AgentAdmission>(options);
  schema::Announce identity;
  identity.set_instance(absl::StrCat("instance-", agent));
  identity.set_partner(kPartner);
  identity.set_service(kService);
  identity.set_failure_domain(
      absl::StrCat("domain-", agent % options_.failure_domains));
  process.logic->SetIdentity(identity);
  std::vector<std::string> names;
  names.reserve(options_.entries);
  for (int entry = 0; entry < options_.entries; ++entry) {
    names.push_back(EntryName(entry));
  }
  Execute(agent, process.logic->SetEntries(now_, names));
}

auto FakeCluster::Leave(int agent) -> void {
  Deliver(agents_[agent],
          [this, agent] { Execute(agent, agents_[agent].logic->Leave(now_)); });
}

auto FakeCluster::SetLogUp(bool up) -> void {
  log_up_ = up;
  for (int entry = 0; entry < options_.entries; ++entry) {
    Deliver(entries_[entry], [this, entry, up] {
      ReadLog(entry);
      Execute(entry, entries_[entry].logic->OnIdempotencyStream(now_, up));
    });
  }
}

template <typename Logic>
auto FakeCluster::Deliver(Process<Logic>& process,
                          std::function<auto()->void> what) -> void {
  if (process.logic == nullptr) {
    return;
  }
  if (process.stopped) {
    process.inbox.push_back(std::move(what));
    return;
  }
  what();
}

template <typename Logic>
auto FakeCluster::Continue(Process<Logic>& process) -> void {
  process.stopped = false;
  for (const auto& what : std::exchange(process.inbox, {})) {
    Deliver(process, what);
  }
}

auto FakeCluster::ContinueEntry(int entry) -> void {
  Continue(entries_[entry]);
}

auto FakeCluster::ContinueAgent(int agent) -> void {
  Continue(agents_[agent]);
}

template <typename Logic, typename OnTicked>
auto FakeCluster::ScheduleTick(Process<Logic>& process, OnTicked perform)
    -> void {
  const TimePoint next = process.logic->next_wake();
  if (next >= process.wake) {
    return;
  }
  process.wake = next;
  const uint64_t incarnation = process.incarnation;
  At(next, [this, &process, incarnation, next, perform] {
    if (process.incarnation != incarnation || process.wake != next) {
      return;
    }
    Deliver(process, [this, &process, perform] {
      process.wake = TimePoint::max();
      perform(process.logic->OnTick(now_));
    });
  });
}

auto FakeCluster::Execute(int entry, RouterActions actions) -> void {
  const uint64_t incarnation = entries_[entry].incarnation;
  for (RouterAction& action : actions) {
    if (auto* reply = std::get_if<CallerReply>(&action)) {
      const auto found = callers_.find({incarnation, reply->ticket});
      if (found != callers_.end()) {
        found->second(*reply);
      }
    } else if (auto* send = std::get_if<SendToAgent>(&action)) {
      const int agent = std::stoi(send->agent.substr(sizeof("agent-") - 1));
      Post(
          EntryName(entry), send->agent, Delay(entry, agent), send->message,
          [this, entry, agent](const schema::Envelope& message) {
            Deliver(agents_[agent], [this, entry, agent, message] {
              Execute(agent, agents_[agent].logic->OnMessage(
                                 now_, EntryName(entry), message));
            });
          },
          [this, entry, agent](const schema::Envelope& message) {
            Deliver(entries_[entry], [this, entry, agent, message] {
              Execute(entry, entries_[entry].logic->OnUnsent(
                                 now_, AgentName(agent), message));
            });
          });
    } else if (auto* append = std::get_if<AppendIdempotencyEntry>(&action)) {
      Append(entry, append->entry);
    } else if (options_.on_count) {
      options_.on_count(std::get<CountReason>(action));
    }
  }
  ScheduleTick(entries_[entry], [this, entry](RouterActions more) {
    Execute(entry, std::move(more));
  });
}

auto FakeCluster::Execute(int agent, AdmissionActions actions) -> void {
  for (AdmissionAction& action : actions) {
    if (auto* call = std::get_if<CallEndpoint>(&action)) {
      Call(agent, *call);
    } else if (auto* send = std::get_if<SendToEntry>(&action)) {
      const int entry = std::stoi(send->entry.substr(sizeof("entry-") - 1));
      Post(
          AgentName(agent), send->entry, Delay(entry, agent), send->message,
          [this, entry, agent](const schema::Envelope& message) {
            Deliver(entries_[entry], [this, entry, agent, message] {
              Execute(entry, entries_[entry].logic->OnMessage(
                                 now_, AgentName(agent), message));
            });
          },
          nullptr);
    } else if (options_.on_agent_count) {
      options_.on_agent_count(std::get<CountRejection>(action).reason);
    }
  }
  ScheduleTick(agents_[agent], [this, agent](AdmissionActions more) {
    Execute(agent, std::move(more));
  });
}

auto FakeCluster::Post(
    const std::string& from,
    const std::string& to,
    Duration delay,
    const schema::Envelope& message,
    const std::function<auto(const schema::Envelope&)->void>& arrive,
    const std::function<auto(const schema::Envelope&)->void>& unsent) -> void {
  const Delivery delivery =
      options_.network ? options_.network(from, to, message) : Delivery();
  if (delivery.unsent && unsent) {
    After(delay, [message, unsent] { unsent(message); });
    return;
  }
  for (int copy = 0; copy < delivery.copies; ++copy) {
    After(delay + (1 + copy) * delivery.extra_delay,
          [message, arrive] { arrive(message); });
  }
}

auto FakeCluster::Delay(int entry, int agent) const -> Duration {
  const int domains = options_.failure_domains;
  return entry % domains == agent % domains ? options_.in_domain
                                            : options_.between_domains;
}

auto FakeCluster::Append(int entry, const schema::LogEntry& appended) -> void {
  const uint64_t incarnation = entries_[entry].incarnation;
  if (!log_up_) {
    After(options_.log_delay, [this, entry, incarnation, appended] {
      if (entries_[entry].incarnation == incarnation) {
        Deliver(entries_[entry], [this, entry, appended] {
          Execute(entry, entries_[entry].logic->OnAppendFailed(now_, appended));
        });
      }
    });
    return;
  }
  schema::LogRecord record;
  record.set_writer(EntryName(entry));
  record.set_incarnation(incarnation);
  record.set_sequence(++sequences_[entry]);
  *record.add_entries() = appended;
  After(options_.log_delay, [this, record] { AddToLog(record); });
  if (options_.append_twice && options_.append_twice()) {
    After(10 * options_.log_delay, [this, record] { AddToLog(record); });
  }
}

auto FakeCluster::AddToLog(const schema::LogRecord& record) -> void {
  log_.push_back(record);
  for (int entry = 0; entry < options_.entries; ++entry) {
    const uint64_t incarnation = entries_[entry].incarnation;
    After(options_.log_delay, [this, entry, incarnation] {
      if (entries_[entry].incarnation == incarnation) {
        Deliver(entries_[entry], [this, entry] { ReadLog(entry); });
      }
    });
  }
}

auto FakeCluster::ReadLog(int entry) -> void {
  while (log_up_ && read_[entry] < log_.size()) {
    const schema::LogRecord& record = log_[read_[entry]++];
    Execute(entry, entries_[entry].logic->OnIdempotencyRecord(
                       now_, read_[entry], record));
  }
}

auto FakeCluster::Call(int agent, const CallEndpoint& call) -> void {
  if (options_.on_run) {
    options_.on_run(agent, call);
  }
  const EndpointResponse response =
      options_.endpoint ? options_.endpoint(agent, call) : EndpointResponse();
  const uint64_t incarnation = agents_[agent].incarnation;
  EndpointOutcome outcome;
  outcome.attempt_id = call.attempt_id;
  outcome.verdict = response.verdict;
  outcome.reason = response.reason;
  outcome.service_time = std::chrono::duration_cast<std::chrono::microseconds>(
      response.response_time);
  outcome.http.set_status(response.status);
  outcome.http.set_body(call.request_id);
  After(response.response_time, [this, agent, incarnation, outcome] {
    if (agents_[agent].incarnation != incarnation) {
      return;
    }
    Deliver(agents_[agent], [this, agent, outcome] {
      Execute(agent, agents_[agent].logic->OnEndpointAnswer(now_, outcome));
    });
  });
}

}  // namespace rhubarbhaven
