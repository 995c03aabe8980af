// Dispatchers: what their reports cost each of them, and how soon quotas follow demand that moves.
#include <algorithm>

#include "scale/axes.h"
#include "scale/fixtures.h"
#include "scale/hollow_tier.h"
#include "scale/process.h"
#include "scale/statistics.h"

namespace millethollow::scale {
namespace {

constexpr int kDirectTier = 24;  // up to so many all hear each other; beyond, a few at random
constexpr int kMovingTenant = 0;
constexpr double kMovingPart = 0.25;  // of all demand and of all quotas
constexpr double kOverload = 1.3;     // demand over what the workers can do
constexpr double kRunS = 0.2;
constexpr double kLeastJobsPerS = 1300, kLeastJobsPerSShort = 500;  // of the whole tier
constexpr double kJobsPerDispatcherS = 5.2;
constexpr int kFewTenants = 13, kManyTenants = 130;
constexpr double kBackAt = 0.95;  // of the admissions before the move
constexpr double kWindowS = 2;    // over which admissions are compared

// How much is played, and when each part of it ends, in seconds of the virtual clock.
struct Phases {
  double least_jobs_per_s = kLeastJobsPerS;
  double settled = 20, even = 40, first_half = 70, second_half = 100;
  double measured_s = 15;  // at the end of each phase
};

Phases PhasesOf(const AxisOptions& options) {
  if (options.is_short) return {kLeastJobsPerSShort, 10, 16, 28, 40, 6};
  return {};
}

Demand DemandAt(double jobs_per_s, int first, int dispatchers) {
  Demand demand;
  demand.jobs_per_s = jobs_per_s;
  demand.first_dispatcher = first;
  demand.dispatcher_count = dispatchers;
  return demand;
}

// Seconds from the move until admissions over the last kWindowS are back; -1: not before the end.
double RecoveryTime(const HollowTier& tier, double moved_at, double end, double rate_before) {
  for (double t = moved_at + kWindowS; t <= end; t += HollowTier::kSliceS) {
    const double rate = tier.AdmittedBetween(kMovingTenant, t - kWindowS, t) / kWindowS;
    if (rate >= kBackAt * rate_before) return t - moved_at;
  }
  return -1;
}

Point MeasureTier(int dispatchers, int tenants, const Phases& phases, std::uint64_t seed) {
  const double demand = std::max(phases.least_jobs_per_s, kJobsPerDispatcherS * dispatchers);
  const double capacity = demand / kOverload;
  HollowTier::Options options;
  options.dispatcher_count = dispatchers;
  options.tenants = tenants;
  options.workers = static_cast<int>(capacity * kRunS / kSlotsPerWorker);
  options.run_s = kRunS;
  options.seed = seed;
  options.quotas_rps.assign(static_cast<std::size_t>(tenants),
                            (1 - kMovingPart) * capacity / (tenants - 1));
  const double quota = kMovingPart * capacity;
  options.quotas_rps[kMovingTenant] = quota;

  const std::size_t memory_before = AllocatedMemory();
  HollowTier tier(options);
  const auto memory = static_cast<double>(AllocatedMemory() - memory_before);
  const double moving = kMovingPart * demand;
  tier.SetDemand(0, DemandAt(moving, 0, dispatchers));
  Demand others = DemandAt(demand - moving, 0, dispatchers);
  others.first_tenant = 1;
  others.tenants = tenants - 1;
  tier.SetDemand(1, others);
  tier.Run(phases.settled);
  tier.ResetCost();
  tier.Run(phases.even);
  const ControlCost cost = tier.cost();
  const int half = std::max(1, dispatchers / 2);
  tier.SetDemand(0, DemandAt(moving, 0, half));
  tier.Run(phases.first_half);
  tier.SetDemand(0, DemandAt(moving, dispatchers - half, half));
  tier.Run(phases.second_half);

  const auto admitted_rate = [&](double end) {
    return tier.AdmittedBetween(kMovingTenant, end - phases.measured_s, end) / phases.measured_s;
  };
  const auto used = [&](double end) {
    const double served = tier.ServedBetween(kMovingTenant, end - phases.measured_s, end);
    return served / phases.measured_s / quota;
  };
  const auto fleet_used = [&](double end) {
    const double served = tier.AllServedBetween(end - phases.measured_s, end);
    return served / phases.measured_s / capacity;
  };
  const double spans = (phases.even - phases.settled) * dispatchers;
  const double rate_even = admitted_rate(phases.even);
  const double rate_before = admitted_rate(phases.first_half);
  const std::string suffix = Numbered("_", tenants) + "t";
  Point point;
  point.Computed("datagrams_each" + suffix, "datagram/s",
                 static_cast<double>(cost.datagrams) / spans);
  point.Computed("bytes_each" + suffix, "B/s", static_cast<double>(cost.bytes) / spans);
  point.Computed("dropped_each" + suffix, "datagram/s", static_cast<double>(cost.too_long) / spans);
  point.Measured("peers_processor_each" + suffix, "ns/s", cost.peer_nanoseconds / spans);
  point.Measured("jobs_processor_each" + suffix, "ns/s", cost.job_nanoseconds / spans);
  point.Measured("memory_each" + suffix, "KiB",
                 memory / dispatchers / static_cast<double>(kKibibyte));
  point.Computed("quota_used_even" + suffix, "share", used(phases.even));
  point.Computed("quota_used_at_first_half" + suffix, "share", used(phases.first_half));
  point.Computed("quota_used_at_second_half" + suffix, "share", used(phases.second_half));
  point.Computed("fleet_used_even" + suffix, "share", fleet_used(phases.even));
  point.Computed("fleet_used_at_second_half" + suffix, "share", fleet_used(phases.second_half));
  point.Computed("back_after_gathering" + suffix, "s",
                 RecoveryTime(tier, phases.even, phases.first_half, rate_even));
  point.Computed("back_after_move" + suffix, "s",
                 RecoveryTime(tier, phases.first_half, phases.second_half, rate_before));
  return point;
}

Point SizePoint(int dispatchers) {
  Point point;
  point.Computed("dispatchers", "dispatcher", dispatchers);
  return point;
}

}  // namespace

AxisResult RunDispatchers(const AxisOptions& options) {
  AxisResult result = NewResult("dispatchers");
  const std::vector<int> sizes = options.is_short ? std::vector<int>{3, 10, 24, 30}
                                                  : std::vector<int>{3, 10, 24, 30, 100, 300, 1000};
  const Phases phases = PhasesOf(options);
  for (const int dispatchers : sizes) {
    std::vector<Measure> measures{
        [=] { return SizePoint(dispatchers); },
        [=] { return MeasureTier(dispatchers, kFewTenants, phases, options.seed); }};
    if (!options.is_short) {
      measures.emplace_back(
          [=] { return MeasureTier(dispatchers, kManyTenants, phases, options.seed); });
    }
    AddPoint(measures, std::to_string(dispatchers) + " dispatchers", &result);
  }
  for (const char* figure : {"bytes_each_13t", "peers_processor_each_13t", "memory_each_13t"}) {
    result.trends.push_back(TrendOf(figure, result.points, {.min = 0, .max = kDirectTier}));
    if (options.is_short) continue;
    result.trends.push_back(TrendOf(figure, result.points, {.min = kDirectTier + 1}));
  }
  return result;
}

}  // namespace millethollow::scale
