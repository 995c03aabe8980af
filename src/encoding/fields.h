// Numbered fields with their lengths, little-endian: the form of what crosses a link or lies on
// disk between members of a cluster. A reader skips the numbers that it does not know, so that two
// builds can read each other; a field that is shorter than its type is an error, a longer one is
// read in part.
#ifndef MILLETHOLLOW_ENCODING_FIELDS_H_
#define MILLETHOLLOW_ENCODING_FIELDS_H_

#include <bit>
#include <cstdint>
#include <string>
#include <string_view>

namespace millethollow::encoding {

class Writer {
 public:
  template <typename T>
  void Raw(T value) {
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      bytes_ += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i) & 0xff);
    }
  }
  void Raw(double value) { Raw(std::bit_cast<std::uint64_t>(value)); }
  void Bytes(std::string_view bytes) { bytes_ += bytes; }
  // What is 0 or empty is left out: it is what the reader begins with.
  template <typename T>
  void Number(std::uint8_t field, T value) {
    if (value == T{}) return;
    Head(field, sizeof(T));
    Raw(value);
  }
  void Text(std::uint8_t field, std::string_view text) {
    if (!text.empty()) Nested(field, text);
  }
  void Nested(std::uint8_t field, std::string_view bytes) {
    Head(field, bytes.size());
    bytes_ += bytes;
  }
  const std::string& bytes() const { return bytes_; }
  std::string Take() { return std::move(bytes_); }

 private:
  void Head(std::uint8_t field, std::size_t length) {
    Raw(field);
    while (length >= 0x80) {
      Raw(static_cast<std::uint8_t>(length | 0x80));
      length >>= 7;
    }
    Raw(static_cast<std::uint8_t>(length));
  }
  std::string bytes_;
};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}
  // Goes on to the next field; false at the end, or where the bytes are no fields.
  bool Next() {
    if (rest_.empty() || !ok_) return false;
    if (!Byte(&field_)) return false;
    std::uint64_t length = 0;
    for (int shift = 0;; shift += 7) {
      std::uint8_t byte = 0;
      if (shift > 28 || !Byte(&byte)) return ok_ = false;
      length |= std::uint64_t{byte & 0x7fU} << shift;
      if (byte < 0x80) break;
    }
    if (length > rest_.size()) return ok_ = false;
    value_ = rest_.substr(0, length);
    rest_.remove_prefix(length);
    return true;
  }
  std::uint8_t field() const { return field_; }
  std::string_view value() const { return value_; }
  // Takes a plain value off the front of the present field.
  template <typename T>
  T Raw() {
    std::uint64_t word = 0;
    if (value_.size() < sizeof(T)) {
      ok_ = false;
      return T{};
    }
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      word |= std::uint64_t{static_cast<std::uint8_t>(value_[i])} << (8 * i);
    }
    value_.remove_prefix(sizeof(T));
    if constexpr (std::is_same_v<T, double>) {
      return std::bit_cast<double>(word);
    } else {
      return static_cast<T>(word);
    }
  }
  bool ok() const { return ok_; }
  void Fail() { ok_ = false; }

 private:
  bool Byte(std::uint8_t* byte) {
    if (rest_.empty()) return ok_ = false;
    *byte = static_cast<std::uint8_t>(rest_.front());
    rest_.remove_prefix(1);
    return true;
  }
  std::string_view rest_, value_;
  std::uint8_t field_ = 0;
  bool ok_ = true;
};

}  // namespace millethollow::encoding

#endif  // MILLETHOLLOW_ENCODING_FIELDS_H_
