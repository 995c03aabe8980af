// Log lines by spdlog, for parts that need formatted values. Same stream, form and levels as
// LogLine.
#ifndef MILLETHOLLOW_LOGGING_EVENT_LOG_H_
#define MILLETHOLLOW_LOGGING_EVENT_LOG_H_

#include <spdlog/logger.h>

#include <memory>

#include "logging/log.h"

namespace millethollow {

// The process's logger, set to the present LogLevel(). Thread-safe.
spdlog::logger& Events();

}  // namespace millethollow

#endif  // MILLETHOLLOW_LOGGING_EVENT_LOG_H_
