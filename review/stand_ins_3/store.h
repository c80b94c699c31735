#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_3_STORE_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_3_STORE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Transport/transport.h"

namespace rhubarbhaven::review {

// The platform's store as its page describes it, as far as keyed topics with
// one partition go: log-append with producers, log-read and log-newest, over
// HTTP on a loopback address. It answers at once, is always up and forgets
// nothing. Errors: 400 for a body that cannot be read, 409 with `fenced` or
// `seq`, 404 for other calls.
class Store {
 public:
  Store();
  Store(const Store&) = delete;
  auto operator=(const Store&) -> Store& = delete;
  ~Store();

  // HOST:PORT.
  auto address() const -> std::string;
  // Writes a record of the operator, such as "config", to keyed.op.
  auto PutByOperator(const std::string& key, const std::string& value) -> void;
  // The newest record of the key in the system's topic `topic`; empty if there
  // is none.
  auto Newest(const std::string& topic, const std::string& key) -> std::string;

 private:
  struct Row {
    std::string key;
    std::string value;
  };
  struct Producer {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    std::deque<std::pair<uint64_t, HttpServerAnswer>> recent;
  };
  struct Topic {
    std::vector<Row> rows;
    std::map<std::string, uint64_t> newest;
    std::map<std::string, Producer> producers;
  };
  struct WaitingRead {
    std::string topic;
    uint64_t from = 0;
    std::size_t max_bytes = 0;
    TimePoint until;
    HttpResponder respond;
  };

  auto Handle(const HttpServerRequest& request, const HttpResponder& respond)
      -> void;
  auto Append(const HttpServerRequest& request) -> HttpServerAnswer;
  auto Put(Topic& topic, Row row) -> void;
  auto ReadAnswer(const WaitingRead& read) -> HttpServerAnswer;
  auto NewestAnswer(const HttpServerRequest& request) -> HttpServerAnswer;
  auto AnswerReads(bool all) -> void;

  std::mutex mutex_;
  std::map<std::string, Topic> topics_;
  std::vector<WaitingRead> reads_;
  bool stop_ = false;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

}  // namespace rhubarbhaven::review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_3_STORE_H_
