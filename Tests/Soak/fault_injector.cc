#include "Tests/Soak/fault_injector.h"

#include <absl/strings/str_cat.h>

#include <csignal>
#include <utility>

namespace rhubarbhaven::soak {
namespace {

using jobs::VirtualLog;
using std::chrono::milliseconds;

constexpr milliseconds kLinkDelay{400};
// Longer than a read may take by the daemons' own limits.
constexpr milliseconds kReadDelay{1500};
constexpr std::size_t kFewBytesPerSecond = 4 << 10;
constexpr char kReadRequest[] = "GET /rhubarbhaven/log-read";

auto NameOf(const Fault& fault) -> std::string {
  return absl::StrCat(fault.subject == Subject::kEntry ? "entry-" : "agent-",
                      fault.number);
}

auto RelayFaultOf(FaultKind kind) -> test::RelayFault {
  test::RelayFault fault;
  switch (kind) {
    case FaultKind::kDelayRequests:
      fault.request_delay = kLinkDelay;
      break;
    case FaultKind::kDelayAnswers:
      fault.answer_delay = kLinkDelay;
      break;
    case FaultKind::kAnswersVanish:
      fault.drops_answers = true;
      break;
    case FaultKind::kReadsVanish:
      fault.drops_answers = true;
      fault.only = kReadRequest;
      break;
    case FaultKind::kReadsSlow:
      fault.answer_delay = kReadDelay;
      fault.only = kReadRequest;
      break;
    case FaultKind::kTrickle:
      fault.bytes_per_second = kFewBytesPerSecond;
      break;
    default:
      break;
  }
  return fault;
}

}  // namespace

auto Calm::Begin(TimePoint now) -> void {
  const std::lock_guard lock(mutex_);
  ++active_;
  since_ = now;
}

auto Calm::End(TimePoint now) -> void {
  const std::lock_guard lock(mutex_);
  --active_;
  since_ = now;
}

auto Calm::since() const -> std::optional<TimePoint> {
  const std::lock_guard lock(mutex_);
  return active_ > 0 ? std::nullopt : std::optional(since_);
}

auto Calm::LastedFor(Duration span, TimePoint now) const -> bool {
  const auto begin = since();
  return begin && now - *begin >= span;
}

FaultInjector::FaultInjector(std::vector<Fault> schedule,
                             TimePoint start,
                             Processes* processes,
                             Calm* calm)
    : schedule_(std::move(schedule)),
      start_(start),
      processes_(processes),
      calm_(calm) {}

auto FaultInjector::Step(TimePoint now) -> void {
  while (!lasting_.empty() && lasting_.begin()->first <= now) {
    const Fault fault = lasting_.begin()->second;
    lasting_.erase(lasting_.begin());
    End(fault);
    calm_->End(Clock::now());
  }
  while (next_ < schedule_.size() && start_ + schedule_[next_].at <= now) {
    const Fault& fault = schedule_[next_++];
    calm_->Begin(now);
    Begin(fault);
    lasting_.emplace(now + fault.lasts, fault);
  }
}

auto FaultInjector::IsDown(const std::string& name) const -> bool {
  const auto found = down_.find(name);
  return found != down_.end() && found->second;
}

auto FaultInjector::Begin(const Fault& fault) -> void {
  switch (fault.subject) {
    case Subject::kEntry:
    case Subject::kAgent:
      BeginAtProcess(fault);
      break;
    case Subject::kEntryLink:
    case Subject::kAgentLink:
      BeginAtLink(fault);
      break;
    case Subject::kLog:
    case Subject::kWorker:
      BeginAtPlatform(fault);
      break;
  }
}

auto FaultInjector::End(const Fault& fault) -> void {
  switch (fault.subject) {
    case Subject::kEntry:
    case Subject::kAgent:
      EndAtProcess(fault);
      break;
    case Subject::kEntryLink:
    case Subject::kAgentLink:
      LinkOf(fault).SetFault({});
      LinkOf(fault).Cut(false);
      break;
    case Subject::kLog:
      processes_->platform().SetLogMode(VirtualLog::Mode::kServes);
      break;
    case Subject::kWorker:
      break;
  }
}

auto FaultInjector::BeginAtProcess(const Fault& fault) -> void {
  auto& process = ProcessOf(fault);
  switch (fault.kind) {
    case FaultKind::kKill:
      down_[NameOf(fault)] = true;
      process.Kill();
      break;
    case FaultKind::kFreeze:
      process.Freeze();
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
  if (fault.kind == FaultKind::kFreeze) {
    ProcessOf(fault).Wake();
  }
  if (!IsDown(NameOf(fault))) {
    return;
  }
  ProcessOf(fault).Kill();
  if (fault.subject == Subject::kEntry) {
    processes_->StartEntry(fault.number);
  } else {
    processes_->StartAgent(fault.number);
  }
  down_[NameOf(fault)] = false;
}

auto FaultInjector::BeginAtLink(const Fault& fault) -> void {
  auto& link = LinkOf(fault);
  switch (fault.kind) {
    case FaultKind::kSilenceOpen:
      link.SilenceOpenConnections();
      break;
    case FaultKind::kCut:
      link.Cut(true);
      break;
    case FaultKind::kReset:
      link.ResetOpenConnections();
      break;
    default:
      link.SetFault(RelayFaultOf(fault.kind));
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

auto FaultInjector::LinkOf(const Fault& fault) -> test::SilentRelay& {
  return fault.subject == Subject::kEntryLink
             ? processes_->entry_link(fault.number)
             : processes_->agent_link(fault.number);
}

auto FaultInjector::ProcessOf(const Fault& fault) -> test::ChildProcess& {
  return fault.subject == Subject::kEntry ? processes_->entry(fault.number)
                                          : processes_->agent(fault.number);
}

}  // namespace rhubarbhaven::soak
