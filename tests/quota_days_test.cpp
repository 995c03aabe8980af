// Quota leases in simulated clusters with random faults of processes, network, clocks, views and
// settings, while demand changes. The rates must never sum to more than a quota, and all of each
// quota must be in use again after the faults. SEEDS in the environment sets the number of runs,
// SEED the first one.
#include <gtest/gtest.h>

#include "support/quota_demand.h"
#include "support/quota_simulation.h"
#include "support/seeded_runs.h"

namespace millethollow::quota {
namespace {

SimulationOptions SmallCluster(std::uint64_t seed) {
  SimulationOptions options;
  options.dispatchers = 4 + seed % 13;
  options.allocators = 2 + seed % 3;
  options.tenants = 2 + seed % 7;
  return options;
}

SimulationOptions LargeCluster(std::uint64_t seed) {
  SimulationOptions options;
  options.dispatchers = 20 + seed % 41;
  options.allocators = 5 + seed % 5;
  options.tenants = 130;
  return options;
}

// More tenants at one allocator than fit into one message.
SimulationOptions ManyTenants(std::uint64_t seed) {
  SimulationOptions options;
  options.dispatchers = 3 + seed % 4;
  options.allocators = 2;
  options.tenants = 3 * kMaxEntries;
  return options;
}

class RandomFaultRun {
 public:
  RandomFaultRun(std::uint64_t seed, const SimulationOptions& options)
      : random_(seed * 6151 + 5), simulation_(seed, options) {}

  QuotaSimulation& simulation() { return simulation_; }
  // Empty: each tenant's quota was in use again in time.
  const std::string& underused() const { return underused_; }
  double mean_utilization() const {
    return utilization_samples_ == 0 ? 0
                                     : utilization_sum_ / static_cast<double>(utilization_samples_);
  }

  void Execute() {
    simulation_.StartAll();
    simulation_.ProposeFullView(kFirstViewSeconds);
    for (std::size_t tenant = 0; tenant < simulation_.tenants(); ++tenant) ChangeDemand(tenant);
    double fault_at = kFirstFaultSeconds;
    while (simulation_.now() < kLastFaultSeconds && simulation_.violations().empty()) {
      if (simulation_.now() >= fault_at) {
        InjectFault();
        fault_at = simulation_.now() + kMaxFaultGapSeconds * random_.Unit();
      }
      ChangeSomeDemand();
      ProposeDueView();
      simulation_.RunUntil(simulation_.now() + kMaxStepSeconds * random_.Unit());
      SampleUtilization();
    }
    if (simulation_.violations().empty()) RunWithoutFaults();
  }

 private:
  static constexpr double kFirstViewSeconds = 0.5, kFirstFaultSeconds = 2, kLastFaultSeconds = 28;
  static constexpr double kMaxFaultGapSeconds = 2, kMaxStepSeconds = 0.6;
  static constexpr double kMaxViewWaitSeconds = 4, kMaxViewDelaySeconds = 8;
  static constexpr double kMaxPauseSeconds = 9;

