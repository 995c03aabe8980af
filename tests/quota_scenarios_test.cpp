// Courses of events in which quota leases once went wrong, or nearly: each is played with several
// clocks and delays, and the simulation's checker looks at the sum after each event.
#include <gtest/gtest.h>

#include "support/quota_demand.h"
#include "support/quota_simulation.h"

namespace millethollow::quota {
namespace {

constexpr std::uint64_t kSeeds = 20;
constexpr double kWarmUpSeconds = 12;
constexpr double kMuchDemand = 2;  // of each quota, at each dispatcher

SimulationOptions Few() {
  SimulationOptions options;
  options.dispatchers = 6;
  options.allocators = 3;
  options.tenants = 12;
  return options;
}

void Begin(QuotaSimulation* simulation) {
  simulation->StartAll();
  simulation->ProposeWholeView(0.5);
  simulation->RunUntil(kWarmUpSeconds);
}

void DemandAt(QuotaSimulation* simulation, std::size_t i, double part) {
  for (std::size_t tenant = 0; tenant < simulation->tenants(); ++tenant) {
    simulation->SetDemand(i, tenant, part * simulation->quota(tenant));
  }
}

double LeasedAt(const QuotaSimulation& simulation, std::size_t i) {
  double sum = 0;
  for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
    sum += simulation.RateOf(i, tenant) - simulation.checker().Floor(i, tenant);
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
    QuotaSimulation simulation(seed, Few());
    const std::size_t last = simulation.size() - 1;
    Begin(&simulation);
    for (std::size_t i = 0; i < simulation.size(); ++i) DemandAt(&simulation, i, kMuchDemand);
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    ASSERT_GT(LeasedAt(simulation, last), 0);
    const double superseded_grant_s = simulation.options().timings.superseded_grant_s;
    simulation.ProposeViewKnownAfter(
        [](std::size_t) { return true; }, [](std::size_t i) { return i > 0; },
        [&](std::size_t i) { return i == last || i == 1 || i == 2 ? 0 : superseded_grant_s; });
    simulation.RunUntil(simulation.now() + 2 * superseded_grant_s);
    EXPECT_EQ(simulation.broken(), std::vector<std::string>{}) << Told(seed);
  }
}

// Grants to one dispatcher are lost, its reports arrive. What was offered to it before the quota
// was lowered must not come to it when the lower quota has been in force everywhere for long.
TEST(QuotaScenario, AnOfferAboveALoweredQuotaIsNotMadeAgain) {
  constexpr double kLossSeconds = 2, kLoweredForSeconds = 11, kLowered = 0.3;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaSimulation simulation(seed, Few());
    const std::size_t last = simulation.size() - 1;
    Begin(&simulation);
    simulation.CutWhere([](std::size_t) { return true; }, [&](std::size_t i) { return i == last; });
    DemandAt(&simulation, last, kMuchDemand);
    simulation.RunUntil(simulation.now() + kLossSeconds);
    std::vector<double> lowered = simulation.quotas();
    for (double& quota : lowered) quota *= kLowered;
    simulation.SetQuotas(lowered, 0);
    simulation.RunUntil(simulation.now() + kLoweredForSeconds);
    simulation.Heal();
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    EXPECT_EQ(simulation.broken(), std::vector<std::string>{}) << Told(seed);
    EXPECT_EQ(FirstUnused(simulation), "") << Told(seed);
  }
}

// Grants to one dispatcher are lost, its reports arrive. Its demand is gone: what was offered to it
// must not be kept from others for longer than its leases could last.
TEST(QuotaScenario, AnOfferThatNobodyWantsAnyMoreIsFreeAgain) {
  constexpr double kLossSeconds = 2, kLongSeconds = 30;
  QuotaSimulation simulation(1, Few());
  const std::size_t last = simulation.size() - 1;
  Begin(&simulation);
  simulation.CutWhere([](std::size_t) { return true; }, [&](std::size_t i) { return i == last; });
  DemandAt(&simulation, last, kMuchDemand);
  simulation.RunUntil(simulation.now() + kLossSeconds);
  DemandAt(&simulation, last, 0);
  DemandAt(&simulation, 0, kMuchDemand);
  simulation.RunUntil(simulation.now() + kLongSeconds);
  EXPECT_EQ(FirstUnused(simulation), "");
  EXPECT_EQ(simulation.broken(), std::vector<std::string>{});
}

