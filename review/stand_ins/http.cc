#include "stand_ins/http.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <random>
#include <stdexcept>

namespace review {
namespace {

auto Loopback(int port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

auto CollectQuery(void* cls, MHD_ValueKind, const char* key, const char* value)
    -> MHD_Result {
  (*static_cast<std::map<std::string, std::string>*>(cls))[key] =
      value == nullptr ? "" : value;
  return MHD_YES;
}

auto Handle(void* cls,
            MHD_Connection* connection,
            const char* url,
            const char* method,
            const char*,
            const char* data,
            std::size_t* size,
            void** state) -> MHD_Result {
  if (*state == nullptr) {
    auto* request = new HttpRequest;
    request->method = method;
    request->path = url;
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery,
                              &request->query);
    const char* instance = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, "Expected-Instance");
    request->expected_instance = instance == nullptr ? "" : instance;
    *state = request;
    return MHD_YES;
  }
  auto* request = static_cast<HttpRequest*>(*state);
  if (*size != 0) {
    request->body.append(data, *size);
    *size = 0;
    return MHD_YES;
  }
  const auto answer = (*static_cast<HttpServer::Handler*>(cls))(*request);
  if (answer.status == 0) {
    return MHD_NO;
  }
  MHD_Response* response = MHD_create_response_from_buffer(
      answer.body.size(), const_cast<char*>(answer.body.data()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", "application/json");
  const auto result = MHD_queue_response(connection, answer.status, response);
  MHD_destroy_response(response);
  return result;
}

auto Completed(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode)
    -> void {
  delete static_cast<HttpRequest*>(*state);
  *state = nullptr;
}

auto AppendBody(char* data, std::size_t, std::size_t size, void* cls)
    -> std::size_t {
  static_cast<std::string*>(cls)->append(data, size);
  return size;
}

}  // namespace

HttpServer::HttpServer(int port, Handler handler)
    : handler_(std::move(handler)) {
  const auto address = Loopback(port);
  daemon_ = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
          MHD_USE_POLL | MHD_USE_ITC,
      static_cast<uint16_t>(port), nullptr, nullptr, &Handle, &handler_,
      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
      MHD_OPTION_NOTIFY_COMPLETED, &Completed, nullptr, MHD_OPTION_END);
  if (daemon_ == nullptr) {
    throw std::runtime_error("a stand-in can't listen");
  }
}

HttpServer::~HttpServer() {
  MHD_stop_daemon(daemon_);
}

auto HttpServer::port() const -> int {
  return MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
}

auto FreePort() -> int {
  // Below the range from which the system draws ports for connections.
  constexpr int kFirst = 12000;
  constexpr int kPorts = 18000;
  static std::atomic<int> next{
      static_cast<int>(std::random_device()() % kPorts)};
  for (int tries = 0; tries < kPorts; ++tries) {
    const int port = kFirst + next++ % kPorts;
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = Loopback(port);
    const bool bound = bind(probe, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)) == 0;
    close(probe);
    if (bound) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

auto Call(const std::string& method,
          const std::string& url,
          const std::map<std::string, std::string>& headers,
          const std::string& body,
          int timeout_ms) -> HttpAnswer {
  HttpAnswer answer;
  CURL* handle = curl_easy_init();
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const auto& [name, value] : headers) {
    list = curl_slist_append(list, (name + ": " + value).c_str());
  }
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_ms));
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
  if (!body.empty() || method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body.size()));
  }
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
  if (curl_easy_perform(handle) == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<unsigned>(status);
  }
  curl_slist_free_all(list);
  curl_easy_cleanup(handle);
  return answer;
}

}  // namespace review
