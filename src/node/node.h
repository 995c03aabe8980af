// One process of the program: owns its parts and joins them.
#ifndef MILLETHOLLOW_NODE_NODE_H_
#define MILLETHOLLOW_NODE_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/local_link.h"
#include "core/planner.h"
#include "millethollow/error.h"
#include "net/admin/admin_server.h"
#include "net/cluster/member.h"
#include "net/cluster/promised_jobs.h"
#include "net/discovery.h"
#include "net/forwarder.h"
#include "net/gearman/front.h"
#include "net/handover/hot_restart.h"
#include "net/http/client_front.h"
#include "net/http/worker_pool.h"
#include "net/link/link.h"
#include "net/loop.h"
#include "net/peers.h"
#include "net/poll_backoff.h"
#include "node/node_environment.h"

namespace millethollow {

// What a process does. Without `link` in the configuration there is one, which does both.
struct Role {
  enum class Kind : std::uint8_t { kCombined, kPlanner, kForwarder };
  Kind kind = Kind::kCombined;
  int index = 0;  // among the planners or the forwarders
};

// The socket of a planner, in the folder that the configuration names.
std::string PlannerSocketPath(const Config& config, int planner);

// Has a planner side (planner, discovery, peers), a forwarder side (client and worker connections)
// or both, and where configured an admin address, a hot restart and membership of a cluster.
//
// Not thread-safe: all runs on the thread that calls Run.
class Node {
 public:
  explicit Node(Config config, Role role = {});
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Opens the sockets and starts all parts. After an error the node can't be used.
  Status Start();
  // SIGTERM and SIGINT stop it, SIGUSR1 prints the counters, SIGHUP has `config_path` read again.
  void CatchSignals(std::string config_path);
  void Run();  // returns once it has stopped
  // Accepts nothing new, and stops once all that is in flight has ended.
  void BeginStop();
  // Applies the configuration file as it is now. One that can't be used changes nothing.
  void Reload();
  // Takes a worker out of service or puts it back. False: no such worker is known.
  bool SetMaintenance(const std::string& worker, bool in_maintenance);

  void PrintCounters(std::ostream& out) const;
  std::string Figures() const;  // see MetricsText

  Loop& loop() { return loop_; }
  std::string admin_address() const { return admin_->address(); }
  std::string http_address() const { return front_->address(); }
  std::string gearman_address() const { return gearman_->address(); }
  const Counters& counters() const { return counters_; }

  // For tests with two nodes in one process: runs the other while this one waits for its state.
  std::function<void()> while_waiting;

 private:
  // Hot restart and admin address (node.cpp).
  void RequestStateFromPredecessor();
  void ServeSuccessor();
  Status StartAdmin();
  void SetMaintenanceEverywhere(const std::string& worker, bool in_maintenance,
                                admin::AdminServer::Hooks::ResponseCallback answer);
  void CheckStopped();

  // The planner side (node_planner.cpp).
  Status StartPlanner(std::uint64_t seed);
  void ConfigureAsPeer();
  void MakePlanner(std::uint64_t seed);
  Status ConnectForwarders();
  Status OpenPeers();
  void MakeDiscovery(std::uint64_t seed);
  void ImportInheritedState();
  void AwaitFirstList();
  void AcceptOnceListed();
  void SetAddress(const std::string& worker, const std::string& address, std::size_t max_in_flight);
  void OnList(balancing::EndpointListKind kind, const ServerList& list);
  void ApplyPeersMaintenance(const ServerList& list);

  // The forwarder side (node_forwarder.cpp).
  Status StartForwarder();
  Status ListenForClients();
  Status ListenForGearman();
  void MakePlannerClient();
  http::Names ActiveNames() const;

  // The cluster (node_cluster.cpp).
  Status StartMember();
  void StartDurableJobs();
  void ServeOnceSynced(double until);
  void LeaveOnceIdle(double until);
  std::vector<cluster::NamedQuota> TenantQuotas() const;

  // Reload (node_reload.cpp).
  void ApplyToClients(const Config& before);
  void ApplyQuotas();

  Config config_;
  Role role_;
  Loop loop_;
  Counters counters_;

  NodeEnvironment environment_;
  std::unique_ptr<Planner> planner_;
  std::unique_ptr<Discovery> discovery_;
  std::optional<InitialListGate> initial_list_gate_;  // until requests are accepted
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<link::PlannerServer> server_;  // for forwarders in other processes

  std::unique_ptr<Forwarder> forwarder_;
  std::unique_ptr<LocalLink> local_link_;  // to the planner in this process
  std::unique_ptr<http::WorkerPool> pool_;
  std::unique_ptr<http::ClientFront> front_;
  std::unique_ptr<gearman::Front> gearman_;
  std::unique_ptr<link::PlannerClient> client_;  // to planners in other processes

  std::unique_ptr<admin::AdminServer> admin_;
  std::unique_ptr<handover::HotRestart> hot_restart_;
  std::unique_ptr<cluster::Member> member_;
  std::unique_ptr<cluster::PromisedJobs> promised_;  // where the member has a store
  handover::InheritedState inherited_;               // from the process that this one replaces

  EventPtr term_, interrupt_, usr1_, hangup_;
  std::string config_path_;
  bool stopping_ = false;
  double flush_until_ = 0;                          // on the loop's clock
  Deadlines::Ticket old_names_ = Deadlines::kNone;  // when classes that a reload ended are dropped
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NODE_NODE_H_
