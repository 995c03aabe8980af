// Courses of events in which quota leases once went wrong, or nearly: each is played with several
// clocks and delays, and the world's checker looks at the sum after each event.
#include <gtest/gtest.h>

#include "support/quota_demand.h"
#include "support/quota_world.h"

namespace millethollow::quota {
namespace {

constexpr std::uint64_t kSeeds = 20;
constexpr double kWarmUpSeconds = 12;
constexpr double kMuchDemand = 2;  // of each quota, at each dispatcher

WorldOptions Few() {
  WorldOptions options;
  options.dispatchers = 6;
  options.allocators = 3;
  options.tenants = 12;
  return options;
}

void Begin(QuotaWorld* world) {
  world->StartAll();
  world->ProposeWholeView(0.5);
  world->RunUntil(kWarmUpSeconds);
}

void DemandAt(QuotaWorld* world, std::size_t i, double part) {
  for (std::size_t tenant = 0; tenant < world->tenants(); ++tenant) {
    world->SetDemand(i, tenant, part * world->quota(tenant));
  }
}

double LeasedAt(const QuotaWorld& world, std::size_t i) {
  double sum = 0;
  for (std::size_t tenant = 0; tenant < world.tenants(); ++tenant) {
    sum += world.RateOf(i, tenant) - world.checker().Floor(i, tenant);
  }
  return sum;
}

std::string Told(std::uint64_t seed) { return "seed " + std::to_string(seed); }

// The last dispatcher and the others' new allocators know the next view at once. The allocator that
// the view leaves out acts on the earlier one as long as it may, hears nothing of that dispatcher,
// and gives what it held to those who don't know the new view: by then it must not hold it any
// more.
TEST(QuotaScenario, ALeaseOfAnEarlierAllocatorIsNotProlongedWhileThatOneMayGrant) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaWorld world(seed, Few());
    const std::size_t last = world.size() - 1;
    Begin(&world);
    for (std::size_t i = 0; i < world.size(); ++i) DemandAt(&world, i, kMuchDemand);
    world.RunUntil(world.now() + kWarmUpSeconds);
    ASSERT_GT(LeasedAt(world, last), 0);
    const double superseded_grant_s = world.options().timings.superseded_grant_s;
    world.ProposeViewKnownAfter(
        [](std::size_t) { return true; }, [](std::size_t i) { return i > 0; },
        [&](std::size_t i) { return i == last || i == 1 || i == 2 ? 0 : superseded_grant_s; });
    world.RunUntil(world.now() + 2 * superseded_grant_s);
    EXPECT_EQ(world.broken(), std::vector<std::string>{}) << Told(seed);
  }
}

// Grants to one dispatcher are lost, its reports arrive. What was offered to it before the quota
// was lowered must not come to it when the lower quota has been in force everywhere for long.
TEST(QuotaScenario, AnOfferAboveALoweredQuotaIsNotMadeAgain) {
  constexpr double kLossSeconds = 2, kLoweredForSeconds = 11, kLowered = 0.3;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaWorld world(seed, Few());
    const std::size_t last = world.size() - 1;
    Begin(&world);
    world.CutWhere([](std::size_t) { return true; }, [&](std::size_t i) { return i == last; });
    DemandAt(&world, last, kMuchDemand);
    world.RunUntil(world.now() + kLossSeconds);
    std::vector<double> lowered = world.quotas();
    for (double& quota : lowered) quota *= kLowered;
    world.SetQuotas(lowered, 0);
    world.RunUntil(world.now() + kLoweredForSeconds);
    world.Heal();
    world.RunUntil(world.now() + kWarmUpSeconds);
    EXPECT_EQ(world.broken(), std::vector<std::string>{}) << Told(seed);
    EXPECT_EQ(FirstUnused(world), "") << Told(seed);
  }
}

// Grants to one dispatcher are lost, its reports arrive. Its demand is gone: what was offered to it
// must not be kept from others for longer than its leases could last.
TEST(QuotaScenario, AnOfferThatNobodyWantsAnyMoreIsFreeAgain) {
  constexpr double kLossSeconds = 2, kLongSeconds = 30;
  QuotaWorld world(1, Few());
  const std::size_t last = world.size() - 1;
  Begin(&world);
  world.CutWhere([](std::size_t) { return true; }, [&](std::size_t i) { return i == last; });
  DemandAt(&world, last, kMuchDemand);
  world.RunUntil(world.now() + kLossSeconds);
  DemandAt(&world, last, 0);
  DemandAt(&world, 0, kMuchDemand);
  world.RunUntil(world.now() + kLongSeconds);
  EXPECT_EQ(FirstUnused(world), "");
  EXPECT_EQ(world.broken(), std::vector<std::string>{});
}

