#include "config/config.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/address.h"
#include "config/cluster.h"
#include "config/json_object.h"
#include "config/scheduling.h"
#include "simulator_adapter/settings_reader.h"

namespace millethollow {
namespace {

using Json = nlohmann::json;

// A scalar as text without the separators of the simulator's protocol, space and comma.
std::string ScalarText(const Json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return text;
}

// Appends nested settings as the path=value pairs of the simulator's START message, so that one
// parser serves both.
void AppendFlattened(const std::string& path, const Json& value,
                     std::vector<std::pair<std::string, std::string>>* out) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) AppendFlattened(prefix + key, item, out);
  } else if (value.is_array()) {
    const bool only_scalars = std::none_of(value.begin(), value.end(),
                                           [](const Json& item) { return item.is_structured(); });
    if (only_scalars && !value.empty()) {
      std::string joined;
      for (const Json& item : value) joined += (joined.empty() ? "" : ",") + ScalarText(item);
      out->emplace_back(path, joined);
      return;
    }
    out->emplace_back(path + ".count", std::to_string(value.size()));
    for (std::size_t i = 0; i < value.size(); ++i)
      AppendFlattened(prefix + std::to_string(i), value[i], out);
  } else if (!value.is_null()) {
    out->emplace_back(path, ScalarText(value));
  }
}

// Reads the value of `key` as the type of `out`; leaves `out` unchanged if there is none.
template <typename T>
bool ReadValue(const Json& object, const char* key, T* out, std::string* error) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return true;
  try {
    if constexpr (std::is_arithmetic_v<T>) {
      if (!it->is_number()) throw std::runtime_error("not a number");
    }
    *out = it->get<T>();
    return true;
  } catch (const std::exception&) {
    *error = std::string("configuration: '") + key + "' has the wrong type";
    return false;
  }
}

// The object under `key`; an empty object if there is none.
Json ObjectOrEmpty(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_object() ? *it : Json::object();
}

// Names of the items of a list: the texts themselves, or the values of their key `name`.
std::vector<std::string> ItemNames(const Json& settings, const char* list) {
  std::vector<std::string> names;
  const auto it = settings.find(list);
  if (it == settings.end() || !it->is_array()) return names;
  for (const Json& item : *it) {
    const Json& name = item.is_object() && item.contains("name") ? item["name"] : item;
    names.push_back(name.is_string() ? name.get<std::string>() : name.dump());
  }
  return names;
}

// The index of `name`; -1 if it is not in the list.
int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

bool ReadGearman(const Json& gearman, Config* config, std::string* error) {
  std::string zone, kind;
  if (!ReadValue(gearman, "listen", &config->gearman_listen, error) ||
      !ReadValue(gearman, "cell", &config->gearman_cell, error) ||
      !ReadValue(gearman, "zone", &zone, error) || !ReadValue(gearman, "kind", &kind, error) ||
      !ReadValue(gearman, "path", &config->gearman_path, error)) {
    return false;
  }
  for (const auto& [name, names, out] : {std::tuple{&zone, &config->zones, &config->gearman_zone},
                                         {&kind, &config->kinds, &config->gearman_kind}}) {
    if (name->empty()) continue;
    *out = IndexOf(*names, *name);
    if (*out < 0)
      return *error = "configuration: 'gearman' names an unknown zone or kind: '" + *name + "'",
             false;
  }
  const Json functions = ObjectOrEmpty(gearman, "functions");
  for (const auto& [name, mapping] : functions.items()) {
    std::string class_name, tenant;
    if (!mapping.is_object())
      return *error = "configuration: not an object: gearman.functions." + name, false;
    if (!ReadValue(mapping, "class", &class_name, error) ||
        !ReadValue(mapping, "tenant", &tenant, error))
      return false;
    const GearmanFunction function{IndexOf(config->classes, class_name),
                                   tenant.empty() ? 0 : IndexOf(config->tenants, tenant)};
    if (function.class_index < 0)
      return *error = "configuration: gearman function " + name + ": 'class' names no class", false;
    if (function.tenant < 0)
      return *error = "configuration: gearman function " + name + ": 'tenant' names no tenant",
             false;
    config->gearman_functions[name] = function;
  }
  return true;
}

}  // namespace

