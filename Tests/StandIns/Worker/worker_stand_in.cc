// Stand-in for the platform's worker. It implements Source/Schema/worker.proto
// as JSON over HTTP, simulates the runs of tasks, and writes a line for each
// start, stop, finish and failure, so that a test can check that no task runs
// twice:
//   event=start name=NAME attempt=N at_ms=MS
// `at_ms` is the machine's monotonic clock, so that the lines of all stand-ins
// of one machine can be compared.
//
// POST /v1/faults?lose=N&slow_ms=N&fail=0|1&p99_us=N
//   lose     the next N answers are lost after the action took effect
//   slow_ms  delay between each action and its answer
//   fail     every task fails as soon as it is started
//   p99_us   tail latency of the endpoint on the same instance in usage reports

#include <gflags/gflags.h>
#include <google/protobuf/util/json_util.h>

#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "Tests/StandIns/Worker/worker_model.h"
#include "Tests/StandIns/stand_in_process.h"
#include "Transport/transport.h"

DEFINE_int32(port, 0, "Port to listen on; 0 takes any.");
DEFINE_uint32(millicores, 16000, "Processors of the worker.");
DEFINE_uint64(memory_mb, 60000, "Memory of the worker.");
DEFINE_uint32(accelerators, 0, "Accelerators of the worker.");
DEFINE_int32(run_ms, 3000, "How long a task runs whose command is not known.");
DEFINE_int32(usage_lag_ms, 1000, "How late usage is reported.");

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kTick{5};

auto OptionsFromFlags() -> WorkerModelOptions {
  WorkerModelOptions options;
  options.incarnation = RandomIncarnation();
  options.capacity.set_millicores(FLAGS_millicores);
  options.capacity.set_memory_mb(FLAGS_memory_mb);
  options.capacity.set_accelerators(FLAGS_accelerators);
  options.run = std::chrono::milliseconds(FLAGS_run_ms);
  options.usage_lag = std::chrono::milliseconds(FLAGS_usage_lag_ms);
  options.on_event = [](const std::string& event, const std::string& name,
                        uint32_t attempt, TimePoint at) -> void {
    const auto at_ms =
        std::chrono::floor<std::chrono::milliseconds>(at.time_since_epoch());
    std::printf("event=%s name=%s attempt=%u at_ms=%lld\n", event.c_str(),
                name.c_str(), attempt, static_cast<long long>(at_ms.count()));
    std::fflush(stdout);
  };
  return options;
}

class WorkerStandIn {
 public:
  WorkerStandIn()
      : model_(OptionsFromFlags()),
        ticker_([this]() -> void { RunTicker(); }) {}
  WorkerStandIn(const WorkerStandIn&) = delete;
  auto operator=(const WorkerStandIn&) -> WorkerStandIn& = delete;
  ~WorkerStandIn() {
    stop_ = true;
    ticker_.join();
  }

  auto Handle(const HttpServerRequest& request, const HttpResponder& respond)
      -> void {
    const std::lock_guard lock(mutex_);
    if (request.path == "/v1/faults") {
      SetFaults(request);
      respond({200, {}, "{}\n"});
      return;
    }
    HttpServerAnswer answer = Execute(request);
    if (answers_to_lose_ > 0) {
      --answers_to_lose_;
      answer = {504, {}, ""};
    }
    delayed_.emplace(Clock::now() + slow_, std::make_pair(respond, answer));
    SendDue();
  }

 private:
  static auto QueryNumber(const HttpServerRequest& request,
                          const std::string& name,
                          long fallback) -> long {
    const auto found = request.query.find(name);
    return found == request.query.end() ? fallback
                                        : atol(found->second.c_str());
  }

  auto SetFaults(const HttpServerRequest& request) -> void {
    answers_to_lose_ = QueryNumber(request, "lose", answers_to_lose_);
    slow_ = std::chrono::milliseconds(
        QueryNumber(request, "slow_ms", slow_.count()));
    fail_ = QueryNumber(request, "fail", fail_ ? 1 : 0) != 0;
    p99_us_ = QueryNumber(request, "p99_us", p99_us_);
    model_.set_fail_all(fail_);
    model_.set_service_p99_us(static_cast<uint32_t>(p99_us_));
  }

  static auto Json(const google::protobuf::Message& message)
      -> HttpServerAnswer {
    HttpServerAnswer answer;
    answer.headers["Content-Type"] = "application/json";
    static_cast<void>(
        google::protobuf::util::MessageToJsonString(message, &answer.body));
    return answer;
  }

  template <typename T>
  static auto Parse(const HttpServerRequest& request, T* message) -> bool {
    return google::protobuf::util::JsonStringToMessage(request.body, message)
        .ok();
  }

  auto Execute(const HttpServerRequest& request) -> HttpServerAnswer {
    const std::string prefix = "/v1/tasks/";
    const TimePoint now = Clock::now();
    if (request.path == "/v1/status") {
      return Json(model_.Status(now));
    }
    if (!request.path.starts_with(prefix)) {
      return {404, {}, "no such path\n"};
    }
    const std::string verb = request.path.substr(prefix.size());
    schema::WorkerStart start;
    schema::WorkerRenew renew;
    schema::WorkerCommand command;
    if (verb == "start" && Parse(request, &start)) {
      return Json(model_.Start(now, start));
    }
    if (verb == "renew" && Parse(request, &renew)) {
      return Json(model_.Renew(now, renew));
    }
    if (Parse(request, &command)) {
      return Json(model_.Command(now, verb, command));
    }
    return {400, {}, "the body is not the JSON of the call's message\n"};
  }

  auto SendDue() -> void {
    const TimePoint now = Clock::now();
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
      const auto due = delayed_.extract(delayed_.begin());
      due.mapped().first(due.mapped().second);
    }
  }

  auto RunTicker() -> void {
    while (!stop_) {
      {
        const std::lock_guard lock(mutex_);
        model_.Advance(Clock::now());
        SendDue();
      }
      std::this_thread::sleep_for(kTick);
    }
  }

  std::mutex mutex_;
  WorkerModel model_;
  long answers_to_lose_ = 0;
  std::chrono::milliseconds slow_{0};
  bool fail_ = false;
  long p99_us_ = 0;
  std::multimap<TimePoint, std::pair<HttpResponder, HttpServerAnswer>> delayed_;
  std::atomic<bool> stop_ = false;
  std::thread ticker_;
};

auto Serve() -> int {
  WorkerStandIn stand_in;
  HttpServerOptions options;
  options.port = static_cast<uint16_t>(FLAGS_port);
  options.handler = [&stand_in](const HttpServerRequest& request,
                                const HttpResponder& respond) -> void {
    stand_in.Handle(request, respond);
  };
  HttpServer server(options);
  return ServeUntilStopped("worker_stand_in", server);
}

}  // namespace
}  // namespace rhubarbhaven

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  rhubarbhaven::BlockStopSignals();
  return rhubarbhaven::Serve();
}
