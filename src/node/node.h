// One process of the program: owns its components and connects them.
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
#include "net/cluster/replicated_durable_jobs.h"
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

// The role of a process. Without `link` in the configuration there is a single process with both
// roles.
struct Role {
  enum class Kind : std::uint8_t { kCombined, kPlanner, kForwarder };
  Kind kind = Kind::kCombined;
  int index = 0;  // number among the planners or the forwarders, from 0
};

// The path of a planner's socket, in the directory that the configuration names.
std::string PlannerSocketPath(const Config& config, int planner);

// A process of the load balancer. Has a planner side (planner, discovery, peers), a forwarder side
// (client and worker connections) or both, and, if configured, an admin server, hot restart and
// membership in a cluster.
//
// Not thread-safe: everything runs on the thread that calls Run.
class Node {
 public:
  explicit Node(Config config, Role role = {});
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Opens the sockets and starts all components. After an error the node can't be used.
  Status Start();
  // Handles signals: SIGTERM and SIGINT stop the node, SIGUSR1 prints the counters, SIGHUP reloads
  // the configuration from `config_path`.
  void CatchSignals(std::string config_path);
  // Runs the event loop until the node has stopped.
  void Run();
  // Stops accepting new work, and stops the node once all requests in flight have ended.
  void BeginStop();
  // Reloads the configuration file. An invalid file changes nothing.
  void Reload();
  // Starts or ends a worker's maintenance. Returns false if the worker is unknown.
  bool SetMaintenance(const std::string& worker, bool in_maintenance);

  // Prints the counters and the metrics.
  void PrintCounters(std::ostream& out) const;
  // The metrics as text: see MetricsText.
  std::string Metrics() const;

  Loop& loop() { return loop_; }
  // The addresses that the node listens on, with the ports that the kernel chose for port 0.
  std::string admin_address() const { return admin_->address(); }
  std::string http_address() const { return client_front_->address(); }
  std::string gearman_address() const { return gearman_front_->address(); }
  const Counters& counters() const { return counters_; }

  // For tests with two nodes in one process: runs the predecessor's event loop while this node
  // waits for its state.
  std::function<void()> run_predecessor;

 private:
  // Hot restart and admin server (node.cpp).
  void RequestStateFromPredecessor();
  void ServeSuccessor();
  Status StartAdmin();
  void SetMaintenanceEverywhere(const std::string& worker, bool in_maintenance,
                                admin::AdminServer::Hooks::ResponseCallback answer);
  void CheckStopped();

  // The planner side (node_planner.cpp).
  Status StartPlanner(std::uint64_t seed);
  void ConfigureAsPeer();
  void CreatePlanner(std::uint64_t seed);
  Status ConnectForwarders();
  Status OpenPeers();
  void CreateDiscovery(std::uint64_t seed);
  void ImportInheritedState();
  void AwaitInitialList();
  void AcceptOnceListReceived();
  void SetAddress(const std::string& worker, const std::string& address, std::size_t max_in_flight);
  void OnEndpointList(balancing::EndpointListKind kind, const EndpointList& list);
  void ApplyPeersMaintenance(const EndpointList& list);

  // The forwarder side (node_forwarder.cpp).
  Status StartForwarder();
  Status ListenForClients();
  Status ListenForGearman();
  void CreatePlannerClient();
  http::FrontOptions ActiveNames() const;

  // The cluster (node_cluster.cpp).
  Status StartMember();
  void StartDurableJobs();
  void ServeOnceSynced(double until);
  void LeaveOnceIdle(double until);
  std::vector<cluster::NamedQuota> TenantQuotas() const;

  // Reload (node_reload.cpp).
  void ApplyNamesToFront(const Config& old_config);
  void ApplyQuotas();

  Config config_;
  Role role_;
  Loop loop_;
  Counters counters_;

  NodeEnvironment environment_;
  std::unique_ptr<Planner> planner_;
  std::unique_ptr<Discovery> discovery_;
  std::optional<InitialListGate> initial_list_gate_;  // set until requests are accepted
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<link::PlannerServer> planner_server_;  // for forwarders in other processes

  std::unique_ptr<Forwarder> forwarder_;
  std::unique_ptr<LocalLink> local_link_;  // to the planner in this process
  std::unique_ptr<http::WorkerPool> worker_pool_;
  std::unique_ptr<http::ClientFront> client_front_;
  std::unique_ptr<gearman::Front> gearman_front_;
  std::unique_ptr<link::PlannerClient> planner_client_;  // for planners in other processes

  std::unique_ptr<admin::AdminServer> admin_;
  std::unique_ptr<handover::HotRestart> hot_restart_;
  std::unique_ptr<cluster::Member> member_;
  std::unique_ptr<cluster::ReplicatedDurableJobs> durable_jobs_;  // if the member has a store
  handover::InheritedState inherited_state_;  // from the process that this one replaces

  EventPtr sigterm_event_, sigint_event_, sigusr1_event_, sighup_event_;
  std::string config_path_;
  bool stopping_ = false;
  double flush_until_ = 0;  // seconds on the loop's clock
  // Ends the time in which clients may still use classes that a reload has removed.
  Deadlines::TimerId removed_classes_timer_ = Deadlines::kNone;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NODE_NODE_H_
