// An allocator's state of one dispatcher: its newest report, whether all its usages are known, and
// until when its leases may be in force. No I/O, no clock. Times in seconds on the allocator's
// clock.
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

  ProcessIncarnation process_incarnation = 0;  // 0: no report has come
  std::deque<ProcessIncarnation> earlier_incarnations;
  std::uint64_t sequence = 0;                 // of the newest report
  std::uint64_t full_epoch = 0;               // of the newest full report that is complete
  bool current = false;                       // all its usages are known, in the current view
  bool in_full_report = false;                // a full report has begun, without a gap so far
  std::set<TenantId> tenants_in_full_report;  // so far
  bool reply_due = false;

  double last_report_at = -kNever;   // infinity below 0: never
  double silent_at = 0;              // without another report its demand counts as 0 then
  bool silent = true;                // that moment has passed
  double leases_end_at = 0;          // of its present process incarnation, the last one
  bool leases_expired = true;        // that moment has passed
  double earlier_leases_end_at = 0;  // of earlier process incarnations; 0: none
  double checked_at = kNever;        // the next scheduled check of these moments
  std::set<TenantId> tenants;        // with a share

  std::set<TenantId> pending_tenants;  // granted but not confirmed by a report; at most kMaxEntries
  std::set<TenantId> waiting;          // to be granted once fewer tenants are pending
  double pending_since = 0;            // the first pending grant, or the last confirmation
  bool unreachable = false;            // it reports but confirms no grant: grants don't reach it

  // Whether a report with this sequence is newer than all that were received.
  bool IsNewer(ProcessIncarnation reporter, std::uint64_t number) const;
  // The dispatcher has restarted: reports of the earlier process are rejected from now on.
  void StartIncarnation(ProcessIncarnation started);
  // Takes in a report. Returns whether it completes a full report.
  bool OnReport(const UsageReport& report);
  // One message must hold all pending rates, since each grant repeats them.
  bool HasRoomForGrant() const {
    return unreachable ? pending_tenants.empty() : pending_tenants.size() < kMaxEntries;
  }
  // The next moment at which leases may end or the dispatcher counts as silent; kNever: none.
  double NextExpiry() const;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_DISPATCHER_STATE_H_
