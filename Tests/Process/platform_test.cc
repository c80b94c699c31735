// The whole path on the partners' platform, with real processes: jobs handed
// in over HTTP, stored in the log, placed, run by workers, and asked for.

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Tests/StandIns/Platform/platform_stand_in.h"
#include "Tests/Support/child_process.h"
#include "Tests/Support/deployment.h"
#include "Tests/Support/platform_settings.h"
#include "Tests/Support/silent_relay.h"

namespace rhubarbhaven::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 2;
constexpr int kAgents = 2;
// Several polls, reads and listings long.
constexpr milliseconds kGarbageFor{2500};
// Until the read under way hangs, too.
constexpr milliseconds kReadHangs{1500};
// A takeover, the job's work, and as much again for a busy machine.
constexpr seconds kRunsWithin{15};
constexpr char kBody[] =
    R"({"Spec":"text","Steps":[{"Count":3,"Cpu":500,"EstimatedMs":200},)"
    R"({"Count":2,"Cpu":500,"After":[0],"EstimatedMs":200}]})";

class PlatformTest : public testing::Test {
 protected:
  PlatformTest() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "rhubarbhaven-XXXXXX")
            .string();
    folder_ = mkdtemp(pattern.data());
    std::vector<std::string> heartbeats;
    for (int i = 0; i < kAgents; ++i) {
      heartbeat_ports_.push_back(FreePort());
      heartbeats.push_back(LoopbackAddress(heartbeat_ports_.back()));
    }
    platform_ = std::make_unique<PlatformStandIn>(heartbeats);
    platform_->Configure(1);
    for (int i = 0; i < kAgents; ++i) {
      StartAgent(i);
    }
    for (int i = 0; i < kEntries; ++i) {
      callers_ports_.push_back(FreePort());
      ready_ports_.push_back(FreePort());
      StartEntry(i);
    }
  }

  ~PlatformTest() override {
    processes_.clear();
    platform_.reset();
    std::filesystem::remove_all(folder_);
  }

  auto Start(const std::string& name, const std::string& settings) -> void {
    const std::string path = absl::StrCat(folder_, "/", name, ".json");
    std::ofstream(path) << settings;
    processes_[name] = std::make_unique<ChildProcess>(
        std::vector<std::string>{
            std::string(RHUBARBHAVEN_TEST_BINARIES) + "/platform/rhubarbhavend",
            "--settings=" + path},
        absl::StrCat(folder_, "/", name, ".log"));
  }

  auto StartEntry(int i) -> void {
    const std::string id = absl::StrCat("entry-", i);
    Start(id, SettingsOf(EntryPlace{id, LoopbackAddress(callers_ports_.at(i)),
                                    LoopbackAddress(ready_ports_.at(i)),
                                    LogAddressOf(i)}));
  }

  // An entry may reach the log over a relay.
  auto LogAddressOf(int entry) -> std::string {
    const auto found = relayed_log_.find(entry);
    return found == relayed_log_.end() ? platform_->log_address()
                                       : found->second;
  }

  auto StartAgent(int i) -> void {
    if (static_cast<int>(link_ports_.size()) <= i) {
      link_ports_.push_back(FreePort());
    }
    const std::string id = absl::StrCat("agent-", i);
    Start(id, SettingsOf(AgentPlace{id, LoopbackAddress(heartbeat_ports_.at(i)),
                                    platform_->worker_address(i),
                                    LoopbackAddress(link_ports_.at(i)),
                                    platform_->log_address()}));
  }

  auto Call(int entry,
            const std::string& method,
            const std::string& path,
            const std::string& body = "") -> HttpClientAnswer {
    return client_.Call(MakeCall(entry, method, path, body));
  }

  auto MakeCall(int entry,
                const std::string& method,
                const std::string& path,
                const std::string& body) -> HttpClientRequest {
    HttpClientRequest request;
    request.method = method;
    request.url = absl::StrCat("http://",
                               LoopbackAddress(callers_ports_.at(entry)), path);
    request.body = body;
    request.timeout = seconds(5);
    schema::HttpHeader host;
    host.set_name("Host");
    host.set_value("queue.example");
    request.headers.push_back(host);
    return request;
  }

  // Hands the job in at one entry until it accepts it.
  auto Accepts(int entry, const std::string& id) -> bool {
    return WaitFor(
        [this, entry, &id]() -> bool {
          return Call(entry, "POST", "/jobs/" + id, kBody).http.status() == 200;
        },
        seconds(60));
  }

  // Hands the job in at either entry until one accepts it.
  auto Submit(const std::string& id) -> bool {
    return WaitFor(
        [this, &id]() -> bool {
          for (int entry = 0; entry < kEntries; ++entry) {
            if (Call(entry, "POST", "/jobs/" + id, kBody).http.status() ==
                200) {
              return true;
            }
          }
          return false;
        },
        seconds(60));
  }

  // Whether the balancer would send callers to the entry.
  auto BecomesReady(int entry) -> bool {
    return WaitFor(
        [this, entry]() -> bool {
          HttpClientRequest request;
          request.url =
              absl::StrCat("http://", LoopbackAddress(ready_ports_[entry]),
                           "/rhubarbhaven/readiness");
          return client_.Call(request).http.status() == 200;
        },
        seconds(60));
  }

  auto State(int entry, const std::string& id) -> std::string {
    return Call(entry, "GET", "/jobs/" + id).http.body();
  }

  auto Completes(int entry, const std::string& id) -> bool {
    return WaitFor(
        [this, entry, &id]() -> bool {
          return State(entry, id) == R"({"State":"completed"})";
        },
        seconds(60));
  }

  auto ExpectNoProblems() -> void {
    for (const auto& problem : platform_->problems()) {
      ADD_FAILURE() << problem;
    }
  }

  std::string folder_;
  std::vector<int> heartbeat_ports_;
  std::vector<int> link_ports_;
  std::vector<int> callers_ports_;
  std::vector<int> ready_ports_;
  std::map<int, std::string> relayed_log_;
  std::unique_ptr<PlatformStandIn> platform_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
  HttpClient client_;
};

