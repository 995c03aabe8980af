// The parts of quota leases one by one: division, a lease's life, a takeover, refusals, placement.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <map>
#include <memory>
#include <numeric>
#include <string>

#include "quota/allocator.h"
#include "quota/lease_holder.h"
#include "quota/rate_division.h"

namespace millethollow::quota {
namespace {

constexpr TenantId kTenant = 77;
constexpr double kQuota = 100;
constexpr NodeId kAllocator = 1;

double Sum(const std::vector<double>& rates) {
  return std::accumulate(rates.begin(), rates.end(), 0.0);
}

AllocatorView ViewOf(std::uint64_t epoch, std::vector<AllocatorMember> allocators) {
  return {epoch, std::move(allocators)};
}

// Floors of 4 in sum of a quota of 100, so that the figures below are round.
constexpr LeaseTimings kTimings{.floor_fraction = 0.04};

// One allocator (node 1) and holders at nodes 1 to n, messages carried at once unless cut.
class Cluster {
 public:
  explicit Cluster(std::size_t dispatchers, std::vector<TenantQuota> tenants = {{kTenant, kQuota}},
                   const LeaseTimings& timings = kTimings)
      : tenants_(std::move(tenants)), timings_(timings) {
    for (NodeId id = 1; id <= dispatchers; ++id) ids_.push_back(id);
    for (const NodeId id : ids_) StartHolder(id, 100 + id);
    StartAllocator(kAllocator);
  }

  void StartHolder(NodeId id, ProcessIncarnation process_incarnation) {
    lives_[id] = process_incarnation;
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
        CarryReport(id, to, std::get<UsageReport>(message));
    }
    for (auto& [id, allocator] : allocators_) {
      Actions actions;
      allocator->Tick(now, may_act[id], &actions);
      for (const auto& [to, message] : actions.send) CarryGrant(id, to, std::get<Grant>(message));
    }
  }

  double InUse(std::size_t tenant = 0) const {
    double sum = 0;
    for (const auto& [id, holder] : holders_) sum += holder->AdmissibleRate(now, tenant);
    return sum;
  }
  LeaseHolder& holder(NodeId id) { return *holders_.at(id); }
  Allocator& allocator(NodeId id = kAllocator) { return *allocators_.at(id); }
  ProcessIncarnation process_incarnation(NodeId id) const { return lives_.at(id); }

  double now = 10;
  std::map<NodeId, bool> cut;  // dispatchers that nothing reaches
  std::map<NodeId, bool> lose_grants;
  std::map<NodeId, bool> may_act = {{1, true}, {2, true}, {3, true}};
  std::uint64_t carried = 0;

 private:
  void CarryReport(NodeId from, NodeId to, const UsageReport& report) {
    ++carried;
    const auto found = allocators_.find(to);
    if (cut[from] || found == allocators_.end()) return;
    found->second->OnUsageReport(now, from, lives_.at(from), report);
  }
  void CarryGrant(NodeId from, NodeId to, const Grant& grant) {
    ++carried;
    if (!cut[to] && !lose_grants[to]) holders_.at(to)->OnGrant(now, from, grant);
  }

