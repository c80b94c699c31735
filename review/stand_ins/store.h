#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_STORE_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_STORE_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "stand_ins/http.h"

namespace review {

// The platform's store: keyed topics with one partition, by PROTOCOL.md ("The
// platform's metadata store"). Keeps everything, answers after 2 ms and never
// fails. Calls that this project doesn't send are answered 400.
class Store {
 public:
  Store();
  Store(const Store&) = delete;
  auto operator=(const Store&) -> Store& = delete;
  ~Store();

  // IP:PORT.
  auto address() const -> std::string;
  // Writes a record as the operator does.
  auto Put(const std::string& topic,
           const std::string& key,
           const std::string& value) -> void;
  // Newest value of a key; empty if there is none.
  auto Newest(const std::string& topic, const std::string& key) -> std::string;

 private:
  struct Stored {
    std::string key;
    std::string value;
  };
  struct Producer {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    // The answers of the newest appends, by sequence number.
    std::deque<std::pair<uint64_t, std::string>> answers;
  };
  struct Topic {
    std::vector<Stored> records;
    // Offsets of the newest record of each key that has a value.
    std::map<std::string, std::size_t> newest;
    std::map<std::string, Producer> producers;
  };

  auto Handle(const HttpRequest& request) -> HttpAnswer;
  auto Append(const HttpRequest& request) -> HttpAnswer;
  auto Read(const HttpRequest& request) -> HttpAnswer;
  auto NewestPage(const HttpRequest& request) -> HttpAnswer;
  static auto Add(Topic* topic, Stored record) -> void;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  bool stopping_ = false;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_STORE_H_
