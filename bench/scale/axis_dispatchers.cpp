// Axis `dispatchers`: the cost of reports per dispatcher, and how soon quotas follow demand that
// moves between dispatchers.
#include <algorithm>

#include "scale/axes.h"
#include "scale/fixtures.h"
#include "scale/process.h"
#include "scale/simulated_tier.h"
#include "scale/statistics.h"

namespace millethollow::scale {
namespace {

constexpr int kMaxFullMeshDispatchers = 24;  // A larger tier reports to a few random peers.
constexpr int kMovingTenant = 0;
constexpr double kMovingShare = 0.25;    // Share of all demand and of all quotas.
constexpr double kOverloadFactor = 1.3;  // Demand over the workers' capacity.
constexpr double kJobDurationS = 0.2;
constexpr double kMinJobsPerS = 1300, kMinJobsPerSShort = 500;  // Of the whole tier.
constexpr double kJobsPerDispatcherPerS = 5.2;
constexpr int kFewTenants = 13, kManyTenants = 130;
constexpr double kRecoveredShare = 0.95;  // Of the admission rate before the move.
constexpr double kRateWindowS = 2;        // Window of the admission rates compared.

// The load of the simulation and the end of each of its phases, in seconds of the virtual clock.
struct Phases {
  double min_jobs_per_s = kMinJobsPerS;
  double settled_end_s = 20, even_end_s = 40, first_half_end_s = 70, second_half_end_s = 100;
  double measurement_window_s = 15;  // At the end of each phase.
};

Phases MakePhases(const AxisOptions& options) {
  if (options.is_short) return {kMinJobsPerSShort, 10, 16, 28, 40, 6};
  return {};
}

Demand MakeDemand(double jobs_per_s, int first, int dispatchers) {
  Demand demand;
  demand.jobs_per_s = jobs_per_s;
  demand.first_dispatcher = first;
  demand.dispatcher_count = dispatchers;
  return demand;
}

// Seconds from the move until the admission rate over kRateWindowS has recovered, or -1 if it has
// not by `end_s`.
double RecoveryTime(const SimulatedTier& tier, double moved_at_s, double end_s,
                    double rate_before) {
  for (double time_s = moved_at_s + kRateWindowS; time_s <= end_s;
       time_s += SimulatedTier::kSliceS) {
    const double rate =
        tier.AdmittedBetween(kMovingTenant, time_s - kRateWindowS, time_s) / kRateWindowS;
    if (rate >= kRecoveredShare * rate_before) return time_s - moved_at_s;
  }
  return -1;
}

Point MeasureTier(int dispatchers, int tenants, const Phases& phases, std::uint64_t seed) {
  const double demand = std::max(phases.min_jobs_per_s, kJobsPerDispatcherPerS * dispatchers);
  const double capacity = demand / kOverloadFactor;
  SimulatedTier::Options options;
  options.dispatcher_count = dispatchers;
  options.tenants = tenants;
  options.workers = static_cast<int>(capacity * kJobDurationS / kSlotsPerWorker);
  options.job_duration_s = kJobDurationS;
  options.seed = seed;
  options.quotas_rps.assign(static_cast<std::size_t>(tenants),
                            (1 - kMovingShare) * capacity / (tenants - 1));
  const double quota = kMovingShare * capacity;
  options.quotas_rps[kMovingTenant] = quota;

  const std::size_t memory_before = AllocatedMemory();
  SimulatedTier tier(options);
  const auto memory_bytes = static_cast<double>(AllocatedMemory() - memory_before);
  const double moving_demand = kMovingShare * demand;
  tier.SetDemand(0, MakeDemand(moving_demand, 0, dispatchers));
  Demand other_demand = MakeDemand(demand - moving_demand, 0, dispatchers);
  other_demand.first_tenant = 1;
  other_demand.tenants = tenants - 1;
  tier.SetDemand(1, other_demand);
  tier.Run(phases.settled_end_s);
  tier.ResetCost();
  tier.Run(phases.even_end_s);
  const ControlCost cost = tier.cost();
  const int half_dispatchers = std::max(1, dispatchers / 2);
  tier.SetDemand(0, MakeDemand(moving_demand, 0, half_dispatchers));
  tier.Run(phases.first_half_end_s);
  tier.SetDemand(0, MakeDemand(moving_demand, dispatchers - half_dispatchers, half_dispatchers));
  tier.Run(phases.second_half_end_s);

  const auto admitted_rate = [&](double end_s) {
    return tier.AdmittedBetween(kMovingTenant, end_s - phases.measurement_window_s, end_s) /
           phases.measurement_window_s;
  };
  const auto quota_used_share = [&](double end_s) {
    const double served =
        tier.ServedBetween(kMovingTenant, end_s - phases.measurement_window_s, end_s);
    return served / phases.measurement_window_s / quota;
  };
  const auto fleet_used_share = [&](double end_s) {
    const double served = tier.AllServedBetween(end_s - phases.measurement_window_s, end_s);
    return served / phases.measurement_window_s / capacity;
  };
  const double dispatcher_seconds = (phases.even_end_s - phases.settled_end_s) * dispatchers;
  const double rate_even = admitted_rate(phases.even_end_s);
  const double rate_before = admitted_rate(phases.first_half_end_s);
  const std::string suffix = AppendNumber("_", tenants) + "t";
  Point point;
  point.AddComputed("datagrams_each" + suffix, "datagram/s",
                    static_cast<double>(cost.datagrams) / dispatcher_seconds);
  point.AddComputed("bytes_each" + suffix, "B/s",
                    static_cast<double>(cost.bytes) / dispatcher_seconds);
  point.AddComputed("dropped_each" + suffix, "datagram/s",
                    static_cast<double>(cost.oversized_messages) / dispatcher_seconds);
  point.AddMeasured("peers_processor_each" + suffix, "ns/s",
                    cost.peer_nanoseconds / dispatcher_seconds);
  point.AddMeasured("jobs_processor_each" + suffix, "ns/s",
                    cost.job_nanoseconds / dispatcher_seconds);
  point.AddMeasured("memory_each" + suffix, "KiB",
                    memory_bytes / dispatchers / static_cast<double>(kKibibyte));
  point.AddComputed("quota_used_even" + suffix, "share", quota_used_share(phases.even_end_s));
  point.AddComputed("quota_used_at_first_half" + suffix, "share",
                    quota_used_share(phases.first_half_end_s));
  point.AddComputed("quota_used_at_second_half" + suffix, "share",
                    quota_used_share(phases.second_half_end_s));
  point.AddComputed("fleet_used_even" + suffix, "share", fleet_used_share(phases.even_end_s));
  point.AddComputed("fleet_used_at_second_half" + suffix, "share",
                    fleet_used_share(phases.second_half_end_s));
  point.AddComputed("back_after_gathering" + suffix, "s",
                    RecoveryTime(tier, phases.even_end_s, phases.first_half_end_s, rate_even));
  point.AddComputed(
      "back_after_move" + suffix, "s",
      RecoveryTime(tier, phases.first_half_end_s, phases.second_half_end_s, rate_before));
  return point;
}

Point SizePoint(int dispatchers) {
  Point point;
  point.AddComputed("dispatchers", "dispatcher", dispatchers);
  return point;
}

}  // namespace

AxisResult RunDispatchers(const AxisOptions& options) {
  AxisResult result = NewResult("dispatchers");
  const std::vector<int> sizes = options.is_short ? std::vector<int>{3, 10, 24, 30}
                                                  : std::vector<int>{3, 10, 24, 30, 100, 300, 1000};
  const Phases phases = MakePhases(options);
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
    result.trends.push_back(
        FitTrend(figure, result.points, {.min = 0, .max = kMaxFullMeshDispatchers}));
    if (options.is_short) continue;
    result.trends.push_back(FitTrend(figure, result.points, {.min = kMaxFullMeshDispatchers + 1}));
  }
  return result;
}

}  // namespace millethollow::scale
