#include "config/scheduling.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/keys.h"

namespace millethollow {
namespace {

using Json = nlohmann::json;

}  // namespace

bool ReadScheduling(std::string_view text, const std::vector<std::string>& classes,
                    scheduling::Options* options, std::string* error) {
  const Json root = Json::parse(text, nullptr, false, true);
  if (!root.is_object()) return *error = "configuration: not a JSON object", false;
  const auto section = root.find("scheduling");
  if (section == root.end() || section->is_null()) return true;
  scheduling::Options o = *options;
  const auto number = [error](double* out, double min, double max) {
    return NumberKey(out, min, max, error);
  };
  const auto names = [&](const Json& value, const std::string& path) {
    const auto text_only = [](const Json& item) { return item.is_string(); };
    if (!value.is_array() || !std::all_of(value.begin(), value.end(), text_only)) {
      return *error = "configuration: '" + path + "' is not a list of names", false;
    }
    o.reserving_classes = value.get<std::vector<std::string>>();
    for (const std::string& name : o.reserving_classes) {
      if (classes.empty() || std::find(classes.begin(), classes.end(), name) != classes.end()) {
        continue;
      }
      return *error = "configuration: '" + path + "' names no class: " + name, false;
    }
    return true;
  };
  const auto group = [error](const KeyReaders& readers) {
    return [=](const Json& value, const std::string& path) {
      return ReadKeys(value, path, readers, error);
    };
  };
  o.on = true;  // who writes the section wants it
  auto jobs = static_cast<double>(o.max_queued_jobs);
  const KeyReaders readers{
      {"enabled", FlagKey(&o.on, error)},
      {"waiting", group({{"jobs", number(&jobs, 1, 1e6)},
                         {"bytes", number(&o.max_queued_bytes, 0, 1e12)},
                         {"tenant_share", number(&o.max_tenant_share, 0.001, 1)}})},
      {"hold", group({{"classes", names},
                      {"of_worker", number(&o.max_reserved_worker_share, 0, 1)},
                      {"of_fleet", number(&o.max_reserved_fleet_share, 0, 1)},
                      {"seconds", number(&o.reservation_timeout_s, 0.01, 3600)}})},
      {"zone_patience_s", number(&o.local_zone_wait_s, 0, 60)},
      {"memory_per_slot", number(&o.memory_per_slot, 0, 1e9)},
  };
  if (!ReadKeys(*section, "scheduling", readers, error)) return false;
  o.max_queued_jobs = static_cast<std::size_t>(jobs);
  *options = std::move(o);
  return true;
}

bool LoadScheduling(const std::string& path, const std::vector<std::string>& classes,
                    scheduling::Options* options, std::string* error) {
  std::ifstream in(path);
  std::stringstream text;
  if (!in || !(text << in.rdbuf())) return *error = "configuration: cannot read " + path, false;
  const Json root = Json::parse(text.str(), nullptr, false, true);
  if (!root.is_object()) return *error = "configuration: not a JSON object: " + path, false;
  for (const auto& [key, value] : root.items()) {
    if (key != "scheduling") return *error = "configuration: unknown key '" + key + "'", false;
  }
  return ReadScheduling(text.str(), classes, options, error);
}

}  // namespace millethollow
