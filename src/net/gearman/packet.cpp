#include "net/gearman/packet.h"

#include <algorithm>
#include <utility>

namespace millethollow::gearman {
namespace {

using namespace std::string_view_literals;
constexpr std::string_view kRequestMagic = "\0REQ"sv, kResponseMagic = "\0RES"sv;
constexpr std::size_t kHeaderBytes = 12, kMaxLineBytes = 1024;

// Decodes a big-endian 32-bit number.
std::uint32_t DecodeNumber(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(bytes[i]);
  return value;
}

// Appends a big-endian 32-bit number.
void AppendNumber(std::string* out, std::size_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>(value >> shift & 0xff));
  }
}

}  // namespace

std::size_t Parser::Feed(std::string_view bytes) {
  std::size_t consumed = 0;
  const auto take = [&](std::size_t max_bytes) {
    const std::size_t count = std::min(max_bytes, bytes.size() - consumed);
    buffer_.append(bytes.substr(consumed, count));
    consumed += count;
  };
  while (error_ == nullptr && !complete_ && consumed < bytes.size()) {
    if (buffer_.empty() && bytes[consumed] != '\0') {
      take(1);  // a text line: packets start with a NUL byte
    } else if (buffer_.empty() || buffer_.front() == '\0') {
      if (buffer_.size() < kHeaderBytes) {
        take(kHeaderBytes - buffer_.size());
        const std::string_view magic = std::string_view(buffer_).substr(0, 4);
        // Checked at every byte: a peer of another protocol may never send a whole header.
        if (!kRequestMagic.starts_with(magic) && !kResponseMagic.starts_with(magic))
          error_ = "bad_magic";
        if (error_ != nullptr || buffer_.size() < kHeaderBytes) continue;
        data_bytes_ = DecodeNumber(std::string_view(buffer_).substr(8));
        if (data_bytes_ > max_data_bytes_) {
          error_ = "packet_too_large";
          continue;
        }
      } else {
        take(kHeaderBytes + data_bytes_ - buffer_.size());
      }
      if (buffer_.size() < kHeaderBytes + data_bytes_) continue;
      const bool request = buffer_.starts_with(kRequestMagic);
      complete_ = Message{request ? Message::Form::kRequest : Message::Form::kResponse,
                          static_cast<Type>(DecodeNumber(std::string_view(buffer_).substr(4))),
                          buffer_.substr(kHeaderBytes)};
      buffer_.clear();
      continue;
    } else {
      const std::size_t end = bytes.find('\n', consumed);
      take(end == std::string_view::npos ? bytes.size() : end - consumed + 1);
    }
    if (!buffer_.empty() && buffer_.front() != '\0') {
      if (buffer_.back() == '\n') {
        buffer_.pop_back();
        if (!buffer_.empty() && buffer_.back() == '\r') buffer_.pop_back();
        complete_ = Message{Message::Form::kLine, Type::kNoop, std::exchange(buffer_, {})};
      } else if (buffer_.size() > kMaxLineBytes) {
        error_ = "line_too_long";
      }
    }
  }
  return consumed;
}

std::optional<Message> Parser::Take() { return std::exchange(complete_, std::nullopt); }

std::optional<std::vector<std::string_view>> SplitArguments(std::string_view data,
                                                            std::size_t count, bool last_is_text) {
  std::vector<std::string_view> parts;
  while (parts.size() + 1 < count) {
    const std::size_t end = data.find('\0');
    if (end == std::string_view::npos) return std::nullopt;
    parts.push_back(data.substr(0, end));
    data.remove_prefix(end + 1);
  }
  if (last_is_text && data.find('\0') != std::string_view::npos) return std::nullopt;
  parts.push_back(data);
  return parts;
}

std::string EncodePacket(Message::Form form, Type type,
                         std::initializer_list<std::string_view> arguments) {
  std::size_t size = arguments.size() > 0 ? arguments.size() - 1 : 0;
  for (const std::string_view argument : arguments) size += argument.size();
  std::string out(form == Message::Form::kRequest ? kRequestMagic : kResponseMagic);
  out.reserve(kHeaderBytes + size);
  AppendNumber(&out, static_cast<std::uint32_t>(type));
  AppendNumber(&out, size);
  bool first = true;
  for (const std::string_view argument : arguments) {
    if (!first) out.push_back('\0');
    first = false;
    out.append(argument);
  }
  return out;
}

}  // namespace millethollow::gearman
