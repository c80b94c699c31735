#ifndef RHUBARBHAVEN_TESTS_ROUTING_TRIAL_H_
#define RHUBARBHAVEN_TESTS_ROUTING_TRIAL_H_

#include <map>
#include <memory>
#include <string>

#include "Tests/Routing/fake_cluster.h"

namespace rhubarbhaven {

// A cluster for one test, which records runs and replies.
struct ClusterHarness {
  ClusterOptions options;
  std::function<auto(const std::string& from,
                     const std::string& to,
                     const schema::Envelope&)
                    ->Delivery>
      network;
  std::function<auto(int agent)->EndpointResponse> endpoint;
  std::unique_ptr<FakeCluster> cluster;
  // Number of runs, by request id and by agent.
  std::map<std::string, int> runs;
  std::map<int, int> runs_at;
  std::map<std::string, CallerReply> replies;
  std::map<std::string, TimePoint> sent_at;
  std::map<std::string, TimePoint> replied_at;
  // Counters by "event reason".
  std::map<std::string, int> counts;
  uint64_t last_ticket = 0;

  auto Start() -> void {
    options.network = [this](const std::string& from, const std::string& to,
                             const schema::Envelope& message) {
      return network ? network(from, to, message) : Delivery();
    };
    options.endpoint = [this](int agent, const CallEndpoint&) {
      return endpoint ? endpoint(agent) : EndpointResponse();
    };
    options.on_run = [this](int agent, const CallEndpoint& call) {
      ++runs[call.request_id];
      ++runs_at[agent];
    };
    options.on_count = [this](const CountReason& count) {
      ++counts[count.event + " " + ReasonName(count.reason)];
    };
    options.on_agent_count = [this](schema::Reason reason) {
      ++counts["agent " + ReasonName(reason)];
    };
    cluster = std::make_unique<FakeCluster>(options);
    cluster->RunFor(std::chrono::milliseconds(50));
  }

  // Sends a request, which is repeatable unless a key is given.
  auto SendRequest(int entry,
                   const std::string& name,
                   std::chrono::milliseconds deadline,
                   const std::string& key = "",
                   const std::string& body = "") -> void {
    sent_at[name] = cluster->now();
    CallerRequest request;
    request.ticket = ++last_ticket;
    request.request_id = name;
    request.partner = kPartner;
    request.service = kService;
    request.repeatable = key.empty();
    request.idempotency_key = key;
    request.http.set_body(body);
    request.deadline = cluster->now() + deadline;
    cluster->Submit(entry, request, [this, name](const CallerReply& reply) {
      replies[name] = reply;
      replied_at[name] = cluster->now();
    });
  }

  // Sends one request per `gap`, to all entries in turn.
  auto Load(int requests, Duration gap, std::chrono::milliseconds deadline)
      -> void {
    for (int number = 0; number < requests; ++number) {
      cluster->After(number * gap, [this, number, deadline] {
        SendRequest(number % options.entries, "load-" + std::to_string(number),
                    deadline);
      });
    }
  }

  auto CountReplies(schema::Verdict verdict) const -> int {
    int count = 0;
    for (const auto& [name, reply] : replies) {
      count += reply.verdict == verdict ? 1 : 0;
    }
    return count;
  }
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TESTS_ROUTING_TRIAL_H_
