#include "Transport/http_client.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <absl/strings/strip.h>
#include <curl/curl.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace rhubarbhaven {
namespace {

constexpr std::size_t kCallRingCapacity = 4096;
constexpr std::chrono::milliseconds kPollLimit{1000};
constexpr std::chrono::milliseconds kProgressReportInterval{200};

auto InitCurlOnce() -> void {
  static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(code);
}

// One call. Owns the bytes of the request while curl reads them, and collects
// the response.
class Transfer {
 public:
  // `receive_window`: in bytes; zero for the system's default.
  Transfer(CURL* handle, HttpClientRequest request, int receive_window)
      : handle_(handle),
        request_(std::move(request)),
        receive_window_(receive_window),
        progressed_at_(Clock::now()) {
    curl_easy_reset(handle_);
    SetOptions();
  }
  Transfer(const Transfer&) = delete;
  auto operator=(const Transfer&) -> Transfer& = delete;
  ~Transfer() { curl_slist_free_all(headers_); }

  auto Finish(CURLcode code) -> HttpClientAnswer {
    long connects = 0;
    curl_easy_getinfo(handle_, CURLINFO_NUM_CONNECTS, &connects);
    answer_.connections_opened = static_cast<int>(connects);
    long status = 0;
    curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
    answer_.http.set_status(static_cast<uint32_t>(status));
    answer_.received_bytes = received_bytes_;
    if (code != CURLE_OK) {
      Fail(code);
    } else if (!length_known_ && HasBody(status)) {
      // Without a length, a closed connection may mean the end of the response
      // or a truncation. A truncated response must not be reported as complete.
      answer_.reason = schema::ENDPOINT_ANSWER_TRUNCATED;
      answer_.error =
          "the response has neither a content length nor chunked encoding";
    } else {
      answer_.complete = true;
    }
    return std::move(answer_);
  }

  auto handle() const -> CURL* { return handle_; }
  auto has_progress_limits() const -> bool {
    return request_.progress_limits.has_value();
  }
  // When the call exceeds its limits unless more of the response arrives.
  auto progress_deadline() const -> TimePoint {
    const auto& limits = *request_.progress_limits;
    return progressed_at_ +
           (received_bytes_ == 0 ? limits.first_byte : limits.interval);
  }

