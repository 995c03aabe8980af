// Syntax of one line of the simulator's protocol: a message name, then fields `name=value`, all
// separated by single spaces. Knows no message and no field by name.
#ifndef MILLETHOLLOW_SIMULATOR_ADAPTER_WIRE_LINE_H_
#define MILLETHOLLOW_SIMULATOR_ADAPTER_WIRE_LINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "millethollow/error.h"

namespace millethollow::simulator_adapter {

// Names and values of a line's fields, in the line's order.
using Fields = std::vector<std::pair<std::string_view, std::string_view>>;

// A line split into its parts, which are views of the text that was split.
struct WireLine {
  std::string_view name;  // of the message
  Fields fields;
};

// Splits `text` into `line`, whose storage is reused. Fails where a field has no '=' or no name, or
// where the message has no name.
Status SplitLine(std::string_view text, WireLine* line);

// The parts between commas; none for an empty text.
std::vector<std::string_view> SplitAtCommas(std::string_view text);

// Each of these reads the whole text as one value and returns none if that is not possible.
std::optional<double> ParseNumber(std::string_view text);  // finite numbers only
std::optional<std::int64_t> ParseInteger(std::string_view text);
std::optional<std::uint64_t> ParseUnsigned(std::string_view text);
std::optional<bool> ParseBool(std::string_view text);  // true, 1, false, 0

// Seconds with up to six decimals, without trailing zeros.
std::string FormatSeconds(double seconds);

// A row of a table from names on the wire to values of the code.
template <typename T>
struct NamedValue {
  std::string_view name;
  T value;
};

// The value of a name; none if the table lacks it.
template <typename T, std::size_t N>
std::optional<T> FindByName(const NamedValue<T> (&table)[N], std::string_view name) {
  for (const NamedValue<T>& row : table) {
    if (row.name == name) return row.value;
  }
  return std::nullopt;
}

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_WIRE_LINE_H_
