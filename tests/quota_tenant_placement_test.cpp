// Placement of tenants on allocators.
#include <gtest/gtest.h>

#include <map>

#include "support/quota_cluster.h"

namespace millethollow::quota {
namespace {

TEST(TenantPlacementTest, LostMemberMovesOnlyItsOwnTenants) {
  const AllocatorView full_view = ViewOf(1, {{11, 1}, {22, 1}, {33, 1}, {44, 1}});
  const AllocatorView reduced_view = ViewOf(2, {{11, 1}, {33, 1}, {44, 1}});
  std::map<NodeId, int> tenant_counts;
  for (TenantId tenant = 1; tenant <= 4000; ++tenant) {
    const NodeId before = full_view.AllocatorOf(membership::Mix(tenant))->id;
    ++tenant_counts[before];
    if (before != 22) {
      ASSERT_EQ(reduced_view.AllocatorOf(membership::Mix(tenant))->id, before);
    }
  }
  for (const auto& [id, count] : tenant_counts) EXPECT_NEAR(count, 1000, 120) << id;
  EXPECT_EQ(ViewOf(1, {}).AllocatorOf(1), nullptr);
}

}  // namespace
}  // namespace millethollow::quota
