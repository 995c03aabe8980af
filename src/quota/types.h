// Messages between dispatchers and allocators about tenants' quotas: usage reports, and grants that
// lease a part of a quota for a limited time. Modelled on RLQS, the rate limit quota service of
// gRPC (proposal A77): RateLimitQuotaUsageReports and QuotaAssignmentAction. No I/O, no clock.
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

// Identifies a tenant: a hash of its name, the same at every node.
using TenantId = std::uint64_t;

// A tenant and its quota over all dispatchers, in requests per second.
struct TenantQuota {
  TenantId tenant = 0;
  double quota_rps = 0;
};

// Maximum number of entries in a message. A longer message is rejected; a longer report is sent in
// several messages.
constexpr std::size_t kMaxEntries = 256;
// Maximum number of tenants that a dispatcher or an allocator keeps; the rest are ignored.
constexpr std::size_t kMaxTenants = 4096;
// Higher rates, in requests per second, are rejected as invalid.
constexpr double kMaxRateRps = 1e9;
// Longer durations, in seconds, are rejected as invalid.
constexpr double kMaxDurationS = 3600;

// False also for NaN.
constexpr bool IsValidRate(double rate) { return rate >= 0 && rate <= kMaxRateRps; }
constexpr bool IsValidDuration(double duration_s) {
  return duration_s >= 0 && duration_s <= kMaxDurationS;
}

// Durations in seconds. Clocks count the time that a process or machine is suspended.
struct LeaseTimings {
  // Duration of a lease, from the sending of the report that the grant acknowledges.
  double lease_duration_s = 3.0;
  double renew_interval_s = 0.8;       // between reports to an allocator while a lease is held
  double min_report_interval_s = 0.1;  // between any two reports to an allocator
  double max_clock_drift = 0.01;       // maximum relative deviation of a clock from true time
  // A superseded allocator may still grant for this long after the view has changed.
  double superseded_grant_s = 4.1;
  // A smaller relative change of demand is not reported before the next renewal, and changes no
  // rate.
  double hysteresis = 0.1;
  // Fraction of each quota that is never leased but divided evenly among all dispatchers: what each
  // may admit without a lease.
  double floor_fraction = 0.02;

  // The longest duration on this node's clock of a duration on another node's clock.
  double MaxLocalDuration(double other_clock_s) const {
    return other_clock_s * (1 + max_clock_drift) / (1 - max_clock_drift);
  }
  // The rate that each dispatcher may admit without a lease.
  double FloorRate(double quota, std::size_t dispatchers) const {
    return dispatchers == 0 ? 0 : floor_fraction * quota / static_cast<double>(dispatchers);
  }
  // The part of a quota that is leased.
  double LeasableRate(double quota) const { return quota * (1 - floor_fraction); }
};

// One tenant in a report: the dispatcher's demand and lease.
struct TenantUsage {
  TenantId tenant = 0;
  double demand_rps = 0;         // requests per second that arrived, admitted or not
  double lease_rps = 0;          // of the lease in force; 0: none
  double lease_remaining_s = 0;  // until that lease ends, by the dispatcher's clock
  // Of the grant that was applied last. 0: none of this allocator was, so that the lease is one of
  // an earlier allocator, which is not renewed.
  std::uint64_t grant_number = 0;
  bool operator==(const TenantUsage&) const = default;
};

// From a dispatcher to the allocator of the tenants in it. Requests the renewal of all leases that
// the dispatcher has from that allocator, including those of tenants that the report leaves out.
struct UsageReport {
  std::uint64_t epoch = 0;     // the dispatcher rejects grants of earlier epochs
  std::uint64_t sequence = 0;  // rises with each report of this process to this allocator
  // Holds every tenant of this allocator that has demand or a lease. With kMaxEntries entries it
  // continues in the reports of the next sequences, until one has fewer.
  bool full = false;
  std::vector<TenantUsage> usages;  // what has changed since the last report, at most kMaxEntries
  bool operator==(const UsageReport&) const = default;
};

// One tenant in a grant.
struct Assignment {
  TenantId tenant = 0;
  double rate_rps = 0;             // requests per second above the floor rate; 0: none
  std::uint64_t grant_number = 0;  // rises with each change of a rate at one allocator; never 0
  bool operator==(const Assignment&) const = default;
};

// From an allocator to a dispatcher. Extends every lease from that allocator to lease_duration_s
// after the sending of the report with acked_sequence.
struct Grant {
  std::uint64_t epoch = 0;              // of the agreed view
  std::uint64_t acked_sequence = 0;     // of the newest report that the allocator has received
  bool request_full_report = false;     // the allocator lacks usages: the next report is to be full
  double lease_duration_s = 0;          // 0: extends no lease
  std::vector<Assignment> assignments;  // what has changed, at most kMaxEntries
  // Of the dispatcher's process that sent the report. Another process rejects the grant.
  ProcessIncarnation process_incarnation = 0;
  bool operator==(const Grant&) const = default;
};

using Message = std::variant<UsageReport, Grant>;

// Why a message was rejected. A rejected message changes nothing.
enum class RejectReason : std::uint8_t {
  kNone,
  kStaleEpoch,  // of an earlier epoch than the one known here
  kDuplicate,   // received before, older than one received, or of an earlier process incarnation
  kUnknownTenant,
  kInvalidNumber,  // a rate or duration that is NaN, negative or too large
  kTooLarge,       // more entries than kMaxEntries
  kNotAllocator,   // from or to a member that does not allocate the tenant
  kCount,
};

// What the caller has to do after a call: messages to be sent, in order, each with its recipient.
struct Actions {
  std::vector<std::pair<NodeId, Message>> send;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_TYPES_H_
