// Sequences of events that could violate a quota. Each runs with several seeds of clocks and
// delays; the simulation checks the sum of the rates after each event.
#include <gtest/gtest.h>

#include "support/quota_demand.h"
#include "support/quota_simulation.h"

namespace millethollow::quota {
namespace {

constexpr std::uint64_t kSeeds = 20;
constexpr double kWarmUpSeconds = 12;
constexpr double kHighDemand = 2;  // of each quota, at each dispatcher

SimulationOptions MakeOptions() {
  SimulationOptions options;
  options.dispatchers = 6;
  options.allocators = 3;
  options.tenants = 12;
  return options;
}

void StartAndWarmUp(QuotaSimulation* simulation) {
  simulation->StartAll();
  simulation->ProposeFullView(0.5);
  simulation->RunUntil(kWarmUpSeconds);
}

void SetDispatcherDemand(QuotaSimulation* simulation, std::size_t i, double quota_fraction) {
  for (std::size_t tenant = 0; tenant < simulation->tenants(); ++tenant) {
    simulation->SetDemand(i, tenant, quota_fraction * simulation->quota(tenant));
  }
}

double LeasedRate(const QuotaSimulation& simulation, std::size_t i) {
  double sum = 0;
  for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
    sum += simulation.RateOf(i, tenant) - simulation.checker().Floor(i, tenant);
  }
  return sum;
}

std::string SeedText(std::uint64_t seed) { return "seed " + std::to_string(seed); }

// The last dispatcher and the new allocators know the next view at once. The allocator that the
// view leaves out acts on the earlier view as long as it may. It gets no reports of that
// dispatcher, and grants its rate to dispatchers that don't know the new view: by then the lease
// must have ended.
TEST(QuotaScenario, LeaseOfASupersededAllocatorIsNotExtended) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaSimulation simulation(seed, MakeOptions());
    const std::size_t last = simulation.size() - 1;
    StartAndWarmUp(&simulation);
    for (std::size_t i = 0; i < simulation.size(); ++i)
      SetDispatcherDemand(&simulation, i, kHighDemand);
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    ASSERT_GT(LeasedRate(simulation, last), 0);
    const double superseded_grant_s = simulation.options().timings.superseded_grant_s;
    simulation.ProposeViewKnownAfter(
        [](std::size_t) { return true; }, [](std::size_t i) { return i > 0; },
        [&](std::size_t i) { return i == last || i == 1 || i == 2 ? 0 : superseded_grant_s; });
    simulation.RunUntil(simulation.now() + 2 * superseded_grant_s);
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{}) << SeedText(seed);
  }
}

// Grants to one dispatcher are lost, its reports arrive. A rate granted before the quota was
// lowered must not reach it after the lower quota has been in force everywhere for long.
TEST(QuotaScenario, UnconfirmedGrantAboveALoweredQuotaIsNotRepeated) {
  constexpr double kLossSeconds = 2, kLoweredForSeconds = 11, kLoweredFraction = 0.3;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaSimulation simulation(seed, MakeOptions());
    const std::size_t last = simulation.size() - 1;
    StartAndWarmUp(&simulation);
    simulation.CutLinks([](std::size_t) { return true; }, [&](std::size_t i) { return i == last; });
    SetDispatcherDemand(&simulation, last, kHighDemand);
    simulation.RunUntil(simulation.now() + kLossSeconds);
    std::vector<double> lowered = simulation.quotas();
    for (double& quota : lowered) quota *= kLoweredFraction;
    simulation.SetQuotas(lowered, 0);
    simulation.RunUntil(simulation.now() + kLoweredForSeconds);
    simulation.Heal();
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{}) << SeedText(seed);
    EXPECT_EQ(DescribeUnderused(simulation), "") << SeedText(seed);
  }
}

// Grants to one dispatcher are lost, its reports arrive, and its demand ends. The rate granted to
// it must not stay reserved for longer than its leases could last.
TEST(QuotaScenario, UnconfirmedGrantWithoutDemandIsReleased) {
  constexpr double kLossSeconds = 2, kLongSeconds = 30;
  QuotaSimulation simulation(1, MakeOptions());
  const std::size_t last = simulation.size() - 1;
  StartAndWarmUp(&simulation);
  simulation.CutLinks([](std::size_t) { return true; }, [&](std::size_t i) { return i == last; });
  SetDispatcherDemand(&simulation, last, kHighDemand);
  simulation.RunUntil(simulation.now() + kLossSeconds);
  SetDispatcherDemand(&simulation, last, 0);
  SetDispatcherDemand(&simulation, 0, kHighDemand);
  simulation.RunUntil(simulation.now() + kLongSeconds);
  EXPECT_EQ(DescribeUnderused(simulation), "");
  EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
}

