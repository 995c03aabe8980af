// The failure detector on a virtual clock. SEEDS in the environment plays more days than CI does.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "net/cluster/frame.h"
#include "support/days.h"
#include "support/membership_simulation.h"

namespace millethollow::membership {
namespace {

std::uint64_t Seeds(std::uint64_t usual) { return FromEnvironment("SEEDS", usual); }

// Members that never stop, on links that lose datagrams: whoever is called failed is called so
// falsely.
std::uint64_t FalseFailures(std::uint64_t seed, std::size_t members, double loss, double span_s,
                            Planted planted = {}) {
  MembershipSimulation simulation(
      seed, {.members = members, .voters = 3, .loss = loss, .planted = planted});
  simulation.StartAll();
  simulation.RunUntil(span_s);
  return simulation.failures_said;
}

TEST(DetectorDays, OneDatagramInFiveLostFailsNobody) {
  for (std::uint64_t seed = 1; seed <= Seeds(20); ++seed) {
    EXPECT_EQ(FalseFailures(seed, 5, 0.2, 60), 0U) << "seed " << seed;
  }
}

TEST(DetectorDays, FindARefutationThatIsIgnored) {
  EXPECT_NE(FirstSeed(100,
                      [](std::uint64_t seed) {
                        const bool found =
                            FalseFailures(seed, 5, 0.2, 60, {.refutation_ignored = true}) > 0;
                        return std::vector<std::string>(found ? 1 : 0,
                                                        "a member is called failed falsely");
                      }),
            0U);
}

TEST(DetectorDays, BrokenLinksAndShortStopsFailNobody) {
  for (std::uint64_t seed = 1; seed <= Seeds(20); ++seed) {
    MembershipSimulation simulation(seed, {.members = 5, .voters = 3});
    simulation.StartAll();
    simulation.RunUntil(5);
    simulation.CutBoth(0, 1, true);
    simulation.Cut(2, 3, true);
    for (int i = 0; i < 20; ++i) {
      simulation.RunUntil(simulation.now() + 1);
      simulation.Pause(4, 0.5);
    }
    EXPECT_EQ(simulation.failures_said, 0U) << "seed " << seed;
    EXPECT_EQ(simulation.broken(), std::vector<std::string>{});
  }
}

// As the program sends it: the frame, and the heads of UDP and IP.
std::size_t OnTheWire(const Frame& frame) { return 28 + cluster::Encode({}, frame).size(); }

struct Spread {
  std::vector<double> first, all;   // from the kill to 'failed' at one, and at all others
  double datagrams = 0, bytes = 0;  // of the detector, a member and second, before the kill
};

Spread Killed(std::size_t members, double loss, std::uint64_t seeds) {
  Spread spread;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    MembershipSimulation simulation(
        seed, {.members = members, .voters = 3, .loss = loss, .check = members <= 10});
    simulation.size_of = OnTheWire;
    double at = 0;
    std::size_t said = 0;
    simulation.on_change = [&](std::size_t, const HealthChange& c) {
      if (c.member != members || c.health != Health::kFailed) return;
      if (++said == 1) spread.first.push_back(simulation.now() - at);
    };
    simulation.StartAll();
    simulation.RunUntil(5);
    std::uint64_t datagrams = 0, bytes = 0;
    for (std::size_t i = 0; i < members; ++i) {
      datagrams -= simulation.node(i).datagrams;
      bytes -= simulation.node(i).bytes;
    }
    simulation.RunUntil(10 + simulation.random().Unit());
    for (std::size_t i = 0; i < members; ++i) {
      datagrams += simulation.node(i).datagrams;
      bytes += simulation.node(i).bytes;
    }
    const double member_seconds = static_cast<double>(members) * (simulation.now() - 5);
    spread.datagrams +=
        static_cast<double>(datagrams) / member_seconds / static_cast<double>(seeds);
    spread.bytes += static_cast<double>(bytes) / member_seconds / static_cast<double>(seeds);
    at = simulation.now();
    simulation.Kill(members - 1);
    const bool all = simulation.RunUntil(
        [&] {
          for (std::size_t i = 0; i + 1 < members; ++i) {
            if (simulation.HealthAt(i, members - 1) != Health::kFailed) return false;
          }
          return true;
        },
        20);
    spread.all.push_back(all ? simulation.now() - at : 20);
  }
  std::sort(spread.first.begin(), spread.first.end());
  std::sort(spread.all.begin(), spread.all.end());
  return spread;
}

double At(const std::vector<double>& sorted, double share) {
  return sorted.empty()
             ? -1
             : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

TEST(DetectorDays, AKilledMemberIsFailedAtAllWithinThreeSeconds) {
  const Spread five = Killed(5, 0.05, Seeds(40));
  EXPECT_LT(At(five.all, 1), 3.0);
}

// Figures for docs/design/membership.md: make cluster-figures.
TEST(DetectorFigures, DISABLED_Print) {
  for (const std::size_t n : {5UL, 10UL, 100UL, 1000UL}) {
    const Spread s = Killed(n, 0, n >= 1000 ? 10 : 100);
    std::printf(
        "%4zu members: kill to failed at one p50 %.2f p99 %.2f s, at all p50 %.2f p99 %.2f s; "
        "%.1f datagrams, %.0f bytes a member and second\n",
        n, At(s.first, 0.5), At(s.first, 0.99), At(s.all, 0.5), At(s.all, 0.99), s.datagrams,
        s.bytes);
    std::fflush(stdout);
  }
  for (const std::size_t n : {10UL, 100UL, 1000UL}) {
    std::vector<double> heal, news;
    for (std::uint64_t seed = 1; seed <= (n >= 1000 ? 5 : 50); ++seed) {
      MembershipSimulation simulation(seed, {.members = n, .voters = 5, .check = n <= 10});
      simulation.StartAll();
      const auto takes =
          [&simulation](auto done) {  // looked at each 10 ms: that is dear for a thousand
            const double began = simulation.now();
            while (!done() && simulation.now() < began + 60)
              simulation.RunUntil(simulation.now() + 0.01);
            return simulation.now() - began;
          };
      const auto whole = [&simulation] { return simulation.Whole(); };
      takes(whole);
      simulation.Say(n - 1, "w", true);
      news.push_back(takes([&simulation] { return simulation.FactsAgree(); }));
      std::vector<int> side(n, 0);  // two voters and two in five of the members are cut off
      for (std::size_t i = 0; i < n; ++i) side[i] = i == 3 || i == 4 || i >= n - 2 * n / 5 + 2;
      simulation.Split(side);
      simulation.RunUntil(simulation.now() + 15);
      simulation.Heal();
      heal.push_back(takes(whole));
    }
    std::sort(heal.begin(), heal.end());
    std::sort(news.begin(), news.end());
    std::printf(
        "%4zu members: word of a worker out to all p50 %.2f p99 %.2f s; from heal to one view p50 "
        "%.2f p99 %.2f s\n",
        n, At(news, 0.5), At(news, 0.99), At(heal, 0.5), At(heal, 0.99));
    std::fflush(stdout);
  }
  for (const double loss : {0.0, 0.05, 0.2}) {
    std::uint64_t calls = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) calls += FalseFailures(seed, 5, loss, 180);
    std::printf("loss %.2f: %lu false failures in an hour of five members\n", loss, calls);
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace millethollow::membership
