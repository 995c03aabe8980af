// Leases of one tenant: granted, renewed, expired, lowered, lost and reserved.
#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

#include "support/quota_cluster.h"

namespace millethollow::quota {
namespace {

TEST(TenantLeasesTest, IsGrantedByDemandRenewedAndExpiresWithoutRenewal) {
  TestCluster cluster(2);
  cluster.SetView(1);
  EXPECT_DOUBLE_EQ(cluster.holder(1).AdmissibleRate(cluster.now, 0), 2) << "only the floor rate";
  cluster.holder(1).SetDemand(cluster.now, 0, 30);
  cluster.holder(2).SetDemand(cluster.now, 0, 10);
  cluster.Run(1);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 72, 0.2);
  EXPECT_NEAR(cluster.holder(2).LeaseRate(cluster.now, 0), 24, 0.2);
  EXPECT_LE(cluster.TotalRate(), kQuota + 1e-9);
  cluster.Run(10);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 72, 0.2) << "renewed";

  cluster.disconnected[1] = true;
  cluster.Run(2);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 72, 0.2) << "until the lease ends";
  cluster.Run(1.1);
  EXPECT_EQ(cluster.holder(1).LeaseRate(cluster.now, 0), 0);
  EXPECT_DOUBLE_EQ(cluster.holder(1).AdmissibleRate(cluster.now, 0), 2);
  EXPECT_EQ(cluster.holder(1).counters().expiries, 1u);
  cluster.Run(0.5);
  EXPECT_NEAR(cluster.holder(2).LeaseRate(cluster.now, 0), 96, 0.2)
      << "the other dispatcher has the rate now";

  cluster.disconnected[1] = false;
  cluster.Run(2);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 72, 0.5);
}

TEST(TenantLeasesTest, LeaseOfASilentHolderStaysReserved) {
  TestCluster cluster(2);
  cluster.SetView(1);
  cluster.holder(1).SetDemand(cluster.now, 0, 10);
  cluster.Run(1);
  cluster.lose_grants[1] = true;
  cluster.holder(1).SetDemand(cluster.now, 0, 1);
  cluster.holder(2).SetDemand(cluster.now, 0, 100);
  for (int i = 0; i < 300; ++i) {
    cluster.Run(0.02);
    ASSERT_LE(cluster.TotalRate(), kQuota + 1e-9) << cluster.now;
    ASSERT_GE(cluster.allocator().ReservedRate(cluster.now, kTenant) + 4 + 1e-9,
              cluster.TotalRate());
  }
  EXPECT_GT(cluster.holder(2).LeaseRate(cluster.now, 0), 0);
}

TEST(TenantLeasesTest, LostGrantIsSentAgain) {
  TestCluster cluster(2);
  cluster.SetView(1);
  cluster.Run(1);
  cluster.holder(1).SetDemand(cluster.now, 0, 10);
  cluster.lose_grants[1] = true;
  cluster.Run(0.5);
  EXPECT_EQ(cluster.holder(1).LeaseRate(cluster.now, 0), 0);
  cluster.lose_grants[1] = false;
  cluster.Run(1);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 96, 0.2);
}

TEST(TenantLeasesTest, SteadyDemandChangesNoRate) {
  TestCluster cluster(5);
  cluster.SetView(1);
  for (NodeId id = 1; id <= 5; ++id) cluster.holder(id).SetDemand(cluster.now, 0, 10);
  cluster.Run(2);
  const double before = cluster.holder(3).LeaseRate(cluster.now, 0);
  const std::uint64_t sent_before = cluster.messages_sent;
  for (int i = 0; i < 100; ++i) {
    for (NodeId id = 1; id <= 5; ++id) {
      cluster.holder(id).SetDemand(cluster.now, 0, 10 + 0.3 * ((i + static_cast<int>(id)) % 3 - 1));
    }
    cluster.Run(0.1);
    ASSERT_EQ(cluster.holder(3).LeaseRate(cluster.now, 0), before);
  }
  EXPECT_LE(cluster.messages_sent - sent_before, 10 / 0.8 * 5 * 2 + 20)
      << "renewals and their grants";
}

TEST(TenantLeasesTest, LowerQuotaIsGrantedAtOnce) {
  TestCluster cluster(2);
  cluster.SetView(1);
  cluster.holder(1).SetDemand(cluster.now, 0, 10);
  cluster.Run(1);
  for (NodeId id = 1; id <= 2; ++id) cluster.holder(id).SetQuotas(cluster.now, {{kTenant, 50}});
  cluster.allocator().SetQuotas(cluster.now, {{kTenant, 50}});
  EXPECT_LE(cluster.holder(1).AdmissibleRate(cluster.now, 0), 50) << "at most the quota";
  cluster.Run(0.5);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 48, 0.1);
}

