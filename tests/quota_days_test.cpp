// Days of quota leases from seeds: faults of processes, network, clocks, views and settings while
// demand moves, and then a quiet time in which all of each quota must be in use again. SEEDS plays
// more days, SEED begins at another.
#include <gtest/gtest.h>

#include "support/quota_demand.h"
#include "support/quota_simulation.h"
#include "support/seeded_runs.h"

namespace millethollow::quota {
namespace {

SimulationOptions SmallDay(std::uint64_t seed) {
  SimulationOptions options;
  options.dispatchers = 4 + seed % 13;
  options.allocators = 2 + seed % 3;
  options.tenants = 2 + seed % 7;
  return options;
}

SimulationOptions LargeDay(std::uint64_t seed) {
  SimulationOptions options;
  options.dispatchers = 20 + seed % 41;
  options.allocators = 5 + seed % 5;
  options.tenants = 130;
  return options;
}

// More tenants at one allocator than fit into a frame.
SimulationOptions WideDay(std::uint64_t seed) {
  SimulationOptions options;
  options.dispatchers = 3 + seed % 4;
  options.allocators = 2;
  options.tenants = 3 * kMaxEntries;
  return options;
}

class QuotaDay {
 public:
  QuotaDay(std::uint64_t seed, const SimulationOptions& options)
      : random_(seed * 6151 + 5), simulation_(seed, options) {}

  QuotaSimulation& simulation() { return simulation_; }
  // Empty: each tenant's quota was in use again in time.
  const std::string& unused() const { return unused_; }
  double mean_use() const {
    return use_samples_ == 0 ? 0 : use_ / static_cast<double>(use_samples_);
  }

  void Play() {
    simulation_.StartAll();
    simulation_.ProposeWholeView(kFirstViewSeconds);
    for (std::size_t tenant = 0; tenant < simulation_.tenants(); ++tenant) MoveDemand(tenant);
    double fault_at = kFirstFaultSeconds;
    while (simulation_.now() < kLastFaultSeconds && simulation_.broken().empty()) {
      if (simulation_.now() >= fault_at) {
        Fault();
        fault_at = simulation_.now() + kMostFaultGapSeconds * random_.Unit();
      }
      MoveSomeDemand();
      ReconsiderView();
      simulation_.RunUntil(simulation_.now() + kMostStepSeconds * random_.Unit());
      SampleUse();
    }
    if (simulation_.broken().empty()) PlayQuietTime();
  }

 private:
  static constexpr double kFirstViewSeconds = 0.5, kFirstFaultSeconds = 2, kLastFaultSeconds = 28;
  static constexpr double kMostFaultGapSeconds = 2, kMostStepSeconds = 0.6;
  static constexpr double kMostViewWaitSeconds = 4, kSlowestNewsSeconds = 8;
  static constexpr double kLongestStopSeconds = 9;

