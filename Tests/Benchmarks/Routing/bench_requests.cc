#include <array>
#include <cstdio>
#include <memory>
#include <set>

#include "Tests/Benchmarks/Routing/baseline_cluster.h"
#include "Tests/Routing/fake_cluster.h"

namespace rhubarbhaven {
namespace {

using std::chrono::microseconds;

constexpr uint64_t kSeed = 1;
constexpr int kSlowFactor = 10;
constexpr uint32_t kStatusOk = 200;
constexpr uint32_t kStatusError = 500;
constexpr microseconds kFailureTime{100};

// Runs the workload on the real entry and agent logic.
class PolicyRun {
 public:
  PolicyRun(const Scenario& scenario, uint64_t seed)
      : scenario_(scenario), arrivals_(MakeArrivals(scenario, seed)) {
    ClusterOptions options;
    options.entries = kEntries;
    options.agents = kEndpoints;
    options.failure_domains = kDomains;
    options.seed = seed;
    options.admission.slots = kSlots;
    options.network = [this](const std::string&, const std::string&,
                             const schema::Envelope& message) {
      if (message.has_offer()) {
        const auto number = std::stoul(message.offer().request_id());
        outcomes_.offers += arrivals_[number].at >= kWarmUp ? 1 : 0;
      }
      return Delivery();
    };
    options.endpoint = [this](int agent, const CallEndpoint& call) {
      return Serve(agent, std::stoul(call.request_id));
    };
    cluster_ = std::make_unique<FakeCluster>(options);
    start_ = cluster_->now();
  }

  auto Run() -> WorkloadSummary {
    Arrive(0);
    cluster_->RunFor(kWarmUp);
    if (scenario_.fault == Fault::kDomainDown) {
      for (int agent = 0; agent < kEndpoints; agent += kDomains) {
        cluster_->KillAgent(agent);
      }
    }
    cluster_->RunFor(kMeasured + 3 * kDeadline);
    return Summarize(outcomes_);
  }

 private:
  auto measuring() const -> bool { return cluster_->now() - start_ >= kWarmUp; }

  auto Arrive(std::size_t number) -> void {
    if (number >= arrivals_.size()) {
      return;
    }
    cluster_->At(start_ + arrivals_[number].at, [this, number] {
      SendRequest(number);
      Arrive(number + 1);
    });
  }

  auto SendRequest(std::size_t number) -> void {
    CallerRequest request;
    request.ticket = number + 1;
    request.request_id = std::to_string(number);
    request.partner = kPartner;
    request.service = kService;
    request.deadline = cluster_->now() + kDeadline;
    const bool measured = measuring();
    outcomes_.submitted += measured ? 1 : 0;
    cluster_->Submit(
        arrivals_[number].entry, request,
        [=, this, submitted = cluster_->now()](const CallerReply& reply) {
          if (measured) {
            RecordOutcome(cluster_->now() - submitted, reply);
          }
        });
  }

  auto RecordOutcome(Duration latency, const CallerReply& reply) -> void {
    outcomes_.sent += reply.attempts > 0 ? 1 : 0;
    if (reply.verdict == schema::NOT_RUN) {
      ++outcomes_.rejected;
    } else if (reply.verdict == schema::MAY_HAVE_RUN) {
      ++outcomes_.may_have_run;
    } else if (reply.http.status() != kStatusOk) {
      ++outcomes_.failed;
    } else {
      outcomes_.latencies.push_back(latency);
    }
  }

  auto Serve(int agent, std::size_t number) -> EndpointResponse {
    EndpointResponse response{.response_time = arrivals_[number].service,
                              .status = kStatusOk};
    if (agent != 0 || !measuring()) {
      return response;
    }
    if (scenario_.fault == Fault::kSlow) {
      response.response_time *= kSlowFactor;
    } else if (scenario_.fault == Fault::kFailing) {
      response.response_time = kFailureTime;
      response.status = kStatusError;
    }
    return response;
  }

  Scenario scenario_;
  std::vector<Arrival> arrivals_;
  std::unique_ptr<FakeCluster> cluster_;
  TimePoint start_;
  Outcomes outcomes_;
};

struct Row {
  Scenario scenario;
  WorkloadSummary product;
  std::array<WorkloadSummary, 3> baselines;
};

auto Print(const Scenario& scenario,
           const char* policy,
           const WorkloadSummary& row) -> void {
  std::printf(
      "%-12s %5.2f  %-12s %8.1f %8.1f %8.1f %8.3f %7.3f%% %7.3f%% %7.3f%% "
      "%6.3f\n",
      scenario.name.c_str(), scenario.load, policy, row.p50_ms, row.p99_ms,
      row.p999_ms, row.goodput, 100 * row.failed, 100 * row.rejected,
      100 * row.may_have_run, row.amplification);
}

auto RunRow(const Scenario& scenario) -> Row {
  Row row{.scenario = scenario, .product = {}, .baselines = {}};
  row.product = PolicyRun(scenario, kSeed).Run();
  Print(scenario, "rhubarbhaven", row.product);
  constexpr std::array kNames{"round robin", "random", "two choices"};
  for (std::size_t policy = 0; policy < kNames.size(); ++policy) {
    row.baselines[policy] =
        RunBaseline(static_cast<Baseline>(policy), scenario, kSeed);
    Print(scenario, kNames[policy], row.baselines[policy]);
  }
  return row;
}

class Bounds {
 public:
  auto AtMost(const std::string& what, double value, double bound) -> void {
    Check(what, value, "<=", bound, value <= bound);
  }
  auto AtLeast(const std::string& what, double value, double bound) -> void {
    Check(what, value, ">=", bound, value >= bound);
  }
  auto missed() const -> bool { return missed_; }

