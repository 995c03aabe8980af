// Error handling of the project's interfaces: an error has a code for the caller and a message for
// the operator.
#ifndef MILLETHOLLOW_ERROR_H_
#define MILLETHOLLOW_ERROR_H_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace millethollow {

// What a caller can do about an error.
enum class ErrorCode : std::uint8_t {
  kInvalidArgument,  // the input can never be used: settings, file contents or a message
  kNotFound,         // the named object does not exist
  // The input may be valid, but not in the current state: another owner or a later schema.
  kFailedPrecondition,
  kUnavailable,  // may succeed later: an address is in use, no file descriptor is free
  kDataLoss,     // stored data is damaged
  kIo,           // the operating system reported an error of a read or a write
};

// An error. `message` is one sentence without a line break, suitable for a log line.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
};

// A value or an error.
template <typename T>
using Result = tl::expected<T, Error>;

// Success or an error.
using Status = Result<void>;

// Creates the error that a function with a Result or Status returns.
inline tl::unexpected<Error> MakeError(ErrorCode code, std::string message) {
  return tl::unexpected<Error>(Error{code, std::move(message)});
}

}  // namespace millethollow

#endif  // MILLETHOLLOW_ERROR_H_
