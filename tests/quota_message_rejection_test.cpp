// Reports and grants that are rejected, each with its reason and without effect.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <variant>

#include "support/quota_cluster.h"

namespace millethollow::quota {
namespace {

class MessageRejectionTest : public ::testing::Test {
 protected:
  MessageRejectionTest() {
    cluster.SetView(5);
    cluster.holder(1).SetDemand(cluster.now, 0, 10);
    cluster.Run(1);
    good_report.epoch = 5;
    good_report.sequence = 1000;
    good_report.usages = {{kTenant, 10, 0, 0, 0}};
    good_grant.epoch = 5;
    good_grant.acked_sequence = 2;
    good_grant.lease_duration_s = 3;
    good_grant.process_incarnation = cluster.process_incarnation(1);
    good_grant.assignments = {{kTenant, 50, 1000}};
  }
  void ExpectRejected(const UsageReport& report, RejectReason cause, NodeId from = 1) {
    const auto counted = [&] {
      return cluster.allocator().counters().rejected[static_cast<std::size_t>(cause)];
    };
    const std::uint64_t before = counted();
    const double reserved = cluster.allocator().ReservedRate(cluster.now, kTenant);
    EXPECT_EQ(cluster.allocator().OnUsageReport(cluster.now, from, cluster.process_incarnation(1),
                                                report),
              cause);
    EXPECT_EQ(counted(), before + 1);
    EXPECT_EQ(cluster.allocator().ReservedRate(cluster.now, kTenant), reserved);
  }
  void ExpectRejected(const Grant& grant, RejectReason cause, NodeId from = kAllocator) {
    const auto counted = [&] {
      return cluster.holder(1).counters().rejected[static_cast<std::size_t>(cause)];
    };
    const std::uint64_t before = counted();
    const double lease = cluster.holder(1).LeaseRate(cluster.now, 0);
    EXPECT_EQ(cluster.holder(1).OnGrant(cluster.now, from, grant), cause);
    EXPECT_EQ(counted(), before + 1);
    EXPECT_EQ(cluster.holder(1).LeaseRate(cluster.now, 0), lease);
  }
  TestCluster cluster{2};
  UsageReport good_report;
  Grant good_grant;
};

TEST_F(MessageRejectionTest, InvalidReports) {
  UsageReport report = good_report;
  report.epoch = 4;
  ExpectRejected(report, RejectReason::kStaleEpoch);
  report.epoch = 6;
  ExpectRejected(report, RejectReason::kNotAllocator);
  report = good_report;
  report.sequence = 1;
  ExpectRejected(report, RejectReason::kDuplicate);
  ExpectRejected(good_report, RejectReason::kNotAllocator, 99);
  report = good_report;
  report.usages.push_back({78, 1, 0, 0, 0});
  ExpectRejected(report, RejectReason::kUnknownTenant);
  report = good_report;
  report.usages.assign(kMaxEntries + 1, {kTenant, 1, 0, 0, 0});
  ExpectRejected(report, RejectReason::kTooLarge);
  for (const double bad : {-1.0, std::nan(""), std::numeric_limits<double>::infinity(), 2e9}) {
    report = good_report;
    report.usages[0].demand_rps = bad;
    ExpectRejected(report, RejectReason::kInvalidNumber);
    report = good_report;
    report.usages[0].lease_rps = bad;
    ExpectRejected(report, RejectReason::kInvalidNumber);
    report = good_report;
    report.usages[0].lease_remaining_s = bad;
    ExpectRejected(report, RejectReason::kInvalidNumber);
  }
  EXPECT_EQ(cluster.allocator().OnUsageReport(cluster.now, 1, cluster.process_incarnation(1),
                                              good_report),
            RejectReason::kNone);
}

TEST_F(MessageRejectionTest, ReportsOfAnEarlierIncarnation) {
  UsageReport first = good_report;
  first.sequence = 1;
  EXPECT_EQ(cluster.allocator().OnUsageReport(cluster.now, 1, 555, first), RejectReason::kNone);
  ExpectRejected(good_report, RejectReason::kDuplicate);
}

TEST_F(MessageRejectionTest, InvalidGrants) {
  Grant grant = good_grant;
  grant.epoch = 4;
  ExpectRejected(grant, RejectReason::kStaleEpoch);
  grant.epoch = 6;
  ExpectRejected(grant, RejectReason::kNotAllocator);
  ExpectRejected(good_grant, RejectReason::kNotAllocator, 2);
  grant = good_grant;
  grant.process_incarnation = 555;
  ExpectRejected(grant, RejectReason::kDuplicate);
  grant = good_grant;
  grant.acked_sequence = 1;
  ExpectRejected(grant, RejectReason::kDuplicate);
  grant.acked_sequence = 1000;
  ExpectRejected(grant, RejectReason::kInvalidNumber);
  grant = good_grant;
  grant.assignments.push_back({78, 1, 1001});
  ExpectRejected(grant, RejectReason::kUnknownTenant);
  grant = good_grant;
  grant.assignments.assign(kMaxEntries + 1, {kTenant, 1, 1000});
  ExpectRejected(grant, RejectReason::kTooLarge);
  for (const double bad : {-1.0, std::nan(""), std::numeric_limits<double>::infinity(), 2e9}) {
    grant = good_grant;
    grant.assignments[0].rate_rps = bad;
    ExpectRejected(grant, RejectReason::kInvalidNumber);
    grant = good_grant;
    grant.lease_duration_s = bad;
    ExpectRejected(grant, RejectReason::kInvalidNumber);
  }
}

TEST_F(MessageRejectionTest, DuplicateGrants) {
  LeaseHolder& holder = cluster.holder(2);
  holder.SetDemand(cluster.now, 0, 10);
  Actions reports;
  holder.Tick(cluster.now, &reports);
  ASSERT_EQ(reports.send.size(), 1u);
  Grant grant = good_grant;
  grant.process_incarnation = cluster.process_incarnation(2);
  grant.acked_sequence = std::get<UsageReport>(reports.send[0].second).sequence;
  EXPECT_EQ(holder.OnGrant(cluster.now, kAllocator, grant), RejectReason::kNone);
  EXPECT_EQ(holder.OnGrant(cluster.now, kAllocator, grant), RejectReason::kDuplicate);
  grant.assignments[0] = {kTenant, 20, 999};
  EXPECT_EQ(holder.OnGrant(cluster.now, kAllocator, grant), RejectReason::kDuplicate)
      << "an earlier rate";
  EXPECT_EQ(holder.LeaseRate(cluster.now, 0), 50);
}

}  // namespace
}  // namespace millethollow::quota
