#include "review/stand_ins_3/store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace rhubarbhaven::review {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kTick{2};
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kRecent = 5;
constexpr std::size_t kPageRecords = 500;
constexpr std::size_t kPageBytes = 1 << 20;

auto Answer(unsigned status, const Json& body) -> HttpServerAnswer {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

auto BigEndian(uint64_t value, std::size_t bytes) -> std::string {
  std::string text;
  for (std::size_t i = bytes; i > 0; --i) {
    text.push_back(static_cast<char>(value >> (kBitsPerByte * (i - 1))));
  }
  return text;
}

auto FromBigEndian(const std::string& text, std::size_t at) -> std::size_t {
  std::size_t value = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    value = (value << kBitsPerByte) | static_cast<unsigned char>(text[at + i]);
  }
  return value;
}

auto Text(const HttpServerRequest& request, const std::string& name)
    -> std::string {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

auto Number(const HttpServerRequest& request, const std::string& name)
    -> uint64_t {
  uint64_t value = 0;
  static_cast<void>(absl::SimpleAtoi(Text(request, name), &value));
  return value;
}

// Keys and values of a body; nullopt if it is no list of keyed records.
auto ParseRows(const std::string& body)
    -> std::optional<std::vector<std::pair<std::string, std::string>>> {
  std::vector<std::pair<std::string, std::string>> rows;
  std::size_t at = 0;
  while (at < body.size()) {
    if (at + kLengthBytes >= body.size()) {
      return std::nullopt;
    }
    const std::size_t size = FromBigEndian(body, at);
    at += kLengthBytes;
    const std::size_t key = static_cast<unsigned char>(body[at]);
    if (size < 1 + key || at + size > body.size()) {
      return std::nullopt;
    }
    rows.emplace_back(body.substr(at + 1, key),
                      body.substr(at + 1 + key, size - 1 - key));
    at += size;
  }
  return rows;
}

}  // namespace

Store::Store() {
  HttpServerOptions options;
  options.threads = 1;
  options.max_body_bytes = 4 << 20;
  options.handler = [this](const HttpServerRequest& request,
                           const HttpResponder& respond) -> void {
    Handle(request, respond);
  };
  server_ = std::make_unique<HttpServer>(std::move(options));
  static_cast<void>(server_->Start());
  thread_ = std::thread([this]() -> void {
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        AnswerReads(/*all=*/stop_);
        if (stop_) {
          return;
        }
      }
      std::this_thread::sleep_for(kTick);
    }
  });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  thread_.join();
  server_.reset();
}

auto Store::address() const -> std::string {
  return absl::StrCat("127.0.0.1:", server_->port());
}

auto Store::PutByOperator(const std::string& key, const std::string& value)
    -> void {
  const std::lock_guard lock(mutex_);
  Put(topics_["keyed.op"], {key, value});
}

auto Store::Newest(const std::string& topic, const std::string& key)
    -> std::string {
  const std::lock_guard lock(mutex_);
  const Topic& known = topics_[topic];
  const auto found = known.newest.find(key);
  return found == known.newest.end() ? "" : known.rows[found->second].value;
}

auto Store::Put(Topic& topic, Row row) -> void {
  if (row.value.empty()) {
    topic.newest.erase(row.key);
  } else {
    topic.newest[row.key] = topic.rows.size();
  }
  topic.rows.push_back(std::move(row));
}

auto Store::Handle(const HttpServerRequest& request,
                   const HttpResponder& respond) -> void {
  const std::lock_guard lock(mutex_);
  if (absl::EndsWith(request.path, "/log-append")) {
    respond(Append(request));
    AnswerReads(/*all=*/false);
  } else if (absl::EndsWith(request.path, "/log-read")) {
    constexpr std::size_t kKilobyte = 1024;
    reads_.push_back(
        {Text(request, "Topic"), Number(request, "From"),
         std::max<std::size_t>(1, Number(request, "MaxKb")) * kKilobyte,
         Clock::now() + std::chrono::milliseconds(Number(request, "WaitMs")),
         respond});
    AnswerReads(/*all=*/false);
  } else if (absl::EndsWith(request.path, "/log-newest")) {
    respond(NewestAnswer(request));
  } else {
    respond(Answer(404, Json::object()));
  }
}

