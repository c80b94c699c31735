#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "Jobs/entry_decisions.h"

// Claiming the cell, renewing the claim, and releasing it.
namespace rhubarbhaven::jobs {
namespace {

// Tickets of the owner's appends.
constexpr uint64_t kClaimTicket = 1;
constexpr uint64_t kBatchTicket = 2;
constexpr char kOwnerProducer[] = "owner";
// Maximum timeout of the owner's appends. An append that was lost when the log
// became unavailable is repeated soon enough after its recovery that no entry
// detects a missing renewal.
constexpr std::chrono::milliseconds kMaxOwnerTimeout{800};
// Pause between two reads by an entry that is not the owner: each append wakes
// up the pending reads of all entries. Callers may get answers that are older
// by up to this pause. The pauses of entries differ, so that one of them soon
// detects that the owner has stopped.
constexpr std::chrono::milliseconds kMinReadPause{50};
constexpr std::chrono::milliseconds kReadPauseSpread{60};

auto IsGrant(const KeyedRecord& record) -> bool {
  return ParseKey(record.key).kind == RecordKind::kAgentGrants;
}

}  // namespace

auto EntryDecisions::ClaimIfDue(TimePoint now) -> void {
  if (releasing_) {
    return;
  }
  if (election_.ClaimIsUnjustified(now)) {
    WithdrawClaim("reads of the log no longer show a missing renewal");
  }
  const bool had_claim = election_.fence() != 0;
  if (!had_claim && !ReadsOperators(now)) {
    // Without a current copy of the operators' log, this entry could not begin,
    // or would decide by rules that are no longer in force, and would keep out
    // the entries that have one.
    return;
  }
  auto claim = election_.ClaimDue(now);
  if (!claim) {
    return;
  }
  if (had_claim && !ReadsOperators(now)) {
    claim->set_reads_nothing(true);
  }
  NoteReadsLate(now, claim->reads_nothing());
  if (NoteReachesNoAgent(now)) {
    claim->set_reads_nothing(true);
  }
  if (!had_claim) {
    claimed_fence_ = claim->fence();
    renewal_stored_at_ = TimePoint();
    log_.Write("claim",
               {{"fence", absl::StrCat(claim->fence())},
                {"before", fold_.claim().owner()},
                {"before_released", fold_.claim().released() ? "yes" : "no"},
                {"unrenewed_ms", InMilliseconds(election_.unrenewed_for())},
                {"own_gap_ms", InMilliseconds(OwnGap())}});
    AppendBatcherOptions options;
    options.producer = kOwnerProducer;
    options.epoch = claim->fence();
    options.max_timeout = kMaxOwnerTimeout;
    options.max_bytes = options_.limits.log.call_bytes;
    options.max_records = std::numeric_limits<std::size_t>::max();
    options.link_bytes_per_second =
        LinkBytesPerSecond(options_.limits.link_mbps);
    // Two claims with the same fence must not be treated as repeats of one
    // append.
    options.first_sequence =
        1 + StableHash(options_.name, options_.incarnation) % (1ULL << 40);
    owner_appends_ = std::make_unique<AppendBatcher>(options);
  }
  // Records that wait would delay a renewal until others claim the cell.
  owner_appends_->EnqueueFirst(kClaimTicket,
                               {MakeRecord(RecordKind::kClaim, "", *claim)});
  job_follower_.ResumeReading(now);
}

auto EntryDecisions::NoteReadsLate(TimePoint now, bool late) -> void {
  if (std::exchange(reads_late_, late) == late) {
    return;
  }
  log_.Write(
      late ? "owner_reads_late" : "owner_reads_again",
      {{"fence", absl::StrCat(election_.fence())},
       {"log_age_ms", InMilliseconds(now - job_follower_.caught_up_at())},
       {"operators_log_age_ms",
        InMilliseconds(now - operator_follower_.caught_up_at())}});
}

auto EntryDecisions::NoteReachesNoAgent(TimePoint now) -> bool {
  const bool reaches_none = owner_.ReachesNoAgent(now);
  if (std::exchange(reaches_no_agent_, reaches_none) != reaches_none) {
    log_.Write(reaches_none ? "owner_reaches_no_agent" : "owner_reaches_agents",
               {{"fence", absl::StrCat(election_.fence())},
                {"own_gap_ms", InMilliseconds(OwnGap())}});
  }
  return reaches_none;
}

auto EntryDecisions::ReadPause() const -> std::chrono::milliseconds {
  if (election_.fence() != 0 || election_.owner_is_late()) {
    // The owner starts jobs that others accept, a claimant has to read its
    // claim, and a potential claimant has to detect missing renewals of the
    // owner.
    return std::chrono::milliseconds(0);
  }
  const auto part = StableHash(options_.name, 0) %
                    static_cast<uint64_t>(kReadPauseSpread.count());
  return kMinReadPause + std::chrono::milliseconds(part);
}

auto EntryDecisions::BecomeOwnerIfClaimed(TimePoint now) -> void {
  // An owner that began with records missing would start another run of a task
  // whose end is already in the log.
  if (owner_.active() || releasing_ || !fold_current_ ||
      !election_.owner(now)) {
    return;
  }
  log_.Write("owner_begin", {{"fence", absl::StrCat(election_.fence())},
                             {"agents", absl::StrCat(fold_.agents().size())}});
  metrics_->Add("rhubarbhaven_owner_terms_total");
  // The replaced owner may have resigned before this claim was made.
  OnResignationRead(now, election_.replaced_owner());
  owner_.Begin(now, election_.fence(), &fold_, election_.earlier_grants());
}

auto EntryDecisions::SendOwnerBatch(TimePoint now) -> void {
  if (owner_appends_ == nullptr) {
    return;
  }
  auto records = owner_.TakeBatch();
  if (!records.empty()) {
    if (std::any_of(records.begin(), records.end(), IsGrant)) {
      // The agents that a next owner counts have changed. It reads this renewal
      // with them, and so waits for all that was granted by the earlier count.
      election_.RenewAtOnce(now);
      ClaimIfDue(now);
    }
    owner_appends_->Enqueue(kBatchTicket, std::move(records));
  }
  auto call = owner_appends_->Next(now, ReceivesFromLog());
  if (!call) {
    return;
  }
  hooks_.log.append(*call,
                    [this, fence = call->epoch](
                        TimePoint then, const AppendResult& result) -> void {
                      OnOwnerBatch(then, fence, result);
                      SendAppends(then);
                    });
}

auto EntryDecisions::OnOwnerBatch(TimePoint now,
                                  uint64_t fence,
                                  const AppendResult& result) -> void {
  if (owner_appends_ == nullptr ||
      (fence != election_.fence() && !releasing_)) {
    // The response belongs to an append under an earlier claim.
    return;
  }
  const bool lost_claim =
      result.outcome == AppendOutcome::kFenced ||
      (result.outcome == AppendOutcome::kOutOfOrder && !owner_.active());
  if (lost_claim) {
    Resign("the log has a later claim");
    return;
  }
  const TimePoint sent = owner_appends_->first_sent();
  for (const auto& entry : owner_appends_->OnResult(now, result)) {
    if (entry.outcome == EntryOutcome::kInvalid) {
      NoteInvalidRecords(entry.invalid_keys);
    }
    if (entry.ticket == kClaimTicket &&
        entry.outcome == EntryOutcome::kInvalid) {
      Resign("the log does not accept the claim");
      return;
    }
    election_.OnAppendStored(sent);
    if (entry.ticket == kClaimTicket) {
      election_.OnRenewalStored(sent);
      NoteRenewalStored(now, sent);
    }
    if (entry.ticket == kBatchTicket) {
      owner_.OnBatchStored(now, entry.invalid_keys);
    }
  }
  owner_.OnExclusiveUntil(now);
  BecomeOwnerIfClaimed(now);
}

auto EntryDecisions::NoteLargeRecord(const LargeRecord& record) -> void {
  metrics_->Add("rhubarbhaven_records_too_large_total");
  log_.Write("record_too_large", {{"key", SanitizeForLog(record.key)},
                                  {"bytes", absl::StrCat(record.bytes)},
                                  {"stored", record.reduced ? "reduced" : ""}});
}

auto EntryDecisions::NoteInvalidRecords(const std::vector<std::string>& keys)
    -> void {
  for (const auto& key : keys) {
    metrics_->Add("rhubarbhaven_records_not_accepted_total");
    log_.Write("record_not_accepted",
               {{"key", SanitizeForLog(key)},
                {"fence", absl::StrCat(claimed_fence_)}});
  }
}

auto EntryDecisions::WithdrawClaim(const std::string& why) -> void {
  log_.Write("claim_withdrawn",
             {{"fence", absl::StrCat(claimed_fence_)}, {"why", why}});
  metrics_->Add("rhubarbhaven_claims_withdrawn_total");
  election_.OnClaimLost();
  owner_appends_.reset();
  claimed_fence_ = 0;
}

auto EntryDecisions::Resign(const std::string& why) -> void {
  const bool renewed = renewal_stored_at_ != TimePoint();
  log_.Write(
      "owner_end",
      {{"fence", absl::StrCat(claimed_fence_)},
       {"why", why},
       {"renewed_ms_ago",
        renewed ? InMilliseconds(last_tick_ - renewal_stored_at_) : "never"},
       {"read_ms_ago",
        InMilliseconds(last_tick_ - job_follower_.caught_up_at())},
       {"own_gap_ms", InMilliseconds(OwnGap())}});
  owner_.End();
  election_.OnClaimLost();
  owner_appends_.reset();
}

auto EntryDecisions::WriteResignation(TimePoint now) -> void {
  if (claimed_fence_ != 0 && election_.fence() == 0 && !owner_.active()) {
    resigned_fence_ = std::max(resigned_fence_, claimed_fence_);
    claimed_fence_ = 0;
  }
  if (resigned_fence_ <= resignation_logged_ || releasing_ || !fold_current_ ||
      !job_follower_.reachable() || !caller_appends_.accepts(now)) {
    return;
  }
  resignation_logged_ = resigned_fence_;
  OwnerResignation resignation;
  resignation.set_owner(options_.name);
  resignation.set_fence(resigned_fence_);
  caller_appends_.Enqueue(
      kResignationTicket,
      {MakeRecord(RecordKind::kResignation, options_.name, resignation)});
}

auto EntryDecisions::OnResignationOutcome(EntryOutcome outcome) -> void {
  if (outcome != EntryOutcome::kStored) {
    // The resignation is appended again as soon as the log accepts appends.
    resignation_logged_ = 0;
    return;
  }
  log_.Write("owner_resigned", {{"fence", absl::StrCat(resignation_logged_)}});
}

auto EntryDecisions::OnResignationRead(TimePoint now, const std::string& entry)
    -> void {
  const uint64_t fence = fold_.resigned_fence(entry);
  if (election_.OnResignationRead(now, entry, fence)) {
    owner_.OnEarlierGrants(now, election_.earlier_grants());
  }
}

auto EntryDecisions::Release(TimePoint now) -> void {
  releasing_ = true;
  ready_ = false;
  const auto claim = election_.Release(now);
  owner_.End();
  if (claim && owner_appends_ != nullptr) {
    log_.Write("owner_release", {{"fence", absl::StrCat(claim->fence())}});
    owner_appends_->Enqueue(kClaimTicket,
                            {MakeRecord(RecordKind::kClaim, "", *claim)});
  }
  SendAppends(now);
}

}  // namespace rhubarbhaven::jobs
