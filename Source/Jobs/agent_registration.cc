#include "Jobs/agent_registration.h"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

constexpr uint64_t kTicket = 1;

auto AppendOptions(const AgentRegistrationOptions& options)
    -> AppendBatcherOptions {
  AppendBatcherOptions appends;
  appends.producer =
      absl::StrCat("agent-", options.name, "-", options.incarnation);
  return appends;
}

}  // namespace

AgentRegistration::AgentRegistration(AgentRegistrationOptions options)
    : options_(std::move(options)), appends_(AppendOptions(options_)) {}

auto AgentRegistration::RegisterIfDue(TimePoint now,
                                      const RegistrationState& situation)
    -> bool {
  if (!IsDue(now, situation)) {
    return false;
  }
  registered_at_ = now;
  left_worker_written_ = situation.left_worker_id;
  Write(MakeEntry(situation));
  return true;
}

auto AgentRegistration::RecordStop(const RegistrationState& state,
                                   Duration lease_left) -> void {
  stopped_ = true;
  AgentEntry entry = MakeEntry(state);
  entry.mutable_stop()->set_lease_left_ms(static_cast<uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(lease_left).count()));
  Write(entry);
}

auto AgentRegistration::MakeEntry(const RegistrationState& state) const
    -> AgentEntry {
  AgentEntry entry;
  entry.set_name(options_.name);
  entry.set_link_endpoint(options_.link_endpoint);
  entry.set_incarnation(options_.incarnation);
  entry.set_left_worker_id(state.left_worker_id);
  return entry;
}

auto AgentRegistration::Write(const AgentEntry& entry) -> void {
  appends_.Enqueue(kTicket,
                   {MakeRecord(RecordKind::kAgent, options_.name, entry)});
}

auto AgentRegistration::Next(TimePoint now) -> std::optional<AppendCall> {
  return appends_.Next(now);
}

auto AgentRegistration::OnResult(TimePoint now, const AppendResult& result)
    -> void {
  appends_.OnResult(now, result);
}

auto AgentRegistration::IsDue(TimePoint now,
                              const RegistrationState& situation) const
    -> bool {
  if (stopped_ || !appends_.idle()) {
    return false;
  }
  if (!situation.left_worker_id.empty() &&
      situation.left_worker_id != left_worker_written_) {
    return true;
  }
  const bool ordered = situation.ordered_at != TimePoint() &&
                       now - situation.ordered_at <= options_.reregister_after;
  const bool registered = registered_at_ != TimePoint() &&
                          now - registered_at_ < options_.min_interval;
  return !ordered && !registered;
}

}  // namespace rhubarbhaven::jobs
