#include "Jobs/job_requests.h"

namespace rhubarbhaven::jobs {

auto StateReply(JobState state) -> JobReply {
  JobReply reply;
  reply.verdict = JobVerdict::kState;
  reply.state = state;
  return reply;
}

auto VerdictReply(JobVerdict verdict, const std::string& text) -> JobReply {
  JobReply reply;
  reply.verdict = verdict;
  reply.text = text;
  if (verdict == JobVerdict::kUnavailable) {
    reply.retry_after = kRetryAfter;
  }
  return reply;
}

}  // namespace rhubarbhaven::jobs
