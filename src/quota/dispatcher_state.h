// What an allocator knows of one dispatcher's reports: which is the newest, whether all that the
// dispatcher holds is known, and until when its leases may be in force. Decides only: no I/O, no
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
struct Dispatcher {
  static constexpr double kNever = std::numeric_limits<double>::infinity();

  ProcessIncarnation process_incarnation = 0;  // 0: nothing was heard of it
  std::deque<ProcessIncarnation> former_lives;
  std::uint64_t sequence = 0;    // of the newest report
  std::uint64_t full_epoch = 0;  // of the newest report that was full, to its end
  bool current = false;          // all it holds and needs is known, in the view that is known here
  bool in_full_report = false;   // a full report is under way, nothing of it is missing
  std::set<TenantId> named;      // in it
  bool to_answer = false;

  double heard_at = -kNever;   // when the newest report came
  double silent_at = 0;        // its demand is forgotten then, unless it reports before
  bool silent = true;          // it was
  double leases_end_at = 0;    // all that its present life may hold is over then
  bool lapsed = true;          // it is
  double former_end_at = 0;    // all that former lives may hold is over then; 0: it is
  double checked_at = kNever;  // when the next of these moments is looked at
  std::set<TenantId> tenants;  // with a share

  std::set<TenantId> offers;   // granted but not told yet, at most kMaxEntries
  std::set<TenantId> waiting;  // tenants to be offered once there is room among the offers
  double offers_since = 0;     // when the first of them was made, or the last one was told
  bool unreachable = false;    // it reports, but tells no offer: grants don't reach it

  // Whether a report of this life and number is newer than all others.
  bool IsNews(ProcessIncarnation reporter, std::uint64_t number) const;
  // A new life begins; the former one's reports are refused from now on.
  void StartLife(ProcessIncarnation started);
  // A report came. Whether it ends a full one that has come whole.
  bool TakeReport(const UsageReport& report);
  // All offers go into one grant, so that each grant carries all that is open.
  bool HasRoomForOffer() const {
    return unreachable ? offers.empty() : offers.size() < kMaxEntries;
  }
  // The next moment at which leases may be over or it is silent; kNever: there is none.
  double NextEnd() const;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_DISPATCHER_STATE_H_