// A dispatcher has applied what it was offered, and nobody hears that any more. The quota is
// lowered, so that less is offered in its place, and is raised again at once: until its lease is
// over the larger offer counts, not the newest.
TEST(QuotaScenario, AnOfferInPlaceOfALargerOneLeavesTheLargerReserved) {
  constexpr double kLookSeconds = 0.005, kLowered = 0.5, kLoweredForSeconds = 0.15;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaSimulation simulation(seed, Few());
    const std::size_t last = simulation.size() - 1;
    const auto is_last = [&](std::size_t i) { return i == last; };
    const auto anyone = [](std::size_t) { return true; };
    Begin(&simulation);
    DemandAt(&simulation, 0, kMuchDemand);
    DemandAt(&simulation, last, kMuchDemand);
    const double until = simulation.now() + kWarmUpSeconds;
    while (LeasedAt(simulation, last) <= 0 && simulation.now() < until) {
      simulation.RunUntil(simulation.now() + kLookSeconds);
    }
    ASSERT_GT(LeasedAt(simulation, last), 0) << Told(seed);
    simulation.CutWhere(is_last, anyone);
    simulation.CutWhere(anyone, is_last);
    const std::vector<double> quotas = simulation.quotas();
    std::vector<double> lowered = quotas;
    for (double& quota : lowered) quota *= kLowered;
    simulation.SetQuotas(lowered, 0);
    simulation.RunUntil(simulation.now() + kLoweredForSeconds);
    simulation.SetQuotas(quotas, 0);
    simulation.RunUntil(simulation.now() + simulation.options().timings.lease_duration_s / 2);
    EXPECT_GT(LeasedAt(simulation, last), 0) << "or nothing had to be kept for it, " << Told(seed);
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    EXPECT_EQ(simulation.broken(), std::vector<std::string>{}) << Told(seed);
  }
}

// A dispatcher starts again while grants to its former life are held in the network for seconds.
TEST(QuotaScenario, GrantsToAFormerLifeGiveTheNextOneNothing) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaSimulation simulation(seed, Few());
    const std::size_t last = simulation.size() - 1;
    Begin(&simulation);
    simulation.SetNetwork({.lost = 0, .doubled = 0.5, .held = 0.3});
    for (std::size_t i = 0; i < simulation.size(); ++i) DemandAt(&simulation, i, kMuchDemand);
    for (int start = 0; start < 10; ++start) {
      simulation.RunUntil(simulation.now() + 1.5 * simulation.random().Unit());
      simulation.Kill(last);
      simulation.Start(last);
      DemandAt(&simulation, last, kMuchDemand);
      simulation.ProposeWholeView(0.1);
    }
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    EXPECT_EQ(simulation.broken(), std::vector<std::string>{}) << Told(seed);
  }
}

// A dispatcher that is stopped for longer than its leases wakes with none.
TEST(QuotaScenario, OneThatWakesHoldsNothingThatWasGivenToOthers) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaSimulation simulation(seed, Few());
    const std::size_t last = simulation.size() - 1;
    Begin(&simulation);
    for (std::size_t i = 0; i < simulation.size(); ++i) DemandAt(&simulation, i, kMuchDemand);
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    simulation.Stop(last, 3.3 * simulation.options().timings.lease_duration_s);
    simulation.RunUntil(simulation.now() + 1.5 * simulation.options().timings.lease_duration_s);
    EXPECT_EQ(LeasedAt(simulation, last), 0) << Told(seed);
    for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
      EXPECT_GE(simulation.RateOf(0, tenant), 0.15 * simulation.quota(tenant)) << Told(seed);
    }
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    EXPECT_EQ(simulation.broken(), std::vector<std::string>{}) << Told(seed);
    EXPECT_EQ(FirstUnused(simulation), "") << Told(seed);
  }
}

}  // namespace
}  // namespace millethollow::quota
