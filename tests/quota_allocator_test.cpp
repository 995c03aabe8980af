// Allocators: takeover of tenants from another allocator, and when grants are allowed.
#include <gtest/gtest.h>

#include "support/quota_cluster.h"

namespace millethollow::quota {
namespace {

class AllocatorTakeoverTest : public ::testing::Test {
 protected:
  AllocatorTakeoverTest() {
    cluster.StartAllocator(2);
    cluster.SetView(ViewOf(1, {{1, 101}}));
    for (NodeId id = 1; id <= 3; ++id) cluster.holder(id).SetDemand(cluster.now, 0, 10);
    cluster.Run(2);
  }
  // The allocator of node 1 is left out of the view and may not act; its holder continues.
  void LoseAllocator() {
    cluster.may_act[1] = false;
    cluster.SetView(ViewOf(2, {{2, 102}}));
  }
  TestCluster cluster{3};
};

TEST_F(AllocatorTakeoverTest, EndsOnceEveryDispatcherHasReported) {
  LoseAllocator();
  EXPECT_TRUE(cluster.allocator(2).IsTakingOver(cluster.now, kTenant));
  EXPECT_DOUBLE_EQ(cluster.allocator(2).ReservedRate(cluster.now, kTenant), 96);
  cluster.Run(0.3);
  EXPECT_FALSE(cluster.allocator(2).IsTakingOver(cluster.now, kTenant));
  cluster.holder(1).SetDemand(cluster.now, 0, 100);
  cluster.Run(1);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 80, 0.2);
  EXPECT_LE(cluster.TotalRate(), kQuota + 1e-9);
}

TEST_F(AllocatorTakeoverTest, GrantsNothingNewWhileADispatcherIsSilent) {
  cluster.disconnected[3] = true;
  LoseAllocator();
  cluster.holder(1).SetDemand(cluster.now, 0, 1000);
  const LeaseTimings timings;
  const double lost_at = cluster.now;
  const double takeover_ends_at =
      lost_at + timings.MaxLocalDuration(timings.superseded_grant_s + timings.lease_duration_s);
  while (cluster.now < takeover_ends_at - 0.05) {
    cluster.Run(0.02);
    ASSERT_TRUE(cluster.allocator(2).IsTakingOver(cluster.now, kTenant));
    ASSERT_LE(cluster.TotalRate(), kQuota + 1e-9);
    const double lease = cluster.holder(1).LeaseRate(cluster.now, 0);
    const bool in_force =
        cluster.now < lost_at + timings.lease_duration_s - timings.renew_interval_s;
    if (in_force) {
      ASSERT_NEAR(lease, 32, 0.1);
    }
    if (cluster.now >= lost_at + timings.lease_duration_s) {
      ASSERT_EQ(lease, 0) << "a lease of an allocator that may still act is not extended";
    }
  }
  cluster.Run(1);
  EXPECT_FALSE(cluster.allocator(2).IsTakingOver(cluster.now, kTenant));
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 96 * 1000.0 / 1010, 0.5);
}

TEST_F(AllocatorTakeoverTest, StartsAgainWhereAViewWasMissed) {
  cluster.SetView(ViewOf(3, {{1, 101}}));
  EXPECT_TRUE(cluster.allocator(1).IsTakingOver(cluster.now, kTenant));
  cluster.Run(0.3);
  EXPECT_FALSE(cluster.allocator(1).IsTakingOver(cluster.now, kTenant));
  cluster.SetView(ViewOf(4, {{1, 101}}));
  EXPECT_FALSE(cluster.allocator(1).IsTakingOver(cluster.now, kTenant)) << "kept";
  cluster.SetView(ViewOf(5, {{1, 999}}));
  EXPECT_TRUE(cluster.allocator(1).IsTakingOver(cluster.now, kTenant))
      << "another process of the member";
}

TEST_F(AllocatorTakeoverTest, GrantsOfTheSupersededAllocatorAreRejected) {
  const double lease = cluster.holder(2).LeaseRate(cluster.now, 0);
  cluster.holder(2).SetView(cluster.now, ViewOf(2, {{2, 102}}));
  Grant delayed_grant{
      .epoch = 1, .acked_sequence = 2, .lease_duration_s = 3, .assignments = {{kTenant, 90, 1000}}};
  delayed_grant.process_incarnation = cluster.process_incarnation(2);
  EXPECT_EQ(cluster.holder(2).OnGrant(cluster.now, 1, delayed_grant), RejectReason::kStaleEpoch);
  EXPECT_EQ(cluster.holder(2).LeaseRate(cluster.now, 0), lease);
}

TEST(AllocatorTest, GrantsOnlyWhileItMayAct) {
  TestCluster cluster(2);
  cluster.may_act[1] = false;
  cluster.SetView(1);
  cluster.holder(1).SetDemand(cluster.now, 0, 10);
  cluster.Run(2);
  EXPECT_EQ(cluster.allocator().counters().grants, 0u);
  EXPECT_GT(cluster.allocator().NextTickAt(), cluster.now - 0.1);
  cluster.may_act[1] = true;
  cluster.Run(0.5);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 96, 0.1);
}

}  // namespace
}  // namespace millethollow::quota
