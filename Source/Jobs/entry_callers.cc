#include <absl/strings/str_cat.h>

#include <utility>

#include "Jobs/entry_decisions.h"

// What callers are told.
namespace rhubarbhaven::jobs {
namespace {

// Left of a caller's deadline for the way of its answer.
constexpr std::chrono::milliseconds kAnswerMargin{300};
// Cancellations of ids that the log has no job of, until they are dropped. Who
// cancels what does not exist must not fill the log.
constexpr std::size_t kMostCancelledAhead = 4096;
constexpr char kLogAway[] = "The log cannot be read at present.";

auto NoSuchJobReply(bool certain) -> JobReply {
  return certain
             ? VerdictReply(JobVerdict::kNoSuchJob, "The log has no such job.")
             : VerdictReply(JobVerdict::kUnavailable, kLogAway);
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
  // What is no id may be one below the prefix of a queue that is new.
  const bool matches = queue != nullptr && (id.empty() || CheckJobId(id).ok());
  if (!matches && !operator_follower_.CaughtUpWithin(now, kCurrentFor)) {
    respond(VerdictReply(JobVerdict::kUnavailable,
                         "The configuration may have changed."));
    return;
  }
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
  const TimePoint give_up_at = now + call.deadline - kAnswerMargin;
  switch (call.kind) {
    case JobCallKind::kSubmit:
      Submit(now, *queue, id, std::move(call), respond);
      return;
    case JobCallKind::kCancel:
      Cancel(now, id, give_up_at, respond);
      return;
    case JobCallKind::kAsk:
      break;
  }
  if (id.empty()) {
    JobReply reply;
    reply.verdict = JobVerdict::kPending;
    reply.pending = fold_.PendingIn(queue->name);
    if (!job_follower_.CaughtUpWithin(now, kCurrentFor)) {
      reply = VerdictReply(JobVerdict::kUnavailable, kLogAway);
    }
    respond(reply);
    return;
  }
  Ask(now, id, give_up_at, respond);
}

auto EntryDecisions::Submit(TimePoint now,
                            const Queue& queue,
                            const std::string& id,
                            JobCall call,
                            const JobResponder& respond) -> void {
  call.job.set_id(id);
  call.job.set_queue(queue.name);
  *call.job.mutable_rules() = queue.rules;
  call.job.set_received_unix_ms(
      static_cast<uint64_t>(hooks_.wall_clock().count()));
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
  const auto record = MakeRecord(RecordKind::kJob, id, call.job);
  Store(now,
        {SubmissionKind::kHandIn, id, queue.name, respond, now,
         now + call.deadline - kAnswerMargin},
        record);
}

auto EntryDecisions::Cancel(TimePoint now,
                            const std::string& id,
                            TimePoint give_up_at,
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
           give_up_at},
          MakeCancellation(id));
    return;
  }
  if (!CheckJobId(id).ok()) {
    respond(VerdictReply(JobVerdict::kNoSuchJob, "No job has such an id."));
    return;
  }
  // Its hand-in may be in the log already, or on its way there from any entry.
  const Submission ahead{
      SubmissionKind::kCancelAhead, id, "", respond, now, give_up_at};
  if (fold_.CancelledAhead(id)) {
    AnswerCancelAhead(now, ahead);
  } else if (fold_.cancelled_ahead().size() < kMostCancelledAhead) {
    Store(now, ahead, MakeCancellation(id));
  } else {
    CancelIfThere(now, ahead);
  }
}

auto EntryDecisions::AnswerCancelAhead(TimePoint now,
                                       const Submission& submission) -> void {
  job_barrier_.Await(
      now, submission.give_up_at,
      [this, submission](TimePoint, bool current) -> void {
        // If that is not certain, the cancel holds all the same.
        const bool none = current && fold_.Find(submission.job) == nullptr;
        log_.Write(none ? "cancelled_ahead" : "cancelled",
                   {{"job", submission.job}});
        submission.respond(none ? NoSuchJobReply(/*certain=*/true)
                                : VerdictReply(JobVerdict::kCancelled, ""));
      });
}

auto EntryDecisions::CancelIfThere(TimePoint now, const Submission& submission)
    -> void {
  metrics_->Add("rhubarbhaven_cancels_not_stored_total");
  job_barrier_.Await(now, submission.give_up_at,
                     [this, submission](TimePoint then, bool current) -> void {
                       if (fold_.Find(submission.job) != nullptr) {
                         Cancel(then, submission.job, submission.give_up_at,
                                submission.respond);
                       } else {
                         submission.respond(NoSuchJobReply(current));
                       }
                     });
}

auto EntryDecisions::Ask(TimePoint now,
                         const std::string& id,
                         TimePoint give_up_at,
                         const JobResponder& respond) -> void {
  const auto* entry = fold_.Find(id);
  if (entry != nullptr) {
    respond(StateReply(entry->state()));
    return;
  }
  job_barrier_.Await(now, give_up_at,
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
    // Nothing was sent, so this is certainly not stored.
    Refuse(submission,
           releasing_ ? "this entry is stopping" : "the log does not answer");
    return;
  }
  const uint64_t ticket = next_ticket_++;
  submissions_[ticket] = std::move(submission);
  caller_appends_.Enqueue(ticket, {std::move(record)});
}

auto EntryDecisions::Refuse(const Submission& submission,
                            const std::string& why) -> void {
  metrics_->Add("rhubarbhaven_jobs_refused_total");
  log_.Write(
      "refused",
      {{"job", submission.job},
       {"queue", submission.queue},
       {"cancel", submission.kind == SubmissionKind::kHandIn ? "" : "yes"},
       {"why", why}});
  submission.respond(VerdictReply(JobVerdict::kUnavailable, why));
}

auto EntryDecisions::GiveUpLate(TimePoint now) -> void {
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

}  // namespace rhubarbhaven::jobs
