// Structured lines by the registry's logging library, for the parts that tell of changes: a name,
// then key=value pairs. They go where LogLine's go, in the same form.
#ifndef MILLETHOLLOW_LOGGING_EVENT_LOG_H_
#define MILLETHOLLOW_LOGGING_EVENT_LOG_H_

#include <spdlog/logger.h>

#include <memory>

#include "logging/log.h"

namespace millethollow {

// The logger, at the level that the configuration has now.
spdlog::logger& Events();

}  // namespace millethollow

#endif  // MILLETHOLLOW_LOGGING_EVENT_LOG_H_
