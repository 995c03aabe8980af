#include "config/scheduling.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/json_object.h"
#include "config/keys.h"

namespace millethollow {
namespace {

using Json = nlohmann::json;

}  // namespace

bool ReadScheduling(std::string_view text, const std::vector<std::string>& classes,
                    scheduling::Options* options, std::string* error) {
  const std::optional<Json> parsed_text = ParseJsonObject(text, error);
  if (!parsed_text) return false;
  const Json& root = *parsed_text;
  const auto section = root.find("scheduling");
  if (section == root.end() || section->is_null()) return true;
  scheduling::Options parsed = *options;
  const auto number_reader = [error](double* out, double min, double max) {
    return NumberReader(out, min, max, error);
  };
  const auto read_class_names = [&](const Json& value, const std::string& path) {
    const auto is_text = [](const Json& item) { return item.is_string(); };
    if (!value.is_array() || !std::all_of(value.begin(), value.end(), is_text)) {
      return *error = "configuration: '" + path + "' is not a list of names", false;
    }
    parsed.reserving_classes = value.get<std::vector<std::string>>();
    for (const std::string& name : parsed.reserving_classes) {
      if (classes.empty() || std::find(classes.begin(), classes.end(), name) != classes.end()) {
        continue;
      }
      return *error = "configuration: '" + path + "' names no class: " + name, false;
    }
    return true;
  };
  const auto object_reader = [error](const KeyReaders& readers) {
    return [=](const Json& value, const std::string& path) {
      return ReadKeys(value, path, readers, error);
    };
  };
  parsed.on = true;  // unless the section sets `enabled` to false
  auto max_queued_jobs = static_cast<double>(parsed.max_queued_jobs);
  const KeyReaders readers{
      {"enabled", FlagReader(&parsed.on, error)},
      {"waiting",
       object_reader({{"jobs", number_reader(&max_queued_jobs, 1, 1e6)},
                      {"bytes", number_reader(&parsed.max_queued_bytes, 0, 1e12)},
                      {"tenant_share", number_reader(&parsed.max_tenant_share, 0.001, 1)}})},
      {"hold",
       object_reader({{"classes", read_class_names},
                      {"of_worker", number_reader(&parsed.max_reserved_worker_share, 0, 1)},
                      {"of_fleet", number_reader(&parsed.max_reserved_fleet_share, 0, 1)},
                      {"seconds", number_reader(&parsed.reservation_timeout_s, 0.01, 3600)}})},
      {"zone_patience_s", number_reader(&parsed.local_zone_wait_s, 0, 60)},
      {"memory_per_slot", number_reader(&parsed.memory_per_slot, 0, 1e9)},
  };
  if (!ReadKeys(*section, "scheduling", readers, error)) return false;
  parsed.max_queued_jobs = static_cast<std::size_t>(max_queued_jobs);
  *options = std::move(parsed);
  return true;
}

bool LoadScheduling(const std::string& path, const std::vector<std::string>& classes,
                    scheduling::Options* options, std::string* error) {
  std::ifstream input(path);
  std::stringstream text;
  if (!input || !(text << input.rdbuf()))
    return *error = "configuration: cannot read " + path, false;
  const std::optional<Json> root = ParseJsonObject(text.str(), error);
  if (!root) return *error += ": " + path, false;
  for (const auto& [key, value] : root->items()) {
    if (key != "scheduling") return *error = "configuration: unknown key '" + key + "'", false;
  }
  return ReadScheduling(text.str(), classes, options, error);
}

}  // namespace millethollow