  std::vector<TenantQuota> tenants_;
  LeaseTimings timings_;
  std::vector<NodeId> ids_;
  std::map<NodeId, ProcessIncarnation> lives_;
  std::map<NodeId, std::unique_ptr<LeaseHolder>> holders_;
  std::map<NodeId, std::unique_ptr<Allocator>> allocators_;
};

// ---- division ----

TEST(QuotaSplit, IsProportionalToDemandAndHandsOutAll) {
  const std::vector<double> rates = ProportionalRates(90, {{10, 0}, {20, 0}, {0, 0}});
  EXPECT_DOUBLE_EQ(rates[0], 30);
  EXPECT_DOUBLE_EQ(rates[1], 60);
  EXPECT_DOUBLE_EQ(rates[2], 0);
  EXPECT_EQ(Sum(ProportionalRates(90, {{0, 5}, {0, 0}})), 0);
}

TEST(QuotaSplit, KeepsRatesWithinHysteresis) {
  const std::vector<double> rates = RatesWithHysteresis(100, {{52, 50}, {48, 50}}, 0.1);
  EXPECT_DOUBLE_EQ(rates[0], 50);
  EXPECT_DOUBLE_EQ(rates[1], 50);
}

TEST(QuotaSplit, TakesFromOthersOnlyWhatOneNeeds) {
  std::vector<DispatcherDemand> claims(20, {5, 5});
  claims[0].demand_rps = 10;
  const std::vector<double> rates = RatesWithHysteresis(100, claims, 0.1);
  EXPECT_NEAR(rates[0], 100 * 10.0 / 105, 1e-9);
  EXPECT_LE(Sum(rates), 100 + 1e-6);
  EXPECT_GE(Sum(rates), 100 - 0.3) << "no more is taken than is needed";
}

TEST(QuotaSplit, WhatOneLeavesGoesToTheOthersThoughEachRaiseIsSmall) {
  std::vector<DispatcherDemand> claims(21, {5, 100.0 / 21});
  claims[0].demand_rps = 0;
  const std::vector<double> rates = RatesWithHysteresis(100, claims, 0.1);
  EXPECT_EQ(rates[0], 0);
  EXPECT_GE(Sum(rates), 99.9 - 1e-9);
}

// ---- one lease's life ----

TEST(QuotaLease, IsGrantedByDemandRenewedAndOverWithoutRenewal) {
  Cluster cluster(2);
  cluster.SetView(1);
  EXPECT_DOUBLE_EQ(cluster.holder(1).AdmissibleRate(cluster.now, 0), 2) << "the floor alone";
  cluster.holder(1).SetDemand(cluster.now, 0, 30);
  cluster.holder(2).SetDemand(cluster.now, 0, 10);
  cluster.Run(1);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 72, 0.2);
  EXPECT_NEAR(cluster.holder(2).LeaseRate(cluster.now, 0), 24, 0.2);
  EXPECT_LE(cluster.InUse(), kQuota + 1e-9);
  cluster.Run(10);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 72, 0.2) << "renewed";

  cluster.cut[1] = true;
  cluster.Run(2);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 72, 0.2) << "until the lease is over";
  cluster.Run(1.1);
  EXPECT_EQ(cluster.holder(1).LeaseRate(cluster.now, 0), 0);
  EXPECT_DOUBLE_EQ(cluster.holder(1).AdmissibleRate(cluster.now, 0), 2);
  EXPECT_EQ(cluster.holder(1).counters().expiries, 1u);
  cluster.Run(0.5);
  EXPECT_NEAR(cluster.holder(2).LeaseRate(cluster.now, 0), 96, 0.2) << "the other one has it now";

  cluster.cut[1] = false;
  cluster.Run(2);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 72, 0.5);
}

TEST(QuotaLease, WhatASilentHolderMayUseStaysReserved) {
  Cluster cluster(2);
  cluster.SetView(1);
  cluster.holder(1).SetDemand(cluster.now, 0, 10);
  cluster.Run(1);
  cluster.lose_grants[1] = true;
  cluster.holder(1).SetDemand(cluster.now, 0, 1);
  cluster.holder(2).SetDemand(cluster.now, 0, 100);
  for (int i = 0; i < 300; ++i) {
    cluster.Run(0.02);
    ASSERT_LE(cluster.InUse(), kQuota + 1e-9) << cluster.now;
    ASSERT_GE(cluster.allocator().ReservedRate(cluster.now, kTenant) + 4 + 1e-9, cluster.InUse());
  }
  EXPECT_GT(cluster.holder(2).LeaseRate(cluster.now, 0), 0);
}

TEST(QuotaLease, ALostRaiseIsOfferedAgain) {
  Cluster cluster(2);
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

TEST(QuotaLease, SteadyDemandChangesNothing) {
  Cluster cluster(5);
  cluster.SetView(1);
  for (NodeId id = 1; id <= 5; ++id) cluster.holder(id).SetDemand(cluster.now, 0, 10);
  cluster.Run(2);
  const double before = cluster.holder(3).LeaseRate(cluster.now, 0);
  const std::uint64_t carried = cluster.carried;
  for (int i = 0; i < 100; ++i) {
    for (NodeId id = 1; id <= 5; ++id) {
      cluster.holder(id).SetDemand(cluster.now, 0, 10 + 0.3 * ((i + static_cast<int>(id)) % 3 - 1));
    }
    cluster.Run(0.1);
    ASSERT_EQ(cluster.holder(3).LeaseRate(cluster.now, 0), before);
  }
  EXPECT_LE(cluster.carried - carried, 10 / 0.8 * 5 * 2 + 20) << "renewals and their answers";
}

TEST(QuotaLease, ALowerQuotaIsPushed) {
  Cluster cluster(2);
  cluster.SetView(1);
  cluster.holder(1).SetDemand(cluster.now, 0, 10);
  cluster.Run(1);
  for (NodeId id = 1; id <= 2; ++id) cluster.holder(id).SetQuotas(cluster.now, {{kTenant, 50}});
  cluster.allocator().SetQuotas(cluster.now, {{kTenant, 50}});
  EXPECT_LE(cluster.holder(1).AdmissibleRate(cluster.now, 0), 50) << "never more than the quota";
  cluster.Run(0.5);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 48, 0.1);
}

