// The wiring of one process: on the platform a planner and a forwarder on one loop, joined in
// process; in a two-level deployment one of the two, joined by the socket link.
#ifndef MILLETHOLLOW_NODE_NODE_H_
#define MILLETHOLLOW_NODE_NODE_H_

#include <memory>
#include <optional>
#include <ostream>
#include <string>

#include "config/config.h"
#include "core/planner.h"
#include "net/admin/admin_server.h"
#include "net/cluster/member.h"
#include "net/cluster/promised_jobs.h"
#include "net/discovery.h"
#include "net/forwarder.h"
#include "net/gearman/front.h"
#include "net/handover/succession.h"
#include "net/http/client_front.h"
#include "net/http/worker_pool.h"
#include "net/link/link.h"
#include "net/loop.h"
#include "net/peers.h"
#include "net/poll_backoff.h"

namespace millethollow {

struct Role {
  enum class Kind : std::uint8_t { kCombined, kPlanner, kForwarder };
  Kind kind = Kind::kCombined;
  int index = 0;  // among the planners or the forwarders
};

// The socket of a planner, under the folder that the configuration names.
std::string PlannerSocketPath(const Config& config, int planner);

class Node {
 public:
  explicit Node(Config config, Role role = {});
  ~Node();
  bool Start(std::string* why);
  // SIGTERM and SIGINT stop it, SIGUSR1 prints the counters, SIGHUP has `config_path` read again.
  void CatchSignals(std::string config_path);
  void Reload();
  std::function<void()> while_waiting;  // for a process that we replace; for tests in one process
  void Run();                           // until it has stopped
  void BeginStop();
  // An operator takes a worker out, or puts it back; false if it is not known.
  bool SetMaintenance(const std::string& worker, bool out);
  void SetMaintenanceEverywhere(const std::string& worker, bool out,
                                admin::AdminServer::Hooks::Answer answer);
  void PrintCounters(std::ostream& out) const;
  std::string Figures() const;  // one a line, as at the second address
  std::string admin_address() const { return admin_->address(); }

  Loop& loop() { return loop_; }
  std::string http_address() const { return front_->address(); }
  std::string gearman_address() const { return gearman_->address(); }
  const Counters& counters() const { return counters_; }

 private:
  bool StartPlanner(std::uint64_t seed, std::string* why);
  bool StartForwarder(std::string* why);
  void SetAddress(const std::string& worker, const std::string& address, std::size_t most_out);
  void OnList(balancing::EndpointListKind kind, const ServerList& list);
  void CheckStopped();
  bool StartMember(std::string* why);
  void ServeOnceSynced(double until);
  void TakeOnceListed();
  void LeaveOnceIdle(double until);
  std::vector<cluster::NamedQuota> TenantQuotas() const;
  http::Names NamesNow() const;

  Config config_;
  Role role_;
  Loop loop_;
  Counters counters_;
  // The planner's side.
  std::unique_ptr<Planner> planner_;
  std::unique_ptr<Discovery> discovery_;
  std::optional<InitialListGate> initial_list_gate_;  // until requests are taken
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<link::PlannerServer> server_;
  // The forwarder's side.
  std::unique_ptr<Forwarder> forwarder_;
  std::unique_ptr<LocalLink> local_link_;
  std::unique_ptr<http::WorkerPool> pool_;
  std::unique_ptr<http::ClientFront> front_;
  std::unique_ptr<gearman::Front> gearman_;
  std::unique_ptr<link::PlannerClient> client_;
  std::unique_ptr<admin::AdminServer> admin_;
  std::unique_ptr<handover::Succession> succession_;
  std::unique_ptr<cluster::Member> member_;          // of a cluster, where there is one
  std::unique_ptr<cluster::PromisedJobs> promised_;  // where it has a store
  handover::Claimed claimed_;                        // from the process before
  EventPtr term_, interrupt_, usr1_, hangup_;
  std::string config_path_;
  bool stopping_ = false;
  double flush_until_ = 0;
  Deadlines::Ticket left_out_ = Deadlines::kNone;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NODE_NODE_H_
