#include "Daemon/cell_duty.h"

#include <utility>
#include <variant>

namespace rhubarbhaven {
namespace {

auto OptionsOfStream(const CellDutyOptions& options) -> StreamDutyOptions {
  StreamDutyOptions stream = options.stream;
  // An owner counts as silent only over reads that follow each other closely
  // (half of the claim timeout); a read that waited longer would look like a
  // gap each time, and nobody would ever claim the cell.
  constexpr int kReadsPerClaimTimeout = 4;
  stream.read_wait = options.owner.claim_timeout / kReadsPerClaimTimeout;
  return stream;
}

}  // namespace

CellDuty::CellDuty(const CellDutyOptions& options,
                   CellHooks hooks,
                   Metrics* metrics)
    : hooks_(std::move(hooks)),
      metrics_(metrics),
      owner_(options.owner),
      stream_(OptionsOfStream(options), Hooks(), metrics) {}

auto CellDuty::Hooks() -> StreamHooks {
  StreamHooks hooks;
  hooks.post = hooks_.post;
  hooks.on_record = [this](TimePoint now, uint64_t offset,
                           const schema::LogRecord& record) -> void {
    Carry(now, owner_.OnRecord(now, offset, record));
  };
  hooks.on_snapshot = [this](TimePoint now, const std::string& bytes) -> void {
    schema::CellState state;
    if (state.ParseFromString(bytes)) {
      Carry(now, owner_.OnSnapshot(now, state));
    }
  };
  hooks.on_caught_up = [this](TimePoint now, TimePoint asked) -> void {
    Carry(now, owner_.OnCaughtUp(now, asked));
  };
  hooks.on_reachable = [](TimePoint, bool) -> void {};
  hooks.on_append_failed = [this](TimePoint now,
                                  const schema::LogEntry& entry) -> void {
    Carry(now, owner_.OnAppendFailed(now, entry));
  };
  hooks.export_state = [this]() -> WholeSnapshot {
    const schema::CellState state = owner_.fold().Export();
    return {state.applied(), state.SerializeAsString()};
  };
  return hooks;
}

auto CellDuty::OnConfig(TimePoint now,
                        const std::vector<schema::VersionedObject>& objects)
    -> void {
  Carry(now, owner_.OnConfig(now, objects));
}

auto CellDuty::OnMessage(TimePoint now,
                         const std::string& agent,
                         const schema::Envelope& message) -> void {
  Carry(now, owner_.OnMessage(now, agent, message));
}

auto CellDuty::OnPeerState(TimePoint now, const schema::CellState& state)
    -> void {
  if (state.applied() <= owner_.fold().applied()) {
    return;
  }
  Carry(now, owner_.OnSnapshot(now, state));
  stream_.SkipTo(owner_.fold().applied());
}

auto CellDuty::OnTick(TimePoint now) -> void {
  if (owner_.next_wake() <= now) {
    Carry(now, owner_.OnTick(now));
  }
}

auto CellDuty::Evict(TimePoint now, const schema::TaskId& task) -> void {
  Carry(now, owner_.Evict(now, task));
}

auto CellDuty::Release(TimePoint now) -> void {
  Carry(now, owner_.Release(now));
}

auto CellDuty::Carry(TimePoint now, const OwnerActions& actions) -> void {
  for (const auto& action : actions) {
    std::visit([this, now](const auto& one) -> void { CarryOne(now, one); },
               action);
  }
}

auto CellDuty::CarryOne(TimePoint now, const AppendToCell& append) -> void {
  if (!stream_.Append(append.entry)) {
    Carry(now, owner_.OnAppendFailed(now, append.entry));
  }
}

auto CellDuty::CarryOne(TimePoint /*now*/, const SendToSupervisor& order)
    -> void {
  if (!hooks_.send(order.agent, order.message)) {
    // The owner repeats what is not acknowledged.
    metrics_->AddReason("dropped", schema::RING_FULL);
  }
}

auto CellDuty::CarryOne(TimePoint /*now*/, const CountOwnerEvent& count)
    -> void {
  metrics_->Add("rhubarbhaven_owner_events_total{event=\"" + count.counter +
                "\"}");
}

}  // namespace rhubarbhaven