TEST(QuotaLease, MoreTenantsThanAFrameHolds) {
  std::vector<TenantQuota> tenants;
  for (TenantId id = 1; id <= 2 * kMaxEntries; ++id) tenants.push_back({id, kQuota});
  Cluster cluster(2, tenants);
  cluster.SetView(1);
  for (std::size_t i = 0; i < tenants.size(); ++i) cluster.holder(1).SetDemand(cluster.now, i, 5);
  cluster.Run(1);
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    ASSERT_NEAR(cluster.holder(1).LeaseRate(cluster.now, i), 96, 0.2) << i;
  }
  EXPECT_FALSE(cluster.allocator().IsTakingOver(cluster.now, 1));
}

TEST(QuotaLease, ADispatcherThatGrantsDoNotReachKeepsNothing) {
  Cluster cluster(2);
  cluster.SetView(1);
  cluster.Run(1);
  cluster.lose_grants[1] = true;
  cluster.holder(1).SetDemand(cluster.now, 0, 50);
  cluster.Run(0.5);
  EXPECT_NEAR(cluster.allocator().ReservedRate(cluster.now, kTenant), 96, 0.1) << "an open offer";
  cluster.holder(2).SetDemand(cluster.now, 0, 50);
  cluster.Run(2 * LeaseTimings{}.lease_duration_s + 1);
  EXPECT_NEAR(cluster.holder(2).LeaseRate(cluster.now, 0), 96, 0.1)
      << "reports without end change it not";
  cluster.Run(10);
  EXPECT_NEAR(cluster.holder(2).LeaseRate(cluster.now, 0), 96, 0.1);
  cluster.lose_grants[1] = false;
  cluster.Run(2);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 48, 0.1) << "it is found again";
  EXPECT_NEAR(cluster.holder(2).LeaseRate(cluster.now, 0), 48, 0.1);
}

TEST(QuotaLease, ALoweredQuotaLowersAnOpenOffer) {
  Cluster cluster(2);
  cluster.SetView(1);
  cluster.Run(1);
  cluster.lose_grants[1] = true;
  cluster.holder(1).SetDemand(cluster.now, 0, 50);
  cluster.Run(0.5);
  cluster.allocator().SetQuotas(cluster.now, {{kTenant, 10}});
  cluster.Run(0.5);
  EXPECT_NEAR(cluster.allocator().ReservedRate(cluster.now, kTenant), 96, 0.1)
      << "the larger offer may still arrive";
  cluster.lose_grants[1] = false;
  cluster.Run(1);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 9.6, 0.01);
  EXPECT_NEAR(cluster.allocator().ReservedRate(cluster.now, kTenant), 9.6, 0.01);
}

TEST(QuotaLease, AFullReportOfSeveralFramesIsGrantedFromAtItsEnd) {
  constexpr std::size_t kTenants = kMaxEntries + 10;
  std::vector<TenantQuota> tenants;
  for (TenantId id = 1; id <= kTenants; ++id) tenants.push_back({id, kQuota});
  Cluster cluster(1, tenants);
  cluster.SetView(1);
  for (std::size_t i = 0; i < kTenants; ++i) cluster.holder(1).SetDemand(cluster.now, i, 5);
  cluster.Run(0.09);
  EXPECT_TRUE(cluster.allocator().IsTakingOver(cluster.now, 1))
      << "the rest comes a report gap later";
  EXPECT_EQ(cluster.holder(1).counters().reports, 1u);
  cluster.Run(1);
  for (std::size_t i = 0; i < kTenants; ++i) {
    ASSERT_NEAR(cluster.holder(1).LeaseRate(cluster.now, i), 96, 0.2) << i;
  }
}

