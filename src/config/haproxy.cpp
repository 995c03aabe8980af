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

struct Server {
  std::string name, address;
  int weight = 1, maxconn = 0;
  bool disabled = false;
};

// What a proxy section says, or a defaults section hands down.
struct Proxy {
  std::string type, name;
  int line = 0;
  std::vector<std::string> binds;
  std::vector<Server> servers;
  std::map<std::string, double> timeouts;
  std::string default_backend;
  int retries = 3;  // HAProxy's own default
  bool disabled = false;
  bool http = false;
  Server server_defaults;
};

bool Integer(std::string_view text, int min, int max, int* value) {
  int read = 0;
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, read);
  if (error != std::errc() || at != end || text.empty() || read < min || read > max) return false;
  *value = read;
  return true;
}

class Reader {
 public:
  Reader(Import* import, std::string* error) : import_(import), error_(error) {}

  bool Line(int number, const std::vector<std::string>& words) {
    number_ = number;
    const std::string& key = words[0];
    if (key == "global" || key == "defaults" || key == "frontend" || key == "backend" ||
        key == "listen") {
      return Section(words);
    }
    static const std::set<std::string> kOther = {
        "userlist", "peers",       "mailers",     "resolvers", "ring",      "cache",
        "program",  "http-errors", "log-forward", "fcgi-app",  "crt-store", "traces"};
    if (kOther.contains(key)) {
      Note("section '" + key + "' is no proxy section");
      section_ = "other";
      return true;
    }
    if (section_.empty()) return Bad("'" + key + "' stands before any section");
    if (section_ == "other") return true;
    if (section_ == "global") return Global(words);
    return Keyword(words);
  }

  bool Finish();

 private:
  bool Bad(const std::string& what) {
    *error_ = "line " + std::to_string(number_) + ": " + what;
    return false;
  }
  void Note(const std::string& what) { NoteAt(number_, what); }
  void NoteAt(int line, const std::string& what) {
    import_->notes.push_back("line " + std::to_string(line) + ": not honoured: " + what);
  }

  bool Section(const std::vector<std::string>& words) {
    section_ = words[0];
    if (section_ == "global") return true;
    Proxy proxy = defaults_;
    const auto from = std::find(words.begin(), words.end(), "from");
    if (from != words.end()) {
      if (from + 1 == words.end() || !named_.contains(*(from + 1))) {
        return Bad("'from' names no defaults section above");
      }
      proxy = named_[*(from + 1)];
    } else if (section_ == "defaults") {
      proxy = {};  // a new defaults section starts afresh
    }
    proxy.type = section_;
    proxy.line = number_;
    proxy.name = words.size() > 1 && words[1] != "from" ? words[1] : "";
    if (section_ == "defaults") {
      defaults_ = proxy;
      defaults_name_ = proxy.name;
      if (!proxy.name.empty()) named_[proxy.name] = proxy;
      return true;
    }
    if (proxy.name.empty()) return Bad("a " + section_ + " without a name");
    for (const Proxy& p : proxies_) {
      const bool both = (p.type != "backend" && section_ != "backend") ||
                        (p.type != "frontend" && section_ != "frontend");
      if (p.name == proxy.name && both) return Bad("'" + proxy.name + "' is there already");
    }
    proxies_.push_back(proxy);
    return true;
  }

  bool Global(const std::vector<std::string>& words) {
    if (words[0] == "maxconn") {
      if (words.size() < 2 || !Integer(words[1], 1, 1'000'000, &maxconn_)) {
        return Bad("maxconn wants a number");
      }
      return true;
    }
    Note("global '" + words[0] + "'");
    return true;
  }

  bool Keyword(const std::vector<std::string>& words) {
    const bool is_default = section_ == "defaults";
    Proxy& p = is_default ? defaults_ : proxies_.back();
    const bool ok = Keyword(words, p);
    if (is_default && !defaults_name_.empty()) named_[defaults_name_] = defaults_;
    return ok;
  }

