#include "config/config.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/address.h"
#include "config/cluster.h"
#include "config/scheduling.h"
#include "simulator_adapter/settings_reader.h"

namespace millethollow {
namespace {

using Json = nlohmann::json;

std::string Scalar(const Json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return text;
}

// The nested settings as the path=value pairs that the simulator's first message has: one reader
// serves both.
void Flatten(const std::string& path, const Json& value,
             std::vector<std::pair<std::string, std::string>>* out) {
  const std::string dot = path.empty() ? "" : path + ".";
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) Flatten(dot + key, item, out);
  } else if (value.is_array()) {
    const bool plain = std::none_of(value.begin(), value.end(),
                                    [](const Json& item) { return item.is_structured(); });
    if (plain && !value.empty()) {
      std::string joined;
      for (const Json& item : value) joined += (joined.empty() ? "" : ",") + Scalar(item);
      out->emplace_back(path, joined);
      return;
    }
    out->emplace_back(path + ".count", std::to_string(value.size()));
    for (std::size_t i = 0; i < value.size(); ++i) Flatten(dot + std::to_string(i), value[i], out);
  } else if (!value.is_null()) {
    out->emplace_back(path, Scalar(value));
  }
}

// Reads a member of the type that `out` has; leaves it alone where there is none.
template <typename T>
bool Read(const Json& object, const char* key, T* out, std::string* error) {
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

Json Child(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_object() ? *it : Json::object();
}

std::vector<std::string> NamesOf(const Json& settings, const char* list) {
  std::vector<std::string> names;
  const auto it = settings.find(list);
  if (it == settings.end() || !it->is_array()) return names;
  for (const Json& item : *it) {
    const Json& name = item.is_object() && item.contains("name") ? item["name"] : item;
    names.push_back(name.is_string() ? name.get<std::string>() : name.dump());
  }
  return names;
}

int Find(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

bool ReadGearman(const Json& gearman, Config* c, std::string* error) {
  std::string zone, kind;
  if (!Read(gearman, "listen", &c->gearman_listen, error) ||
      !Read(gearman, "cell", &c->gearman_cell, error) || !Read(gearman, "zone", &zone, error) ||
      !Read(gearman, "kind", &kind, error) || !Read(gearman, "path", &c->gearman_path, error)) {
    return false;
  }
  for (const auto& [name, names, out] :
       {std::tuple{&zone, &c->zones, &c->gearman_zone}, {&kind, &c->kinds, &c->gearman_kind}}) {
    if (name->empty()) continue;
    *out = Find(*names, *name);
    if (*out < 0) return *error = "configuration: gearman names an unknown '" + *name + "'", false;
  }
  const Json functions = Child(gearman, "functions");
  for (const auto& [name, mapping] : functions.items()) {
    std::string cls, tenant;
    if (!mapping.is_object()) return *error = "configuration: gearman function " + name, false;
    if (!Read(mapping, "class", &cls, error) || !Read(mapping, "tenant", &tenant, error))
      return false;
    const GearmanFunction f{Find(c->classes, cls), tenant.empty() ? 0 : Find(c->tenants, tenant)};
    if (f.cls < 0) return *error = "configuration: gearman function " + name + ": no class", false;
    if (f.tenant < 0) return *error = "configuration: gearman function " + name + ": tenant", false;
    c->gearman_functions[name] = f;
  }
  return true;
}

}  // namespace

bool ReadConfig(std::string_view text, Config* c, std::string* error) {
  const Json root = Json::parse(text, nullptr, false, true);
  if (!root.is_object()) return *error = "configuration: not a JSON object", false;
  const Json settings = Child(root, "settings"), limits = Child(settings, "limits");
  std::string seed;
  if (root.contains("seed") && root["seed"].is_string()) {
    seed = root["seed"].get<std::string>();
    c->seed = std::strtoull(seed.c_str(), nullptr, 16);
  }
  const Json own_limits = Child(root, "limits");
  if (!Read(root, "name", &c->name, error) || !Read(root, "listen", &c->listen, error) ||
      !Read(root, "admin", &c->admin, error) || !Read(root, "discovery", &c->discovery, error) ||
      !Read(root, "peer_listen", &c->peer_listen, error) ||
      !Read(root, "peers", &c->peers, error) || !Read(root, "peers_all", &c->peers_all, error) ||
      !Read(root, "log_level", &c->log_level, error) ||
      !Read(own_limits, "sockets", &c->max_sockets, error) ||
      !Read(limits, "conn_idle_s", &c->connection_idle_timeout_s, error) ||
      !Read(limits, "connect_timeout_s", &c->connect_timeout_s, error)) {
    return false;
  }
  c->text = text;
  // Numbers, not words that read like numbers: a time or count of 0 would end every job at once.
  const auto above_zero = [&](const Json& object, const char* key) {
    const auto it = object.find(key);
    if (it == object.end() || (it->is_number() && it->get<double>() > 0)) return true;
    *error = std::string("configuration: '") + key + "' is not a number above 0";
    return false;
  };
  if (!above_zero(limits, "most_tries")) return false;
  if (const auto list = settings.find("classes"); list != settings.end()) {
    for (const Json& item : *list) {
      if (item.is_object() && !above_zero(item, "give_up_s")) return false;
    }
  }
  if (root.contains("known")) c->known_workers = root["known"].dump();
  c->classes = NamesOf(settings, "classes");
  c->class_active.assign(c->classes.size(), true);
  c->tenants = NamesOf(settings, "tenants");
  c->zones = NamesOf(settings, "zones");
  c->kinds = NamesOf(settings, "kinds");
  c->columns = NamesOf(Child(settings, "report"), "columns");
  std::vector<std::pair<std::string, std::string>> flat;
  Flatten("", settings, &flat);
  const simulator_adapter::Fields fields(flat.begin(), flat.end());
  Result<balancing::Settings> parsed = simulator_adapter::ParseSettings(fields);
  if (!parsed) return *error = "configuration: settings: " + parsed.error().message, false;
  c->settings = *std::move(parsed);
  if (!ReadScheduling(text, c->classes, &c->scheduling, error) ||
      !ReadCluster(text, &c->cluster, error)) {
    return false;
  }
  const Json link = Child(root, "levels");
  if (!ReadGearman(Child(root, "gearman"), c, error) ||
      !Read(link, "link", &c->link_directory, error) ||
      !Read(link, "planners", &c->planners, error) ||
      !Read(link, "forwarders", &c->forwarders, error)) {
    return false;
  }
  // It goes into handles and lines of both protocols.
  const auto odd = [](char ch) { return ch <= ' ' || ch >= 0x7f; };
  if (std::any_of(c->name.begin(), c->name.end(), odd) || c->name.size() > 64) {
    return *error = "configuration: 'name' must be one plain word", false;
  }
  if (c->max_sockets < 32) return *error = "configuration: fewer than 32 sockets allowed", false;
  if (c->planners < 1 || c->forwarders < 1 || c->planners > 64 || c->forwarders > 64) {
    return *error = "configuration: levels: 1 to 64 planners and forwarders", false;
  }
  return true;
}

bool LoadConfig(const std::string& path, Config* config, std::string* error) {
  const auto env = [](const char* name) {
    const char* value = std::getenv(name);
    return std::string(value == nullptr ? "" : value);
  };
  const std::string file = path.empty() ? env("LB_CONFIG") : path;
  if (file.empty()) return *error = "configuration: give --config FILE or set LB_CONFIG", false;
  std::ifstream in(file);
  std::stringstream text;
  if (!in) return *error = "configuration: cannot read " + file, false;
  if (!(text << in.rdbuf())) return *error = "configuration: nothing to be read in " + file, false;
  if (!ReadConfig(text.str(), config, error)) return false;
  // Its classes are named for all sites: one that this file has not yet is no fault.
  if (!config->also.empty() && !LoadScheduling(config->also, {}, &config->scheduling, error)) {
    return false;
  }
  if (config->name.empty()) config->name = env("LB_NAME");
  if (config->listen.empty()) config->listen = env("LB_LISTEN");
  if (config->discovery.empty()) config->discovery = env("LB_DISCOVERY");
  if (config->link_directory.empty()) config->handover_directory = env("TMPDIR");
  if (config->admin.empty()) config->admin = env("LB_ADMIN");
  const auto check = [error](const std::string& address, const char* what) {
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
  for (const ClusterMember& m : config->cluster.members) {
    if (!check(m.address, ("the address of cluster member '" + m.id + "'").c_str())) return false;
  }
  return check(config->cluster.listen, "cluster.listen") && check(config->listen, "listen") &&
         check(config->admin, "admin") && check(config->discovery, "discovery") &&
         check(config->peer_listen, "peer_listen") && check(config->gearman_listen, "gearman");
}

}  // namespace millethollow
