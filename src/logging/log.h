// Log lines to standard error, filtered by level. Form: `event key=value ...`.
#ifndef MILLETHOLLOW_LOGGING_LOG_H_
#define MILLETHOLLOW_LOGGING_LOG_H_

#include <cstdint>
#include <iostream>
#include <sstream>
#include <string_view>

namespace millethollow {

// Severity, from the most to the least important.
enum class Level : std::uint8_t { kError, kWarn, kInfo, kDebug };

// The level of this process; less important lines are dropped.
inline Level& LogLevel() {
  static Level level = Level::kInfo;
  return level;
}

// The level named by the setting `log_level`; kInfo for an unknown name.
inline Level ParseLogLevel(std::string_view name) {
  return name == "error"   ? Level::kError
         : name == "warn"  ? Level::kWarn
         : name == "debug" ? Level::kDebug
                           : Level::kInfo;
}

// Builds one line, which the destructor writes after the letter of the level (E, W, I, D):
// LogLine(Level::kInfo) << "config-reloaded name=" << name;
class LogLine {
 public:
  explicit LogLine(Level level) : enabled_(level <= LogLevel()) {
    if (enabled_) text_ << "EWID"[static_cast<int>(level)] << ' ';
  }
  ~LogLine() {
    if (!enabled_) return;
    text_ << '\n';
    std::clog << text_.str() << std::flush;  // one write: processes share the stream
  }
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  template <typename T>
  LogLine& operator<<(const T& value) {
    if (enabled_) text_ << value;
    return *this;
  }

 private:
  bool enabled_;
  std::ostringstream text_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_LOGGING_LOG_H_
