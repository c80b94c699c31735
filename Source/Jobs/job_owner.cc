#include "Jobs/job_owner.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

// A run's number carries the owner's fence, so that a later owner's numbers are
// higher than all earlier ones although it does not know them.
constexpr int kRunBits = 30;

}  // namespace

JobOwner::JobOwner(JobOwnerOptions options, JobOwnerHooks hooks)
    : options_(options),
      hooks_(std::move(hooks)),
      tickets_([this](const AdviceCall& call, const auto& done) -> void {
        hooks_.ask_advice(call, done);
      }) {}

JobOwner::~JobOwner() = default;

auto JobOwner::Begin(TimePoint now,
                     uint64_t fence,
                     const JobFold* fold,
                     TimePoint silent_until) -> void {
  End();
  fence_ = fence;
  fold_ = fold;
  claim_at_ = fold->claim_at();
  silent_until_ = silent_until;
  begun_at_ = now;
  interference_.Load(fold->pressures());
  pressures_stored_at_ = now;
  for (const auto& [name, entry] : fold->agents()) {
    AddAgent(now, entry);
  }
  for (const auto& [id, entry] : fold->jobs()) {
    if (!entry->job.id().empty()) {
      AddJob(now, *entry);
    }
  }
  FinishCensus(now);
  place_due_ = true;
}

auto JobOwner::End() -> void {
  fence_ = 0;
  census_done_ = false;
  jobs_.clear();
  workers_.clear();
  over_since_.clear();
  tickets_.Clear();
  keys_to_drop_.clear();
  agents_in_drop_.clear();
  agents_to_restore_.clear();
  batch_out_ = false;
  batch_ends_.clear();
  next_order_ = 1;
  next_run_ = 1;
  due_at_ = TimePoint::max();
  retry_at_ = TimePoint::max();
}

auto JobOwner::OnChange(TimePoint now, const FoldChange& change) -> void {
  if (!active()) {
    return;
  }
  switch (change.kind) {
    case RecordKind::kJob: {
      const auto* entry = fold_->Find(change.name);
      if (entry == nullptr) {
        DropJob(now, change.name);
      } else if (!jobs_.contains(change.name)) {
        AddJob(now, *entry);
        place_due_ = true;
      }
      break;
    }
    case RecordKind::kCancellation: {
      const auto found = jobs_.find(change.name);
      if (found != jobs_.end() && found->second->entry->over()) {
        EndJob(*found->second, "its job was cancelled");
        ForgetJobIfIdle(now, change.name);
      }
      break;
    }
    case RecordKind::kProgress: {
      const auto found = jobs_.find(change.name);
      if (found != jobs_.end() && found->second->entry->over()) {
        ForgetJobIfIdle(now, change.name);
      }
      break;
    }
    case RecordKind::kAgent:
      OnAgentRecord(now, change.name);
      break;
    default:
      break;
  }
}

auto JobOwner::OnRules() -> void {
  for (auto& [id, work] : jobs_) {
    const auto* rules = hooks_.rules(work->job().queue());
    if (rules != nullptr) {
      work->rules = *rules;
    }
  }
  place_due_ = true;
}

auto JobOwner::OnReport(TimePoint now,
                        const std::string& agent,
                        const AgentReport& report) -> bool {
  if (!active() || report.fence() < fence_) {
    return true;
  }
  if (report.fence() > fence_) {
    return false;
  }
  const auto found = workers_.find(agent);
  if (found == workers_.end()) {
    return true;
  }
  WorkerView& worker = *found->second;
  UpdateWorker(now, worker, report);
  const bool census = !worker.confirmed && !census_done_;
  if (report.complete() && !worker.confirmed) {
    AdoptListing(now, worker, report);
  } else if (report.complete()) {
    for (const auto& row : report.running()) {
      NoteProgress(now, worker, row);
    }
    StopStalled(now, worker);
    LearnInterference(now, worker, report);
  }
  if (worker.confirmed) {
    for (const auto& row : report.ended()) {
      if (row.number() > worker.ends_taken) {
        worker.ends_taken = row.number();
        OnEnd(now, worker, row, census);
      }
    }
  }
  for (const auto& result : report.results()) {
    OnOrderResult(now, worker, result);
  }
  if (report.worker_lapsed()) {
    LoseRuns(now, worker, "the worker is silent and its lease has run out");
    worker.confirmed = false;
  }
  FinishCensus(now);
  return true;
}

