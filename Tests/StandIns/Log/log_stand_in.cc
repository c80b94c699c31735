#include "Tests/StandIns/Log/log_stand_in.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace rhubarbhaven {
namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr std::chrono::hours kMaxTimerWait{1};

auto QueryNumber(const HttpServerRequest& request,
                 const std::string& name,
                 uint64_t fallback) -> uint64_t {
  const auto found = request.query.find(name);
  return found == request.query.end()
             ? fallback
             : std::strtoull(found->second.c_str(), nullptr, 10);
}

auto Milliseconds(const HttpServerRequest& request,
                  const std::string& name,
                  std::chrono::milliseconds fallback)
    -> std::chrono::milliseconds {
  return std::chrono::milliseconds(
      QueryNumber(request, name, static_cast<uint64_t>(fallback.count())));
}

// Returns NAME of /v1/streams/NAME/records, empty for any other path.
auto StreamOf(const std::string& path) -> std::string {
  const std::vector<std::string> parts = absl::StrSplit(path, '/');
  const bool matches = parts.size() == 5 && parts[1] == "v1" &&
                       parts[2] == "streams" && parts[4] == "records";
  return matches ? parts[3] : "";
}

}  // namespace

LogStandIn::LogStandIn(LogStandInOptions options) : options_(options) {}

LogStandIn::~LogStandIn() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    faults_.down = true;
  }
  changed_.notify_all();
  if (timer_.joinable()) {
    timer_.join();
  }
  server_.reset();
}

auto LogStandIn::Start() -> absl::Status {
  HttpServerOptions options;
  options.port = options_.port;
  options.max_body_bytes = 16 << 20;
  options.handler = [this](const HttpServerRequest& request,
                           const HttpResponder& respond) -> void {
    Handle(request, respond);
  };
  server_.emplace(std::move(options));
  auto status = server_->Start();
  if (status.ok()) {
    timer_ = std::thread([this]() -> void { RunTimer(); });
  }
  return status;
}

auto LogStandIn::port() const -> uint16_t {
  return server_->port();
}

auto LogStandIn::url() const -> std::string {
  return absl::StrCat("http://127.0.0.1:", port());
}

auto LogStandIn::SetFaults(const LogFaults& faults) -> void {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
  changed_.notify_all();
}

auto LogStandIn::Expire(const std::string& stream, uint64_t below) -> void {
  const std::lock_guard lock(mutex_);
  auto& log = streams_[stream];
  while (log.first < below && !log.items.empty()) {
    log.items.pop_front();
    ++log.first;
  }
}

auto LogStandIn::appends(const std::string& stream) -> uint64_t {
  const std::lock_guard lock(mutex_);
  return streams_[stream].appends;
}

auto LogStandIn::records(const std::string& stream)
    -> std::vector<std::string> {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> all;
  for (const auto& item : streams_[stream].items) {
    all.push_back(item.bytes);
  }
  return all;
}

auto LogStandIn::Handle(const HttpServerRequest& request,
                        const HttpResponder& respond) -> void {
  const std::lock_guard lock(mutex_);
  if (request.path == "/v1/faults") {
    HandleFaults(request);
    respond({200, {}, "ok\n"});
    return;
  }
  if (request.path == "/v1/stats") {
    respond(Stats());
    return;
  }
  const std::string stream = StreamOf(request.path);
  if (faults_.down) {
    RespondAfter(faults_.slow, respond, {kUnavailable, {}, "down\n"});
  } else if (stream.empty()) {
    respond({kNotFound, {}, "no such path\n"});
  } else if (request.method == "POST") {
    HandleAppend(stream, request, respond);
  } else {
    HandleRead(stream, request, respond);
  }
}

auto LogStandIn::HandleAppend(const std::string& stream,
                              const HttpServerRequest& request,
                              const HttpResponder& respond) -> void {
  if (faults_.refuse > 0) {
    --faults_.refuse;
    RespondAfter(faults_.slow, respond, {kTooManyRequests, {}, "refused\n"});
    return;
  }
  auto& log = streams_[stream];
  log.items.push_back({request.body, Clock::now()});
  log.appends += 1;
  log.append_bytes += request.body.size();
  const uint64_t offset = log.first + log.items.size() - 1;
  RemoveExpired(&log);
  CompleteReads(stream);
  if (faults_.lose_answers > 0) {
    --faults_.lose_answers;
    RespondAfter(faults_.hang, respond, {kGatewayTimeout, {}, "lost\n"});
    return;
  }
  RespondAfter(faults_.slow, respond,
               {200, {}, absl::StrCat("{\"offset\":\"", offset, "\"}")});
}

