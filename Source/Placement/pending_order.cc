#include "Placement/pending_order.h"

#include <algorithm>

#include "Placement/preemption.h"

namespace rhubarbhaven {

PendingOrder::PendingOrder(JobTable* jobs,
                           TimePoint now,
                           std::chrono::seconds ageing) {
  for (std::size_t id = 0; id < jobs->jobs().size(); ++id) {
    if (!jobs->jobs()[id].waiting.empty()) {
      Add(jobs, static_cast<JobId>(id), now, ageing);
    }
  }
  const auto before = [](const Entry& left, const Entry& right) -> bool {
    if (left.priority != right.priority) {
      return left.priority > right.priority;
    }
    return left.since < right.since;
  };
  for (Class& group : classes_) {
    std::ranges::sort(group.own.entries, before);
    std::ranges::sort(group.aged.entries, {}, &Entry::since);
  }
}

auto PendingOrder::Add(JobTable* jobs,
                       JobId id,
                       TimePoint now,
                       std::chrono::seconds ageing) -> void {
  std::size_t head = 0;
  const std::optional<uint32_t> first = jobs->NextWaiting(id, head);
  if (!first.has_value()) {
    return;
  }
  const JobGroup& job = jobs->job(id);
  const TimePoint since = job.waiting.find(*first)->second.since;
  const int own_rank = UrgencyRank(job.urgency);
  int rank = own_rank;
  if (ageing.count() > 0 && now > since) {
    const auto steps = (now - since) / ageing;
    rank = static_cast<int>(std::min<int64_t>(
        kClasses - 1, own_rank + static_cast<int64_t>(steps)));
  }
  Class& group = classes_[static_cast<std::size_t>(rank)];
  Lane& lane = rank == own_rank ? group.own : group.aged;
  lane.entries.push_back({id, job.priority, since});
}

auto PendingOrder::Next(uint64_t turn) -> std::optional<JobId> {
  for (auto group = classes_.rbegin(); group != classes_.rend(); ++group) {
    const bool own_left = group->own.next < group->own.entries.size();
    const bool aged_left = group->aged.next < group->aged.entries.size();
    if (!own_left && !aged_left) {
      continue;
    }
    const bool aged_turn = turn % (kUrgentTurns + 1) == kUrgentTurns;
    const bool take_aged = aged_left && (aged_turn || !own_left);
    current_ = take_aged ? &group->aged : &group->own;
    return current_->entries[current_->next].job;
  }
  return std::nullopt;
}

auto PendingOrder::Drop() -> void {
  ++current_->next;
}

}  // namespace rhubarbhaven