auto JobOwner::TakeBatch() -> std::vector<KeyedRecord> {
  std::vector<KeyedRecord> records;
  if (!active() || batch_out_) {
    return records;
  }
  for (auto& [id, work] : jobs_) {
    if (work->dirty) {
      work->dirty = false;
      records.push_back(
          MakeRecord(RecordKind::kProgress, id, work->Progress()));
    }
  }
  AddEnds(&records);
  AddRoster(&records);
  for (const auto& key : keys_to_drop_) {
    records.push_back({key, "", 0});
  }
  keys_to_drop_.clear();
  if (pressures_due_) {
    pressures_due_ = false;
    records.push_back(
        MakeRecord(RecordKind::kPressures, "", interference_.Learned()));
  }
  batch_out_ = !records.empty();
  return records;
}

auto JobOwner::AddEnds(std::vector<KeyedRecord>* records) -> void {
  batch_ends_.clear();
  for (const auto& [name, worker] : workers_) {
    if (worker->ends_taken > worker->ends_logged) {
      WorkerEnds ends;
      ends.set_worker_id(worker->worker_id);
      ends.set_last_end(worker->ends_taken);
      records->push_back(
          MakeRecord(RecordKind::kWorkerEnds, worker->worker_id, ends));
      batch_ends_[worker->worker_id] = worker->ends_taken;
    }
  }
}

auto JobOwner::AddRoster(std::vector<KeyedRecord>* records) -> void {
  for (const auto& key : keys_to_drop_) {
    const RecordKey parsed = ParseKey(key);
    if (parsed.kind == RecordKind::kAgent) {
      agents_in_drop_.insert(parsed.name);
    }
  }
  for (const auto& name : agents_to_restore_) {
    const auto found = workers_.find(name);
    if (found != workers_.end()) {
      records->push_back(
          MakeRecord(RecordKind::kAgent, name, found->second->registration));
    }
  }
  agents_to_restore_.clear();
}

auto JobOwner::OnBatchStored() -> void {
  batch_out_ = false;
  agents_in_drop_.clear();
  for (const auto& [name, worker] : workers_) {
    const auto found = batch_ends_.find(worker->worker_id);
    if (found != batch_ends_.end()) {
      worker->ends_logged = std::max(worker->ends_logged, found->second);
      worker->poll_due = true;
    }
  }
  batch_ends_.clear();
}

auto JobOwner::Tick(TimePoint now) -> void {
  if (!active()) {
    return;
  }
  LoseSilentWorkers(now);
  ForgetSilentAgents(now);
  FinishCensus(now);
  if (due_at_ <= now) {
    due_at_ = TimePoint::max();
    for (auto& [id, work] : jobs_) {
      OpenDue(now, *work);
    }
  }
  if (retry_at_ <= now) {
    retry_at_ = NextTakeBack(now);
    place_due_ = true;
  }
  if (tickets_.TakeNews()) {
    place_due_ = true;
  }
  if (place_due_) {
    place_due_ = false;
    PlaceAll(now);
  }
  for (auto over = over_since_.begin(); over != over_since_.end();) {
    if (now - over->second < options_.keep_over) {
      ++over;
      continue;
    }
    for (const auto kind :
         {RecordKind::kJob, RecordKind::kProgress, RecordKind::kCancellation}) {
      keys_to_drop_.push_back(MakeKey(kind, over->first));
    }
    over = over_since_.erase(over);
  }
  if (now - pressures_stored_at_ >= options_.store_pressures) {
    pressures_stored_at_ = now;
    pressures_due_ = !interference_.Learned().pressures().empty();
  }
  PollAll(now);
}

auto JobOwner::next_wake() const -> TimePoint {
  if (!active()) {
    return TimePoint::max();
  }
  if (place_due_) {
    return TimePoint();
  }
  TimePoint wake = std::min({due_at_, retry_at_});
  if (!census_done_) {
    wake = std::min(wake, silent_until_);
  }
  for (const auto& [name, worker] : workers_) {
    wake = std::min(wake, NextPoll(*worker));
  }
  return wake;
}

auto JobOwner::NextTakeBack(TimePoint now) const -> TimePoint {
  TimePoint next = TimePoint::max();
  for (const auto& [name, worker] : workers_) {
    if (worker->set_aside_until > now) {
      next = std::min(next, worker->set_aside_until);
    }
  }
  return next;
}

