#include "config/haproxy.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "config/address.h"

namespace millethollow {
namespace {

using Json = nlohmann::ordered_json;

// A `server` line, or the values of `default-server`. A maxconn of 0 is no limit.
struct Server {
  std::string name, address;
  int weight = 1, maxconn = 0;
  bool disabled = false;
};

// The keywords of a proxy section, or those that a defaults section passes on to it.
struct Proxy {
  std::string type, name;
  int line = 0;
  std::vector<std::string> binds;
  std::vector<Server> servers;
  std::map<std::string, double> timeouts;  // seconds, by name
  std::string default_backend;
  int retries = 3;  // HAProxy's own default
  bool disabled = false;
  bool http = false;
  Server server_defaults;
};

// Parses a whole number from `min` to `max`.
bool ParseInteger(std::string_view text, int min, int max, int* value) {
  int parsed = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, parsed);
  if (error != std::errc() || parsed_to != end || text.empty() || parsed < min || parsed > max)
    return false;
  *value = parsed;
  return true;
}

// Reads the file line by line and converts it at its end.
class HaproxyImporter {
 public:
  HaproxyImporter(HaproxyImport* import, std::string* error) : import_(import), error_(error) {}

  // Reads the words of line `number`, of which there is at least one.
  bool ReadLine(int number, const std::vector<std::string>& words) {
    line_number_ = number;
    const std::string& key = words[0];
    if (key == "global" || key == "defaults" || key == "frontend" || key == "backend" ||
        key == "listen") {
      return ReadSectionStart(words);
    }
    static const std::set<std::string> kOtherSections = {
        "userlist", "peers",       "mailers",     "resolvers", "ring",      "cache",
        "program",  "http-errors", "log-forward", "fcgi-app",  "crt-store", "traces"};
    if (kOtherSections.contains(key)) {
      NoteIgnored("section '" + key + "' is not a proxy section");
      section_ = "other";
      return true;
    }
    if (section_.empty()) return Fail("'" + key + "' is outside any section");
    if (section_ == "other") return true;
    if (section_ == "global") return ReadGlobalKeyword(words);
    return ReadKeyword(words);
  }

  // Converts the sections that were read.
  bool Finish();

 private:
  bool Fail(const std::string& description) {
    *error_ = "line " + std::to_string(line_number_) + ": " + description;
    return false;
  }
  void NoteIgnored(const std::string& description) { NoteIgnoredAt(line_number_, description); }
  void NoteIgnoredAt(int line, const std::string& description) {
    import_->notes.push_back("line " + std::to_string(line) + ": not honoured: " + description);
  }

  bool ReadSectionStart(const std::vector<std::string>& words) {
    section_ = words[0];
    if (section_ == "global") return true;
    Proxy proxy = defaults_;
    const auto from = std::find(words.begin(), words.end(), "from");
    if (from != words.end()) {
      if (from + 1 == words.end() || !named_defaults_.contains(*(from + 1))) {
        return Fail("'from' names no defaults section above");
      }
      proxy = named_defaults_[*(from + 1)];
    } else if (section_ == "defaults") {
      proxy = {};  // without 'from', a defaults section inherits nothing
    }
    proxy.type = section_;
    proxy.line = line_number_;
    proxy.name = words.size() > 1 && words[1] != "from" ? words[1] : "";
    if (section_ == "defaults") {
      defaults_ = proxy;
      defaults_name_ = proxy.name;
      if (!proxy.name.empty()) named_defaults_[proxy.name] = proxy;
      return true;
    }
    if (proxy.name.empty()) return Fail("a " + section_ + " without a name");
    // HAProxy has one namespace of names for frontends and one for backends; `listen` is in both.
    for (const Proxy& other : proxies_) {
      const bool same_namespace = (other.type != "backend" && section_ != "backend") ||
                                  (other.type != "frontend" && section_ != "frontend");
      if (other.name == proxy.name && same_namespace)
        return Fail("'" + proxy.name + "' is defined twice");
    }
    proxies_.push_back(proxy);
    return true;
  }

  bool ReadGlobalKeyword(const std::vector<std::string>& words) {
    if (words[0] == "maxconn") {
      if (words.size() < 2 || !ParseInteger(words[1], 1, 1'000'000, &maxconn_)) {
        return Fail("maxconn needs a number");
      }
      return true;
    }
    NoteIgnored("global '" + words[0] + "'");
    return true;
  }

