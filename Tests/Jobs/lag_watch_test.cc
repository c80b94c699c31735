#include "Jobs/lag_monitor.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using Change = LagMonitor::Change;

struct LagCase {
  std::string name;
  std::vector<milliseconds> lags;
  std::vector<Change> changes;
};

class LagMonitorTest : public testing::TestWithParam<LagCase> {};

TEST_P(LagMonitorTest, ReportsStartAndEnd) {
  LagMonitor monitor({milliseconds(1000), milliseconds(300)});
  std::vector<Change> changes;
  for (const auto lag : GetParam().lags) {
    changes.push_back(monitor.Record(lag));
  }
  EXPECT_EQ(changes, GetParam().changes);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LagMonitorTest,
    testing::Values(
        LagCase{"InTime",
                {milliseconds(0), milliseconds(999)},
                {Change::kNone, Change::kNone}},
        LagCase{"LateOnce",
                {milliseconds(1000), milliseconds(5000), milliseconds(299)},
                {Change::kLate, Change::kNone, Change::kInTime}},
        LagCase{"AboutOneBound",
                {milliseconds(1000), milliseconds(900), milliseconds(1100)},
                {Change::kLate, Change::kNone, Change::kNone}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::jobs
