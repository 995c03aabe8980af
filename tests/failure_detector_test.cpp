// The failure detector in a simulated cluster: false failures, and the time to detect a killed
// member. SEEDS in the environment sets the number of runs.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "net/cluster/frame.h"
#include "support/membership_simulation.h"
#include "support/seeded_runs.h"

namespace millethollow::membership {
namespace {

std::uint64_t Seeds(std::uint64_t default_count) { return FromEnvironment("SEEDS", default_count); }

// Failures declared in a run in which no member fails, but links lose datagrams.
std::uint64_t FalseFailures(std::uint64_t seed, std::size_t members, double loss, double duration_s,
                            InjectedFaults injected_faults = {}) {
  MembershipSimulation simulation(
      seed, {.members = members, .voters = 3, .loss = loss, .injected_faults = injected_faults});
  simulation.StartAll();
  simulation.RunUntil(duration_s);
  return simulation.failures_declared;
}

TEST(FailureDetectorSimulation, NoFalseFailuresWithTwentyPercentLoss) {
  for (std::uint64_t seed = 1; seed <= Seeds(20); ++seed) {
    EXPECT_EQ(FalseFailures(seed, 5, 0.2, 60), 0U) << "seed " << seed;
  }
}

TEST(FailureDetectorSimulation, DetectsIgnoredRefutations) {
  EXPECT_NE(FirstFailingSeed(100,
                             [](std::uint64_t seed) {
                               const bool found = FalseFailures(seed, 5, 0.2, 60,
                                                                {.refutation_ignored = true}) > 0;
                               return std::vector<std::string>(
                                   found ? 1 : 0, "a member was falsely declared failed");
                             }),
            0U);
}

TEST(FailureDetectorSimulation, NoFalseFailuresWithCutLinksAndShortPauses) {
  for (std::uint64_t seed = 1; seed <= Seeds(20); ++seed) {
    MembershipSimulation simulation(seed, {.members = 5, .voters = 3});
    simulation.StartAll();
    simulation.RunUntil(5);
    simulation.CutLinkBothWays(0, 1, true);
    simulation.CutLink(2, 3, true);
    for (int i = 0; i < 20; ++i) {
      simulation.RunUntil(simulation.now() + 1);
      simulation.Pause(4, 0.5);
    }
    EXPECT_EQ(simulation.failures_declared, 0U) << "seed " << seed;
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
  }
}

// Size on the wire: the frame with its UDP and IP headers.
std::size_t DatagramBytes(const Frame& frame) { return 28 + cluster::Encode({}, frame).size(); }

struct DetectionTimes {
  // Seconds from the kill until one member, or all others, hold the killed one for failed; sorted.
  std::vector<double> first, all;
  // Sent by each member in a second before the kill.
  double datagrams = 0, bytes = 0;
};

DetectionTimes MeasureDetection(std::size_t members, double loss, std::uint64_t seeds) {
  DetectionTimes detection;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    MembershipSimulation simulation(
        seed, {.members = members, .voters = 3, .loss = loss, .check_invariants = members <= 10});
    simulation.frame_size = DatagramBytes;
    double killed_at = 0;
    std::size_t detections = 0;
    simulation.on_health_change = [&](std::size_t, const HealthChange& change) {
      if (change.member != members || change.health != Health::kFailed) return;
      if (++detections == 1) detection.first.push_back(simulation.now() - killed_at);
    };
    simulation.StartAll();
    simulation.RunUntil(5);
    std::uint64_t datagrams = 0, bytes = 0;
    for (std::size_t i = 0; i < members; ++i) {
      datagrams -= simulation.node(i).datagrams_sent;
      bytes -= simulation.node(i).bytes_sent;
    }
    simulation.RunUntil(10 + simulation.random().Unit());
    for (std::size_t i = 0; i < members; ++i) {
      datagrams += simulation.node(i).datagrams_sent;
      bytes += simulation.node(i).bytes_sent;
    }
    const double member_seconds = static_cast<double>(members) * (simulation.now() - 5);
    detection.datagrams +=
        static_cast<double>(datagrams) / member_seconds / static_cast<double>(seeds);
    detection.bytes += static_cast<double>(bytes) / member_seconds / static_cast<double>(seeds);
    killed_at = simulation.now();
    simulation.Kill(members - 1);
    const bool all = simulation.RunUntil(
        [&] {
          for (std::size_t i = 0; i + 1 < members; ++i) {
            if (simulation.HealthAt(i, members - 1) != Health::kFailed) return false;
          }
          return true;
        },
        20);
    detection.all.push_back(all ? simulation.now() - killed_at : 20);
  }
  std::sort(detection.first.begin(), detection.first.end());
  std::sort(detection.all.begin(), detection.all.end());
  return detection;
}

double Quantile(const std::vector<double>& sorted, double fraction) {
  return sorted.empty()
             ? -1
             : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

TEST(FailureDetectorSimulation, AllMembersDetectAKilledMemberWithinThreeSeconds) {
  const DetectionTimes five = MeasureDetection(5, 0.05, Seeds(40));
  EXPECT_LT(Quantile(five.all, 1), 3.0);
}

// Prints the figures in docs/design/membership.md (make cluster-figures).
TEST(DetectorFigures, DISABLED_Print) {
  for (const std::size_t members : {5UL, 10UL, 100UL, 1000UL}) {
    const DetectionTimes times = MeasureDetection(members, 0, members >= 1000 ? 10 : 100);
    std::printf(
        "%4zu members: kill to failed at one p50 %.2f p99 %.2f s, at all p50 %.2f p99 %.2f s; "
        "%.1f datagrams, %.0f bytes per member and second\n",
        members, Quantile(times.first, 0.5), Quantile(times.first, 0.99), Quantile(times.all, 0.5),
        Quantile(times.all, 0.99), times.datagrams, times.bytes);
    std::fflush(stdout);
  }
  for (const std::size_t members : {10UL, 100UL, 1000UL}) {
    std::vector<double> heal_times, spread_times;
    for (std::uint64_t seed = 1; seed <= (members >= 1000 ? 5 : 50); ++seed) {
      MembershipSimulation simulation(
          seed, {.members = members, .voters = 5, .check_invariants = members <= 10});
      simulation.StartAll();
      const auto seconds_until =
          [&simulation](auto done) {  // checked every 10 ms only, as it is slow with 1000 members
            const double started_at = simulation.now();
            while (!done() && simulation.now() < started_at + 60)
              simulation.RunUntil(simulation.now() + 0.01);
            return simulation.now() - started_at;
          };
      const auto converged = [&simulation] { return simulation.HasConverged(); };
      seconds_until(converged);
      simulation.SetMaintenance(members - 1, "w", true);
      spread_times.push_back(
          seconds_until([&simulation] { return simulation.MaintenanceAgrees(); }));
      std::vector<int> side(members, 0);  // two voters and about 40% of the members are cut off
      for (std::size_t i = 0; i < members; ++i)
        side[i] = i == 3 || i == 4 || i >= members - 2 * members / 5 + 2;
      simulation.Partition(side);
      simulation.RunUntil(simulation.now() + 15);
      simulation.Heal();
      heal_times.push_back(seconds_until(converged));
    }
    std::sort(heal_times.begin(), heal_times.end());
    std::sort(spread_times.begin(), spread_times.end());
    std::printf(
        "%4zu members: maintenance decision at all p50 %.2f p99 %.2f s; from heal to one view p50 "
        "%.2f p99 %.2f s\n",
        members, Quantile(spread_times, 0.5), Quantile(spread_times, 0.99),
        Quantile(heal_times, 0.5), Quantile(heal_times, 0.99));
    std::fflush(stdout);
  }
  for (const double loss : {0.0, 0.05, 0.2}) {
    std::uint64_t false_failures = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
      false_failures += FalseFailures(seed, 5, loss, 180);
    std::printf("loss %.2f: %lu false failures in an hour of five members\n", loss, false_failures);
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace millethollow::membership
