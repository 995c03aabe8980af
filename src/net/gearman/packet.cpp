#include "net/gearman/packet.h"

#include <algorithm>
#include <utility>

namespace millethollow::gearman {
namespace {

using namespace std::string_view_literals;
constexpr std::string_view kRequest = "\0REQ"sv, kResponse = "\0RES"sv;
constexpr std::size_t kHead = 12, kMaxLineBytes = 1024;

std::uint32_t ReadNumber(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(bytes[i]);
  return value;
}

void PutNumber(std::string* out, std::size_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>(value >> shift & 0xff));
  }
}

}  // namespace

std::size_t Parser::Feed(std::string_view bytes) {
  std::size_t used = 0;
  const auto take = [&](std::size_t max_bytes) {
    const std::size_t n = std::min(max_bytes, bytes.size() - used);
    held_.append(bytes.substr(used, n));
    used += n;
  };
  while (error_ == nullptr && !ready_ && used < bytes.size()) {
    if (held_.empty() && bytes[used] != '\0') {
      take(1);  // an admin line: it starts with no packet's first byte
    } else if (held_.empty() || held_.front() == '\0') {
      if (held_.size() < kHead) {
        take(kHead - held_.size());
        const std::string_view magic = std::string_view(held_).substr(0, 4);
        // Told at the first wrong byte: a peer that speaks something else never sends twelve.
        if (!kRequest.starts_with(magic) && !kResponse.starts_with(magic)) error_ = "bad_magic";
        if (error_ != nullptr || held_.size() < kHead) continue;
        need_ = ReadNumber(std::string_view(held_).substr(8));
        if (need_ > max_data_bytes_) {
          error_ = "packet_too_large";
          continue;
        }
      } else {
        take(kHead + need_ - held_.size());
      }
      if (held_.size() < kHead + need_) continue;
      const bool request = held_.starts_with(kRequest);
      ready_ = Message{request ? Message::Form::kRequest : Message::Form::kResponse,
                       static_cast<Type>(ReadNumber(std::string_view(held_).substr(4))),
                       held_.substr(kHead)};
      held_.clear();
      continue;
    } else {
      const std::size_t end = bytes.find('\n', used);
      take(end == std::string_view::npos ? bytes.size() : end - used + 1);
    }
    if (!held_.empty() && held_.front() != '\0') {
      if (held_.back() == '\n') {
        held_.pop_back();
        if (!held_.empty() && held_.back() == '\r') held_.pop_back();
        ready_ = Message{Message::Form::kLine, Type::kNoop, std::exchange(held_, {})};
      } else if (held_.size() > kMaxLineBytes) {
        error_ = "line_too_long";
      }
    }
  }
  return used;
}

std::optional<Message> Parser::Take() { return std::exchange(ready_, std::nullopt); }

std::optional<std::vector<std::string_view>> Arguments(std::string_view data, std::size_t count,
                                                       bool closed) {
  std::vector<std::string_view> parts;
  while (parts.size() + 1 < count) {
    const std::size_t end = data.find('\0');
    if (end == std::string_view::npos) return std::nullopt;
    parts.push_back(data.substr(0, end));
    data.remove_prefix(end + 1);
  }
  if (closed && data.find('\0') != std::string_view::npos) return std::nullopt;
  parts.push_back(data);
  return parts;
}

std::string Packet(Message::Form form, Type type,
                   std::initializer_list<std::string_view> arguments) {
  std::size_t size = arguments.size() > 0 ? arguments.size() - 1 : 0;
  for (const std::string_view a : arguments) size += a.size();
  std::string out(form == Message::Form::kRequest ? kRequest : kResponse);
  out.reserve(kHead + size);
  PutNumber(&out, static_cast<std::uint32_t>(type));
  PutNumber(&out, size);
  bool first = true;
  for (const std::string_view a : arguments) {
    if (!first) out.push_back('\0');
    first = false;
    out.append(a);
  }
  return out;
}

}  // namespace millethollow::gearman
