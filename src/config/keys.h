// Reading the keys of a JSON object, each by its own reader; a key that has none is an error.
#ifndef MILLETHOLLOW_CONFIG_KEYS_H_
#define MILLETHOLLOW_CONFIG_KEYS_H_

#include <algorithm>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace millethollow {

using KeyReader = std::function<bool(const nlohmann::json&, const std::string& path)>;
using KeyReaders = std::map<std::string, KeyReader>;

inline bool ReadKeys(const nlohmann::json& object, const std::string& at, const KeyReaders& readers,
                     std::string* error) {
  if (!object.is_object()) return *error = "configuration: '" + at + "' is not an object", false;
  for (const auto& [key, value] : object.items()) {
    const std::string path = at + "." + key;
    const auto reader = readers.find(key);
    if (reader == readers.end()) return *error = "configuration: unknown key '" + path + "'", false;
    if (!reader->second(value, path)) return false;
  }
  return true;
}

inline KeyReader NumberKey(double* out, double min, double max, std::string* error) {
  return [=](const nlohmann::json& value, const std::string& path) {
    if (!value.is_number() || value.get<double>() < min || value.get<double>() > max) {
      std::ostringstream line;
      line << "configuration: '" << path << "' is not a number from " << min << " to " << max;
      return *error = line.str(), false;
    }
    *out = value.get<double>();
    return true;
  };
}

inline KeyReader FlagKey(bool* out, std::string* error) {
  return [=](const nlohmann::json& value, const std::string& path) {
    if (!value.is_boolean()) return *error = "configuration: '" + path + "' is not a flag", false;
    *out = value.get<bool>();
    return true;
  };
}

// A list of up to `most` texts, at least one.
inline KeyReader NamesKey(std::vector<std::string>* out, std::size_t max, std::string* error) {
  return [=](const nlohmann::json& value, const std::string& path) {
    const auto is_text = [](const nlohmann::json& item) { return item.is_string(); };
    if (!value.is_array() || value.empty() || value.size() > max ||
        !std::all_of(value.begin(), value.end(), is_text)) {
      *error =
          "configuration: '" + path + "' is not a list of 1 to " + std::to_string(max) + " texts";
      return false;
    }
    *out = value.get<std::vector<std::string>>();
    return true;
  };
}

inline KeyReader TextKey(std::string* out, std::string* error) {
  return [=](const nlohmann::json& value, const std::string& path) {
    if (!value.is_string()) return *error = "configuration: '" + path + "' is not a text", false;
    *out = value.get<std::string>();
    return true;
  };
}

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_KEYS_H_