auto JobOwner::AddJob(TimePoint now, const StoredJob& entry) -> void {
  if (entry.over()) {
    over_since_[entry.job.id()] = now;
    return;
  }
  auto work = std::make_unique<JobWork>();
  work->entry = &entry;
  const auto* rules = hooks_.rules(entry.job.queue());
  work->rules = rules != nullptr ? *rules : entry.job.rules();
  // An earlier owner may have started tasks of jobs that it read before the
  // claim, on agents that have not answered yet.
  const bool uncertain = !census_done_ && entry.accepted_at < claim_at_;
  work->Restore(now, uncertain);
  JobWork& added = *work;
  jobs_[entry.job.id()] = std::move(work);
  OpenDue(now, added);
}

auto JobOwner::EndJob(JobWork& work, const std::string& why) -> void {
  for (auto& [number, occurrence] : work.occurrences) {
    for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      auto& tasks = occurrence.steps[step].tasks;
      for (uint32_t index = 0; index < tasks.size(); ++index) {
        const TaskPlace place{&work, number, step, index};
        for (auto& run : tasks[index].runs) {
          StopRun(place, run, why);
        }
      }
    }
  }
}

auto JobOwner::ForgetJobIfIdle(TimePoint now, const std::string& id) -> void {
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || !found->second->entry->over() ||
      found->second->dirty) {
    return;
  }
  for (const auto& [number, occurrence] : found->second->occurrences) {
    for (const auto& step : occurrence.steps) {
      for (const auto& task : step.tasks) {
        if (!task.runs.empty()) {
          return;
        }
      }
    }
  }
  over_since_.emplace(id, now);
  tickets_.Forget(id);
  jobs_.erase(found);
}

auto JobOwner::DropJob(TimePoint now, const std::string& id) -> void {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  for (auto& [number, occurrence] : found->second->occurrences) {
    for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      auto& tasks = occurrence.steps[step].tasks;
      for (uint32_t index = 0; index < tasks.size(); ++index) {
        const TaskPlace place{found->second.get(), number, step, index};
        while (!tasks[index].runs.empty()) {
          const auto run = tasks[index].runs.front();
          RemoveRun(now, place, run.run, run.worker);
        }
      }
    }
  }
  jobs_.erase(found);
}

auto JobOwner::OpenDue(TimePoint now, JobWork& work) -> void {
  const bool uncertain = !census_done_ && work.entry->accepted_at < claim_at_;
  const auto wall = hooks_.wall_clock();
  const uint32_t total = work.total_occurrences();
  while (work.opened < total) {
    std::chrono::milliseconds left{0};
    if (work.job().occurrences() > 0) {
      const std::chrono::milliseconds due(work.job().first_due_unix_ms() +
                                          work.opened *
                                              work.job().interval_ms());
      left = due - wall;
    }
    if (left.count() > 0) {
      due_at_ = std::min(due_at_, now + left);
      return;
    }
    work.Open(now, work.opened, uncertain);
    place_due_ = true;
  }
}

auto JobOwner::Locate(const TaskName& name) -> std::optional<TaskPlace> {
  const auto found = jobs_.find(name.job());
  if (found == jobs_.end()) {
    return std::nullopt;
  }
  JobWork& work = *found->second;
  if (name.occurrence() >= work.total_occurrences() ||
      name.step() >= static_cast<uint32_t>(work.job().steps_size()) ||
      name.index() >= work.job().steps(static_cast<int>(name.step())).count()) {
    return std::nullopt;
  }
  if (!work.occurrences.contains(name.occurrence())) {
    return std::nullopt;
  }
  return TaskPlace{&work, name.occurrence(), name.step(), name.index()};
}

auto JobOwner::SetState(JobWork& work, JobState state) -> void {
  if (work.state != state) {
    work.state = state;
    work.dirty = true;
  }
}

auto JobOwner::FinishCensus(TimePoint now) -> void {
  if (census_done_ || !active()) {
    return;
  }
  const bool all_answered = std::all_of(
      workers_.begin(), workers_.end(),
      [](const auto& item) -> bool { return item.second->confirmed; });
  if (!all_answered && now < silent_until_) {
    return;
  }
  census_done_ = true;
  for (auto& [id, work] : jobs_) {
    for (auto& [number, occurrence] : work->occurrences) {
      for (auto& step : occurrence.steps) {
        for (auto& task : step.tasks) {
          task.uncertain = false;
        }
      }
    }
  }
  place_due_ = true;
}

auto JobOwner::NewRun() -> uint64_t {
  return (fence_ << kRunBits) + next_run_++;
}

auto JobOwner::Log(const std::string& what,
                   const TaskPlace& place,
                   uint64_t run,
                   const WorkerView* worker,
                   const std::string& why) -> void {
  hooks_.log(
      {what, place.Name(), run, worker != nullptr ? worker->agent : "", why});
}

}  // namespace rhubarbhaven::jobs
