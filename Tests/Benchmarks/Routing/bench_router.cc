#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdio>

#include "Routing/routing.h"

namespace rhubarbhaven {
namespace {

constexpr int kDecisions = 20000;
// A decision among 1,000 endpoints may take this many times as long as one
// among 11.
constexpr double kMaxRatio = 4;

// One entry, with endpoints whose credits do not run out.
class RouterLoad {
 public:
  explicit RouterLoad(int endpoints) : router_({}) {
    schema::VersionedObject service;
    service.mutable_key()->set_partner("coop");
    service.mutable_key()->set_name("results");
    service.mutable_object()->mutable_service();
    router_.SetServices(now_, {service});
    for (int endpoint = 0; endpoint < endpoints; ++endpoint) {
      schema::Envelope message;
      schema::Announce& announce = *message.mutable_announce();
      announce.set_partner("coop");
      announce.set_service("results");
      announce.set_sequence(1);
      announce.set_slots(8);
      announce.set_endpoint_healthy(true);
      announce.mutable_grant()->set_id(1);
      announce.mutable_grant()->set_credits(1000000);
      announce.mutable_grant()->set_service_time_us(10000);
      router_.OnMessage(now_, "agent-" + std::to_string(endpoint), message);
    }
  }

  // Routes a request and handles its answer.
  auto Decide() -> void {
    CallerRequest request;
    request.ticket = ++ticket_;
    request.partner = "coop";
    request.service = "results";
    request.deadline = now_ + std::chrono::seconds(1);
    const auto sent = router_.OnRequest(now_, request);
    const auto& offer = std::get<SendToAgent>(sent.back());
    schema::Envelope message;
    schema::Answer& answer = *message.mutable_answer();
    answer.set_attempt_id(offer.message.offer().attempt_id());
    answer.set_verdict(schema::ANSWERED);
    answer.mutable_http()->set_status(200);
    schema::Grant& grant = *answer.mutable_grant();
    grant.set_id(1 + ticket_ / 1000);
    grant.set_credits(1000000);
    grant.set_service_time_us(10000);
    benchmark::DoNotOptimize(router_.OnMessage(now_, offer.agent, message));
    now_ += std::chrono::microseconds(20);
  }

 private:
  TimePoint now_{std::chrono::seconds(100)};
  uint64_t ticket_ = 0;
  EntryRouter router_;
};

auto RoutingDecision(benchmark::State& state) -> void {
  RouterLoad load(static_cast<int>(state.range(0)));
  while (state.KeepRunning()) {
    load.Decide();
  }
}
BENCHMARK(RoutingDecision)->Arg(11)->Arg(1000);

auto TimeOf(int endpoints) -> double {
  RouterLoad load(endpoints);
  const auto start = std::chrono::steady_clock::now();
  for (int step = 0; step < kDecisions; ++step) {
    load.Decide();
  }
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - start;
  return took.count() / kDecisions;
}

// The minimum of several runs is least affected by other load on the machine.
auto BestTimeOf(int endpoints) -> double {
  double best = TimeOf(endpoints);
  for (int run = 0; run < 4; ++run) {
    best = std::min(best, TimeOf(endpoints));
  }
  return best;
}

}  // namespace
}  // namespace rhubarbhaven

auto main(int argc, char** argv) -> int {
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  const double ratio =
      rhubarbhaven::BestTimeOf(1000) / rhubarbhaven::BestTimeOf(11);
  const bool met = ratio <= rhubarbhaven::kMaxRatio;
  std::printf("%s decision at 1000 to 11 endpoints: %.2f <= %.2f\n",
              met ? "ok" : "MISSED", ratio, rhubarbhaven::kMaxRatio);
  return met ? 0 : 1;
}
