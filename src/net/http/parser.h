// Incremental parser for HTTP/1.1 requests and responses (RFC 9112). It performs no I/O and holds
// no reference to the bytes that it is fed.
#ifndef MILLETHOLLOW_NET_HTTP_PARSER_H_
#define MILLETHOLLOW_NET_HTTP_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace millethollow::http {

// The start line and the header fields of a message.
struct Head {
  std::string method, target;     // of a request
  int status = 0;                 // of a response
  bool keep_alive = true;         // the connection persists after this message
  bool expects_continue = false;  // the request carries "Expect: 100-continue"
  // Field names and values in the order received; the case of names is preserved.
  std::vector<std::pair<std::string, std::string>> headers;

  // Returns the first value of the field `name`, compared case-insensitively, or null if it is
  // absent. The head owns the value.
  const std::string* Get(std::string_view name) const;
  // Returns the number of fields called `name`, compared case-insensitively.
  std::size_t Count(std::string_view name) const;
};

// Compares two field names or other ASCII tokens case-insensitively.
bool SameName(std::string_view left, std::string_view right);

// Parses one message at a time: feed bytes until done(), take the body, then Reset() for the next
// message. Rejects ambiguous framing that is known from request smuggling attacks.
class Parser {
 public:
  enum class Side : std::uint8_t { kRequest, kResponse };
  struct Limits {
    std::size_t head = 16 * 1024;  // bytes of the head, of a chunk-size line, or of the trailers
    std::size_t body = 64 * 1024;  // bytes of the decoded body
    // Fields of the head: a short one takes many times its bytes.
    std::size_t fields = 256;
  };
  Parser(Side side, const Limits& limits) : side_(side), limits_(limits) {}

  // Consumes bytes up to the end of the current message and returns how many. Consumes none after
  // an error.
  std::size_t Feed(std::string_view bytes);
  // Signals that the peer closed its sending side. A response without a length is complete then;
  // any other unfinished message is an error.
  void EndOfInput();

  // No byte of a message has been consumed since construction or Reset().
  bool idle() const { return state_ == State::kHead && line_.empty() && head_bytes_ == 0; }
  // The head is complete; false after an error.
  bool head_done() const { return state_ != State::kHead && state_ != State::kError; }
  // The whole message is complete.
  bool done() const { return state_ == State::kDone; }
  // 0, or the status with which to answer a faulty request: 400, 413, 431, 501 or 505.
  int error() const { return error_; }
  // The parsed head. Valid until Reset().
  const Head& head() const { return head_; }
  // Returns the body bytes decoded since the last call, and releases them.
  std::string TakeBody() { return std::exchange(body_, {}); }
  // Discards the current message and prepares for the next one.
  void Reset();

 private:
  enum class State : std::uint8_t {
    kHead,
    kFixedLengthBody,
    kChunkSize,
    kChunkData,
    kChunkEnd,
    kTrailer,
    kBodyUntilClose,
    kDone,
    kError
  };
  void HandleLine();
  void ParseStartLine();
  void ParseFieldLine();
  void HandleEndOfHead();
  void ParseChunkSize();
  void Fail(int status);
  // Returns false if the body exceeds its limit.
  bool AppendBody(std::string_view bytes);

  Side side_;
  Limits limits_;
  State state_ = State::kHead;
  int error_ = 0;
  bool start_line_done_ = false;
  std::string line_, body_;
  // Bytes of the head and of the body so far, which limits_ bounds, and bytes left of the body or
  // of the current chunk.
  std::size_t head_bytes_ = 0, body_bytes_ = 0, remaining_bytes_ = 0;
  Head head_;
};

}  // namespace millethollow::http

#endif  // MILLETHOLLOW_NET_HTTP_PARSER_H_
