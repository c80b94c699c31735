#include "Jobs/agent_registration.h"

#include <absl/strings/str_cat.h>

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
  AgentEntry entry;
  entry.set_name(options_.name);
  entry.set_link_endpoint(options_.link_endpoint);
  entry.set_incarnation(options_.incarnation);
  entry.set_left_worker_id(situation.left_worker_id);
  appends_.Enqueue(kTicket,
                   {MakeRecord(RecordKind::kAgent, options_.name, entry)});
  return true;
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
  if (!appends_.idle()) {
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
