// This process as a member of a cluster: executes the decisions of membership::MembershipNode with
// the transport, the clock and the disk, and runs the replicated logs and quota leases on top of
// them.
#ifndef MILLETHOLLOW_NET_CLUSTER_MEMBER_H_
#define MILLETHOLLOW_NET_CLUSTER_MEMBER_H_

#include <bitset>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/cluster.h"
#include "membership/membership_node.h"
#include "millethollow/balancing/load_balancer.h"
#include "net/cluster/async_record_store.h"
#include "net/cluster/frame.h"
#include "net/cluster/log_replicator.h"
#include "net/cluster/maintenance_store.h"
#include "net/cluster/quota_lease_manager.h"
#include "net/cluster/transport.h"
#include "net/loop.h"
#include "store/vote_file.h"

namespace millethollow::cluster {

// Numbers of received frames that were rejected, by reason.
struct RejectedFrames {
  std::uint64_t corrupt = 0, other_cluster = 0, unknown_sender = 0, other_version = 0,
                unknown_kind = 0;
  std::uint64_t replayed = 0;
};

// Does not own the loop. All calls and callbacks are on the loop's thread.
class Member {
 public:
  // set_maintenance and on_worker_down report what other members decided or noticed, to be applied
  // at this node too.
  struct Hooks {
    std::function<void(const std::string& worker, bool in_maintenance)> set_maintenance;
    // A worker drains, or is gone. `started_at_s` tells its processes apart (Unix time).
    std::function<void(const std::string& worker, double started_at_s, bool gone)> on_worker_down;
    // By tenant, if quotas are leased: requests per second that arrived lately.
    std::function<std::vector<double>()> tenant_demand = {};
  };
  // The result of SetMaintenance. True: another member has stored the change, and so has this one
  // if it has a store. False: no other member can be reached, or kReplicationTimeoutS has passed.
  using ReplicatedCallback = std::function<void(bool replicated)>;
  static constexpr double kReplicationTimeoutS = 0.7;  // callers at the admin address wait 1 s

  // `tenants`: with their quotas, in the order of the configuration, which every list by tenant
  // follows. `seed` must differ between processes.
  Member(Loop* loop, const ClusterOptions& options, std::vector<NamedQuota> tenants,
         std::uint64_t seed, Hooks hooks);
  ~Member();
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  // Opens the stores, blocking, and the sockets; false, with a reason, if that fails. To be called
  // once, before all that follows.
  bool Start(std::string* error);
  // Announces that this process ends, and releases its lease.
  void Leave();
  // An operator put a worker into maintenance at this node, or took it out: replicates that to all
  // members.
  void SetMaintenance(const std::string& worker, bool in_maintenance,
                      ReplicatedCallback on_replicated);
  // The endpoint list of this node says that a worker drains or is gone.
  void OnWorkerDown(const std::string& worker, double started_at_s, bool gone);
  bool InMaintenance(const std::string& worker) const {
    return membership_->maintenance().InMaintenance(worker);
  }
  // Whether this member has the maintenance records of the others, or no other member is there.
  bool Synced() const { return membership_->maintenance().synced(); }

  // Changes the quotas of the same tenants.
  void SetQuotas(const std::vector<double>& quotas);

  // By a clock read at the time of the call, so that a pause of the process counts.
  bool HoldsLease() const;
  double LeaseRemaining() const;  // seconds
  // The share of the whole cluster's capacity and quotas that this member may use now.
  balancing::FleetShare CurrentFleetShare() const;
  const membership::MembershipNode& membership_node() const { return *membership_; }
  // Null if this member has no store.
  LogReplicator* log_replicator() const { return log_replicator_.get(); }
  // Seconds of the machine's clock, which goes on while the machine is suspended.
  static double Now();
  std::string Metrics() const;      // one a line, in the format of GET /stats
  std::string MembersJson() const;  // the body of GET /members

 private:
  // The sequence numbers received from one sender. Frames that were received before, or whose
  // number is too far behind the highest, are rejected as replayed. A new process incarnation of
  // the sender starts afresh.
  struct ReplayWindow {
    static constexpr std::size_t kBits = 1024;
    membership::ProcessIncarnation process_incarnation = 0;
    std::uint64_t highest = 0;
    std::bitset<kBits> received;  // bit i: number `highest` - i
    bool AcceptSequence(membership::ProcessIncarnation incarnation, std::uint64_t sequence);
  };

  // A call of SetMaintenance that waits for another member and this member's disk.
  struct PendingMaintenance {
    ReplicatedCallback on_replicated;
    bool replicated = false, stored = false;
    Deadlines::TimerId timeout = Deadlines::kNone;
  };
  bool OpenStore(std::uint64_t new_store_id, std::string* error);
  void StartLogReplication();
  void StartQuota();
  void Send(membership::NodeId to, const Body& body);
  void Receive(std::string_view bytes, const sockaddr_in* source);
  void CompleteMaintenance(std::uint64_t change_number);
  void FailMaintenance(std::uint64_t change_number);
  void StoreMaintenance(membership::MembershipNode::Actions* actions);
  void ExecuteActions(membership::MembershipNode::Actions* actions);
  void ScheduleTick();
  void Tick();
  void OnVotesWritten(std::uint64_t ticket, bool ok);
  const std::string& MemberName(membership::NodeId id) const;

  Loop* loop_;
  ClusterOptions options_;
  std::vector<NamedQuota> tenants_;
  Hooks hooks_;
  std::uint64_t seed_, cluster_hash_, store_ids_drawn_ = 0;
  membership::NodeId self_;
  membership::ProcessIncarnation process_incarnation_ = 0;
  std::map<membership::NodeId, std::string> member_names_;
  Transport transport_;
  std::unique_ptr<membership::MembershipNode> membership_;
  std::map<membership::NodeId, ReplayWindow> replay_windows_;   // by sender
  std::map<membership::NodeId, std::uint64_t> last_sequences_;  // by receiver
  RejectedFrames rejected_;
  std::map<std::uint64_t, PendingMaintenance> pending_maintenance_;  // by number of the change
  Deadlines::TimerId tick_timer_ = Deadlines::kNone;
  bool held_lease_ = false;  // as last logged
  TaskQueue task_queue_;
  std::unique_ptr<store::VoteFile> vote_file_;           // null: this member has no store
  std::unique_ptr<AsyncRecordStore> store_;              // null: this member has no store
  std::unique_ptr<MaintenanceStore> maintenance_store_;  // null: this member has no store
  std::unique_ptr<LogReplicator> log_replicator_;        // null: this member has no store
  std::unique_ptr<QuotaLeaseManager> quota_manager_;     // null: quotas are not leased
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_MEMBER_H_
