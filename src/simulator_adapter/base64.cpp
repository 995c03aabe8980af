#include "simulator_adapter/base64.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace millethollow::simulator_adapter {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::string_view kEmptyText = "-";  // the simulator's form of the empty string
constexpr std::size_t kCharsPerGroup = 4, kBytesPerGroup = 3;
constexpr int kNotInAlphabet = -1;

// The value of each character; kNotInAlphabet for other characters.
constexpr std::array<int, 256> MakeCharacterValues() {
  std::array<int, 256> values{};
  values.fill(kNotInAlphabet);
  for (std::size_t i = 0; i < kAlphabet.size(); ++i) {
    values[static_cast<unsigned char>(kAlphabet[i])] = static_cast<int>(i);
  }
  return values;
}
constexpr std::array<int, 256> kCharacterValues = MakeCharacterValues();

std::size_t CountPadding(std::string_view text) {
  if (text.back() != '=') return 0;
  return text[text.size() - 2] == '=' ? 2 : 1;
}

}  // namespace

std::optional<std::string> DecodeBase64(std::string_view text) {
  std::string bytes;
  if (text == kEmptyText || text.empty()) return bytes;
  if (text.size() % kCharsPerGroup != 0) return std::nullopt;
  const std::size_t padding = CountPadding(text);
  bytes.reserve(text.size() / kCharsPerGroup * kBytesPerGroup);
  std::uint32_t bits = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_padding = i + padding >= text.size();
    const int value = is_padding ? 0 : kCharacterValues[static_cast<unsigned char>(text[i])];
    if (value == kNotInAlphabet) return std::nullopt;
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    if (i % kCharsPerGroup != kCharsPerGroup - 1) continue;
    for (int shift = 16; shift >= 0; shift -= 8) {
      bytes.push_back(static_cast<char>(bits >> shift & 0xff));
    }
    bits = 0;
  }
  bytes.resize(bytes.size() - padding);
  return bytes;
}

std::string EncodeBase64(std::string_view bytes) {
  if (bytes.empty()) return std::string(kEmptyText);
  std::string text;
  text.reserve((bytes.size() + 2) / kBytesPerGroup * kCharsPerGroup);
  for (std::size_t i = 0; i < bytes.size(); i += kBytesPerGroup) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < kBytesPerGroup; ++k) {
      bits = bits << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
    }
    for (std::size_t k = 0; k < kCharsPerGroup; ++k) {
      text.push_back(i + k <= bytes.size() ? kAlphabet[bits >> (18 - 6 * k) & 63] : '=');
    }
  }
  return text;
}

}  // namespace millethollow::simulator_adapter
