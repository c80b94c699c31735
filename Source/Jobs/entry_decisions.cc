#include "Jobs/entry_decisions.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// An entry is not ready if its read of the log has not been answered for this
// long. A read waits up to one second for a record, and the rest is for
// transmission.
constexpr std::chrono::milliseconds kReadyReadAge{2500};
// Maximum interval between two checks of the election and the readiness.
constexpr std::chrono::milliseconds kMaxTickInterval{100};

// The configuration is confirmed this many times within its bound, so that a
// call without an answer does not reject submissions.
constexpr int kConfirmationsPerBound = 4;

auto CallerAppendOptions(const EntryOptions& options) -> AppendBatcherOptions {
  AppendBatcherOptions appends;
  appends.producer =
      absl::StrCat("entry-", options.name, "-", options.incarnation);
  appends.settle_rejected = true;
  appends.max_bytes =
      std::min(appends.max_bytes, options.limits.log.call_bytes);
  appends.link_bytes_per_second = LinkBytesPerSecond(options.limits.link_mbps);
  return appends;
}

auto ElectionOptions(const EntryOptions& options) -> OwnerElectionOptions {
  OwnerElectionOptions election;
  election.name = options.name;
  election.incarnation = options.incarnation;
  election.lease = JobOwnerOptions().LongestLease();
  return election;
}

auto OwnerOptions(const EntryOptions& options) -> JobOwnerOptions {
  JobOwnerOptions owner;
  owner.incarnation = options.incarnation;
  owner.link_mbps = options.limits.link_mbps;
  owner.log_limits = options.limits.log;
  return owner;
}

auto FollowerOptions(LogTopic topic, const EntryLimits& limits)
    -> KeyedLogFollowerOptions {
  KeyedLogFollowerOptions options;
  options.topic = topic;
  options.newest_only = topic == LogTopic::kOperators;
  if (limits.link_mbps > 0) {
    const std::size_t bytes = OrderWindowFor(limits.link_mbps).total_bytes;
    options.max_bytes = std::clamp(bytes, options.min_bytes, options.max_bytes);
  }
  return options;
}

}  // namespace

EntryDecisions::EntryDecisions(EntryOptions options,
                               EntryHooks hooks,
                               Metrics* metrics)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      log_("jobs"),
      fold_(hooks_.is_link_endpoint),
      agent_stops_(OwnerOptions(options_).clock_drift),
      election_(ElectionOptions(options_)),
      owner_(OwnerOptions(options_), MakeOwnerHooks()),
      job_follower_(FollowerOptions(LogTopic::kJobs, options_.limits),
                    hooks_.log,
                    FollowerHooksFor(LogTopic::kJobs)),
      operator_follower_(FollowerOptions(LogTopic::kOperators, options_.limits),
                         hooks_.log,
                         FollowerHooksFor(LogTopic::kOperators)),
      job_barrier_({LogTopic::kJobs, hooks_.log.newest,
                    [this]() -> std::optional<uint64_t> {
                      return job_follower_.read_to();
                    },
                    [this](TimePoint now) -> void {
                      job_follower_.ResumeReading(now);
                    }}),
      operator_barrier_({LogTopic::kOperators, hooks_.log.newest,
                         [this]() -> std::optional<uint64_t> {
                           return operator_follower_.read_to();
                         },
                         [this](TimePoint now) -> void {
                           operator_follower_.ResumeReading(now);
                         }}),
      caller_appends_(CallerAppendOptions(options_)) {}

EntryDecisions::~EntryDecisions() = default;

auto EntryDecisions::Start(TimePoint now) -> void {
  job_follower_.Start(now);
  operator_follower_.Start(now);
}

auto EntryDecisions::Call(TimePoint now,
                          JobCall call,
                          const JobResponder& respond) -> void {
  Handle(now, std::move(call), respond);
  SendAppends(now);
}

auto EntryDecisions::OnReport(TimePoint now,
                              const std::string& agent,
                              AgentReport report) -> void {
  metrics_->Add("rhubarbhaven_agent_reports_total");
  if (!queues_.MayUseService(report.service())) {
    // A worker of a service that is not configured gets no tasks, not even of a
    // job whose queue named that service earlier. Its running tasks and task
    // ends still count.
    report.clear_service();
  }
  if (!owner_.OnReport(now, agent, report)) {
    Resign(absl::StrCat("agent ", agent, " has seen fence ", report.fence()));
  }
}