TEST(TenantLeasesTest, MoreTenantsThanOneMessageHolds) {
  std::vector<TenantQuota> tenants;
  for (TenantId id = 1; id <= 2 * kMaxEntries; ++id) tenants.push_back({id, kQuota});
  TestCluster cluster(2, tenants);
  cluster.SetView(1);
  for (std::size_t i = 0; i < tenants.size(); ++i) cluster.holder(1).SetDemand(cluster.now, i, 5);
  cluster.Run(1);
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    ASSERT_NEAR(cluster.holder(1).LeaseRate(cluster.now, i), 96, 0.2) << i;
  }
  EXPECT_FALSE(cluster.allocator().IsTakingOver(cluster.now, 1));
}

TEST(TenantLeasesTest, DispatcherThatGrantsDoNotReachKeepsNoRate) {
  TestCluster cluster(2);
  cluster.SetView(1);
  cluster.Run(1);
  cluster.lose_grants[1] = true;
  cluster.holder(1).SetDemand(cluster.now, 0, 50);
  cluster.Run(0.5);
  EXPECT_NEAR(cluster.allocator().ReservedRate(cluster.now, kTenant), 96, 0.1)
      << "an unconfirmed grant";
  cluster.holder(2).SetDemand(cluster.now, 0, 50);
  cluster.Run(2 * LeaseTimings{}.lease_duration_s + 1);
  EXPECT_NEAR(cluster.holder(2).LeaseRate(cluster.now, 0), 96, 0.1)
      << "although the other one keeps reporting";
  cluster.Run(10);
  EXPECT_NEAR(cluster.holder(2).LeaseRate(cluster.now, 0), 96, 0.1);
  cluster.lose_grants[1] = false;
  cluster.Run(2);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 48, 0.1) << "grants reach it again";
  EXPECT_NEAR(cluster.holder(2).LeaseRate(cluster.now, 0), 48, 0.1);
}

TEST(TenantLeasesTest, LowerQuotaLowersAnUnconfirmedGrant) {
  TestCluster cluster(2);
  cluster.SetView(1);
  cluster.Run(1);
  cluster.lose_grants[1] = true;
  cluster.holder(1).SetDemand(cluster.now, 0, 50);
  cluster.Run(0.5);
  cluster.allocator().SetQuotas(cluster.now, {{kTenant, 10}});
  cluster.Run(0.5);
  EXPECT_NEAR(cluster.allocator().ReservedRate(cluster.now, kTenant), 96, 0.1)
      << "the larger grant may still arrive";
  cluster.lose_grants[1] = false;
  cluster.Run(1);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 9.6, 0.01);
  EXPECT_NEAR(cluster.allocator().ReservedRate(cluster.now, kTenant), 9.6, 0.01);
}

TEST(TenantLeasesTest, FullReportInSeveralMessagesIsUsedAtItsEnd) {
  constexpr std::size_t kTenants = kMaxEntries + 10;
  std::vector<TenantQuota> tenants;
  for (TenantId id = 1; id <= kTenants; ++id) tenants.push_back({id, kQuota});
  TestCluster cluster(1, tenants);
  cluster.SetView(1);
  for (std::size_t i = 0; i < kTenants; ++i) cluster.holder(1).SetDemand(cluster.now, i, 5);
  cluster.Run(0.09);
  EXPECT_TRUE(cluster.allocator().IsTakingOver(cluster.now, 1))
      << "the rest is sent after min_report_interval_s";
  EXPECT_EQ(cluster.holder(1).counters().reports, 1u);
  cluster.Run(1);
  for (std::size_t i = 0; i < kTenants; ++i) {
    ASSERT_NEAR(cluster.holder(1).LeaseRate(cluster.now, i), 96, 0.2) << i;
  }
}

TEST(TenantLeasesTest, LeasesOfAnEarlierIncarnationStayReserved) {
  TestCluster cluster(2);
  cluster.SetView(1);
  cluster.holder(1).SetDemand(cluster.now, 0, 10);
  cluster.Run(1);
  cluster.StartHolder(1, 555);
  cluster.SetView(2);
  cluster.holder(1).SetDemand(cluster.now, 0, 10);
  cluster.Run(1);
  EXPECT_EQ(cluster.holder(1).LeaseRate(cluster.now, 0), 0);
  EXPECT_NEAR(cluster.allocator().ReservedRate(cluster.now, kTenant), 96, 0.1);
  cluster.Run(2.5);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 96, 0.1);
}

}  // namespace
}  // namespace millethollow::quota
