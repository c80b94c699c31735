#include "Base/event_log.h"

#include "Base/logging.h"

namespace rhubarbhaven {
namespace {

auto AppendEscaped(std::string_view text, std::string* line) -> void {
  constexpr unsigned char kFirstPrintable = 0x20;
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      line->push_back('\\');
    }
    line->push_back(static_cast<unsigned char>(c) < kFirstPrintable ? ' ' : c);
  }
}

auto AppendField(std::string_view name,
                 std::string_view value,
                 std::string* line) -> void {
  line->push_back('"');
  AppendEscaped(name, line);
  line->append("\":\"");
  AppendEscaped(value, line);
  line->push_back('"');
}

}  // namespace

auto InMilliseconds(Duration span) -> std::string {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

EventLog::EventLog(const std::string& component)
    : logger_(ComponentLogger(component)) {}

auto EventLog::Write(std::string_view event,
                     std::initializer_list<EventField> fields) -> void {
  WriteAt(spdlog::level::info, event, fields);
}

auto EventLog::Warn(std::string_view event,
                    std::initializer_list<EventField> fields) -> void {
  WriteAt(spdlog::level::warn, event, fields);
}

auto EventLog::WriteAt(spdlog::level::level_enum level,
                       std::string_view event,
                       std::initializer_list<EventField> fields) -> void {
  if (!logger_->should_log(level)) {
    return;
  }
  std::string line(1, kEventMark);
  AppendField("event", event, &line);
  for (const auto& field : fields) {
    if (!field.value.empty()) {
      line.push_back(',');
      AppendField(field.name, field.value, &line);
    }
  }
  logger_->log(level, spdlog::string_view_t(line));
}

}  // namespace rhubarbhaven