TEST_F(PlatformTest, JobRunsFromHandInToItsLastTask) {
  ASSERT_TRUE(Submit("00000000000000a1"));
  EXPECT_TRUE(Completes(0, "00000000000000a1"));
  EXPECT_TRUE(Completes(1, "00000000000000a1"));
  EXPECT_EQ(platform_->starts(), 5);
  EXPECT_EQ(Call(0, "GET", "/jobs/").http.body(), R"({"Pending":0})");
  // Handed in once more, it remains one job.
  EXPECT_EQ(Call(1, "POST", "/jobs/00000000000000a1", kBody).http.status(),
            200U);
  EXPECT_EQ(platform_->starts(), 5);
  ExpectNoProblems();
}

struct RefusalCase {
  std::string name;
  std::string method;
  std::string path;
  std::string body;
  uint32_t status = 0;
};

const std::vector<RefusalCase> kRefusals = {
    {"unknown queue", "POST", "/other/00000000000000a1", kBody, 404},
    {"unknown job", "GET", "/jobs/00000000000000ff", "", 410},
    {"cancel of an unknown job", "DELETE", "/jobs/00000000000000ff", "", 410},
    {"no JSON", "POST", "/jobs/00000000000000a2", "{\"Steps\":", 400},
    {"wrong type", "POST", "/jobs/00000000000000a2", R"({"Steps":7})", 400},
    {"no steps", "POST", "/jobs/00000000000000a2", R"({"Spec":"x"})", 400},
    {"wrong id", "POST", "/jobs/xyz", kBody, 400},
    {"cycle", "POST", "/jobs/00000000000000a2",
     R"({"Steps":[{"Count":1,"After":[0]}]})", 400},
    {"other method", "PUT", "/jobs/00000000000000a2", kBody, 405},
};

TEST_F(PlatformTest, BadCallsAreRefusedClearly) {
  ASSERT_TRUE(BecomesReady(0));
  ASSERT_TRUE(Submit("00000000000000a1"));
  for (const auto& refusal : kRefusals) {
    const auto answer = Call(0, refusal.method, refusal.path, refusal.body);
    EXPECT_EQ(answer.http.status(), refusal.status) << refusal.name;
    EXPECT_NE(answer.http.body().find("Error"), std::string::npos)
        << refusal.name << ": " << answer.http.body();
  }
  EXPECT_TRUE(Completes(0, "00000000000000a1"));
}

