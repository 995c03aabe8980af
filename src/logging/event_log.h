// Log lines through spdlog, for code that needs formatted values. They have the stream, the form
// and the levels of LogLine.
#ifndef MILLETHOLLOW_LOGGING_EVENT_LOG_H_
#define MILLETHOLLOW_LOGGING_EVENT_LOG_H_

#include <spdlog/logger.h>

#include <memory>

#include "logging/log.h"

namespace millethollow {

// The logger of the process. Each call sets its level to the current LogLevel(). Thread-safe.
spdlog::logger& Events();

}  // namespace millethollow

#endif  // MILLETHOLLOW_LOGGING_EVENT_LOG_H_
