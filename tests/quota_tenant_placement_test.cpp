// Which member allocates which tenant.
#include <gtest/gtest.h>

#include <map>

#include "support/quota_cluster.h"

namespace millethollow::quota {
namespace {

TEST(TenantPlacementTest, LostMemberMovesOnlyItsOwnTenants) {
  const AllocatorView whole = ViewOf(1, {{11, 1}, {22, 1}, {33, 1}, {44, 1}});
  const AllocatorView less = ViewOf(2, {{11, 1}, {33, 1}, {44, 1}});
  std::map<NodeId, int> tenants;
  for (TenantId tenant = 1; tenant <= 4000; ++tenant) {
    const NodeId before = whole.AllocatorOf(membership::Mix(tenant))->id;
    ++tenants[before];
    if (before != 22) {
      ASSERT_EQ(less.AllocatorOf(membership::Mix(tenant))->id, before);
    }
  }
  for (const auto& [id, count] : tenants) EXPECT_NEAR(count, 1000, 120) << id;
  EXPECT_EQ(ViewOf(1, {}).AllocatorOf(1), nullptr);
}

}  // namespace
}  // namespace millethollow::quota