bool ReadConfig(std::string_view text, Config* config, std::string* error) {
  const std::optional<Json> parsed_text = ParseJsonObject(text, error);
  if (!parsed_text) return false;
  const Json& root = *parsed_text;
  const Json settings = ObjectOrEmpty(root, "settings"), limits = ObjectOrEmpty(settings, "limits");
  std::string seed;
  if (root.contains("seed") && root["seed"].is_string()) {
    seed = root["seed"].get<std::string>();
    config->seed = std::strtoull(seed.c_str(), nullptr, 16);
  }
  const Json node_limits = ObjectOrEmpty(root, "limits");
  if (!ReadValue(root, "name", &config->name, error) ||
      !ReadValue(root, "listen", &config->listen, error) ||
      !ReadValue(root, "admin", &config->admin, error) ||
      !ReadValue(root, "discovery", &config->discovery, error) ||
      !ReadValue(root, "peer_listen", &config->peer_listen, error) ||
      !ReadValue(root, "peers", &config->peers, error) ||
      !ReadValue(root, "peers_all", &config->peers_all, error) ||
      !ReadValue(root, "log_level", &config->log_level, error) ||
      !ReadValue(node_limits, "sockets", &config->max_sockets, error) ||
      !ReadValue(node_limits, "memory_mb", &config->max_memory_mb, error) ||
      !ReadValue(limits, "conn_idle_s", &config->connection_idle_timeout_s, error) ||
      !ReadValue(limits, "connect_timeout_s", &config->connect_timeout_s, error)) {
    return false;
  }
  config->text = text;
  // A timeout or an attempt count of 0 would fail every job at once. Texts that look like numbers
  // are rejected too.
  const auto check_above_zero = [&](const Json& object, const char* key) {
    const auto it = object.find(key);
    if (it == object.end() || (it->is_number() && it->get<double>() > 0)) return true;
    *error = std::string("configuration: '") + key + "' is not a number above 0";
    return false;
  };
  if (!check_above_zero(limits, "most_tries")) return false;
  if (const auto list = settings.find("classes"); list != settings.end()) {
    for (const Json& item : *list) {
      if (item.is_object() && !check_above_zero(item, "give_up_s")) return false;
    }
  }
  if (root.contains("known")) config->known_workers = root["known"].dump();
  config->classes = ItemNames(settings, "classes");
  config->class_active.assign(config->classes.size(), true);
  config->tenants = ItemNames(settings, "tenants");
  config->zones = ItemNames(settings, "zones");
  config->kinds = ItemNames(settings, "kinds");
  config->columns = ItemNames(ObjectOrEmpty(settings, "report"), "columns");
  std::vector<std::pair<std::string, std::string>> path_values;
  AppendFlattened("", settings, &path_values);
  const simulator_adapter::Fields fields(path_values.begin(), path_values.end());
  Result<balancing::Settings> parsed = simulator_adapter::ParseSettings(fields);
  if (!parsed) return *error = "configuration: settings: " + parsed.error().message, false;
  config->settings = *std::move(parsed);
  if (!ReadScheduling(text, config->classes, &config->scheduling, error) ||
      !ReadCluster(text, &config->cluster, error)) {
    return false;
  }
  const Json levels = ObjectOrEmpty(root, "levels");
  if (!ReadGearman(ObjectOrEmpty(root, "gearman"), config, error) ||
      !ReadValue(levels, "link", &config->link_directory, error) ||
      !ReadValue(levels, "planners", &config->planners, error) ||
      !ReadValue(levels, "forwarders", &config->forwarders, error)) {
    return false;
  }
  // The name is part of Gearman job handles and of lines of both protocols.
  const auto is_not_graphic = [](char c) { return c <= ' ' || c >= 0x7f; };
  if (std::any_of(config->name.begin(), config->name.end(), is_not_graphic) ||
      config->name.size() > 64) {
    return *error = "configuration: 'name' must be one plain word", false;
  }
  if (config->max_sockets < 32)
    return *error = "configuration: 'limits.sockets' must be at least 32", false;
  if (config->planners < 1 || config->forwarders < 1 || config->planners > 64 ||
      config->forwarders > 64) {
    return *error = "configuration: levels: 1 to 64 planners and forwarders", false;
  }
  return true;
}

bool LoadConfig(const std::string& path, Config* config, std::string* error) {
  const auto environment_variable = [](const char* name) {
    const char* value = std::getenv(name);
    return std::string(value == nullptr ? "" : value);
  };
  const std::string resolved_path = path.empty() ? environment_variable("LB_CONFIG") : path;
  if (resolved_path.empty())
    return *error = "configuration: give --config FILE or set LB_CONFIG", false;
  std::ifstream input(resolved_path);
  std::stringstream text;
  if (!input) return *error = "configuration: cannot read " + resolved_path, false;
  if (!(text << input.rdbuf()))
    return *error = "configuration: empty or unreadable file: " + resolved_path, false;
  if (!ReadConfig(text.str(), config, error)) return false;
  // One scheduling file serves all sites, so it may name classes that this file does not have.
  if (!config->scheduling_path.empty() &&
      !LoadScheduling(config->scheduling_path, {}, &config->scheduling, error)) {
    return false;
  }
  if (config->name.empty()) config->name = environment_variable("LB_NAME");
  if (config->listen.empty()) config->listen = environment_variable("LB_LISTEN");
  if (config->discovery.empty()) config->discovery = environment_variable("LB_DISCOVERY");
  if (config->link_directory.empty()) config->handover_directory = environment_variable("TMPDIR");
  if (config->admin.empty()) config->admin = environment_variable("LB_ADMIN");
  const auto check_address = [error](const std::string& address, const char* what) {
    if (address.empty() || ParseAddress(address)) return true;
    *error = std::string("configuration: ") + what + " is not an IPv4 address:port: " + address;
    return false;
  };
  if (config->listen.empty() && config->gearman_listen.empty()) {
    return *error = "configuration: nothing to listen on", false;
  }
  if (!config->admin.empty() && !config->link_directory.empty()) {
    return *error = "configuration: 'admin' is for a node of one process, not for 'levels'", false;
  }
  if (config->cluster.on() && !config->link_directory.empty()) {
    return *error = "configuration: 'cluster' is for a node of one process, not yet for 'levels'",
           false;
  }
  for (const ClusterMember& member : config->cluster.members) {
    if (!check_address(member.address,
                       ("the address of cluster member '" + member.id + "'").c_str()))
      return false;
  }
  return check_address(config->cluster.listen, "cluster.listen") &&
         check_address(config->listen, "listen") && check_address(config->admin, "admin") &&
         check_address(config->discovery, "discovery") &&
         check_address(config->peer_listen, "peer_listen") &&
         check_address(config->gearman_listen, "gearman");
}

}  // namespace millethollow
