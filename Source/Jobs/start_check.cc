#include "Jobs/start_check.h"

namespace rhubarbhaven::jobs {
namespace {

constexpr std::size_t kReadBytes = 256 << 10;

}  // namespace

auto StartCheck::Check(TimePoint now, const CheckedStart& start) -> Verdict {
  const bool covered =
      from_ && (gone_ ? start.read_to <= *from_ : *from_ <= start.read_to);
  if (!covered || now - checked_at_ >= options_.keep) {
    Restart(start.read_to);
  }
  checked_at_ = now;
  const bool current = read_as_of_ && now - *read_as_of_ < options_.result_age;
  if (gone_ || current) {
    return Judge(start);
  }
  if (!reading_since_ && now >= retry_at_) {
    reading_since_ = now;
    Read(now);
  }
  if (reading_since_ && now - *reading_since_ >= options_.patience) {
    NoteUnreachable(now);
  }
  return IsUnreachable(now) ? Verdict::kUnreachable : Verdict::kPending;
}

auto StartCheck::Restart(uint64_t from) -> void {
  ++generation_;
  from_ = from;
  next_ = from;
  fold_ = JobFold();
  gone_ = false;
  read_as_of_ = std::nullopt;
  reading_since_ = std::nullopt;
}

auto StartCheck::Read(TimePoint now) -> void {
  ReadCall call;
  call.from = next_;
  call.max_bytes = kReadBytes;
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
  if (result.outcome == ReadOutcome::kFailed) {
    reading_since_ = std::nullopt;
    retry_at_ = now + options_.retry_pause;
    NoteUnreachable(now);
    return;
  }
  unreachable_at_ = std::nullopt;
  if (result.outcome == ReadOutcome::kGone || result.end < next_) {
    reading_since_ = std::nullopt;
    gone_ = true;
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
  reading_since_ = std::nullopt;
  read_as_of_ = asked;
}

auto StartCheck::NoteUnreachable(TimePoint now) -> void {
  unreachable_at_ = now;
}

auto StartCheck::IsUnreachable(TimePoint now) const -> bool {
  return unreachable_at_ && now - *unreachable_at_ < options_.unreachable_for;
}

auto StartCheck::Judge(const CheckedStart& start) const -> Verdict {
  const auto job = fold_.jobs().find(start.job);
  const bool over = job != fold_.jobs().end() && job->second->over();
  const bool replaced = fold_.claim().fence() > start.fence;
  return gone_ || over || replaced ? Verdict::kVoid : Verdict::kStands;
}

}  // namespace rhubarbhaven::jobs
