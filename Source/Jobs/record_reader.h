#ifndef RHUBARBHAVEN_JOBS_RECORD_READER_H_
#define RHUBARBHAVEN_JOBS_RECORD_READER_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

#include "Base/base.h"

// Parses the values of the log's records. They may come from a foreign writer:
// an error describes what makes a record unusable.
namespace rhubarbhaven::jobs {

// Exclusive upper bound of accepted fences: a run number has 34 bits for the
// fence, and later claims need higher ones.
inline constexpr uint64_t kMaxFence = 1ULL << 33;

auto ReadJob(const std::string& id, const std::string& value)
    -> absl::StatusOr<Job>;
// `CheckProgress` checks whether the progress matches its job, once the job is
// known.
auto ReadProgress(const std::string& id, const std::string& value)
    -> absl::StatusOr<JobProgress>;
auto CheckProgress(const Job& job, const JobProgress& progress) -> absl::Status;
auto CheckCancellation(const std::string& id, const std::string& value)
    -> absl::Status;
// Does not check whether the endpoint can be reached.
auto ReadAgent(const std::string& name, const std::string& value)
    -> absl::StatusOr<AgentEntry>;
auto ReadAgentGrants(const std::string& name, const std::string& value)
    -> absl::StatusOr<AgentGrants>;
auto ReadWorkerEnds(const std::string& worker_id, const std::string& value)
    -> absl::StatusOr<WorkerEnds>;
// There is one claim, and one record of pressures and of run lengths. Their
// keys contain no name.
auto ReadClaim(const std::string& name, const std::string& value)
    -> absl::StatusOr<OwnerClaim>;
auto ReadResignation(const std::string& name, const std::string& value)
    -> absl::StatusOr<OwnerResignation>;
auto ReadPressures(const std::string& name, const std::string& value)
    -> absl::StatusOr<LearnedPressures>;
auto ReadRunLengths(const std::string& name, const std::string& value)
    -> absl::StatusOr<LearnedRunLengths>;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_RECORD_READER_H_