// A dispatcher has applied a grant, but its reports are lost from then on. The quota is lowered, so
// that a smaller rate is granted in place of the first, and raised again at once: until the lease
// ends the larger of the two rates must stay reserved.
TEST(QuotaScenario, UnconfirmedGrantStaysReservedWhenASmallerOneReplacesIt) {
  constexpr double kCheckSeconds = 0.005, kLoweredFraction = 0.5, kLoweredForSeconds = 0.15;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaSimulation simulation(seed, MakeOptions());
    const std::size_t last = simulation.size() - 1;
    const auto is_last = [&](std::size_t i) { return i == last; };
    const auto anyone = [](std::size_t) { return true; };
    StartAndWarmUp(&simulation);
    SetDispatcherDemand(&simulation, 0, kHighDemand);
    SetDispatcherDemand(&simulation, last, kHighDemand);
    const double until = simulation.now() + kWarmUpSeconds;
    while (LeasedRate(simulation, last) <= 0 && simulation.now() < until) {
      simulation.RunUntil(simulation.now() + kCheckSeconds);
    }
    ASSERT_GT(LeasedRate(simulation, last), 0) << SeedText(seed);
    simulation.CutLinks(is_last, anyone);
    simulation.CutLinks(anyone, is_last);
    const std::vector<double> quotas = simulation.quotas();
    std::vector<double> lowered = quotas;
    for (double& quota : lowered) quota *= kLoweredFraction;
    simulation.SetQuotas(lowered, 0);
    simulation.RunUntil(simulation.now() + kLoweredForSeconds);
    simulation.SetQuotas(quotas, 0);
    simulation.RunUntil(simulation.now() + simulation.options().timings.lease_duration_s / 2);
    EXPECT_GT(LeasedRate(simulation, last), 0) << "no rate had to be reserved, " << SeedText(seed);
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{}) << SeedText(seed);
  }
}

// A dispatcher restarts while grants to its earlier process are delayed in the network for seconds.
TEST(QuotaScenario, GrantsToAnEarlierProcessAreRejectedByTheNext) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaSimulation simulation(seed, MakeOptions());
    const std::size_t last = simulation.size() - 1;
    StartAndWarmUp(&simulation);
    simulation.SetNetwork({.loss = 0, .duplication = 0.5, .delayed = 0.3});
    for (std::size_t i = 0; i < simulation.size(); ++i)
      SetDispatcherDemand(&simulation, i, kHighDemand);
    for (int start = 0; start < 10; ++start) {
      simulation.RunUntil(simulation.now() + 1.5 * simulation.random().Unit());
      simulation.Kill(last);
      simulation.Start(last);
      SetDispatcherDemand(&simulation, last, kHighDemand);
      simulation.ProposeFullView(0.1);
    }
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{}) << SeedText(seed);
  }
}

// A dispatcher that was paused for longer than its leases last resumes without any.
TEST(QuotaScenario, LeasesExpireDuringAPause) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaSimulation simulation(seed, MakeOptions());
    const std::size_t last = simulation.size() - 1;
    StartAndWarmUp(&simulation);
    for (std::size_t i = 0; i < simulation.size(); ++i)
      SetDispatcherDemand(&simulation, i, kHighDemand);
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    simulation.Pause(last, 3.3 * simulation.options().timings.lease_duration_s);
    simulation.RunUntil(simulation.now() + 1.5 * simulation.options().timings.lease_duration_s);
    EXPECT_EQ(LeasedRate(simulation, last), 0) << SeedText(seed);
    for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
      EXPECT_GE(simulation.RateOf(0, tenant), 0.15 * simulation.quota(tenant)) << SeedText(seed);
    }
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{}) << SeedText(seed);
    EXPECT_EQ(DescribeUnderused(simulation), "") << SeedText(seed);
  }
}

}  // namespace
}  // namespace millethollow::quota