TEST(QuotaLease, ADispatchersFormerLifeStaysReserved) {
  Cluster cluster(2);
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

// ---- takeover ----

class QuotaTakeover : public ::testing::Test {
 protected:
  QuotaTakeover() {
    cluster.StartAllocator(2);
    cluster.SetView(ViewOf(1, {{1, 101}}));
    for (NodeId id = 1; id <= 3; ++id) cluster.holder(id).SetDemand(cluster.now, 0, 10);
    cluster.Run(2);
  }
  // Node 1 allocates no more and is not heard; its holder goes on.
  void LoseAllocator() {
    cluster.may_act[1] = false;
    cluster.SetView(ViewOf(2, {{2, 102}}));
  }
  Cluster cluster{3};
};

TEST_F(QuotaTakeover, EndsOnceEveryDispatcherHasReported) {
  LoseAllocator();
  EXPECT_TRUE(cluster.allocator(2).IsTakingOver(cluster.now, kTenant));
  EXPECT_DOUBLE_EQ(cluster.allocator(2).ReservedRate(cluster.now, kTenant), 96);
  cluster.Run(0.3);
  EXPECT_FALSE(cluster.allocator(2).IsTakingOver(cluster.now, kTenant));
  cluster.holder(1).SetDemand(cluster.now, 0, 100);
  cluster.Run(1);
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 80, 0.2);
  EXPECT_LE(cluster.InUse(), kQuota + 1e-9);
}

TEST_F(QuotaTakeover, GrantsNothingNewWhileOneIsSilent) {
  cluster.cut[3] = true;
  LoseAllocator();
  cluster.holder(1).SetDemand(cluster.now, 0, 1000);
  const LeaseTimings timings;
  const double lost_at = cluster.now;
  const double over =
      lost_at + timings.MaxLocalDuration(timings.superseded_grant_s + timings.lease_duration_s);
  while (cluster.now < over - 0.05) {
    cluster.Run(0.02);
    ASSERT_TRUE(cluster.allocator(2).IsTakingOver(cluster.now, kTenant));
    ASSERT_LE(cluster.InUse(), kQuota + 1e-9);
    const double lease = cluster.holder(1).LeaseRate(cluster.now, 0);
    const bool carried =
        cluster.now < lost_at + timings.lease_duration_s - timings.renew_interval_s;
    if (carried) {
      ASSERT_NEAR(lease, 32, 0.1);
    }
    if (cluster.now >= lost_at + timings.lease_duration_s) {
      ASSERT_EQ(lease, 0) << "a lease of an allocator that may still act is not prolonged";
    }
  }
  cluster.Run(1);
  EXPECT_FALSE(cluster.allocator(2).IsTakingOver(cluster.now, kTenant));
  EXPECT_NEAR(cluster.holder(1).LeaseRate(cluster.now, 0), 96 * 1000.0 / 1010, 0.5);
}

TEST_F(QuotaTakeover, BeginsAnewWhereAViewWasMissed) {
  cluster.SetView(ViewOf(3, {{1, 101}}));
  EXPECT_TRUE(cluster.allocator(1).IsTakingOver(cluster.now, kTenant));
  cluster.Run(0.3);
  EXPECT_FALSE(cluster.allocator(1).IsTakingOver(cluster.now, kTenant));
  cluster.SetView(ViewOf(4, {{1, 101}}));
  EXPECT_FALSE(cluster.allocator(1).IsTakingOver(cluster.now, kTenant)) << "kept";
  cluster.SetView(ViewOf(5, {{1, 999}}));
  EXPECT_TRUE(cluster.allocator(1).IsTakingOver(cluster.now, kTenant)) << "another process of it";
}

TEST_F(QuotaTakeover, TheOldAllocatorIsNotHeardAnyMore) {
  const double lease = cluster.holder(2).LeaseRate(cluster.now, 0);
  cluster.holder(2).SetView(cluster.now, ViewOf(2, {{2, 102}}));
  Grant late{
      .epoch = 1, .acked_sequence = 2, .lease_duration_s = 3, .assignments = {{kTenant, 90, 1000}}};
  late.process_incarnation = cluster.process_incarnation(2);
  EXPECT_EQ(cluster.holder(2).OnGrant(cluster.now, 1, late), RejectReason::kStaleEpoch);
  EXPECT_EQ(cluster.holder(2).LeaseRate(cluster.now, 0), lease);
}