  void Fault() {
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
        return simulation_.Stop(i, kLongestStopSeconds * random_.Unit());
      case 5:
        return simulation_.Stop(allocator, kLongestStopSeconds * random_.Unit());
      case 6:
        return CutSome(i);
      case 7:
        return CutRegion();
      case 8:
        return ChangeNetwork();
      case 9:
        return ChangeQuotas();
      case 10:
        return WantView();
      default:
        return Mend();
    }
  }
  void Kill(std::size_t i) {
    simulation_.Kill(i);
    WantView();
  }
  void KillAndStart(std::size_t i) {
    simulation_.Kill(i);
    simulation_.Start(i);
    WantView();
  }
  void CutSome(std::size_t i) {
    const std::size_t form = random_.Below(3);
    for (std::size_t other = 0; other < simulation_.size(); ++other) {
      if (random_.Below(2) == 0) continue;
      if (form != 1) simulation_.Cut(i, other);
      if (form != 2) simulation_.Cut(other, i);
    }
  }
  void CutRegion() {
    const std::size_t region = random_.Below(simulation_.options().regions);
    const auto inside = [&](std::size_t i) { return simulation_.process(i).region == region; };
    const auto outside = [&](std::size_t i) { return simulation_.process(i).region != region; };
    const std::size_t form = random_.Below(3);
    if (form != 1) simulation_.CutWhere(inside, outside);
    if (form != 2) simulation_.CutWhere(outside, inside);
    if (random_.Below(2) == 0) WantView();
  }
  void ChangeNetwork() {
    const double some = random_.Below(2) == 0 ? 0.02 : 0.3;
    simulation_.SetNetwork({.lost = some * random_.Unit(),
                            .doubled = some * random_.Unit(),
                            .held = some * random_.Unit()});
  }
  void ChangeQuotas() {
    std::vector<double> quotas = simulation_.quotas();
    for (double& quota : quotas) {
      if (random_.Below(2) == 0) quota = std::max(1.0, quota * (0.2 + 2 * random_.Unit()));
    }
    simulation_.SetQuotas(std::move(quotas), kSlowestSettingsSeconds);
  }
  void Mend() {
    simulation_.Heal();
    simulation_.SetNetwork({});
    for (std::size_t i = 0; i < simulation_.size(); ++i) {
      if (!simulation_.up(i)) simulation_.Start(i);
    }
    WantView();
  }

  // Membership takes a while to agree on a view; and it may leave some out that are there.
  void WantView() {
    if (view_at_ < simulation_.now())
      view_at_ = simulation_.now() + kMostViewWaitSeconds * random_.Unit();
  }
  void ReconsiderView() {
    if (view_at_ < 0 || simulation_.now() < view_at_) return;
    view_at_ = -1;
    const auto member = [this](std::size_t) { return random_.Below(12) > 0; };
    const auto allocates = [this](std::size_t) { return random_.Below(5) > 0; };
    simulation_.ProposeView(member, allocates, kSlowestNewsSeconds * random_.Unit());
  }

  void MoveDemand(std::size_t tenant) {
    SetDemandOf(&simulation_, tenant,
                PickDemand(&random_, simulation_.size(), simulation_.options().regions,
                           simulation_.quota(tenant)));
  }
  void MoveSomeDemand() {
    const std::size_t moves = 1 + simulation_.tenants() / 10;
    for (std::size_t n = 0; n < moves; ++n) MoveDemand(random_.Below(simulation_.tenants()));
  }
  void SampleUse() {
    const std::size_t tenant = random_.Below(simulation_.tenants());
    const Use use = UseOf(simulation_, tenant);
    if (use.possible <= 0) return;
    use_ += use.admitted / use.possible;
    use_samples_ += 1;
  }

  void PlayQuietTime() {
    Mend();
    for (std::size_t i = 0; i < simulation_.size(); ++i) simulation_.Continue(i);
    // What changed last, and whoever was stopped, is known everywhere.
    simulation_.RunUntil(simulation_.now() + kSlowestSettingsSeconds);
    simulation_.ProposeWholeView(kFirstViewSeconds);
    simulation_.RunUntil(simulation_.now() + kFirstViewSeconds);
    simulation_.RunUntil(simulation_.now() + FullUseAgainSeconds(simulation_.options().timings));
    for (int sample = 0; sample < 10 && unused_.empty() && simulation_.broken().empty(); ++sample) {
      unused_ = FirstUnused(simulation_);
      simulation_.RunUntil(simulation_.now() + 0.3);
    }
  }
  static constexpr double kSlowestSettingsSeconds = 3;

