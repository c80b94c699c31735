#include "Routing/attempt_table.h"

#include <algorithm>

namespace rhubarbhaven {

AttemptTable::AttemptTable(AttemptTableOptions options) : options_(options) {}

auto AttemptTable::Find(uint64_t id) -> Attempt* {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

auto AttemptTable::Add(uint64_t id, Attempt attempt) -> Attempt& {
  return attempts_.insert_or_assign(id, std::move(attempt)).first->second;
}

auto AttemptTable::Finish(TimePoint now, uint64_t id, schema::Answer answer)
    -> void {
  Attempt* attempt = Find(id);
  if (attempt == nullptr || attempt->state == Attempt::State::kFinished) {
    return;
  }
  attempt->state = Attempt::State::kFinished;
  attempt->offer.Clear();
  attempt->answer = std::move(answer);
  answer_bytes_ += attempt->answer.http().ByteSizeLong();
  finished_.push_back({now, id});
  EvictAnswers();
}

auto AttemptTable::full() const -> bool {
  return attempts_.size() >= options_.max_attempts;
}

auto AttemptTable::MayHaveBeenRemoved(const std::string& entry,
                                      uint64_t incarnation,
                                      uint64_t id) const -> bool {
  const auto found = highest_removed_.find({entry, incarnation});
  return found != highest_removed_.end() && id <= found->second;
}

auto AttemptTable::RemoveExpired(TimePoint now) -> void {
  while (!finished_.empty() &&
         now - finished_.front().at >= options_.retention) {
    Remove(finished_.front().id);
    finished_.pop_front();
    first_with_answer_ -= std::min<std::size_t>(first_with_answer_, 1);
  }
}

auto AttemptTable::EvictAnswers() -> void {
  while (answer_bytes_ > options_.max_answer_bytes &&
         first_with_answer_ < finished_.size()) {
    Attempt& attempt = attempts_[finished_[first_with_answer_].id];
    answer_bytes_ -= attempt.answer.http().ByteSizeLong();
    attempt.answer.clear_http();
    // The attempt ran, but its answer is no longer available.
    if (attempt.answer.verdict() == schema::ANSWERED) {
      attempt.answer.set_verdict(schema::MAY_HAVE_RUN);
      attempt.answer.set_reason(schema::RECALLED);
    }
    ++first_with_answer_;
  }
}

auto AttemptTable::Remove(uint64_t id) -> void {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt& attempt = found->second;
  answer_bytes_ -= attempt.answer.http().ByteSizeLong();
  if (attempt.answer.verdict() != schema::NOT_RUN) {
    uint64_t& mark =
        highest_removed_[{attempt.entry, attempt.entry_incarnation}];
    mark = std::max(mark, id);
  }
  attempts_.erase(found);
}

}  // namespace rhubarbhaven
