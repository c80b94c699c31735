#ifndef RHUBARBHAVEN_TESTS_STANDINS_LOG_LOG_STAND_IN_H_
#define RHUBARBHAVEN_TESTS_STANDINS_LOG_LOG_STAND_IN_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "Transport/transport.h"

namespace rhubarbhaven {

struct LogStandInOptions {
  uint16_t port = 0;
  // Number of records kept of each stream, and how long they are kept; zero for
  // no limit.
  std::size_t retention_records = 0;
  std::chrono::milliseconds retention{0};
};

// Faults that can be enabled here or by
// POST /v1/faults?down=0|1&slow_ms=N&lose_answers=K&refuse=K&hang_ms=N
struct LogFaults {
  // Every call is answered with status 503.
  bool down = false;
  // Delay of every answer.
  std::chrono::milliseconds slow{0};
  // Number of appends that take effect and are answered with status 504 after
  // `hang`.
  uint64_t lose_answers = 0;
  std::chrono::milliseconds hang{0};
  // Number of appends that are answered with status 429 and have no effect.
  uint64_t refuse = 0;
};

// In-memory stand-in for the platform's append-only log; LogClient documents
// the interface. GET /v1/stats counts appends and bytes by stream.
class LogStandIn {
 public:
  explicit LogStandIn(LogStandInOptions options);
  LogStandIn(const LogStandIn&) = delete;
  auto operator=(const LogStandIn&) -> LogStandIn& = delete;
  ~LogStandIn();

  auto Start() -> absl::Status;
  auto port() const -> uint16_t;
  auto url() const -> std::string;
  auto SetFaults(const LogFaults& faults) -> void;
  // Removes the records below the offset as if they had expired.
  auto Expire(const std::string& stream, uint64_t below) -> void;
  // Number of appends that took effect.
  auto appends(const std::string& stream) -> uint64_t;
  auto records(const std::string& stream) -> std::vector<std::string>;

 private:
  struct Item {
    std::string bytes;
    TimePoint at;
  };
  struct Stream {
    uint64_t first = 1;
    std::deque<Item> items;
    uint64_t appends = 0;
    uint64_t append_bytes = 0;
    uint64_t reads = 0;
    uint64_t read_bytes = 0;
  };
  struct WaitingRead {
    std::string stream;
    uint64_t from = 0;
    uint64_t limit = 0;
    TimePoint deadline;
    HttpResponder respond;
  };

  auto Handle(const HttpServerRequest& request, const HttpResponder& respond)
      -> void;
  auto HandleAppend(const std::string& stream,
                    const HttpServerRequest& request,
                    const HttpResponder& respond) -> void;
  auto HandleRead(const std::string& stream,
                  const HttpServerRequest& request,
                  const HttpResponder& respond) -> void;
  auto HandleFaults(const HttpServerRequest& request) -> void;
  auto MakeBatch(const WaitingRead& read) -> HttpServerAnswer;
  auto Stats() -> HttpServerAnswer;
  auto RemoveExpired(Stream* stream) -> void;
  auto RespondAfter(std::chrono::milliseconds delay,
                    const HttpResponder& respond,
                    HttpServerAnswer answer) -> void;
  auto CompleteReads(const std::string& stream) -> void;
  auto RunTimer() -> void;

  const LogStandInOptions options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  LogFaults faults_;
  std::map<std::string, Stream> streams_;
  std::list<WaitingRead> waiting_reads_;
  std::multimap<TimePoint, std::function<auto()->void>> delayed_answers_;
  bool stopping_ = false;
  std::thread timer_;
  std::optional<HttpServer> server_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TESTS_STANDINS_LOG_LOG_STAND_IN_H_