  void InjectFault() {
    const std::size_t i = random_.Below(simulation_.size());
    const std::size_t allocator = random_.Below(simulation_.options().allocators);
    switch (random_.Below(12)) {
      case 0:
        return Kill(i);
      case 1:
        return Kill(allocator);
      case 2:
        return KillAndStart(i);
      case 3:
        return KillAndStart(allocator);
      case 4:
        return simulation_.Pause(i, kMaxPauseSeconds * random_.Unit());
      case 5:
        return simulation_.Pause(allocator, kMaxPauseSeconds * random_.Unit());
      case 6:
        return CutSomeLinks(i);
      case 7:
        return PartitionRegion();
      case 8:
        return ChangeNetworkFaults();
      case 9:
        return ChangeQuotas();
      case 10:
        return ScheduleView();
      default:
        return EndFaults();
    }
  }
  void Kill(std::size_t i) {
    simulation_.Kill(i);
    ScheduleView();
  }
  void KillAndStart(std::size_t i) {
    simulation_.Kill(i);
    simulation_.Start(i);
    ScheduleView();
  }
  void CutSomeLinks(std::size_t i) {
    const std::size_t direction = random_.Below(3);
    for (std::size_t other = 0; other < simulation_.size(); ++other) {
      if (random_.Below(2) == 0) continue;
      if (direction != 1) simulation_.CutLink(i, other);
      if (direction != 2) simulation_.CutLink(other, i);
    }
  }
  void PartitionRegion() {
    const std::size_t region = random_.Below(simulation_.options().regions);
    const auto inside = [&](std::size_t i) { return simulation_.process(i).region == region; };
    const auto outside = [&](std::size_t i) { return simulation_.process(i).region != region; };
    const std::size_t direction = random_.Below(3);
    if (direction != 1) simulation_.CutLinks(inside, outside);
    if (direction != 2) simulation_.CutLinks(outside, inside);
    if (random_.Below(2) == 0) ScheduleView();
  }
  void ChangeNetworkFaults() {
    const double max_fraction = random_.Below(2) == 0 ? 0.02 : 0.3;
    simulation_.SetNetwork({.loss = max_fraction * random_.Unit(),
                            .duplication = max_fraction * random_.Unit(),
                            .delayed = max_fraction * random_.Unit()});
  }
  void ChangeQuotas() {
    std::vector<double> quotas = simulation_.quotas();
    for (double& quota : quotas) {
      if (random_.Below(2) == 0) quota = std::max(1.0, quota * (0.2 + 2 * random_.Unit()));
    }
    simulation_.SetQuotas(std::move(quotas), kMaxSettingsDelaySeconds);
  }
  void EndFaults() {
    simulation_.Heal();
    simulation_.SetNetwork({});
    for (std::size_t i = 0; i < simulation_.size(); ++i) {
      if (!simulation_.up(i)) simulation_.Start(i);
    }
    ScheduleView();
  }

  // A view is agreed on some time after the event that causes it, and may lack running processes.
  void ScheduleView() {
    if (next_view_at_ < simulation_.now())
      next_view_at_ = simulation_.now() + kMaxViewWaitSeconds * random_.Unit();
  }
  void ProposeDueView() {
    if (next_view_at_ < 0 || simulation_.now() < next_view_at_) return;
    next_view_at_ = -1;
    const auto member = [this](std::size_t) { return random_.Below(12) > 0; };
    const auto allocates = [this](std::size_t) { return random_.Below(5) > 0; };
    simulation_.ProposeView(member, allocates, kMaxViewDelaySeconds * random_.Unit());
  }

  void ChangeDemand(std::size_t tenant) {
    SetTenantDemand(&simulation_, tenant,
                    RandomDemand(&random_, simulation_.size(), simulation_.options().regions,
                                 simulation_.quota(tenant)));
  }
  void ChangeSomeDemand() {
    const std::size_t changes = 1 + simulation_.tenants() / 10;
    for (std::size_t n = 0; n < changes; ++n) ChangeDemand(random_.Below(simulation_.tenants()));
  }
  void SampleUtilization() {
    const std::size_t tenant = random_.Below(simulation_.tenants());
    const Utilization utilization = UtilizationOf(simulation_, tenant);
    if (utilization.achievable <= 0) return;
    utilization_sum_ += utilization.admitted / utilization.achievable;
    utilization_samples_ += 1;
  }

  void RunWithoutFaults() {
    EndFaults();
    for (std::size_t i = 0; i < simulation_.size(); ++i) simulation_.Resume(i);
    // By then the last settings are known everywhere, also at processes that were paused.
    simulation_.RunUntil(simulation_.now() + kMaxSettingsDelaySeconds);
    simulation_.ProposeFullView(kFirstViewSeconds);
    simulation_.RunUntil(simulation_.now() + kFirstViewSeconds);
    simulation_.RunUntil(simulation_.now() + MaxRecoverySeconds(simulation_.options().timings));
    for (int sample = 0; sample < 10 && underused_.empty() && simulation_.violations().empty();
         ++sample) {
      underused_ = DescribeUnderused(simulation_);
      simulation_.RunUntil(simulation_.now() + 0.3);
    }
  }
  static constexpr double kMaxSettingsDelaySeconds = 3;

