// Connects a planner with the other components of its process.
#ifndef MILLETHOLLOW_NODE_NODE_ENVIRONMENT_H_
#define MILLETHOLLOW_NODE_NODE_ENVIRONMENT_H_

#include <optional>
#include <string>

#include "core/planner_environment.h"
#include "net/cluster/member.h"
#include "net/cluster/replicated_durable_jobs.h"
#include "net/discovery.h"
#include "net/handover/hot_restart.h"
#include "net/loop.h"
#include "net/peers.h"

namespace millethollow {

// Passes the planner's requests on to the node's components. Used on the loop's thread.
class NodeEnvironment final : public PlannerEnvironment, private AttemptRecorder {
 public:
  // The node's components, which the node owns; null while there is none.
  struct Components {
    Loop* loop = nullptr;
    int dispatcher_index = 0;  // of this node among its peers
    bool in_cluster = false;
    Discovery* discovery = nullptr;
    Peers* peers = nullptr;
    handover::HotRestart* hot_restart = nullptr;
    cluster::Member* member = nullptr;
    cluster::ReplicatedDurableJobs* durable_jobs = nullptr;
  };

  // For the node, which sets each component when it has created it.
  Components& components() { return components_; }

  double Now() override { return components_.loop->Now(); }
  void Subscribe(bool enable) override;
  void FetchEndpoints() override;
  bool EndpointsOverdue() override;
  void SendPeerMessage(int recipient, const std::string& body) override;
  std::optional<balancing::FleetShare> FleetShare() override;
  void OnWireIdReserved(const std::string& wire_id) override;
  void OnWireIdSent(const std::string& wire_id) override;
  AttemptRecorder* attempt_recorder() override { return components_.in_cluster ? this : nullptr; }
  void Log(const std::string& line) override;

 private:
  void Record(const AttemptRecorder::Attempt& attempt, DoneCallback done) override;

  Components components_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NODE_NODE_ENVIRONMENT_H_