  bool Keyword(const std::vector<std::string>& words, Proxy& p) {
    const std::string& key = words[0];
    const bool accepts = section_ == "frontend" || section_ == "listen";
    const bool sends = section_ == "backend" || section_ == "listen";
    if (key == "bind") {
      if (!accepts) return Bad("bind in a " + section_ + " section");
      if (words.size() < 2) return Bad("bind wants an address");
      return Bind(words, p);
    }
    if (key == "server") {
      if (!sends) return Bad("server in a " + section_ + " section");
      if (words.size() < 3) return Bad("server wants a name and an address");
      Server server = p.server_defaults;
      server.name = words[1];
      for (const Server& s : p.servers) {
        if (s.name == server.name) return Bad("server '" + server.name + "' is there already");
      }
      const std::string& address = words[2];
      if (!ParseAddress(address)) {
        Note("server address '" + address + "': only IPv4 address:port, names are not looked up");
        return ServerOptions(words, 3, &server);
      }
      server.address = address;
      if (!ServerOptions(words, 3, &server)) return false;
      p.servers.push_back(server);
      return true;
    }
    if (key == "default-server") return ServerOptions(words, 1, &p.server_defaults);
    if (key == "timeout") {
      if (words.size() < 3) return Bad("timeout wants a name and a time");
      const auto seconds = HaproxySeconds(words[2]);
      if (!seconds) return Bad("'" + words[2] + "' is no time");
      p.timeouts[words[1]] = *seconds;
      static const std::set<std::string> kHonoured = {"connect", "server", "http-keep-alive"};
      if (!kHonoured.contains(words[1])) Note("timeout " + words[1]);
      return true;
    }
    if (key == "mode") {
      p.http = words.size() > 1 && words[1] == "http";
      if (!p.http) Note("mode " + (words.size() > 1 ? words[1] : "") + ": requests are HTTP here");
      return true;
    }
    if (key == "default_backend") {
      if (words.size() < 2) return Bad("default_backend wants a name");
      p.default_backend = words[1];
      return true;
    }
    if (key == "retries") {
      if (words.size() < 2 || !Integer(words[1], 0, 1000, &p.retries)) {
        return Bad("retries wants a number");
      }
      return true;
    }
    if (key == "disabled" || key == "enabled") {
      p.disabled = key == "disabled";
      return true;
    }
    if (key == "balance") {
      Note("balance " + (words.size() > 1 ? words[1] : "") + ": placement is the module's");
      return true;
    }
    Note("'" + key + "'" + (words.size() > 1 ? " " + words[1] : ""));
    return true;
  }

  bool Bind(const std::vector<std::string>& words, Proxy& p) {
    std::string_view list = words[1];
    while (!list.empty()) {
      const std::size_t comma = std::min(list.find(','), list.size());
      std::string address(list.substr(0, comma));
      list.remove_prefix(std::min(comma + 1, list.size()));
      if (address.starts_with("ipv4@")) address.erase(0, 5);
      if (address.starts_with("*:")) address.replace(0, 1, "0.0.0.0");
      if (address.starts_with(":")) address.insert(0, "0.0.0.0");
      if (!ParseAddress(address)) {
        Note("bind '" + address + "': only one IPv4 address:port");
      } else {
        p.binds.push_back(address);
        bind_lines_.emplace_back(number_, address);
      }
    }
    for (std::size_t i = 2; i < words.size(); ++i) Note("bind option '" + words[i] + "'");
    return true;
  }

  bool ServerOptions(const std::vector<std::string>& words, std::size_t from, Server* server) {
    // Options that take a value, so that a value is not named as an option of its own.
    static const std::set<std::string> kValued = {
        "inter",      "fastinter", "downinter",      "rise",      "fall",        "cookie",
        "port",       "addr",      "source",         "minconn",   "maxqueue",    "slowstart",
        "track",      "on-error",  "on-marked-down", "observe",   "error-limit", "id",
        "ca-file",    "crt",       "verify",         "sni",       "alpn",        "check-sni",
        "proto",      "resolvers", "resolve-prefer", "init-addr", "namespace",   "pool-max-conn",
        "agent-check"};
    for (std::size_t i = from; i < words.size(); ++i) {
      const std::string& word = words[i];
      const bool last = i + 1 == words.size();
      if (word == "weight") {
        if (last || !Integer(words[++i], 0, 256, &server->weight)) {
          return Bad("weight wants a number from 0 to 256");
        }
      } else if (word == "maxconn") {
        if (last || !Integer(words[++i], 0, 1'000'000, &server->maxconn)) {
          return Bad("maxconn wants a number");
        }
      } else if (word == "disabled" || word == "enabled") {
        server->disabled = word == "disabled";
      } else if (word == "check") {
        Note("server option 'check': health is seen from outcomes");
      } else {
        Note("server option '" + word + "'");
        if (kValued.contains(word) && !last && word != "agent-check") ++i;
      }
    }
    return true;
  }

  Import* import_;
  std::string* error_;
  int number_ = 0, maxconn_ = 0;
  std::string section_, defaults_name_;
  Proxy defaults_;
  std::map<std::string, Proxy> named_;
  std::vector<Proxy> proxies_;
  std::vector<std::pair<int, std::string>> bind_lines_;
};

