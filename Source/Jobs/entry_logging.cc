#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <cmath>
#include <utility>

#include "Jobs/entry_decisions.h"

// Log lines and metrics about the decisions of an owner.
namespace rhubarbhaven::jobs {
namespace {

// A call to the log is logged if it takes this much longer than the wait for a
// record that it asked for.
constexpr std::chrono::milliseconds kSlowLogCall{500};
// A response that is arriving is logged once it has taken this long, and again
// after as long.
constexpr std::chrono::milliseconds kTransferLogInterval{2000};
// The same for the time without a confirmed configuration.
constexpr std::chrono::milliseconds kWaitLogInterval{5000};
// Less is logged by no line: a single lost message is repeated too.
constexpr uint64_t kMinRepeatedBytes = 4096;
// An overload has ended once no job has been displaced for this long.
constexpr std::chrono::milliseconds kOverloadPause{2000};
// Weight of one run in the mean error of expected run lengths.
constexpr double kErrorWeight = 0.005;

auto DescribeTasks(const std::vector<TaskName>& tasks) -> std::string {
  return absl::StrJoin(tasks, " ",
                       [](std::string* text, const TaskName& task) -> void {
                         absl::StrAppend(text, DescribeTask(task));
                       });
}

auto TopicForLog(LogTopic topic) -> std::string {
  return topic == LogTopic::kJobs ? "jobs" : "operators";
}

// Bytes per second; empty if there is no measurable time.
auto RateForLog(std::size_t bytes, Duration span) -> std::string {
  const double seconds = std::chrono::duration<double>(span).count();
  return seconds > 0
             ? absl::StrCat(std::llround(static_cast<double>(bytes) / seconds))
             : "";
}

}  // namespace

auto EntryDecisions::LogFollowerCall(TimePoint now,
                                     LogTopic topic,
                                     const FollowerCall& call) -> void {
  if (topic == LogTopic::kOperators) {
    operators_error_ = call.error;
  }
  metrics_->Add(
      absl::StrCat("rhubarbhaven_log_", TopicForLog(topic), "_bytes_total"),
      call.bytes);
  const Duration took = now - call.requested_at;
  const bool found = call.error.empty() && call.after_failure;
  if (!found && took < call.wait + kSlowLogCall) {
    return;
  }
  const Duration span = now - call.response_began_at.value_or(now);
  log_.Write("log_call", {{"topic", TopicForLog(topic)},
                          {"call", call.newest ? "newest" : "read"},
                          {"took_ms", InMilliseconds(took)},
                          {"wait_ms", absl::StrCat(call.wait.count())},
                          {"from", absl::StrCat(call.from)},
                          {"records", absl::StrCat(call.records)},
                          {"end", absl::StrCat(call.end)},
                          {"bytes", absl::StrCat(call.bytes)},
                          {"bytes_per_s", RateForLog(call.bytes, span)},
                          {"why", call.error}});
}

auto EntryDecisions::LogTransfers(TimePoint now) -> void {
  if (now < next_transfer_log_) {
    return;
  }
  for (const auto topic : {LogTopic::kJobs, LogTopic::kOperators}) {
    const auto& follower =
        topic == LogTopic::kJobs ? job_follower_ : operator_follower_;
    const auto& transfer = follower.transfer();
    if (!transfer || now - transfer->began_at < kTransferLogInterval) {
      continue;
    }
    next_transfer_log_ = now + kTransferLogInterval;
    const Duration span = now - transfer->began_at;
    log_.Write("log_transfer",
               {{"topic", TopicForLog(topic)},
                {"call", transfer->newest ? "newest" : "read"},
                {"took_ms", InMilliseconds(span)},
                {"bytes", absl::StrCat(transfer->bytes)},
                {"bytes_per_s", RateForLog(transfer->bytes, span)}});
  }
}

auto EntryDecisions::LogConfigurationWait(TimePoint now) -> void {
  if (queues_.known() && ConfigurationConfirmed(now)) {
    unconfirmed_since_.reset();
  } else if (!unconfirmed_since_) {
    unconfirmed_since_ = now;
    next_wait_log_ = now + kWaitLogInterval;
  }
  const Duration waited = now - unconfirmed_since_.value_or(now);
  metrics_->SetGauge("rhubarbhaven_configuration_unconfirmed_seconds",
                     std::chrono::duration<double>(waited).count());
  if (!unconfirmed_since_ || now < next_wait_log_) {
    return;
  }
  next_wait_log_ = now + kWaitLogInterval;
  const auto& transfer = operator_follower_.transfer();
  const std::size_t bytes = transfer ? transfer->bytes : 0;
  const Duration span = transfer ? now - transfer->began_at : Duration(0);
  log_.Warn("config_waits",
            {{"config_version", absl::StrCat(queues_.version())},
             {"waited_ms", InMilliseconds(waited)},
             {"bytes", absl::StrCat(bytes)},
             {"bytes_per_s", RateForLog(bytes, span)},
             {"why", operators_error_}});
}

auto EntryDecisions::LogConfirmation(TimePoint now) -> void {
  const bool unconfirmed = queues_.known() && !ConfigurationConfirmed(now);
  if (unconfirmed == unconfirmed_logged_) {
    return;
  }
  unconfirmed_logged_ = unconfirmed;
  const bool ever_confirmed = configuration_as_of_ != TimePoint();
  log_.Write(
      unconfirmed ? "config_unconfirmed" : "config_confirmed",
      {{"config_version", absl::StrCat(queues_.version())},
       {"config_age_ms",
        ever_confirmed ? InMilliseconds(ConfigurationAge(now)) : "never"}});
}

auto EntryDecisions::LogAccepted(const Submission& submission) -> void {
  log_.Write("accepted",
             {{"job", submission.job},
              {"queue", submission.queue},
              {"config_version", absl::StrCat(submission.config_version)},
              {"config_age_ms", InMilliseconds(submission.config_age)}});
}

auto EntryDecisions::NoteLag(Duration lag) -> void {
  metrics_->RecordLatency("rhubarbhaven_owner_lag_seconds", lag);
  const auto change = owner_lag_.Record(lag);
  if (change != LagMonitor::Change::kNone) {
    log_.Write(
        change == LagMonitor::Change::kLate ? "owner_late" : "owner_in_time",
        {{"fence", absl::StrCat(election_.fence())},
         {"lag_ms", InMilliseconds(lag)}});
  }
}

auto EntryDecisions::NoteStartDelay(Duration delay) -> void {
  metrics_->RecordLatency("rhubarbhaven_owner_start_delay_seconds", delay);
  const auto change = start_delay_.Record(delay);
  if (change != LagMonitor::Change::kNone) {
    log_.Write(
        change == LagMonitor::Change::kLate ? "starts_late" : "starts_in_time",
        {{"fence", absl::StrCat(election_.fence())},
         {"delay_ms", InMilliseconds(delay)}});
  }
}

auto EntryDecisions::NoteRunLength(const RunLengthSample& sample) -> void {
  const auto update = [](double ratio, double* error) -> void {
    *error += kErrorWeight * (std::abs(std::log(ratio)) - *error);
  };
  update(sample.by_estimate, &estimate_error_);
  update(sample.by_learned, &learned_error_);
  metrics_->SetGauge("rhubarbhaven_run_length_error_ratio_estimate",
                     std::exp(estimate_error_));
  metrics_->SetGauge("rhubarbhaven_run_length_error_ratio",
                     std::exp(learned_error_));
}

auto EntryDecisions::LogRunLengths(const std::string& what, std::size_t keys)
    -> void {
  log_.Write("run_lengths",
             {{"what", what},
              {"keys", absl::StrCat(keys)},
              {"error_estimate", absl::StrCat(std::exp(estimate_error_))},
              {"error_learned", absl::StrCat(std::exp(learned_error_))}});
}

auto EntryDecisions::NoteOverload(const OverloadState& state) -> void {
  metrics_->SetGauge("rhubarbhaven_jobs_displaced",
                     static_cast<double>(state.displaced));
  metrics_->SetGauge("rhubarbhaven_jobs_in_time",
                     static_cast<double>(state.in_time));
  if (state.displaced > 0) {
    displaced_at_ = last_tick_;
  }
  // A short pause between two waves of jobs does not end an overload.
  const bool overloaded =
      state.displaced > 0 ||
      (overloaded_ && last_tick_ - displaced_at_ < kOverloadPause);
  if (overloaded == std::exchange(overloaded_, overloaded)) {
    return;
  }
  log_.Write("overload",
             {{"state", overloaded ? "begins" : "ends"},
              {"fence", absl::StrCat(election_.fence())},
              {"displaced", absl::StrCat(state.displaced)},
              {"in_time", absl::StrCat(state.in_time)},
              {"work_left_core_s",
               absl::StrCat(std::llround(state.work_left.count()))},
              {"reserved_cores",
               absl::StrCat(std::llround(state.rates.reserved_cores))},
              {"opportunistic_cores",
               absl::StrCat(std::llround(state.rates.opportunistic_cores))}});
}

auto EntryDecisions::LogReconciliation(const ReconciliationState& state)
    -> void {
  if (state.done) {
    metrics_->RecordLatency("rhubarbhaven_census_seconds", state.waited);
  }
  const std::initializer_list<EventField> fields = {
      {"fence", absl::StrCat(election_.fence())},
      {"waited_ms", InMilliseconds(state.waited)},
      {"at_most_ms", InMilliseconds(state.longest)},
      {"agents", absl::StrCat(state.agents)},
      {"missing", absl::StrCat(state.missing)},
      {"names", absl::StrJoin(state.missing_names, " ")},
      {"bounds", absl::StrJoin(state.missing_bounds, " ")}};
  if (state.done) {
    log_.Write("census_done", fields);
  } else {
    log_.Warn("census_waits", fields);
  }
}

auto EntryDecisions::LogStarvedJob(const StarvedJob& job) -> void {
  log_.Warn("stands",
            {{"job", job.task.job()},
             {"task", DescribeTask(job.task)},
             {"fence", absl::StrCat(election_.fence())},
             {"waited_ms", InMilliseconds(job.waited)},
             {"why", job.why},
             {"log_age_ms",
              InMilliseconds(last_tick_ - job_follower_.caught_up_at())},
             {"oldest_report_ms", InMilliseconds(job.oldest_report)},
             {"waiting", job.waiting > 0 ? absl::StrCat(job.waiting) : ""},
             {"tasks", DescribeTasks(job.tasks)}});
}

auto EntryDecisions::LogSilentAgents(const SilentAgents& silent) -> void {
  log_.Warn("agents_silent", {{"fence", absl::StrCat(election_.fence())},
                              {"silent", absl::StrCat(silent.silent)},
                              {"agents", absl::StrCat(silent.agents)},
                              {"longest_ms", InMilliseconds(silent.longest)},
                              {"own_gap_ms", InMilliseconds(OwnGap())},
                              {"names", absl::StrJoin(silent.names, " ")}});
}

auto EntryDecisions::OwnGap() const -> Duration {
  return ticks_.Longest(last_tick_).value_or(Duration(0));
}

auto EntryDecisions::NoteRenewalStored(TimePoint now, TimePoint sent) -> void {
  const Duration took = now - sent;
  metrics_->RecordLatency("rhubarbhaven_owner_renewal_seconds", took);
  renewal_stored_at_ = now;
  if (took >= kSlowLogCall) {
    log_.Write("renewal_late", {{"fence", absl::StrCat(election_.fence())},
                                {"took_ms", InMilliseconds(took)},
                                {"own_gap_ms", InMilliseconds(OwnGap())}});
  }
}

auto EntryDecisions::NoteOrderTraffic(const OrderTraffic& traffic) -> void {
  metrics_->Add("rhubarbhaven_order_bytes_total", traffic.bytes);
  metrics_->Add("rhubarbhaven_start_bytes_total", traffic.start_bytes);
  metrics_->Add("rhubarbhaven_start_payload_bytes_total",
                traffic.payload_bytes);
  metrics_->Add("rhubarbhaven_start_repeated_bytes_total",
                traffic.repeated_bytes);
  if (traffic.repeated_bytes >= kMinRepeatedBytes) {
    log_.Write("orders_repeated",
               {{"fence", absl::StrCat(election_.fence())},
                {"bytes", absl::StrCat(traffic.bytes)},
                {"start_bytes", absl::StrCat(traffic.start_bytes)},
                {"payload_bytes", absl::StrCat(traffic.payload_bytes)},
                {"repeated_bytes", absl::StrCat(traffic.repeated_bytes)}});
  }
}

auto EntryDecisions::LogDecision(const OwnerDecision& decision) -> void {
  metrics_->Add(absl::StrCat("rhubarbhaven_runs_", decision.what, "_total"),
                decision.runs);
  if (decision.runs == 1) {
    log_.Write(
        decision.what,
        {{"task", DescribeTask(decision.task)},
         {"run", absl::StrCat(decision.run)},
         {"agent", decision.agent},
         {"why", decision.why},
         {"log_age_ms", InMilliseconds(last_tick_ - log_position_.as_of)}});
    return;
  }
  log_.Write(decision.what, {{"runs", absl::StrCat(decision.runs)},
                             {"agent", decision.agent},
                             {"why", decision.why},
                             {"tasks", DescribeTasks(decision.some_tasks)}});
}

}  // namespace rhubarbhaven::jobs