// Symptom watched for: accepted jobs are lost, or their tasks run twice.
// Sequence: every process is killed right after a job was accepted; history of
// the log is dropped before they are back.
TEST_F(PlatformTest, AcceptedJobSurvivesTheLossOfEveryProcess) {
  ASSERT_TRUE(Submit("00000000000000a1"));
  for (auto& [name, process] : processes_) {
    process->Kill();
  }
  platform_->CompactLog();
  for (int i = 0; i < kAgents; ++i) {
    StartAgent(i);
  }
  for (int i = 0; i < kEntries; ++i) {
    StartEntry(i);
  }
  EXPECT_TRUE(WaitFor(
      [this]() -> bool {
        return State(0, "00000000000000a1") == R"({"State":"completed"})";
      },
      seconds(90)));
  ExpectNoProblems();
}

TEST_F(PlatformTest, LogAwayIsSaidAtOnceAndAcceptedWorkGoesOn) {
  ASSERT_TRUE(Submit("00000000000000a1"));
  ASSERT_TRUE(WaitFor([this]() -> bool { return platform_->starts() > 0; },
                      seconds(60)));
  platform_->SetLogMode(jobs::VirtualLog::Mode::kRejects);
  // The first one may find out; then callers are told at once.
  Call(0, "POST", "/jobs/00000000000000a2", kBody);
  const auto answer = Call(0, "POST", "/jobs/00000000000000a3", kBody);
  EXPECT_EQ(answer.http.status(), 503U);
  bool told = false;
  for (const auto& header : answer.http.headers()) {
    told = told || header.name() == "retry-after";
  }
  EXPECT_TRUE(told);
  EXPECT_TRUE(WaitFor([this]() -> bool { return platform_->ends() >= 5; },
                      seconds(60)));
  platform_->SetLogMode(jobs::VirtualLog::Mode::kServes);
  EXPECT_TRUE(Completes(0, "00000000000000a1"));
  EXPECT_TRUE(Submit("00000000000000a3"));
  EXPECT_TRUE(Completes(1, "00000000000000a3"));
  ExpectNoProblems();
}

TEST_F(PlatformTest, PlannedStopHandsOverAndReloadKeepsServing) {
  ASSERT_TRUE(Submit("00000000000000a1"));
  for (auto& [name, process] : processes_) {
    process->Signal(SIGHUP);
  }
  ASSERT_TRUE(Completes(0, "00000000000000a1"));
  processes_["entry-0"]->Signal(SIGTERM);
  EXPECT_EQ(processes_["entry-0"]->WaitExit(seconds(20)), 0);
  EXPECT_EQ(Call(1, "POST", "/jobs/00000000000000a2", kBody).http.status(),
            200U);
  EXPECT_TRUE(Completes(1, "00000000000000a2"));
  EXPECT_NE(processes_["entry-1"]->Output().find("\"event\":\"reload\""),
            std::string::npos);
  ExpectNoProblems();
}

// Symptom: a job that was acknowledged is unknown and never runs; another one,
// whose caller was told that it was not accepted, runs. Sequence: the log
// carries out an append, and the connection is reset before the answer; new
// connections are refused for a while. Then the log can be reached again and
// the next job is handed in. Cause: the client library had sent the append
// again by itself, and only its failure to connect was seen. So the append was
// taken for refused and its sequence number for unused; the next append went
// out under the same number, and the log took it for the repeat of the first.
TEST_F(PlatformTest, AppendWhoseAnswerWasResetIsNotTakenForRefused) {
  const int relay_port = FreePort();
  SilentRelay relay(relay_port, platform_->log_port());
  relayed_log_[0] = LoopbackAddress(relay_port);
  processes_["entry-0"]->Kill();
  StartEntry(0);
  ASSERT_TRUE(BecomesReady(0));
  ASSERT_TRUE(Accepts(0, "00000000000000a1"));
  relay.ResetOnAnswerTo(
      "POST /rhubarbhaven/log-append?Topic=keyed.jobs&part=0&Producer=entry-");
  auto told = std::async(std::launch::async,
                         [call = MakeCall(0, "POST", "/jobs/00000000000000a2",
                                          kBody)]() -> uint32_t {
                           return HttpClient().Call(call).http.status();
                         });
  ASSERT_TRUE(WaitFor(
      [this]() -> bool {
        return Call(1, "GET", "/jobs/00000000000000a2").http.status() == 200;
      },
      seconds(60)));
  relay.ListenAgain();
  EXPECT_NE(told.get(), 503U);
  ASSERT_TRUE(Accepts(0, "00000000000000a3"));
  EXPECT_TRUE(Completes(1, "00000000000000a2"));
  EXPECT_TRUE(Completes(1, "00000000000000a3"));
  ExpectNoProblems();
}