  Random random_;
  QuotaSimulation simulation_;
  double view_at_ = -1;
  double use_ = 0;
  std::size_t use_samples_ = 0;
  std::string unused_;
};

void PlayDays(std::uint64_t from, std::uint64_t to,
              SimulationOptions (*options_of)(std::uint64_t)) {
  double use = 0;
  std::uint64_t days = 0, sums = 0, refused = 0;
  for (std::uint64_t seed = from; seed <= to; ++seed) {
    QuotaDay day(seed, options_of(seed));
    day.Play();
    ASSERT_TRUE(day.simulation().broken().empty())
        << "seed " << seed << " " << day.simulation().broken()[0];
    ASSERT_EQ(day.unused(), "") << "seed " << seed;
    days += 1;
    use += day.mean_use();
    sums += day.simulation().checker().sums_checked();
    refused += RefusedEverywhere(day.simulation());
  }
  std::printf("%lu days, mean use amid faults %.3f, %lu sums checked in full, %lu refused\n", days,
              use / static_cast<double>(days), sums, refused);
  // Or the days prove nothing: leases were held, and messages came that must change nothing.
  EXPECT_GT(use / static_cast<double>(days), 0.3);
  EXPECT_GT(refused, days);
}

TEST(QuotaDays, SmallClustersKeepTheSumAndComeBackToFullUse) {
  const std::uint64_t from = FromEnvironment("SEED", 1);
  PlayDays(from, std::max(from, FromEnvironment("SEEDS", 150)), SmallDay);
}

TEST(QuotaDays, LargeClustersKeepTheSumAndComeBackToFullUse) {
  constexpr std::uint64_t kSmallForEachLarge = 50;
  const std::uint64_t from = FromEnvironment("SEED", 1);
  PlayDays(from, std::max(from, FromEnvironment("SEEDS", 150) / kSmallForEachLarge), LargeDay);
}

TEST(QuotaDays, ReportsOfManyFramesKeepTheSumAndComeBackToFullUse) {
  constexpr std::uint64_t kSmallForEachWide = 50;
  const std::uint64_t from = FromEnvironment("SEED", 1);
  PlayDays(from, std::max(from, FromEnvironment("SEEDS", 150) / kSmallForEachWide), WideDay);
}

std::vector<std::string> BrokenWith(std::uint64_t seed, const PlantedFaults& planted) {
  SimulationOptions options = SmallDay(seed);
  options.planted = planted;
  QuotaDay day(seed, options);
  day.Play();
  return day.simulation().broken();
}

// A day with the fault, and sound without it, is found by its sums within this many seeds.
std::uint64_t FirstSeedWith(const PlantedFaults& planted) {
  constexpr std::uint64_t kMostSeeds = 300;
  return FirstFailingSeed(kMostSeeds, [&](std::uint64_t seed) {
    const std::vector<std::string> broken = BrokenWith(seed, planted);
    return BrokenWith(seed, {}).empty() ? broken : std::vector<std::string>{};
  });
}

TEST(QuotaPlanted, ALeaseGivenAgainAfterHalfItsSpanIsFound) {
  EXPECT_NE(FirstSeedWith({.half_span_reserved = true}), 0U);
}
TEST(QuotaPlanted, ALeaseGivenAgainWithoutRegardToDriftIsFound) {
  EXPECT_NE(FirstSeedWith({.drift_left_out = true}), 0U);
}
TEST(QuotaPlanted, ATakeoverThatForgetsLeasesIsFound) {
  EXPECT_NE(FirstSeedWith({.takeover_forgets_leases = true}), 0U);
}
TEST(QuotaPlanted, ATakeoverThatForgetsWhoMayStillGrantIsFound) {
  EXPECT_NE(FirstSeedWith({.earlier_grants_forgotten = true}), 0U);
}
TEST(QuotaPlanted, AGrantOfAnOldEpochThatIsTakenIsFound) {
  EXPECT_NE(FirstSeedWith({.old_epoch_taken = true}), 0U);
}
TEST(QuotaPlanted, AReleaseThatIsCountedBeforeItArrivedIsFound) {
  EXPECT_NE(FirstSeedWith({.release_counted_early = true}), 0U);
}
TEST(QuotaPlanted, AReportThatIsCountedTwiceIsFound) {
  EXPECT_NE(FirstSeedWith({.sequence_ignored = true}), 0U);
}

}  // namespace
}  // namespace millethollow::quota