auto EntryDecisions::Tick(TimePoint now) -> void {
  last_tick_ = now;
  ticks_.OnEvent(now);
  while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
    const auto job = std::move(scheduled_.begin()->second);
    scheduled_.erase(scheduled_.begin());
    job(now);
  }
  if (owner_.active() && !election_.owner(now)) {
    Resign("the claim was not verified in time or was lost");
  }
  if (!reaches_no_agent_ && owner_.ReachesNoAgent(now)) {
    election_.RenewAtOnce(now);
  }
  ClaimIfDue(now);
  // A renewal goes out before the starts of this tick, which may keep the link
  // busy for the time of a window.
  SendAppends(now);
  owner_.Tick(now);
  job_barrier_.Tick(now);
  operator_barrier_.Tick(now);
  if (now >= next_confirmation_) {
    ConfirmConfiguration(now);
  }
  LogConfirmation(now);
  LogConfigurationWait(now);
  LogTransfers(now);
  ExpireSubmissions(now);
  UpdateReady(now);
  SendAppends(now);
}

auto EntryDecisions::next_wake() const -> TimePoint {
  TimePoint wake = last_tick_ + kMaxTickInterval;
  if (!scheduled_.empty()) {
    wake = std::min(wake, scheduled_.begin()->first);
  }
  wake = std::min({wake, owner_.next_wake(), caller_appends_.next_wake(),
                   job_barrier_.next_wake(), operator_barrier_.next_wake()});
  if (owner_appends_ != nullptr) {
    wake = std::min(wake, owner_appends_->next_wake());
  }
  return wake;
}

auto EntryDecisions::FollowerHooksFor(LogTopic topic) -> KeyedLogFollowerHooks {
  const bool is_jobs = topic == LogTopic::kJobs;
  KeyedLogFollowerHooks hooks;
  hooks.schedule = [this](TimePoint when,
                          std::function<auto(TimePoint)->void> job) -> void {
    scheduled_.emplace(when, std::move(job));
  };
  hooks.on_record = [this, is_jobs](TimePoint now,
                                    const KeyedRecord& record) -> void {
    if (is_jobs) {
      OnJobRecord(now, record);
    } else {
      OnOperatorRecord(record);
    }
  };
  hooks.on_restart = [this, is_jobs]() -> void {
    if (is_jobs) {
      fold_current_ = false;
      owner_.OnReread();
    }
  };
  hooks.on_key_removed = [this, is_jobs](TimePoint now,
                                         const std::string& key) -> void {
    if (is_jobs) {
      OnJobRecord(now, {key, "", 0});
    } else {
      OnOperatorRecord({key, "", 0});
    }
  };
  hooks.on_caught_up = [this, is_jobs](TimePoint now, TimePoint as_of) -> void {
    if (is_jobs) {
      OnCaughtUp(now, as_of);
    } else {
      OnOperatorsCaughtUp(now);
    }
  };
  if (is_jobs) {
    hooks.read_wait =
        [this](std::chrono::milliseconds longest) -> std::chrono::milliseconds {
      return election_.ReadWait(longest);
    };
    hooks.pause = [this]() -> std::chrono::milliseconds { return ReadPause(); };
  }
  if (!is_jobs) {
    hooks.on_newest_complete = [this](TimePoint as_of) -> void {
      configuration_as_of_ = std::max(configuration_as_of_, as_of);
    };
  }
  hooks.on_call = [this, topic](TimePoint now,
                                const FollowerCall& call) -> void {
    LogFollowerCall(now, topic, call);
  };
  hooks.on_reachable = [this, is_jobs](const std::string& error) -> void {
    log_.Write(error.empty() ? "log_found" : "log_lost",
               {{"topic", is_jobs ? "jobs" : "operators"}, {"why", error}});
  };
  return hooks;
}

auto EntryDecisions::OnJobRecord(TimePoint now, const KeyedRecord& record)
    -> void {
  const uint64_t claim_before = fold_.claim_at();
  const bool any_before = fold_.claim().fence() != 0;
  const auto change = fold_.Apply(record);
  if (!change.skipped_reason.empty()) {
    NoteSkippedRecord(now, record, change.skipped_reason);
  }
  // If the newest claim was only re-read, it is no evidence that the owner is
  // alive.
  const bool is_new = !any_before || fold_.claim_at() != claim_before;
  if (change.kind == RecordKind::kClaim && is_new) {
    if (!fold_current_) {
      election_.OnReread(now);
    }
    election_.OnClaimRead(now, fold_.claim());
    if (owner_.active() && !election_.owner(now)) {
      Resign("another entry has claimed the cell");
    }
  }
  if (change.kind == RecordKind::kResignation) {
    OnResignationRead(now, change.name);
  }
  if (change.kind == RecordKind::kAgent) {
    const auto entry = fold_.agents().find(change.name);
    agent_stops_.OnEntry(
        now, change.name,
        entry == fold_.agents().end() ? nullptr : &entry->second);
  }
  owner_.OnChange(now, change);
}

