#include "Client/config_session.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "Client/command.h"

namespace rhubarbhaven {
namespace {

constexpr uint32_t kReadLimit = 100;
constexpr std::chrono::milliseconds kAppendTimeout{3000};
constexpr std::chrono::milliseconds kReadWait{500};
constexpr std::chrono::milliseconds kRetryInterval{100};

}  // namespace

ConfigSession::ConfigSession(std::string log_url, TimePoint deadline)
    : deadline_(deadline),
      log_(std::move(log_url)),
      reader_(0),
      incarnation_(RandomIncarnation()) {}

auto ConfigSession::ReadBatch(std::chrono::milliseconds wait) -> absl::Status {
  const auto batch = log_.Read(kConfigStream, reader_.next(), kReadLimit,
                               std::min(wait, TimeLeft(deadline_)));
  if (!batch.ok()) {
    return batch.status();
  }
  const auto step = reader_.OnBatch(*batch);
  if (step.adopt.has_value()) {
    schema::ConfigState state;
    if (!state.ParseFromString(step.adopt->state)) {
      return absl::UnavailableError(
          absl::StrCat("stream ", kConfigStream, ": the snapshot at ",
                       step.adopt->covers, " is not a ConfigState"));
    }
    fold_.Adopt(state);
  }
  for (const auto& [offset, record] : step.records) {
    fold_.Apply(offset, record);
  }
  at_end_ = reader_.next() >= batch->next();
  return absl::OkStatus();
}

auto ConfigSession::CatchUp() -> absl::Status {
  at_end_ = false;
  while (!at_end_) {
    auto status = ReadBatch(std::chrono::milliseconds(0));
    if (!status.ok()) {
      return status;
    }
    if (Clock::now() >= deadline_) {
      return absl::UnavailableError(
          "the log was not read to its end in time; raise --timeout-s");
    }
  }
  if (reader_.in_gap()) {
    return absl::UnavailableError(absl::StrCat(
        "stream ", kConfigStream, ": records before offset ", reader_.next(),
        " are gone and no snapshot replaces them; is an entry running?"));
  }
  return absl::OkStatus();
}

auto ConfigSession::fold() const -> const ConfigFold& {
  return fold_;
}

auto ConfigSession::AwaitOutcome(const std::string& change_id, bool to_end)
    -> absl::StatusOr<schema::ChangeOutcome> {
  at_end_ = false;
  absl::Status problem = absl::UnavailableError("the time is over");
  while (Clock::now() < deadline_) {
    const bool last = to_end && at_end_;
    const auto outcome = fold_.outcome(change_id);
    if (outcome.has_value()) {
      return *outcome;
    }
    if (last) {
      return absl::NotFoundError("not in the log");
    }
    auto status = ReadBatch(to_end ? std::chrono::milliseconds(0) : kReadWait);
    if (!status.ok()) {
      problem = std::move(status);
      std::this_thread::sleep_for(
          std::min(kRetryInterval, TimeLeft(deadline_)));
    }
  }
  return problem;
}

auto ConfigSession::Submit(schema::ConfigChange change)
    -> absl::StatusOr<schema::ChangeOutcome> {
  schema::LogRecord record;
  record.set_writer("client");
  record.set_incarnation(incarnation_);
  record.set_sequence(++sequence_);
  const std::string id = change.change_id();
  *record.add_entries()->mutable_config_change() = std::move(change);
  const std::string bytes = record.SerializeAsString();
  std::string problem = "the time is over";
  bool maybe_appended = false;
  while (Clock::now() < deadline_) {
    const auto result = log_.Append(
        kConfigStream, bytes, std::min(kAppendTimeout, TimeLeft(deadline_)));
    if (result.kind == AppendResult::Kind::kAppended) {
      auto outcome = AwaitOutcome(id, false);
      if (outcome.ok()) {
        return outcome;
      }
      return absl::UnavailableError(absl::StrCat(
          outcome.status().message(), "; the change is in the log at offset ",
          result.offset, ", its outcome could not be read; see \"show\""));
    }
    problem = result.problem;
    if (result.kind == AppendResult::Kind::kRejected && !maybe_appended) {
      return absl::UnavailableError(
          absl::StrCat(problem, "; nothing was changed, try again later"));
    }
    // The answer was lost, but the change may be in the log. Appending it again
    // immediately could duplicate it, so the log is searched for it first.
    maybe_appended = true;
    auto outcome = AwaitOutcome(id, true);
    if (outcome.ok()) {
      return outcome;
    }
    std::this_thread::sleep_for(std::min(kRetryInterval, TimeLeft(deadline_)));
  }
  return absl::UnavailableError(
      absl::StrCat(problem, "; the change ", id,
                   " may or may not have been taken; look "
                   "with \"show\" when the log is back before applying again"));
}

auto NewChangeId() -> std::string {
  return absl::StrCat(absl::Hex(RandomIncarnation(), absl::kZeroPad16),
                      absl::Hex(RandomIncarnation(), absl::kZeroPad16));
}

}  // namespace rhubarbhaven
