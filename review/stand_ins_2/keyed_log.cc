#include "keyed_log.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kAnswerTime{4};
constexpr std::size_t kRecentAppends = 5;
constexpr std::size_t kPageRecords = 500;
constexpr std::size_t kPageBytes = 1 << 20;
constexpr std::size_t kDefaultReadKb = 1024;
constexpr char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

auto BigEndian(uint64_t value, int bytes) -> std::string {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) {
    text.push_back(static_cast<char>(value >> (8 * i)));
  }
  return text;
}

auto FromBigEndian(const std::string& text, std::size_t at, int bytes)
    -> uint64_t {
  uint64_t value = 0;
  for (int i = 0; i < bytes; ++i) {
    value = (value << 8) | static_cast<unsigned char>(text[at + i]);
  }
  return value;
}

auto Base64(const std::string& bytes) -> std::string {
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    uint32_t group = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      const bool inside = at + i < bytes.size();
      group = (group << 8) |
              (inside ? static_cast<unsigned char>(bytes[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      const bool padding = at + i > bytes.size();
      text.push_back(padding ? '=' : kBase64[(group >> (6 * (3 - i))) & 63U]);
    }
  }
  return text;
}

auto Number(const HttpRequest& request,
            const std::string& name,
            uint64_t otherwise) -> uint64_t {
  const auto found = request.query.find(name);
  return found == request.query.end()
             ? otherwise
             : std::strtoull(found->second.c_str(), nullptr, 10);
}

auto Text(const HttpRequest& request, const std::string& name) -> std::string {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

auto EndsWith(const std::string& text, const std::string& end) -> bool {
  return text.size() >= end.size() &&
         text.compare(text.size() - end.size(), end.size(), end) == 0;
}

}  // namespace

KeyedLog::KeyedLog(World* world)
    : world_(world),
      server_([this](const HttpRequest& request) { return Handle(request); }) {}

auto KeyedLog::Put(const std::string& topic,
                   const std::string& key,
                   const std::string& value) -> void {
  const std::lock_guard lock(world_->mutex);
  Store(topics_[topic], {key, value});
  world_->changed.notify_all();
}

auto KeyedLog::Store(Topic& topic, Record record) -> void {
  if (record.value.empty()) {
    topic.newest.erase(record.key);
  } else {
    topic.newest[record.key] = topic.records.size();
  }
  topic.records.push_back(std::move(record));
}

auto KeyedLog::Handle(const HttpRequest& request) -> HttpResponse {
  std::this_thread::sleep_for(kAnswerTime);
  if (EndsWith(request.path, "/log-append")) {
    return Append(request);
  }
  if (EndsWith(request.path, "/log-read")) {
    return Read(request);
  }
  if (EndsWith(request.path, "/log-newest")) {
    return Newest(request);
  }
  return {404, "{}"};
}

auto KeyedLog::Append(const HttpRequest& request) -> HttpResponse {
  const std::lock_guard lock(world_->mutex);
  const std::string name = Text(request, "Topic");
  Topic& topic = topics_[name];
  std::vector<Record> records;
  std::size_t total = 0;
  for (std::size_t at = 0; at + 4 <= request.body.size();) {
    const std::size_t size = FromBigEndian(request.body, at, 4);
    at += 4;
    if (size < 1 || at + size > request.body.size()) {
      return {400, "{}"};
    }
    total += size;
    if (size > kRecordBytes || total > kCallBytes) {
      ++oversized_;
      world_->Note("store: answers 400 to a call with a record of " +
                   std::to_string(size) + " bytes");
      return {400, "{}"};
    }
    const std::size_t key = static_cast<unsigned char>(request.body[at]);
    records.push_back({request.body.substr(at + 1, key),
                       request.body.substr(at + 1 + key, size - 1 - key)});
    at += size;
  }
  const std::string producer_name = Text(request, "Producer");
  Producer* producer = nullptr;
  const uint64_t sequence = Number(request, "Sequence", 0);
  if (!producer_name.empty()) {
    producer = &producers_[{name, producer_name}];
    const uint64_t epoch = Number(request, "epoch", 0);
    if (epoch < producer->epoch) {
      return {409, R"({"Reason":"fenced"})"};
    }
    if (epoch > producer->epoch) {
      *producer = Producer();
      producer->epoch = epoch;
    }
    for (const auto& [number, answer] : producer->recent) {
      if (number == sequence) {
        return answer;
      }
    }
    if (producer->begun && sequence != producer->next) {
      return {409,
              Json{{"Reason", "seq"}, {"Sequence", producer->next}}.dump()};
    }
  }
  const std::size_t offset = topic.records.size();
  for (auto& record : records) {
    Store(topic, std::move(record));
  }
  const HttpResponse answer = {
      200, Json{{"Offset", offset}, {"End", topic.records.size()}}.dump()};
  if (producer != nullptr) {
    producer->begun = true;
    producer->next = sequence + 1;
    producer->recent.emplace_back(sequence, answer);
    if (producer->recent.size() > kRecentAppends) {
      producer->recent.pop_front();
    }
  }
  world_->changed.notify_all();
  return answer;
}

auto KeyedLog::Read(const HttpRequest& request) -> HttpResponse {
  std::unique_lock lock(world_->mutex);
  const std::string name = Text(request, "Topic");
  const std::size_t from = Number(request, "From", 0);
  const std::size_t most = Number(request, "MaxKb", kDefaultReadKb) << 10;
  world_->changed.wait_for(
      lock, milliseconds(Number(request, "WaitMs", 0)),
      [&]() -> bool { return topics_[name].records.size() > from; });
  const Topic& topic = topics_[name];
  std::string body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
  for (std::size_t at = from; at < topic.records.size(); ++at) {
    const Record& record = topic.records[at];
    const std::size_t size = 1 + record.key.size() + record.value.size();
    if (at > from && body.size() + size > most) {
      break;
    }
    body += BigEndian(size, 4) + BigEndian(record.key.size(), 1) + record.key +
            record.value;
  }
  return {200, body};
}

auto KeyedLog::Newest(const HttpRequest& request) -> HttpResponse {
  const std::lock_guard lock(world_->mutex);
  const Topic& topic = topics_[Text(request, "Topic")];
  Json items = Json::array();
  std::size_t bytes = 0;
  bool more = false;
  const std::string after = Text(request, "After");
  auto item =
      after.empty() ? topic.newest.begin() : topic.newest.upper_bound(after);
  for (; item != topic.newest.end(); ++item) {
    const Record& record = topic.records[item->second];
    bytes += record.value.size();
    if (items.size() >= kPageRecords ||
        (!items.empty() && bytes > kPageBytes)) {
      more = true;
      break;
    }
    items.push_back({{"Key", record.key},
                     {"Value", Base64(record.value)},
                     {"Offset", item->second}});
  }
  return {200,
          Json{{"items", items}, {"More", more}, {"End", topic.records.size()}}
              .dump()};
}

}  // namespace review
