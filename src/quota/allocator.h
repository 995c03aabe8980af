// An allocator's side of quota leases: divides the quotas of the tenants that the agreed view
// assigns to it among the dispatchers, by their reported demand. The sum of all floor rates and of
// all leases that may be in force never exceeds a quota: the lease of a silent dispatcher stays
// reserved until it has ended by that dispatcher's clock. Rates in requests per second, times in
// seconds. No I/O, no clock. Not thread-safe.
#ifndef MILLETHOLLOW_QUOTA_ALLOCATOR_H_
#define MILLETHOLLOW_QUOTA_ALLOCATOR_H_

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "quota/dispatcher_state.h"
#include "quota/tenant_leases.h"
#include "quota/tenant_placement.h"
#include "quota/types.h"

namespace millethollow::quota {

// Counts since the start; `rejected` by RejectReason. A lapse: all leases of a dispatcher have
// expired without renewal.
struct AllocatorCounters {
  std::uint64_t reports = 0, grants = 0, takeovers = 0, lapses = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(RejectReason::kCount)> rejected{};
};

// Allocates the tenants of one member.
class Allocator {
 public:
  // `dispatchers`: every member of the cluster that may hold leases, in the view or not, including
  // this one. `now`: the start of this process, which knows no earlier leases.
  Allocator(NodeId self, const std::vector<NodeId>& dispatchers, std::vector<TenantQuota> tenants,
            const LeaseTimings& timings, double now);

  // The agreed view has changed. Tenants that are new here are taken over: their whole quota counts
  // as leased until every dispatcher has sent a full report in this epoch or later, or until all
  // leases from another allocator have ended.
  void SetView(double now, const AllocatorView& view);
  // Changes the quotas of known tenants; others are ignored. Lower rates are granted at once.
  void SetQuotas(double now, const std::vector<TenantQuota>& tenants);
  // Receives a report of a process of dispatcher `from`. Returns kNone if it was accepted. Each
  // rejection is counted.
  RejectReason OnUsageReport(double now, NodeId from, ProcessIncarnation process_incarnation,
                             const UsageReport& report);
  // Appends the grants that are due. `may_act`: this process incarnation is in the view and holds
  // its membership lease; otherwise nothing is granted.
  void Tick(double now, bool may_act, Actions* actions);
  // When Tick is due; infinity: never.
  double NextTickAt() const;

  bool Allocates(TenantId tenant) const;
  // The rate of a tenant that may be in use above the floor rates; 0 if not allocated here.
  double ReservedRate(double now, TenantId tenant) const;
  // Whether leases from an earlier allocator may be unknown.
  bool IsTakingOver(double now, TenantId tenant) const;
  std::size_t tenants_allocated() const;
  const AllocatorCounters& counters() const { return counters_; }

 private:
  using ExpiryQueue = std::set<std::pair<double, NodeId>>;

  RejectReason Check(const DispatcherState& dispatcher, ProcessIncarnation process_incarnation,
                     const UsageReport& report) const;
  RejectReason CheckUsages(const UsageReport& report) const;
  void ApplyUsage(NodeId from, DispatcherState& dispatcher, const TenantUsage& usage,
                  std::uint64_t full_epoch_before);
  static void ExtendLeases(DispatcherState& dispatcher, double until);
  void MarkWaitingTenantsChanged(DispatcherState& dispatcher);
  void DetectUnreachable(NodeId id, DispatcherState& dispatcher);
  void SetUnreachable(NodeId id, DispatcherState& dispatcher, bool unreachable);
  void EndFullReport(NodeId from, DispatcherState& dispatcher, std::uint64_t full_epoch_before);
  void StartIncarnation(NodeId id, DispatcherState& dispatcher,
                        ProcessIncarnation process_incarnation);

  void StartTakeover(double now, TenantId tenant);
  void EndTakeover(TenantId id, TenantLeases& tenant);
  void EndTakeovers(double now);
  void DropTenant(TenantId tenant);

  void LowerPendingRates(TenantId id, TenantLeases& tenant, double leasable_rps);

  void ExpireLeases(double now);
  void ExpireLeasesOf(double now, NodeId id, DispatcherState& dispatcher);
  void ScheduleExpiry(NodeId id, DispatcherState& dispatcher);

  void DivideChanged(double now);
  void Divide(double now, TenantId id, TenantLeases& tenant);
  void ProbeUnreachable(TenantId id, TenantLeases& tenant);
  bool CanGrant(TenantId tenant, NodeId id);
  void GrantRate(TenantId id, NodeId to, DispatcherShare& share, double rate);
  void SendGrants(Actions* actions);
  void SendGrant(NodeId id, DispatcherState& dispatcher, Actions* actions);

  LeaseTimings timings_;
  AllocatorView view_;
  NodeId self_;
  std::map<TenantId, double> quotas_;
  std::map<TenantId, TenantLeases> tenants_;  // allocated here
  std::map<NodeId, DispatcherState> dispatchers_;
  std::set<TenantId> taking_over_;
  std::set<TenantId> changed_;  // to be divided again
  std::set<NodeId> to_send_;    // dispatchers that a grant is due to
  ExpiryQueue expiries_;        // times of the next checks for expired leases, with the dispatcher
  double ticked_at_;
  bool may_act_ = false;  // at the last Tick
  std::uint64_t last_grant_ = 0;
  AllocatorCounters counters_;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_ALLOCATOR_H_
