// Encoding of messages between members of a cluster and of their stored records: a sequence of
// fields, each a number (one byte), a length (a base-128 varint) and a value. Values are
// little-endian. Callers skip fields with unknown numbers, so that different builds can read each
// other's data. A field that is shorter than its type is an error; of a longer one the first
// bytes are read.
#ifndef MILLETHOLLOW_ENCODING_FIELDS_H_
#define MILLETHOLLOW_ENCODING_FIELDS_H_

#include <bit>
#include <cstdint>
#include <string>
#include <string_view>

namespace millethollow::encoding {

// Encodes fields.
class Writer {
 public:
  // Appends a value without a field header, for values inside a nested field.
  template <typename T>
  void Raw(T value) {
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      bytes_ += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i) & 0xff);
    }
  }
  void Raw(double value) { Raw(std::bit_cast<std::uint64_t>(value)); }
  // Appends bytes as they are.
  void Bytes(std::string_view bytes) { bytes_ += bytes; }
  // Writes a field. Zeros and empty texts are left out, since they are the defaults of a reader.
  template <typename T>
  void Number(std::uint8_t field, T value) {
    if (value == T{}) return;
    FieldHeader(field, sizeof(T));
    Raw(value);
  }
  void Text(std::uint8_t field, std::string_view text) {
    if (!text.empty()) Nested(field, text);
  }
  // Writes a field that may be empty, such as a nested message.
  void Nested(std::uint8_t field, std::string_view bytes) {
    FieldHeader(field, bytes.size());
    bytes_ += bytes;
  }
  const std::string& bytes() const { return bytes_; }
  std::string Take() { return std::move(bytes_); }

 private:
  void FieldHeader(std::uint8_t field, std::size_t length) {
    Raw(field);
    while (length >= 0x80) {
      Raw(static_cast<std::uint8_t>(length | 0x80));
      length >>= 7;
    }
    Raw(static_cast<std::uint8_t>(length));
  }
  std::string bytes_;
};

// Decodes fields.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}
  // Moves to the next field. Returns false at the end or if the bytes are malformed.
  bool Next() {
    if (rest_.empty() || !ok_) return false;
    if (!ReadByte(&field_)) return false;
    std::uint64_t length = 0;
    for (int shift = 0;; shift += 7) {
      std::uint8_t byte = 0;
      if (shift > 28 || !ReadByte(&byte)) return ok_ = false;
      length |= std::uint64_t{byte & 0x7fU} << shift;
      if (byte < 0x80) break;
    }
    if (length > rest_.size()) return ok_ = false;
    value_ = rest_.substr(0, length);
    rest_.remove_prefix(length);
    return true;
  }
  // Number of the current field.
  std::uint8_t field() const { return field_; }
  // The bytes of the current field that are still unread.
  std::string_view value() const { return value_; }
  // Reads a value from the front of the current field. A field that is too short gives 0 and an
  // error.
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
  // False after malformed input or a call of Fail().
  bool ok() const { return ok_; }
  // Marks the input as malformed, for errors that the caller finds.
  void Fail() { ok_ = false; }

 private:
  bool ReadByte(std::uint8_t* byte) {
    if (rest_.empty()) return ok_ = false;
    *byte = static_cast<std::uint8_t>(rest_.front());
    rest_.remove_prefix(1);
    return true;
  }
  std::string_view rest_, value_;  // unread: after the current field, and in it
  std::uint8_t field_ = 0;
  bool ok_ = true;
};

}  // namespace millethollow::encoding

#endif  // MILLETHOLLOW_ENCODING_FIELDS_H_
