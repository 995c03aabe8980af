// An allocator's side of quota leases: it splits the quota of each tenant that the agreed view
// gives it over the dispatchers, by what they report. The sum of all floors and of all leases that
// may still be in force at any dispatcher is never above the quota: what a silent dispatcher may
// still use stays reserved until its lease is over by that dispatcher's clock. Decides only: no
// I/O, no clock.
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

// Events at an allocator since it started; `refused` by cause.
struct AllocatorCounters {
  std::uint64_t reports = 0, grants = 0, takeovers = 0, lapses = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(RejectReason::kCount)> rejected{};
};

// The tenants that one member allocates.
class Allocator {
 public:
  // `dispatchers`: every member of the cluster, in the view or not, that may hold leases; this one
  // among them. `now`: this process has just started, and knows nothing of leases given before.
  Allocator(NodeId self, std::vector<NodeId> dispatchers, std::vector<TenantQuota> tenants,
            const LeaseTimings& timings, double now);

  // The agreed view has changed. Tenants that are new here are taken over: their whole quota counts
  // as leased until every dispatcher has reported in this epoch or later, or until whatever another
  // allocator may have granted is over.
  void SetView(double now, const AllocatorView& view);
  // Other quotas of the same tenants, from the settings. A lower one is pushed at once.
  void SetQuotas(double now, const std::vector<TenantQuota>& tenants);
  // A report of the process `life` of dispatcher `from` came. Nothing changes unless kNone is
  // returned; each refusal is counted.
  RejectReason OnUsageReport(double now, NodeId from, ProcessIncarnation process_incarnation,
                             const UsageReport& report);
  // Appends the grants that are due. `may_act`: this process, named with its life in the view,
  // holds its place there now; where it does not, nothing is granted.
  void Tick(double now, bool may_act, Actions* actions);
  // When Tick is due next; infinity: never.
  double NextTickAt() const;

  bool Allocates(TenantId tenant) const;
  // What may be in use of a tenant beside the floors, 0 for one that is not allocated here.
  double ReservedRate(double now, TenantId tenant) const;
  // While a takeover is not over.
  bool IsTakingOver(double now, TenantId tenant) const;
  std::size_t tenants_allocated() const;
  const AllocatorCounters& counters() const { return counters_; }

 private:
  using Due = std::set<std::pair<double, NodeId>>;

  RejectReason Check(const Dispatcher& dispatcher, ProcessIncarnation process_incarnation,
                     const UsageReport& report) const;
  RejectReason CheckUsages(const UsageReport& report) const;
  void TakeUsage(NodeId from, Dispatcher& dispatcher, const TenantUsage& usage,
                 std::uint64_t full_epoch_before);
  static void ExtendLeases(Dispatcher& dispatcher, double until);
  void ReleaseWaiting(Dispatcher& dispatcher);
  void CheckReachable(NodeId id, Dispatcher& dispatcher);
  void SetUnreachable(NodeId id, Dispatcher& dispatcher, bool unreachable);
  void EndFullReport(NodeId from, Dispatcher& dispatcher, std::uint64_t full_epoch_before);
  void StartLife(NodeId id, Dispatcher& dispatcher, ProcessIncarnation process_incarnation);

  void TakeOver(double now, TenantId tenant);
  void EndTakeover(TenantId id, TenantLeases& tenant);
  void EndTakeovers(double now);
  void Drop(TenantId tenant);

  void LowerOffers(TenantId id, TenantLeases& tenant, double leasable);

  void EndLeases(double now);
  void EndLeasesOf(double now, NodeId id, Dispatcher& dispatcher);
  void ScheduleEnd(NodeId id, Dispatcher& dispatcher);

  void DivideChanged(double now);
  void Divide(double now, TenantId id, TenantLeases& tenant);
  void ProbeUnreachable(TenantId id, TenantLeases& tenant);
  bool CanOffer(TenantId tenant, NodeId id);
  void Offer(TenantId id, NodeId to, DispatcherShare& share, double rate);
  void SendGrants(Actions* actions);
  void SendGrant(NodeId id, Dispatcher& dispatcher, Actions* actions);

  LeaseTimings timings_;
  AllocatorView view_;
  NodeId self_;
  std::map<TenantId, double> quotas_;
  std::map<TenantId, TenantLeases> tenants_;  // allocated here
  std::map<NodeId, Dispatcher> dispatchers_;
  std::set<TenantId> taking_over_;
  std::set<TenantId> changed_;  // to be divided again
  std::set<NodeId> to_send_;    // dispatchers that a grant is due to
  Due ends_;                    // of leases: when to look, at which dispatcher
  double ticked_at_;
  bool acts_ = false;  // at the last Tick
  std::uint64_t last_grant_ = 0;
  AllocatorCounters counters_;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_ALLOCATOR_H_
