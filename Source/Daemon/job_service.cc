#include "Daemon/job_service.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbhaven {
namespace {

// A caller that can't be served comes back after this; about the time in which
// another entry takes over or a short outage ends.
constexpr std::chrono::milliseconds kComeBack{1000};
// Left of a caller's deadline for the way of its answer.
constexpr std::chrono::milliseconds kAnswerMargin{300};
// The fold counts as current for this long after a read that reached the end.
// Callers may ask for a job 3 s after it was accepted anywhere.
constexpr std::chrono::milliseconds kCurrentFor{2000};
// An entry is ready for this long after it last read the log: longer, so that a
// short outage does not take every entry out of the balancer at once.
constexpr std::chrono::milliseconds kReadyFor{4000};
// The election and the readiness look at the time at least this often.
constexpr std::chrono::milliseconds kLookInterval{100};
// Tickets of the owner's appends.
constexpr uint64_t kClaimTicket = 1;
constexpr uint64_t kBatchTicket = 2;
constexpr char kOwnerProducer[] = "owner";

auto CallerAppendOptions(const JobServiceOptions& options)
    -> jobs::AppendBatcherOptions {
  jobs::AppendBatcherOptions appends;
  appends.producer =
      absl::StrCat("entry-", options.name, "-", options.incarnation);
  appends.give_back_refused = true;
  return appends;
}

auto ElectionOptions(const JobServiceOptions& options)
    -> jobs::OwnerElectionOptions {
  jobs::OwnerElectionOptions election;
  election.name = options.name;
  election.incarnation = options.incarnation;
  return election;
}

auto OwnerOptions(const JobServiceOptions& options) -> jobs::JobOwnerOptions {
  jobs::JobOwnerOptions owner;
  owner.incarnation = options.incarnation;
  return owner;
}

auto FollowerOptions(jobs::LogTopic topic) -> KeyedLogFollowerOptions {
  KeyedLogFollowerOptions options;
  options.topic = topic;
  return options;
}

auto WallClock() -> std::chrono::milliseconds {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

auto StateReply(jobs::JobState state) -> JobReply {
  JobReply reply;
  reply.verdict = JobVerdict::kState;
  reply.state = state;
  return reply;
}

auto VerdictReply(JobVerdict verdict, const std::string& text) -> JobReply {
  JobReply reply;
  reply.verdict = verdict;
  reply.text = text;
  if (verdict == JobVerdict::kUnavailable) {
    reply.retry_after = kComeBack;
  }
  return reply;
}

}  // namespace

JobService::JobService(JobServiceOptions options,
                       JobServiceHooks hooks,
                       Metrics* metrics)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      log_("jobs"),
      election_(ElectionOptions(options_)),
      owner_(OwnerOptions(options_), MakeOwnerHooks()),
      job_follower_(FollowerOptions(jobs::LogTopic::kJobs),
                    hooks_.log,
                    FollowerHooksFor(jobs::LogTopic::kJobs)),
      operator_follower_(FollowerOptions(jobs::LogTopic::kOperators),
                         hooks_.log,
                         FollowerHooksFor(jobs::LogTopic::kOperators)),
      caller_appends_(CallerAppendOptions(options_)),
      duty_({.on_tick = [this](TimePoint now) -> void { Tick(now); },
             .next_wake = [this]() -> TimePoint { return NextWake(); }}) {}

JobService::~JobService() = default;

auto JobService::Start() -> void {
  duty_.Start();
  job_follower_.Start();
  operator_follower_.Start();
}

auto JobService::Call(JobCall call, JobResponder respond) -> bool {
  return duty_.Post([this, call = std::move(call),
                     respond = std::move(respond)](TimePoint now) -> void {
    Handle(now, call, respond);
    SendAppends(now);
  });
}

auto JobService::OnReport(const std::string& agent, jobs::AgentReport report)
    -> void {
  Post([this, agent, report = std::move(report)](TimePoint now) -> void {
    metrics_->Add("rhubarbhaven_agent_reports_total");
    if (!owner_.OnReport(now, agent, report)) {
      Resign(absl::StrCat("agent ", agent, " has seen fence ", report.fence()));
    }
  });
}

auto JobService::Release() -> void {
  Post([this](TimePoint now) -> void {
    releasing_ = true;
    ready_ = false;
    const auto claim = election_.Release();
    owner_.End();
    if (claim && owner_appends_ != nullptr) {
      log_.Write("owner_release", {{"fence", absl::StrCat(claim->fence())}});
      owner_appends_->Enqueue(
          kClaimTicket, {MakeRecord(jobs::RecordKind::kClaim, "", *claim)});
    }
    SendAppends(now);
  });
}

auto JobService::Stop() -> void {
  duty_.Stop();
}

auto JobService::Post(DutyThread::Job job) -> void {
  duty_.PostOrWait(job);
}

auto JobService::Tick(TimePoint now) -> void {
  looked_at_ = now;
  while (!later_.empty() && later_.begin()->first <= now) {
    const auto job = std::move(later_.begin()->second);
    later_.erase(later_.begin());
    job(now);
  }
  if (owner_.active() && !election_.owner(now)) {
    Resign("the claim was not verified in time or was lost");
  }
  ClaimIfDue(now);
  owner_.Tick(now);
  GiveUpLate(now);
  UpdateReady(now);
  SendAppends(now);
}

auto JobService::NextWake() const -> TimePoint {
  TimePoint wake = looked_at_ + kLookInterval;
  if (!later_.empty()) {
    wake = std::min(wake, later_.begin()->first);
  }
  wake = std::min({wake, owner_.next_wake(), caller_appends_.next_wake()});
  if (owner_appends_ != nullptr) {
    wake = std::min(wake, owner_appends_->next_wake());
  }
  return wake;
}

auto JobService::Handle(TimePoint now,
                        JobCall call,
                        const JobResponder& respond) -> void {
  metrics_->Add("rhubarbhaven_job_calls_total");
  if (!queues_.known()) {
    respond(VerdictReply(JobVerdict::kUnavailable,
                         "No configuration has been read yet."));
    return;
  }
  const auto* queue = queues_.Match(call.host, call.path);
  if (queue == nullptr) {
    log_.Write("no_such_queue",
               {{"host", call.host},
                {"path", call.path},
                {"config_version", absl::StrCat(queues_.version())}});
    respond(VerdictReply(JobVerdict::kNoSuchQueue,
                         "No queue of the configuration has this host and "
                         "path."));
    return;
  }
  const std::string id = call.path.substr(queue->path_prefix.size());
  switch (call.kind) {
    case JobCallKind::kSubmit:
      Submit(now, *queue, id, std::move(call), respond);
      return;
    case JobCallKind::kCancel:
      Cancel(now, id, call, respond);
      return;
    case JobCallKind::kAsk:
      break;
  }
  if (id.empty()) {
    JobReply reply;
    reply.verdict = JobVerdict::kPending;
    reply.pending = fold_.PendingIn(queue->name);
    if (!CaughtUp(now)) {
      reply = VerdictReply(JobVerdict::kUnavailable,
                           "The log cannot be read at present.");
    }
    respond(reply);
    return;
  }
  Ask(now, id, respond);
}

auto JobService::Submit(TimePoint now,
                        const jobs::Queue& queue,
                        const std::string& id,
                        JobCall call,
                        const JobResponder& respond) -> void {
  call.job.set_id(id);
  call.job.set_queue(queue.name);
  *call.job.mutable_rules() = queue.rules;
  call.job.set_received_unix_ms(static_cast<uint64_t>(WallClock().count()));
  const auto status = CheckJob(call.job);
  if (!status.ok()) {
    metrics_->Add("rhubarbhaven_jobs_invalid_total");
    log_.Write("job_invalid",
               {{"job", id}, {"why", std::string(status.message())}});
    respond(VerdictReply(JobVerdict::kInvalid, std::string(status.message())));
    return;
  }
  if (fold_.Find(id) != nullptr) {
    log_.Write("job_known", {{"job", id}});
    respond(VerdictReply(JobVerdict::kAccepted, ""));
    return;
  }
  const auto record = MakeRecord(jobs::RecordKind::kJob, id, call.job);
  Store(now,
        {id, queue.name, respond, now, now + call.deadline - kAnswerMargin,
         false},
        record);
}

auto JobService::Cancel(TimePoint now,
                        const std::string& id,
                        const JobCall& call,
                        const JobResponder& respond) -> void {
  const auto* entry = fold_.Find(id);
  if (entry == nullptr) {
    const bool certain = CaughtUp(now);
    respond(VerdictReply(
        certain ? JobVerdict::kNoSuchJob : JobVerdict::kUnavailable,
        certain ? "The log has no such job."
                : "The log cannot be read at present."));
    return;
  }
  if (entry->over()) {
    respond(VerdictReply(JobVerdict::kCancelled, ""));
    return;
  }
  Store(now,
        {id, entry->job.queue(), respond, now,
         now + call.deadline - kAnswerMargin, true},
        jobs::MakeCancellation(id));
}

auto JobService::Ask(TimePoint now,
                     const std::string& id,
                     const JobResponder& respond) -> void {
  const auto* entry = fold_.Find(id);
  if (entry != nullptr) {
    respond(StateReply(entry->state()));
    return;
  }
  if (CaughtUp(now)) {
    respond(VerdictReply(JobVerdict::kNoSuchJob, "The log has no such job."));
  } else {
    respond(VerdictReply(JobVerdict::kUnavailable,
                         "The log cannot be read at present."));
  }
}

auto JobService::Store(TimePoint now,
                       Submission submission,
                       jobs::KeyedRecord record) -> void {
  static_cast<void>(now);
  if (caller_appends_.failing() || releasing_) {
    // Nothing was sent, so this is certainly not stored.
    Refuse(submission,
           releasing_ ? "this entry is stopping" : "the log does not answer");
    return;
  }
  const uint64_t ticket = next_ticket_++;
  submissions_[ticket] = std::move(submission);
  caller_appends_.Enqueue(ticket, {std::move(record)});
}

auto JobService::Refuse(const Submission& submission, const std::string& why)
    -> void {
  metrics_->Add("rhubarbhaven_jobs_refused_total");
  log_.Write("refused", {{"job", submission.job},
                         {"queue", submission.queue},
                         {"cancel", submission.is_cancel ? "yes" : ""},
                         {"why", why}});
  submission.respond(VerdictReply(JobVerdict::kUnavailable, why));
}

auto JobService::GiveUpLate(TimePoint now) -> void {
  for (auto item = submissions_.begin(); item != submissions_.end();) {
    if (now < item->second.give_up_at) {
      ++item;
      continue;
    }
    metrics_->Add("rhubarbhaven_jobs_unknown_total");
    log_.Write("fate_unknown",
               {{"job", item->second.job},
                {"why", "the log did not answer within the deadline"}});
    item->second.respond(VerdictReply(
        JobVerdict::kUnknown, "The log did not answer within the deadline."));
    item = submissions_.erase(item);
  }
}

auto JobService::CaughtUp(TimePoint now) const -> bool {
  return job_follower_.caught_up_at() != TimePoint() &&
         now - job_follower_.caught_up_at() < kCurrentFor;
}

auto JobService::FollowerHooksFor(jobs::LogTopic topic)
    -> KeyedLogFollowerHooks {
  const bool is_jobs = topic == jobs::LogTopic::kJobs;
  KeyedLogFollowerHooks hooks;
  hooks.post = [this](DutyThread::Job job) -> void { Post(std::move(job)); };
  hooks.post_later = [this](std::chrono::milliseconds wait,
                            DutyThread::Job job) -> void {
    later_.emplace(Clock::now() + wait, std::move(job));
  };
  hooks.on_record = [this, is_jobs](TimePoint now,
                                    const jobs::KeyedRecord& record) -> void {
    if (is_jobs) {
      OnJobRecord(now, record);
    } else {
      OnOperatorRecord(record);
    }
  };
  hooks.on_key_gone = [this, is_jobs](TimePoint now,
                                      const std::string& key) -> void {
    if (is_jobs) {
      OnJobRecord(now, {key, "", 0});
    }
  };
  hooks.on_caught_up = [this, is_jobs](TimePoint now) -> void {
    if (is_jobs) {
      OnCaughtUp(now);
    }
  };
  hooks.on_reachable = [this, is_jobs](const std::string& error) -> void {
    log_.Write(error.empty() ? "log_found" : "log_lost",
               {{"topic", is_jobs ? "jobs" : "operators"}, {"why", error}});
  };
  return hooks;
}

auto JobService::OnJobRecord(TimePoint now, const jobs::KeyedRecord& record)
    -> void {
  const auto change = fold_.Apply(record);
  if (change.kind == jobs::RecordKind::kClaim) {
    election_.OnClaimRead(now, fold_.claim());
    if (owner_.active() && !election_.owner(now)) {
      Resign("another entry has claimed the cell");
    }
    BecomeOwnerIfClaimed(now);
  }
  owner_.OnChange(now, change);
}

auto JobService::OnOperatorRecord(const jobs::KeyedRecord& record) -> void {
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

auto JobService::OnCaughtUp(TimePoint now) -> void {
  election_.OnCaughtUp(now);
  UpdateReady(now);
  SendAppends(now);
}

auto JobService::SendAppends(TimePoint now) -> void {
  SendCallerBatch(now);
  SendOwnerBatch(now);
}

auto JobService::SendCallerBatch(TimePoint now) -> void {
  auto call = caller_appends_.Next(now);
  if (!call) {
    return;
  }
  hooks_.log.append(*call, [this](jobs::AppendResult result) -> void {
    Post([this, result](TimePoint then) -> void {
      OnCallerBatch(then, result);
      SendAppends(then);
    });
  });
}

auto JobService::OnCallerBatch(TimePoint now, const jobs::AppendResult& result)
    -> void {
  if (result.outcome != jobs::AppendOutcome::kAppended) {
    metrics_->Add("rhubarbhaven_append_failures_total");
  }
  auto settled = caller_appends_.OnResult(now, result);
  if (caller_appends_.failing()) {
    // The log is away: who waits is told at once, while it is certain that
    // nothing of it was sent.
    const auto waiting = caller_appends_.TakeWaiting();
    settled.insert(settled.end(), waiting.begin(), waiting.end());
  }
  for (const auto& entry : settled) {
    const auto found = submissions_.find(entry.ticket);
    if (found == submissions_.end()) {
      continue;
    }
    const Submission submission = std::move(found->second);
    submissions_.erase(found);
    if (entry.fate == jobs::AppendFate::kNotStored) {
      Refuse(submission, "the log refused it");
      continue;
    }
    metrics_->RecordLatency("rhubarbhaven_store_seconds",
                            now - submission.received);
    log_.Write(submission.is_cancel ? "cancelled" : "accepted",
               {{"job", submission.job}, {"queue", submission.queue}});
    submission.respond(VerdictReply(
        submission.is_cancel ? JobVerdict::kCancelled : JobVerdict::kAccepted,
        ""));
  }
}

auto JobService::SendOwnerBatch(TimePoint now) -> void {
  if (owner_appends_ == nullptr) {
    return;
  }
  auto records = owner_.TakeBatch();
  if (!records.empty()) {
    owner_appends_->Enqueue(kBatchTicket, std::move(records));
  }
  auto call = owner_appends_->Next(now);
  if (!call) {
    return;
  }
  hooks_.log.append(
      *call, [this, fence = call->epoch](jobs::AppendResult result) -> void {
        Post([this, fence, result](TimePoint then) -> void {
          OnOwnerBatch(then, fence, result);
          SendAppends(then);
        });
      });
}

auto JobService::OnOwnerBatch(TimePoint now,
                              uint64_t fence,
                              const jobs::AppendResult& result) -> void {
  if (owner_appends_ == nullptr ||
      (fence != election_.fence() && !releasing_)) {
    // The answer to an append under an earlier claim.
    return;
  }
  const bool lost_claim =
      result.outcome == jobs::AppendOutcome::kFenced ||
      (result.outcome == jobs::AppendOutcome::kOutOfOrder && !owner_.active());
  if (lost_claim) {
    Resign("the log has a later claim");
    return;
  }
  const TimePoint sent = owner_appends_->first_sent();
  for (const auto& entry : owner_appends_->OnResult(now, result)) {
    election_.OnClaimStored(sent);
    if (entry.ticket == kBatchTicket) {
      owner_.OnBatchStored();
    }
  }
  BecomeOwnerIfClaimed(now);
}

auto JobService::ClaimIfDue(TimePoint now) -> void {
  if (releasing_) {
    return;
  }
  const bool had_claim = election_.fence() != 0;
  const auto claim = election_.ClaimDue(now);
  if (!claim) {
    return;
  }
  if (!had_claim) {
    log_.Write("claim", {{"fence", absl::StrCat(claim->fence())},
                         {"before", fold_.claim().owner()}});
    jobs::AppendBatcherOptions options;
    options.producer = kOwnerProducer;
    options.epoch = claim->fence();
    // Two claims of the same fence must not be taken for repeats of one append.
    options.first_sequence =
        1 + StableHash(options_.name, options_.incarnation) % (1ULL << 40);
    owner_appends_ = std::make_unique<jobs::AppendBatcher>(options);
  }
  owner_appends_->Enqueue(kClaimTicket,
                          {MakeRecord(jobs::RecordKind::kClaim, "", *claim)});
}

auto JobService::BecomeOwnerIfClaimed(TimePoint now) -> void {
  if (owner_.active() || releasing_ || !election_.owner(now)) {
    return;
  }
  const jobs::JobOwnerOptions defaults = OwnerOptions(options_);
  const auto lease = std::chrono::duration_cast<Duration>(
                         defaults.lease_ttl * (1.0 + defaults.clock_drift)) +
                     defaults.lease_margin;
  const auto seen = election_.predecessor_seen();
  const TimePoint silent_until =
      seen ? *seen + jobs::OwnerElectionOptions().unverified_limit + lease
           : now + lease;
  log_.Write("owner_begin", {{"fence", absl::StrCat(election_.fence())}});
  metrics_->Add("rhubarbhaven_owner_terms_total");
  owner_.Begin(now, election_.fence(), &fold_, silent_until);
}

auto JobService::Resign(const std::string& why) -> void {
  log_.Write("owner_end",
             {{"fence", absl::StrCat(election_.fence())}, {"why", why}});
  owner_.End();
  election_.OnClaimLost();
  owner_appends_.reset();
}

auto JobService::UpdateReady(TimePoint now) -> void {
  const auto read_at = job_follower_.caught_up_at();
  ready_ = !releasing_ && queues_.known() && read_at != TimePoint() &&
           now - read_at < kReadyFor;
}

auto JobService::MakeOwnerHooks() -> jobs::JobOwnerHooks {
  jobs::JobOwnerHooks hooks;
  hooks.send = [this](const std::string& endpoint,
                      jobs::AgentOrders orders) -> void {
    schema::Envelope envelope;
    *envelope.mutable_agent_orders() = std::move(orders);
    hooks_.send(endpoint, std::move(envelope));
  };
  hooks.log = [this](const jobs::OwnerDecision& decision) -> void {
    metrics_->Add(absl::StrCat("rhubarbhaven_runs_", decision.what, "_total"));
    log_.Write(decision.what, {{"task", DescribeTask(decision.task)},
                               {"run", absl::StrCat(decision.run)},
                               {"agent", decision.agent},
                               {"why", decision.why}});
  };
  hooks.rules = [this](const std::string& queue) -> const jobs::QueueRules* {
    const auto* found = queues_.FindByName(queue);
    return found == nullptr ? nullptr : &found->rules;
  };
  hooks.wall_clock = &WallClock;
  return hooks;
}

}  // namespace rhubarbhaven
