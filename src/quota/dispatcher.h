// What an allocator knows of one dispatcher's reports: which is the newest, whether all that the
// dispatcher holds is known, and until when its leases may be in force. Decides only: no I/O, no
// clock.
#ifndef MILLETHOLLOW_QUOTA_DISPATCHER_H_
#define MILLETHOLLOW_QUOTA_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <limits>
#include <set>

#include "quota/types.h"

namespace millethollow::quota {

struct Dispatcher {
  Life life = 0;  // 0: nothing was heard of it
  std::deque<Life> former_lives;
  std::uint64_t sequence = 0;    // of the newest report
  std::uint64_t full_epoch = 0;  // of the newest report that was full, to its end
  bool current = false;          // all it holds and needs is known, in the view that is known here
  bool in_chain = false;         // a full report is under way, nothing of it is missing
  std::set<TenantId> named;      // in it
  bool to_answer = false;
  double leases_end_at = 0;    // of the present life; kNever's contrary: none was heard
  double former_ends_at = 0;   // of former lives
  bool lapsed = true;          // nothing of the present life is in force
  std::set<TenantId> tenants;  // with a share
  std::set<TenantId> offers;   // granted but not told yet
  double checked_at = kNone;   // when the next end of leases is looked at

  static constexpr double kNone = std::numeric_limits<double>::infinity();

  // Whether a report of this life and number is newer than all others.
  bool IsNews(Life reporter, std::uint64_t number) const;
  // A new life begins; the former one's reports are refused from now on.
  void StartLife(Life started);
  // A report came. Whether it ends a full one that has come whole.
  bool TakeReport(const Report& report);
  // The next moment at which a lease may be over; kNone: there is none.
  double NextEnd() const;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_DISPATCHER_H_