auto EntryDecisions::NoteSkippedRecord(TimePoint now,
                                       const KeyedRecord& record,
                                       const std::string& why) -> void {
  metrics_->Add("rhubarbhaven_records_passed_over_total");
  // The record may be re-read many times while it is in the log.
  if (skipped_records_.ShouldLog(now, record.key, why)) {
    log_.Write("record_passed_over", {{"key", SanitizeForLog(record.key)},
                                      {"offset", absl::StrCat(record.offset)},
                                      {"why", SanitizeForLog(why)}});
  }
}

auto EntryDecisions::OnOperatorRecord(const KeyedRecord& record) -> void {
  if (const auto domain = hooks_.evacuated_domain(record.key)) {
    OnEvacuation(*domain, !record.value.empty());
    return;
  }
  auto configuration = hooks_.read_configuration(record);
  if (!configuration) {
    return;
  }
  const uint64_t version = configuration->version;
  if (queues_.Adopt(*std::move(configuration))) {
    log_.Write("configuration", {{"version", absl::StrCat(version)},
                                 {"offset", absl::StrCat(record.offset)}});
    owner_.OnRules();
  }
}

auto EntryDecisions::OnEvacuation(const std::string& failure_domain,
                                  bool in_force) -> void {
  const bool changed = in_force
                           ? evacuated_domains_.insert(failure_domain).second
                           : evacuated_domains_.erase(failure_domain) > 0;
  if (!changed) {
    return;
  }
  metrics_->SetGauge("rhubarbhaven_evacuated_domains",
                     static_cast<double>(evacuated_domains_.size()));
  log_.Write(in_force ? "evacuate" : "evacuate_over",
             {{"failure_domain", SanitizeForLog(failure_domain)}});
  owner_.OnEvacuations();
}

auto EntryDecisions::OnCaughtUp(TimePoint now, TimePoint as_of) -> void {
  fold_current_ = true;
  election_.OnCaughtUp(now, as_of);
  log_position_ = {election_.read_as_of(),
                   job_follower_.read_to().value_or(log_position_.read_to)};
  if (!has_caught_up_) {
    // The previous process of this entry may have been the owner under an
    // earlier claim.
    has_caught_up_ = true;
    const auto& claim = fold_.claim();
    resigned_fence_ = claim.owner() == options_.name ? 0 : claim.fence();
  }
  BecomeOwnerIfClaimed(now);
  job_barrier_.OnReadTo(now);
  UpdateReady(now);
  SendAppends(now);
}

auto EntryDecisions::OnOperatorsCaughtUp(TimePoint now) -> void {
  operator_barrier_.OnReadTo(now);
  if (!ConfigurationConfirmed(now)) {
    ConfirmConfiguration(now);
  }
}

auto EntryDecisions::ConfirmConfiguration(TimePoint now) -> void {
  next_confirmation_ =
      now + options_.configuration_bound / kConfirmationsPerBound;
  operator_barrier_.Await(
      now, now + options_.configuration_bound,
      [this, requested_at = now](TimePoint, bool current) -> void {
        if (current) {
          configuration_as_of_ = std::max(configuration_as_of_, requested_at);
        }
      });
}

auto EntryDecisions::ReadsOperators(TimePoint now) const -> bool {
  return operator_follower_.CaughtUpWithin(now, kCurrentReadAge) ||
         (operator_follower_.transfer() &&
          operator_follower_.CaughtUpWithin(now, kMaxTransferAge));
}

auto EntryDecisions::ConfigurationConfirmed(TimePoint now) const -> bool {
  return configuration_as_of_ != TimePoint() &&
         ConfigurationAge(now) < options_.configuration_bound;
}

auto EntryDecisions::ReceivesFromLog() const -> bool {
  return job_follower_.transfer() || operator_follower_.transfer();
}

auto EntryDecisions::SendAppends(TimePoint now) -> void {
  SendCallerBatch(now);
  SendOwnerBatch(now);
}

auto EntryDecisions::SendCallerBatch(TimePoint now) -> void {
  WriteResignation(now);
  auto call = caller_appends_.Next(now, ReceivesFromLog());
  if (!call) {
    return;
  }
  hooks_.log.append(*call,
                    [this](TimePoint then, const AppendResult& result) -> void {
                      OnCallerBatch(then, result);
                      SendAppends(then);
                    });
}

