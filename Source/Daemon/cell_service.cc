#include "Daemon/cell_service.h"

#include <utility>
#include <variant>

namespace rhubarbhaven {
namespace {

auto OptionsOfStream(const CellServiceOptions& options)
    -> StreamServiceOptions {
  StreamServiceOptions stream = options.stream;
  // An owner is declared unresponsive only if consecutive reads are at most
  // half of the claim timeout apart. A read that waits longer would count as a
  // gap each time, and no entry would ever claim the cell.
  constexpr int kReadsPerClaimTimeout = 4;
  stream.read_wait = options.owner.claim_timeout / kReadsPerClaimTimeout;
  return stream;
}

}  // namespace

CellService::CellService(const CellServiceOptions& options,
                         CellHooks hooks,
                         Metrics* metrics)
    : hooks_(std::move(hooks)),
      metrics_(metrics),
      owner_(options.owner),
      stream_(OptionsOfStream(options), Hooks(), metrics) {}

auto CellService::Hooks() -> StreamHooks {
  StreamHooks hooks;
  hooks.post = hooks_.post;
  hooks.on_record = [this](TimePoint now, uint64_t offset,
                           const schema::LogRecord& record) -> void {
    ExecuteActions(now, owner_.OnRecord(now, offset, record));
  };
  hooks.on_snapshot = [this](TimePoint now, const std::string& bytes) -> void {
    schema::CellState state;
    if (state.ParseFromString(bytes)) {
      ExecuteActions(now, owner_.OnSnapshot(now, state));
    }
  };
  hooks.on_caught_up = [this](TimePoint now, TimePoint requested_at) -> void {
    ExecuteActions(now, owner_.OnCaughtUp(now, requested_at));
  };
  hooks.on_reachable = [](TimePoint, bool) -> void {};
  hooks.on_append_failed = [this](TimePoint now,
                                  const schema::LogEntry& entry) -> void {
    ExecuteActions(now, owner_.OnAppendFailed(now, entry));
  };
  hooks.export_state = [this]() -> CompleteSnapshot {
    const schema::CellState state = owner_.fold().Export();
    return {state.applied(), state.SerializeAsString()};
  };
  return hooks;
}

auto CellService::OnConfig(TimePoint now,
                           const std::vector<schema::VersionedObject>& objects)
    -> void {
  ExecuteActions(now, owner_.OnConfig(now, objects));
}

auto CellService::OnMessage(TimePoint now,
                            const std::string& agent,
                            const schema::Envelope& message) -> void {
  ExecuteActions(now, owner_.OnMessage(now, agent, message));
}

auto CellService::OnPeerState(TimePoint now, const schema::CellState& state)
    -> void {
  if (state.applied() <= owner_.fold().applied()) {
    return;
  }
  ExecuteActions(now, owner_.OnSnapshot(now, state));
  stream_.SkipTo(owner_.fold().applied());
}

auto CellService::OnTick(TimePoint now) -> void {
  if (owner_.next_wake() <= now) {
    ExecuteActions(now, owner_.OnTick(now));
  }
}

auto CellService::Evict(TimePoint now, const schema::TaskId& task) -> void {
  ExecuteActions(now, owner_.Evict(now, task));
}

auto CellService::Release(TimePoint now) -> void {
  ExecuteActions(now, owner_.Release(now));
}

auto CellService::ExecuteActions(TimePoint now, const OwnerActions& actions)
    -> void {
  for (const auto& action : actions) {
    std::visit(
        [this, now](const auto& one) -> void { ExecuteAction(now, one); },
        action);
  }
}

auto CellService::ExecuteAction(TimePoint now, const AppendToCell& append)
    -> void {
  if (!stream_.Append(append.entry)) {
    ExecuteActions(now, owner_.OnAppendFailed(now, append.entry));
  }
}

auto CellService::ExecuteAction(TimePoint /*now*/,
                                const SendToSupervisor& order) -> void {
  if (!hooks_.send(order.agent, order.message)) {
    // Not retried here: the owner sends unacknowledged orders again.
    metrics_->AddReason("dropped", schema::RING_FULL);
  }
}

auto CellService::ExecuteAction(TimePoint /*now*/, const CountOwnerEvent& count)
    -> void {
  metrics_->Add("rhubarbhaven_owner_events_total{event=\"" + count.counter +
                "\"}");
}

}  // namespace rhubarbhaven
