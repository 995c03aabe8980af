// Log lines that tell what happened to a request and its attempts: one line for each step, at level
// info, in the form
//   request event=repeated t=1796461.250113 id=5c86b2fa number=281474976710657 attempt=1
//   worker=s-7cea1a0b reason=connection-lost
// on one line. `t` is the system's monotonic clock in seconds, which all processes of a machine
// share and which is never set.
#ifndef MILLETHOLLOW_LOGGING_REQUEST_LOG_H_
#define MILLETHOLLOW_LOGGING_REQUEST_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace millethollow {

// A step of a request on its way to its final answer.
enum class RequestStep : std::uint8_t {
  kSent,       // the first attempt was handed to a forwarder
  kRepeated,   // a further attempt was; the reason is how the one before ended, or `hedged`
  kConnected,  // a new connection to the worker is up
  kWritten,    // the kernel has taken the whole request
  kAnswered,   // a worker's answer, or the final one to the client
  kRefused,    // an attempt or a request was not allowed
  kClosed,     // an attempt or a connection ended without an answer, or the client has left
};

// One step. Fields that do not apply keep their default.
struct RequestEvent {
  RequestStep step = RequestStep::kSent;
  std::string_view id = "-";  // the client's Request-Id
  std::uint64_t number = 0;   // the planner's id of the request
  int attempt = -1;           // from 0
  std::string_view worker = "-";
  std::string_view reason = "-";
};

// Lines per second; further events of that second are counted and dropped, and the next line tells
// how many.
constexpr std::size_t kMaxRequestLinesPerS = 2'000;

// Writes the line. Costs a comparison if the log level leaves it out. Not thread-safe: called on
// the loop's thread.
void LogRequest(const RequestEvent& event);

}  // namespace millethollow

#endif  // MILLETHOLLOW_LOGGING_REQUEST_LOG_H_
