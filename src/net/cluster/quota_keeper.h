// This process's part in quota leases: carries between the decisions of quota::Holder and
// quota::Allocator and the links, the clock and the view that the cluster agrees on.
#ifndef MILLETHOLLOW_NET_CLUSTER_QUOTA_KEEPER_H_
#define MILLETHOLLOW_NET_CLUSTER_QUOTA_KEEPER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "membership/types.h"
#include "net/loop.h"
#include "quota/allocator.h"
#include "quota/lease_holder.h"

namespace millethollow::cluster {

// A tenant as the settings have it; quota 0: none was told.
struct NamedQuota {
  std::string name;
  double quota = 0;  // jobs per second over all members
};

class QuotaKeeper {
 public:
  struct Hooks {
    std::function<double()> now;  // of the machine: counts its pauses
    std::function<const membership::View&()> view;
    std::function<bool()> leased;  // by a clock read now
    std::function<void(membership::NodeId to, const quota::Message&)> send;
    // By tenant: jobs per second that came in lately, whether they were let in or not.
    std::function<std::vector<double>()> demand;
  };
  struct Options {
    membership::NodeId self = 0;
    membership::ProcessIncarnation process_incarnation = 0;
    std::vector<membership::NodeId> members;     // all of the cluster, this one among them
    std::vector<membership::NodeId> allocators;  // some of these
    std::vector<NamedQuota> tenants;
    quota::LeaseTimings timings;
  };
  // What an operator looks at.
  struct Allocation {
    std::vector<std::string> tenants, taking_over;  // the names of those that this member allocates
  };

  QuotaKeeper(Loop* loop, Options options, Hooks hooks);
  ~QuotaKeeper();
  QuotaKeeper(const QuotaKeeper&) = delete;
  QuotaKeeper& operator=(const QuotaKeeper&) = delete;

  // False, with one clear line, for tenants that can't be told apart or are too many.
  static bool Check(const std::vector<NamedQuota>& tenants, std::string* error);

  void Start();
  // The view may have changed.
  void Look();
  void Hear(membership::NodeId from, membership::ProcessIncarnation process_incarnation,
            const quota::Message& message);
  // Other quotas of the same tenants, by their order at the start.
  void SetQuotas(const std::vector<double>& quotas);

  // By tenant: what this member may let in of its quota, in jobs per second. Below 0: the tenant
  // has no quota. To be asked with a clock read just now.
  std::vector<double> Rates() const;
  Allocation Allocated() const;
  // One figure a line, as at the second address.
  void PrintFigures(std::ostream* out) const;

 private:
  std::vector<quota::TenantQuota> TenantQuotas() const;
  bool InView(const membership::View& view) const;
  bool MayAct() const;
  void LogMoves(std::uint64_t epoch);
  void TakeDemand();
  void Act();
  void Arm();

  Loop* loop_;
  Options options_;
  Hooks hooks_;
  std::set<membership::NodeId> allocators_;
  quota::LeaseHolder holder_;
  std::optional<quota::Allocator> allocator_;
  std::uint64_t epoch_ = 0;      // of the view that was given to both
  std::vector<bool> allocated_;  // by tenant, as last logged
  std::vector<double> demand_;   // as last told to the holder
  Deadlines::Ticket tick_ = Deadlines::kNone, demand_tick_ = Deadlines::kNone;
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_QUOTA_KEEPER_H_
