#ifndef RHUBARBHAVEN_BASE_EVENT_LOG_H_
#define RHUBARBHAVEN_BASE_EVENT_LOG_H_

#include <spdlog/spdlog.h>

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "Base/time.h"

namespace rhubarbhaven {

// One named value of an event.
struct EventField {
  std::string_view name;
  std::string value;
};

// Whole milliseconds, as the value of a field.
auto InMilliseconds(Duration span) -> std::string;

// Writes decisions as structured lines: one JSON object each, with the event's
// name and its fields. Lines share the process's log and its bounds.
class EventLog {
 public:
  explicit EventLog(const std::string& part);
  auto Write(std::string_view event, std::initializer_list<EventField> fields)
      -> void;

 private:
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_EVENT_LOG_H_
