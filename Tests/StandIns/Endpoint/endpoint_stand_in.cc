// Stand-in for the service that runs beside an agent. Runs up to `slots`
// requests concurrently, each for the milliseconds given in its query `ms`, and
// writes a line for each run, so that a test can count them:
//   event=run key=KEY attempt=ATTEMPT
// POST /faults?slow_ms=N&fail=1 adds a delay of N ms to each run or makes
// requests fail.

#include <gflags/gflags.h>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <mutex>
#include <thread>

#include "Tests/StandIns/stand_in_process.h"
#include "Transport/transport.h"

DEFINE_int32(port, 0, "Port to listen on; 0 takes any.");
DEFINE_int32(slots, 8, "Requests run concurrently.");
DEFINE_string(name, "endpoint", "Name given in answers.");

namespace rhubarbhaven {
namespace {

constexpr std::size_t kQueueCapacity = 4096;

struct Work {
  HttpServerRequest request;
  HttpResponder respond;
};

class EndpointStandIn {
 public:
  EndpointStandIn() {
    for (int i = 0; i < FLAGS_slots; ++i) {
      workers_.emplace_back([this]() -> void { RunWorker(); });
    }
  }
  EndpointStandIn(const EndpointStandIn&) = delete;
  auto operator=(const EndpointStandIn&) -> EndpointStandIn& = delete;
  ~EndpointStandIn() {
    {
      const std::lock_guard lock(mutex_);
      stop_ = true;
    }
    work_available_.notify_all();
    for (auto& worker : workers_) {
      worker.join();
    }
  }

  auto Handle(HttpServerRequest request, const HttpResponder& respond) -> void {
    if (request.path == "/health") {
      respond({200, {}, "ok\n"});
    } else if (request.path == "/faults") {
      SetFaults(request);
      respond({200, {}, "ok\n"});
    } else if (fail_) {
      respond({500, {}, "failing\n"});
    } else if (!Enqueue({std::move(request), respond})) {
      respond({503, {}, "full\n"});
    }
  }

 private:
  static auto QueryNumber(const HttpServerRequest& request,
                          const std::string& name,
                          int fallback) -> int {
    const auto found = request.query.find(name);
    return found == request.query.end() ? fallback
                                        : atoi(found->second.c_str());
  }

  auto SetFaults(const HttpServerRequest& request) -> void {
    slow_ms_ = QueryNumber(request, "slow_ms", slow_ms_);
    fail_ = QueryNumber(request, "fail", fail_ ? 1 : 0) != 0;
  }

  auto Enqueue(Work work) -> bool {
    const std::lock_guard lock(mutex_);
    if (queue_.size() >= kQueueCapacity) {
      return false;
    }
    queue_.push_back(std::move(work));
    work_available_.notify_one();
    return true;
  }

  auto RunWorker() -> void {
    while (true) {
      std::unique_lock lock(mutex_);
      work_available_.wait(
          lock, [this]() -> bool { return stop_ || !queue_.empty(); });
      if (stop_) {
        return;
      }
      const Work work = std::move(queue_.front());
      queue_.pop_front();
      lock.unlock();
      Run(work);
    }
  }

  static auto Header(const HttpServerRequest& request, const char* name)
      -> std::string {
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? "" : found->second;
  }

  auto Run(const Work& work) -> void {
    const std::string attempt = Header(work.request, "rhubarbhaven-attempt-id");
    const std::string key = Header(work.request, "idempotency-key");
    {
      const std::lock_guard lock(output_mutex_);
      std::printf("event=run key=%s attempt=%s path=%s\n", key.c_str(),
                  attempt.c_str(), work.request.path.c_str());
      std::fflush(stdout);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(
        QueryNumber(work.request, "ms", 0) + slow_ms_));
    HttpServerAnswer answer;
    answer.headers["Rhubarbhaven-Attempt-Id"] = attempt;
    answer.headers["Content-Type"] = "text/plain";
    answer.body = FLAGS_name + " answers " + work.request.path +
                  " id=" + Header(work.request, "rhubarbhaven-request-id") +
                  " " + work.request.body + "\n";
    work.respond(std::move(answer));
  }

  std::mutex mutex_;
  std::condition_variable work_available_;
  std::deque<Work> queue_;
  bool stop_ = false;
  std::vector<std::thread> workers_;
  std::mutex output_mutex_;
  std::atomic<bool> fail_ = false;
  std::atomic<int> slow_ms_ = 0;
};

auto Serve() -> int {
  EndpointStandIn stand_in;
  HttpServerOptions options;
  options.port = static_cast<uint16_t>(FLAGS_port);
  options.handler = [&stand_in](HttpServerRequest request,
                                const HttpResponder& respond) -> void {
    stand_in.Handle(std::move(request), respond);
  };
  HttpServer server(options);
  return ServeUntilStopped("endpoint_stand_in", server);
}

}  // namespace
}  // namespace rhubarbhaven

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  rhubarbhaven::BlockStopSignals();
  return rhubarbhaven::Serve();
}
