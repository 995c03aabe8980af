// Imports HAProxy configuration: all proxy sections, into an operator's file of ours.
#ifndef MILLETHOLLOW_CONFIG_HAPROXY_H_
#define MILLETHOLLOW_CONFIG_HAPROXY_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace millethollow {

struct Import {
  std::string config;              // the operator's file, as JSON
  std::vector<std::string> notes;  // "line N: ...": what the file asks for and we can't honour
};

// False, with "line N: ..." in `error`, where the text can't be read at all.
bool ImportHaproxy(std::string_view text, Import* import, std::string* error);

// Words of one line: quotes, escapes and comments as HAProxy reads them. Empty optional: an open
// quote.
std::optional<std::vector<std::string>> HaproxyWords(std::string_view line);
// Seconds from HAProxy's times: a number with us, ms, s, m, h or d; plain numbers are ms.
std::optional<double> HaproxySeconds(std::string_view text);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_HAPROXY_H_
