// The section `cluster` of a configuration file: the members of the cluster and its timings. A file
// without the section configures a node outside any cluster.
#ifndef MILLETHOLLOW_CONFIG_CLUSTER_H_
#define MILLETHOLLOW_CONFIG_CLUSTER_H_

#include <string>
#include <string_view>
#include <vector>

#include "copies/durable_job_queue.h"
#include "membership/failure_detector.h"
#include "membership/view_agreement.h"
#include "quota/types.h"

namespace millethollow {

// A member as each member's file lists it.
struct ClusterMember {
  std::string id, address, failure_domain;
  bool voter = false;
};

// Quota leases: which members divide the tenants' quotas, and how. Off if the file has no such
// section.
struct QuotaOptions {
  bool on = false;
  std::vector<std::string> allocators;  // member ids; the voters if the file names none
  // `max_clock_drift` and `superseded_grant_s` are derived from the timings of the view agreement.
  quota::LeaseTimings timings;
};

// Options of a cluster member.
struct ClusterOptions {
  std::string name;    // empty: no cluster
  std::string self;    // id of this member
  std::string listen;  // address to bind; defaults to this member's address in `members`
  std::vector<ClusterMember> members;
  std::string store;  // directory of this member's own data; required for a voter
  membership::FailureDetectorTimings detector;
  membership::ViewAgreementTimings agreement;
  // Part of its equal share of the fleet that a member may use while it holds no membership lease,
  // and that the others leave to it; 0 to 1.
  double isolated_share = 0.5;
  std::uint64_t store_bytes = 256ULL << 20;  // limit on the records kept for other members
  // Number of members that store each durable job, and the least number that must have stored it.
  // min_replicas 0: two, or one in a cluster of one member.
  std::size_t copies = 3, min_replicas = 0;
  copies::DurableJobQueue::Limits
      jobs;  // limits on the accepted durable jobs that this member holds
  QuotaOptions quota;

  // Whether the node belongs to a cluster.
  bool on() const { return !name.empty(); }
  // The member with this id; null if there is none.
  const ClusterMember* Find(std::string_view id) const;
  // The entry of this process in `members`.
  const ClusterMember* Self() const { return Find(self); }
};

// Seconds within which a changed quota is in force at every member, even if its allocator fails.
constexpr double kMaxQuotaPropagationS = 9.0;
// Longest time in seconds from the replacement of an allocator until all leases that it granted
// have expired.
double MaxSupersededLeaseS(const quota::LeaseTimings& timings);

// Reads the section from the text of a file; leaves `options` unchanged if there is none. Returns
// false and sets a one-line `error` for an unknown key, a value out of range or inconsistent
// members.
bool ReadCluster(std::string_view text, ClusterOptions* options, std::string* error);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_CLUSTER_H_
