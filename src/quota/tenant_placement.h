// Placement of tenants on allocators: rendezvous hashing (Thaler, Ravishankar 1996) over the
// allocators of the agreed view, so that a change of one member moves only that member's tenants.
#ifndef MILLETHOLLOW_QUOTA_TENANT_PLACEMENT_H_
#define MILLETHOLLOW_QUOTA_TENANT_PLACEMENT_H_

#include <cstdint>
#include <vector>

#include "quota/types.h"

namespace millethollow::quota {

// A member of the view that allocates, in one run of its process.
struct AllocatorMember {
  NodeId id = 0;
  ProcessIncarnation process_incarnation = 0;
  bool operator==(const AllocatorMember&) const = default;
};

// The allocators of one agreed view. Epoch 0: none is known yet.
struct AllocatorView {
  std::uint64_t epoch = 0;
  std::vector<AllocatorMember> allocators;  // in ascending order of id
  bool operator==(const AllocatorView&) const = default;

  // The allocator of a tenant; null where the view has none.
  const AllocatorMember* AllocatorOf(TenantId tenant) const {
    const AllocatorMember* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const AllocatorMember& member : allocators) {
      const std::uint64_t weight = membership::Mix(member.id ^ membership::Mix(tenant));
      if (best != nullptr && weight <= best_weight) continue;
      best = &member;
      best_weight = weight;
    }
    return best;
  }
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_TENANT_PLACEMENT_H_
