// Lease holders and allocators of a small cluster on a virtual clock, with immediate delivery of
// messages.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_QUOTA_CLUSTER_H_
#define MILLETHOLLOW_TESTS_SUPPORT_QUOTA_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "quota/allocator.h"
#include "quota/lease_holder.h"

namespace millethollow::quota {

inline constexpr TenantId kTenant = 77;
inline constexpr double kQuota = 100;
inline constexpr NodeId kAllocator = 1;

inline AllocatorView ViewOf(std::uint64_t epoch, std::vector<AllocatorMember> allocators) {
  return {epoch, std::move(allocators)};
}

// All floor rates sum to 4 of a quota of 100, which gives round numbers in the tests.
inline constexpr LeaseTimings kTimings{.floor_fraction = 0.04};

// One allocator (node 1) and holders at nodes 1 to `dispatchers`. Messages are delivered at once
// unless lost.
class TestCluster {
 public:
  explicit TestCluster(std::size_t dispatchers,
                       std::vector<TenantQuota> tenants = {{kTenant, kQuota}},
                       const LeaseTimings& timings = kTimings)
      : tenants_(std::move(tenants)), timings_(timings) {
    for (NodeId id = 1; id <= dispatchers; ++id) ids_.push_back(id);
    for (const NodeId id : ids_) StartHolder(id, 100 + id);
    StartAllocator(kAllocator);
  }

  void StartHolder(NodeId id, ProcessIncarnation process_incarnation) {
    incarnations_[id] = process_incarnation;
    holders_[id] =
        std::make_unique<LeaseHolder>(process_incarnation, ids_.size(), tenants_, timings_);
  }
  void StartAllocator(NodeId id) {
    allocators_[id] = std::make_unique<Allocator>(id, ids_, tenants_, timings_, now);
  }
  void SetView(const AllocatorView& view) {
    for (auto& [id, holder] : holders_) holder->SetView(now, view);
    for (auto& [id, allocator] : allocators_) allocator->SetView(now, view);
  }
  void SetView(std::uint64_t epoch) { SetView(ViewOf(epoch, {{kAllocator, 101}})); }

  void Run(double seconds, double step = 0.02) {
    for (const double end = now + seconds; now < end; now += step) Step();
  }
  void Step() {
    for (auto& [id, holder] : holders_) {
      Actions actions;
      holder->Tick(now, &actions);
      for (const auto& [to, message] : actions.send)
        DeliverReport(id, to, std::get<UsageReport>(message));
    }
    for (auto& [id, allocator] : allocators_) {
      Actions actions;
      allocator->Tick(now, may_act[id], &actions);
      for (const auto& [to, message] : actions.send) DeliverGrant(id, to, std::get<Grant>(message));
    }
  }

  double TotalRate(std::size_t tenant = 0) const {
    double sum = 0;
    for (const auto& [id, holder] : holders_) sum += holder->AdmissibleRate(now, tenant);
    return sum;
  }
  LeaseHolder& holder(NodeId id) { return *holders_.at(id); }
  Allocator& allocator(NodeId id = kAllocator) { return *allocators_.at(id); }
  ProcessIncarnation process_incarnation(NodeId id) const { return incarnations_.at(id); }

  double now = 10;
  std::map<NodeId, bool> disconnected;  // dispatchers whose messages are all lost, both ways
  std::map<NodeId, bool> lose_grants;
  std::map<NodeId, bool> may_act = {{1, true}, {2, true}, {3, true}};
  std::uint64_t messages_sent = 0;

 private:
  void DeliverReport(NodeId from, NodeId to, const UsageReport& report) {
    ++messages_sent;
    const auto found = allocators_.find(to);
    if (disconnected[from] || found == allocators_.end()) return;
    found->second->OnUsageReport(now, from, incarnations_.at(from), report);
  }
  void DeliverGrant(NodeId from, NodeId to, const Grant& grant) {
    ++messages_sent;
    if (!disconnected[to] && !lose_grants[to]) holders_.at(to)->OnGrant(now, from, grant);
  }

  std::vector<TenantQuota> tenants_;
  LeaseTimings timings_;
  std::vector<NodeId> ids_;
  std::map<NodeId, ProcessIncarnation> incarnations_;
  std::map<NodeId, std::unique_ptr<LeaseHolder>> holders_;
  std::map<NodeId, std::unique_ptr<Allocator>> allocators_;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_TESTS_SUPPORT_QUOTA_CLUSTER_H_
