// Tests of entries, as real processes, whose links to the log carry a large
// configuration slowly.

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Tests/StandIns/Platform/platform_stand_in.h"
#include "Tests/Support/child_process.h"
#include "Tests/Support/deployment.h"
#include "Tests/Support/fault_proxy.h"
#include "Tests/Support/free_port.h"
#include "Tests/Support/platform_settings.h"

namespace rhubarbhaven::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kLinkMbps = 2;
constexpr std::size_t kLinkBytesPerSecond = 250000;
// Makes a record that the link carries in 1.3 s.
constexpr int kIdleQueues = 2160;
constexpr seconds kStartLimit{20};
// An entry is ready within 5 s of its start, or of the last change; doubled for
// a busy machine.
constexpr seconds kReadyLimit{10};
constexpr char kBody[] =
    R"({"Spec":"text","Steps":[{"Count":1,"Cpu":500,"EstimatedMs":200}]})";

struct ChangesCase {
  std::string name;
  // Changes of the configuration: when the first is made, after the entry's
  // restart, their number and the interval between them.
  milliseconds first{0};
  int changes = 0;
  milliseconds interval{0};
};

// One entry as a process, and a log that it reaches over a thin link.
class ThinLogLink : public testing::Test {
 protected:
  ThinLogLink() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "rhubarbhaven-XXXXXX")
            .string();
    folder_ = mkdtemp(pattern.data());
    platform_ = std::make_unique<PlatformStandIn>(
        std::vector<std::string>{LoopbackAddress(heartbeat_port_)});
    link_ = std::make_unique<FaultProxy>(link_port_, platform_->log_port());
    link_->SetAnswerRate(std::make_shared<SharedRate>(kLinkBytesPerSecond));
    Configure();
    StartEntry();
  }

  ~ThinLogLink() override {
    entry_.reset();
    link_.reset();
    platform_.reset();
    std::filesystem::remove_all(folder_);
  }

  auto Configure() -> void { platform_->Configure(++version_, kIdleQueues); }

  auto StartEntry() -> void {
    EntryAddresses addresses{"entry", LoopbackAddress(callers_port_),
                             LoopbackAddress(ready_port_),
                             LoopbackAddress(link_port_)};
    addresses.link_mbps = kLinkMbps;
    const std::string path = folder_ + "/entry.json";
    std::ofstream(path) << RenderSettings(addresses);
    entry_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{
            std::string(RHUBARBHAVEN_TEST_BINARIES) + "/platform/rhubarbhavend",
            "--settings=" + path},
        folder_ + "/entry.log");
  }

  // Whether the entry has logged the event.
  auto Shows(const std::string& event) -> bool {
    return entry_->Output().find("\"event\":\"" + event + "\"") !=
           std::string::npos;
  }

  // Waits until the entry accepts a job that it does not know.
  auto WaitServes(seconds limit) -> bool {
    return WaitFor(
        [this]() -> bool {
          HttpClientRequest request;
          request.method = "POST";
          request.url =
              absl::StrCat("http://", LoopbackAddress(callers_port_), "/jobs/",
                           absl::Hex(++jobs_, absl::kZeroPad16));
          request.body = kBody;
          request.timeout = seconds(5);
          schema::HttpHeader host;
          host.set_name("Host");
          host.set_value("queue.example");
          request.headers.push_back(host);
          return client_.Call(request).http.status() == 200;
        },
        limit);
  }

  int heartbeat_port_ = FreePort();
  int link_port_ = FreePort();
  int callers_port_ = FreePort();
  int ready_port_ = FreePort();
  uint64_t version_ = 0;
  int jobs_ = 0;
  std::string folder_;
  std::unique_ptr<PlatformStandIn> platform_;
  std::unique_ptr<FaultProxy> link_;
  std::unique_ptr<ChildProcess> entry_;
  HttpClient client_;
};

class ThinLogLinkTest : public ThinLogLink,
                        public testing::WithParamInterface<ChangesCase> {};

