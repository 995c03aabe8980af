// Quota leases without faults: how fast demand is followed, that equal demand doesn't make grants
// swing, and that a dispatcher's messages don't grow with the cluster.
#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "support/quota_demand.h"
#include "support/quota_simulation.h"

namespace millethollow::quota {
namespace {

constexpr double kWarmUpSeconds = 12;  // beyond the first takeover, whatever it waits for

SimulationOptions Quiet(std::size_t dispatchers, std::size_t allocators, std::size_t tenants) {
  SimulationOptions options;
  options.dispatchers = dispatchers;
  options.allocators = allocators;
  options.tenants = tenants;
  return options;
}

void Begin(QuotaSimulation* simulation) {
  simulation->StartAll();
  simulation->ProposeWholeView(0.5);
  simulation->RunUntil(kWarmUpSeconds);
}

// All of the tenant's demand in one region, `part` of its quota.
void DemandIn(QuotaSimulation* simulation, std::size_t tenant, std::size_t region, double part) {
  std::vector<double> demand(simulation->size(), 0);
  double there = 0;
  for (std::size_t i = 0; i < demand.size(); ++i) there += simulation->process(i).region == region;
  for (std::size_t i = 0; i < demand.size(); ++i) {
    if (simulation->process(i).region == region)
      demand[i] = part * simulation->quota(tenant) / there;
  }
  SetDemandOf(simulation, tenant, demand);
}

void DemandEverywhere(QuotaSimulation* simulation, double part) {
  const auto dispatchers = static_cast<double>(simulation->size());
  for (std::size_t tenant = 0; tenant < simulation->tenants(); ++tenant) {
    const double each = part * simulation->quota(tenant) / dispatchers;
    SetDemandOf(simulation, tenant, std::vector<double>(simulation->size(), each));
  }
}

TEST(QuotaQuiet, DemandThatMovesToAnotherRegionIsServedWithinFiveSeconds) {
  constexpr double kMostSeconds = 5, kStepSeconds = 0.05;
  double slowest_s = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const double part : {0.5, 0.9, 2.0}) {
      QuotaSimulation simulation(seed, Quiet(20 + seed, 5, 6));
      Begin(&simulation);
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        DemandIn(&simulation, tenant, 0, part);
      }
      simulation.RunUntil(simulation.now() + kWarmUpSeconds);
      ASSERT_EQ(FirstUnused(simulation), "") << "seed " << seed << " part " << part;
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        DemandIn(&simulation, tenant, 1, part);
      }
      const double moved_at = simulation.now();
      simulation.RunUntil(moved_at + kStepSeconds);
      while (FirstUnused(simulation) != "" && simulation.now() < moved_at + kMostSeconds) {
        simulation.RunUntil(simulation.now() + kStepSeconds);
      }
      ASSERT_EQ(simulation.broken(), std::vector<std::string>{}) << "seed " << seed;
      ASSERT_EQ(FirstUnused(simulation), "") << "seed " << seed << " part " << part;
      slowest_s = std::max(slowest_s, simulation.now() - moved_at);
    }
  }
  std::printf("slowest: 0.95 of use %.2f s after the move\n", slowest_s);
}

// Where demand moves, what is left of it fades as the measured mean does, a little with each look:
// all the while some of it is on its way from those who have no use for it. The others must not be
// kept from what is free already.
TEST(QuotaQuiet, DemandThatFadesElsewhereLeavesAllToThoseWhoAsk) {
  constexpr double kFadeSeconds = 2, kLookSeconds = 0.1, kWithinSeconds = 5, kUntilSeconds = 12;
  constexpr double kAskedOfQuota = 2, kLeastUse = 0.97;
  constexpr std::size_t kSize = 6;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    QuotaSimulation simulation(seed, Quiet(kSize, 3, 4));
    Begin(&simulation);
    const auto ask = [&](double first_pair, double second_pair) {
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        const double each = kAskedOfQuota * simulation.quota(tenant) / 2;
        std::vector<double> demand(kSize, 0);
        demand[0] = demand[1] = first_pair * each;
        demand[2] = demand[3] = second_pair * each;
        SetDemandOf(&simulation, tenant, demand);
      }
    };
    ask(1, 0);
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    const double moved_at = simulation.now();
    while (simulation.now() < moved_at + kUntilSeconds) {
      const double faded = std::exp((moved_at - simulation.now()) / kFadeSeconds);
      ask(faded, 1 - faded);
      simulation.RunUntil(simulation.now() + kLookSeconds);
      if (simulation.now() < moved_at + kWithinSeconds) continue;
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        const Use use = UseOf(simulation, tenant);
        ASSERT_GE(use.admitted, kLeastUse * use.possible)
            << "seed " << seed << ", " << simulation.now() - moved_at << " s after the move";
      }
    }
    EXPECT_EQ(simulation.broken(), std::vector<std::string>{}) << "seed " << seed;
  }
}

