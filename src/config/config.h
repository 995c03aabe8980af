// Configuration of the program: a JSON file and the LB_* environment variables. The platform's file
// and an operator's file have the same form; the operator's may have more sections.
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

// Indices of the class and the tenant of the jobs of one Gearman function.
struct GearmanFunction {
  int class_index = 0, tenant = 0;
};

// Configuration of a process.
struct Config {
  // Addresses are IPv4 address:port; empty: not used. `peers_all` is an address that reaches all
  // peers. `known_workers`: the worker list of the file, as JSON; {} if the file has none.
  std::string name, listen, admin, discovery, peer_listen, peers_all, known_workers = "{}",
                                                                      log_level = "info";
  std::vector<std::string> peers;  // addresses
  std::uint64_t seed = 0;          // of the random number generators
  std::size_t max_sockets = 1024;
  std::size_t max_memory_mb = 0;  // 0: not limited

  // From the section `settings`.
  balancing::Settings settings;
  std::string text;  // the whole file
  // By class index: whether the class takes new requests. False: only open jobs still refer to it.
  std::vector<bool> class_active;
  std::vector<std::string> classes, tenants, zones, kinds, columns;  // names, by index
  // Directory of the socket through which a new process reaches the one that it replaces; empty: no
  // hot restart.
  std::string handover_directory;
  double connection_idle_timeout_s = 60, connect_timeout_s = 0.25;

  std::string scheduling_path;  // a second file, with the section `scheduling` only; empty: none

  // Only in an operator's file.
  scheduling::Options scheduling;
  std::string gearman_listen;
  std::map<std::string, GearmanFunction> gearman_functions;  // by function name
  int gearman_zone = 0, gearman_kind = 0;
  int gearman_cell = -1;              // -1: each worker is a cell of its own
  std::string gearman_path = "/api";  // request target of Gearman jobs that HTTP workers run
  std::string link_directory;         // directory of the planners' sockets; empty: one process
  int planners = 1, forwarders = 1;   // numbers of processes
  ClusterOptions cluster;
};

// Parses the text of a file. Unknown keys are ignored, except in the sections `cluster` and
// `scheduling`, where they are errors. Returns false and sets a one-line `error` if the file is
// invalid.
bool ReadConfig(std::string_view text, Config* config, std::string* error);
// Reads the file at `path`, or at $LB_CONFIG if `path` is empty. The other LB_* variables supply
// what the file does not set.
bool LoadConfig(const std::string& path, Config* config, std::string* error);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_CONFIG_H_
