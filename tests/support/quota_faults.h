// Faults that are built into the world of quota leases on purpose: a check that does not find them
// proves nothing. Each is made outside the decisions, by other timings or by tampered messages.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_QUOTA_FAULTS_H_
#define MILLETHOLLOW_TESTS_SUPPORT_QUOTA_FAULTS_H_

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "quota/types.h"

namespace millethollow::quota {

struct PlantedFaults {
  bool half_span_reserved = false;        // allocators give a lease again after half its span
  bool drift_left_out = false;            // ... or at its end by the allocator's own clock
  bool takeover_forgets_leases = false;   // allocators begin with the whole quota free
  bool earlier_grants_forgotten = false;  // ... or wait for a span, not for who may still grant
  bool old_epoch_taken = false;           // holders go on with allocators of views before
  bool release_counted_early = false;     // an offer counts as confirmed before it has arrived
  bool sequence_ignored = false;          // a doubled or late report counts as the newest
};

// The timings of allocators that have such a fault.
inline LeaseTimings TimingsWith(const PlantedFaults& planted, LeaseTimings timings) {
  constexpr double kLongOver = -100;
  if (planted.half_span_reserved) timings.lease_duration_s /= 2;
  if (planted.drift_left_out) timings.max_clock_drift = 0;
  if (planted.earlier_grants_forgotten) timings.superseded_grant_s = 0;
  if (planted.takeover_forgets_leases) timings.superseded_grant_s = kLongOver;
  return timings;
}

// Alters messages on their way as the planted faults would.
class Tampering {
 public:
  Tampering(const PlantedFaults& planted, const LeaseTimings& timings)
      : planted_(planted), span_s_(timings.lease_duration_s) {}

  // A grant is sent by `allocator` to `dispatcher`.
  void OnSend(NodeId allocator, NodeId dispatcher, const Grant& grant) {
    if (!planted_.release_counted_early) return;
    for (const Assignment& assignment : grant.assignments) {
      offers_[{allocator, dispatcher, assignment.tenant}] = assignment;
    }
  }
  // A report arrives at `allocator`.
  void OnArrival(NodeId dispatcher, NodeId allocator, UsageReport* report) {
    if (planted_.release_counted_early) ConfirmOffers(dispatcher, allocator, report);
    if (planted_.sequence_ignored) MakeNewest(dispatcher, allocator, report);
  }
  // A grant arrives at `dispatcher`.
  void OnArrival(NodeId allocator, NodeId dispatcher, Grant* grant) {
    if (planted_.half_span_reserved) grant->lease_duration_s = span_s_;
    if (!planted_.sequence_ignored) return;
    const auto link = links_.find({dispatcher, allocator});
    if (link == links_.end()) return;
    const auto real = link->second.real_of.find(grant->acked_sequence);
    if (real != link->second.real_of.end()) grant->acked_sequence = real->second;
  }

 private:
  struct Link {
    std::uint64_t last = 0;
    std::uint64_t newest_real = 0;
    std::map<std::uint64_t, std::uint64_t> real_of;  // the newest real number at each made one
  };

  void ConfirmOffers(NodeId dispatcher, NodeId allocator, UsageReport* report) {
    for (TenantUsage& usage : report->usages) {
      const auto offer = offers_.find({allocator, dispatcher, usage.tenant});
      if (offer == offers_.end() || offer->second.grant_number <= usage.grant_number) continue;
      usage.grant_number = offer->second.grant_number;
      usage.lease_rps = offer->second.rate_rps;
    }
  }
  void MakeNewest(NodeId dispatcher, NodeId allocator, UsageReport* report) {
    Link& link = links_[{dispatcher, allocator}];
    link.newest_real = std::max(link.newest_real, report->sequence);
    link.last += 1;
    link.real_of[link.last] = link.newest_real;
    report->sequence = link.last;
  }

  PlantedFaults planted_;
  double span_s_;
  std::map<std::tuple<NodeId, NodeId, TenantId>, Assignment> offers_;
  std::map<std::pair<NodeId, NodeId>, Link> links_;  // by dispatcher and allocator
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_TESTS_SUPPORT_QUOTA_FAULTS_H_
