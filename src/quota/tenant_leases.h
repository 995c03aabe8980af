// The leases of one tenant at its allocator: rates granted, and rates that may still be in force.
// Rates in requests per second. No I/O, no clock.
#ifndef MILLETHOLLOW_QUOTA_TENANT_LEASES_H_
#define MILLETHOLLOW_QUOTA_TENANT_LEASES_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <vector>

#include "quota/types.h"

namespace millethollow::quota {

// One dispatcher's share of a tenant's quota.
struct DispatcherShare {
  double demand_rps = 0;
  double confirmed_rps = 0;  // by its last report
  double pending_rps = 0;    // a newer rate, granted but not yet confirmed by a report
  std::uint64_t pending_grant_number = 0;  // of that rate; 0: none is pending
  double max_pending_rps = 0;              // the largest one since; its grant may still arrive
  bool inherited = false;                  // confirmed_rps was granted by an earlier allocator
  bool unreachable = false;  // grants don't reach the dispatcher: its demand counts as 0
  double earlier_rps = 0;    // that earlier processes of the dispatcher may still use

  bool has_pending() const { return pending_grant_number != 0; }
  // The rate granted last.
  double IntendedRate() const { return has_pending() ? pending_rps : confirmed_rps; }
  // The maximum that the current process may use.
  double CurrentRate() const { return std::max(confirmed_rps, max_pending_rps); }
  // The maximum that all processes of the dispatcher may use.
  double RateInForce() const { return CurrentRate() + earlier_rps; }
  bool Empty() const {
    return demand_rps <= 0 && !has_pending() && confirmed_rps <= 0 && earlier_rps <= 0;
  }

  // The dispatcher has reported its usage. `trusted`: the report is the only source, as in a
  // takeover; otherwise the lease counts up to what was granted here.
  void Confirm(const TenantUsage& usage, bool trusted);
  // Grants another rate, which replaces a pending one.
  void GrantRate(double rate, std::uint64_t grant);
  // A full report left the tenant out: the dispatcher has neither demand nor lease.
  void ConfirmNothing();
  // The leases of the current process have ended; its demand stays.
  void Expire();
  // The dispatcher has restarted.
  void StartIncarnation();
};

// A rate to be granted to a dispatcher.
struct RateChange {
  NodeId dispatcher = 0;
  double rate_rps = 0;
};

// The leases of one tenant at all dispatchers.
struct TenantLeases {
  double leasable_rps = 0;  // the part of the quota that is leased
  std::map<NodeId, DispatcherShare> shares;
  std::uint64_t takeover_epoch = 0;  // of the view that brought the tenant here
  bool taking_over = false;          // leases from an earlier allocator may be unknown
  double takeover_ends_at = 0;       // all leases from earlier allocators have ended
  // Dispatchers without a complete full report in takeover_epoch or later.
  std::size_t unreported_dispatchers = 0;
  double divided_at = -std::numeric_limits<double>::infinity();

  // The maximum that all dispatchers together may use above their floor rates.
  double RateInForce() const;
  // The changes that bring rates nearer to the division by demand; none during a takeover. Raises
  // use only rate that is not in force elsewhere; inherited leases are granted again. `can_grant`:
  // whether a dispatcher can be granted a rate now.
  std::vector<RateChange> Divide(double hysteresis,
                                 const std::function<bool(NodeId)>& can_grant) const;

 private:
  struct ProposedChange {
    NodeId dispatcher = 0;
    double from = 0, to = 0;
  };
  std::vector<ProposedChange> ProposedChanges(double hysteresis) const;
  // Scales the raises down to the rate that is not in force.
  std::vector<RateChange> FitToFreeRate(const std::vector<ProposedChange>& proposals) const;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_TENANT_LEASES_H_
