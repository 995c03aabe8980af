// Imports an HAProxy configuration: converts its proxy sections into a configuration file of this
// program.
#ifndef MILLETHOLLOW_CONFIG_HAPROXY_H_
#define MILLETHOLLOW_CONFIG_HAPROXY_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace millethollow {

// The result of an import.
struct HaproxyImport {
  std::string config;              // the text of a configuration file
  std::vector<std::string> notes;  // "line N: ...": what the HAProxy file sets without effect here
};

// Returns false and sets `error`, to "line N: ..." where a line is at fault, if the text can't be
// imported at all.
bool ImportHaproxy(std::string_view text, HaproxyImport* import, std::string* error);

// Splits a line into words by HAProxy's rules for quotes, escapes and comments. Returns nullopt for
// an unclosed quote.
std::optional<std::vector<std::string>> HaproxyWords(std::string_view line);
// Parses an HAProxy time, a number with the unit us, ms, s, m, h or d (ms without a unit), as
// seconds.
std::optional<double> HaproxySeconds(std::string_view text);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_HAPROXY_H_