  bool ReadKeyword(const std::vector<std::string>& words) {
    const bool is_default = section_ == "defaults";
    Proxy& proxy = is_default ? defaults_ : proxies_.back();
    const bool ok = ReadKeyword(words, proxy);
    if (is_default && !defaults_name_.empty()) named_defaults_[defaults_name_] = defaults_;
    return ok;
  }

  bool ReadKeyword(const std::vector<std::string>& words, Proxy& proxy) {
    const std::string& key = words[0];
    const bool has_frontend = section_ == "frontend" || section_ == "listen";
    const bool has_backend = section_ == "backend" || section_ == "listen";
    if (key == "bind") {
      if (!has_frontend) return Fail("bind in a " + section_ + " section");
      if (words.size() < 2) return Fail("bind needs an address");
      return ReadBind(words, proxy);
    }
    if (key == "server") {
      if (!has_backend) return Fail("server in a " + section_ + " section");
      if (words.size() < 3) return Fail("server needs a name and an address");
      Server server = proxy.server_defaults;
      server.name = words[1];
      for (const Server& existing : proxy.servers) {
        if (existing.name == server.name)
          return Fail("server '" + server.name + "' is defined twice");
      }
      const std::string& address = words[2];
      if (!ParseAddress(address)) {
        NoteIgnored("server address '" + address +
                    "': must be an IPv4 address:port, names are not resolved");
        return ReadServerOptions(words, 3, &server);
      }
      server.address = address;
      if (!ReadServerOptions(words, 3, &server)) return false;
      proxy.servers.push_back(server);
      return true;
    }
    if (key == "default-server") return ReadServerOptions(words, 1, &proxy.server_defaults);
    if (key == "timeout") {
      if (words.size() < 3) return Fail("timeout needs a name and a time");
      const auto seconds = HaproxySeconds(words[2]);
      if (!seconds) return Fail("'" + words[2] + "' is not a time");
      proxy.timeouts[words[1]] = *seconds;
      static const std::set<std::string> kSupported = {"connect", "server", "http-keep-alive"};
      if (!kSupported.contains(words[1])) NoteIgnored("timeout " + words[1]);
      return true;
    }
    if (key == "mode") {
      proxy.http = words.size() > 1 && words[1] == "http";
      if (!proxy.http)
        NoteIgnored("mode " + (words.size() > 1 ? words[1] : "") + ": only HTTP is supported");
      return true;
    }
    if (key == "default_backend") {
      if (words.size() < 2) return Fail("default_backend needs a name");
      proxy.default_backend = words[1];
      return true;
    }
    if (key == "retries") {
      if (words.size() < 2 || !ParseInteger(words[1], 0, 1000, &proxy.retries)) {
        return Fail("retries needs a number");
      }
      return true;
    }
    if (key == "disabled" || key == "enabled") {
      proxy.disabled = key == "disabled";
      return true;
    }
    if (key == "balance") {
      NoteIgnored("balance " + (words.size() > 1 ? words[1] : "") +
                  ": the load balancing algorithm is fixed");
      return true;
    }
    NoteIgnored("'" + key + "'" + (words.size() > 1 ? " " + words[1] : ""));
    return true;
  }

  bool ReadBind(const std::vector<std::string>& words, Proxy& proxy) {
    std::string_view list = words[1];
    while (!list.empty()) {
      const std::size_t comma = std::min(list.find(','), list.size());
      std::string address(list.substr(0, comma));
      list.remove_prefix(std::min(comma + 1, list.size()));
      if (address.starts_with("ipv4@")) address.erase(0, 5);
      if (address.starts_with("*:")) address.replace(0, 1, "0.0.0.0");
      if (address.starts_with(":")) address.insert(0, "0.0.0.0");
      if (!ParseAddress(address)) {
        NoteIgnored("bind '" + address + "': must be one IPv4 address:port");
      } else {
        proxy.binds.push_back(address);
        bind_lines_.emplace_back(line_number_, address);
      }
    }
    for (std::size_t i = 2; i < words.size(); ++i) NoteIgnored("bind option '" + words[i] + "'");
    return true;
  }

