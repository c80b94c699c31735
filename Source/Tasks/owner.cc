#include "Tasks/owner.h"

#include <utility>

#include "Tasks/owner_impl.h"

namespace rhubarbhaven {

Owner::Owner(OwnerOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

Owner::~Owner() = default;

auto Owner::OnConfig(TimePoint now,
                     const std::vector<schema::VersionedObject>& objects)
    -> OwnerActions {
  impl_->OnConfig(now, objects);
  impl_->Advance(now);
  return impl_->TakeActions();
}

auto Owner::OnRecord(TimePoint now,
                     uint64_t offset,
                     const schema::LogRecord& record) -> OwnerActions {
  impl_->OnRecord(now, offset, record);
  impl_->Advance(now);
  return impl_->TakeActions();
}

auto Owner::OnSnapshot(TimePoint now, const schema::CellState& state)
    -> OwnerActions {
  impl_->OnSnapshot(now, state);
  impl_->Advance(now);
  return impl_->TakeActions();
}

auto Owner::OnCaughtUp(TimePoint now, TimePoint read_sent_at) -> OwnerActions {
  impl_->OnCaughtUp(now, read_sent_at);
  impl_->Advance(now);
  return impl_->TakeActions();
}

auto Owner::OnMessage(TimePoint now,
                      const std::string& agent,
                      const schema::Envelope& message) -> OwnerActions {
  impl_->OnMessage(now, agent, message);
  impl_->Advance(now);
  return impl_->TakeActions();
}

auto Owner::OnAppendFailed(TimePoint now, const schema::LogEntry& entry)
    -> OwnerActions {
  impl_->OnAppendFailed(now, entry);
  impl_->Advance(now);
  return impl_->TakeActions();
}

auto Owner::Evict(TimePoint /*now*/, const schema::TaskId& task)
    -> OwnerActions {
  impl_->Evict(task);
  return impl_->TakeActions();
}

auto Owner::Release(TimePoint /*now*/) -> OwnerActions {
  impl_->Release();
  return impl_->TakeActions();
}

auto Owner::OnTick(TimePoint now) -> OwnerActions {
  impl_->Advance(now);
  return impl_->TakeActions();
}

auto Owner::next_wake() const -> TimePoint {
  return impl_->next_wake();
}

auto Owner::owns() const -> bool {
  return impl_->owns();
}

auto Owner::fold() const -> const CellFold& {
  return impl_->fold();
}

auto Owner::Tasks(TimePoint /*now*/) const -> std::vector<TaskView> {
  return impl_->Tasks();
}

auto Owner::Instances(TimePoint now) const -> std::vector<InstanceView> {
  return impl_->Instances(now);
}

auto Owner::Explain(TimePoint now, const schema::TaskId& task) const
    -> std::string {
  return impl_->Explain(now, task);
}

}  // namespace rhubarbhaven
