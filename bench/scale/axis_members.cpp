// Members: what membership costs each member, and how long a fact takes to be at the last one.
#include "net/cluster/frame.h"
#include "scale/axes.h"
#include "scale/process.h"
#include "scale/statistics.h"
#include "support/membership_simulation.h"

namespace millethollow::scale {
namespace {

using membership::MembershipSimulation;

constexpr double kMaxJoinS = 60;  // for all to be in one view
constexpr double kMaxFactS = 30;
constexpr double kFactStepS = 0.01;
constexpr char kWorker[] = "worker-1";

// What each member sends.
struct Traffic {
  Samples datagrams, bytes;
};

Traffic TrafficDuring(MembershipSimulation* world, double seconds) {
  struct Sent {
    std::uint64_t datagrams = 0, bytes = 0;
  };
  std::vector<Sent> before;
  for (std::size_t i = 0; i < world->size(); ++i) {
    before.push_back({world->node(i).datagrams_sent, world->node(i).bytes_sent});
  }
  world->RunUntil(world->now() + seconds);
  Traffic traffic;
  for (std::size_t i = 0; i < world->size(); ++i) {
    const MembershipSimulation::Node& node = world->node(i);
    traffic.datagrams.Add(static_cast<double>(node.datagrams_sent - before[i].datagrams) / seconds);
    traffic.bytes.Add(static_cast<double>(node.bytes_sent - before[i].bytes) / seconds);
  }
  return traffic;
}

std::size_t FrameBytes(const membership::Frame& frame) {
  return cluster::Encode(cluster::Header{}, cluster::Body(frame)).size();
}

// Seconds until all hold the worker out; -1: not within kMaxFactS.
double SpreadFact(MembershipSimulation* world) {
  const double set_at = world->now();
  world->SetMaintenance(0, kWorker, true);
  while (world->now() < set_at + kMaxFactS) {
    world->RunUntil(world->now() + kFactStepS);
    std::size_t hold = 0;
    for (std::size_t i = 0; i < world->size(); ++i) hold += world->InMaintenance(i, kWorker);
    if (hold == world->size()) return world->now() - set_at;
  }
  return -1;
}

Point MeasureMembers(int members, double seconds, std::uint64_t seed) {
  MembershipSimulation::Options options;
  options.members = static_cast<std::size_t>(members);
  options.voters = 5;
  options.check_invariants = false;
  const std::size_t memory_before = AllocatedMemory();
  MembershipSimulation world(seed, options);
  world.StartAll();
  const double joined_by = world.now() + kMaxJoinS;
  while (!world.HasConverged() && world.now() < joined_by) world.RunUntil(world.now() + 0.25);
  const bool whole = world.HasConverged();
  const double joined_at = world.now();
  const double count = members;
  // Processor time first, with frames uncounted; then their bytes.
  const double spent_before = ProcessorSeconds();
  world.RunUntil(world.now() + seconds);
  const double spent = ProcessorSeconds() - spent_before;
  world.frame_size = FrameBytes;
  const Traffic traffic = TrafficDuring(&world, seconds);
  const std::size_t memory = AllocatedMemory() - memory_before;
  const double fact_s = SpreadFact(&world);
  Point point;
  point.Computed("members", "member", members);
  point.Computed("one_view", "yes=1", whole ? 1 : 0);
  point.Computed("joined_after", "s", joined_at);
  point.Computed("datagrams_each", "datagram/s", traffic.datagrams.Mean());
  point.Computed("bytes_each", "B/s", traffic.bytes.Mean());
  point.Computed("datagrams_of_busiest", "datagram/s", traffic.datagrams.Quantile(1));
  point.Computed("bytes_of_busiest", "B/s", traffic.bytes.Quantile(1));
  point.Computed("fact_at_last", "s", fact_s);
  point.Measured("processor_each", "ns/s", 1e9 * spent / seconds / count);
  point.Measured("memory_each", "KiB",
                 static_cast<double>(memory) / count / static_cast<double>(kKibibyte));
  return point;
}

}  // namespace

AxisResult RunMembers(const AxisOptions& options) {
  AxisResult result = NewResult("members");
  const std::vector<int> sizes =
      options.is_short ? std::vector<int>{5, 10, 24, 50} : std::vector<int>{5, 24, 100, 300, 1000};
  const double seconds = options.is_short ? 2 : 10;
  for (const int members : sizes) {
    AddPoint({[=] { return MeasureMembers(members, seconds, options.seed); }},
             std::to_string(members) + " members", &result);
  }
  for (const char* figure : {"datagrams_each", "bytes_each", "bytes_of_busiest", "processor_each",
                             "memory_each", "fact_at_last"}) {
    result.trends.push_back(TrendOf(figure, result.points));
  }
  return result;
}

}  // namespace millethollow::scale
