// What dispatchers and allocators say to each other about a tenant's quota: reports of demand, and
// grants of a part of the quota for a span (RLQS: RateLimitQuotaUsageReports and
// RateLimitQuotaAssignment). No I/O, no clock.
#ifndef MILLETHOLLOW_QUOTA_TYPES_H_
#define MILLETHOLLOW_QUOTA_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "membership/types.h"

namespace millethollow::quota {

using membership::NodeId;
using membership::ProcessIncarnation;

// A hash of the tenant's name: the same at every node.
using TenantId = std::uint64_t;

// A tenant and its quota over all dispatchers, in jobs per second.
struct TenantQuota {
  TenantId tenant = 0;
  double quota_rps = 0;
};

// Most entries of one frame; a longer one is refused, and a longer report is sent as several.
constexpr std::size_t kMaxEntries = 256;
// Most tenants that a dispatcher or an allocator keeps.
constexpr std::size_t kMaxTenants = 4096;
// Rates over this, in jobs per second, are taken for damage.
constexpr double kMaxRateRps = 1e9;
// Spans over this, in seconds, are taken for damage.
constexpr double kMaxDurationS = 3600;

// False also for what is not a number.
constexpr bool IsValidRate(double rate) { return rate >= 0 && rate <= kMaxRateRps; }
constexpr bool IsValidDuration(double lease_duration_s) {
  return lease_duration_s >= 0 && lease_duration_s <= kMaxDurationS;
}

// All spans in seconds. `drift`: two clocks' paces differ by at most this share; both count pauses.
struct LeaseTimings {
  double lease_duration_s = 3.0;       // of a lease, from when the report that it answers was sent
  double renew_interval_s = 0.8;       // between two reports to one allocator while a lease is held
  double min_report_interval_s = 0.1;  // least time between two reports to one allocator
  double max_clock_drift = 0.01;
  double superseded_grant_s = 4.1;  // an allocator that was replaced may still grant for this long
  // A change of demand below this share of the demand last told is not told before the next
  // renewal, nor is a rate changed for it.
  double hysteresis = 0.1;
  // Of each quota, spread evenly over all dispatchers of the cluster and never leased: what each
  // has without a lease, and what admits the first jobs of a tenant that is new to it.
  double floor_fraction = 0.02;

  // How long a span of another node's clock may last by one's own.
  double MaxLocalDuration(double other_clock_s) const {
    return other_clock_s * (1 + max_clock_drift) / (1 - max_clock_drift);
  }
  // Of a quota, what each of so many dispatchers has without a lease, and what is left for leases.
  double FloorRate(double quota, std::size_t dispatchers) const {
    return dispatchers == 0 ? 0 : floor_fraction * quota / static_cast<double>(dispatchers);
  }
  double LeasableRate(double quota) const { return quota * (1 - floor_fraction); }
};

// One tenant in a report: what the dispatcher needs and what it holds of it.
struct TenantUsage {
  TenantId tenant = 0;
  double demand_rps = 0;         // jobs per second that came in, admitted or not
  double lease_rps = 0;          // the rate of the lease in force, 0: none
  double lease_remaining_s = 0;  // until that lease is over, by the dispatcher's clock
  // The number of the grant that it applied last; 0: none of this allocator since the tenant came
  // to it, so that what is held is a lease of an earlier one, which is not prolonged.
  std::uint64_t grant_number = 0;
  bool operator==(const TenantUsage&) const = default;
};

// From a dispatcher to the allocator of the tenants that it names. It renews all leases that the
// dispatcher has of that allocator, named or not.
struct UsageReport {
  std::uint64_t epoch = 0;     // no grant of an earlier epoch is taken by the dispatcher any more
  std::uint64_t sequence = 0;  // rises with each report of this life to this allocator
  // Names every tenant of this allocator that has demand or a lease. One with kMaxEntries entries
  // goes on in the reports of the next sequences, until one has fewer.
  bool full = false;
  std::vector<TenantUsage> usages;  // what has changed since the last report, at most kMaxEntries
  bool operator==(const UsageReport&) const = default;
};

// One tenant in a grant.
struct Assignment {
  TenantId tenant = 0;
  double rate_rps = 0;             // jobs per second, on top of the floor; 0: none
  std::uint64_t grant_number = 0;  // rises with each change of the rate at one allocator; 0 is none
  bool operator==(const Assignment&) const = default;
};

// From an allocator to a dispatcher. Every lease that it granted lasts, from now on, until
// lease_duration_s after the report of that sequence was sent.
struct Grant {
  std::uint64_t epoch = 0;           // of the view in which the allocator has these tenants
  std::uint64_t acked_sequence = 0;  // sequence of the newest report that the allocator has had
  bool request_full_report =
      false;                    // the allocator knows too little: the next report is to be full
  double lease_duration_s = 0;  // 0: prolongs nothing
  std::vector<Assignment> assignments;  // what has changed, at most kMaxEntries
  ProcessIncarnation process_incarnation =
      0;  // of the dispatcher's process that sent the report; another one's refuses it
  bool operator==(const Grant&) const = default;
};

using Message = std::variant<UsageReport, Grant>;

// Why a message changed nothing.
enum class RejectReason : std::uint8_t {
  kNone,
  kStaleEpoch,  // of an epoch before one that is known here
  kDuplicate,   // came before, after a later one of its kind, or for or from a former life
  kUnknownTenant,
  kInvalidNumber,  // a rate or time that is not a number, negative, or out of bounds
  kTooLarge,       // more entries than kMaxEntries
  kNotAllocator,   // by a member that does not allocate the tenant, or to one that does not
  kCount,
};

// What is to be sent, in order.
struct Actions {
  std::vector<std::pair<NodeId, Message>> send;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_TYPES_H_
