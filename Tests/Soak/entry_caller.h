#ifndef RHUBARBHAVEN_TESTS_SOAK_ENTRY_CALLER_H_
#define RHUBARBHAVEN_TESTS_SOAK_ENTRY_CALLER_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Tests/Soak/load_plan.h"
#include "Transport/transport.h"

namespace rhubarbhaven::soak {

struct CallerAnswer {
  // HTTP status; zero if there was no answer.
  unsigned status = 0;
  std::string body;
};

// Calls entries one call at a time, and keeps each connection open until the
// entry's process exits.
class EntryCaller {
 public:
  explicit EntryCaller(std::vector<std::string> addresses,
                       std::optional<PayloadSizes> payloads = std::nullopt)
      : addresses_(std::move(addresses)), payloads_(payloads) {}

  auto Submit(int entry, const std::string& job) -> CallerAnswer;
  auto Query(int entry, const std::string& job) -> CallerAnswer;
  auto Cancel(int entry, const std::string& job) -> CallerAnswer;
  auto entries() const -> int { return static_cast<int>(addresses_.size()); }

 private:
  auto Call(int entry,
            const char* method,
            const std::string& job,
            const std::string& body) -> CallerAnswer;

  std::vector<std::string> addresses_;
  std::optional<PayloadSizes> payloads_;
  HttpClient client_;
};

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_ENTRY_CALLER_H_
