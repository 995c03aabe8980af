// A dispatcher's side of quota leases: it tells allocators its demand, and knows at each moment
// what rate of each tenant it may admit. Decides only: no I/O, no clock.
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

// Events at a dispatcher since it started; `refused` by cause.
struct LeaseHolderCounters {
  std::uint64_t reports = 0, grants = 0, expiries = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(RejectReason::kCount)> rejected{};
};

// The leases of one dispatcher.
class LeaseHolder {
 public:
  // `life`: of this process. `dispatchers`: how many members of the cluster share each quota, this
  // one among them. The clock of every `now` counts pauses and never runs back, in seconds.
  LeaseHolder(ProcessIncarnation process_incarnation, std::size_t dispatchers,
              std::vector<TenantQuota> tenants, const LeaseTimings& timings);

  // The agreed view has changed. An older one than is known is left out. The first one has this
  // very life as a member: a view from before it started could have an allocator that was replaced
  // since, whose grants this dispatcher's former life has promised not to take any more.
  void SetView(double now, const AllocatorView& view);
  // Other quotas of the same tenants, from the settings.
  void SetQuotas(double now, const std::vector<TenantQuota>& tenants);
  // What came in of a tenant lately, in jobs per second. `tenant`: its index at construction.
  void SetDemand(double now, std::size_t tenant, double demand);
  // A grant came. Nothing changes unless kNone is returned; each refusal is counted.
  RejectReason OnGrant(double now, NodeId from, const Grant& grant);
  // Appends the reports that are due.
  void Tick(double now, Actions* actions);
  // When Tick is due next; infinity: never.
  double NextTickAt() const;

  // What this dispatcher may admit of the tenant, in jobs per second: its floor, and its lease
  // while it is in force. Never more than the quota.
  double AdmissibleRate(double now, std::size_t tenant) const;
  // The lease alone, 0 once it is over.
  double LeaseRate(double now, std::size_t tenant) const;
  double FloorRate(std::size_t tenant) const;
  std::uint64_t epoch() const { return view_.epoch; }
  const LeaseHolderCounters& counters() const { return counters_; }

 private:
  struct Tenant {
    TenantId id = 0;
    double quota_rps = 0, demand_rps = 0, reported_demand_rps = 0;
    double rate_rps = 0, until = 0;  // of the lease
    // Applied last, of this allocator; 0: the lease is of an earlier one.
    std::uint64_t grant_number = 0;
    AllocatorMember allocator;  // in the view that is known; id 0: none
    bool changed = false;       // beside its demand: to be told with the next report
  };
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  struct Link {  // to one allocator
    std::uint64_t sequence = 0, heard_answer = 0;
    double reported_at = 0;
    double due_at = kNever;  // the next report, if it is due for news
    bool active = false;     // allocates in the view that is known
    bool full = false;       // all is to be told, until a report that ends it is answered
    std::uint64_t full_begin = 0, full_end = 0;  // sequences of the first full report; 0: not yet
    std::size_t reported_tenants = 0;            // tenants passed by the full report under way
    double retry_s = 0;                          // from a full report to the next, unanswered
    std::vector<std::size_t> tenants;            // that it allocates, by index
    std::deque<std::pair<std::uint64_t, double>> sent;  // sequence, and when; bounded
  };

  void ExpireLeases(double now);
  void MoveTenants(bool views_missed);
  void RenewLinks(double now);
  void MakeDue(double now, NodeId allocator);
  void WantFull(double now, NodeId allocator, Link& link);
  void TakeAnswer(Link& link, std::uint64_t acked_sequence);
  RejectReason Check(NodeId from, const Grant& grant) const;
  RejectReason CheckAssignments(NodeId from, const Grant& grant) const;
  bool IsNews(const Link& link, const Grant& grant) const;
  void Prolong(Link& link, double until);
  void Apply(Tenant& tenant, const Assignment& assignment, double now, double until);
  std::vector<TenantUsage> TakeUsages(double now, Link& link);
  bool IsToTell(const Link& link, const Tenant& tenant) const;
  void SendReport(double now, NodeId allocator, Link& link, Actions* actions);
  bool HasChanges(const Link& link) const;
  void EndFullReport(Link& link);
  double NextDue(const Link& link) const;
  bool NeedsRenewal(const Link& link) const;

  ProcessIncarnation process_incarnation_;
  std::size_t dispatchers_;
  LeaseTimings timings_;
  AllocatorView view_;
  std::vector<Tenant> tenants_;
  std::map<TenantId, std::size_t> index_;
  std::map<NodeId, Link> links_;
  LeaseHolderCounters counters_;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_LEASE_HOLDER_H_