  Random random_;
  QuotaSimulation simulation_;
  double next_view_at_ = -1;
  double utilization_sum_ = 0;
  std::size_t utilization_samples_ = 0;
  std::string underused_;
};

void ExecuteRuns(std::uint64_t from, std::uint64_t to,
                 SimulationOptions (*options_of)(std::uint64_t)) {
  double utilization = 0;
  std::uint64_t runs = 0, sums = 0, rejected = 0;
  for (std::uint64_t seed = from; seed <= to; ++seed) {
    RandomFaultRun run(seed, options_of(seed));
    run.Execute();
    ASSERT_TRUE(run.simulation().violations().empty())
        << "seed " << seed << " " << run.simulation().violations()[0];
    ASSERT_EQ(run.underused(), "") << "seed " << seed;
    runs += 1;
    utilization += run.mean_utilization();
    sums += run.simulation().checker().sums_checked();
    rejected += RejectedMessages(run.simulation());
  }
  std::printf(
      "%lu runs, mean utilization during faults %.3f, %lu sums checked in full, %lu messages "
      "rejected\n",
      runs, utilization / static_cast<double>(runs), sums, rejected);
  // The runs must have held leases and rejected messages.
  EXPECT_GT(utilization / static_cast<double>(runs), 0.3);
  EXPECT_GT(rejected, runs);
}

TEST(QuotaRandomFaults, SmallClustersKeepTheQuotaAndRecover) {
  const std::uint64_t from = FromEnvironment("SEED", 1);
  ExecuteRuns(from, std::max(from, FromEnvironment("SEEDS", 150)), SmallCluster);
}

TEST(QuotaRandomFaults, LargeClustersKeepTheQuotaAndRecover) {
  constexpr std::uint64_t kSmallRunsPerLarge = 50;
  const std::uint64_t from = FromEnvironment("SEED", 1);
  ExecuteRuns(from, std::max(from, FromEnvironment("SEEDS", 150) / kSmallRunsPerLarge),
              LargeCluster);
}

TEST(QuotaRandomFaults, ReportsInSeveralMessagesKeepTheQuotaAndRecover) {
  constexpr std::uint64_t kSmallRunsPerManyTenants = 50;
  const std::uint64_t from = FromEnvironment("SEED", 1);
  ExecuteRuns(from, std::max(from, FromEnvironment("SEEDS", 150) / kSmallRunsPerManyTenants),
              ManyTenants);
}

std::vector<std::string> ViolationsWith(std::uint64_t seed, const InjectedFaults& faults) {
  SimulationOptions options = SmallCluster(seed);
  options.injected_faults = faults;
  RandomFaultRun run(seed, options);
  run.Execute();
  return run.simulation().violations();
}

// The first seed whose run violates an invariant with these faults, and none without them.
std::uint64_t FirstSeedDetecting(const InjectedFaults& faults) {
  constexpr std::uint64_t kMaxSeeds = 300;
  return FirstFailingSeed(kMaxSeeds, [&](std::uint64_t seed) {
    const std::vector<std::string> violations = ViolationsWith(seed, faults);
    return ViolationsWith(seed, {}).empty() ? violations : std::vector<std::string>{};
  });
}

TEST(QuotaInjectedFaults, DetectsLeasesReassignedAfterHalfTheirDuration) {
  EXPECT_NE(FirstSeedDetecting({.half_lease_reserved = true}), 0U);
}
TEST(QuotaInjectedFaults, DetectsLeasesReassignedWithoutRegardToClockDrift) {
  EXPECT_NE(FirstSeedDetecting({.drift_ignored = true}), 0U);
}
TEST(QuotaInjectedFaults, DetectsTakeoversThatIgnoreLeases) {
  EXPECT_NE(FirstSeedDetecting({.takeover_forgets_leases = true}), 0U);
}
TEST(QuotaInjectedFaults, DetectsTakeoversThatIgnoreTheSupersededAllocator) {
  EXPECT_NE(FirstSeedDetecting({.superseded_grants_ignored = true}), 0U);
}
TEST(QuotaInjectedFaults, DetectsAcceptedGrantsOfOldEpochs) {
  EXPECT_NE(FirstSeedDetecting({.old_epoch_accepted = true}), 0U);
}
TEST(QuotaInjectedFaults, DetectsReleasesCountedBeforeTheyArrive) {
  EXPECT_NE(FirstSeedDetecting({.release_counted_early = true}), 0U);
}
TEST(QuotaInjectedFaults, DetectsReportsAppliedTwice) {
  EXPECT_NE(FirstSeedDetecting({.sequence_ignored = true}), 0U);
}

}  // namespace
}  // namespace millethollow::quota
