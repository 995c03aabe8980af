#include "config/reload.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "config/json_object.h"
namespace millethollow {
namespace {

using Json = nlohmann::json;
using balancing::ClassSettings;

// Whether a top-level key may be missing from the new file. Only operators' files have these keys.
bool IsOptionalKey(const std::string& key) {
  return key == "log_level" || key == "gearman" || key == "scheduling";
}

// The keys that all of `items` have in common.
std::set<std::string> CommonKeys(const std::vector<const Json*>& items) {
  std::set<std::string> keys;
  for (std::size_t i = 0; i < items.size(); ++i) {
    std::set<std::string> item_keys;
    for (const auto& [key, value] : items[i]->items()) {
      if (i == 0 || keys.contains(key)) item_keys.insert(key);
    }
    keys = std::move(item_keys);
  }
  return keys;
}

// Groups items that must have the same keys: classes by their idempotency. All tenants are one
// group.
std::string GroupOf(const Json& item) {
  const auto it = item.find("semantics");
  return it != item.end() && it->is_string() ? it->get<std::string>() : std::string();
}

bool CheckItems(const Json& current_items, const Json& new_items, const std::string& list_path,
                std::string* error) {
  std::map<std::string, std::vector<const Json*>> groups;
  std::vector<const Json*> all;
  for (const Json& item : current_items) {
    if (!item.is_object()) return true;
    groups[GroupOf(item)].push_back(&item);
    all.push_back(&item);
  }
  if (all.empty()) return true;
  if (new_items.empty()) return *error = "configuration: " + list_path + " is empty", false;
  for (const Json& item : new_items) {
    if (!item.is_object())
      return *error = "configuration: " + list_path + " has the wrong type", false;
    const auto group = groups.find(GroupOf(item));
    for (const std::string& key : CommonKeys(group == groups.end() ? all : group->second)) {
      const auto it = item.find(key);
      if (it != item.end() && !it->is_null()) continue;
      return *error = "configuration: " + list_path + " lacks the key '" + key + "'", false;
    }
  }
  return true;
}

bool CheckKeys(const Json& current, const Json& new_object, const std::string& object_path,
               std::string* error) {
  for (const auto& [key, value] : current.items()) {
    if (value.is_null() || (object_path.empty() && IsOptionalKey(key))) continue;
    const std::string path = object_path.empty() ? key : object_path + "." + key;
    const auto it = new_object.find(key);
    if (it == new_object.end() || it->is_null()) {
      return *error = "configuration: '" + path + "' is missing", false;
    }
    const bool numbers = value.is_number() && it->is_number();
    if (!numbers && it->type() != value.type()) {
      return *error = "configuration: '" + path + "' has the wrong type", false;
    }
    if (value.is_object() && !CheckKeys(value, *it, path, error)) return false;
    if (value.is_array() && object_path != "known" && !CheckItems(value, *it, path, error))
      return false;
  }
  return true;
}

// Whether the settings of two classes are equal.
bool SameSettings(const ClassSettings& a, const ClassSettings& b) {
  return a.latency_objective_s == b.latency_objective_s &&
         a.latency_objective_stretch == b.latency_objective_stretch &&
         a.client_timeout_s == b.client_timeout_s && a.priority_weight == b.priority_weight &&
         a.late_weight == b.late_weight && a.idempotency == b.idempotency &&
         a.deduplication_scope == b.deduplication_scope &&
         a.deduplication_window_s == b.deduplication_window_s && a.kind == b.kind &&
         a.priority == b.priority && a.streamed == b.streamed;
}

}  // namespace

bool CheckNoKeyMissing(std::string_view current_text, std::string_view new_text,
                       std::string* error) {
  std::string ignored_error;
  const std::optional<Json> before = ParseJsonObject(current_text, &ignored_error);
  const std::optional<Json> after = ParseJsonObject(new_text, error);
  if (!after) return false;
  return !before || CheckKeys(*before, *after, "", error);
}

ClassChanges MergeClasses(const Config& new_config, const std::function<bool(int)>& in_use,
                          Config* config) {
  ClassChanges changes;
  std::vector<bool> active(config->classes.size(), false);
  std::vector<int> index_by_new_index;  // in `config`, by the index in the new file
  std::vector<std::size_t> without_index;
  for (std::size_t new_index = 0; new_index < new_config.classes.size(); ++new_index) {
    int index = -1;
    for (std::size_t i = 0; i < config->classes.size(); ++i) {
      if (config->classes[i] != new_config.classes[new_index] || active[i]) continue;
      if (SameSettings(config->settings.classes[i], new_config.settings.classes[new_index]))
        index = static_cast<int>(i);
    }
    index_by_new_index.push_back(index);
    if (index >= 0) active[static_cast<std::size_t>(index)] = true;
    if (index < 0) without_index.push_back(new_index);
  }
  for (const std::size_t new_index : without_index) {
    std::size_t i = 0;
    // An index that was active until now is not reused at once: requests for its class may still be
    // on their way to the planner.
    while (i < active.size() &&
           (active[i] || config->class_active[i] || in_use(static_cast<int>(i))))
      ++i;
    if (i == active.size()) {
      active.push_back(false);
      config->class_active.push_back(false);
      config->classes.emplace_back();
      config->settings.classes.emplace_back();
    }
    config->classes[i] = new_config.classes[new_index];
    config->settings.classes[i] = new_config.settings.classes[new_index];
    active[i] = true;
    index_by_new_index[new_index] = static_cast<int>(i);
    changes.reassigned.push_back(index_by_new_index[new_index]);
  }
  config->class_active = std::move(active);
  config->gearman_functions = new_config.gearman_functions;
  for (auto& [name, function] : config->gearman_functions) {
    function.class_index = index_by_new_index[static_cast<std::size_t>(function.class_index)];
  }
  return changes;
}

bool ReloadConfig(const std::string& path, const std::function<bool(int)>& in_use, Config* config,
                  ClassChanges* changes, std::string* error) {
  Config new_config;
  new_config.scheduling_path = config->scheduling_path;
  if (!LoadConfig(path, &new_config, error) ||
      !CheckNoKeyMissing(config->text, new_config.text, error))
    return false;
  if (new_config.discovery.empty() != config->discovery.empty()) {
    *error = "configuration: 'discovery' cannot be added or removed without a restart";
    return false;
  }
  config->text = new_config.text;
  config->discovery = new_config.discovery;
  config->known_workers = new_config.known_workers;
  config->log_level = new_config.log_level;
  config->scheduling = new_config.scheduling;
  *changes = MergeClasses(new_config, in_use, config);
  // The settings of the tier, the fleet and the load reports stay until a restart: the state about
  // peers and workers depends on them.
  balancing::Settings& settings = config->settings;
  const balancing::Settings before = settings;
  settings = new_config.settings;
  settings.classes = before.classes;
  settings.dispatcher_index = before.dispatcher_index;
  settings.dispatcher_count = before.dispatcher_count;
  settings.peers = before.peers;
  settings.zone = before.zone;
  settings.zones = before.zones;
  settings.kinds = before.kinds;
  settings.polls_discovery = before.polls_discovery;
  settings.probing = before.probing;
  settings.load_report_source = before.load_report_source;
  settings.load_report_metrics = before.load_report_metrics;
  settings.workers_notify_start = before.workers_notify_start;
  if (new_config.tenants != config->tenants) settings.tenants = before.tenants;
  return true;
}

}  // namespace millethollow