  bool ReadServerOptions(const std::vector<std::string>& words, std::size_t from, Server* server) {
    // Options that take a value: the value must not be reported as an option of its own.
    static const std::set<std::string> kOptionsWithValue = {
        "inter",      "fastinter", "downinter",      "rise",      "fall",        "cookie",
        "port",       "addr",      "source",         "minconn",   "maxqueue",    "slowstart",
        "track",      "on-error",  "on-marked-down", "observe",   "error-limit", "id",
        "ca-file",    "crt",       "verify",         "sni",       "alpn",        "check-sni",
        "proto",      "resolvers", "resolve-prefer", "init-addr", "namespace",   "pool-max-conn",
        "agent-check"};
    for (std::size_t i = from; i < words.size(); ++i) {
      const std::string& word = words[i];
      const bool is_last = i + 1 == words.size();
      if (word == "weight") {
        if (is_last || !ParseInteger(words[++i], 0, 256, &server->weight)) {
          return Fail("weight needs a number from 0 to 256");
        }
      } else if (word == "maxconn") {
        if (is_last || !ParseInteger(words[++i], 0, 1'000'000, &server->maxconn)) {
          return Fail("maxconn needs a number");
        }
      } else if (word == "disabled" || word == "enabled") {
        server->disabled = word == "disabled";
      } else if (word == "check") {
        NoteIgnored("server option 'check': health is derived from the outcomes of requests");
      } else {
        NoteIgnored("server option '" + word + "'");
        if (kOptionsWithValue.contains(word) && !is_last && word != "agent-check") ++i;
      }
    }
    return true;
  }

  HaproxyImport* import_;
  std::string* error_;
  int line_number_ = 0, maxconn_ = 0;
  std::string section_, defaults_name_;
  Proxy defaults_;
  std::map<std::string, Proxy> named_defaults_;
  std::vector<Proxy> proxies_;
  std::vector<std::pair<int, std::string>> bind_lines_;
};

bool HaproxyImporter::Finish() {
  std::string listen;
  for (const Proxy& proxy : proxies_) {
    if (proxy.disabled)
      NoteIgnoredAt(proxy.line, "section '" + proxy.name + "' is disabled and left out");
    if (!proxy.disabled && !proxy.default_backend.empty()) {
      const bool backend_exists =
          std::any_of(proxies_.begin(), proxies_.end(), [&](const Proxy& backend) {
            return backend.name == proxy.default_backend && backend.type != "frontend";
          });
      if (!backend_exists) {
        line_number_ = proxy.line;
        return Fail("default_backend '" + proxy.default_backend + "' is not defined");
      }
    }
    for (const std::string& bind : proxy.binds) {
      if (!proxy.disabled && listen.empty()) listen = bind;
    }
  }
  for (const auto& [line, bind] : bind_lines_) {
    if (bind != listen) NoteIgnoredAt(line, "bind " + bind + ": the program listens on " + listen);
  }
  if (listen.empty()) return *error_ = "no section binds an IPv4 address:port", false;

  Json kinds = Json::array(), classes = Json::array(), servers = Json::array();
  Json class_kind = Json::array();
  double connect_s = 5, idle_s = 60;
  bool connect_set = false, idle_set = false;
  int max_attempts = 1;
  for (const Proxy& proxy : proxies_) {
    if (proxy.disabled || proxy.type == "frontend") continue;
    const auto positive_timeout = [&proxy](const char* name, double default_s) {
      const auto it = proxy.timeouts.find(name);
      return it != proxy.timeouts.end() && it->second > 0 ? it->second : default_s;
    };
    const double client_timeout_s = positive_timeout("server", 30);
    // Each backend becomes one class and one kind of worker, so that its requests go to its servers
    // only. Whether they are idempotent is unknown, so one that may have run is not retried.
    class_kind.push_back(kinds.size());
    kinds.push_back(proxy.name);
    classes.push_back({{"name", proxy.name},
                       {"aim_s", client_timeout_s / 4},
                       {"give_up_s", client_timeout_s},
                       {"importance", 1.0},
                       {"late_worth", 0.5},
                       {"semantics", "once"}});
    if (proxy.timeouts.contains("connect")) {
      const double backend_connect_s = positive_timeout("connect", 5);
      if (connect_set && backend_connect_s != connect_s) {
        NoteIgnoredAt(proxy.line,
                      "timeout connect of '" + proxy.name + "': the shortest of all is used");
      }
      connect_s = connect_set ? std::min(connect_s, backend_connect_s) : backend_connect_s;
      connect_set = true;
    }
    if (proxy.timeouts.contains("http-keep-alive")) {
      idle_s = idle_set ? std::min(idle_s, positive_timeout("http-keep-alive", 60))
                        : positive_timeout("http-keep-alive", 60);
      idle_set = true;
    }
    max_attempts = std::max(max_attempts, std::min(proxy.retries + 1, 16));
    if (proxy.retries + 1 > 16) NoteIgnoredAt(proxy.line, "retries over 15");
    for (const Server& server : proxy.servers) {
      // In HAProxy a server of weight 0 takes no new requests, which is a drain here.
      const bool is_draining = server.disabled || server.weight == 0;
      Json entry = {{"id", proxy.name + "/" + server.name},
                    {"addr", server.address},
                    {"kind", proxy.name},
                    {"cell", 0},
                    {"state", is_draining ? "terminating" : "in_service"},
                    {"weight", std::max(1, server.weight)},
                    {"started_ms", 0}};
      if (server.maxconn > 0) entry["max_out"] = server.maxconn;
      servers.push_back(std::move(entry));
    }
  }
  if (classes.empty()) return *error_ = "no backend or listen section is in use", false;
  Json root = {{"name", "imported"},
               {"listen", listen},
               {"limits", {{"sockets", maxconn_ > 0 ? std::max(128, 2 * maxconn_ + 64) : 1024}}},
               {"known", {{"version", 1}, {"full", true}, {"servers", servers}}},
               {"settings",
                {{"balancers", 1},
                 {"ordinal", 0},
                 {"tick_s", 0.005},
                 {"zones", {"here"}},
                 {"kinds", kinds},
                 {"classes", classes},
                 {"family_info", {{"class_kind", class_kind}, {"tells_start", true}}},
                 {"discovery", "push"},
                 {"weights", "nominal"},
                 {"limits",
                  {{"cancel", true},
                   {"may_duplicate", false},
                   {"most_tries", max_attempts},
                   {"retry_after", true},
                   {"max_retry_after_s", 2.0},
                   {"connect_timeout_s", connect_s},
                   {"conn_idle_s", idle_s}}},
                 {"guarantees",
                  {{"drain_grace_s", 2.0},
                   {"ask_within_s", 10.0},
                   {"fall_multiple", 3.0},
                   {"overload_for_s", 3.0},
                   {"cold_share", 1.0},
                   {"cold_s", 0.0}}}}}};
  import_->config = root.dump(2) + "\n";
  std::stable_sort(import_->notes.begin(), import_->notes.end(),
                   [](const std::string& a, const std::string& b) {
                     return std::stoi(a.substr(5)) < std::stoi(b.substr(5));
                   });
  return true;
}

}  // namespace