 private:
  auto SetOptions() -> void {
    curl_easy_setopt(handle_, CURLOPT_URL, request_.url.c_str());
    curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle_, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle_, CURLOPT_PROXY, "");
    curl_easy_setopt(handle_, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(request_.timeout.count()));
    curl_easy_setopt(handle_, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(request_.connect_timeout.count()));
    curl_easy_setopt(handle_, CURLOPT_FRESH_CONNECT,
                     request_.fresh_connection ? 1L : 0L);
    curl_easy_setopt(handle_, CURLOPT_PRIVATE, this);
    if (receive_window_ > 0) {
      curl_easy_setopt(handle_, CURLOPT_SOCKOPTFUNCTION, &Transfer::OnSocket);
      curl_easy_setopt(handle_, CURLOPT_SOCKOPTDATA, this);
    }
    curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
    curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle_, CURLOPT_HEADERFUNCTION, &Transfer::OnHeader);
    curl_easy_setopt(handle_, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle_, CURLOPT_PREREQFUNCTION, &Transfer::OnSending);
    curl_easy_setopt(handle_, CURLOPT_PREREQDATA, this);
    SetMethod();
    for (const auto& header : request_.headers) {
      AddHeader(absl::StrCat(header.name(), ": ", header.value()));
    }
    AddHeader("Expect:");
    curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, headers_);
  }

  auto SetMethod() -> void {
    if (request_.method == "HEAD") {
      curl_easy_setopt(handle_, CURLOPT_NOBODY, 1L);
    } else if (request_.method != "GET" || !request_.body.empty()) {
      curl_easy_setopt(handle_, CURLOPT_POST, 1L);
      curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, request_.body.data());
      curl_easy_setopt(handle_, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request_.body.size()));
      curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
    }
  }

  auto AddHeader(const std::string& line) -> void {
    headers_ = curl_slist_append(headers_, line.c_str());
  }

  auto HasBody(long status) const -> bool {
    constexpr long kNoContent = 204;
    constexpr long kNotModified = 304;
    return request_.method != "HEAD" && status != kNoContent &&
           status != kNotModified;
  }

  auto Fail(CURLcode code) -> void {
    answer_.error = resend_blocked_
                        ? "The connection was lost before the response"
                        : curl_easy_strerror(code);
    if (code == CURLE_OPERATION_TIMEDOUT && received_bytes_ > 0) {
      absl::StrAppend(&answer_.error, ", ", received_bytes_,
                      " bytes of the response have arrived");
    }
    answer_.maybe_sent = send_started_;
    answer_.reason = ReasonOf(code);
  }

  auto ReasonOf(CURLcode code) const -> schema::Reason {
    if (too_large_) {
      return schema::ENDPOINT_ANSWER_TOO_LARGE;
    }
    if (!answer_.maybe_sent) {
      return schema::ENDPOINT_CONNECT_FAILED;
    }
    switch (code) {
      case CURLE_OPERATION_TIMEDOUT:
        return schema::ENDPOINT_TIMEOUT;
      case CURLE_PARTIAL_FILE:
        return schema::ENDPOINT_ANSWER_TRUNCATED;
      default:
        return schema::ENDPOINT_CONNECTION_LOST;
    }
  }

  // Called when a connection is open and the request is about to be sent. If a
  // pooled connection is lost before the response, the library assumes that it
  // was closed while idle and sends the request again. The server may already
  // have executed the request. The caller would receive only the outcome of the
  // second attempt (such as a failure to connect, as if nothing had been sent),
  // and a request that must run at most once would be sent twice. Therefore a
  // call is sent only once, and its caller decides whether to repeat it.
  static auto OnSending(void* cls, char*, char*, int, int) -> int {
    auto* self = static_cast<Transfer*>(cls);
    self->resend_blocked_ = self->send_started_;
    self->send_started_ = true;
    return self->resend_blocked_ ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
  }

  auto OnReceived(std::size_t size) -> void {
    const TimePoint now = Clock::now();
    const bool is_first = received_bytes_ == 0;
    received_bytes_ += size;
    if (is_first || !request_.progress_limits ||
        received_bytes_ - progress_bytes_ >=
            request_.progress_limits->min_bytes) {
      progressed_at_ = now;
      progress_bytes_ = received_bytes_;
    }
    if (request_.on_progress &&
        (is_first || now - reported_at_ >= kProgressReportInterval)) {
      reported_at_ = now;
      request_.on_progress(received_bytes_);
    }
  }

  // The buffer's size must be set before the connection is opened: the window
  // of an open one does not shrink.
  static auto OnSocket(void* cls, curl_socket_t socket, curlsocktype) -> int {
    const int bytes = static_cast<Transfer*>(cls)->receive_window_;
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    return CURL_SOCKOPT_OK;
  }

  static auto OnBody(char* data, std::size_t, std::size_t size, void* cls)
      -> std::size_t {
    auto* self = static_cast<Transfer*>(cls);
    self->OnReceived(size);
    auto* body = self->answer_.http.mutable_body();
    if (body->size() + size > self->request_.max_answer_bytes) {
      self->too_large_ = true;
      return 0;
    }
    body->append(data, size);
    return size;
  }

  static auto OnHeader(char* data, std::size_t, std::size_t size, void* cls)
      -> std::size_t {
    auto* self = static_cast<Transfer*>(cls);
    self->OnReceived(size);
    const absl::string_view line(data, size);
    const auto colon = line.find(':');
    if (colon == absl::string_view::npos) {
      // A status line; the headers before it belong to an interim response.
      if (absl::StartsWith(line, "HTTP/")) {
        self->answer_.http.clear_headers();
        self->length_known_ = false;
      }
      return size;
    }
    auto* header = self->answer_.http.add_headers();
    header->set_name(absl::AsciiStrToLower(line.substr(0, colon)));
    header->set_value(
        std::string(absl::StripAsciiWhitespace(line.substr(colon + 1))));
    if (header->name() == "content-length" ||
        header->name() == "transfer-encoding") {
      self->length_known_ = true;
    }
    return size;
  }

  CURL* handle_;
  HttpClientRequest request_;
  const int receive_window_;
  HttpClientAnswer answer_;
  curl_slist* headers_ = nullptr;
  bool length_known_ = false;
  bool too_large_ = false;
  bool send_started_ = false;
  bool resend_blocked_ = false;
  std::size_t received_bytes_ = 0;
  // When the call began, or when enough of the response had last arrived, and
  // the number of bytes that had arrived by then.
  TimePoint progressed_at_;
  std::size_t progress_bytes_ = 0;
  TimePoint reported_at_;
};

}  // namespace

class HttpClient::Impl {
 public:
  Impl() : handle_((InitCurlOnce(), curl_easy_init())) {}
  Impl(const Impl&) = delete;
  auto operator=(const Impl&) -> Impl& = delete;
  ~Impl() { curl_easy_cleanup(handle_); }

  auto Call(const HttpClientRequest& request) -> HttpClientAnswer {
    Transfer transfer(handle_, request, /*receive_window=*/0);
    return transfer.Finish(curl_easy_perform(handle_));
  }