auto Store::Append(const HttpServerRequest& request) -> HttpServerAnswer {
  auto rows = ParseRows(request.body);
  const std::string name = Text(request, "Topic");
  if (!rows || name == "keyed.op") {
    return Answer(rows ? 403 : 400, Json::object());
  }
  Topic& topic = topics_[name];
  const uint64_t epoch = Number(request, "epoch");
  const uint64_t sequence = Number(request, "Sequence");
  const auto [known, is_new] =
      topic.producers.try_emplace(Text(request, "Producer"));
  Producer& producer = known->second;
  if (!is_new && epoch < producer.epoch) {
    return Answer(409, {{"Reason", "fenced"}});
  }
  const bool same_epoch = !is_new && epoch == producer.epoch;
  if (same_epoch && sequence != producer.sequence + 1) {
    for (const auto& [number, answer] : producer.recent) {
      if (number == sequence) {
        return answer;
      }
    }
    return Answer(409,
                  {{"Reason", "seq"}, {"Sequence", producer.sequence + 1}});
  }
  if (!same_epoch) {
    producer.recent.clear();
  }
  const std::size_t offset = topic.rows.size();
  for (auto& [key, value] : *rows) {
    Put(topic, {key, value});
  }
  producer.epoch = epoch;
  producer.sequence = sequence;
  const auto answer =
      Answer(200, {{"Offset", offset}, {"End", topic.rows.size()}});
  producer.recent.emplace_back(sequence, answer);
  if (producer.recent.size() > kRecent) {
    producer.recent.pop_front();
  }
  return answer;
}

auto Store::ReadAnswer(const WaitingRead& read) -> HttpServerAnswer {
  const Topic& topic = topics_[read.topic];
  std::string body =
      BigEndian(topic.rows.size(), kOffsetBytes) + BigEndian(0, kOffsetBytes);
  const std::size_t empty = body.size();
  for (std::size_t at = read.from; at < topic.rows.size(); ++at) {
    const Row& row = topic.rows[at];
    const std::size_t size = 1 + row.key.size() + row.value.size();
    if (body.size() > empty && body.size() + size > read.max_bytes) {
      break;
    }
    body += BigEndian(size, kLengthBytes) + BigEndian(row.key.size(), 1) +
            row.key + row.value;
  }
  return {200, {{"Content-Type", "application/octet-stream"}}, body};
}

auto Store::NewestAnswer(const HttpServerRequest& request) -> HttpServerAnswer {
  const Topic& topic = topics_[Text(request, "Topic")];
  Json items = Json::array();
  std::size_t bytes = 0;
  auto item = topic.newest.upper_bound(Text(request, "After"));
  for (; item != topic.newest.end() && items.size() < kPageRecords &&
         bytes < kPageBytes;
       ++item) {
    const Row& row = topic.rows[item->second];
    bytes += row.key.size() + row.value.size();
    items.push_back({{"Key", row.key},
                     {"Value", absl::Base64Escape(row.value)},
                     {"Offset", item->second}});
  }
  return Answer(200, {{"items", std::move(items)},
                      {"More", item != topic.newest.end()},
                      {"End", topic.rows.size()}});
}

auto Store::AnswerReads(bool all) -> void {
  const TimePoint now = Clock::now();
  std::vector<WaitingRead> waiting;
  for (auto& read : std::exchange(reads_, {})) {
    if (all || read.until <= now ||
        read.from < topics_[read.topic].rows.size()) {
      read.respond(ReadAnswer(read));
    } else {
      waiting.push_back(std::move(read));
    }
  }
  reads_ = std::move(waiting);
}

}  // namespace rhubarbhaven::review
