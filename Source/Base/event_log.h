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

// Formats a duration as whole milliseconds, for the value of a field.
auto InMilliseconds(Duration span) -> std::string;

// Writes decisions as structured log lines: one JSON object each, with the name
// of the event and its fields. The lines go to the log of the process and are
// subject to its rate limit.
class EventLog {
 public:
  explicit EventLog(const std::string& component);
  auto Write(std::string_view event, std::initializer_list<EventField> fields)
      -> void;
  // The same at the level of a warning, for events after which callers may miss
  // something that was promised.
  auto Warn(std::string_view event, std::initializer_list<EventField> fields)
      -> void;

 private:
  auto WriteAt(spdlog::level::level_enum level,
               std::string_view event,
               std::initializer_list<EventField> fields) -> void;

  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_EVENT_LOG_H_
