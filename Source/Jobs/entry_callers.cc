#include <absl/strings/str_cat.h>

#include <utility>

#include "Jobs/entry_decisions.h"

// Answers to callers' requests.
namespace rhubarbhaven::jobs {
namespace {

// Part of a caller's deadline that is reserved for transmitting the response.
constexpr std::chrono::milliseconds kAnswerMargin{300};
// Maximum number of cancellations for which the log has no job, until they are
// removed. Cancelling jobs that do not exist must not fill the log.
constexpr std::size_t kMaxCancelledAhead = 4096;
constexpr char kUnconfirmed[] = "The configuration may have changed.";
constexpr char kLogUnavailable[] = "The log cannot be read at present.";

auto NoSuchJobReply(bool certain) -> JobReply {
  return certain
             ? VerdictReply(JobVerdict::kNoSuchJob, "The log has no such job.")
             : VerdictReply(JobVerdict::kUnavailable, kLogUnavailable);
}

}  // namespace

auto EntryDecisions::Handle(TimePoint now,
                            JobCall call,
                            const JobResponder& respond) -> void {
  metrics_->Add("rhubarbhaven_job_calls_total");
  if (!queues_.known()) {
    respond(VerdictReply(JobVerdict::kUnavailable,
                         "No configuration has been read yet."));
    return;
  }
  const auto* queue = queues_.Match(call.host, call.path);
  const std::string id =
      queue == nullptr ? "" : call.path.substr(queue->path_prefix.size());
  // A path that does not end in an id may belong to a new queue whose prefix is
  // longer.
  const bool matches = queue != nullptr && (id.empty() || CheckJobId(id).ok());
  // A new version may have added the queue, or removed it. What is known of a
  // job stays true.
  const bool about_queue =
      !matches || (call.kind == JobCallKind::kQuery && id.empty());
  if (about_queue && !ConfigurationConfirmed(now)) {
    respond(VerdictReply(JobVerdict::kUnavailable, kUnconfirmed));
    return;
  }
  if (queue == nullptr) {
    log_.Write("no_such_queue",
               {{"host", call.host},
                {"path", call.path},
                {"config_version", absl::StrCat(queues_.version())},
                {"config_age_ms", InMilliseconds(ConfigurationAge(now))}});
    respond(VerdictReply(JobVerdict::kNoSuchQueue,
                         "No queue of the configuration has this host and "
                         "path."));
    return;
  }
  const TimePoint expires_at = now + call.deadline - kAnswerMargin;
  switch (call.kind) {
    case JobCallKind::kSubmit:
      Submit(now, *queue, id, std::move(call), respond);
      return;
    case JobCallKind::kCancel:
      Cancel(now, id, expires_at, respond);
      return;
    case JobCallKind::kQuery:
      break;
  }
  if (id.empty()) {
    JobReply reply;
    reply.verdict = JobVerdict::kPending;
    reply.pending = fold_.PendingIn(queue->name);
    if (!job_follower_.CaughtUpWithin(now, kCurrentReadAge)) {
      reply = VerdictReply(JobVerdict::kUnavailable, kLogUnavailable);
    }
    respond(reply);
    return;
  }
  Query(now, id, expires_at, respond);
}

auto EntryDecisions::Submit(TimePoint now,
                            const Queue& queue,
                            const std::string& id,
                            JobCall call,
                            const JobResponder& respond) -> void {
  if (!ConfigurationConfirmed(now) && fold_.Find(id) == nullptr) {
    // The queue may have been removed, or moved to another service.
    Reject({SubmissionKind::kSubmitJob, id, queue.name, respond, now, now},
           kUnconfirmed);
    return;
  }
  call.job.set_id(id);
  call.job.set_queue(queue.name);
  *call.job.mutable_rules() = queue.rules;
  call.job.set_received_unix_ms(
      static_cast<uint64_t>(hooks_.wall_clock().count()));
  const auto status = CheckNewJob(call.job, options_.limits.log);
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
  const auto record = MakeRecord(RecordKind::kJob, id, call.job);
  Store(now,
        {SubmissionKind::kSubmitJob, id, queue.name, respond, now,
         now + call.deadline - kAnswerMargin, queues_.version(),
         ConfigurationAge(now)},
        record);
}

auto EntryDecisions::Cancel(TimePoint now,
                            const std::string& id,
                            TimePoint expires_at,
                            const JobResponder& respond) -> void {
  const auto* entry = fold_.Find(id);
  if (entry != nullptr && entry->over()) {
    log_.Write("cancel_of_over",
               {{"job", id}, {"state", JobState_Name(entry->state())}});
    respond(VerdictReply(JobVerdict::kCancelled, ""));
    return;
  }
  if (entry != nullptr) {
    Store(now,
          {SubmissionKind::kCancel, id, entry->job.queue(), respond, now,
           expires_at},
          MakeCancellation(id));
    return;
  }
  if (!CheckJobId(id).ok()) {
    respond(VerdictReply(JobVerdict::kNoSuchJob, "No job has such an id."));
    return;
  }
  // The job's submission may already be in the log, or in transit from any
  // entry.
  const Submission ahead{
      SubmissionKind::kCancelAhead, id, "", respond, now, expires_at};
  if (fold_.CancelledAhead(id)) {
    AnswerCancelAhead(now, ahead);
  } else if (fold_.cancelled_ahead().size() < kMaxCancelledAhead) {
    Store(now, ahead, MakeCancellation(id));
  } else {
    CancelIfFound(now, ahead);
  }
}

auto EntryDecisions::AnswerCancelAhead(TimePoint now,
                                       const Submission& submission) -> void {
  job_barrier_.Await(
      now, submission.expires_at,
      [this, submission](TimePoint, bool current) -> void {
        // The cancellation applies even if this is uncertain.
        const bool none = current && fold_.Find(submission.job) == nullptr;
        log_.Write(none ? "cancelled_ahead" : "cancelled",
                   {{"job", submission.job}});
        submission.respond(none ? NoSuchJobReply(/*certain=*/true)
                                : VerdictReply(JobVerdict::kCancelled, ""));
      });
}

auto EntryDecisions::CancelIfFound(TimePoint now, const Submission& submission)
    -> void {
  metrics_->Add("rhubarbhaven_cancels_not_stored_total");
  job_barrier_.Await(now, submission.expires_at,
                     [this, submission](TimePoint then, bool current) -> void {
                       if (fold_.Find(submission.job) != nullptr) {
                         Cancel(then, submission.job, submission.expires_at,
                                submission.respond);
                       } else {
                         submission.respond(NoSuchJobReply(current));
                       }
                     });
}

auto EntryDecisions::Query(TimePoint now,
                           const std::string& id,
                           TimePoint expires_at,
                           const JobResponder& respond) -> void {
  const auto* entry = fold_.Find(id);
  if (entry != nullptr) {
    respond(StateReply(entry->state()));
    return;
  }
  job_barrier_.Await(now, expires_at,
                     [this, id, respond](TimePoint, bool current) -> void {
                       const auto* found = fold_.Find(id);
                       respond(found != nullptr ? StateReply(found->state())
                                                : NoSuchJobReply(current));
                     });
}

auto EntryDecisions::Store(TimePoint now,
                           Submission submission,
                           KeyedRecord record) -> void {
  if (!caller_appends_.accepts(now) || releasing_) {
    // Nothing was sent, so the record is certainly not stored.
    Reject(submission,
           releasing_ ? "this entry is stopping" : "the log does not answer");
    return;
  }
  const std::size_t bytes = caller_appends_.pending_bytes() + SizeInLog(record);
  if (!LinkCarries(bytes, submission.expires_at - now)) {
    // Sent all the same, it would be stored after the caller has given up, and
    // delay what others submit.
    Reject(submission,
           absl::StrCat("the link of this entry does not carry the ", bytes,
                        " bytes that wait within the deadline"));
    return;
  }
  const uint64_t ticket = next_ticket_++;
  submissions_[ticket] = std::move(submission);
  caller_appends_.Enqueue(ticket, {std::move(record)});
}

auto EntryDecisions::LinkCarries(std::size_t bytes, Duration span) const
    -> bool {
  const std::size_t rate = LinkBytesPerSecond(options_.limits.link_mbps);
  const std::chrono::duration<double> seconds = span;
  return rate == 0 || static_cast<double>(bytes) <=
                          static_cast<double>(rate) * seconds.count();
}

auto EntryDecisions::Reject(const Submission& submission,
                            const std::string& why) -> void {
  metrics_->Add("rhubarbhaven_jobs_refused_total");
  log_.Write(
      "refused",
      {{"job", submission.job},
       {"queue", submission.queue},
       {"cancel", submission.kind == SubmissionKind::kSubmitJob ? "" : "yes"},
       {"why", why}});
  submission.respond(VerdictReply(JobVerdict::kUnavailable, why));
}

auto EntryDecisions::ExpireSubmissions(TimePoint now) -> void {
  for (auto item = submissions_.begin(); item != submissions_.end();) {
    if (now < item->second.expires_at) {
      ++item;
      continue;
    }
    metrics_->Add("rhubarbhaven_jobs_unknown_total");
    log_.Write("fate_unknown",
               {{"job", item->second.job},
                {"why", "the log did not respond within the deadline"}});
    item->second.respond(VerdictReply(
        JobVerdict::kUnknown, "The log did not answer within the deadline."));
    item = submissions_.erase(item);
  }
}

}  // namespace rhubarbhaven::jobs
