// Quota leases without faults: how fast rates follow demand, that steady demand doesn't make them
// oscillate, and that a dispatcher's messages don't grow with the cluster.
#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "support/quota_demand.h"
#include "support/quota_simulation.h"

namespace millethollow::quota {
namespace {

constexpr double kWarmUpSeconds = 12;  // longer than the first takeover can take

SimulationOptions MakeOptions(std::size_t dispatchers, std::size_t allocators,
                              std::size_t tenants) {
  SimulationOptions options;
  options.dispatchers = dispatchers;
  options.allocators = allocators;
  options.tenants = tenants;
  return options;
}

void StartAndWarmUp(QuotaSimulation* simulation) {
  simulation->StartAll();
  simulation->ProposeFullView(0.5);
  simulation->RunUntil(kWarmUpSeconds);
}

// All of the tenant's demand in one region, `quota_fraction` of its quota.
void SetRegionDemand(QuotaSimulation* simulation, std::size_t tenant, std::size_t region,
                     double quota_fraction) {
  std::vector<double> demand(simulation->size(), 0);
  double region_size = 0;
  for (std::size_t i = 0; i < demand.size(); ++i)
    region_size += simulation->process(i).region == region;
  for (std::size_t i = 0; i < demand.size(); ++i) {
    if (simulation->process(i).region == region)
      demand[i] = quota_fraction * simulation->quota(tenant) / region_size;
  }
  SetTenantDemand(simulation, tenant, demand);
}

void SetEqualDemand(QuotaSimulation* simulation, double quota_fraction) {
  const auto dispatchers = static_cast<double>(simulation->size());
  for (std::size_t tenant = 0; tenant < simulation->tenants(); ++tenant) {
    const double each = quota_fraction * simulation->quota(tenant) / dispatchers;
    SetTenantDemand(simulation, tenant, std::vector<double>(simulation->size(), each));
  }
}

TEST(QuotaWithoutFaults, DemandThatMovesToAnotherRegionIsServedWithinFiveSeconds) {
  constexpr double kMaxSeconds = 5, kStepSeconds = 0.05;
  double slowest_s = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const double quota_fraction : {0.5, 0.9, 2.0}) {
      QuotaSimulation simulation(seed, MakeOptions(20 + seed, 5, 6));
      StartAndWarmUp(&simulation);
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        SetRegionDemand(&simulation, tenant, 0, quota_fraction);
      }
      simulation.RunUntil(simulation.now() + kWarmUpSeconds);
      ASSERT_EQ(DescribeUnderused(simulation), "")
          << "seed " << seed << " demand " << quota_fraction;
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        SetRegionDemand(&simulation, tenant, 1, quota_fraction);
      }
      const double moved_at = simulation.now();
      simulation.RunUntil(moved_at + kStepSeconds);
      while (DescribeUnderused(simulation) != "" && simulation.now() < moved_at + kMaxSeconds) {
        simulation.RunUntil(simulation.now() + kStepSeconds);
      }
      ASSERT_EQ(simulation.violations(), std::vector<std::string>{}) << "seed " << seed;
      ASSERT_EQ(DescribeUnderused(simulation), "")
          << "seed " << seed << " demand " << quota_fraction;
      slowest_s = std::max(slowest_s, simulation.now() - moved_at);
    }
  }
  std::printf("slowest: utilization 0.95 at %.2f s after the move\n", slowest_s);
}

// Measured demand decays exponentially after the real demand has moved, so that some of the rate is
// being released all the time. Dispatchers with new demand must get the rate that is already free
// without waiting for the rest.
TEST(QuotaWithoutFaults, FadingDemandReleasesItsRateToOthers) {
  constexpr double kFadeSeconds = 2, kCheckSeconds = 0.1, kWithinSeconds = 5, kUntilSeconds = 12;
  constexpr double kDemandOfQuota = 2, kMinUtilization = 0.97;
  constexpr std::size_t kSize = 6;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    QuotaSimulation simulation(seed, MakeOptions(kSize, 3, 4));
    StartAndWarmUp(&simulation);
    const auto set_demand = [&](double first_pair, double second_pair) {
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        const double each = kDemandOfQuota * simulation.quota(tenant) / 2;
        std::vector<double> demand(kSize, 0);
        demand[0] = demand[1] = first_pair * each;
        demand[2] = demand[3] = second_pair * each;
        SetTenantDemand(&simulation, tenant, demand);
      }
    };
    set_demand(1, 0);
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    const double moved_at = simulation.now();
    while (simulation.now() < moved_at + kUntilSeconds) {
      const double remaining = std::exp((moved_at - simulation.now()) / kFadeSeconds);
      set_demand(remaining, 1 - remaining);
      simulation.RunUntil(simulation.now() + kCheckSeconds);
      if (simulation.now() < moved_at + kWithinSeconds) continue;
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        const Utilization utilization = UtilizationOf(simulation, tenant);
        ASSERT_GE(utilization.admitted, kMinUtilization * utilization.achievable)
            << "seed " << seed << ", " << simulation.now() - moved_at << " s after the move";
      }
    }
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{}) << "seed " << seed;
  }
}

