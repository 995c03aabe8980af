#include "simulator_adapter/wire_line.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace millethollow::simulator_adapter {
namespace {

constexpr int kSecondsDecimals = 6;

// Parses the whole text as a number; nullopt if it is anything else.
template <typename T>
std::optional<T> ParseWhole(std::string_view text) {
  T value{};
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc() || parsed_to != end) return std::nullopt;
  return value;
}

tl::unexpected<Error> MalformedLine() {
  return MakeError(ErrorCode::kInvalidArgument, "malformed line skipped");
}

}  // namespace

Status SplitLine(std::string_view text, WireLine* line) {
  line->fields.clear();
  const std::size_t name_end = std::min(text.find(' '), text.size());
  line->name = text.substr(0, name_end);
  text.remove_prefix(name_end);
  while (!text.empty()) {
    text.remove_prefix(1);
    const std::size_t end = std::min(text.find(' '), text.size());
    const std::string_view field = text.substr(0, end);
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos || equals == 0) return MalformedLine();
    line->fields.emplace_back(field.substr(0, equals), field.substr(equals + 1));
    text.remove_prefix(end);
  }
  if (line->name.empty()) return MalformedLine();
  return {};
}

std::vector<std::string_view> SplitAtCommas(std::string_view text) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    parts.push_back(text.substr(0, comma));
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return parts;
}

std::optional<double> ParseNumber(std::string_view text) {
  const std::optional<double> value = ParseWhole<double>(text);
  return value && std::isfinite(*value) ? value : std::nullopt;
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  return ParseWhole<std::int64_t>(text);
}

std::optional<std::uint64_t> ParseUnsigned(std::string_view text) {
  return ParseWhole<std::uint64_t>(text);
}

std::optional<bool> ParseBool(std::string_view text) {
  if (text == "true" || text == "1") return true;
  if (text == "false" || text == "0") return false;
  return std::nullopt;
}

std::string FormatSeconds(double seconds) {
  std::array<char, 64> buffer{};
  const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), seconds,
                                          std::chars_format::fixed, kSecondsDecimals);
  if (error != std::errc()) return "0";
  std::string_view text(buffer.data(), static_cast<std::size_t>(end - buffer.data()));
  while (text.back() == '0') text.remove_suffix(1);
  if (text.back() == '.') text.remove_suffix(1);
  return std::string(text);
}

}  // namespace millethollow::simulator_adapter
