#include "Placement/job_table.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven {
namespace {

// A job's order is compacted when it begins with at least this many stale
// entries, and they are at least half of it.
constexpr std::size_t kMinStaleEntries = 64;
// Maximum number of jobs whose peak memory use is kept after their last version
// is removed. All are cleared when it is reached.
constexpr std::size_t kMaxRetainedJobs = 65536;

auto FullName(const std::string& partner, const std::string& job)
    -> std::string {
  return partner + "/" + job;
}

auto Decrement(absl::flat_hash_map<uint32_t, uint32_t>& counts, uint32_t key)
    -> void {
  const auto entry = counts.find(key);
  if (entry == counts.end()) {
    return;
  }
  if (--entry->second == 0) {
    counts.erase(entry);
  }
}

}  // namespace

auto JobTable::Find(const schema::TaskId& task) const
    -> std::optional<TaskKey> {
  const auto entry = by_name_.find(FullName(task.partner(), task.job()));
  if (entry == by_name_.end()) {
    return std::nullopt;
  }
  for (const JobId id : entry->second) {
    if (jobs_[id].version == task.job_version()) {
      return TaskKey{id, task.index()};
    }
  }
  return std::nullopt;
}

auto JobTable::Update(PendingTask spec, NameTable& names) -> TaskKey {
  const uint32_t partner = names.Intern(spec.task.partner());
  const uint32_t team =
      spec.team.empty()
          ? kNoName
          : names.Intern(FullName(spec.task.partner(), spec.team));
  const std::optional<TaskKey> known = Find(spec.task);
  const uint32_t index = spec.task.index();
  const TaskKey key =
      known.has_value() ? *known : TaskKey{Create(std::move(spec.task)), index};
  JobGroup& group = jobs_[key.job];
  group.partner = partner;
  group.team = team;
  group.failure_domain =
      spec.failure_domain.empty() ? kNoName : names.Intern(spec.failure_domain);
  group.urgency = spec.urgency;
  group.priority = spec.priority;
  group.max_per_rack = spec.max_per_rack;
  group.costly_to_evict = spec.costly_to_evict;
  return key;
}

auto JobTable::Versions(const std::string& partner,
                        const std::string& job) const -> std::vector<JobId> {
  const auto entry = by_name_.find(FullName(partner, job));
  if (entry == by_name_.end()) {
    return {};
  }
  return entry->second;
}

auto JobTable::Id(TaskKey key) const -> schema::TaskId {
  const JobGroup& group = jobs_[key.job];
  schema::TaskId task;
  task.set_partner(group.partner_name);
  task.set_job(group.name);
  task.set_index(key.index);
  task.set_job_version(group.version);
  return task;
}

auto JobTable::AddWaiting(TaskKey key, const WaitingTask& task) -> void {
  JobGroup& group = jobs_[key.job];
  if (group.waiting.empty()) {
    group.common_need = task.need;
  } else if (group.common_need != task.need) {
    group.common_need.reset();
  }
  const auto [entry, added] = group.waiting.try_emplace(key.index, task);
  if (added) {
    group.order.push_back(key.index);
    ++waiting_;
    return;
  }
  entry->second = task;
  group.first_known = false;
}

auto JobTable::RemoveWaiting(TaskKey key) -> bool {
  JobGroup& group = jobs_[key.job];
  if (group.waiting.erase(key.index) == 0) {
    return false;
  }
  if (group.first_index == key.index) {
    group.first_known = false;
  }
  --waiting_;
  return true;
}

auto JobTable::ClearWaiting(JobId id) -> void {
  JobGroup& group = jobs_[id];
  waiting_ -= group.waiting.size();
  group.waiting = {};
  group.order = {};
  group.head = 0;
  group.first_known = false;
}

auto JobTable::NextWaiting(JobId id, std::size_t& from)
    -> std::optional<uint32_t> {
  JobGroup& group = jobs_[id];
  if (group.head >= kMinStaleEntries && group.head * 2 >= group.order.size()) {
    const std::size_t stale = group.head;
    group.order.erase(group.order.begin(),
                      group.order.begin() + static_cast<ptrdiff_t>(stale));
    group.head = 0;
    from -= std::min(from, stale);
  }
  from = std::max(from, group.head);
  while (from < group.order.size()) {
    const uint32_t index = group.order[from];
    if (group.waiting.contains(index)) {
      return index;
    }
    if (from == group.head) {
      ++group.head;
    }
    ++from;
  }
  return std::nullopt;
}

auto JobTable::FirstWaitingSince(JobId id) -> std::optional<TimePoint> {
  JobGroup& group = jobs_[id];
  if (group.waiting.empty()) {
    return std::nullopt;
  }
  if (!group.first_known) {
    std::size_t position = 0;
    const std::optional<uint32_t> first = NextWaiting(id, position);
    if (!first.has_value()) {
      return std::nullopt;
    }
    group.first_index = *first;
    group.first_since = group.waiting.find(*first)->second.since;
    group.first_known = true;
  }
  return group.first_since;
}

auto JobTable::RecordMemoryUse(JobId id, int64_t memory_mb) -> void {
  JobGroup& group = jobs_[id];
  if (memory_mb <= group.peak_memory_mb) {
    return;
  }
  group.peak_memory_mb = memory_mb;
  if (peak_memory_mb_.size() >= kMaxRetainedJobs) {
    peak_memory_mb_.clear();
  }
  int64_t& peak = peak_memory_mb_[FullName(group.partner_name, group.name)];
  peak = std::max(peak, memory_mb);
}

auto JobTable::ExpectedNeed(JobId id,
                            const Amounts& need,
                            const Amounts& max_amounts) const -> Amounts {
  const int64_t peak = jobs_[id].peak_memory_mb;
  Amounts expected = need;
  if (peak <= max_amounts.memory_mb) {
    expected.memory_mb = std::max(need.memory_mb, peak);
  }
  return expected;
}

auto JobTable::CountPlaced(JobId id, uint32_t rack, uint32_t domain) -> void {
  JobGroup& group = jobs_[id];
  ++group.placed;
  ++group.placed_per_rack[rack];
  ++group.placed_per_domain[domain];
}

auto JobTable::UncountPlaced(JobId id, uint32_t rack, uint32_t domain) -> void {
  JobGroup& group = jobs_[id];
  --group.placed;
  Decrement(group.placed_per_rack, rack);
  Decrement(group.placed_per_domain, domain);
}

auto JobTable::ReleaseIfEmpty(JobId id) -> void {
  JobGroup& group = jobs_[id];
  if (!group.in_use || group.placed > 0 || !group.waiting.empty()) {
    return;
  }
  const auto entry = by_name_.find(FullName(group.partner_name, group.name));
  std::erase(entry->second, id);
  if (entry->second.empty()) {
    by_name_.erase(entry);
  }
  group = JobGroup{};
  unused_.push_back(id);
}

auto JobTable::Create(schema::TaskId task) -> JobId {
  if (unused_.empty()) {
    unused_.push_back(static_cast<JobId>(jobs_.size()));
    jobs_.emplace_back();
  }
  const JobId id = unused_.back();
  unused_.pop_back();
  const std::string name = FullName(task.partner(), task.job());
  by_name_[name].push_back(id);
  JobGroup& group = jobs_[id];
  const auto peak = peak_memory_mb_.find(name);
  group.peak_memory_mb = peak == peak_memory_mb_.end() ? 0 : peak->second;
  group.in_use = true;
  group.version = task.job_version();
  group.partner_name = std::move(*task.mutable_partner());
  group.name = std::move(*task.mutable_job());
  return id;
}

}  // namespace rhubarbhaven
