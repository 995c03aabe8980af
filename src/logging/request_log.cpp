#include "logging/request_log.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

#include "logging/event_log.h"

namespace millethollow {
namespace {

const char* StepText(RequestStep step) {
  switch (step) {
    case RequestStep::kSent:
      return "sent";
    case RequestStep::kRepeated:
      return "repeated";
    case RequestStep::kConnected:
      return "connected";
    case RequestStep::kWritten:
      return "written";
    case RequestStep::kAnswered:
      return "answered";
    case RequestStep::kRefused:
      return "refused";
    case RequestStep::kClosed:
      return "closed";
  }
  return "unknown";
}

// Names come from outside: one that holds a line end must not look like a further line.
std::string Printable(std::string_view text) {
  std::string printable(text.empty() ? "-" : text);
  std::replace_if(
      printable.begin(), printable.end(), [](char c) { return c <= ' ' || c == 0x7f; }, '_');
  return printable;
}

// Counts the lines of the current second.
class LineBudget {
 public:
  // Whether one more line may be written at this time, in seconds.
  bool Take(double now) {
    if (std::floor(now) != second_) {
      second_ = std::floor(now);
      lines_ = 0;
    }
    if (lines_ < kMaxRequestLinesPerS) {
      ++lines_;
      return true;
    }
    ++dropped_;
    return false;
  }
  // The number of lines that were refused since the last call.
  std::size_t TakeDropped() { return std::exchange(dropped_, 0); }

 private:
  double second_ = 0;
  std::size_t lines_ = 0, dropped_ = 0;
};

}  // namespace

void LogRequest(const RequestEvent& event) {
  if (LogLevel() < Level::kInfo) return;
  static LineBudget budget;
  const double now =
      std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
  if (!budget.Take(now)) return;
  if (const std::size_t dropped = budget.TakeDropped(); dropped > 0) {
    Events().info("request-log dropped={}", dropped);
  }
  Events().info("request event={} t={:.6f} id={} number={} attempt={} worker={} reason={}",
                StepText(event.step), now, Printable(event.id), event.number, event.attempt,
                Printable(event.worker), Printable(event.reason));
}

}  // namespace millethollow
