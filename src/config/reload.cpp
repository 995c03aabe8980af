#include "config/reload.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace millethollow {
namespace {

using Json = nlohmann::json;
using balancing::ClassSettings;

// A program on the platform has none of these; in an operator's file they come and go.
bool Optional(const std::string& key) {
  return key == "log_level" || key == "gearman" || key == "scheduling";
}

// The keys that all of `items` have.
std::set<std::string> Common(const std::vector<const Json*>& items) {
  std::set<std::string> keys;
  for (std::size_t i = 0; i < items.size(); ++i) {
    std::set<std::string> own;
    for (const auto& [key, value] : items[i]->items()) {
      if (i == 0 || keys.contains(key)) own.insert(key);
    }
    keys = std::move(own);
  }
  return keys;
}

// Classes of one effect have the same keys; tenants all have.
std::string Sort(const Json& item) {
  const auto it = item.find("semantics");
  return it != item.end() && it->is_string() ? it->get<std::string>() : std::string();
}

bool CheckItems(const Json& used, const Json& fresh, const std::string& at, std::string* error) {
  std::map<std::string, std::vector<const Json*>> sorts;
  std::vector<const Json*> all;
  for (const Json& item : used) {
    if (!item.is_object()) return true;
    sorts[Sort(item)].push_back(&item);
    all.push_back(&item);
  }
  if (all.empty()) return true;
  if (fresh.empty()) return *error = "configuration: " + at + " is empty", false;
  for (const Json& item : fresh) {
    if (!item.is_object()) return *error = "configuration: " + at + " has the wrong type", false;
    const auto like = sorts.find(Sort(item));
    for (const std::string& key : Common(like == sorts.end() ? all : like->second)) {
      const auto it = item.find(key);
      if (it != item.end() && !it->is_null()) continue;
      return *error = "configuration: " + at + " misses '" + key + "'", false;
    }
  }
  return true;
}

bool CheckKeys(const Json& used, const Json& fresh, const std::string& at, std::string* error) {
  for (const auto& [key, value] : used.items()) {
    if (value.is_null() || (at.empty() && Optional(key))) continue;
    const std::string path = at.empty() ? key : at + "." + key;
    const auto it = fresh.find(key);
    if (it == fresh.end() || it->is_null()) {
      return *error = "configuration: '" + path + "' is missing", false;
    }
    const bool numbers = value.is_number() && it->is_number();
    if (!numbers && it->type() != value.type()) {
      return *error = "configuration: '" + path + "' has the wrong type", false;
    }
    if (value.is_object() && !CheckKeys(value, *it, path, error)) return false;
    if (value.is_array() && at != "known" && !CheckItems(value, *it, path, error)) return false;
  }
  return true;
}

bool Same(const ClassSettings& a, const ClassSettings& b) {
  return a.latency_objective_s == b.latency_objective_s &&
         a.latency_objective_stretch == b.latency_objective_stretch &&
         a.client_timeout_s == b.client_timeout_s && a.priority_weight == b.priority_weight &&
         a.late_weight == b.late_weight && a.idempotency == b.idempotency &&
         a.deduplication_scope == b.deduplication_scope &&
         a.deduplication_window_s == b.deduplication_window_s && a.kind == b.kind &&
         a.priority == b.priority && a.streamed == b.streamed;
}

}  // namespace

bool CheckNoKeyMissing(std::string_view used, std::string_view fresh, std::string* error) {
  const Json before = Json::parse(used, nullptr, false, true);
  const Json after = Json::parse(fresh, nullptr, false, true);
  if (!after.is_object()) return *error = "configuration: not a JSON object", false;
  return !before.is_object() || CheckKeys(before, after, "", error);
}

ClassChanges MergeClasses(const Config& fresh, const std::function<bool(int)>& in_use,
                          Config* config) {
  ClassChanges changes;
  std::vector<bool> live(config->classes.size(), false);
  std::vector<int> now;  // by the fresh file's order
  std::vector<std::size_t> homeless;
  for (std::size_t c = 0; c < fresh.classes.size(); ++c) {
    int index = -1;
    for (std::size_t i = 0; i < config->classes.size(); ++i) {
      if (config->classes[i] != fresh.classes[c] || live[i]) continue;
      if (Same(config->settings.classes[i], fresh.settings.classes[c])) index = static_cast<int>(i);
    }
    now.push_back(index);
    if (index >= 0) live[static_cast<std::size_t>(index)] = true;
    if (index < 0) homeless.push_back(c);
  }
  for (const std::size_t c : homeless) {
    std::size_t i = 0;
    // One that was live until now may yet be on its way in: it is not used again at once.
    while (i < live.size() && (live[i] || config->class_active[i] || in_use(static_cast<int>(i))))
      ++i;
    if (i == live.size()) {
      live.push_back(false);
      config->class_active.push_back(false);
      config->classes.emplace_back();
      config->settings.classes.emplace_back();
    }
    config->classes[i] = fresh.classes[c];
    config->settings.classes[i] = fresh.settings.classes[c];
    live[i] = true;
    now[c] = static_cast<int>(i);
    changes.reassigned.push_back(now[c]);
  }
  config->class_active = std::move(live);
  config->gearman_functions = fresh.gearman_functions;
  for (auto& [name, function] : config->gearman_functions) {
    function.cls = now[static_cast<std::size_t>(function.cls)];
  }
  return changes;
}

bool ReloadConfig(const std::string& path, const std::function<bool(int)>& in_use, Config* config,
                  ClassChanges* changes, std::string* error) {
  Config fresh;
  fresh.also = config->also;
  if (!LoadConfig(path, &fresh, error) || !CheckNoKeyMissing(config->text, fresh.text, error))
    return false;
  if (fresh.discovery.empty() != config->discovery.empty()) {
    *error = "configuration: discovery can't be begun or ended without a restart";
    return false;
  }
  config->text = fresh.text;
  config->discovery = fresh.discovery;
  config->known_workers = fresh.known_workers;
  config->log_level = fresh.log_level;
  config->scheduling = fresh.scheduling;
  *changes = MergeClasses(fresh, in_use, config);
  // The shape of the tier, the fleet and the reports stays; peers and workers are known by it.
  balancing::Settings& now = config->settings;
  const balancing::Settings before = now;
  now = fresh.settings;
  now.classes = before.classes;
  now.dispatcher_index = before.dispatcher_index;
  now.dispatcher_count = before.dispatcher_count;
  now.peers = before.peers;
  now.zone = before.zone;
  now.zones = before.zones;
  now.kinds = before.kinds;
  now.polls_discovery = before.polls_discovery;
  now.probing = before.probing;
  now.load_report_source = before.load_report_source;
  now.load_report_metrics = before.load_report_metrics;
  now.workers_notify_start = before.workers_notify_start;
  if (fresh.tenants != config->tenants) now.tenants = before.tenants;
  return true;
}

}  // namespace millethollow