auto LogStandIn::HandleRead(const std::string& stream,
                            const HttpServerRequest& request,
                            const HttpResponder& respond) -> void {
  WaitingRead read;
  read.stream = stream;
  read.from = QueryNumber(request, "from", 1);
  read.limit = QueryNumber(request, "limit", 1000);
  read.deadline = Clock::now() + Milliseconds(request, "wait_ms",
                                              std::chrono::milliseconds(0));
  read.respond = respond;
  auto& log = streams_[stream];
  RemoveExpired(&log);
  const bool has_records = read.from < log.first + log.items.size();
  if (has_records || read.deadline <= Clock::now()) {
    RespondAfter(faults_.slow, respond, MakeBatch(read));
    return;
  }
  waiting_reads_.push_back(std::move(read));
  changed_.notify_all();
}

auto LogStandIn::HandleFaults(const HttpServerRequest& request) -> void {
  faults_.down = QueryNumber(request, "down", faults_.down ? 1 : 0) != 0;
  faults_.slow = Milliseconds(request, "slow_ms", faults_.slow);
  faults_.hang = Milliseconds(request, "hang_ms", faults_.hang);
  faults_.lose_answers =
      QueryNumber(request, "lose_answers", faults_.lose_answers);
  faults_.refuse = QueryNumber(request, "refuse", faults_.refuse);
  changed_.notify_all();
}

auto LogStandIn::MakeBatch(const WaitingRead& read) -> HttpServerAnswer {
  auto& log = streams_[read.stream];
  schema::LogBatch batch;
  const uint64_t next = log.first + log.items.size();
  batch.set_first_kept(log.first);
  batch.set_next(next);
  for (uint64_t offset = std::max(read.from, log.first);
       offset < next && static_cast<uint64_t>(batch.items_size()) < read.limit;
       ++offset) {
    auto* item = batch.add_items();
    item->set_offset(offset);
    item->set_data(log.items[offset - log.first].bytes);
  }
  HttpServerAnswer answer;
  answer.body = batch.SerializeAsString();
  log.reads += 1;
  log.read_bytes += answer.body.size();
  return answer;
}

auto LogStandIn::Stats() -> HttpServerAnswer {
  std::vector<std::string> lines;
  for (const auto& [name, log] : streams_) {
    lines.push_back(absl::StrCat(
        "\"", name, "\":{\"appends\":", log.appends,
        ",\"append_bytes\":", log.append_bytes, ",\"reads\":", log.reads,
        ",\"read_bytes\":", log.read_bytes, ",\"first_kept\":", log.first,
        ",\"next\":", log.first + log.items.size(), "}"));
  }
  HttpServerAnswer answer;
  answer.headers["Content-Type"] = "application/json";
  answer.body =
      absl::StrCat("{\"streams\":{", absl::StrJoin(lines, ","), "}}\n");
  return answer;
}

auto LogStandIn::RemoveExpired(Stream* stream) -> void {
  const TimePoint oldest = Clock::now() - options_.retention;
  while (!stream->items.empty()) {
    const bool too_many = options_.retention_records > 0 &&
                          stream->items.size() > options_.retention_records;
    const bool too_old =
        options_.retention.count() > 0 && stream->items.front().at < oldest;
    if (!too_many && !too_old) {
      return;
    }
    stream->items.pop_front();
    ++stream->first;
  }
}

auto LogStandIn::RespondAfter(std::chrono::milliseconds delay,
                              const HttpResponder& respond,
                              HttpServerAnswer answer) -> void {
  if (delay.count() == 0) {
    respond(std::move(answer));
    return;
  }
  delayed_answers_.emplace(
      Clock::now() + delay,
      [respond, answer = std::move(answer)]() -> void { respond(answer); });
  changed_.notify_all();
}

auto LogStandIn::CompleteReads(const std::string& stream) -> void {
  for (auto read = waiting_reads_.begin(); read != waiting_reads_.end();) {
    if (read->stream != stream) {
      ++read;
      continue;
    }
    RespondAfter(faults_.slow, read->respond, MakeBatch(*read));
    read = waiting_reads_.erase(read);
  }
}

auto LogStandIn::RunTimer() -> void {
  std::unique_lock lock(mutex_);
  while (!stopping_ || !delayed_answers_.empty() || !waiting_reads_.empty()) {
    const TimePoint now = Clock::now();
    TimePoint next_wakeup = now + kMaxTimerWait;
    for (auto read = waiting_reads_.begin(); read != waiting_reads_.end();) {
      if (faults_.down) {
        read->respond({kUnavailable, {}, "down\n"});
        read = waiting_reads_.erase(read);
      } else if (read->deadline <= now) {
        read->respond(MakeBatch(*read));
        read = waiting_reads_.erase(read);
      } else {
        next_wakeup = std::min(next_wakeup, read->deadline);
        ++read;
      }
    }
    while (!delayed_answers_.empty() &&
           (stopping_ || delayed_answers_.begin()->first <= now)) {
      delayed_answers_.begin()->second();
      delayed_answers_.erase(delayed_answers_.begin());
    }
    if (!delayed_answers_.empty()) {
      next_wakeup = std::min(next_wakeup, delayed_answers_.begin()->first);
    }
    if (!stopping_) {
      changed_.wait_until(lock, next_wakeup);
    }
  }
}

}  // namespace rhubarbhaven
