// An allocator's state of one dispatcher: its newest report, whether all its usages are known, and
// the time until which its leases may be in force. No I/O, no clock. Times in seconds on the
// allocator's clock.
#ifndef MILLETHOLLOW_QUOTA_DISPATCHER_STATE_H_
#define MILLETHOLLOW_QUOTA_DISPATCHER_STATE_H_

#include <cstdint>
#include <deque>
#include <limits>
#include <set>

#include "quota/types.h"

namespace millethollow::quota {

// A dispatcher as its allocator knows it.
struct DispatcherState {
  static constexpr double kNever = std::numeric_limits<double>::infinity();

  ProcessIncarnation process_incarnation = 0;  // 0: no report has arrived
  std::deque<ProcessIncarnation> earlier_incarnations;
  std::uint64_t sequence = 0;    // of the newest report
  std::uint64_t full_epoch = 0;  // of the newest full report that is complete
  bool usages_known = false;  // a full report in the current view is complete, without a gap since
  bool in_full_report = false;                // a full report has begun, without a gap so far
  std::set<TenantId> tenants_in_full_report;  // received so far
  bool reply_due = false;                     // its newest report has not been acknowledged

  double last_report_at = -kNever;   // -kNever: no report has arrived
  double silent_at = 0;              // without another report its demand counts as 0 from then on
  bool silent = true;                // silent_at has passed
  double leases_end_at = 0;          // the latest end of a lease of its current process
  bool leases_expired = true;        // leases_end_at has passed
  double earlier_leases_end_at = 0;  // of its earlier processes; 0: none
  double check_at = kNever;          // the next scheduled check of these times
  std::set<TenantId> tenants;        // in whose quota it has a share

  std::set<TenantId> pending_tenants;  // granted but not confirmed by a report; at most kMaxEntries
  std::set<TenantId> waiting_tenants;  // to be granted once fewer tenants are pending
  double pending_since = 0;            // time of the first pending grant or the last confirmation
  bool unreachable = false;            // it reports but confirms no grant: grants don't reach it

  // Whether a report with this sequence is newer than all that were received.
  bool IsNewer(ProcessIncarnation reporter, std::uint64_t number) const;
  // The dispatcher has restarted: reports of the earlier process are rejected from now on.
  void StartIncarnation(ProcessIncarnation started);
  // Receives a report that IsNewer(). Returns whether it completes a full report.
  bool OnReport(const UsageReport& report);
  // Whether another tenant may be granted a rate. Each grant repeats all pending rates, which must
  // fit into one message.
  bool HasRoomForGrant() const {
    return unreachable ? pending_tenants.empty() : pending_tenants.size() < kMaxEntries;
  }
  // The next time at which leases may end or the dispatcher counts as silent; kNever: none.
  double NextExpiry() const;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_DISPATCHER_STATE_H_
