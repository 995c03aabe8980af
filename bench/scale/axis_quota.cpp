// Axes `quota-dispatchers`, `quota-tenants` and `quota-allocators`: the cost of quota leases per
// dispatcher and per allocator, and how soon a shift of demand is granted.
#include <algorithm>

#include "net/cluster/frame.h"
#include "scale/axes.h"
#include "scale/statistics.h"
#include "support/quota_demand.h"
#include "support/quota_simulation.h"

namespace millethollow::scale {
namespace {

using quota::QuotaSimulation;
using quota::SimulationOptions;

constexpr std::size_t kZoneCount = 11;
constexpr std::size_t kDefaultDispatchers = 300, kDefaultTenants = 130, kDefaultAllocators = 5;
constexpr std::size_t kIpAndUdpBytes = 28;
constexpr std::size_t kDatagramBytes = cluster::kMaxDatagramBytes;  // Longer frames go by TCP.
constexpr double kFirstViewS = 0.5, kWarmUpS = 12;
constexpr double kMovePeriodS = 1;

// The size of one simulation. `seconds` is the length of the steady and of the moving phase.
struct QuotaCase {
  std::size_t dispatchers = kDefaultDispatchers;
  std::size_t tenants = kDefaultTenants;
  std::size_t allocators = kDefaultAllocators;
  double seconds = 30;
  int shifts = 100;
  std::uint64_t seed = 1;
};

// Network traffic and processor time since the start, summed over all processes.
struct ResourceUse {
  double messages = 0, bytes = 0;
  double holder_ns = 0, allocator_ns = 0;
};

std::size_t MessageWireBytes(const quota::Message& message) {
  const std::size_t frame = cluster::Encode(cluster::Header{}, cluster::Body(message)).size();
  const std::size_t packets = (frame + kDatagramBytes - 1) / kDatagramBytes;
  return frame + packets * kIpAndUdpBytes;
}

ResourceUse TotalResourceUse(const QuotaSimulation& simulation) {
  ResourceUse use;
  for (std::size_t process_index = 0; process_index < simulation.size(); ++process_index) {
    const QuotaSimulation::Process& process = simulation.process(process_index);
    use.messages += static_cast<double>(process.reports.messages + process.grants.messages);
    use.bytes += static_cast<double>(process.reports.bytes + process.grants.bytes);
    use.holder_ns += process.holder_ns;
    use.allocator_ns += process.allocator_ns;
  }
  return use;
}

// Gives each tenant a demand of 0.2 to 2 times its quota, spread evenly over all dispatchers.
void SpreadDemandEvenly(QuotaSimulation* simulation) {
  const std::size_t count = simulation->size();
  for (std::size_t tenant = 0; tenant < simulation->tenants(); ++tenant) {
    const double demand_ratio = 0.2 + 1.8 * simulation->random().Unit();
    const double demand_per_dispatcher =
        simulation->quota(tenant) * demand_ratio / static_cast<double>(count);
    quota::SetTenantDemand(simulation, tenant, std::vector<double>(count, demand_per_dispatcher));
  }
}

// Redistributes the demand of a random tenth of the tenants over the dispatchers.
void MoveTenantDemand(QuotaSimulation* simulation) {
  const std::size_t move_count = std::max<std::size_t>(1, simulation->tenants() / 10);
  for (std::size_t move = 0; move < move_count; ++move) {
    const std::size_t tenant = simulation->random().Below(simulation->tenants());
    quota::SetTenantDemand(simulation, tenant,
                           quota::RandomDemand(&simulation->random(), simulation->size(),
                                               kZoneCount, simulation->quota(tenant)));
  }
}

// Adds the use per second between `before` and `after`. Every message has a dispatcher at one end
// and an allocator at the other, so the messages sent and received by all dispatchers are all
// messages counted once; the same holds for all allocators.
void AddResourceUse(const std::string& phase, const QuotaCase& quota_case,
                    const ResourceUse& before, const ResourceUse& after, Point* point) {
  const double bytes = (after.bytes - before.bytes) / quota_case.seconds;
  const double messages = (after.messages - before.messages) / quota_case.seconds;
  const double holder_ns_per_s = (after.holder_ns - before.holder_ns) / quota_case.seconds;
  const double allocator_ns_per_s = (after.allocator_ns - before.allocator_ns) / quota_case.seconds;
  const auto dispatchers = static_cast<double>(quota_case.dispatchers);
  const auto allocators = static_cast<double>(quota_case.allocators);
  point->AddComputed("dispatcher_messages_" + phase, "message/s", messages / dispatchers);
  point->AddComputed("dispatcher_bytes_" + phase, "B/s", bytes / dispatchers);
  point->AddComputed("allocator_messages_" + phase, "message/s", messages / allocators);
  point->AddComputed("allocator_bytes_" + phase, "B/s", bytes / allocators);
  point->AddMeasured("dispatcher_processor_" + phase, "ns/s", holder_ns_per_s / dispatchers);
  point->AddMeasured("allocator_processor_" + phase, "ns/s", allocator_ns_per_s / allocators);
}

// Repeatedly adds half of a tenant's quota to the demand at one dispatcher; each sample is the time
// in seconds until the dispatcher's granted rate rises.
Samples MeasureShifts(QuotaSimulation* simulation, int shifts) {
  constexpr double kMaxWaitS = 5, kPollIntervalS = 0.05;
  Samples grant_delays_s;
  std::size_t dispatcher = 0, tenant = 0;
  double rate_before = 0, granted_at_s = -1;
  simulation->on_grant = [&](std::size_t process_index) {
    if (process_index != dispatcher || granted_at_s >= 0 ||
        simulation->RateOf(process_index, tenant) <= rate_before)
      return;
    granted_at_s = simulation->now();
  };
  for (int shift = 0; shift < shifts; ++shift) {
    dispatcher = simulation->random().Below(simulation->size());
    tenant = simulation->random().Below(simulation->tenants());
    rate_before = simulation->RateOf(dispatcher, tenant);
    granted_at_s = -1;
    const double shifted_at_s = simulation->now();
    const double demand_before = simulation->demand(dispatcher, tenant);
    simulation->SetDemand(dispatcher, tenant, demand_before + simulation->quota(tenant) / 2);
    while (granted_at_s < 0 && simulation->now() < shifted_at_s + kMaxWaitS) {
      simulation->RunUntil(simulation->now() + kPollIntervalS);
    }
    if (granted_at_s >= 0) grant_delays_s.Add(granted_at_s - shifted_at_s);
    simulation->SetDemand(dispatcher, tenant, demand_before);
    simulation->RunUntil(simulation->now() + 1 + simulation->random().Unit());
  }
  simulation->on_grant = [](std::size_t) {};
  return grant_delays_s;
}

void MeasureQuota(const QuotaCase& quota_case, Point* point) {
  SimulationOptions options;
  options.regions = kZoneCount;
  options.dispatchers = quota_case.dispatchers;
  options.allocators = quota_case.allocators;
  options.tenants = quota_case.tenants;
  options.check_invariants = false;
  options.measure_time = true;
  options.message_size = MessageWireBytes;
  QuotaSimulation simulation(quota_case.seed, options);
  simulation.StartAll();
  simulation.ProposeFullView(kFirstViewS);
  SpreadDemandEvenly(&simulation);
  simulation.RunUntil(kWarmUpS);
  const ResourceUse at_start = TotalResourceUse(simulation);
  simulation.RunUntil(simulation.now() + quota_case.seconds);
  const ResourceUse after_steady = TotalResourceUse(simulation);
  AddResourceUse("steady", quota_case, at_start, after_steady, point);
  for (double elapsed_s = 0; elapsed_s < quota_case.seconds; elapsed_s += kMovePeriodS) {
    MoveTenantDemand(&simulation);
    simulation.RunUntil(simulation.now() + kMovePeriodS);
  }
  AddResourceUse("moving", quota_case, after_steady, TotalResourceUse(simulation), point);
  const Samples grant_delays_s = MeasureShifts(&simulation, quota_case.shifts);
  point->AddComputed("shifts_granted", "of all",
                     static_cast<double>(grant_delays_s.size()) / quota_case.shifts);
  point->AddComputed("shift_to_grant_p50", "s", grant_delays_s.Quantile(0.5));
  point->AddComputed("shift_to_grant_p99", "s", grant_delays_s.Quantile(0.99));
}

QuotaCase DefaultCase(const AxisOptions& options) {
  QuotaCase default_case;
  default_case.seed = options.seed;
  if (!options.is_short) return default_case;
  default_case.dispatchers = 40;
  default_case.tenants = 26;
  default_case.seconds = 5;
  default_case.shifts = 10;
  return default_case;
}

// Sizes along one axis, in ascending order.
using Sizes = std::vector<std::size_t>;

// Measures one axis: the default case with `varied_field`, whose unit is `unit`, set to each size.
AxisResult RunQuota(const std::string& name, const std::string& unit, const AxisOptions& options,
                    std::size_t QuotaCase::*varied_field, const Sizes& sizes) {
  AxisResult result = NewResult(name);
  for (const std::size_t size : sizes) {
    QuotaCase quota_case = DefaultCase(options);
    quota_case.*varied_field = size;
    const auto measure = [=] {
      Point point;
      point.AddComputed(unit + "s", unit, static_cast<double>(size));
      MeasureQuota(quota_case, &point);
      return point;
    };
    AddPoint({measure}, std::to_string(size) + " " + unit + "s", &result);
  }
  for (const char* figure :
       {"dispatcher_bytes_steady", "dispatcher_bytes_moving", "allocator_bytes_steady",
        "allocator_bytes_moving", "dispatcher_processor_moving", "allocator_processor_moving",
        "shift_to_grant_p99"}) {
    result.trends.push_back(FitTrend(figure, result.points));
  }
  return result;
}

}  // namespace

AxisResult RunQuotaDispatchers(const AxisOptions& options) {
  const Sizes sizes = options.is_short ? Sizes{10, 20, 40, 80} : Sizes{10, 30, 100, 300, 1000};
  return RunQuota("quota-dispatchers", "dispatcher", options, &QuotaCase::dispatchers, sizes);
}

AxisResult RunQuotaTenants(const AxisOptions& options) {
  const Sizes sizes = options.is_short ? Sizes{5, 10, 20, 40} : Sizes{10, 30, 65, 130, 260};
  return RunQuota("quota-tenants", "tenant", options, &QuotaCase::tenants, sizes);
}

AxisResult RunQuotaAllocators(const AxisOptions& options) {
  const Sizes sizes = options.is_short ? Sizes{2, 3, 5, 11} : Sizes{5, 11, 17, 26};
  return RunQuota("quota-allocators", "allocator", options, &QuotaCase::allocators, sizes);
}

}  // namespace millethollow::scale
