// Quota leases: what they cost each dispatcher and each allocator, and how soon a shift of demand
// is granted, by dispatchers, by tenants and by allocators.
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

constexpr std::size_t kZones = 11;
constexpr std::size_t kUsualDispatchers = 300, kUsualTenants = 130, kUsualAllocators = 5;
constexpr std::size_t kIpAndUdpBytes = 28;
constexpr std::size_t kDatagramBytes = cluster::kMaxDatagramBytes;  // longer frames go by TCP
constexpr double kFirstViewS = 0.5, kWarmUpS = 12;
constexpr double kMovePeriodS = 1;

struct QuotaCase {
  std::size_t dispatchers = kUsualDispatchers;
  std::size_t tenants = kUsualTenants;
  std::size_t allocators = kUsualAllocators;
  double seconds = 30;
  int shifts = 100;
  std::uint64_t seed = 1;
};

// What went over the network and was computed, of all processes.
struct Spent {
  double messages = 0, bytes = 0;
  double holder_ns = 0, allocator_ns = 0;
};

std::size_t WireBytes(const quota::Message& message) {
  const std::size_t frame = cluster::Encode(cluster::Header{}, cluster::Body(message)).size();
  const std::size_t packets = (frame + kDatagramBytes - 1) / kDatagramBytes;
  return frame + packets * kIpAndUdpBytes;
}

Spent SpentOf(const QuotaSimulation& world) {
  Spent spent;
  for (std::size_t i = 0; i < world.size(); ++i) {
    const QuotaSimulation::Process& process = world.process(i);
    spent.messages += static_cast<double>(process.reports.messages + process.grants.messages);
    spent.bytes += static_cast<double>(process.reports.bytes + process.grants.bytes);
    spent.holder_ns += process.holder_ns;
    spent.allocator_ns += process.allocator_ns;
  }
  return spent;
}

// Each tenant is asked for everywhere, at 0.2 to 2 times its quota in all.
void AskEverywhere(QuotaSimulation* world) {
  const std::size_t count = world->size();
  for (std::size_t tenant = 0; tenant < world->tenants(); ++tenant) {
    const double part = 0.2 + 1.8 * world->random().Unit();
    const double each = world->quota(tenant) * part / static_cast<double>(count);
    quota::SetTenantDemand(world, tenant, std::vector<double>(count, each));
  }
}

// A tenth of the tenants has its demand elsewhere.
void MoveSomeDemand(QuotaSimulation* world) {
  const std::size_t moves = std::max<std::size_t>(1, world->tenants() / 10);
  for (std::size_t move = 0; move < moves; ++move) {
    const std::size_t tenant = world->random().Below(world->tenants());
    quota::SetTenantDemand(
        world, tenant,
        quota::RandomDemand(&world->random(), world->size(), kZones, world->quota(tenant)));
  }
}

// Each message is sent by one and heard by another: in sum over all dispatchers, as over all
// allocators, both ways together are all messages once.
void AddSpent(const std::string& when, const QuotaCase& of, const Spent& before, const Spent& after,
              Point* point) {
  const double bytes = (after.bytes - before.bytes) / of.seconds;
  const double messages = (after.messages - before.messages) / of.seconds;
  const double holder = (after.holder_ns - before.holder_ns) / of.seconds;
  const double allocator = (after.allocator_ns - before.allocator_ns) / of.seconds;
  const auto dispatchers = static_cast<double>(of.dispatchers);
  const auto allocators = static_cast<double>(of.allocators);
  point->Computed("dispatcher_messages_" + when, "message/s", messages / dispatchers);
  point->Computed("dispatcher_bytes_" + when, "B/s", bytes / dispatchers);
  point->Computed("allocator_messages_" + when, "message/s", messages / allocators);
  point->Computed("allocator_bytes_" + when, "B/s", bytes / allocators);
  point->Measured("dispatcher_processor_" + when, "ns/s", holder / dispatchers);
  point->Measured("allocator_processor_" + when, "ns/s", allocator / allocators);
}

