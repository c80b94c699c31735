#include "Tests/Soak/fault_injector.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

namespace rhubarbhaven::soak {
namespace {

using jobs::VirtualLog;
using std::chrono::milliseconds;

constexpr milliseconds kLinkDelay{400};
// Exceeds the daemons' time-out for reads.
constexpr milliseconds kReadDelay{1500};
constexpr std::size_t kTrickleBytesPerSecond = 4 << 10;
// How long a slow process runs between two pauses.
constexpr milliseconds kRunTime{10};
constexpr char kReadRequest[] = "GET /rhubarbhaven/log-read";

auto NameOf(const Fault& fault) -> std::string {
  return absl::StrCat(fault.target == Target::kEntry ? "entry-" : "agent-",
                      fault.number);
}

auto ProxyFaultFor(FaultKind kind) -> test::ProxyFault {
  test::ProxyFault fault;
  switch (kind) {
    case FaultKind::kDelayRequests:
      fault.request_delay = kLinkDelay;
      break;
    case FaultKind::kDelayAnswers:
      fault.answer_delay = kLinkDelay;
      break;
    case FaultKind::kDropAnswers:
      fault.drops_answers = true;
      break;
    case FaultKind::kDropReadAnswers:
      fault.drops_answers = true;
      fault.request_prefix = kReadRequest;
      break;
    case FaultKind::kDelayReadAnswers:
      fault.answer_delay = kReadDelay;
      fault.request_prefix = kReadRequest;
      break;
    case FaultKind::kLimitRate:
      fault.bytes_per_second = kTrickleBytesPerSecond;
      break;
    default:
      break;
  }
  return fault;
}

}  // namespace

FaultInjector::FaultInjector(std::vector<Fault> schedule,
                             TimePoint start,
                             Processes* processes,
                             FaultFreePeriods* fault_free)
    : schedule_(std::move(schedule)),
      start_(start),
      processes_(processes),
      fault_free_(fault_free) {}

auto FaultInjector::Step(TimePoint now) -> void {
  while (!active_faults_.empty() && active_faults_.begin()->first <= now) {
    const Fault fault = active_faults_.begin()->second;
    active_faults_.erase(active_faults_.begin());
    if (IsMomentary(fault.kind)) {
      fault_free_->Begin(fault.kind, now);
    }
    End(fault);
    fault_free_->End(fault.kind, Clock::now());
  }
  while (next_ < schedule_.size() && start_ + schedule_[next_].at <= now) {
    const auto fault = Resolve(schedule_[next_++]);
    if (!fault) {
      continue;
    }
    fault_free_->Begin(fault->kind, now);
    Begin(*fault);
    if (IsMomentary(fault->kind)) {
      fault_free_->End(fault->kind, Clock::now());
    }
    active_faults_.emplace(now + fault->duration, *fault);
  }
  StepSlowEntry(now);
}

auto FaultInjector::Resolve(Fault fault) const -> std::optional<Fault> {
  if (!IsMomentary(fault.kind) || fault.target != Target::kOwner) {
    return fault;
  }
  fault.target = Target::kEntry;
  fault.number = processes_->Owner();
  const bool too_many = fault.kind != FaultKind::kGone &&
                        2 * (AffectedEntries() + 1) > processes_->entry_count();
  return IsAffected(fault.number) || too_many ? std::nullopt
                                              : std::optional(fault);
}

auto FaultInjector::IsAffected(int entry) const -> bool {
  return std::any_of(active_faults_.begin(), active_faults_.end(),
                     [entry](const auto& item) -> bool {
                       const Fault& fault = item.second;
                       return IsMomentary(fault.kind) &&
                              fault.target == Target::kEntry &&
                              fault.number == entry;
                     });
}

auto FaultInjector::AffectedEntries() const -> int {
  int count = 0;
  for (int entry = 0; entry < processes_->entry_count(); ++entry) {
    count += IsAffected(entry) ? 1 : 0;
  }
  return count;
}

auto FaultInjector::unreachable_workers() const -> std::set<int> {
  std::set<int> workers;
  for (const auto& [end, fault] : active_faults_) {
    if (LeavesNoRoom(fault)) {
      workers.insert(fault.number);
    }
  }
  return workers;
}

auto FaultInjector::IsDown(const std::string& name) const -> bool {
  const auto found = down_.find(name);
  return found != down_.end() && found->second;
}

auto FaultInjector::Begin(const Fault& fault) -> void {
  switch (fault.target) {
    case Target::kEntry:
    case Target::kAgent:
      BeginAtProcess(fault);
      break;
    case Target::kEntryLink:
    case Target::kAgentLink:
      BeginAtLink(fault);
      break;
    case Target::kLog:
    case Target::kWorker:
      BeginAtPlatform(fault);
      break;
    case Target::kOwner:
      SlowOwner(fault.delay);
      break;
    case Target::kOrderLinks:
      processes_->DelayOrders(fault.delay);
      break;
  }
}

auto FaultInjector::End(const Fault& fault) -> void {
  switch (fault.target) {
    case Target::kEntry:
    case Target::kAgent:
      EndAtProcess(fault);
      break;
    case Target::kEntryLink:
    case Target::kAgentLink:
      LinkOf(fault).SetFault({});
      LinkOf(fault).SetPartitioned(false);
      break;
    case Target::kLog:
      processes_->platform().SetLogMode(VirtualLog::Mode::kServes);
      break;
    case Target::kWorker:
      break;
    case Target::kOwner:
      ResumeSlowEntry();
      break;
    case Target::kOrderLinks:
      processes_->DelayOrders(milliseconds(0));
      break;
  }
}

auto FaultInjector::SlowOwner(milliseconds pause) -> void {
  slow_entry_ = SlowEntry{processes_->Owner(), pause, Clock::now() + pause};
  processes_->entry(slow_entry_->number).Freeze();
}

auto FaultInjector::StepSlowEntry(TimePoint now) -> void {
  if (!slow_entry_ || now < slow_entry_->runs_at) {
    return;
  }
  auto& process = processes_->entry(slow_entry_->number);
  process.Resume();
  std::this_thread::sleep_for(kRunTime);
  process.Freeze();
  slow_entry_->runs_at = Clock::now() + slow_entry_->pause;
}

auto FaultInjector::ResumeSlowEntry() -> void {
  processes_->entry(slow_entry_->number).Resume();
  slow_entry_.reset();
}

auto FaultInjector::BeginAtProcess(const Fault& fault) -> void {
  auto& process = ProcessOf(fault);
  switch (fault.kind) {
    case FaultKind::kKill:
    case FaultKind::kGone:
    case FaultKind::kAbsent:
      down_[NameOf(fault)] = true;
      process.Kill();
      break;
    case FaultKind::kFreeze:
    case FaultKind::kSilent:
      process.Freeze();
      break;
    case FaultKind::kCutOff:
      processes_->CutOffFromAgents(fault.number, test::CutOff::kBlackholed);
      break;
    case FaultKind::kCutOffReset:
      processes_->CutOffFromAgents(fault.number, test::CutOff::kReset);
      break;
    case FaultKind::kStop:
      down_[NameOf(fault)] = true;
      process.Signal(SIGTERM);
      break;
    default:
      process.Signal(SIGHUP);
      break;
  }
}

auto FaultInjector::EndAtProcess(const Fault& fault) -> void {
  switch (fault.kind) {
    case FaultKind::kFreeze:
    case FaultKind::kSilent:
      ProcessOf(fault).Resume();
      break;
    case FaultKind::kCutOff:
    case FaultKind::kCutOffReset:
      processes_->CutOffFromAgents(fault.number, test::CutOff::kNone);
      break;
    default:
      break;
  }
  if (!IsDown(NameOf(fault))) {
    return;
  }
  ProcessOf(fault).Kill();
  if (fault.target == Target::kEntry) {
    processes_->StartEntry(fault.number);
  } else {
    processes_->StartAgent(fault.number);
  }
  down_[NameOf(fault)] = false;
}

auto FaultInjector::BeginAtLink(const Fault& fault) -> void {
  auto& link = LinkOf(fault);
  switch (fault.kind) {
    case FaultKind::kBlackholeOpen:
      link.BlackholeOpenConnections();
      break;
    case FaultKind::kPartition:
      link.SetPartitioned(true);
      break;
    case FaultKind::kReset:
      link.ResetOpenConnections();
      break;
    default:
      link.SetFault(ProxyFaultFor(fault.kind));
      break;
  }
}

auto FaultInjector::BeginAtPlatform(const Fault& fault) -> void {
  auto& platform = processes_->platform();
  switch (fault.kind) {
    case FaultKind::kLogRefuses:
      platform.SetLogMode(VirtualLog::Mode::kRejects);
      break;
    case FaultKind::kLogSilent:
      platform.SetLogMode(VirtualLog::Mode::kUnresponsive);
      break;
    case FaultKind::kLogReadsSilent:
      platform.SetLogMode(VirtualLog::Mode::kReadsUnanswered);
      break;
    case FaultKind::kLogForgets:
      platform.CompactLog();
      break;
    default:
      platform.CrashWorker(fault.number);
      break;
  }
}

auto FaultInjector::LinkOf(const Fault& fault) -> test::FaultProxy& {
  return fault.target == Target::kEntryLink
             ? processes_->entry_link(fault.number)
             : processes_->agent_link(fault.number);
}

auto FaultInjector::ProcessOf(const Fault& fault) -> test::ChildProcess& {
  return fault.target == Target::kEntry ? processes_->entry(fault.number)
                                        : processes_->agent(fault.number);
}

}  // namespace rhubarbhaven::soak