 private:
  CURL* handle_;
};

HttpClient::HttpClient() : impl_(std::make_unique<Impl>()) {}
HttpClient::~HttpClient() = default;
auto HttpClient::Call(const HttpClientRequest& request) -> HttpClientAnswer {
  return impl_->Call(request);
}

class HttpCaller::Impl {
 public:
  explicit Impl(int connections) : ring_(kCallRingCapacity) {
    InitCurlOnce();
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      static_cast<long>(connections));
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(connections));
    thread_ = std::thread([this]() -> void { Run(); });
  }
  Impl(const Impl&) = delete;
  auto operator=(const Impl&) -> Impl& = delete;
  ~Impl() {
    stop_ = true;
    curl_multi_wakeup(multi_);
    thread_.join();
    curl_multi_cleanup(multi_);
  }

  auto SetReceiveWindow(std::size_t bytes) -> void {
    receive_window_ = static_cast<int>(
        std::min<std::size_t>(bytes, std::numeric_limits<int>::max()));
  }

  auto Start(HttpClientRequest request, Done done) -> bool {
    if (!ring_.Push({std::move(request), std::move(done)})) {
      return false;
    }
    curl_multi_wakeup(multi_);
    return true;
  }

 private:
  struct Call {
    HttpClientRequest request;
    Done done;
  };
  struct Active {
    std::unique_ptr<Transfer> transfer;
    Done done;
  };

  auto Run() -> void {
    while (!stop_) {
      Begin();
      int running = 0;
      curl_multi_perform(multi_, &running);
      Collect();
      const auto wait = EndStalledCalls(Clock::now());
      curl_multi_poll(multi_, nullptr, 0, static_cast<int>(wait.count()),
                      nullptr);
    }
    AbandonAll();
  }

  auto Begin() -> void {
    ring_.ClearWake();
    while (auto call = ring_.Pop()) {
      CURL* handle = TakeHandle();
      active_[handle] = {std::make_unique<Transfer>(
                             handle, std::move(call->request), receive_window_),
                         std::move(call->done)};
      if (active_[handle].transfer->has_progress_limits()) {
        limited_.insert(handle);
      }
      curl_multi_add_handle(multi_, handle);
    }
  }

  // Ends the calls that exceed their limits on progress. Returns how long the
  // next one may wait for data.
  auto EndStalledCalls(TimePoint now) -> std::chrono::milliseconds {
    TimePoint next = now + kPollLimit;
    std::vector<CURL*> stalled;
    for (CURL* handle : limited_) {
      const TimePoint deadline =
          active_.at(handle).transfer->progress_deadline();
      if (deadline <= now) {
        stalled.push_back(handle);
      } else {
        next = std::min(next, deadline);
      }
    }
    for (CURL* handle : stalled) {
      End(handle, CURLE_OPERATION_TIMEDOUT);
    }
    return std::chrono::ceil<std::chrono::milliseconds>(next - now);
  }

  auto Collect() -> void {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg == CURLMSG_DONE) {
        End(message->easy_handle, message->data.result);
      }
    }
  }

  auto End(CURL* handle, CURLcode code) -> void {
    auto node = active_.extract(handle);
    limited_.erase(handle);
    curl_multi_remove_handle(multi_, handle);
    auto answer = node.mapped().transfer->Finish(code);
    node.mapped().transfer.reset();
    idle_handles_.push_back(handle);
    node.mapped().done(std::move(answer));
  }

  auto TakeHandle() -> CURL* {
    if (idle_handles_.empty()) {
      return curl_easy_init();
    }
    CURL* handle = idle_handles_.back();
    idle_handles_.pop_back();
    return handle;
  }

  auto AbandonAll() -> void {
    Begin();
    while (!active_.empty()) {
      End(active_.begin()->first, CURLE_ABORTED_BY_CALLBACK);
    }
    for (CURL* handle : idle_handles_) {
      curl_easy_cleanup(handle);
    }
  }

  BoundedRing<Call> ring_;
  CURLM* multi_ = nullptr;
  std::map<CURL*, Active> active_;
  // The calls among them that have limits on progress.
  std::set<CURL*> limited_;
  std::vector<CURL*> idle_handles_;
  std::atomic<int> receive_window_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

HttpCaller::HttpCaller(int connections)
    : impl_(std::make_unique<Impl>(connections)) {}
HttpCaller::~HttpCaller() = default;
auto HttpCaller::SetReceiveWindow(std::size_t bytes) -> void {
  impl_->SetReceiveWindow(bytes);
}
auto HttpCaller::Start(HttpClientRequest request, Done done) -> bool {
  return impl_->Start(std::move(request), std::move(done));
}

}  // namespace rhubarbhaven
