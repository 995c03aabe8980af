// Faults injected into the simulation of quota leases, which its checks must find. Each works from
// outside of the holders and allocators, by wrong timings or by altered messages.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_QUOTA_FAULTS_H_
#define MILLETHOLLOW_TESTS_SUPPORT_QUOTA_FAULTS_H_

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "quota/types.h"

namespace millethollow::quota {

// Which faults are present; by default none.
struct InjectedFaults {
  bool half_lease_reserved = false;  // allocators reassign a lease after half its duration
  bool drift_ignored = false;        // allocators reassign a lease at its end by their own clock
  bool takeover_forgets_leases = false;  // allocators start a takeover with the whole quota free
  // Allocators end a takeover when all leases have ended that were granted before it, although the
  // superseded allocator may still grant.
  bool superseded_grants_ignored = false;
  bool old_epoch_accepted = false;     // holders accept grants of earlier epochs
  bool release_counted_early = false;  // a grant counts as confirmed before it has arrived
  bool sequence_ignored = false;       // a duplicated or delayed report counts as the newest
};

// The timings of an allocator with these faults.
inline LeaseTimings TimingsWith(const InjectedFaults& faults, LeaseTimings timings) {
  constexpr double kLongPastSeconds = -100;
  if (faults.half_lease_reserved) timings.lease_duration_s /= 2;
  if (faults.drift_ignored) timings.max_clock_drift = 0;
  if (faults.superseded_grants_ignored) timings.superseded_grant_s = 0;
  if (faults.takeover_forgets_leases) timings.superseded_grant_s = kLongPastSeconds;
  return timings;
}

// Alters messages in transit as the injected faults would.
class MessageTampering {
 public:
  MessageTampering(const InjectedFaults& faults, const LeaseTimings& timings)
      : faults_(faults), lease_duration_s_(timings.lease_duration_s) {}

  // Called when `allocator` sends a grant to `dispatcher`.
  void OnSend(NodeId allocator, NodeId dispatcher, const Grant& grant) {
    if (!faults_.release_counted_early) return;
    for (const Assignment& assignment : grant.assignments) {
      grants_[{allocator, dispatcher, assignment.tenant}] = assignment;
    }
  }
  // Alters a report that arrives at `allocator`.
  void OnArrival(NodeId dispatcher, NodeId allocator, UsageReport* report) {
    if (faults_.release_counted_early) ConfirmGrants(dispatcher, allocator, report);
    if (faults_.sequence_ignored) RenumberAsNewest(dispatcher, allocator, report);
  }
  // Alters a grant that arrives at `dispatcher`.
  void OnArrival(NodeId allocator, NodeId dispatcher, Grant* grant) {
    if (faults_.half_lease_reserved) grant->lease_duration_s = lease_duration_s_;
    if (!faults_.sequence_ignored) return;
    const auto link = links_.find({dispatcher, allocator});
    if (link == links_.end()) return;
    const auto real = link->second.real_sequences.find(grant->acked_sequence);
    if (real != link->second.real_sequences.end()) grant->acked_sequence = real->second;
  }

 private:
  struct Link {
    std::uint64_t last_sequence = 0;
    std::uint64_t newest_real_sequence = 0;
    std::map<std::uint64_t, std::uint64_t>
        real_sequences;  // the newest real number at each made one
  };

  void ConfirmGrants(NodeId dispatcher, NodeId allocator, UsageReport* report) {
    for (TenantUsage& usage : report->usages) {
      const auto granted = grants_.find({allocator, dispatcher, usage.tenant});
      if (granted == grants_.end() || granted->second.grant_number <= usage.grant_number) continue;
      usage.grant_number = granted->second.grant_number;
      usage.lease_rps = granted->second.rate_rps;
    }
  }
  void RenumberAsNewest(NodeId dispatcher, NodeId allocator, UsageReport* report) {
    Link& link = links_[{dispatcher, allocator}];
    link.newest_real_sequence = std::max(link.newest_real_sequence, report->sequence);
    link.last_sequence += 1;
    link.real_sequences[link.last_sequence] = link.newest_real_sequence;
    report->sequence = link.last_sequence;
  }

  InjectedFaults faults_;
  double lease_duration_s_;
  std::map<std::tuple<NodeId, NodeId, TenantId>, Assignment> grants_;
  std::map<std::pair<NodeId, NodeId>, Link> links_;  // by dispatcher and allocator
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_TESTS_SUPPORT_QUOTA_FAULTS_H_
