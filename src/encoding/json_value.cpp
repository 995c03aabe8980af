#include "encoding/json_value.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace millethollow::encoding {
namespace {

constexpr std::string_view kSpace = " \t\r\n";

// Length of the string at the beginning of `text`, with its quotes.
std::size_t StringLength(std::string_view text) {
  std::size_t end = 1;
  while (text[end] != '"') end += text[end] == '\\' ? 2 : 1;
  return end + 1;
}

// Length of the object or array at the beginning of `text`.
std::size_t StructureLength(std::string_view text) {
  std::size_t depth = 0;
  for (std::size_t at = 0;;) {
    const char c = text[at];
    if (c == '"') {
      at += StringLength(text.substr(at));
      continue;
    }
    ++at;
    if (c == '{' || c == '[') ++depth;
    if ((c == '}' || c == ']') && --depth == 0) return at;
  }
}

// Length of the value at the beginning of `text`.
std::size_t ValueLength(std::string_view text) {
  if (text.front() == '"') return StringLength(text);
  if (text.front() == '{' || text.front() == '[') return StructureLength(text);
  return std::min(text.find_first_of(",]} \t\r\n"), text.size());
}

}  // namespace

std::optional<JsonValue> JsonValue::Parse(std::string_view text) {
  if (!nlohmann::json::accept(text)) return std::nullopt;
  constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
  if (text.starts_with(kByteOrderMark)) text.remove_prefix(kByteOrderMark.size());
  text.remove_prefix(text.find_first_not_of(kSpace));
  return JsonValue(text.substr(0, ValueLength(text)));
}

bool JsonValue::is_integer() const {
  return is_number() && text_.find_first_of(".eE") == std::string_view::npos;
}

std::optional<std::string> JsonValue::String() const {
  if (!is_string()) return std::nullopt;
  const std::string_view content = text_.substr(1, text_.size() - 2);
  if (content.find('\\') == std::string_view::npos) return std::string(content);
  return nlohmann::json::parse(text_).get<std::string>();
}

std::optional<double> JsonValue::Number() const {
  if (!is_number()) return std::nullopt;
  double number = 0;
  std::from_chars(text_.data(), text_.data() + text_.size(), number);
  return number;
}

std::optional<bool> JsonValue::Boolean() const {
  if (text_ == "true") return true;
  if (text_ == "false") return false;
  return std::nullopt;
}

std::optional<JsonValue> JsonValue::Find(std::string_view name) const {
  std::optional<JsonValue> found;
  ForEachMember([&](const std::string& member_name, const JsonValue& value) {
    if (member_name == name) found = value;
  });
  return found;
}

// ---- Scanner ----

void JsonValue::Scanner::SkipSpace() { rest_.remove_prefix(rest_.find_first_not_of(kSpace)); }

bool JsonValue::Scanner::NextItem() {
  SkipSpace();
  if (rest_.front() == ',') {
    rest_.remove_prefix(1);
    SkipSpace();
  }
  return rest_.front() != '}' && rest_.front() != ']';
}

JsonValue JsonValue::Scanner::TakeValue() {
  const std::string_view value = rest_.substr(0, ValueLength(rest_));
  rest_.remove_prefix(value.size());
  return JsonValue(value);
}

void JsonValue::Scanner::SkipColon() {
  SkipSpace();
  rest_.remove_prefix(1);
  SkipSpace();
}

}  // namespace millethollow::encoding
