#ifndef RHUBARBHAVEN_JOBS_JOB_REQUESTS_H_
#define RHUBARBHAVEN_JOBS_JOB_REQUESTS_H_

#include <chrono>
#include <functional>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

enum class JobCallKind { kSubmit, kAsk, kCancel };

// One call of a caller about a job or a queue.
struct JobCall {
  JobCallKind kind = JobCallKind::kAsk;
  std::string host;
  std::string path;
  // With kSubmit; its id and queue follow from the path.
  Job job;
  // How long the caller waits from when the call was received.
  std::chrono::milliseconds deadline{2000};
};

enum class JobVerdict {
  // Accepted and stored.
  kAccepted,
  kState,
  kPending,
  kCancelled,
  // No such queue in the newest configuration.
  kNoSuchQueue,
  // No such job in the log.
  kNoSuchJob,
  // Not done, and never will be; come back after `retry_after`.
  kUnavailable,
  // Done, or not: the log did not answer in time.
  kUnknown,
  kInvalid,
};

struct JobReply {
  JobVerdict verdict = JobVerdict::kUnavailable;
  JobState state = JOB_QUEUED;
  uint64_t pending = 0;
  std::chrono::milliseconds retry_after{0};
  // Why, in one sentence.
  std::string text;
};

// A caller that cannot be served comes back after this; about the time in which
// another entry takes over or a short outage ends.
inline constexpr std::chrono::milliseconds kComeBack{1000};

auto StateReply(JobState state) -> JobReply;
// With kUnavailable it says when to come back.
auto VerdictReply(JobVerdict verdict, const std::string& text) -> JobReply;

using JobResponder = std::function<auto(JobReply)->void>;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_REQUESTS_H_
