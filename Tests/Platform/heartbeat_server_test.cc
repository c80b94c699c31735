// Tests the server for workers' heartbeats and leave notices over loopback
// HTTP.

#include "platform/heartbeat_server.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Tests/Support/deployment.h"

namespace rhubarbhaven::platform {
namespace {

using std::chrono::seconds;

constexpr char kValidHeartbeat[] =
    R"({"Service":"service","Address":"10.0.0.1:80","Zone":"zone",)"
    R"("State":"ready","Sequence":%,"Labels":["kind","rack"],)"
    R"("Capacity":{"Cpu":16000,"MemMb":64000}})";
constexpr char kRefusedMetric[] =
    "rhubarbhaven_refused_total{reason=\"bad_request\"}";

auto ValidHeartbeat(int sequence) -> std::string {
  std::string body = kValidHeartbeat;
  return body.replace(body.find('%'), 1, absl::StrCat(sequence));
}

class HeartbeatServerTest : public testing::Test {
 protected:
  HeartbeatServerTest() : port_(test::FreePort()) {
    HeartbeatHooks hooks;
    hooks.on_heartbeat = [this](const jobs::WorkerHeartbeat& heartbeat,
                                const HeartbeatHooks::Respond& respond) {
      const std::lock_guard lock(mutex_);
      heartbeats_.push_back(heartbeat);
      respond(true);
    };
    hooks.on_leave = [this](const std::string& worker_id,
                            const HeartbeatHooks::Respond& respond) {
      const std::lock_guard lock(mutex_);
      left_workers_.push_back(worker_id);
      respond(true);
    };
    server_ = std::make_unique<HeartbeatServer>(
        absl::StrCat("127.0.0.1:", port_), hooks, &metrics_);
    EXPECT_TRUE(server_->Start().ok());
  }

  auto Send(const std::string& call,
            const std::string& id,
            const std::string& body) -> schema::HttpAnswer {
    HttpClientRequest request;
    request.method = "POST";
    request.url = absl::StrCat("http://127.0.0.1:", port_,
                               "/rhubarbhaven/Instances.", call, "/", id);
    request.body = body;
    request.timeout = seconds(5);
    return client_.Call(request).http;
  }

  int port_;
  Metrics metrics_;
  std::mutex mutex_;
  std::vector<jobs::WorkerHeartbeat> heartbeats_;
  std::vector<std::string> left_workers_;
  std::unique_ptr<HeartbeatServer> server_;
  HttpClient client_;
};

struct BadCall {
  std::string name;
  std::string call;
  std::string id;
  std::string body;
};

class BadCallTest : public HeartbeatServerTest,
                    public testing::WithParamInterface<BadCall> {};

// Guards against a worker losing its tasks, or getting none, because of an
// invalid heartbeat of another sender between two valid ones.
TEST_P(BadCallTest, IsRejectedAndNextValidHeartbeatIsAccepted) {
  ASSERT_EQ(Send("Heartbeat", "i-1", ValidHeartbeat(1)).status(), 200U);
  for (uint64_t round = 1; round <= 3; ++round) {
    const auto answer = Send(GetParam().call, GetParam().id, GetParam().body);
    EXPECT_EQ(answer.status(), 400U);
    EXPECT_NE(answer.body().find("Error"), std::string::npos);
    EXPECT_EQ(metrics_.counter(kRefusedMetric), round);
  }
  EXPECT_EQ(Send("Heartbeat", "i-1", ValidHeartbeat(2)).status(), 200U);
  const std::lock_guard lock(mutex_);
  ASSERT_EQ(heartbeats_.size(), 2U);
  EXPECT_EQ(heartbeats_[0].sequence, 1U);
  EXPECT_EQ(heartbeats_[1].sequence, 2U);
  EXPECT_TRUE(left_workers_.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BadCallTest,
    testing::Values(BadCall{"bytes", "Heartbeat", "i-1", "\xff\xfe\x01"},
                    BadCall{"list", "Heartbeat", "i-1", "[1,2]"},
                    BadCall{"no_fields", "Heartbeat", "i-1", "{}"},
                    BadCall{"no_body", "Heartbeat", "i-1", ""},
                    BadCall{"deeply_nested", "Heartbeat", "i-1",
                            absl::StrCat("{\"a\":",
                                         std::string(130000, '['),
                                         std::string(130000, ']'),
                                         "}")},
                    BadCall{"no_id", "Heartbeat", "", ValidHeartbeat(9)},
                    BadCall{"unknown_state", "Heartbeat", "i-1",
                            R"({"Service":"service","Address":"a","Zone":"z",)"
                            R"("State":"asleep","Sequence":9,"Labels":[],)"
                            R"("Capacity":{"Cpu":1,"MemMb":1}})"},
                    BadCall{"negative_capacity", "Heartbeat", "i-1",
                            R"({"Service":"service","Address":"a","Zone":"z",)"
                            R"("State":"ready","Sequence":9,"Labels":[],)"
                            R"("Capacity":{"Cpu":-1,"MemMb":1}})"},
                    BadCall{"leave_without_id", "Leave", "", "{}"},
                    BadCall{"leave_of_two_parts", "Leave", "i-1/2", "{}"}),
    [](const auto& info) { return info.param.name; });

TEST_F(HeartbeatServerTest, OtherPathsAreNotFound) {
  EXPECT_EQ(Send("Other", "i-1", ValidHeartbeat(1)).status(), 404U);
  EXPECT_TRUE(heartbeats_.empty());
}

TEST_F(HeartbeatServerTest, WorkerLeaves) {
  EXPECT_EQ(Send("Leave", "i-1", "").status(), 200U);
  ASSERT_EQ(left_workers_.size(), 1U);
  EXPECT_EQ(left_workers_.front(), "i-1");
}

}  // namespace
}  // namespace rhubarbhaven::platform
