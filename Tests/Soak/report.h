#ifndef RHUBARBHAVEN_TESTS_SOAK_REPORT_H_
#define RHUBARBHAVEN_TESTS_SOAK_REPORT_H_

#include <chrono>
#include <string>
#include <vector>

#include "Tests/Soak/checks.h"
#include "Tests/Soak/schedule.h"

namespace rhubarbhaven::soak {

// Returns one line for each fault.
auto ScheduleText(const std::vector<Fault>& schedule) -> std::string;

// Returns the verdict for each guarantee, with the first violations and the
// lines of the daemons' logs in `folder` that contain the ids of their jobs.
auto VerdictText(const Checks& checks, const std::string& folder)
    -> std::string;

// Returns one line for every violation.
auto CasesText(const Checks& checks) -> std::string;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_REPORT_H_
