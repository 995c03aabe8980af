// The JSON of configuration files.
#ifndef MILLETHOLLOW_CONFIG_JSON_OBJECT_H_
#define MILLETHOLLOW_CONFIG_JSON_OBJECT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace millethollow {

// Parses a text, with comments, that consists of one JSON object. Nullopt with a one-line `error`
// if it does not, or if values are nested deeper than any configuration's: functions that call
// themselves for nested values read the result.
std::optional<nlohmann::json> ParseJsonObject(std::string_view text, std::string* error);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_JSON_OBJECT_H_