auto EntryDecisions::OnCallerBatch(TimePoint now, const AppendResult& result)
    -> void {
  if (result.outcome != AppendOutcome::kAppended) {
    metrics_->Add("rhubarbhaven_append_failures_total");
  }
  auto settled = caller_appends_.OnResult(now, result);
  if (caller_appends_.failing()) {
    // The log is unavailable. Waiting callers are notified at once, while it is
    // certain that nothing of theirs was sent.
    const auto waiting = caller_appends_.TakeWaiting();
    settled.insert(settled.end(), waiting.begin(), waiting.end());
  }
  for (const auto& entry : settled) {
    if (entry.ticket == kResignationTicket) {
      OnResignationOutcome(entry.outcome);
      continue;
    }
    const auto found = submissions_.find(entry.ticket);
    if (found == submissions_.end()) {
      continue;
    }
    const Submission submission = std::move(found->second);
    submissions_.erase(found);
    if (entry.outcome == EntryOutcome::kNotStored) {
      Reject(submission, "the log refused it");
      continue;
    }
    if (entry.outcome == EntryOutcome::kInvalid) {
      Reject(submission, "the log does not accept its record");
      continue;
    }
    metrics_->RecordLatency("rhubarbhaven_store_seconds",
                            now - submission.received);
    if (submission.kind == SubmissionKind::kCancelAhead) {
      AnswerCancelAhead(now, submission);
      continue;
    }
    const bool is_cancel = submission.kind == SubmissionKind::kCancel;
    if (is_cancel) {
      log_.Write("cancelled",
                 {{"job", submission.job}, {"queue", submission.queue}});
    } else {
      LogAccepted(submission);
    }
    submission.respond(VerdictReply(
        is_cancel ? JobVerdict::kCancelled : JobVerdict::kAccepted, ""));
  }
}

auto EntryDecisions::ConfigurationAge(TimePoint now) const -> Duration {
  return now - configuration_as_of_;
}

auto EntryDecisions::UpdateReady(TimePoint now) -> void {
  // The load balancer sends callers to entries of other failure domains as soon
  // as this one is not ready. Often only some entries are disconnected from the
  // log, and a caller would exhaust its retries at one of them.
  ready_ = !releasing_ && queues_.known() && job_follower_.reachable() &&
           !caller_appends_.failing() &&
           job_follower_.CaughtUpWithin(now, kReadyReadAge) &&
           operator_follower_.CaughtUpWithin(now, kReadyReadAge);
}

auto EntryDecisions::MakeOwnerHooks() -> JobOwnerHooks {
  JobOwnerHooks hooks;
  hooks.send = hooks_.send;
  hooks.log = [this](const OwnerDecision& decision) -> void {
    LogDecision(decision);
  };
  hooks.log_agent = [this](const std::string& what,
                           const std::string& agent) -> void {
    log_.Write(what,
               {{"agent", agent}, {"fence", absl::StrCat(election_.fence())}});
  };
  hooks.log_reconciliation = [this](const ReconciliationState& state) -> void {
    LogReconciliation(state);
  };
  hooks.log_starved = [this](const StarvedJob& job) -> void {
    LogStarvedJob(job);
  };
  hooks.log_silent = [this](const SilentAgents& silent) -> void {
    LogSilentAgents(silent);
  };
  hooks.report_starved = [this](std::size_t jobs) -> void {
    metrics_->SetGauge("rhubarbhaven_standing_jobs", static_cast<double>(jobs));
  };
  hooks.report_overload = [this](const OverloadState& state) -> void {
    NoteOverload(state);
  };
  hooks.report_run_length = [this](const RunLengthSample& sample) -> void {
    NoteRunLength(sample);
  };
  hooks.log_run_lengths = [this](const std::string& what,
                                 std::size_t keys) -> void {
    LogRunLengths(what, keys);
  };
  hooks.log_large_record = [this](const LargeRecord& record) -> void {
    NoteLargeRecord(record);
  };
  hooks.report_lag = [this](Duration lag) -> void { NoteLag(lag); };
  hooks.report_orders = [this](const OrderTraffic& traffic) -> void {
    NoteOrderTraffic(traffic);
  };
  hooks.report_start_delay = [this](Duration delay) -> void {
    NoteStartDelay(delay);
  };
  hooks.rules = [this](const std::string& queue) -> const QueueRules* {
    const auto* found = queues_.FindByName(queue);
    return found == nullptr ? nullptr : &found->rules;
  };
  hooks.is_evacuated = [this](const std::string& failure_domain) -> bool {
    return evacuated_domains_.contains(failure_domain);
  };
  hooks.exclusive_until = [this]() -> TimePoint {
    return election_.exclusive_until();
  };
  hooks.renewed_at = [this]() -> TimePoint { return election_.renewed_at(); };
  hooks.on_last_owner_bound = [this](TimePoint now, TimePoint end) -> void {
    election_.OnLastOwnerBound(now, end);
  };
  hooks.stopped_lease_end =
      [this](const std::string& agent) -> std::optional<TimePoint> {
    return agent_stops_.LeaseEnd(agent);
  };
  hooks.log_position = [this]() -> LogPosition { return log_position_; };
  hooks.wall_clock = hooks_.wall_clock;
  hooks.ask_advice = hooks_.ask_advice;
  return hooks;
}

}  // namespace rhubarbhaven::jobs
