#include "net/http/parser.h"

#include <algorithm>
#include <charconv>

namespace millethollow::http {
namespace {

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

// Whether `text` is a token in the sense of RFC 9110.
bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (ToLower(c) >= 'a' && ToLower(c) <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// Parses the whole of `text` as an unsigned number without a sign.
bool ParseNumber(std::string_view text, int base, std::size_t* value) {
  const char* end = text.data() + text.size();
  // from_chars accepts '-' even for unsigned types. It never accepts '+'.
  if (text.empty() || text.front() == '-') return false;
  const auto [parsed_end, error] = std::from_chars(text.data(), end, *value, base);
  return error == std::errc() && parsed_end == end;
}

// Whether a comma-separated list contains `item`, compared case-insensitively.
bool ListContains(std::string_view list, std::string_view item) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (SameName(Trim(list.substr(0, comma)), item)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

bool SameName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

const std::string* Head::Get(std::string_view name) const {
  for (const auto& [field_name, value] : headers) {
    if (SameName(field_name, name)) return &value;
  }
  return nullptr;
}

std::size_t Head::Count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(headers.begin(), headers.end(),
                    [name](const auto& header) { return SameName(header.first, name); }));
}

void Parser::Reset() {
  state_ = State::kHead;
  error_ = 0;
  start_line_done_ = false;
  line_.clear();
  body_.clear();
  head_bytes_ = body_bytes_ = remaining_bytes_ = 0;
  head_ = {};
}

void Parser::Fail(int status) {
  state_ = State::kError;
  error_ = status;
  line_.clear();
  body_.clear();
}

std::size_t Parser::Feed(std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && state_ != State::kDone && state_ != State::kError) {
    const std::string_view rest = bytes.substr(consumed);
    if (state_ == State::kFixedLengthBody || state_ == State::kChunkData ||
        state_ == State::kBodyUntilClose) {
      const std::size_t count =
          state_ == State::kBodyUntilClose ? rest.size() : std::min(remaining_bytes_, rest.size());
      if (!AppendBody(rest.substr(0, count))) break;
      consumed += count;
      remaining_bytes_ -= state_ == State::kBodyUntilClose ? 0 : count;
      if (remaining_bytes_ == 0 && state_ == State::kFixedLengthBody) state_ = State::kDone;
      if (remaining_bytes_ == 0 && state_ == State::kChunkData) state_ = State::kChunkEnd;
      continue;
    }
    // The head, chunk sizes and trailers are read line by line.
    const std::size_t newline = rest.find('\n');
    const std::size_t count = newline == std::string_view::npos ? rest.size() : newline + 1;
    line_.append(rest.substr(0, count));
    consumed += count;
    head_bytes_ += count;
    if (head_bytes_ > limits_.head) {
      Fail(side_ == Side::kRequest && state_ == State::kHead ? 431 : 400);
      break;
    }
    if (newline != std::string_view::npos) HandleLine();
  }
  return consumed;
}

void Parser::EndOfInput() {
  if (state_ == State::kBodyUntilClose) {
    state_ = State::kDone;
  } else if (state_ != State::kDone && state_ != State::kError) {
    Fail(400);
  }
}

bool Parser::AppendBody(std::string_view bytes) {
  body_bytes_ += bytes.size();
  if (body_bytes_ > limits_.body) {
    Fail(413);
    return false;
  }
  body_.append(bytes);
  return true;
}

void Parser::HandleLine() {
  line_.pop_back();
  // A bare line feed is rejected: implementations differ in how they frame it, which allows request
  // smuggling.
  if (line_.empty() || line_.back() != '\r') return Fail(400);
  line_.pop_back();
  for (const char c : line_) {
    if ((static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f) return Fail(400);
  }
  switch (state_) {
    case State::kHead:
      if (!start_line_done_) {
        if (line_.empty() && side_ == Side::kRequest)
          break;  // RFC 9112, 2.2: empty lines before a request
        ParseStartLine();
      } else if (line_.empty()) {
        HandleEndOfHead();
      } else {
        ParseFieldLine();
      }
      break;
    case State::kChunkSize:
      ParseChunkSize();
      break;
    case State::kChunkEnd:
      if (!line_.empty()) return Fail(400);
      state_ = State::kChunkSize;
      break;
    case State::kTrailer:
      if (line_.empty()) state_ = State::kDone;
      break;
    default:
      break;
  }
  line_.clear();
}

void Parser::ParseStartLine() {
  const std::string_view line = line_;
  const std::size_t first_space = line.find(' ');
  if (first_space == std::string_view::npos) return Fail(400);
  std::string_view version;
  if (side_ == Side::kRequest) {
    const std::size_t last_space = line.rfind(' ');
    head_.method = line.substr(0, first_space);
    if (last_space <= first_space || !IsToken(head_.method)) return Fail(400);
    head_.target = line.substr(first_space + 1, last_space - first_space - 1);
    version = line.substr(last_space + 1);
    if (head_.target.empty() || head_.target.find(' ') != std::string::npos) return Fail(400);
  } else {
    version = line.substr(0, first_space);
    std::size_t status = 0;
    const std::string_view code = line.substr(first_space + 1, 3);
    if (code.size() != 3 || !ParseNumber(code, 10, &status) || status < 100) return Fail(400);
    if (line.size() > first_space + 4 && line[first_space + 4] != ' ') return Fail(400);
    head_.status = static_cast<int>(status);
  }
  if (!version.starts_with("HTTP/")) return Fail(400);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return Fail(505);
  head_.keep_alive = version == "HTTP/1.1";
  start_line_done_ = true;
}

void Parser::ParseFieldLine() {
  if (head_.headers.size() >= limits_.fields) return Fail(side_ == Side::kRequest ? 431 : 400);
  const std::size_t colon = line_.find(':');
  if (colon == std::string::npos) return Fail(400);
  const std::string_view name = std::string_view(line_).substr(0, colon);
  // Whitespace before the colon and folded lines are rejected: both are used for request
  // smuggling.
  if (!IsToken(name)) return Fail(400);
  head_.headers.emplace_back(name, Trim(std::string_view(line_).substr(colon + 1)));
}

void Parser::HandleEndOfHead() {
  for (const auto& [name, value] : head_.headers) {
    if (!SameName(name, "Connection")) continue;
    if (ListContains(value, "close")) head_.keep_alive = false;
    if (ListContains(value, "keep-alive")) head_.keep_alive = true;
  }
  if (const std::string* expect = head_.Get("Expect")) {
    head_.expects_continue = SameName(*expect, "100-continue");
  }
  if (side_ == Side::kResponse && head_.status < 200) {  // interim: the final response follows
    Reset();
    return;
  }
  const std::size_t lengths = head_.Count("Content-Length");
  const std::size_t codings = head_.Count("Transfer-Encoding");
  // Repeated lengths, or a length next to a transfer coding, are used for request smuggling.
  if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)) return Fail(400);
  if (codings == 1) {
    if (!SameName(*head_.Get("Transfer-Encoding"), "chunked")) return Fail(501);
    state_ = State::kChunkSize;
    return;
  }
  if (side_ == Side::kResponse && (head_.status == 204 || head_.status == 304)) {
    state_ = State::kDone;
    return;
  }
  if (lengths == 0) {
    state_ = side_ == Side::kRequest ? State::kDone : State::kBodyUntilClose;
    if (side_ == Side::kResponse) head_.keep_alive = false;
    return;
  }
  if (!ParseNumber(*head_.Get("Content-Length"), 10, &remaining_bytes_)) return Fail(400);
  if (remaining_bytes_ > limits_.body) return Fail(413);
  state_ = remaining_bytes_ == 0 ? State::kDone : State::kFixedLengthBody;
}

void Parser::ParseChunkSize() {
  const std::string_view size = Trim(std::string_view(line_).substr(0, line_.find(';')));
  if (size.size() > 8 || !ParseNumber(size, 16, &remaining_bytes_)) return Fail(400);
  if (body_bytes_ + remaining_bytes_ > limits_.body) return Fail(413);
  head_bytes_ = 0;  // the limit applies to each chunk-size line and to the trailers
  state_ = remaining_bytes_ == 0 ? State::kTrailer : State::kChunkData;
}

}  // namespace millethollow::http
