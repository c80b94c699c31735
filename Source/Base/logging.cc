#include "Base/logging.h"

#include <spdlog/sinks/stdout_sinks.h>

namespace rhubarbhaven {
namespace {

constexpr char kTextPattern[] = "%Y-%m-%dT%H:%M:%S.%e %l [%n] %v";

auto JsonPattern(const std::string& process_id) -> std::string {
  return R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l","process":")" +
         process_id + R"(","part":"%n","text":"%v"})";
}

auto SharedSink() -> spdlog::sink_ptr {
  static const spdlog::sink_ptr sink =
      std::make_shared<spdlog::sinks::stderr_sink_mt>();
  return sink;
}

}  // namespace

auto ConfigureLogging(const schema::LoggingSettings& settings,
                      const std::string& process_id) -> void {
  const std::string level =
      settings.level().empty() ? "info" : settings.level();
  spdlog::set_level(
      spdlog::level::from_str(level == "warn" ? "warning" : level));
  const bool json = settings.form() == "json";
  SharedSink()->set_pattern(json ? JsonPattern(process_id) : kTextPattern);
}

auto PartLogger(const std::string& part) -> std::shared_ptr<spdlog::logger> {
  auto logger = spdlog::get(part);
  if (logger) {
    return logger;
  }
  logger = std::make_shared<spdlog::logger>(part, SharedSink());
  logger->set_level(spdlog::get_level());
  logger->flush_on(spdlog::level::info);
  try {
    spdlog::register_logger(logger);
  } catch (const spdlog::spdlog_ex&) {
    // Another thread registered the same part in between.
    return spdlog::get(part);
  }
  return logger;
}

}  // namespace rhubarbhaven