// Demand that varies by 3% counts as steady.
TEST(QuotaWithoutFaults, SteadyDemandDoesNotMakeRatesOscillate) {
  constexpr double kNoise = 0.03, kMinuteSeconds = 60, kStepSeconds = 0.1;
  constexpr std::uint64_t kMaxChangesPerMinute = 4;
  for (const double quota_fraction : {0.4, 1.0, 2.5}) {
    QuotaSimulation simulation(3, MakeOptions(20, 5, 6));
    StartAndWarmUp(&simulation);
    SetEqualDemand(&simulation, quota_fraction);
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    std::map<std::pair<std::size_t, std::size_t>, double> rates;
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> changes;
    simulation.on_grant = [&](std::size_t i) {
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        const auto [rate, is_new] = rates.try_emplace({i, tenant}, simulation.RateOf(i, tenant));
        if (!is_new && rate->second != simulation.RateOf(i, tenant)) changes[{i, tenant}] += 1;
        rate->second = simulation.RateOf(i, tenant);
      }
    };
    const double until = simulation.now() + kMinuteSeconds;
    while (simulation.now() < until) {
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        const double each =
            quota_fraction * simulation.quota(tenant) / static_cast<double>(simulation.size());
        for (std::size_t i = 0; i < simulation.size(); ++i) {
          const double noise = kNoise * (2 * simulation.random().Unit() - 1);
          simulation.SetDemand(i, tenant, each * (1 + noise));
        }
      }
      simulation.RunUntil(simulation.now() + kStepSeconds);
    }
    std::uint64_t max_changes = 0;
    for (const auto& [share, count] : changes) max_changes = std::max(max_changes, count);
    std::printf("demand %.1f of the quota: at most %lu changes of a rate in a minute\n",
                quota_fraction, max_changes);
    EXPECT_LE(max_changes, kMaxChangesPerMinute) << quota_fraction;
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
    EXPECT_EQ(DescribeUnderused(simulation), "");
  }
}

// Per second, the maximum over all processes.
struct Rates {
  double reports = 0, grants = 0, ticks = 0;
};

// Measures a minute of steady demand, or one in which each tenant's demand moves to another region
// every 2 s.
Rates MeasureMinute(std::size_t dispatchers, bool moving) {
  constexpr double kMinuteSeconds = 60, kStepSeconds = 2;
  QuotaSimulation simulation(1, MakeOptions(dispatchers, 5, 20));
  StartAndWarmUp(&simulation);
  SetEqualDemand(&simulation, 1.5);
  simulation.RunUntil(simulation.now() + kWarmUpSeconds);
  std::vector<Rates> before;
  for (std::size_t i = 0; i < simulation.size(); ++i) {
    const QuotaSimulation::Process& process = simulation.process(i);
    before.push_back({static_cast<double>(process.reports.messages),
                      static_cast<double>(process.grants.messages),
                      static_cast<double>(process.ticks)});
  }
  for (double elapsed_s = 0; elapsed_s < kMinuteSeconds; elapsed_s += kStepSeconds) {
    for (std::size_t tenant = 0; moving && tenant < simulation.tenants(); ++tenant) {
      SetRegionDemand(&simulation, tenant, simulation.random().Below(simulation.options().regions),
                      1.5);
    }
    simulation.RunUntil(simulation.now() + kStepSeconds);
  }
  Rates max_rates;
  for (std::size_t i = 0; i < simulation.size(); ++i) {
    const QuotaSimulation::Process& process = simulation.process(i);
    const auto per_second = [&](std::uint64_t after, double before_minute) {
      return (static_cast<double>(after) - before_minute) / kMinuteSeconds;
    };
    max_rates.reports =
        std::max(max_rates.reports, per_second(process.reports.messages, before[i].reports));
    max_rates.grants =
        std::max(max_rates.grants, per_second(process.grants.messages, before[i].grants));
    max_rates.ticks = std::max(max_rates.ticks, per_second(process.ticks, before[i].ticks));
  }
  EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
  return max_rates;
}

