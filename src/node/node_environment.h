// Joins a planner to the other parts of its process.
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

// The parts are those of the node, which owns them; null while there is none.
class NodeEnvironment final : public PlannerEnvironment, private AttemptRecorder {
 public:
  struct Parts {
    Loop* loop = nullptr;
    int dispatcher_index = 0;  // this node's, among its peers
    bool in_cluster = false;
    Discovery* discovery = nullptr;
    Peers* peers = nullptr;
    handover::HotRestart* hot_restart = nullptr;
    cluster::Member* member = nullptr;
    cluster::ReplicatedDurableJobs* durable_jobs = nullptr;
  };

  // For the node, which fills them in as it makes them.
  Parts& parts() { return parts_; }

  double Now() override { return parts_.loop->Now(); }
  void Subscribe(bool enable) override;
  void FetchEndpoints() override;
  bool EndpointsOverdue() override;
  void SendPeerMessage(int recipient, const std::string& body) override;
  std::optional<balancing::FleetShare> FleetShare() override;
  void OnWireIdTaken(const std::string& wire_id) override;
  AttemptRecorder* attempt_recorder() override { return parts_.in_cluster ? this : nullptr; }
  void Log(const std::string& line) override;

 private:
  void Record(const AttemptRecorder::Attempt& attempt, Done done) override;

  Parts parts_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NODE_NODE_ENVIRONMENT_H_