 private:
  auto Check(const std::string& what,
             double value,
             const char* sign,
             double bound,
             bool met) -> void {
    std::printf("%-6s %-52s %10.4f %s %10.4f\n", met ? "ok" : "MISSED",
                what.c_str(), value, sign, bound);
    missed_ |= !met;
  }

  bool missed_ = false;
};

// Size in bytes of the announcement that an agent sends to each entry, with
// names and numbers of realistic length.
auto AnnounceBytes() -> double {
  AdmissionOptions options;
  options.agent_id = "agent-diamniadio-11";
  options.incarnation = UINT64_MAX;
  AgentAdmission agent(options);
  schema::Announce identity;
  identity.set_instance("instance-diamniadio-11");
  identity.set_instance_incarnation(UINT64_MAX);
  identity.set_failure_domain("diamniadio");
  identity.set_rack("rack-4");
  identity.set_cell("cell-1");
  identity.set_partner("cooperative-rufisque");
  identity.set_service("chamber-results");
  identity.set_config_applied(1'000'000);
  agent.SetIdentity(identity);
  const auto sent = agent.SetEntries(TimePoint(kWarmUp), {"entry-1"});
  return static_cast<double>(
      std::get<SendToEntry>(sent.front()).message.ByteSizeLong());
}

auto CheckBounds(const std::vector<Row>& rows) -> bool {
  Bounds bounds;
  double peak = 0;
  for (const Row& row : rows) {
    peak = std::max(peak, row.product.goodput);
    const std::string name = row.scenario.name + " " +
                             std::to_string(row.scenario.load).substr(0, 4);
    bounds.AtMost(name + ": amplification", row.product.amplification, 1.1);
    bounds.AtMost(name + ": may have run", row.product.may_have_run, 0.002);
    if (row.scenario.load < 1) {
      bounds.AtLeast(name + ": answered", row.product.answered, 0.995);
    }
    for (const WorkloadSummary& baseline : row.baselines) {
      // The latency of a policy that loses requests is not comparable.
      if (baseline.answered > 0.995) {
        bounds.AtMost(name + ": p99 to a baseline's",
                      row.product.p99_ms / baseline.p99_ms, 1.1);
      }
    }
    if (row.scenario.fault == Fault::kSlow) {
      // Without a smaller window for the slow endpoint, its queue would
      // dominate this value.
      bounds.AtMost(name + ": p99.9 ms", row.product.p999_ms, 300);
    }
    if (row.scenario.fault == Fault::kFailing) {
      bounds.AtMost(name + ": failed", row.product.failed, 0.005);
    }
    if (row.scenario.load >= 10) {
      bounds.AtLeast(name + ": goodput to peak", row.product.goodput / peak,
                     0.95);
    }
  }
  const double announces_per_s = 4 * kEntries;
  bounds.AtMost("bytes a second of announcements of one agent",
                AnnounceBytes() * announces_per_s, 5000);
  return !bounds.missed();
}

auto Main() -> int {
  std::printf("%-12s %5s  %-12s %8s %8s %8s %8s %8s %8s %8s %6s\n", "scenario",
              "load", "policy", "p50 ms", "p99 ms", "p99.9 ms", "goodput",
              "failed", "refused", "unsure", "ampl.");
  std::vector<Row> rows;
  for (const Scenario& scenario :
       std::vector<Scenario>{{"healthy", 0.5, Fault::kNone},
                             {"healthy", 0.9, Fault::kNone},
                             {"healthy", 1.2, Fault::kNone},
                             {"healthy", 3, Fault::kNone},
                             {"healthy", 10, Fault::kNone},
                             {"one slow", 0.7, Fault::kSlow},
                             {"one slow", 0.88, Fault::kSlow},
                             {"one failing", 0.7, Fault::kFailing},
                             {"domain gone", 0.5, Fault::kDomainDown}}) {
    rows.push_back(RunRow(scenario));
  }
  std::printf("announcement: %.0f bytes\n", AnnounceBytes());
  return CheckBounds(rows) ? 0 : 1;
}

}  // namespace
}  // namespace rhubarbhaven

auto main() -> int {
  return rhubarbhaven::Main();
}