// Guards against an entry that never serves again after a restart, since the
// configuration changes while the entry fetches it, and the new record takes
// longer on the link than a call to the log may.
TEST_P(ThinLogLinkTest, EntryServesAgainAfterARestartBesideChanges) {
  ASSERT_TRUE(WaitServes(kStartLimit));
  entry_->Kill();
  StartEntry();
  std::this_thread::sleep_for(GetParam().first);
  for (int change = 0; change < GetParam().changes; ++change) {
    Configure();
    std::this_thread::sleep_for(GetParam().interval);
  }
  EXPECT_TRUE(WaitServes(kReadyLimit)) << entry_->Output();
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ThinLogLinkTest,
                         testing::Values(ChangesCase{"none"},
                                         ChangesCase{"one", milliseconds(1000),
                                                     1},
                                         ChangesCase{"two", milliseconds(500),
                                                     2, milliseconds(1000)},
                                         ChangesCase{"storm", milliseconds(500),
                                                     25, milliseconds(60)}),
                         [](const auto& info) { return info.param.name; });

// Submits a job at an entry and returns the status of the response.
auto SubmitLargeJob(int callers_port, int number) -> uint32_t {
  // Each step names its image; the whole has 240,000 bytes.
  constexpr int kSteps = 240;
  constexpr std::size_t kImageBytes = 940;
  std::string steps;
  for (int step = 0; step < kSteps; ++step) {
    absl::StrAppend(&steps, step == 0 ? "" : ",",
                    R"({"Count":1,"Cpu":10,"EstimatedMs":10,"Image":")",
                    std::string(kImageBytes, 'x'), "\"}");
  }
  HttpClient client;
  HttpClientRequest request;
  request.method = "POST";
  request.url = absl::StrCat("http://", LoopbackAddress(callers_port), "/jobs/",
                             absl::Hex(0xa0000 + number, absl::kZeroPad16));
  request.body = absl::StrCat(R"({"Spec":"text","Steps":[)", steps, "]}");
  request.timeout = seconds(6);
  for (const auto& [name, value] :
       {std::pair("Host", "queue.example"), std::pair("Deadline-Ms", "3000")}) {
    schema::HttpHeader header;
    header.set_name(name);
    header.set_value(value);
    request.headers.push_back(header);
  }
  return client.Call(request).http.status();
}

struct JobsCase {
  std::string name;
  // Submitted at the same time.
  int jobs = 0;
};

class LargeJobsTest : public ThinLogLink,
                      public testing::WithParamInterface<JobsCase> {};

// Guards against large jobs that are never accepted at an entry with a thin
// link, and that cost the cell its owner with each try: their append was given
// up and repeated, and the owner's renewals waited behind it.
TEST_P(LargeJobsTest, AreAcceptedOrRefusedAtOnceAndTheOwnerStays) {
  ASSERT_TRUE(WaitServes(kStartLimit));
  ASSERT_TRUE(
      WaitFor([this]() -> bool { return Shows("owner_begin"); }, kStartLimit));
  link_->SetRequestRate("", std::make_shared<SharedRate>(kLinkBytesPerSecond));
  link_->ResetOpenConnections();
  std::vector<std::future<uint32_t>> jobs;
  jobs.reserve(GetParam().jobs);
  for (int job = 0; job < GetParam().jobs; ++job) {
    jobs.push_back(
        std::async(std::launch::async, SubmitLargeJob, callers_port_, job));
  }
  int accepted = 0;
  for (auto& job : jobs) {
    const uint32_t status = job.get();
    EXPECT_TRUE(status == 200 || status == 503) << status;
    accepted += status == 200 ? 1 : 0;
  }
  EXPECT_GE(accepted, 1);
  EXPECT_TRUE(WaitServes(kReadyLimit));
  EXPECT_FALSE(Shows("owner_end")) << entry_->Output();
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LargeJobsTest,
                         testing::Values(JobsCase{"one", 1},
                                         JobsCase{"three", 3},
                                         JobsCase{"eight", 8}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven::test
