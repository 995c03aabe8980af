// Configuration: the platform's LB_* variables and JSON, and the operator's file, which has the
// same form and more.
#ifndef MILLETHOLLOW_CONFIG_CONFIG_H_
#define MILLETHOLLOW_CONFIG_CONFIG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/cluster.h"
#include "millethollow/balancing/load_balancer.h"
#include "scheduling/options.h"

namespace millethollow {

struct GearmanFunction {
  int cls = 0, tenant = 0;
};

struct Config {
  std::string name, listen, admin, discovery, peer_listen, peers_all, known_workers = "{}",
                                                                      log_level = "info";
  std::vector<std::string> peers;
  std::uint64_t seed = 0;
  std::size_t max_sockets = 1024;

  // From the settings.
  balancing::Settings settings;
  std::string text;                // the whole file
  std::vector<bool> class_active;  // by class: may be asked for; false: only open jobs have it yet
  std::vector<std::string> classes, tenants, zones, kinds, columns;
  std::string
      handover_directory;  // folder where a process finds the one that it replaces; empty: none
  double connection_idle_timeout_s = 60, connect_timeout_s = 0.25;

  std::string also;  // a second file that adds the section `scheduling`; empty: none

  // Only in an operator's file.
  scheduling::Options scheduling;
  std::string gearman_listen;
  std::map<std::string, GearmanFunction> gearman_functions;
  int gearman_zone = 0, gearman_kind = 0;
  int gearman_cell = -1;              // -1: each worker is a group of its own
  std::string gearman_path = "/api";  // asked of HTTP workers
  std::string link_directory;         // path of the Unix sockets; empty: one process
  int planners = 1, forwarders = 1;
  ClusterOptions cluster;
};

// Reads a file's text. Unknown keys are ignored; false, with one clear line, if it can't be used.
bool ReadConfig(std::string_view text, Config* config, std::string* error);
// From `path`, or else from $LB_CONFIG, with the other LB_* variables where the file is silent.
bool LoadConfig(const std::string& path, Config* config, std::string* error);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_CONFIG_H_
