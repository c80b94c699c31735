// End-to-end tests on the partners' platform with real processes: jobs are
// submitted over HTTP, stored in the log, placed, run by workers and queried.

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
#include "Tests/Support/fault_proxy.h"
#include "Tests/Support/platform_settings.h"

namespace rhubarbhaven::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 2;
constexpr int kAgents = 2;
// Spans several polls, log reads and worker listings.
constexpr milliseconds kGarbageDuration{2500};
// Long enough that the read in progress hangs, too.
constexpr milliseconds kReadHangDelay{1500};
// Covers a takeover and the job's run, doubled for a busy machine.
constexpr seconds kTakeoverTimeout{15};
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
    Start(id, RenderSettings(EntryAddresses{
                  id, LoopbackAddress(callers_ports_.at(i)),
                  LoopbackAddress(ready_ports_.at(i)), LogAddressOf(i)}));
  }

  // An entry may reach the log through a proxy.
  auto LogAddressOf(int entry) -> std::string {
    const auto found = proxied_log_.find(entry);
    return found == proxied_log_.end() ? platform_->log_address()
                                       : found->second;
  }

  auto StartAgent(int i) -> void {
    if (static_cast<int>(link_ports_.size()) <= i) {
      link_ports_.push_back(FreePort());
    }
    const std::string id = absl::StrCat("agent-", i);
    Start(id,
          RenderSettings(AgentAddresses{
              id, LoopbackAddress(heartbeat_ports_.at(i)),
              platform_->worker_address(i), LoopbackAddress(link_ports_.at(i)),
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

  // Submits the job to one entry, repeatedly until it is accepted.
  auto SubmitTo(int entry, const std::string& id) -> bool {
    return WaitFor(
        [this, entry, &id]() -> bool {
          return Call(entry, "POST", "/jobs/" + id, kBody).http.status() == 200;
        },
        seconds(60));
  }

  // Submits the job to both entries in turn until one accepts it.
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

  // Waits until a load balancer would send callers to the entry.
  auto WaitReady(int entry) -> bool {
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

  auto WaitCompleted(int entry, const std::string& id) -> bool {
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
  std::map<int, std::string> proxied_log_;
  std::unique_ptr<PlatformStandIn> platform_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
  HttpClient client_;
};

TEST_F(PlatformTest, JobRunsFromSubmissionToItsLastTask) {
  ASSERT_TRUE(Submit("00000000000000a1"));
  EXPECT_TRUE(WaitCompleted(0, "00000000000000a1"));
  EXPECT_TRUE(WaitCompleted(1, "00000000000000a1"));
  EXPECT_EQ(platform_->starts(), 5);
  EXPECT_EQ(Call(0, "GET", "/jobs/").http.body(), R"({"Pending":0})");
  // Submitting the job again does not create a second one.
  EXPECT_EQ(Call(1, "POST", "/jobs/00000000000000a1", kBody).http.status(),
            200U);
  EXPECT_EQ(platform_->starts(), 5);
  ExpectNoProblems();
}

struct RejectionCase {
  std::string name;
  std::string method;
  std::string path;
  std::string body;
  uint32_t status = 0;
};

const std::vector<RejectionCase> kRejections = {
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

TEST_F(PlatformTest, BadCallsAreRejectedWithAnError) {
  ASSERT_TRUE(WaitReady(0));
  ASSERT_TRUE(Submit("00000000000000a1"));
  for (const auto& rejection : kRejections) {
    const auto answer =
        Call(0, rejection.method, rejection.path, rejection.body);
    EXPECT_EQ(answer.http.status(), rejection.status) << rejection.name;
    EXPECT_NE(answer.http.body().find("Error"), std::string::npos)
        << rejection.name << ": " << answer.http.body();
  }
  EXPECT_TRUE(WaitCompleted(0, "00000000000000a1"));
}

// Guards against accepted jobs that are lost or whose tasks run twice: every
// process is killed right after a job is accepted, and the log discards its
// history before they are restarted.
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

TEST_F(PlatformTest, LogOutageIsReportedAtOnceAndAcceptedJobsContinue) {
  ASSERT_TRUE(Submit("00000000000000a1"));
  ASSERT_TRUE(WaitFor([this]() -> bool { return platform_->starts() > 0; },
                      seconds(60)));
  platform_->SetLogMode(jobs::VirtualLog::Mode::kRejects);
  // The first request may be the one that detects the outage; later ones are
  // rejected at once.
  Call(0, "POST", "/jobs/00000000000000a2", kBody);
  const auto answer = Call(0, "POST", "/jobs/00000000000000a3", kBody);
  EXPECT_EQ(answer.http.status(), 503U);
  bool has_retry_after = false;
  for (const auto& header : answer.http.headers()) {
    has_retry_after = has_retry_after || header.name() == "retry-after";
  }
  EXPECT_TRUE(has_retry_after);
  EXPECT_TRUE(WaitFor([this]() -> bool { return platform_->ends() >= 5; },
                      seconds(60)));
  platform_->SetLogMode(jobs::VirtualLog::Mode::kServes);
  EXPECT_TRUE(WaitCompleted(0, "00000000000000a1"));
  EXPECT_TRUE(Submit("00000000000000a3"));
  EXPECT_TRUE(WaitCompleted(1, "00000000000000a3"));
  ExpectNoProblems();
}

TEST_F(PlatformTest, PlannedStopHandsOverAndReloadKeepsServing) {
  ASSERT_TRUE(Submit("00000000000000a1"));
  for (auto& [name, process] : processes_) {
    process->Signal(SIGHUP);
  }
  ASSERT_TRUE(WaitCompleted(0, "00000000000000a1"));
  processes_["entry-0"]->Signal(SIGTERM);
  EXPECT_EQ(processes_["entry-0"]->WaitExit(seconds(20)), 0);
  EXPECT_EQ(Call(1, "POST", "/jobs/00000000000000a2", kBody).http.status(),
            200U);
  EXPECT_TRUE(WaitCompleted(1, "00000000000000a2"));
  EXPECT_NE(processes_["entry-1"]->Output().find("\"event\":\"reload\""),
            std::string::npos);
  ExpectNoProblems();
}

// Guards against a new owner that waits for an agent that was told to stop as
// for one that is cut off together with the previous owner. The agent records
// its stop before it ends; then the owner is lost and does not come back.
TEST_F(PlatformTest, NewOwnerKnowsThatAnAgentWasToldToStop) {
  ASSERT_TRUE(Submit("00000000000000a1"));
  ASSERT_TRUE(WaitCompleted(0, "00000000000000a1"));
  processes_["agent-0"]->Signal(SIGTERM);
  EXPECT_EQ(processes_["agent-0"]->WaitExit(seconds(5)), 0);
  const auto shows = [this](const std::string& process,
                            const std::string& text) -> bool {
    return processes_[process]->Output().find(text) != std::string::npos;
  };
  EXPECT_TRUE(shows("agent-0", "\"event\":\"agent_stops\""));
  EXPECT_FALSE(shows("agent-0", "\"event\":\"stop_not_recorded\""));
  const bool first = shows("entry-0", "\"event\":\"owner_begin\"");
  processes_[first ? "entry-0" : "entry-1"]->Kill();
  EXPECT_TRUE(WaitFor(
      [&shows, first]() -> bool {
        return shows(first ? "entry-1" : "entry-0", "agent-0=told_to_stop:");
      },
      kTakeoverTimeout));
  ExpectNoProblems();
}

// Guards against an agent that does not end while the log is unavailable.
TEST_F(PlatformTest, AgentStopsWhileTheLogIsUnavailable) {
  ASSERT_TRUE(Submit("00000000000000a1"));
  ASSERT_TRUE(WaitCompleted(0, "00000000000000a1"));
  platform_->SetLogMode(jobs::VirtualLog::Mode::kRejects);
  processes_["agent-0"]->Signal(SIGTERM);
  EXPECT_EQ(processes_["agent-0"]->WaitExit(seconds(5)), 0);
  EXPECT_NE(processes_["agent-0"]->Output().find("stop_not_recorded"),
            std::string::npos);
  ExpectNoProblems();
}

// Guards against an acknowledged job that is lost while a job reported as
// rejected runs. The log executes an append, the connection is reset before the
// answer, and new connections are refused for a while. If the HTTP client
// library retries the append by itself, only the retry's failure to connect is
// visible: the append is treated as rejected and its sequence number as unused.
// The append of the next job then has the same number, and the log discards it
// as a repeat of the first.
TEST_F(PlatformTest, AppendWhoseAnswerWasResetIsNotTreatedAsRejected) {
  const int proxy_port = FreePort();
  FaultProxy proxy(proxy_port, platform_->log_port());
  proxied_log_[0] = LoopbackAddress(proxy_port);
  processes_["entry-0"]->Kill();
  StartEntry(0);
  ASSERT_TRUE(WaitReady(0));
  ASSERT_TRUE(SubmitTo(0, "00000000000000a1"));
  proxy.ResetOnAnswerTo(
      "POST /rhubarbhaven/log-append?Topic=keyed.jobs&part=0&Producer=entry-");
  auto submit_status = std::async(
      std::launch::async,
      [call = MakeCall(0, "POST", "/jobs/00000000000000a2", kBody)]()
          -> uint32_t { return HttpClient().Call(call).http.status(); });
  ASSERT_TRUE(WaitFor(
      [this]() -> bool {
        return Call(1, "GET", "/jobs/00000000000000a2").http.status() == 200;
      },
      seconds(60)));
  proxy.ResumeListening();
  EXPECT_NE(submit_status.get(), 503U);
  ASSERT_TRUE(SubmitTo(0, "00000000000000a3"));
  EXPECT_TRUE(WaitCompleted(1, "00000000000000a2"));
  EXPECT_TRUE(WaitCompleted(1, "00000000000000a3"));
  ExpectNoProblems();
}

// Guards against an acknowledged job that is lost, log records that are skipped
// or a process that exits because an answer is accepted by its status alone:
// the log and the workers answer with success and meaningless bytes while jobs
// are submitted and run.
TEST_F(PlatformTest, MeaninglessAnswersLoseNothing) {
  ASSERT_TRUE(Submit("00000000000000a1"));
  platform_->SetGarbageAnswers(true);
  const auto answer = Call(0, "POST", "/jobs/00000000000000a2", kBody);
  EXPECT_NE(answer.http.status(), 200U);
  std::this_thread::sleep_for(kGarbageDuration);
  platform_->SetGarbageAnswers(false);
  EXPECT_TRUE(WaitCompleted(0, "00000000000000a1"));
  ASSERT_TRUE(Submit("00000000000000a2"));
  EXPECT_TRUE(WaitCompleted(0, "00000000000000a2"));
  EXPECT_TRUE(WaitCompleted(1, "00000000000000a2"));
  for (const auto& [name, process] : processes_) {
    EXPECT_EQ(process->WaitExit(milliseconds(0)), std::nullopt) << name;
  }
  ExpectNoProblems();
}

// What both entries, or all agents, reach through a proxy.
struct SilentCase {
  std::string name;
  bool log = false;
};

auto PrintTo(const SilentCase& silent, std::ostream* out) -> void {
  *out << silent.name;
}

class SilentPathTest : public PlatformTest,
                       public testing::WithParamInterface<SilentCase> {
 protected:
  static constexpr seconds kReplacedWithin{10};

  auto DivertLog() -> void {
    const int port = FreePort();
    proxies_.push_back(
        std::make_unique<FaultProxy>(port, platform_->log_port()));
    for (int entry = 0; entry < kEntries; ++entry) {
      proxied_log_[entry] = LoopbackAddress(port);
      processes_[absl::StrCat("entry-", entry)]->Kill();
      StartEntry(entry);
    }
  }

  // The entries learn of the agents' links from the log, with the proxies'
  // ports. These have as many digits as the links', as the stand-in requires.
  auto DivertLinks() -> void {
    for (int agent = 0; agent < kAgents; ++agent) {
      processes_[absl::StrCat("agent-", agent)]->Kill();
      const auto link = LoopbackAddress(link_ports_.at(agent));
      int port = FreePort();
      while (LoopbackAddress(port).size() != link.size()) {
        port = FreePort();
      }
      proxies_.push_back(
          std::make_unique<FaultProxy>(port, link_ports_.at(agent)));
      platform_->TranslateEndpoint("tcp://" + link,
                                   "tcp://" + LoopbackAddress(port));
      StartAgent(agent);
    }
  }

  std::vector<std::unique_ptr<FaultProxy>> proxies_;
};

// Guards against jobs that wait for minutes, and a configuration that is not in
// force, after open connections were blackholed: bytes are lost in both
// directions without a reset, while new connections work.
TEST_P(SilentPathTest, JobsAndConfigurationsGoOn) {
  if (GetParam().log) {
    DivertLog();
  } else {
    DivertLinks();
  }
  ASSERT_TRUE(WaitReady(0));
  ASSERT_TRUE(SubmitTo(0, "00000000000000a1"));
  ASSERT_TRUE(WaitCompleted(0, "00000000000000a1"));
  for (const auto& proxy : proxies_) {
    ASSERT_GE(proxy->accepted(), 1);
    proxy->BlackholeOpenConnections();
  }
  platform_->Configure(2);
  const auto replaced_by = Clock::now() + kReplacedWithin;
  ASSERT_TRUE(SubmitTo(0, "00000000000000a2"));
  EXPECT_TRUE(WaitCompleted(0, "00000000000000a2"));
  EXPECT_LT(Clock::now(), replaced_by);
  ExpectNoProblems();
}

INSTANTIATE_TEST_SUITE_P(Table,
                         SilentPathTest,
                         testing::Values(SilentCase{"links", false},
                                         SilentCase{"log", true}),
                         [](const auto& info) { return info.param.name; });

// Guards against an owner whose reads of the log hang while its appends
// succeed: it would remain the owner without starting jobs that another entry
// accepts.
TEST_F(PlatformTest, OwnerWhoseReadsHangIsReplaced) {
  const int proxy_port = FreePort();
  FaultProxy proxy(proxy_port, platform_->log_port());
  proxied_log_[0] = LoopbackAddress(proxy_port);
  processes_["entry-0"]->Kill();
  processes_["entry-1"]->Kill();
  StartEntry(0);
  ASSERT_TRUE(SubmitTo(0, "00000000000000a1"));
  ASSERT_TRUE(WaitCompleted(0, "00000000000000a1"));
  StartEntry(1);
  ASSERT_TRUE(WaitReady(1));
  ProxyFault fault;
  fault.drops_answers = true;
  fault.request_prefix = "GET /rhubarbhaven/log-read";
  proxy.SetFault(fault);
  std::this_thread::sleep_for(kReadHangDelay);
  ASSERT_TRUE(SubmitTo(1, "00000000000000a2"));
  EXPECT_TRUE(WaitFor(
      [this]() -> bool {
        return State(1, "00000000000000a2") == R"({"State":"completed"})";
      },
      kTakeoverTimeout));
  ExpectNoProblems();
}

TEST_F(PlatformTest, UnreadableConfigurationLeavesTheLastOneInForce) {
  // An entry that starts later would find only the unreadable configuration.
  ASSERT_TRUE(WaitReady(0));
  ASSERT_TRUE(WaitReady(1));
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
  EXPECT_TRUE(WaitCompleted(0, "00000000000000a2"));
  ExpectNoProblems();
}

TEST_F(PlatformTest, SettingsThatChangeWithoutASignalAreReloaded) {
  ASSERT_TRUE(WaitReady(0));
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
