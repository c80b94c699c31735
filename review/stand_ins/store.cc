#include "stand_ins/store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kAnswerTime{2};
constexpr std::size_t kKeptAnswers = 5;
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr unsigned kBitsPerByte = 8;

auto Encode(uint64_t value, std::size_t bytes) -> std::string {
  std::string text;
  for (std::size_t i = bytes; i > 0; --i) {
    text.push_back(static_cast<char>(value >> (kBitsPerByte * (i - 1))));
  }
  return text;
}

auto Decode(const std::string& text, std::size_t at, std::size_t bytes)
    -> uint64_t {
  uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value = (value << kBitsPerByte) | static_cast<unsigned char>(text[at + i]);
  }
  return value;
}

auto Text(const HttpRequest& request, const std::string& name) -> std::string {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

auto Number(const HttpRequest& request,
            const std::string& name,
            uint64_t otherwise) -> uint64_t {
  const std::string text = Text(request, name);
  return text.empty() ? otherwise : std::stoull(text);
}

}  // namespace

Store::Store()
    : server_(std::make_unique<HttpServer>(
          FreePort(),
          [this](const HttpRequest& request) -> HttpAnswer {
            return Handle(request);
          })) {}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

auto Store::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(server_->port());
}

auto Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) -> void {
  {
    const std::lock_guard lock(mutex_);
    Add(&topics_[topic], {key, value});
  }
  changed_.notify_all();
}

auto Store::Newest(const std::string& topic, const std::string& key)
    -> std::string {
  const std::lock_guard lock(mutex_);
  const auto& found = topics_[topic];
  const auto at = found.newest.find(key);
  return at == found.newest.end() ? "" : found.records[at->second].value;
}

auto Store::Add(Topic* topic, Stored record) -> void {
  if (record.value.empty()) {
    topic->newest.erase(record.key);
  } else {
    topic->newest[record.key] = topic->records.size();
  }
  topic->records.push_back(std::move(record));
}

auto Store::Handle(const HttpRequest& request) -> HttpAnswer {
  HttpAnswer answer{400, "{}"};
  if (absl::EndsWith(request.path, "/log-append")) {
    answer = Append(request);
  } else if (absl::EndsWith(request.path, "/log-read")) {
    answer = Read(request);
  } else if (absl::EndsWith(request.path, "/log-newest")) {
    answer = NewestPage(request);
  }
  std::this_thread::sleep_for(kAnswerTime);
  return answer;
}

auto Store::Append(const HttpRequest& request) -> HttpAnswer {
  std::vector<Stored> added;
  const std::string& body = request.body;
  for (std::size_t at = 0; at < body.size();) {
    const auto size = Decode(body, at, kLengthBytes);
    at += kLengthBytes;
    const auto key = static_cast<unsigned char>(body[at]);
    added.push_back(
        {body.substr(at + 1, key), body.substr(at + 1 + key, size - 1 - key)});
    at += size;
  }
  const std::string name = Text(request, "Producer");
  const uint64_t epoch = Number(request, "epoch", 0);
  const uint64_t sequence = Number(request, "Sequence", 0);
  std::unique_lock lock(mutex_);
  Topic& topic = topics_[Text(request, "Topic")];
  const auto known = topic.producers.find(name);
  if (known != topic.producers.end()) {
    const Producer& producer = known->second;
    if (epoch < producer.epoch) {
      return {409, Json{{"Reason", "fenced"}}.dump()};
    }
    if (epoch == producer.epoch && sequence != producer.sequence + 1) {
      for (const auto& [number, answer] : producer.answers) {
        if (number == sequence) {
          return {200, answer};
        }
      }
      return {
          409,
          Json{{"Reason", "seq"}, {"Sequence", producer.sequence + 1}}.dump()};
    }
  }
  Producer& producer = topic.producers[name];
  if (epoch > producer.epoch) {
    producer.answers.clear();
  }
  const std::size_t first = topic.records.size();
  for (auto& record : added) {
    Add(&topic, std::move(record));
  }
  const std::string answer =
      Json{{"Offset", first}, {"End", topic.records.size()}}.dump();
  producer.epoch = epoch;
  producer.sequence = sequence;
  producer.answers.emplace_back(sequence, answer);
  if (producer.answers.size() > kKeptAnswers) {
    producer.answers.pop_front();
  }
  lock.unlock();
  changed_.notify_all();
  return {200, answer};
}

auto Store::Read(const HttpRequest& request) -> HttpAnswer {
  constexpr uint64_t kDefaultKb = 1024;
  const uint64_t from = Number(request, "From", 0);
  const std::chrono::milliseconds wait(Number(request, "WaitMs", 0));
  const std::size_t most = Number(request, "MaxKb", kDefaultKb) << 10U;
  std::unique_lock lock(mutex_);
  Topic& topic = topics_[Text(request, "Topic")];
  changed_.wait_for(lock, wait, [this, &topic, from]() -> bool {
    return stopping_ || from < topic.records.size();
  });
  std::string body =
      Encode(topic.records.size(), kOffsetBytes) + Encode(0, kOffsetBytes);
  for (std::size_t i = from; i < topic.records.size(); ++i) {
    const Stored& record = topic.records[i];
    if (i > from && body.size() + record.value.size() > most) {
      break;
    }
    body += Encode(1 + record.key.size() + record.value.size(), kLengthBytes) +
            Encode(record.key.size(), 1) + record.key + record.value;
  }
  return {200, body};
}

auto Store::NewestPage(const HttpRequest& request) -> HttpAnswer {
  const std::lock_guard lock(mutex_);
  const Topic& topic = topics_[Text(request, "Topic")];
  Json items = Json::array();
  auto item = topic.newest.upper_bound(Text(request, "After"));
  for (; item != topic.newest.end() && items.size() < kPageItems; ++item) {
    items.push_back(
        {{"Key", item->first},
         {"Value", absl::Base64Escape(topic.records[item->second].value)},
         {"Offset", item->second}});
  }
  return {200, Json{{"items", items},
                    {"More", item != topic.newest.end()},
                    {"End", topic.records.size()}}
                   .dump()};
}

}  // namespace review