// Demand that differs by some hundredths from one moment to the next is equal demand.
TEST(QuotaQuiet, EqualDemandDoesNotMakeGrantsSwing) {
  constexpr double kNoise = 0.03, kMinuteSeconds = 60, kStepSeconds = 0.1;
  constexpr std::uint64_t kMostChangesAMinute = 4;
  for (const double part : {0.4, 1.0, 2.5}) {
    QuotaSimulation simulation(3, Quiet(20, 5, 6));
    Begin(&simulation);
    DemandEverywhere(&simulation, part);
    simulation.RunUntil(simulation.now() + kWarmUpSeconds);
    std::map<std::pair<std::size_t, std::size_t>, double> rates;
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> changes;
    simulation.on_grant = [&](std::size_t i) {
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        const auto [rate, fresh] = rates.try_emplace({i, tenant}, simulation.RateOf(i, tenant));
        if (!fresh && rate->second != simulation.RateOf(i, tenant)) changes[{i, tenant}] += 1;
        rate->second = simulation.RateOf(i, tenant);
      }
    };
    const double until = simulation.now() + kMinuteSeconds;
    while (simulation.now() < until) {
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        const double each =
            part * simulation.quota(tenant) / static_cast<double>(simulation.size());
        for (std::size_t i = 0; i < simulation.size(); ++i) {
          const double noise = kNoise * (2 * simulation.random().Unit() - 1);
          simulation.SetDemand(i, tenant, each * (1 + noise));
        }
      }
      simulation.RunUntil(simulation.now() + kStepSeconds);
    }
    std::uint64_t most = 0;
    for (const auto& [share, count] : changes) most = std::max(most, count);
    std::printf("demand %.1f of the quota: at most %lu changes of one rate in a minute\n", part,
                most);
    EXPECT_LE(most, kMostChangesAMinute) << part;
    EXPECT_EQ(simulation.broken(), std::vector<std::string>{});
    EXPECT_EQ(FirstUnused(simulation), "");
  }
}

struct Rates {  // a second, the largest of all processes
  double reports = 0, grants = 0, ticks = 0;
};

// A steady minute, or one in which each tenant's demand moves every other second.
Rates MeasureMinute(std::size_t dispatchers, bool moving) {
  constexpr double kMinuteSeconds = 60, kStepSeconds = 2;
  QuotaSimulation simulation(1, Quiet(dispatchers, 5, 20));
  Begin(&simulation);
  DemandEverywhere(&simulation, 1.5);
  simulation.RunUntil(simulation.now() + kWarmUpSeconds);
  std::vector<Rates> before;
  for (std::size_t i = 0; i < simulation.size(); ++i) {
    const QuotaSimulation::Process& process = simulation.process(i);
    before.push_back({static_cast<double>(process.reports.messages),
                      static_cast<double>(process.grants.messages),
                      static_cast<double>(process.ticks)});
  }
  for (double s = 0; s < kMinuteSeconds; s += kStepSeconds) {
    for (std::size_t tenant = 0; moving && tenant < simulation.tenants(); ++tenant) {
      DemandIn(&simulation, tenant, simulation.random().Below(simulation.options().regions), 1.5);
    }
    simulation.RunUntil(simulation.now() + kStepSeconds);
  }
  Rates most;
  for (std::size_t i = 0; i < simulation.size(); ++i) {
    const QuotaSimulation::Process& process = simulation.process(i);
    const auto a_second = [&](std::uint64_t after, double was) {
      return (static_cast<double>(after) - was) / kMinuteSeconds;
    };
    most.reports = std::max(most.reports, a_second(process.reports.messages, before[i].reports));
    most.grants = std::max(most.grants, a_second(process.grants.messages, before[i].grants));
    most.ticks = std::max(most.ticks, a_second(process.ticks, before[i].ticks));
  }
  EXPECT_EQ(simulation.broken(), std::vector<std::string>{});
  return most;
}

