// A dispatcher's side of quota leases: it tells allocators its demand, and knows at each moment
// what rate of each tenant it may admit. Decides only: no I/O, no clock.
#ifndef MILLETHOLLOW_QUOTA_HOLDER_H_
#define MILLETHOLLOW_QUOTA_HOLDER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "quota/placement.h"
#include "quota/types.h"

namespace millethollow::quota {

struct HolderCounters {
  std::uint64_t reports = 0, grants = 0, expiries = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(Refusal::kCount)> refused{};
};

class Holder {
 public:
  // `dispatchers`: how many members of the cluster share each quota, this one among them.
  // The clock of every `now` counts pauses and never runs back, in seconds.
  Holder(NodeId self, std::size_t dispatchers, std::vector<TenantQuota> tenants,
         const Timings& timings);

  // The agreed view has changed. An older one than is known is left out.
  void SetView(double now, const AllocatorView& view);
  // Other quotas of the same tenants, from the settings.
  void SetQuotas(double now, const std::vector<TenantQuota>& tenants);
  // What came in of a tenant lately, in jobs per second. `tenant`: its index at construction.
  void SetDemand(double now, std::size_t tenant, double demand);
  // A grant came. Nothing changes unless kNone is returned; each refusal is counted.
  Refusal Hear(double now, NodeId from, const Grant& grant);
  // Appends the reports that are due.
  void Tick(double now, Actions* actions);
  // When Tick is due next; infinity: never.
  double NextAt() const;

  // What this dispatcher may admit of the tenant, in jobs per second: its floor, and its lease
  // while it is in force. Never more than the quota.
  double Rate(double now, std::size_t tenant) const;
  // The lease alone, 0 once it is over.
  double Lease(double now, std::size_t tenant) const;
  double Floor(std::size_t tenant) const;
  std::uint64_t epoch() const { return view_.epoch; }
  const HolderCounters& counters() const { return counters_; }

 private:
  struct Tenant {
    TenantId id = 0;
    double quota = 0, demand = 0, told_demand = 0;
    double rate = 0, until = -1;  // of the lease
    std::uint64_t grant = 0;
    std::uint64_t epoch = 0;  // of the grant applied last
    NodeId allocator = 0;     // in the view that is known
    bool changed = false;     // to be told with the next report
  };
  struct Link {  // to one allocator
    Life life = 0;
    std::uint64_t sequence = 0, heard_answer = 0;
    double reported_at = -1e18, due_at = 0;
    bool full = true;
    std::deque<std::pair<std::uint64_t, double>> sent;  // sequence, and when; bounded
  };

  NodeId self_;
  std::size_t dispatchers_;
  Timings timings_;
  AllocatorView view_;
  std::vector<Tenant> tenants_;
  std::map<TenantId, std::size_t> index_;
  std::map<NodeId, Link> links_;
  HolderCounters counters_;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_HOLDER_H_
