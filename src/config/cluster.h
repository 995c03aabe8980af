// The section `cluster` of an operator's file: which processes are one cluster. Off where it is
// absent.
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

struct ClusterMember {
  std::string id, address, failure_domain;
  bool voter = false;
};

// Quota leases: which members split the tenants' quotas, and how. Off where the file is silent.
struct QuotaOptions {
  bool on = false;
  std::vector<std::string> allocators;  // ids of members; the voters where the file names none
  quota::LeaseTimings
      timings;  // `drift` and `superseded_grant_s` follow from those of the agreement
};

struct ClusterOptions {
  std::string name;  // empty: no cluster
  std::string self;
  std::string listen;  // where this member binds; its address in the list where the file is silent
  std::vector<ClusterMember> members;
  std::string store;  // a folder of its own; a voter must have one
  membership::FailureDetectorTimings detector;
  membership::ViewAgreementTimings agreement;
  double isolated_share = 0.5;
  std::uint64_t store_bytes = 256ULL << 20;  // of what it keeps for others
  // Members that have each promise on disk, and the least that may. min_replicas 0: two where there
  // are as many members.
  std::size_t copies = 3, min_replicas = 0;
  copies::DurableJobQueue::Limits jobs;  // promised ones that this member holds
  QuotaOptions quota;

  bool on() const { return !name.empty(); }
  const ClusterMember* Find(std::string_view id) const;  // null: there is none
  const ClusterMember* Self() const { return Find(self); }
};

// Within this a change of a quota is in force at every member, also where its allocator was lost.
constexpr double kMaxQuotaPropagationS = 9.0;
// The longest time from when an allocator is replaced until all leases that it gave are over.
double MaxSupersededLeaseS(const quota::LeaseTimings& timings);

// Reads the section from a file's text; where there is none, `options` stays as it is. False, with
// one clear line, for a key that is not known, a value out of its range, or members that don't fit.
bool ReadCluster(std::string_view text, ClusterOptions* options, std::string* error);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_CLUSTER_H_