// Symptom watched for: a job is acknowledged and nowhere, records of the log
// are passed over, or a process ends. Sequence: log and workers answer with
// success and bytes without meaning while jobs are handed in and run. Cause
// watched for: an answer is taken by its status alone.
TEST_F(PlatformTest, AnswersWithoutMeaningLoseNothing) {
  ASSERT_TRUE(Submit("00000000000000a1"));
  platform_->SetGarbageAnswers(true);
  const auto answer = Call(0, "POST", "/jobs/00000000000000a2", kBody);
  EXPECT_NE(answer.http.status(), 200U);
  std::this_thread::sleep_for(kGarbageFor);
  platform_->SetGarbageAnswers(false);
  EXPECT_TRUE(Completes(0, "00000000000000a1"));
  ASSERT_TRUE(Submit("00000000000000a2"));
  EXPECT_TRUE(Completes(0, "00000000000000a2"));
  EXPECT_TRUE(Completes(1, "00000000000000a2"));
  for (const auto& [name, process] : processes_) {
    EXPECT_EQ(process->WaitExit(milliseconds(0)), std::nullopt) << name;
  }
  ExpectNoProblems();
}

// Guards against an owner whose reads of the log hang while its appends pass:
// it starts no job that another entry accepts, and stays the owner.
TEST_F(PlatformTest, OwnerWhoseReadsHangIsReplaced) {
  const int relay_port = FreePort();
  SilentRelay relay(relay_port, platform_->log_port());
  relayed_log_[0] = LoopbackAddress(relay_port);
  processes_["entry-0"]->Kill();
  processes_["entry-1"]->Kill();
  StartEntry(0);
  ASSERT_TRUE(Accepts(0, "00000000000000a1"));
  ASSERT_TRUE(Completes(0, "00000000000000a1"));
  StartEntry(1);
  ASSERT_TRUE(BecomesReady(1));
  RelayFault fault;
  fault.drops_answers = true;
  fault.only = "GET /rhubarbhaven/log-read";
  relay.SetFault(fault);
  std::this_thread::sleep_for(kReadHangs);
  ASSERT_TRUE(Accepts(1, "00000000000000a2"));
  EXPECT_TRUE(WaitFor(
      [this]() -> bool {
        return State(1, "00000000000000a2") == R"({"State":"completed"})";
      },
      kRunsWithin));
  ExpectNoProblems();
}

TEST_F(PlatformTest, UnreadableConfigurationLeavesTheLastOneInForce) {
  // An entry that starts later would find nothing else.
  ASSERT_TRUE(BecomesReady(0));
  ASSERT_TRUE(BecomesReady(1));
  ASSERT_TRUE(Submit("00000000000000a1"));
  platform_->PublishInvalidConfiguration();
  EXPECT_TRUE(WaitFor(
      [this]() -> bool {
        return processes_["entry-0"]->Output().find(
                   "\"event\":\"configuration_unreadable\"") !=
               std::string::npos;
      },
      seconds(60)));
  ASSERT_TRUE(Submit("00000000000000a2"));
  EXPECT_TRUE(Completes(0, "00000000000000a2"));
  ExpectNoProblems();
}

TEST_F(PlatformTest, SettingsThatChangeWithoutASignalAreReloaded) {
  ASSERT_TRUE(BecomesReady(0));
  const std::string path = absl::StrCat(folder_, "/entry-0.json");
  std::ifstream file(path);
  std::string settings((std::istreambuf_iterator<char>(file)),
                       std::istreambuf_iterator<char>());
  const std::string form = R"("logging":{"form":"json"})";
  settings.replace(settings.find(form), form.size(),
                   R"("logging":{"form":"json","level":"debug"})");
  std::ofstream(path) << settings;
  EXPECT_TRUE(WaitFor(
      [this]() -> bool {
        return processes_["entry-0"]->Output().find("\"event\":\"reload\"") !=
               std::string::npos;
      },
      seconds(60)));
  EXPECT_TRUE(Submit("00000000000000a1"));
}

}  // namespace
}  // namespace rhubarbhaven::test
