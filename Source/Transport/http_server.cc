#include "Transport/http_server.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

#include "Transport/listener.h"

namespace rhubarbhaven {
namespace {

constexpr std::chrono::seconds kStopTimeout{5};
constexpr std::size_t kHeaderMemoryBytes = 32 << 10;
// Limit for a rejected body. The connection of a caller that sends more is
// closed.
constexpr std::size_t kMaxDiscardedBytes = 16 << 20;

// One request and its response. Shared between the connection and the
// responder; the connection may be resumed only once.
class Exchange {
 public:
  explicit Exchange(MHD_Connection* connection) : connection_(connection) {}

  auto Answer(HttpServerAnswer answer) -> void {
    const std::lock_guard lock(mutex_);
    if (answered_) {
      return;
    }
    answered_ = true;
    answer_ = std::move(answer);
    MHD_resume_connection(connection_);
  }
  // The answer, if the handler has given one.
  auto TakeAnswer() -> std::optional<HttpServerAnswer> {
    const std::lock_guard lock(mutex_);
    return std::exchange(answer_, std::nullopt);
  }

  HttpServerRequest request;
  bool passed_to_handler = false;
  schema::Reason rejection = schema::REASON_NONE;
  std::size_t discarded_bytes = 0;

 private:
  MHD_Connection* connection_;
  std::mutex mutex_;
  bool answered_ = false;
  std::optional<HttpServerAnswer> answer_;
};

auto CollectHeader(void* cls, MHD_ValueKind, const char* key, const char* value)
    -> MHD_Result {
  auto* request = static_cast<HttpServerRequest*>(cls);
  request->headers[absl::AsciiStrToLower(key)] = value ? value : "";
  return MHD_YES;
}

auto CollectQuery(void* cls, MHD_ValueKind, const char* key, const char* value)
    -> MHD_Result {
  auto* request = static_cast<HttpServerRequest*>(cls);
  request->query[key] = value ? value : "";
  return MHD_YES;
}

auto DeclaredLength(const HttpServerRequest& request) -> std::size_t {
  const auto found = request.headers.find("content-length");
  std::size_t length = 0;
  if (found != request.headers.end()) {
    static_cast<void>(absl::SimpleAtoi(found->second, &length));
  }
  return length;
}

// Whether the caller waits for "100 Continue" before it sends the body.
auto ExpectsContinue(const HttpServerRequest& request) -> bool {
  return request.headers.contains("expect");
}

}  // namespace

class HttpServer::Impl {
 public:
  explicit Impl(HttpServerOptions options) : options_(std::move(options)) {}

  ~Impl() {
    if (daemon_ == nullptr) {
      return;
    }
    StopListening();
    WaitIdle();
    AnswerRemaining();
    WaitIdle();
    MHD_stop_daemon(daemon_);
  }

  auto Start() -> absl::Status {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options_.port);
    if (inet_pton(AF_INET, options_.address.c_str(), &address.sin_addr) != 1) {
      return absl::InvalidArgumentError(
          absl::StrCat("http address \"", options_.address,
                       "\" is not an IPv4 address; give one by number"));
    }
    if (!listener_.Open(address) || !StartDaemon()) {
      return absl::UnavailableError(
          absl::StrCat("cannot listen on ", options_.address, ":",
                       options_.port, "; is the port in use?"));
    }
    listener_.Start([this](int connection, const sockaddr_in& peer) -> void {
      MHD_add_connection(daemon_, connection,
                         reinterpret_cast<const sockaddr*>(&peer),
                         sizeof(peer));
    });
    return absl::OkStatus();
  }

  auto StopListening() -> void {
    stopping_ = true;
    listener_.Stop();
  }

  auto port() const -> uint16_t { return listener_.port(); }

  auto pending() const -> std::size_t {
    const std::lock_guard lock(mutex_);
    return exchanges_.size();
  }

 private:
  using ExchangePtr = std::shared_ptr<Exchange>;

  static auto Handle(void* cls,
                     MHD_Connection* connection,
                     const char* url,
                     const char* method,
                     const char*,
                     const char* upload_data,
                     std::size_t* upload_size,
                     void** state) -> MHD_Result {
    auto* self = static_cast<Impl*>(cls);
    if (*state == nullptr) {
      return self->Begin(connection, url, method, state);
    }
    const ExchangePtr& exchange = *static_cast<ExchangePtr*>(*state);
    if (*upload_size != 0) {
      const bool keep_reading =
          self->Collect(*exchange, upload_data, *upload_size);
      *upload_size = 0;
      return keep_reading ? MHD_YES : MHD_NO;
    }
    return self->Continue(connection, exchange);
  }

  static auto Completed(void* cls,
                        MHD_Connection*,
                        void** state,
                        MHD_RequestTerminationCode) -> void {
    auto* exchange = static_cast<ExchangePtr*>(*state);
    if (exchange == nullptr) {
      return;
    }
    static_cast<Impl*>(cls)->Remove(*exchange);
    delete exchange;
    *state = nullptr;
  }

