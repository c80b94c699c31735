#ifndef RHUBARBHAVEN_TESTS_SOAK_LINK_RATES_H_
#define RHUBARBHAVEN_TESTS_SOAK_LINK_RATES_H_

#include <string>
#include <vector>

#include "Tests/Soak/soak_options.h"

namespace rhubarbhaven::soak {

// Megabits per second that each entry can send to the log and the agents
// together; empty if the links have no rate. At least one entry has a thin
// link, and with two entries or more one has a fat one.
auto LinkRates(const SoakOptions& options) -> std::vector<int>;

// One line for each entry.
auto DescribeLinkRates(const SoakOptions& options) -> std::string;

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_LINK_RATES_H_