TEST(QuotaQuiet, ADispatchersMessagesDoNotGrowWithDispatchers) {
  constexpr double kAllocators = 5, kMoreThanNeeded = 1.3;
  const LeaseTimings timings;
  for (const bool moving : {false, true}) {
    const Rates few = MeasureMinute(15, moving), many = MeasureMinute(120, moving);
    std::printf("%s: reports of a dispatcher %.2f and %.2f a second, turns %.1f and %.1f\n",
                moving ? "moving" : "steady", few.reports, many.reports, few.ticks, many.ticks);
    EXPECT_LE(many.reports, 1.15 * few.reports);
    EXPECT_LE(many.reports, kAllocators / timings.min_report_interval_s);
    if (!moving) {
      EXPECT_LE(many.reports, kMoreThanNeeded * kAllocators / timings.renew_interval_s);
    }
    // An allocator answers each report, and tells changes in between: no more for each dispatcher
    // in a large cluster than in a small one.
    EXPECT_LE(many.grants / 120, 1.15 * few.grants / 15);
  }
}

// A timer that is always due would take a processor.
TEST(QuotaQuiet, TimersAreIdleWhileNothingIsDue) {
  constexpr double kMostTurnsASecond = 60;
  const Rates steady = MeasureMinute(15, false);
  EXPECT_LE(steady.ticks, kMostTurnsASecond);
}

// From when the view without the allocator is known everywhere.
double SecondsUntilFullUse(QuotaSimulation* simulation, double most_s) {
  constexpr double kStepSeconds = 0.05;
  const double begin = simulation->now();
  while (FirstUnused(*simulation) != "" && simulation->now() < begin + most_s) {
    simulation->RunUntil(simulation->now() + kStepSeconds);
  }
  return simulation->now() - begin;
}

TEST(QuotaQuiet, AfterTheLossOfAnAllocatorAllOfTheQuotaIsInUseAgainInTime) {
  constexpr double kDetectionSeconds = 2, kViewSeconds = 0.5;
  for (const bool killed : {false, true}) {
    double slowest_s = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      QuotaSimulation simulation(seed, Quiet(15, 5, 20));
      Begin(&simulation);
      DemandEverywhere(&simulation, 1.5);
      simulation.RunUntil(simulation.now() + kWarmUpSeconds);
      if (killed) {
        simulation.Kill(0);
        simulation.RunUntil(simulation.now() + kDetectionSeconds);
      }
      // The demand that came to it comes to others.
      for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
        simulation.SetDemand(0, tenant, 0);
      }
      simulation.ProposeView([](std::size_t i) { return i > 0; }, [](std::size_t) { return true; },
                             kViewSeconds);
      simulation.RunUntil(simulation.now() + kViewSeconds);
      const LeaseTimings& timings = simulation.options().timings;
      const double most_s = FullUseAgainSeconds(timings);
      slowest_s = std::max(slowest_s, SecondsUntilFullUse(&simulation, most_s));
      EXPECT_EQ(FirstUnused(simulation), "") << "seed " << seed;
      EXPECT_EQ(simulation.broken(), std::vector<std::string>{}) << "seed " << seed;
    }
    std::printf("allocator %s: 0.95 of use %.2f s after the view was known\n",
                killed ? "killed" : "out of the view", slowest_s);
  }
}

TEST(QuotaQuiet, ADispatcherThatIsNeverHeardCostsOnlyTheTakeover) {
  QuotaSimulation simulation(5, Quiet(12, 3, 6));
  simulation.StartAll();
  simulation.Kill(11);
  simulation.ProposeWholeView(0.2);
  for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant)
    DemandIn(&simulation, tenant, 0, 2);
  simulation.RunUntil(simulation.now() + 1);
  const LeaseTimings& timings = simulation.options().timings;
  // Until then what the silent one may hold is reserved: only floors are in use.
  for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
    EXPECT_LE(UseOf(simulation, tenant).admitted,
              timings.floor_fraction * simulation.quota(tenant) + 1e-6);
  }
  simulation.RunUntil(simulation.now() + timings.superseded_grant_s + timings.lease_duration_s +
                      2 * timings.renew_interval_s);
  EXPECT_EQ(FirstUnused(simulation), "");
  EXPECT_EQ(simulation.broken(), std::vector<std::string>{});
}

}  // namespace
}  // namespace millethollow::quota
