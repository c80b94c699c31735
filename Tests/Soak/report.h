#ifndef RHUBARBHAVEN_TESTS_SOAK_REPORT_H_
#define RHUBARBHAVEN_TESTS_SOAK_REPORT_H_

#include <chrono>
#include <string>
#include <vector>

#include "Tests/Soak/checks.h"
#include "Tests/Soak/schedule.h"

namespace rhubarbhaven::soak {

// One line for each fault.
auto ScheduleText(const std::vector<Fault>& schedule) -> std::string;

// The verdict for each promise, with the first cases and the lines of the
// daemons' logs in `folder` that name their jobs.
auto VerdictText(const Checks& checks, const std::string& folder)
    -> std::string;

// One line for every case of a broken promise.
auto CasesText(const Checks& checks) -> std::string;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_REPORT_H_
