#ifndef RHUBARBHAVEN_TESTS_SOAK_MOMENTARY_FAULTS_H_
#define RHUBARBHAVEN_TESTS_SOAK_MOMENTARY_FAULTS_H_

// Schedules of faults that last for long and count only for the moments in
// which they begin and end: the guarantees hold meanwhile.

#include <chrono>
#include <vector>

#include "Tests/Soak/schedule.h"

namespace rhubarbhaven::soak {

// Returns nullptr if the kind is not momentary.
auto MomentaryName(FaultKind kind) -> const char*;

// Fewer than half of the agents are gone, and with them the owner, sometimes
// the next one too.
auto MakeGoneSchedule(const SoakOptions& options) -> std::vector<Fault>;

// Any number of agents is silent, alone or beside an owner that is killed,
// frozen, or frozen twice. Two such series may overlap.
auto MakeSilentSchedule(const SoakOptions& options) -> std::vector<Fault>;

// The owner is cut off from all agents.
auto MakeCutOffSchedule(const SoakOptions& options) -> std::vector<Fault>;

// The owner or a few agents are silent for seconds, to have the owner change
// while the links are thin.
auto MakeRateSchedule(const SoakOptions& options) -> std::vector<Fault>;

// Duration of the shortest run in which the longest of these faults fits.
auto ShortestRun(FaultSet faults) -> std::chrono::milliseconds;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_MOMENTARY_FAULTS_H_
