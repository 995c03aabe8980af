#include "logging/event_log.h"

#include <spdlog/sinks/stdout_sinks.h>

namespace millethollow {

spdlog::logger& Events() {
  static const auto logger = [] {
    auto stderr_logger = std::make_shared<spdlog::logger>(
        "events", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    stderr_logger->set_pattern("%L %v");
    stderr_logger->flush_on(spdlog::level::trace);
    return stderr_logger;
  }();
  switch (LogLevel()) {
    case Level::kError:
      logger->set_level(spdlog::level::err);
      break;
    case Level::kWarn:
      logger->set_level(spdlog::level::warn);
      break;
    case Level::kInfo:
      logger->set_level(spdlog::level::info);
      break;
    case Level::kDebug:
      logger->set_level(spdlog::level::debug);
  }
  return *logger;
}

}  // namespace millethollow
