#ifndef RHUBARBHAVEN_JOBS_JOB_REQUESTS_H_
#define RHUBARBHAVEN_JOBS_JOB_REQUESTS_H_

#include <chrono>
#include <functional>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven::jobs {

enum class JobCallKind { kSubmit, kQuery, kCancel };

// One request of a caller about a job or a queue.
struct JobCall {
  JobCallKind kind = JobCallKind::kQuery;
  std::string host;
  std::string path;
  // With kSubmit. The id and queue are derived from the path.
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
  // Not carried out, and will not be. The caller may retry after `retry_after`.
  kUnavailable,
  // The outcome is unknown: the log did not respond in time.
  kUnknown,
  kInvalid,
};

struct JobReply {
  JobVerdict verdict = JobVerdict::kUnavailable;
  JobState state = JOB_QUEUED;
  uint64_t pending = 0;
  std::chrono::milliseconds retry_after{0};
  // The reason, in one sentence.
  std::string text;
};

// A caller that cannot be served may retry after this time. It is about as long
// as a takeover by another entry or a short outage.
inline constexpr std::chrono::milliseconds kRetryAfter{1000};

auto StateReply(JobState state) -> JobReply;
// With kUnavailable, the reply states when to retry.
auto VerdictReply(JobVerdict verdict, const std::string& text) -> JobReply;

using JobResponder = std::function<auto(JobReply)->void>;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_JOB_REQUESTS_H_
