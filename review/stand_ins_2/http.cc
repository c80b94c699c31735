#include "http.h"

#include <curl/curl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <strings.h>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace review {
namespace {

constexpr unsigned kIdleSeconds = 120;

auto CollectHeader(void* cls, MHD_ValueKind, const char* key, const char* value)
    -> MHD_Result {
  std::string name = key;
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  static_cast<HttpRequest*>(cls)->headers[name] = value ? value : "";
  return MHD_YES;
}

auto CollectQuery(void* cls, MHD_ValueKind, const char* key, const char* value)
    -> MHD_Result {
  static_cast<HttpRequest*>(cls)->query[key] = value ? value : "";
  return MHD_YES;
}

auto OnRequest(void* cls,
               MHD_Connection* connection,
               const char* url,
               const char* method,
               const char*,
               const char* data,
               std::size_t* size,
               void** state) -> MHD_Result {
  auto* request = static_cast<HttpRequest*>(*state);
  if (request == nullptr) {
    request = new HttpRequest;
    request->method = method;
    request->path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              request);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery,
                              request);
    *state = request;
    return MHD_YES;
  }
  if (*size != 0) {
    request->body.append(data, *size);
    *size = 0;
    return MHD_YES;
  }
  const HttpResponse answer = static_cast<HttpServer*>(cls)->Handle(*request);
  if (answer.status == 0) {
    return MHD_NO;
  }
  MHD_Response* response = MHD_create_response_from_buffer(
      answer.body.size(), const_cast<char*>(answer.body.data()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", "application/json");
  const auto queued = MHD_queue_response(connection, answer.status, response);
  MHD_destroy_response(response);
  return queued;
}

auto OnCompleted(void*,
                 MHD_Connection*,
                 void** state,
                 MHD_RequestTerminationCode) -> void {
  delete static_cast<HttpRequest*>(*state);
  *state = nullptr;
}

auto OnBody(char* data, std::size_t, std::size_t size, void* cls)
    -> std::size_t {
  static_cast<std::string*>(cls)->append(data, size);
  return size;
}

}  // namespace

HttpServer::HttpServer(Handler handler) : handler_(std::move(handler)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  daemon_ = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
      nullptr, nullptr, &OnRequest, this, MHD_OPTION_SOCK_ADDR,
      reinterpret_cast<sockaddr*>(&address), MHD_OPTION_CONNECTION_TIMEOUT,
      kIdleSeconds, MHD_OPTION_NOTIFY_COMPLETED, &OnCompleted, nullptr,
      MHD_OPTION_END);
  const auto* info =
      daemon_ == nullptr
          ? nullptr
          : MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
  if (info == nullptr) {
    std::fprintf(stderr, "cannot listen on a loopback port\n");
    std::_Exit(2);
  }
  port_ = info->port;
}

auto HttpCall(const std::string& method,
              const std::string& url,
              const std::string& body,
              const std::map<std::string, std::string>& headers,
              int timeout_ms) -> HttpResponse {
  HttpResponse response{0, ""};
  CURL* handle = curl_easy_init();
  curl_slist* lines = curl_slist_append(nullptr, "Expect:");
  lines = curl_slist_append(lines, "Content-Type: application/json");
  for (const auto& [name, value] : headers) {
    lines = curl_slist_append(lines, (name + ": " + value).c_str());
  }
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_ms));
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
  if (method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
    curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, body.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, lines);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
  if (curl_easy_perform(handle) == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
  }
  curl_slist_free_all(lines);
  curl_easy_cleanup(handle);
  return response;
}

}  // namespace review
