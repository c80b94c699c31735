#ifndef RHUBARBHAVEN_BASE_LOGGING_H_
#define RHUBARBHAVEN_BASE_LOGGING_H_

#include <spdlog/spdlog.h>

#include <memory>
#include <string>

#include "Schema/schema.h"

namespace rhubarbhaven {

// First character of a message that consists of JSON fields; see EventLog.
inline constexpr char kEventMark = '\x01';

// Sets the level and format of all loggers of the process. Must be called once,
// before the first `ComponentLogger`.
auto ConfigureLogging(const schema::LoggingSettings& settings,
                      const std::string& process_id) -> void;

// The logger of one component ("entry", "agent", "owner", "journal", ...). Its
// name is the prefix of the component's lines. Lines are short sentences that
// end with key=value fields.
auto ComponentLogger(const std::string& component)
    -> std::shared_ptr<spdlog::logger>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_LOGGING_H_