// Half of a tenant's quota is asked for anew at one dispatcher: seconds until its rate rises.
Samples MeasureShifts(QuotaSimulation* world, int shifts) {
  constexpr double kMaxWaitS = 5, kStepS = 0.05;
  Samples took;
  std::size_t watched = 0, tenant = 0;
  double rate = 0, granted_at = -1;
  world->on_grant = [&](std::size_t i) {
    if (i != watched || granted_at >= 0 || world->RateOf(i, tenant) <= rate) return;
    granted_at = world->now();
  };
  for (int shift = 0; shift < shifts; ++shift) {
    watched = world->random().Below(world->size());
    tenant = world->random().Below(world->tenants());
    rate = world->RateOf(watched, tenant);
    granted_at = -1;
    const double shifted_at = world->now();
    const double before = world->demand(watched, tenant);
    world->SetDemand(watched, tenant, before + world->quota(tenant) / 2);
    while (granted_at < 0 && world->now() < shifted_at + kMaxWaitS) {
      world->RunUntil(world->now() + kStepS);
    }
    if (granted_at >= 0) took.Add(granted_at - shifted_at);
    world->SetDemand(watched, tenant, before);
    world->RunUntil(world->now() + 1 + world->random().Unit());
  }
  world->on_grant = [](std::size_t) {};
  return took;
}

void MeasureQuota(const QuotaCase& of, Point* point) {
  SimulationOptions options;
  options.regions = kZones;
  options.dispatchers = of.dispatchers;
  options.allocators = of.allocators;
  options.tenants = of.tenants;
  options.check_invariants = false;
  options.measure_time = true;
  options.message_size = WireBytes;
  QuotaSimulation world(of.seed, options);
  world.StartAll();
  world.ProposeFullView(kFirstViewS);
  AskEverywhere(&world);
  world.RunUntil(kWarmUpS);
  const Spent at_start = SpentOf(world);
  world.RunUntil(world.now() + of.seconds);
  const Spent after_rest = SpentOf(world);
  AddSpent("steady", of, at_start, after_rest, point);
  for (double s = 0; s < of.seconds; s += kMovePeriodS) {
    MoveSomeDemand(&world);
    world.RunUntil(world.now() + kMovePeriodS);
  }
  AddSpent("moving", of, after_rest, SpentOf(world), point);
  const Samples took = MeasureShifts(&world, of.shifts);
  point->Computed("shifts_granted", "of all", static_cast<double>(took.size()) / of.shifts);
  point->Computed("shift_to_grant_p50", "s", took.Quantile(0.5));
  point->Computed("shift_to_grant_p99", "s", took.Quantile(0.99));
}

QuotaCase UsualCase(const AxisOptions& options) {
  QuotaCase usual;
  usual.seed = options.seed;
  if (!options.is_short) return usual;
  usual.dispatchers = 40;
  usual.tenants = 26;
  usual.seconds = 5;
  usual.shifts = 10;
  return usual;
}

// Sizes along one axis, rising.
using Sizes = std::vector<std::size_t>;

// One axis: the usual case with another number of one thing, named by `unit`.
AxisResult RunQuota(const std::string& name, const std::string& unit, const AxisOptions& options,
                    std::size_t QuotaCase::*varied, const Sizes& sizes) {
  AxisResult result = NewResult(name);
  for (const std::size_t size : sizes) {
    QuotaCase of = UsualCase(options);
    of.*varied = size;
    const auto measure = [=] {
      Point point;
      point.Computed(unit + "s", unit, static_cast<double>(size));
      MeasureQuota(of, &point);
      return point;
    };
    AddPoint({measure}, std::to_string(size) + " " + unit + "s", &result);
  }
  for (const char* figure :
       {"dispatcher_bytes_steady", "dispatcher_bytes_moving", "allocator_bytes_steady",
        "allocator_bytes_moving", "dispatcher_processor_moving", "allocator_processor_moving",
        "shift_to_grant_p99"}) {
    result.trends.push_back(TrendOf(figure, result.points));
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
