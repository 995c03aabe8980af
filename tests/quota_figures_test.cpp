// Figures of quota leases on a virtual clock: messages, bytes and processor time, and how long a
// shift of demand takes to be granted. Not checks; run with --gtest_also_run_disabled_tests.
#include <gtest/gtest.h>

#include <algorithm>

#include "quota_demand.h"
#include "quota_world.h"

namespace millethollow::quota {
namespace {

constexpr std::size_t kZones = 11, kAllocators = 26;
constexpr double kMinuteSeconds = 60, kWarmUpSeconds = 12;

struct Sum {
  double messages = 0, bytes = 0, ns = 0;
  void Add(const Traffic& traffic, double spent_ns) {
    messages += static_cast<double>(traffic.messages);
    bytes += static_cast<double>(traffic.bytes);
    ns += spent_ns;
  }
  Sum Since(const Sum& before) const {
    return {messages - before.messages, bytes - before.bytes, ns - before.ns};
  }
};
struct Sums {
  Sum dispatchers, allocators;
};

Sums SumOf(const QuotaWorld& world) {
  Sums sums;
  for (std::size_t i = 0; i < world.size(); ++i) {
    const QuotaWorld::Process& process = world.process(i);
    sums.dispatchers.Add(process.reports, process.holder_ns);
    sums.allocators.Add(process.grants, process.allocator_ns);
  }
  return sums;
}

void Print(const char* what, const Sum& sum, std::size_t processes) {
  const double each = static_cast<double>(processes) * kMinuteSeconds;
  std::printf("  %-26s %9.2f messages/s %11.0f bytes/s %11.0f ns/s\n", what, sum.messages / each,
              sum.bytes / each, sum.ns / each);
}

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

// Seconds from a shift of one tenant's demand to one dispatcher until its rate rises.
std::vector<double> Shifts(QuotaWorld* world) {
  constexpr int kShifts = 100;
  constexpr double kMostSeconds = 5;
  std::vector<double> took;
  std::size_t watched = 0, tenant = 0;
  double rate = 0, shifted_at = 0, granted_at = -1;
  world->on_grant = [&](std::size_t i) {
    if (i != watched || granted_at >= 0 || world->RateOf(i, tenant) <= rate) return;
    granted_at = world->now();
  };
  for (int shift = 0; shift < kShifts; ++shift) {
    watched = world->random().Below(world->size());
    tenant = world->random().Below(world->tenants());
    rate = world->RateOf(watched, tenant);
    shifted_at = world->now();
    granted_at = -1;
    const double before = world->demand(watched, tenant);
    world->SetDemand(watched, tenant, before + world->quota(tenant) / 2);
    while (granted_at < 0 && world->now() < shifted_at + kMostSeconds) {
      world->RunUntil(world->now() + 0.05);
    }
    if (granted_at >= 0) took.push_back(granted_at - shifted_at);
    world->SetDemand(watched, tenant, before);
    world->RunUntil(world->now() + 1 + world->random().Unit());
  }
  world->on_grant = [](std::size_t) {};
  return took;
}

void Measure(std::size_t dispatchers, std::size_t tenants) {
  WorldOptions options;
  options.regions = kZones;
  options.dispatchers = dispatchers;
  options.allocators = std::min(dispatchers, kAllocators);
  options.tenants = tenants;
  options.check = false;
  options.measure = true;
  QuotaWorld world(1, options);
  world.StartAll();
  world.ProposeWholeView(0.5);
  // Each tenant is asked for everywhere at 0.2 to 2 times its quota.
  for (std::size_t tenant = 0; tenant < tenants; ++tenant) {
    const double each = world.quota(tenant) * (0.2 + 1.8 * world.random().Unit()) /
                        static_cast<double>(dispatchers);
    SetDemandOf(&world, tenant, std::vector<double>(dispatchers, each));
  }
  world.RunUntil(kWarmUpSeconds);
  std::printf("%zu dispatchers, %zu allocators, %zu tenants, %zu zones\n", dispatchers,
              options.allocators, tenants, kZones);

  Sums before = SumOf(world);
  world.RunUntil(world.now() + kMinuteSeconds);
  Sums after = SumOf(world);
  Print("steady, a dispatcher", after.dispatchers.Since(before.dispatchers), dispatchers);
  Print("steady, an allocator", after.allocators.Since(before.allocators), options.allocators);

  before = after;
  for (double s = 0; s < kMinuteSeconds; s += 1) {
    // Each second a tenth of the tenants has its demand elsewhere.
    for (std::size_t n = 0; n < std::max<std::size_t>(1, tenants / 10); ++n) {
      const std::size_t tenant = world.random().Below(tenants);
      SetDemandOf(&world, tenant,
                  PickDemand(&world.random(), dispatchers, kZones, world.quota(tenant)));
    }
    world.RunUntil(world.now() + 1);
  }
  after = SumOf(world);
  Print("moving, a dispatcher", after.dispatchers.Since(before.dispatchers), dispatchers);
  Print("moving, an allocator", after.allocators.Since(before.allocators), options.allocators);

  const std::vector<double> took = Shifts(&world);
  std::printf("  shift of demand to grant: p50 %.0f ms, p99 %.0f ms, %zu of 100 granted\n\n",
              1000 * Percentile(took, 0.5), 1000 * Percentile(took, 0.99), took.size());
  std::fflush(stdout);
}

TEST(QuotaFigures, DISABLED_ByDispatchers) {
  for (const std::size_t dispatchers : {10, 30, 100, 300, 1000}) Measure(dispatchers, 130);
}
TEST(QuotaFigures, DISABLED_ByTenants) {
  for (const std::size_t tenants : {10, 30, 65, 130, 260}) Measure(100, tenants);
}

}  // namespace
}  // namespace millethollow::quota
