#include "Daemon/stream_service.h"

#include <utility>

namespace rhubarbhaven {
namespace {

// Fits into one record, with room for its framing.
constexpr std::size_t kSnapshotChunkBytes = 256 << 10;

auto PolicyOf(const StreamServiceOptions& options) -> SnapshotPolicyOptions {
  SnapshotPolicyOptions policy = options.snapshot;
  policy.writer = options.writer;
  return policy;
}

}  // namespace

auto StreamOptionsOf(const schema::DaemonSettings& settings,
                     uint64_t incarnation,
                     const std::string& stream) -> StreamServiceOptions {
  const auto& entry = settings.entry();
  StreamServiceOptions options;
  options.log_url = settings.log_url();
  options.stream = stream;
  options.writer = settings.id();
  options.incarnation = incarnation;
  options.append_interval =
      std::chrono::milliseconds(entry.append_interval_ms());
  options.snapshot.min_records = entry.snapshot_after_records();
  options.snapshot.spread =
      std::chrono::milliseconds(entry.snapshot_spread_ms());
  return options;
}

StreamService::StreamService(StreamServiceOptions options,
                             StreamHooks hooks,
                             Metrics* metrics)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      policy_(PolicyOf(options_)),
      writer_(WriterHooks()),
      follower_(FollowerHooks()) {}

auto StreamService::Start() -> void {
  writer_.Start();
  follower_.Start();
}

auto StreamService::Stop(std::chrono::milliseconds limit) -> void {
  writer_.Stop(limit);
  follower_.Stop();
}

auto StreamService::Append(schema::LogEntry entry) -> bool {
  metrics_->Add("rhubarbhaven_log_entries_total{stream=\"" + options_.stream +
                "\"}");
  return writer_.Append(std::move(entry));
}

auto StreamService::FollowerHooks() -> FollowerOptions {
  FollowerOptions follower;
  follower.log_url = options_.log_url;
  follower.stream = options_.stream;
  follower.wait = options_.read_wait;
  follower.on_snapshot = [this](const CompleteSnapshot& snapshot) -> void {
    hooks_.post([this, snapshot](TimePoint now) -> void {
      hooks_.on_snapshot(now, snapshot.state);
    });
  };
  follower.on_record = [this](uint64_t offset,
                              const schema::LogRecord& record) -> void {
    OnRecord(offset, record);
  };
  follower.on_caught_up = [this](TimePoint requested_at) -> void {
    writer_.OnCaughtUp(requested_at);
    hooks_.post([this, requested_at](TimePoint now) -> void {
      hooks_.on_caught_up(now, requested_at);
    });
    SetReachable(true);
  };
  follower.on_unreachable = [this](const absl::Status&) -> void {
    metrics_->Add("rhubarbhaven_log_read_failures_total{stream=\"" +
                  options_.stream + "\"}");
    SetReachable(false);
  };
  follower.on_extent = [this](uint64_t first_kept, uint64_t next) -> void {
    hooks_.post([this, first_kept, next](TimePoint now) -> void {
      OnExtent(now, first_kept, next);
    });
  };
  return follower;
}

auto StreamService::WriterHooks() -> WriterOptions {
  WriterOptions writer;
  writer.log_url = options_.log_url;
  writer.stream = options_.stream;
  writer.queue.writer = options_.writer;
  writer.queue.incarnation = options_.incarnation;
  writer.queue.interval = options_.append_interval;
  writer.give_back_after = options_.give_back_after;
  writer.on_failed = [this](const schema::LogEntry& entry) -> void {
    hooks_.post([this, entry](TimePoint now) -> void {
      hooks_.on_append_failed(now, entry);
    });
  };
  return writer;
}

auto StreamService::OnRecord(uint64_t offset, const schema::LogRecord& record)
    -> void {
  writer_.OnRead(record);
  hooks_.post([this, offset, record](TimePoint now) -> void {
    policy_.OnRecord(now, offset, record);
    hooks_.on_record(now, offset, record);
  });
}

auto StreamService::OnExtent(TimePoint now, uint64_t first_kept, uint64_t next)
    -> void {
  policy_.OnExtent(now, first_kept, next);
  if (hooks_.export_state && policy_.Due(now)) {
    WriteSnapshot(now);
  }
}

// The log retains records for a limited time. Without a snapshot, a process
// that starts later would find a gap and no state. See docs/design/journal.md.
auto StreamService::WriteSnapshot(TimePoint now) -> void {
  const CompleteSnapshot whole = hooks_.export_state();
  // A process whose own state ends at a gap has nothing newer to write.
  if (!policy_.IsUseful(whole.covers)) {
    return;
  }
  for (auto& entry :
       SplitSnapshot(whole.covers, whole.state, kSnapshotChunkBytes)) {
    if (!writer_.Append(std::move(entry))) {
      metrics_->Add("rhubarbhaven_snapshots_refused_total");
      return;
    }
  }
  policy_.OnWritten(now);
  metrics_->Add("rhubarbhaven_snapshots_written_total{stream=\"" +
                options_.stream + "\"}");
}

auto StreamService::SetReachable(bool reachable) -> void {
  metrics_->SetGauge(
      "rhubarbhaven_log_reachable{stream=\"" + options_.stream + "\"}",
      reachable ? 1 : 0);
  hooks_.post([this, reachable](TimePoint now) -> void {
    hooks_.on_reachable(now, reachable);
  });
}

}  // namespace rhubarbhaven
