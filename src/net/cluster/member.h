// This process as a member of a cluster: carries between the decisions of
// membership::MembershipNode and the sockets, the clock and the disk, and tells what there is to
// know.
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
#include "net/cluster/fact_keeper.h"
#include "net/cluster/frame.h"
#include "net/cluster/log_replicator.h"
#include "net/cluster/quota_keeper.h"
#include "net/cluster/transport.h"
#include "net/loop.h"
#include "store/vote_file.h"

namespace millethollow::cluster {

// Frames that were turned away, by cause.
struct Refusals {
  std::uint64_t garbled = 0, other_cluster = 0, strangers = 0, other_version = 0, unknown = 0;
  std::uint64_t replayed = 0;
};

class Member {
 public:
  // What others said, to be done here too.
  struct Hooks {
    std::function<void(const std::string& worker, bool in_maintenance)> maintain;
    std::function<void(const std::string& worker, double started_at_s, bool gone)> down;
    // By tenant, where quotas are leased: jobs per second that came in lately.
    std::function<std::vector<double>()> tenant_demand = {};
  };
  // Of SetMaintenance: whether another member has it now, and this one's disk where there is a
  // store. False comes when nobody is there, or after kReplicationTimeoutS.
  using ReplicatedCallback = std::function<void(bool elsewhere)>;
  static constexpr double kReplicationTimeoutS = 0.7;  // a caller at the admin address waits 1 s

  // `tenants`: with their quotas, in the order of all that goes by tenant.
  Member(Loop* loop, const ClusterOptions& options, std::vector<NamedQuota> tenants,
         std::uint64_t seed, Hooks hooks);
  ~Member();
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  bool Start(std::string* error);
  // Says that this process goes and gives its lease back.
  void Leave();
  // An operator took a worker out at this node, or put it back: so it is at all.
  void SetMaintenance(const std::string& worker, bool in_maintenance,
                      ReplicatedCallback on_replicated);
  // Discovery told this node that a worker drains or is gone.
  void OnWorkerDown(const std::string& worker, double started_at_s, bool gone);
  bool InMaintenance(const std::string& worker) const {
    return cluster_->maintenance().InMaintenance(worker);
  }
  // Does it know what the others know, or that nobody is there?
  bool Synced() const { return cluster_->maintenance().synced(); }

  // Other quotas of the same tenants.
  void SetQuotas(const std::vector<double>& quotas);

  // With a clock read now, so that a stop that nobody noticed counts.
  bool Leased() const;
  double LeaseLeft() const;             // seconds
  balancing::FleetShare Parts() const;  // of what the whole cluster may do
  const membership::MembershipNode& decisions() const { return *cluster_; }
  // Copies of what members hold for others; null: this one has no store.
  LogReplicator* copies() const { return copies_.get(); }
  static double Now();          // of the machine, counts its pauses
  std::string Figures() const;  // one a line, as at the second address
  std::string Json() const;     // of GET /members

 private:
  // Which numbers of a sender's frames have come: a frame that comes twice is counted and dropped.
  struct Window {
    static constexpr std::size_t kBits = 1024;
    membership::ProcessIncarnation process_incarnation = 0;
    std::uint64_t highest = 0;
    std::bitset<kBits> seen;
    bool Fresh(membership::ProcessIncarnation of, std::uint64_t number);
  };

  struct Waiting {
    ReplicatedCallback on_replicated;
    bool elsewhere = false, kept = false;
    Deadlines::Ticket limit = Deadlines::kNone;
  };
  bool OpenStore(std::uint64_t new_disk, std::string* error);
  void StartCopies();
  void StartQuota();
  void Send(membership::NodeId to, const Body& body);
  void Receive(std::string_view bytes, const sockaddr_in* source);
  void Answer(std::uint64_t number);
  void GiveUp(std::uint64_t number);
  void Keep(membership::MembershipNode::Actions* actions);
  void CarryOut(membership::MembershipNode::Actions* actions);
  void Arm();
  void Tick();
  void Written(std::uint64_t ticket, bool ok);
  const std::string& NameOf(membership::NodeId id) const;

  Loop* loop_;
  ClusterOptions options_;
  std::vector<NamedQuota> tenants_;
  Hooks hooks_;
  std::uint64_t seed_, hash_, draws_ = 0;
  membership::NodeId self_;
  membership::ProcessIncarnation process_incarnation_ = 0;
  std::map<membership::NodeId, std::string> names_;
  Transport transport_;
  std::unique_ptr<membership::MembershipNode> cluster_;
  std::map<membership::NodeId, Window> windows_;
  std::map<membership::NodeId, std::uint64_t> numbers_;
  Refusals refusals_;
  std::map<std::uint64_t, Waiting> waiting_;  // who said something, by its number
  Deadlines::Ticket tick_ = Deadlines::kNone;
  bool was_leased_ = false;
  TaskQueue mail_;
  std::unique_ptr<store::VoteFile> votes_;
  std::unique_ptr<AsyncRecordStore> store_;
  std::unique_ptr<FactKeeper> keeper_;
  std::unique_ptr<LogReplicator> copies_;
  std::unique_ptr<QuotaKeeper> quota_;  // null: quotas are not leased
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_MEMBER_H_
