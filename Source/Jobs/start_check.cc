#include "Jobs/start_check.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr std::size_t kReadBytes = 256 << 10;

}  // namespace

auto StartCheck::Check(TimePoint now, const CheckedStart& start) -> Result {
  Tick(now);
  checked_at_ = now;
  if (LacksRecords(now, start)) {
    return {Verdict::kUncertain, *deleted_at_};
  }
  if (!from_ || start.read_to < *from_) {
    Clear();
    from_ = start.read_to;
    next_ = start.read_to;
  }
  if (read_as_of_ && now - *read_as_of_ < options_.result_age) {
    return {Judge(start), *read_as_of_};
  }
  if (!reading_ && now >= retry_at_) {
    Read(now);
  }
  return {IsUnreachable(now) ? Verdict::kUnreachable : Verdict::kPending, now};
}

auto StartCheck::Tick(TimePoint now) -> void {
  const bool holds_anything = from_ || unanswered_since_;
  if (holds_anything && now - checked_at_ >= options_.keep) {
    Clear();
    unanswered_since_ = std::nullopt;
    retry_at_ = TimePoint();
  }
}

auto StartCheck::Clear() -> void {
  ++generation_;
  reading_ = false;
  from_ = std::nullopt;
  fold_ = JobFold();
  read_as_of_ = std::nullopt;
}

auto StartCheck::Read(TimePoint now) -> void {
  reading_ = true;
  unanswered_since_ = unanswered_since_.value_or(now);
  ReadCall call;
  call.from = next_;
  call.max_bytes = kReadBytes;
  call.on_progress = [this, generation = generation_](TimePoint then,
                                                      std::size_t) -> void {
    if (generation == generation_ && reading_) {
      // The log is not unreachable while its response is arriving.
      unanswered_since_ = then;
    }
  };
  read_(call,
        [this, now, generation = generation_](
            TimePoint then, const ReadResult& result) -> void {
          if (generation == generation_) {
            OnRead(now, then, result);
          }
        });
}

auto StartCheck::OnRead(TimePoint asked,
                        TimePoint now,
                        const ReadResult& result) -> void {
  reading_ = false;
  if (result.outcome == ReadOutcome::kFailed) {
    retry_at_ = now + (IsUnreachable(now) ? options_.unreachable_retry_pause
                                          : options_.retry_pause);
    return;
  }
  unanswered_since_ = std::nullopt;
  if (result.outcome == ReadOutcome::kGone || result.end < next_) {
    deleted_from_ = next_;
    deleted_at_ = asked;
    Clear();
    return;
  }
  for (const auto& record : result.records) {
    fold_.Apply(record);
    next_ = record.offset + 1;
  }
  if (next_ < result.end) {
    Read(now);
    return;
  }
  read_as_of_ = asked;
}

auto StartCheck::IsUnreachable(TimePoint now) const -> bool {
  return unanswered_since_ && now - *unanswered_since_ >= options_.patience;
}

auto StartCheck::LacksRecords(TimePoint now, const CheckedStart& start) const
    -> bool {
  return deleted_at_ && now - *deleted_at_ < options_.result_age &&
         start.read_to <= deleted_from_;
}

auto StartCheck::Judge(const CheckedStart& start) const -> Verdict {
  const auto job = fold_.jobs().find(start.job);
  if (job != fold_.jobs().end() && job->second->over()) {
    return Verdict::kOver;
  }
  return fold_.claim().fence() > start.fence ? Verdict::kUncertain
                                             : Verdict::kStands;
}

}  // namespace rhubarbhaven::jobs
