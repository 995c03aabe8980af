// A dispatcher's side of quota leases: reports demand to the allocators and holds the leases that
// they grant. Rates in requests per second, times in seconds. No I/O, no clock. Not thread-safe.
#ifndef MILLETHOLLOW_QUOTA_LEASE_HOLDER_H_
#define MILLETHOLLOW_QUOTA_LEASE_HOLDER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <vector>

#include "quota/tenant_placement.h"
#include "quota/types.h"

namespace millethollow::quota {

// Counts since the start; `rejected` by RejectReason.
struct LeaseHolderCounters {
  std::uint64_t reports = 0, grants = 0, expiries = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(RejectReason::kCount)> rejected{};
};

// The leases of one dispatcher.
class LeaseHolder {
 public:
  // `dispatchers`: the number of members of the cluster that share each quota, including this one.
  // Every `now` is read from a monotonic clock that counts suspended time.
  LeaseHolder(ProcessIncarnation process_incarnation, std::size_t dispatchers,
              std::vector<TenantQuota> tenants, const LeaseTimings& timings);

  // The agreed view has changed; an older one is ignored. The first view must have this process
  // incarnation as a member: an earlier view may have an allocator that was superseded since, whose
  // grants the dispatcher's earlier process has promised to reject.
  void SetView(double now, const AllocatorView& view);
  // Changes the quotas of known tenants; others are ignored.
  void SetQuotas(double now, const std::vector<TenantQuota>& tenants);
  // Sets the demand for a tenant: the requests per second that arrive. `tenant`: its index at
  // construction.
  void SetDemand(double now, std::size_t tenant, double demand);
  // Returns kNone if the grant was accepted. Each rejection is counted.
  RejectReason OnGrant(double now, NodeId from, const Grant& grant);
  // Appends the reports that are due.
  void Tick(double now, Actions* actions);
  // When Tick is due; infinity: never.
  double NextTickAt() const;

  // The rate that this dispatcher may admit of the tenant: the floor rate and the lease in force,
  // at most the quota.
  double AdmissibleRate(double now, std::size_t tenant) const;
  // The rate of the lease; 0 once it has ended.
  double LeaseRate(double now, std::size_t tenant) const;
  double FloorRate(std::size_t tenant) const;
  std::uint64_t epoch() const { return view_.epoch; }
  const LeaseHolderCounters& counters() const { return counters_; }

 private:
  struct Tenant {
    TenantId id = 0;
    double quota_rps = 0, demand_rps = 0, reported_demand_rps = 0;
    double rate_rps = 0, lease_ends_at = 0;  // of the lease; rate 0: none
    // Of the grant applied last; 0: the lease is from an earlier allocator.
    std::uint64_t grant_number = 0;
    AllocatorMember allocator;  // in the current view; id 0: none
    bool changed = false;       // the lease has changed since the last report
  };
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  struct AllocatorLink {  // reports to one allocator
    std::uint64_t sequence = 0, acked_sequence = 0;
    double reported_at = 0;
    double due_at = kNever;            // the next report of changes
    bool active = false;               // is an allocator in the current view
    bool full_report_pending = false;  // a full report is due, or not acknowledged to its end
    std::uint64_t full_first_sequence = 0,
                  full_last_sequence = 0;  // of the first full report; 0: not sent
    // Index in `tenants` where the full report that has begun goes on; 0: none has begun.
    std::size_t full_report_position = 0;
    double retry_s = 0;                // from an unacknowledged full report to the next
    std::vector<std::size_t> tenants;  // that it allocates: their indices
    std::deque<std::pair<std::uint64_t, double>> sent_reports;  // sequences and sending times
  };

  void ExpireLeases(double now);
  void ReassignTenants(bool views_missed);
  void RebuildLinks(double now);
  void ScheduleReport(double now, NodeId allocator);
  void ScheduleFullReport(double now, NodeId allocator, AllocatorLink& link);
  void AcknowledgeReports(AllocatorLink& link, std::uint64_t acked_sequence);
  RejectReason Check(NodeId from, const Grant& grant) const;
  RejectReason CheckAssignments(NodeId from, const Grant& grant) const;
  bool IsNewer(const AllocatorLink& link, const Grant& grant) const;
  void ExtendLeases(AllocatorLink& link, double until);
  void ApplyAssignment(Tenant& tenant, const Assignment& assignment, double now, double until);
  std::vector<TenantUsage> CollectUsages(double now, AllocatorLink& link);
  bool MustReport(const AllocatorLink& link, const Tenant& tenant) const;
  void SendReport(double now, NodeId allocator, AllocatorLink& link, Actions* actions);
  bool HasChanges(const AllocatorLink& link) const;
  void EndFullReport(AllocatorLink& link);
  double NextDue(const AllocatorLink& link) const;
  bool NeedsRenewal(const AllocatorLink& link) const;

  ProcessIncarnation process_incarnation_;
  std::size_t dispatchers_;
  LeaseTimings timings_;
  AllocatorView view_;
  std::vector<Tenant> tenants_;
  std::map<TenantId, std::size_t> tenant_index_;
  std::map<NodeId, AllocatorLink> links_;
  LeaseHolderCounters counters_;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_LEASE_HOLDER_H_