std::optional<std::vector<std::string>> HaproxyWords(std::string_view line) {
  std::vector<std::string> words;
  std::string word;
  bool in_word = false;
  char quote = 0;
  for (std::size_t i = 0; i < line.size(); ++i) {
    const char character = line[i];
    if (quote != 0) {
      if (character == quote) {
        quote = 0;
      } else if (character == '\\' && quote == '"' && i + 1 < line.size()) {
        word.push_back(line[++i]);
      } else {
        word.push_back(character);
      }
    } else if (character == '#') {
      break;
    } else if (character == ' ' || character == '\t' || character == '\r') {
      if (in_word) words.push_back(std::exchange(word, {}));
      in_word = false;
    } else {
      in_word = true;
      if (character == '"' || character == '\'') {
        quote = character;
      } else if (character == '\\' && i + 1 < line.size()) {
        word.push_back(line[++i]);
      } else {
        word.push_back(character);
      }
    }
  }
  if (quote != 0) return std::nullopt;
  if (in_word) words.push_back(word);
  return words;
}

std::optional<double> HaproxySeconds(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (error != std::errc() || text.empty() || !(value >= 0) || value > 1e12) return std::nullopt;
  static const std::map<std::string_view, double> kUnits = {
      {"", 1e-3}, {"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}, {"d", 86400}};
  const auto unit =
      kUnits.find(std::string_view(parsed_to, static_cast<std::size_t>(end - parsed_to)));
  if (unit == kUnits.end()) return std::nullopt;
  return value * unit->second;
}

bool ImportHaproxy(std::string_view text, HaproxyImport* import, std::string* error) {
  HaproxyImporter importer(import, error);
  for (int number = 1; !text.empty(); ++number) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const auto words = HaproxyWords(text.substr(0, end));
    if (!words) return *error = "line " + std::to_string(number) + ": a quote is left open", false;
    if (!words->empty() && !importer.ReadLine(number, *words)) return false;
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return importer.Finish();
}

}  // namespace millethollow
