#ifndef RHUBARBHAVEN_BASE_LOGGING_H_
#define RHUBARBHAVEN_BASE_LOGGING_H_

#include <spdlog/spdlog.h>

#include <memory>
#include <string>

#include "Schema/schema.h"

namespace rhubarbhaven {

// First character of a line's text that holds JSON fields, see EventLog.
inline constexpr char kEventMark = '\x01';

// Sets level and form of all logs of the process. Call once, before the
// first `PartLogger`.
auto ConfigureLogging(const schema::LoggingSettings& settings,
                      const std::string& process_id) -> void;

// The logger of one part ("entry", "agent", "owner", "journal", ...); its
// name is the fixed prefix of the part's lines. Lines are short sentences
// with key=value fields at their end.
auto PartLogger(const std::string& part) -> std::shared_ptr<spdlog::logger>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_LOGGING_H_
