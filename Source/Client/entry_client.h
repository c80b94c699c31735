#ifndef RHUBARBHAVEN_CLIENT_ENTRY_CLIENT_H_
#define RHUBARBHAVEN_CLIENT_ENTRY_CLIENT_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

#include "Transport/transport.h"

namespace rhubarbhaven {

// A task, written as "partner/job/index".
struct TaskName {
  std::string partner;
  std::string job;
  uint32_t index = 0;
};
auto ParseTaskName(const std::string& text) -> absl::StatusOr<TaskName>;

// Blocking calls of the entries' operator interface. They return Unavailable if
// an entry cannot be reached, and Status() and Tasks() return NotFound if it
// does not own the cell.
class EntryClient {
 public:
  explicit EntryClient(std::vector<std::string> urls);

  auto Status(const std::string& url) -> absl::StatusOr<schema::OperatorStatus>;
  auto Tasks(const std::string& url) -> absl::StatusOr<schema::OperatorTasks>;
  // These call one entry after the other until one answers. They return
  // Unavailable if no entry owns the cell.
  auto Explain(const TaskName& task) -> absl::StatusOr<std::string>;
  auto Evict(const TaskName& task) -> absl::Status;

  auto urls() const -> const std::vector<std::string>&;

 private:
  auto Call(const std::string& method,
            const std::string& url,
            const std::string& path,
            google::protobuf::Message* answer) -> absl::Status;
  auto CallAny(const std::string& method,
               const std::string& path,
               google::protobuf::Message* answer) -> absl::Status;

  const std::vector<std::string> urls_;
  HttpClient http_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_ENTRY_CLIENT_H_
