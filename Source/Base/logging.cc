#include "Base/logging.h"

#include <spdlog/pattern_formatter.h>

#include <utility>

#include "Base/bounded_stdout_sink.h"

namespace rhubarbhaven {
namespace {

constexpr char kTextPattern[] = "%Y-%m-%dT%H:%M:%S.%e %l [%n] %v";

// Pattern flag for the message of a line, as a JSON string.
constexpr char kJsonTextFlag = '*';
constexpr unsigned char kFirstPrintable = 0x20;

// Writes the message escaped for JSON. A quote in an unescaped message would
// make the line invalid for log collectors.
class JsonTextFlag : public spdlog::custom_flag_formatter {
 public:
  auto format(const spdlog::details::log_msg& message,
              const std::tm& /*time*/,
              spdlog::memory_buf_t& line) -> void override {
    if (message.payload.size() > 0 && message.payload[0] == kEventMark) {
      // The fields of an event are already escaped.
      line.append(message.payload.begin() + 1, message.payload.end());
      return;
    }
    constexpr std::string_view kText = "\"text\":\"";
    line.append(kText.data(), kText.data() + kText.size());
    AppendEscaped(message, line);
    line.push_back('"');
  }
  auto clone() const -> std::unique_ptr<custom_flag_formatter> override {
    return std::make_unique<JsonTextFlag>();
  }

 private:
  static auto AppendEscaped(const spdlog::details::log_msg& message,
                            spdlog::memory_buf_t& line) -> void {
    for (const char c : message.payload) {
      if (c == '"' || c == '\\') {
        line.push_back('\\');
        line.push_back(c);
      } else {
        const bool control = static_cast<unsigned char>(c) < kFirstPrintable;
        line.push_back(control ? ' ' : c);
      }
    }
  }
};

auto JsonFormatter(const std::string& process_id)
    -> std::unique_ptr<spdlog::pattern_formatter> {
  auto formatter = std::make_unique<spdlog::pattern_formatter>();
  formatter->add_flag<JsonTextFlag>(kJsonTextFlag);
  formatter->set_pattern(
      R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l","process":")" +
      process_id + R"(","part":"%n",%*})");
  return formatter;
}

auto SharedSink() -> spdlog::sink_ptr {
  static const spdlog::sink_ptr sink = std::make_shared<BoundedStdoutSink>();
  return sink;
}

}  // namespace

auto ConfigureLogging(const schema::LoggingSettings& settings,
                      const std::string& process_id) -> void {
  const std::string level =
      settings.level().empty() ? "info" : settings.level();
  spdlog::set_level(
      spdlog::level::from_str(level == "warn" ? "warning" : level));
  if (settings.form() == "json") {
    SharedSink()->set_formatter(JsonFormatter(process_id));
  } else {
    SharedSink()->set_pattern(kTextPattern);
  }
}

auto ComponentLogger(const std::string& component)
    -> std::shared_ptr<spdlog::logger> {
  auto logger = spdlog::get(component);
  if (logger) {
    return logger;
  }
  logger = std::make_shared<spdlog::logger>(component, SharedSink());
  logger->set_level(spdlog::get_level());
  logger->flush_on(spdlog::level::info);
  try {
    spdlog::register_logger(logger);
  } catch (const spdlog::spdlog_ex&) {
    // Another thread registered a logger of the same name in the meantime.
    return spdlog::get(component);
  }
  return logger;
}

}  // namespace rhubarbhaven