// A dispatcher has applied what it was offered, and nobody hears that any more. The quota is
// lowered, so that less is offered in its place, and is raised again at once: until its lease is
// over the larger offer counts, not the newest.
TEST(QuotaScenario, AnOfferInPlaceOfALargerOneLeavesTheLargerReserved) {
  constexpr double kLookSeconds = 0.005, kLowered = 0.5, kLoweredForSeconds = 0.15;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaWorld world(seed, Few());
    const std::size_t last = world.size() - 1;
    const auto is_last = [&](std::size_t i) { return i == last; };
    const auto anyone = [](std::size_t) { return true; };
    Begin(&world);
    DemandAt(&world, 0, kMuchDemand);
    DemandAt(&world, last, kMuchDemand);
    const double until = world.now() + kWarmUpSeconds;
    while (LeasedAt(world, last) <= 0 && world.now() < until) {
      world.RunUntil(world.now() + kLookSeconds);
    }
    ASSERT_GT(LeasedAt(world, last), 0) << Told(seed);
    world.CutWhere(is_last, anyone);
    world.CutWhere(anyone, is_last);
    const std::vector<double> quotas = world.quotas();
    std::vector<double> lowered = quotas;
    for (double& quota : lowered) quota *= kLowered;
    world.SetQuotas(lowered, 0);
    world.RunUntil(world.now() + kLoweredForSeconds);
    world.SetQuotas(quotas, 0);
    world.RunUntil(world.now() + world.options().timings.lease_duration_s / 2);
    EXPECT_GT(LeasedAt(world, last), 0) << "or nothing had to be kept for it, " << Told(seed);
    world.RunUntil(world.now() + kWarmUpSeconds);
    EXPECT_EQ(world.broken(), std::vector<std::string>{}) << Told(seed);
  }
}

// A dispatcher starts again while grants to its former life are held in the network for seconds.
TEST(QuotaScenario, GrantsToAFormerLifeGiveTheNextOneNothing) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaWorld world(seed, Few());
    const std::size_t last = world.size() - 1;
    Begin(&world);
    world.SetNetwork({.lost = 0, .doubled = 0.5, .held = 0.3});
    for (std::size_t i = 0; i < world.size(); ++i) DemandAt(&world, i, kMuchDemand);
    for (int start = 0; start < 10; ++start) {
      world.RunUntil(world.now() + 1.5 * world.random().Unit());
      world.Kill(last);
      world.Start(last);
      DemandAt(&world, last, kMuchDemand);
      world.ProposeWholeView(0.1);
    }
    world.RunUntil(world.now() + kWarmUpSeconds);
    EXPECT_EQ(world.broken(), std::vector<std::string>{}) << Told(seed);
  }
}

// A dispatcher that is stopped for longer than its leases wakes with none.
TEST(QuotaScenario, OneThatWakesHoldsNothingThatWasGivenToOthers) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaWorld world(seed, Few());
    const std::size_t last = world.size() - 1;
    Begin(&world);
    for (std::size_t i = 0; i < world.size(); ++i) DemandAt(&world, i, kMuchDemand);
    world.RunUntil(world.now() + kWarmUpSeconds);
    world.Stop(last, 3.3 * world.options().timings.lease_duration_s);
    world.RunUntil(world.now() + 1.5 * world.options().timings.lease_duration_s);
    EXPECT_EQ(LeasedAt(world, last), 0) << Told(seed);
    for (std::size_t tenant = 0; tenant < world.tenants(); ++tenant) {
      EXPECT_GE(world.RateOf(0, tenant), 0.15 * world.quota(tenant)) << Told(seed);
    }
    world.RunUntil(world.now() + kWarmUpSeconds);
    EXPECT_EQ(world.broken(), std::vector<std::string>{}) << Told(seed);
    EXPECT_EQ(FirstUnused(world), "") << Told(seed);
  }
}

}  // namespace
}  // namespace millethollow::quota
