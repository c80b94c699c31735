#include "Placement/pending_order.h"

#include <algorithm>
#include <utility>

#include "Placement/preemption.h"

namespace rhubarbhaven {

PendingOrder::PendingOrder(JobTable* jobs,
                           TimePoint now,
                           std::chrono::seconds ageing) {
  for (std::size_t id = 0; id < jobs->jobs().size(); ++id) {
    Add(jobs, static_cast<JobId>(id), now, ageing);
  }
  for (Class& group : classes_) {
    std::ranges::make_heap(group.own, AfterByPriority);
    std::ranges::make_heap(group.aged, AfterByTime);
  }
}

auto PendingOrder::AfterByPriority(const Entry& left, const Entry& right)
    -> bool {
  if (left.priority != right.priority) {
    return left.priority < right.priority;
  }
  return AfterByTime(left, right);
}

auto PendingOrder::AfterByTime(const Entry& left, const Entry& right) -> bool {
  return std::pair(left.since, left.job) > std::pair(right.since, right.job);
}

auto PendingOrder::Add(JobTable* jobs,
                       JobId id,
                       TimePoint now,
                       std::chrono::seconds ageing) -> void {
  const std::optional<TimePoint> first = jobs->FirstWaitingSince(id);
  if (!first.has_value()) {
    return;
  }
  const TimePoint since = *first;
  const JobGroup& job = jobs->job(id);
  const int own_rank = UrgencyRank(job.urgency);
  int rank = own_rank;
  if (ageing.count() > 0 && now > since) {
    const auto promotions = (now - since) / ageing;
    rank = static_cast<int>(std::min<int64_t>(
        kClassCount - 1, own_rank + static_cast<int64_t>(promotions)));
  }
  Class& group = classes_[static_cast<std::size_t>(rank)];
  EntryHeap& heap = rank == own_rank ? group.own : group.aged;
  heap.push_back({id, job.priority, since});
}

auto PendingOrder::Next(uint64_t turn) -> std::optional<JobId> {
  for (auto group = classes_.rbegin(); group != classes_.rend(); ++group) {
    if (group->own.empty() && group->aged.empty()) {
      continue;
    }
    const bool aged_turn =
        turn % (kOwnTurnsPerAgedTurn + 1) == kOwnTurnsPerAgedTurn;
    current_is_aged_ =
        !group->aged.empty() && (aged_turn || group->own.empty());
    current_ = current_is_aged_ ? &group->aged : &group->own;
    return current_->front().job;
  }
  return std::nullopt;
}

auto PendingOrder::RemoveCurrent() -> void {
  std::ranges::pop_heap(*current_,
                        current_is_aged_ ? AfterByTime : AfterByPriority);
  current_->pop_back();
}

}  // namespace rhubarbhaven
