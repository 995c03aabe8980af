// Readers for the keys of a JSON object. A key without a reader is an error. On failure all readers
// return false and set a one-line `error` that names the path of the key.
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

// Reads the value at `path`, a dotted path such as cluster.quota.renew_s.
using KeyReader = std::function<bool(const nlohmann::json&, const std::string& path)>;
// Readers by key.
using KeyReaders = std::map<std::string, KeyReader>;

// Calls the reader of each key of `object`. `object_path`: the dotted path of the object.
inline bool ReadKeys(const nlohmann::json& object, const std::string& object_path,
                     const KeyReaders& readers, std::string* error) {
  if (!object.is_object())
    return *error = "configuration: '" + object_path + "' is not an object", false;
  for (const auto& [key, value] : object.items()) {
    const std::string path = object_path + "." + key;
    const auto reader = readers.find(key);
    if (reader == readers.end()) return *error = "configuration: unknown key '" + path + "'", false;
    if (!reader->second(value, path)) return false;
  }
  return true;
}

// Reads a number from `min` to `max`.
inline KeyReader NumberReader(double* out, double min, double max, std::string* error) {
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

// Reads true or false.
inline KeyReader FlagReader(bool* out, std::string* error) {
  return [=](const nlohmann::json& value, const std::string& path) {
    if (!value.is_boolean()) return *error = "configuration: '" + path + "' is not a flag", false;
    *out = value.get<bool>();
    return true;
  };
}

// Reads a list of 1 to `max` texts.
inline KeyReader TextListReader(std::vector<std::string>* out, std::size_t max,
                                std::string* error) {
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

// Reads a text.
inline KeyReader TextReader(std::string* out, std::string* error) {
  return [=](const nlohmann::json& value, const std::string& path) {
    if (!value.is_string()) return *error = "configuration: '" + path + "' is not a text", false;
    *out = value.get<std::string>();
    return true;
  };
}

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_KEYS_H_
