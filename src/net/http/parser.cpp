#include "net/http/parser.h"

#include <algorithm>
#include <charconv>

namespace millethollow::http {
namespace {

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (Lower(c) >= 'a' && Lower(c) <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool Number(std::string_view text, int base, std::size_t* value) {
  const char* end = text.data() + text.size();
  // from_chars takes no sign for unsigned types but '-': digits only, so that "+5" is refused too.
  if (text.empty() || text.front() == '-') return false;
  const auto [at, error] = std::from_chars(text.data(), end, *value, base);
  return error == std::errc() && at == end;
}

bool ListHas(std::string_view list, std::string_view item) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (SameName(Trim(list.substr(0, comma)), item)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

const std::string* Head::Get(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) return &value;
  }
  return nullptr;
}

std::size_t Head::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      headers.begin(), headers.end(), [name](const auto& h) { return SameName(h.first, name); }));
}

void Parser::Reset() {
  state_ = State::kHead;
  error_ = 0;
  first_line_done_ = false;
  line_.clear();
  body_.clear();
  head_bytes_ = body_bytes_ = left_ = 0;
  head_ = {};
}

void Parser::Fail(int status) {
  state_ = State::kBad;
  error_ = status;
  line_.clear();
  body_.clear();
}

std::size_t Parser::Feed(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && state_ != State::kDone && state_ != State::kBad) {
    const std::string_view rest = bytes.substr(used);
    if (state_ == State::kLength || state_ == State::kChunk || state_ == State::kToEnd) {
      const std::size_t n = state_ == State::kToEnd ? rest.size() : std::min(left_, rest.size());
      if (!AddBody(rest.substr(0, n))) break;
      used += n;
      left_ -= state_ == State::kToEnd ? 0 : n;
      if (left_ == 0 && state_ == State::kLength) state_ = State::kDone;
      if (left_ == 0 && state_ == State::kChunk) state_ = State::kChunkEnd;
      continue;
    }
    // Everything else comes in lines.
    const std::size_t newline = rest.find('\n');
    const std::size_t n = newline == std::string_view::npos ? rest.size() : newline + 1;
    line_.append(rest.substr(0, n));
    used += n;
    head_bytes_ += n;
    if (head_bytes_ > limits_.head) {
      Fail(side_ == Side::kRequest && state_ == State::kHead ? 431 : 400);
      break;
    }
    if (newline != std::string_view::npos) Line();
  }
  return used;
}

void Parser::EndOfInput() {
  if (state_ == State::kToEnd) {
    state_ = State::kDone;
  } else if (state_ != State::kDone && state_ != State::kBad) {
    Fail(400);
  }
}

bool Parser::AddBody(std::string_view bytes) {
  body_bytes_ += bytes.size();
  if (body_bytes_ > limits_.body) {
    Fail(413);
    return false;
  }
  body_.append(bytes);
  return true;
}

void Parser::Line() {
  line_.pop_back();
  // A bare line feed is where two readers of one stream come to disagree: refused.
  if (line_.empty() || line_.back() != '\r') return Fail(400);
  line_.pop_back();
  for (const char c : line_) {
    if ((static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f) return Fail(400);
  }
  switch (state_) {
    case State::kHead:
      if (!first_line_done_) {
        if (line_.empty() && side_ == Side::kRequest) break;  // stray empty lines between requests
        FirstLine();
      } else if (line_.empty()) {
        EndOfHead();
      } else {
        HeaderLine();
      }
      break;
    case State::kChunkSize:
      ChunkSize();
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

void Parser::FirstLine() {
  const std::string_view line = line_;
  const std::size_t one = line.find(' ');
  if (one == std::string_view::npos) return Fail(400);
  std::string_view version;
  if (side_ == Side::kRequest) {
    const std::size_t two = line.rfind(' ');
    head_.method = line.substr(0, one);
    if (two <= one || !IsToken(head_.method)) return Fail(400);
    head_.target = line.substr(one + 1, two - one - 1);
    version = line.substr(two + 1);
    if (head_.target.empty() || head_.target.find(' ') != std::string::npos) return Fail(400);
  } else {
    version = line.substr(0, one);
    std::size_t status = 0;
    const std::string_view code = line.substr(one + 1, 3);
    if (code.size() != 3 || !Number(code, 10, &status) || status < 100) return Fail(400);
    if (line.size() > one + 4 && line[one + 4] != ' ') return Fail(400);
    head_.status = static_cast<int>(status);
  }
  if (!version.starts_with("HTTP/")) return Fail(400);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return Fail(505);
  head_.keep_alive = version == "HTTP/1.1";
  first_line_done_ = true;
}

void Parser::HeaderLine() {
  const std::size_t colon = line_.find(':');
  if (colon == std::string::npos) return Fail(400);
  const std::string_view name = std::string_view(line_).substr(0, colon);
  // No space may stand before the colon, nor a folded line: both have been used to smuggle.
  if (!IsToken(name)) return Fail(400);
  head_.headers.emplace_back(name, Trim(std::string_view(line_).substr(colon + 1)));
}

void Parser::EndOfHead() {
  for (const auto& [name, value] : head_.headers) {
    if (!SameName(name, "Connection")) continue;
    if (ListHas(value, "close")) head_.keep_alive = false;
    if (ListHas(value, "keep-alive")) head_.keep_alive = true;
  }
  if (const std::string* expect = head_.Get("Expect")) {
    head_.expects_continue = SameName(*expect, "100-continue");
  }
  if (side_ == Side::kResponse && head_.status < 200) {  // interim: the real answer follows
    Reset();
    return;
  }
  const std::size_t lengths = head_.Count("Content-Length");
  const std::size_t codings = head_.Count("Transfer-Encoding");
  // A length given twice, or beside a transfer coding, is how requests are smuggled.
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
    state_ = side_ == Side::kRequest ? State::kDone : State::kToEnd;
    if (side_ == Side::kResponse) head_.keep_alive = false;
    return;
  }
  if (!Number(*head_.Get("Content-Length"), 10, &left_)) return Fail(400);
  if (left_ > limits_.body) return Fail(413);
  state_ = left_ == 0 ? State::kDone : State::kLength;
}

void Parser::ChunkSize() {
  const std::string_view size = Trim(std::string_view(line_).substr(0, line_.find(';')));
  if (size.size() > 8 || !Number(size, 16, &left_)) return Fail(400);
  if (body_bytes_ + left_ > limits_.body) return Fail(413);
  head_bytes_ = 0;  // the limit holds for each chunk's line and for the trailers
  state_ = left_ == 0 ? State::kTrailer : State::kChunk;
}

}  // namespace millethollow::http