bool Reader::Finish() {
  std::string listen;
  for (const Proxy& p : proxies_) {
    if (p.disabled) NoteAt(p.line, "section '" + p.name + "' is disabled and left out");
    if (!p.disabled && !p.default_backend.empty()) {
      const bool known = std::any_of(proxies_.begin(), proxies_.end(), [&](const Proxy& b) {
        return b.name == p.default_backend && b.type != "frontend";
      });
      if (!known) {
        number_ = p.line;
        return Bad("default_backend '" + p.default_backend + "' is not there");
      }
    }
    for (const std::string& bind : p.binds) {
      if (!p.disabled && listen.empty()) listen = bind;
    }
  }
  for (const auto& [line, bind] : bind_lines_) {
    if (bind != listen) NoteAt(line, "bind " + bind + ": the program listens on " + listen);
  }
  if (listen.empty()) return *error_ = "no section binds an IPv4 address:port", false;

  Json kinds = Json::array(), classes = Json::array(), servers = Json::array();
  Json class_kind = Json::array();
  double connect_s = 5, idle_s = 60;
  bool connect_set = false, idle_set = false;
  int tries = 1;
  for (const Proxy& p : proxies_) {
    if (p.disabled || p.type == "frontend") continue;
    const auto time = [&p](const char* name, double otherwise) {
      const auto it = p.timeouts.find(name);
      return it != p.timeouts.end() && it->second > 0 ? it->second : otherwise;
    };
    const double give_up = time("server", 30);
    // One backend, one class and one kind: its jobs go to its servers and nowhere else. Nothing is
    // known of what a repeat does there, so a job that may have run is not sent again.
    class_kind.push_back(kinds.size());
    kinds.push_back(p.name);
    classes.push_back({{"name", p.name},
                       {"aim_s", give_up / 4},
                       {"give_up_s", give_up},
                       {"importance", 1.0},
                       {"late_worth", 0.5},
                       {"semantics", "once"}});
    if (p.timeouts.contains("connect")) {
      const double own = time("connect", 5);
      if (connect_set && own != connect_s) {
        NoteAt(p.line, "timeout connect of '" + p.name + "': the shortest of all is used");
      }
      connect_s = connect_set ? std::min(connect_s, own) : own;
      connect_set = true;
    }
    if (p.timeouts.contains("http-keep-alive")) {
      idle_s =
          idle_set ? std::min(idle_s, time("http-keep-alive", 60)) : time("http-keep-alive", 60);
      idle_set = true;
    }
    tries = std::max(tries, std::min(p.retries + 1, 16));
    if (p.retries + 1 > 16) NoteAt(p.line, "retries over 15");
    for (const Server& s : p.servers) {
      // A weight of 0 takes no new work, which is a drain.
      const bool drained = s.disabled || s.weight == 0;
      Json entry = {{"id", p.name + "/" + s.name},
                    {"addr", s.address},
                    {"kind", p.name},
                    {"cell", 0},
                    {"state", drained ? "terminating" : "in_service"},
                    {"weight", std::max(1, s.weight)},
                    {"started_ms", 0}};
      if (s.maxconn > 0) entry["max_out"] = s.maxconn;
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
                   {"most_tries", tries},
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
    const char c = line[i];
    if (quote != 0) {
      if (c == quote) {
        quote = 0;
      } else if (c == '\\' && quote == '"' && i + 1 < line.size()) {
        word.push_back(line[++i]);
      } else {
        word.push_back(c);
      }
    } else if (c == '#') {
      break;
    } else if (c == ' ' || c == '\t' || c == '\r') {
      if (in_word) words.push_back(std::exchange(word, {}));
      in_word = false;
    } else {
      in_word = true;
      if (c == '"' || c == '\'') {
        quote = c;
      } else if (c == '\\' && i + 1 < line.size()) {
        word.push_back(line[++i]);
      } else {
        word.push_back(c);
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
  const auto [at, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (error != std::errc() || text.empty() || !(value >= 0) || value > 1e12) return std::nullopt;
  static const std::map<std::string_view, double> kUnits = {
      {"", 1e-3}, {"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}, {"d", 86400}};
  const auto unit = kUnits.find(std::string_view(at, static_cast<std::size_t>(end - at)));
  if (unit == kUnits.end()) return std::nullopt;
  return value * unit->second;
}

bool ImportHaproxy(std::string_view text, Import* import, std::string* error) {
  Reader reader(import, error);
  for (int number = 1; !text.empty(); ++number) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const auto words = HaproxyWords(text.substr(0, end));
    if (!words) return *error = "line " + std::to_string(number) + ": a quote is left open", false;
    if (!words->empty() && !reader.Line(number, *words)) return false;
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return reader.Finish();
}

}  // namespace millethollow