  auto StartDaemon() -> bool {
    // The library may abort if its thread pool is told to stop listening
    // (MHD_quiesce_daemon) while one of the threads handles the listening
    // socket, which crashed daemons during a planned stop. Therefore the
    // library does not own the socket.
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC |
            MHD_USE_NO_LISTEN_SOCKET,
        0, nullptr, nullptr, &Impl::Handle, this, MHD_OPTION_THREAD_POOL_SIZE,
        options_.threads, MHD_OPTION_CONNECTION_LIMIT, options_.max_connections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, kHeaderMemoryBytes,
        MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(options_.idle_timeout.count()),
        MHD_OPTION_NOTIFY_COMPLETED, &Impl::Completed, this, MHD_OPTION_END);
    return daemon_ != nullptr;
  }

  auto Begin(MHD_Connection* connection,
             const char* url,
             const char* method,
             void** state) -> MHD_Result {
    auto exchange = std::make_shared<Exchange>(connection);
    exchange->request.received = Clock::now();
    exchange->request.method = method;
    exchange->request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &exchange->request);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery,
                              &exchange->request);
    {
      const std::lock_guard lock(mutex_);
      exchanges_.insert(exchange);
    }
    *state = new ExchangePtr(exchange);
    const std::size_t declared = DeclaredLength(exchange->request);
    if (declared <= options_.max_body_bytes) {
      return MHD_YES;
    }
    exchange->rejection = schema::BODY_TOO_LARGE;
    if (declared > kMaxDiscardedBytes || ExpectsContinue(exchange->request)) {
      return Reject(connection, exchange->rejection);
    }
    // If the connection were closed before the body is read, it would be reset
    // and the caller would not receive the answer.
    return MHD_YES;
  }

  // Stores a body within the limit and discards a longer one. Returns false if
  // no more of it should be read.
  auto Collect(Exchange& exchange, const char* data, std::size_t size) -> bool {
    if (exchange.request.body.size() + size > options_.max_body_bytes) {
      exchange.rejection = schema::BODY_TOO_LARGE;
      exchange.request.body.clear();
    }
    if (exchange.rejection == schema::REASON_NONE) {
      exchange.request.body.append(data, size);
      return true;
    }
    exchange.discarded_bytes += size;
    return exchange.discarded_bytes <= kMaxDiscardedBytes;
  }

  auto Continue(MHD_Connection* connection, const ExchangePtr& exchange)
      -> MHD_Result {
    if (exchange->rejection != schema::REASON_NONE) {
      return Reject(connection, exchange->rejection);
    }
    if (!exchange->passed_to_handler) {
      exchange->passed_to_handler = true;
      // The connection is suspended before the handler runs, because the
      // handler may answer immediately, from any thread, and resuming a
      // connection that is not suspended is an error.
      MHD_suspend_connection(connection);
      options_.handler(std::move(exchange->request),
                       [exchange](HttpServerAnswer answer) -> void {
                         exchange->Answer(std::move(answer));
                       });
      return MHD_YES;
    }
    auto answer = exchange->TakeAnswer();
    return answer ? Queue(connection, *answer) : MHD_YES;
  }

  auto Reject(MHD_Connection* connection, schema::Reason reason) -> MHD_Result {
    if (options_.on_rejected) {
      options_.on_rejected(reason);
    }
    HttpServerAnswer answer;
    answer.status = MHD_HTTP_CONTENT_TOO_LARGE;
    answer.headers["Rhubarbhaven-Verdict"] = VerdictName(schema::NOT_RUN);
    answer.headers["Rhubarbhaven-Reason"] = ReasonName(reason);
    answer.headers["Connection"] = "close";
    answer.body = absl::StrCat("The body is over the limit of ",
                               options_.max_body_bytes, " bytes.\n");
    return Queue(connection, answer);
  }

  auto Queue(MHD_Connection* connection, const HttpServerAnswer& answer)
      -> MHD_Result {
    MHD_Response* response = MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char*>(answer.body.data()),
        MHD_RESPMEM_MUST_COPY);
    for (const auto& [name, value] : answer.headers) {
      MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    if (stopping_) {
      // The connection of a client that keeps it open would be lost when the
      // process ends. The header makes the client connect elsewhere.
      MHD_add_response_header(response, "Connection", "close");
    }
    const auto result = MHD_queue_response(connection, answer.status, response);
    MHD_destroy_response(response);
    return result;
  }

  auto Remove(const ExchangePtr& exchange) -> void {
    const std::lock_guard lock(mutex_);
    exchanges_.erase(exchange);
    idle_.notify_all();
  }

  auto WaitIdle() -> void {
    std::unique_lock lock(mutex_);
    idle_.wait_for(lock, kStopTimeout,
                   [this]() -> bool { return exchanges_.empty(); });
  }

  // A suspended connection must be resumed before the server is stopped.
  auto AnswerRemaining() -> void {
    std::set<ExchangePtr> remaining;
    {
      const std::lock_guard lock(mutex_);
      remaining = exchanges_;
    }
    for (const auto& exchange : remaining) {
      if (exchange->passed_to_handler) {
        exchange->Answer({MHD_HTTP_SERVICE_UNAVAILABLE, {}, "Stopping.\n"});
      }
    }
  }

  HttpServerOptions options_;
  MHD_Daemon* daemon_ = nullptr;
  std::atomic<bool> stopping_ = false;
  mutable std::mutex mutex_;
  std::condition_variable idle_;
  std::set<ExchangePtr> exchanges_;
  Listener listener_;
};

HttpServer::HttpServer(HttpServerOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
HttpServer::~HttpServer() = default;
auto HttpServer::Start() -> absl::Status {
  return impl_->Start();
}
auto HttpServer::StopListening() -> void {
  impl_->StopListening();
}
auto HttpServer::port() const -> uint16_t {
  return impl_->port();
}
auto HttpServer::pending() const -> std::size_t {
  return impl_->pending();
}

}  // namespace rhubarbhaven
