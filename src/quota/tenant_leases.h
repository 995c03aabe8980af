// What an allocator has granted of one tenant, and may still be in force. Decides only: no I/O, no
// clock.
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

// One dispatcher's part of a tenant.
struct DispatcherShare {
  double demand_rps = 0;
  double confirmed = 0;           // the rate that it has told
  double offer = 0;               // another rate, granted but not told yet
  std::uint64_t offer_grant = 0;  // the number of that grant, 0: there is none
  double most_offered = 0;        // the largest rate since, which may still arrive
  bool inherited = false;         // what is confirmed was granted by an earlier allocator
  bool unreachable = false;  // grants do not reach the dispatcher: its demand counts for nothing
  double former = 0;         // what former lives of the dispatcher may still use

  bool offered() const { return offer_grant != 0; }
  // The rate that it is to have by what was granted last.
  double Intended() const { return offered() ? offer : confirmed; }
  // The most that its present life may use.
  double Current() const { return std::max(confirmed, most_offered); }
  double InForce() const { return Current() + former; }
  bool Empty() const { return demand_rps <= 0 && !offered() && confirmed <= 0 && former <= 0; }

  // The dispatcher tells what it holds. `trusted`: nothing is known of it here yet, so that its
  // word counts; else it can't hold more than it was granted.
  void Confirm(const TenantUsage& usage, bool trusted);
  // Grants another rate, also in place of one that is not told yet.
  void Offer(double rate, std::uint64_t grant);
  // The dispatcher has told all that it holds, and this is not among it.
  void ConfirmNothing();
  // All leases of the present life are over; its demand stays.
  void Lapse();
  // The dispatcher has started again.
  void StartLife();
};

// A rate to be granted to a dispatcher.
struct RateChange {
  NodeId dispatcher = 0;
  double rate_rps = 0;
};

// All of one tenant at its allocator.
struct TenantLeases {
  double leasable = 0;  // of the quota
  std::map<NodeId, DispatcherShare> shares;
  std::uint64_t taken_epoch = 0;  // of the view that brought the tenant here
  bool taking_over = false;       // not all of what others granted is known
  double takeover_ends_at = 0;    // whatever they granted is over
  std::size_t unreported = 0;     // dispatchers that have not told all in taken_epoch or later
  double divided_at = -std::numeric_limits<double>::infinity();

  double InForce() const;
  // The changes that bring rates nearer to the division by demand, none during a takeover. Raises
  // are taken from what is free; what an earlier allocator granted is granted anew. `open`: who can
  // be granted to.
  std::vector<RateChange> Divide(double hysteresis, const std::function<bool(NodeId)>& open) const;

 private:
  struct Wish {
    NodeId dispatcher = 0;
    double from = 0, to = 0;
  };
  std::vector<Wish> Wishes(double hysteresis) const;
  std::vector<RateChange> Granted(const std::vector<Wish>& wishes) const;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_TENANT_LEASES_H_