TEST(QuotaAllocator, GrantsOnlyWhileItMayAct) {
  Cluster cluster(2);
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

// ---- refusals ----

class QuotaRefusal : public ::testing::Test {
 protected:
  QuotaRefusal() {
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
  void ExpectRefused(const UsageReport& report, RejectReason cause, NodeId from = 1) {
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
  void ExpectRefused(const Grant& grant, RejectReason cause, NodeId from = kAllocator) {
    const auto counted = [&] {
      return cluster.holder(1).counters().rejected[static_cast<std::size_t>(cause)];
    };
    const std::uint64_t before = counted();
    const double lease = cluster.holder(1).LeaseRate(cluster.now, 0);
    EXPECT_EQ(cluster.holder(1).OnGrant(cluster.now, from, grant), cause);
    EXPECT_EQ(counted(), before + 1);
    EXPECT_EQ(cluster.holder(1).LeaseRate(cluster.now, 0), lease);
  }
  Cluster cluster{2};
  UsageReport good_report;
  Grant good_grant;
};

TEST_F(QuotaRefusal, OfReports) {
  UsageReport report = good_report;
  report.epoch = 4;
  ExpectRefused(report, RejectReason::kStaleEpoch);
  report.epoch = 6;
  ExpectRefused(report, RejectReason::kNotAllocator);
  report = good_report;
  report.sequence = 1;
  ExpectRefused(report, RejectReason::kDuplicate);
  ExpectRefused(good_report, RejectReason::kNotAllocator, 99);
  report = good_report;
  report.usages.push_back({78, 1, 0, 0, 0});
  ExpectRefused(report, RejectReason::kUnknownTenant);
  report = good_report;
  report.usages.assign(kMaxEntries + 1, {kTenant, 1, 0, 0, 0});
  ExpectRefused(report, RejectReason::kTooLarge);
  for (const double bad : {-1.0, std::nan(""), std::numeric_limits<double>::infinity(), 2e9}) {
    report = good_report;
    report.usages[0].demand_rps = bad;
    ExpectRefused(report, RejectReason::kInvalidNumber);
    report = good_report;
    report.usages[0].lease_rps = bad;
    ExpectRefused(report, RejectReason::kInvalidNumber);
    report = good_report;
    report.usages[0].lease_remaining_s = bad;
    ExpectRefused(report, RejectReason::kInvalidNumber);
  }
  EXPECT_EQ(cluster.allocator().OnUsageReport(cluster.now, 1, cluster.process_incarnation(1),
                                              good_report),
            RejectReason::kNone);
}

TEST_F(QuotaRefusal, OfReportsOfAFormerLife) {
  UsageReport first = good_report;
  first.sequence = 1;
  EXPECT_EQ(cluster.allocator().OnUsageReport(cluster.now, 1, 555, first), RejectReason::kNone);
  ExpectRefused(good_report, RejectReason::kDuplicate);
}

TEST_F(QuotaRefusal, OfGrants) {
  Grant grant = good_grant;
  grant.epoch = 4;
  ExpectRefused(grant, RejectReason::kStaleEpoch);
  grant.epoch = 6;
  ExpectRefused(grant, RejectReason::kNotAllocator);
  ExpectRefused(good_grant, RejectReason::kNotAllocator, 2);
  grant = good_grant;
  grant.process_incarnation = 555;
  ExpectRefused(grant, RejectReason::kDuplicate);
  grant = good_grant;
  grant.acked_sequence = 1;
  ExpectRefused(grant, RejectReason::kDuplicate);
  grant.acked_sequence = 1000;
  ExpectRefused(grant, RejectReason::kInvalidNumber);
  grant = good_grant;
  grant.assignments.push_back({78, 1, 1001});
  ExpectRefused(grant, RejectReason::kUnknownTenant);
  grant = good_grant;
  grant.assignments.assign(kMaxEntries + 1, {kTenant, 1, 1000});
  ExpectRefused(grant, RejectReason::kTooLarge);
  for (const double bad : {-1.0, std::nan(""), std::numeric_limits<double>::infinity(), 2e9}) {
    grant = good_grant;
    grant.assignments[0].rate_rps = bad;
    ExpectRefused(grant, RejectReason::kInvalidNumber);
    grant = good_grant;
    grant.lease_duration_s = bad;
    ExpectRefused(grant, RejectReason::kInvalidNumber);
  }
}

TEST_F(QuotaRefusal, OfADoubledGrant) {
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

// ---- placement ----

TEST(QuotaPlacement, ALostMemberMovesItsTenantsAlone) {
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
