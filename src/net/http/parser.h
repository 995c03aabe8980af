// Incremental HTTP/1.1 parser for both directions. Pure: bytes in, messages out, no socket.
#ifndef MILLETHOLLOW_NET_HTTP_PARSER_H_
#define MILLETHOLLOW_NET_HTTP_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace millethollow::http {

struct Head {
  std::string method, target;  // requests
  int status = 0;              // responses
  bool keep_alive = true;
  bool expects_continue = false;
  std::vector<std::pair<std::string, std::string>> headers;  // in order, names as they came

  // The first value under `name`, letter case ignored; null if there is none.
  const std::string* Get(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
};

bool SameName(std::string_view a, std::string_view b);  // letter case ignored

class Parser {
 public:
  enum class Side : std::uint8_t { kRequest, kResponse };
  struct Limits {
    std::size_t head = 16 * 1024;
    std::size_t body = 64 * 1024;
  };
  Parser(Side side, Limits limits) : side_(side), limits_(limits) {}

  // Takes in bytes up to the end of the message; returns how many. After an error, none.
  std::size_t Feed(std::string_view bytes);
  // The peer ended its sending. A response without a length ends here; others are cut short.
  void EndOfInput();

  bool idle() const { return state_ == State::kHead && line_.empty() && head_bytes_ == 0; }
  bool head_done() const { return state_ != State::kHead && state_ != State::kBad; }
  bool done() const { return state_ == State::kDone; }
  // 0, or the status that a request deserves for its fault: 400, 413, 431, 501 or 505.
  int error() const { return error_; }
  const Head& head() const { return head_; }
  std::string TakeBody() { return std::exchange(body_, {}); }
  void Reset();  // ready for the next message

 private:
  enum class State : std::uint8_t {
    kHead,
    kLength,
    kChunkSize,
    kChunk,
    kChunkEnd,
    kTrailer,
    kToEnd,
    kDone,
    kBad
  };
  void Line();
  void FirstLine();
  void HeaderLine();
  void EndOfHead();
  void ChunkSize();
  void Fail(int status);
  bool AddBody(std::string_view bytes);

  Side side_;
  Limits limits_;
  State state_ = State::kHead;
  int error_ = 0;
  bool first_line_done_ = false;
  std::string line_, body_;
  std::size_t head_bytes_ = 0, body_bytes_ = 0, left_ = 0;
  Head head_;
};

}  // namespace millethollow::http

#endif  // MILLETHOLLOW_NET_HTTP_PARSER_H_
