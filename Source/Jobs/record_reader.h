#ifndef RHUBARBHAVEN_JOBS_RECORD_READER_H_
#define RHUBARBHAVEN_JOBS_RECORD_READER_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

#include "Base/base.h"

// Reads values of the log's records. Another writer may have put them: an error
// says what is wrong with a record that says nothing which can be used.
namespace rhubarbhaven::jobs {

// Largest fence that is believed: a run's number has 34 bits for it, and the
// claims that follow need room, too.
inline constexpr uint64_t kLargestFence = 1ULL << 33;

auto ReadJob(const std::string& id, const std::string& value)
    -> absl::StatusOr<Job>;
// Whether it fits its job is for `CheckProgress`, once that is known.
auto ReadProgress(const std::string& id, const std::string& value)
    -> absl::StatusOr<JobProgress>;
auto CheckProgress(const Job& job, const JobProgress& progress) -> absl::Status;
auto CheckCancellation(const std::string& id, const std::string& value)
    -> absl::Status;
// Whether the endpoint can be reached is not looked at.
auto ReadAgent(const std::string& name, const std::string& value)
    -> absl::StatusOr<AgentEntry>;
auto ReadAgentGrants(const std::string& name, const std::string& value)
    -> absl::StatusOr<AgentGrants>;
auto ReadWorkerEnds(const std::string& worker_id, const std::string& value)
    -> absl::StatusOr<WorkerEnds>;
// There is one claim and one record of pressures, whose keys have no name.
auto ReadClaim(const std::string& name, const std::string& value)
    -> absl::StatusOr<OwnerClaim>;
auto ReadResignation(const std::string& name, const std::string& value)
    -> absl::StatusOr<OwnerResignation>;
auto ReadPressures(const std::string& name, const std::string& value)
    -> absl::StatusOr<LearnedPressures>;

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_RECORD_READER_H_
