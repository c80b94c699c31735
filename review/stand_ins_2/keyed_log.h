#ifndef RHUBARBHAVEN_REVIEW_STAND_INS_2_KEYED_LOG_H_
#define RHUBARBHAVEN_REVIEW_STAND_INS_2_KEYED_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "http.h"
#include "world.h"

namespace review {

// The platform's store in its form `log`: topics with one partition, keyed
// records, producers with epochs and sequence numbers. It loses nothing and
// never fails. A record over `kRecordBytes` or a call over `kCallBytes` bytes
// is answered with 400 and not stored.
class KeyedLog {
 public:
  static constexpr std::size_t kRecordBytes = 262144;
  static constexpr std::size_t kCallBytes = 2097152;

  explicit KeyedLog(World* world);

  auto port() const -> int { return server_.port(); }
  // Writes a record as the operator does.
  auto Put(const std::string& topic,
           const std::string& key,
           const std::string& value) -> void;
  // Calls that were answered with 400 because of their size.
  auto oversized() const -> int { return oversized_; }

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct Topic {
    std::vector<Record> records;
    // Offset of the newest record of each key that has a value.
    std::map<std::string, std::size_t> newest;
  };
  struct Producer {
    uint64_t epoch = 0;
    uint64_t next = 0;
    bool begun = false;
    // Sequence numbers and answers of the last five appends.
    std::deque<std::pair<uint64_t, HttpResponse>> recent;
  };

  auto Handle(const HttpRequest& request) -> HttpResponse;
  auto Append(const HttpRequest& request) -> HttpResponse;
  auto Read(const HttpRequest& request) -> HttpResponse;
  auto Newest(const HttpRequest& request) -> HttpResponse;
  auto Store(Topic& topic, Record record) -> void;

  World* world_;
  std::map<std::string, Topic> topics_;
  std::map<std::pair<std::string, std::string>, Producer> producers_;
  int oversized_ = 0;
  HttpServer server_;
};

}  // namespace review

#endif  // RHUBARBHAVEN_REVIEW_STAND_INS_2_KEYED_LOG_H_
