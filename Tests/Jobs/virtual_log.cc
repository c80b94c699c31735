#include "Tests/Jobs/virtual_log.h"

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {
namespace {

constexpr std::size_t kMaxRecentSequences = 5;
constexpr std::size_t kPageSize = 50;
constexpr std::chrono::milliseconds kReadRetryInterval{5};
constexpr std::chrono::milliseconds kProgressInterval{200};

auto TimedOutRead(std::size_t bytes) -> ReadResult {
  ReadResult result;
  result.error = "timeout";
  result.timed_out = true;
  result.bytes = bytes;
  return result;
}

auto FailedNewest(const std::string& error, bool timed_out, std::size_t bytes)
    -> NewestResult {
  NewestResult result;
  result.error = error;
  result.timed_out = timed_out;
  result.bytes = bytes;
  return result;
}

}  // namespace

auto FailureTime(const TransferLimits& limits, const VirtualTransfer& transfer)
    -> std::optional<TimePoint> {
  if (transfer.begins > transfer.waited_until + limits.response) {
    return transfer.waited_until + limits.response;
  }
  const std::chrono::duration<double> span = transfer.ends - transfer.begins;
  const std::chrono::duration<double> interval = limits.interval;
  const bool too_slow =
      span > interval &&
      static_cast<double>(transfer.bytes) / span.count() <
          static_cast<double>(limits.min_bytes) / interval.count();
  if (too_slow) {
    return transfer.begins + limits.interval;
  }
  if (transfer.ends > transfer.waited_until + limits.total) {
    return transfer.waited_until + limits.total;
  }
  return std::nullopt;
}

auto VirtualLog::PortFor(const std::string& client,
                         const std::function<auto()->bool>& alive)
    -> KeyedLogPort {
  KeyedLogPort port;
  port.append = [this, client, alive](const AppendCall& call,
                                      const KeyedLogPort::OnAppend& done) {
    Append(client, call,
           [alive, done](TimePoint now, const AppendResult& result) {
             if (alive()) {
               done(now, result);
             }
           });
  };
  const auto while_alive =
      [alive](const OnTransferProgress& on_progress) -> OnTransferProgress {
    return [alive, on_progress](TimePoint now, std::size_t bytes) {
      if (on_progress && alive()) {
        on_progress(now, bytes);
      }
    };
  };
  port.read = [this, client, alive, while_alive](
                  ReadCall call, const KeyedLogPort::OnRead& done) {
    ++reads_[client];
    call.on_progress = while_alive(call.on_progress);
    Read(client, call, time_->now() + call.wait,
         [alive, done](TimePoint now, const ReadResult& result) {
           if (alive()) {
             done(now, result);
           }
         });
  };
  port.newest = [this, client, alive, while_alive](
                    NewestCall call, const KeyedLogPort::OnNewest& done) {
    call.on_progress = while_alive(call.on_progress);
    Newest(client, call, time_->now() + call.limits.response,
           [alive, done](TimePoint now, const NewestResult& result) {
             if (alive()) {
               done(now, result);
             }
           });
  };
  return port;
}

auto VirtualLog::Put(LogTopic topic, KeyedRecord record) -> void {
  auto& log = topics_[topic];
  record.offset = log.records.size();
  log.records.push_back(record);
  if (record.value.empty()) {
    log.newest.erase(record.key);
  } else {
    log.newest[record.key] = std::move(record);
  }
}

auto VirtualLog::EndForReads(LogTopic topic) const -> uint64_t {
  const auto held = ends_for_reads_.find(topic);
  if (held != ends_for_reads_.end()) {
    return held->second;
  }
  const auto found = topics_.find(topic);
  return found == topics_.end() ? 0 : found->second.records.size();
}

auto VirtualLog::AnswersReads(Mode mode) -> bool {
  return mode == Mode::kServes || mode == Mode::kRejects;
}

auto VirtualLog::ModeOf(const std::string& client) const -> Mode {
  const auto found = client_modes_.find(client);
  return found == client_modes_.end() ? mode_ : found->second;
}

auto VirtualLog::TransferOf(const std::string& client,
                            const std::vector<KeyedRecord>& records,
                            TimePoint waited_until) const -> VirtualTransfer {
  VirtualTransfer transfer;
  transfer.waited_until = waited_until;
  transfer.begins = time_->now() + latency_;
  transfer.ends = transfer.begins;
  for (const auto& record : records) {
    transfer.bytes += record.key.size() + record.value.size();
  }
  const auto found = bandwidths_.find(client);
  if (found != bandwidths_.end() && found->second > 0) {
    transfer.ends +=
        std::chrono::milliseconds(transfer.bytes * 1000 / found->second);
  }
  return transfer;
}

auto VirtualLog::ReportProgress(const VirtualTransfer& transfer,
                                TimePoint end,
                                const OnTransferProgress& on_progress) -> void {
  const Duration span =
      std::max<Duration>(transfer.ends - transfer.begins, Duration(1));
  for (TimePoint at = transfer.begins; at < end; at += kProgressInterval) {
    const double share = static_cast<double>((at - transfer.begins).count()) /
                         static_cast<double>(span.count());
    const auto bytes =
        static_cast<std::size_t>(share * static_cast<double>(transfer.bytes));
    time_->At(at, [at, bytes, on_progress]() -> void {
      on_progress(at, std::max<std::size_t>(1, bytes));
    });
  }
}

auto VirtualLog::ApplyHeldAppends() -> void {
  std::vector<HeldAppend> still_held;
  for (auto& held : std::exchange(held_, {})) {
    if (ModeOf(held.client) == Mode::kServes) {
      time_->After(latency_ / 2,
                   [this, call = held.call]() -> void { Apply(call); });
    } else {
      still_held.push_back(std::move(held));
    }
  }
  held_ = std::move(still_held);
}

auto VirtualLog::Apply(const AppendCall& call) -> AppendResult {
  auto& producer = producers_[call.producer];
  AppendResult result;
  if (producer.has_appended && call.epoch < producer.epoch) {
    result.outcome = AppendOutcome::kFenced;
    return result;
  }
  const bool too_large = record_limit_ > 0 &&
                         std::any_of(call.records.begin(), call.records.end(),
                                     [this](const KeyedRecord& record) -> bool {
                                       return SizeInLog(record) > record_limit_;
                                     });
  if (too_large) {
    ++invalid_appends_;
    result.outcome = AppendOutcome::kInvalid;
    return result;
  }
  const bool new_epoch = !producer.has_appended || call.epoch > producer.epoch;
  if (!new_epoch && call.sequence != producer.sequence + 1) {
    const bool repeat =
        std::find(producer.recent.begin(), producer.recent.end(),
                  call.sequence) != producer.recent.end();
    result.outcome =
        repeat ? AppendOutcome::kAppended : AppendOutcome::kOutOfOrder;
    result.expected_sequence = producer.sequence + 1;
    return result;
  }
  if (new_epoch) {
    producer.recent.clear();
  }
  producer.has_appended = true;
  producer.epoch = call.epoch;
  producer.sequence = call.sequence;
  producer.recent.push_back(call.sequence);
  if (producer.recent.size() > kMaxRecentSequences) {
    producer.recent.pop_front();
  }
  for (const auto& record : call.records) {
    Put(LogTopic::kJobs, record);
  }
  result.outcome = AppendOutcome::kAppended;
  return result;
}

auto VirtualLog::Append(const std::string& client,
                        const AppendCall& call,
                        const KeyedLogPort::OnAppend& done) -> void {
  const auto fail = [this, done](AppendOutcome outcome) -> void {
    done(time_->now(), {outcome, 0});
  };
  switch (ModeOf(client)) {
    case Mode::kRejects:
      time_->After(latency_,
                   [fail]() -> void { fail(AppendOutcome::kRejected); });
      return;
    case Mode::kHoldsAppends:
      held_.push_back({client, call});
      [[fallthrough]];
    case Mode::kUnresponsive:
      time_->After(call.timeout,
                   [fail]() -> void { fail(AppendOutcome::kUnknown); });
      return;
    case Mode::kReadsUnanswered:
    case Mode::kServes:
      break;
  }
  if (time_->Chance(lose_answers_)) {
    const Duration late = time_->Chance(0.5)
                              ? Duration(0)
                              : Duration(time_->Milliseconds(1000, 6000));
    time_->After(late, [this, call]() -> void { Apply(call); });
    time_->After(call.timeout,
                 [fail]() -> void { fail(AppendOutcome::kUnknown); });
    return;
  }
  if (latency_ > call.timeout) {
    time_->After(latency_, [this, call]() -> void { Apply(call); });
    time_->After(call.timeout,
                 [fail]() -> void { fail(AppendOutcome::kUnknown); });
    return;
  }
  time_->After(latency_ / 2, [this, call, done]() -> void {
    const AppendResult result = Apply(call);
    time_->After(latency_ / 2, [this, done, result]() -> void {
      done(time_->now(), result);
    });
  });
}

auto VirtualLog::Read(const std::string& client,
                      const ReadCall& call,
                      TimePoint waits_until,
                      const KeyedLogPort::OnRead& done) -> void {
  const Mode mode = ModeOf(client);
  if (mode == Mode::kRejects ||
      time_->now() >= waits_until + call.limits.response) {
    time_->After(latency_, [this, done]() -> void {
      ReadResult refused;
      refused.error = "refused";
      done(time_->now(), refused);
    });
    return;
  }
  const auto& topic = topics_[call.topic];
  const bool compacted =
      call.topic == LogTopic::kJobs && call.from < first_kept_;
  const uint64_t end = EndForReads(call.topic);
  const bool waits = call.from >= end && time_->now() < waits_until;
  if (!AnswersReads(mode) || (waits && !compacted)) {
    time_->After(kReadRetryInterval,
                 [this, client, call, waits_until, done]() -> void {
                   Read(client, call, waits_until, done);
                 });
    return;
  }
  ReadResult result;
  result.outcome = compacted ? ReadOutcome::kGone : ReadOutcome::kRecords;
  result.end = end;
  std::size_t bytes = 0;
  for (uint64_t at = call.from; !compacted && at < end; ++at) {
    bytes += topic.records[at].key.size() + topic.records[at].value.size();
    if (bytes > call.max_bytes && !result.records.empty()) {
      break;
    }
    result.records.push_back(topic.records[at]);
  }
  const auto transfer = TransferOf(client, result.records, waits_until);
  const auto fails_at = FailureTime(call.limits, transfer);
  ReportProgress(transfer, fails_at.value_or(transfer.ends), call.on_progress);
  if (fails_at) {
    const bool begun = transfer.begins < *fails_at;
    time_->At(*fails_at, [this, done, begun, bytes = transfer.bytes]() -> void {
      done(time_->now(), TimedOutRead(begun ? bytes / 2 : 0));
    });
    return;
  }
  result.bytes = transfer.bytes;
  time_->At(transfer.ends,
            [this, done, result]() -> void { done(time_->now(), result); });
}

auto VirtualLog::Newest(const std::string& client,
                        const NewestCall& call,
                        TimePoint deadline,
                        const KeyedLogPort::OnNewest& done) -> void {
  const Mode mode = ModeOf(client);
  if (mode == Mode::kRejects) {
    time_->After(latency_, [this, done]() -> void {
      done(time_->now(), FailedNewest("refused", /*timed_out=*/false, 0));
    });
    return;
  }
  if (!AnswersReads(mode) || time_->now() >= deadline) {
    time_->At(deadline, [this, done]() -> void {
      done(time_->now(), FailedNewest("timeout", /*timed_out=*/true, 0));
    });
    return;
  }
  if (ends_for_reads_.contains(call.topic)) {
    time_->After(kReadRetryInterval,
                 [this, client, call, deadline, done]() -> void {
                   Newest(client, call, deadline, done);
                 });
    return;
  }
  NewestResult result;
  result.answered = true;
  const auto& topic = topics_[call.topic];
  result.end = topic.records.size();
  for (auto item = topic.newest.upper_bound(call.after);
       item != topic.newest.end(); ++item) {
    if (result.records.size() == kPageSize) {
      result.more = true;
      break;
    }
    result.records.push_back(item->second);
  }
  const auto transfer =
      TransferOf(client, result.records, deadline - call.limits.response);
  const auto fails_at = FailureTime(call.limits, transfer);
  ReportProgress(transfer, fails_at.value_or(transfer.ends), call.on_progress);
  if (fails_at) {
    const bool begun = transfer.begins < *fails_at;
    time_->At(*fails_at, [this, done, begun, bytes = transfer.bytes]() -> void {
      done(time_->now(),
           FailedNewest("timeout", /*timed_out=*/true, begun ? bytes / 2 : 0));
    });
    return;
  }
  result.bytes = transfer.bytes;
  time_->At(transfer.ends,
            [this, done, result]() -> void { done(time_->now(), result); });
}

}  // namespace rhubarbhaven::jobs
