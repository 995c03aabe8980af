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
    valid_report.epoch = 5;
    valid_report.sequence = 1000;
    valid_report.usages = {{kTenant, 10, 0, 0, 0}};
    valid_grant.epoch = 5;
    valid_grant.acked_sequence = 2;
    valid_grant.lease_duration_s = 3;
    valid_grant.process_incarnation = cluster.process_incarnation(1);
    valid_grant.assignments = {{kTenant, 50, 1000}};
  }
  void ExpectRejected(const UsageReport& report, RejectReason reason, NodeId from = 1) {
    const auto rejections = [&] {
      return cluster.allocator().counters().rejected[static_cast<std::size_t>(reason)];
    };
    const std::uint64_t before = rejections();
    const double reserved = cluster.allocator().ReservedRate(cluster.now, kTenant);
    EXPECT_EQ(cluster.allocator().OnUsageReport(cluster.now, from, cluster.process_incarnation(1),
                                                report),
              reason);
    EXPECT_EQ(rejections(), before + 1);
    EXPECT_EQ(cluster.allocator().ReservedRate(cluster.now, kTenant), reserved);
  }
  void ExpectRejected(const Grant& grant, RejectReason reason, NodeId from = kAllocator) {
    const auto rejections = [&] {
      return cluster.holder(1).counters().rejected[static_cast<std::size_t>(reason)];
    };
    const std::uint64_t before = rejections();
    const double lease_rate = cluster.holder(1).LeaseRate(cluster.now, 0);
    EXPECT_EQ(cluster.holder(1).OnGrant(cluster.now, from, grant), reason);
    EXPECT_EQ(rejections(), before + 1);
    EXPECT_EQ(cluster.holder(1).LeaseRate(cluster.now, 0), lease_rate);
  }
  TestCluster cluster{2};
  UsageReport valid_report;
  Grant valid_grant;
};

TEST_F(MessageRejectionTest, InvalidReports) {
  UsageReport report = valid_report;
  report.epoch = 4;
  ExpectRejected(report, RejectReason::kStaleEpoch);
  report.epoch = 6;
  ExpectRejected(report, RejectReason::kNotAllocator);
  report = valid_report;
  report.sequence = 1;
  ExpectRejected(report, RejectReason::kDuplicate);
  ExpectRejected(valid_report, RejectReason::kNotAllocator, 99);
  report = valid_report;
  report.usages.push_back({78, 1, 0, 0, 0});
  ExpectRejected(report, RejectReason::kUnknownTenant);
  report = valid_report;
  report.usages.assign(kMaxEntries + 1, {kTenant, 1, 0, 0, 0});
  ExpectRejected(report, RejectReason::kTooLarge);
  for (const double invalid : {-1.0, std::nan(""), std::numeric_limits<double>::infinity(), 2e9}) {
    report = valid_report;
    report.usages[0].demand_rps = invalid;
    ExpectRejected(report, RejectReason::kInvalidNumber);
    report = valid_report;
    report.usages[0].lease_rps = invalid;
    ExpectRejected(report, RejectReason::kInvalidNumber);
    report = valid_report;
    report.usages[0].lease_remaining_s = invalid;
    ExpectRejected(report, RejectReason::kInvalidNumber);
  }
  EXPECT_EQ(cluster.allocator().OnUsageReport(cluster.now, 1, cluster.process_incarnation(1),
                                              valid_report),
            RejectReason::kNone);
}

TEST_F(MessageRejectionTest, ReportsOfAnEarlierIncarnation) {
  UsageReport first = valid_report;
  first.sequence = 1;
  EXPECT_EQ(cluster.allocator().OnUsageReport(cluster.now, 1, 555, first), RejectReason::kNone);
  ExpectRejected(valid_report, RejectReason::kDuplicate);
}

TEST_F(MessageRejectionTest, InvalidGrants) {
  Grant grant = valid_grant;
  grant.epoch = 4;
  ExpectRejected(grant, RejectReason::kStaleEpoch);
  grant.epoch = 6;
  ExpectRejected(grant, RejectReason::kNotAllocator);
  ExpectRejected(valid_grant, RejectReason::kNotAllocator, 2);
  grant = valid_grant;
  grant.process_incarnation = 555;
  ExpectRejected(grant, RejectReason::kDuplicate);
  grant = valid_grant;
  grant.acked_sequence = 1;
  ExpectRejected(grant, RejectReason::kDuplicate);
  grant.acked_sequence = 1000;
  ExpectRejected(grant, RejectReason::kInvalidNumber);
  grant = valid_grant;
  grant.assignments.push_back({78, 1, 1001});
  ExpectRejected(grant, RejectReason::kUnknownTenant);
  grant = valid_grant;
  grant.assignments.assign(kMaxEntries + 1, {kTenant, 1, 1000});
  ExpectRejected(grant, RejectReason::kTooLarge);
  for (const double invalid : {-1.0, std::nan(""), std::numeric_limits<double>::infinity(), 2e9}) {
    grant = valid_grant;
    grant.assignments[0].rate_rps = invalid;
    ExpectRejected(grant, RejectReason::kInvalidNumber);
    grant = valid_grant;
    grant.lease_duration_s = invalid;
    ExpectRejected(grant, RejectReason::kInvalidNumber);
  }
}

TEST_F(MessageRejectionTest, DuplicateGrants) {
  LeaseHolder& holder = cluster.holder(2);
  holder.SetDemand(cluster.now, 0, 10);
  Actions reports;
  holder.Tick(cluster.now, &reports);
  ASSERT_EQ(reports.send.size(), 1u);
  Grant grant = valid_grant;
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
