// Errors of the project's interfaces: a code for the caller, a sentence for the operator.
#ifndef MILLETHOLLOW_ERROR_H_
#define MILLETHOLLOW_ERROR_H_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace millethollow {

enum class ErrorCode : std::uint8_t {
  kInvalidArgument,     // the input can never be used: settings, file contents, a message
  kNotFound,            // what was named does not exist
  kFailedPrecondition,  // the input may be right, but not in this state: another owner, a later
                        // schema
  kUnavailable,         // may work later: an address in use, no descriptor free
  kDataLoss,            // stored data is damaged
  kIo,                  // the operating system refused a read or a write
};

// What went wrong. `message` is one plain sentence without a line end, fit for a log line.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
};

// A value, or the reason why there is none.
template <typename T>
using Result = tl::expected<T, Error>;

// Success, or the reason for a failure.
using Status = Result<void>;

// For `return MakeError(...)` from a function that returns a Result.
inline tl::unexpected<Error> MakeError(ErrorCode code, std::string message) {
  return tl::unexpected<Error>(Error{code, std::move(message)});
}

}  // namespace millethollow

#endif  // MILLETHOLLOW_ERROR_H_
