// Syntax of the simulator's protocol, independent of its messages: a line is a message name and
// fields `name=value`, separated by single spaces.
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

// Names and values of the fields of a line, in order.
using Fields = std::vector<std::pair<std::string_view, std::string_view>>;

// The parts of a line, as views of its text.
struct WireLine {
  std::string_view name;  // the message name
  Fields fields;
};

// Splits `text` into `line`, whose storage is reused. Fails if the message has no name or a field
// has no name or no '='.
Status SplitLine(std::string_view text, WireLine* line);

// The parts between commas; an empty text has none.
std::vector<std::string_view> SplitAtCommas(std::string_view text);

// The Parse functions convert the whole text to one value; nullopt if that is not possible.
std::optional<double> ParseNumber(std::string_view text);  // finite numbers only
std::optional<std::int64_t> ParseInteger(std::string_view text);
std::optional<std::uint64_t> ParseUnsigned(std::string_view text);
std::optional<bool> ParseBool(std::string_view text);  // true, 1, false, 0

// Formats seconds with up to six decimals, without trailing zeros.
std::string FormatSeconds(double seconds);

// A row of a table that maps names on the wire to values.
template <typename T>
struct NamedValue {
  std::string_view name;
  T value;
};

// The value of a name; nullopt if the table lacks the name.
template <typename T, std::size_t N>
std::optional<T> FindByName(const NamedValue<T> (&table)[N], std::string_view name) {
  for (const NamedValue<T>& row : table) {
    if (row.name == name) return row.value;
  }
  return std::nullopt;
}

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_WIRE_LINE_H_
