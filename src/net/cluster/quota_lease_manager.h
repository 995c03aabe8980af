// Runs the quota leases of this process: executes the decisions of quota::LeaseHolder and
// quota::Allocator with the transport, the clock and the cluster's view.
#ifndef MILLETHOLLOW_NET_CLUSTER_QUOTA_LEASE_MANAGER_H_
#define MILLETHOLLOW_NET_CLUSTER_QUOTA_LEASE_MANAGER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "membership/types.h"
#include "net/loop.h"
#include "quota/allocator.h"
#include "quota/lease_holder.h"

namespace millethollow::cluster {

// A tenant of the configuration.
struct NamedQuota {
  std::string name;
  double quota = 0;  // requests per second over all members; 0: no quota
};

// Does not own the loop. All calls and callbacks are on the loop's thread.
class QuotaLeaseManager {
 public:
  struct Hooks {
    // Seconds of the machine's clock, which goes on while the machine is suspended.
    std::function<double()> now;
    std::function<const membership::View&()> view;
    // Whether this member holds its membership lease, by a clock read at the time of the call.
    std::function<bool()> holds_lease;
    std::function<void(membership::NodeId to, const quota::Message&)> send;
    // By tenant: requests per second that arrived lately, whether admitted or not.
    std::function<std::vector<double>()> demand;
  };
  struct Options {
    membership::NodeId self = 0;
    membership::ProcessIncarnation process_incarnation = 0;
    std::vector<membership::NodeId> members;     // all members of the cluster, with this one
    std::vector<membership::NodeId> allocators;  // some of these
    std::vector<NamedQuota> tenants;
    quota::LeaseTimings timings;
  };
  // For operators: the names of the tenants that this member allocates, and of those among them
  // whose earlier leases it still waits for.
  struct Allocation {
    std::vector<std::string> tenants, taking_over;
  };

  QuotaLeaseManager(Loop* loop, Options options, Hooks hooks);
  ~QuotaLeaseManager();
  QuotaLeaseManager(const QuotaLeaseManager&) = delete;
  QuotaLeaseManager& operator=(const QuotaLeaseManager&) = delete;

  // False, with a reason of one line, if there are too many tenants or two have the same hash.
  static bool ValidateTenants(const std::vector<NamedQuota>& tenants, std::string* error);

  void Start();
  // To be called when the view may have changed.
  void OnViewChanged();
  void OnMessage(membership::NodeId from, membership::ProcessIncarnation process_incarnation,
                 const quota::Message& message);
  // Changes the quotas of the same tenants, in the order of Options::tenants.
  void SetQuotas(const std::vector<double>& quotas);

  // By tenant: the rate in requests per second that this member may admit; negative for a tenant
  // without a quota. Depends on the time of the call, so it must not be cached.
  std::vector<double> AdmissibleRates() const;
  Allocation CurrentAllocation() const;
  // Prints one metric a line, in the format of GET /stats.
  void PrintMetrics(std::ostream* out) const;

 private:
  std::vector<quota::TenantQuota> TenantQuotas() const;
  bool InView(const membership::View& view) const;
  bool MayAllocate() const;
  void LogAllocationChanges(std::uint64_t epoch);
  void SampleDemand();
  void RunTick();
  void ScheduleTick();

  Loop* loop_;
  Options options_;
  Hooks hooks_;
  std::set<membership::NodeId> allocators_;
  quota::LeaseHolder holder_;
  std::optional<quota::Allocator> allocator_;  // none: this member is no allocator
  std::uint64_t epoch_ = 0;                    // of the last view given to holder and allocator
  std::vector<bool> allocated_;                // by tenant, as last logged
  std::vector<double> demand_;                 // by tenant, as last given to the holder
  Deadlines::TimerId tick_timer_ = Deadlines::kNone, demand_timer_ = Deadlines::kNone;
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_QUOTA_LEASE_MANAGER_H_