TEST(QuotaWithoutFaults, MessagesPerDispatcherDoNotGrowWithTheCluster) {
  constexpr double kAllocators = 5, kTolerance = 1.3;
  const LeaseTimings timings;
  for (const bool moving : {false, true}) {
    const Rates small = MeasureMinute(15, moving), large = MeasureMinute(120, moving);
    std::printf("%s: reports of a dispatcher %.2f and %.2f per second, ticks %.1f and %.1f\n",
                moving ? "moving" : "steady", small.reports, large.reports, small.ticks,
                large.ticks);
    EXPECT_LE(large.reports, 1.15 * small.reports);
    EXPECT_LE(large.reports, kAllocators / timings.min_report_interval_s);
    if (!moving) {
      EXPECT_LE(large.reports, kTolerance * kAllocators / timings.renew_interval_s);
    }
    // An allocator sends a grant for each report and for changes in between: no more per dispatcher
    // in a large cluster than in a small one.
    EXPECT_LE(large.grants / 120, 1.15 * small.grants / 15);
  }
}

// A timer that is always due would use a whole core.
TEST(QuotaWithoutFaults, TimersAreIdleWhileNothingIsDue) {
  constexpr double kMaxTicksPerSecond = 60;
  const Rates steady = MeasureMinute(15, false);
  EXPECT_LE(steady.ticks, kMaxTicksPerSecond);
}

// Seconds until all of each quota is in use; max_s if it takes longer.
double SecondsUntilFullUse(QuotaSimulation* simulation, double max_s) {
  constexpr double kStepSeconds = 0.05;
  const double begin = simulation->now();
  while (DescribeUnderused(*simulation) != "" && simulation->now() < begin + max_s) {
    simulation->RunUntil(simulation->now() + kStepSeconds);
  }
  return simulation->now() - begin;
}

TEST(QuotaWithoutFaults, AllOfTheQuotaIsUsedAgainAfterTheLossOfAnAllocator) {
  constexpr double kDetectionSeconds = 2, kViewSeconds = 0.5;
  for (const bool killed : {false, true}) {
    double slowest_s = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      QuotaSimulation simulation(seed, MakeOptions(15, 5, 20));
      StartAndWarmUp(&simulation);
      SetEqualDemand(&simulation, 1.5);
      simulation.RunUntil(simulation.now() + kWarmUpSeconds);
      if (killed) {
        simulation.Kill(0);
        simulation.RunUntil(simulation.now() + kDetectionSeconds);
      }
      // It has no demand any more.
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        simulation.SetDemand(0, tenant, 0);
      }
      simulation.ProposeView([](std::size_t i) { return i > 0; }, [](std::size_t) { return true; },
                             kViewSeconds);
      simulation.RunUntil(simulation.now() + kViewSeconds);
      const LeaseTimings& timings = simulation.options().timings;
      const double max_s = MaxRecoverySeconds(timings);
      slowest_s = std::max(slowest_s, SecondsUntilFullUse(&simulation, max_s));
      EXPECT_EQ(DescribeUnderused(simulation), "") << "seed " << seed;
      EXPECT_EQ(simulation.violations(), std::vector<std::string>{}) << "seed " << seed;
    }
    std::printf("allocator %s: utilization 0.95 at %.2f s after the view was known\n",
                killed ? "killed" : "out of the view", slowest_s);
  }
}

TEST(QuotaWithoutFaults, ADispatcherThatNeverReportsOnlyDelaysTheTakeover) {
  QuotaSimulation simulation(5, MakeOptions(12, 3, 6));
  simulation.StartAll();
  simulation.Kill(11);
  simulation.ProposeFullView(0.2);
  for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant)
    SetRegionDemand(&simulation, tenant, 0, 2);
  simulation.RunUntil(simulation.now() + 1);
  const LeaseTimings& timings = simulation.options().timings;
  // Until then the leases that the silent dispatcher may hold are reserved: only floor rates are in
  // use.
  for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
    EXPECT_LE(UtilizationOf(simulation, tenant).admitted,
              timings.floor_fraction * simulation.quota(tenant) + 1e-6);
  }
  simulation.RunUntil(simulation.now() + timings.superseded_grant_s + timings.lease_duration_s +
                      2 * timings.renew_interval_s);
  EXPECT_EQ(DescribeUnderused(simulation), "");
  EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
}

}  // namespace
}  // namespace millethollow::quota
