// Log lines to standard error, filtered by level. Form: `event key=value ...`.
#ifndef MILLETHOLLOW_LOGGING_LOG_H_
#define MILLETHOLLOW_LOGGING_LOG_H_

#include <cstdint>
#include <iostream>
#include <sstream>
#include <string_view>

namespace millethollow {

enum class Level : std::uint8_t { kError, kWarn, kInfo, kDebug };

// The level of this process: lines of a less important one are dropped.
inline Level& LogLevel() {
  static Level level = Level::kInfo;
  return level;
}

// As the configuration has it; kInfo for any other text.
inline Level ParseLogLevel(std::string_view name) {
  return name == "error"   ? Level::kError
         : name == "warn"  ? Level::kWarn
         : name == "debug" ? Level::kDebug
                           : Level::kInfo;
}

// One line, written when the object goes out of scope, after the level's letter (E, W, I, D):
// LogLine(Level::kInfo) << "config-reloaded name=" << name.
class LogLine {
 public:
  explicit LogLine(Level level) : on_(level <= LogLevel()) {
    if (on_) text_ << "EWID"[static_cast<int>(level)] << ' ';
  }
  ~LogLine() {
    if (!on_) return;
    text_ << '\n';
    std::clog << text_.str() << std::flush;  // in one write: processes share the stream
  }
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  template <typename T>
  LogLine& operator<<(const T& value) {
    if (on_) text_ << value;
    return *this;
  }

 private:
  bool on_;
  std::ostringstream text_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_LOGGING_LOG_H_
