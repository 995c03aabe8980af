// Axis `members`: the cost of membership per member, and how long a fact takes to reach all
// members.
#include "net/cluster/frame.h"
#include "scale/axes.h"
#include "scale/process.h"
#include "scale/statistics.h"
#include "support/membership_simulation.h"

namespace millethollow::scale {
namespace {

using membership::MembershipSimulation;

constexpr double kMaxConvergenceS = 60;  // Until all members share one view.
constexpr double kMaxFactWaitS = 30;
constexpr double kFactPollS = 0.01;
constexpr char kWorkerName[] = "worker-1";

// Datagrams and bytes that each member sends per second; one sample per member.
struct Traffic {
  Samples datagrams, bytes;
};

Traffic MeasureTraffic(MembershipSimulation* simulation, double seconds) {
  struct SentTotals {
    std::uint64_t datagrams = 0, bytes = 0;
  };
  std::vector<SentTotals> before;
  for (std::size_t i = 0; i < simulation->size(); ++i) {
    before.push_back({simulation->node(i).datagrams_sent, simulation->node(i).bytes_sent});
  }
  simulation->RunUntil(simulation->now() + seconds);
  Traffic traffic;
  for (std::size_t i = 0; i < simulation->size(); ++i) {
    const MembershipSimulation::Node& node = simulation->node(i);
    traffic.datagrams.Add(static_cast<double>(node.datagrams_sent - before[i].datagrams) / seconds);
    traffic.bytes.Add(static_cast<double>(node.bytes_sent - before[i].bytes) / seconds);
  }
  return traffic;
}

std::size_t FrameBytes(const membership::Frame& frame) {
  return cluster::Encode(cluster::Header{}, cluster::Body(frame)).size();
}

// Seconds until all members have the worker in maintenance, or -1 if not within kMaxFactWaitS.
double MeasureFactSpread(MembershipSimulation* simulation) {
  const double set_at_s = simulation->now();
  simulation->SetMaintenance(0, kWorkerName, true);
  while (simulation->now() < set_at_s + kMaxFactWaitS) {
    simulation->RunUntil(simulation->now() + kFactPollS);
    std::size_t informed = 0;
    for (std::size_t i = 0; i < simulation->size(); ++i)
      informed += simulation->InMaintenance(i, kWorkerName);
    if (informed == simulation->size()) return simulation->now() - set_at_s;
  }
  return -1;
}

Point MeasureMembers(int members, double seconds, std::uint64_t seed) {
  MembershipSimulation::Options options;
  options.members = static_cast<std::size_t>(members);
  options.voters = 5;
  options.check_invariants = false;
  const std::size_t memory_before = AllocatedMemory();
  MembershipSimulation simulation(seed, options);
  simulation.StartAll();
  const double convergence_deadline_s = simulation.now() + kMaxConvergenceS;
  while (!simulation.HasConverged() && simulation.now() < convergence_deadline_s)
    simulation.RunUntil(simulation.now() + 0.25);
  const bool converged = simulation.HasConverged();
  const double converged_at_s = simulation.now();
  const double member_count = members;
  // Frames are encoded to count their bytes only after the processor time has been measured.
  const double processor_before_s = ProcessCpuSeconds();
  simulation.RunUntil(simulation.now() + seconds);
  const double processor_s = ProcessCpuSeconds() - processor_before_s;
  simulation.frame_size = FrameBytes;
  const Traffic traffic = MeasureTraffic(&simulation, seconds);
  const std::size_t memory = AllocatedMemory() - memory_before;
  const double fact_spread_s = MeasureFactSpread(&simulation);
  Point point;
  point.AddComputed("members", "member", members);
  point.AddComputed("one_view", "yes=1", converged ? 1 : 0);
  point.AddComputed("joined_after", "s", converged_at_s);
  point.AddComputed("datagrams_each", "datagram/s", traffic.datagrams.Mean());
  point.AddComputed("bytes_each", "B/s", traffic.bytes.Mean());
  point.AddComputed("datagrams_of_busiest", "datagram/s", traffic.datagrams.Quantile(1));
  point.AddComputed("bytes_of_busiest", "B/s", traffic.bytes.Quantile(1));
  point.AddComputed("fact_at_last", "s", fact_spread_s);
  point.AddMeasured("processor_each", "ns/s", 1e9 * processor_s / seconds / member_count);
  point.AddMeasured("memory_each", "KiB",
                    static_cast<double>(memory) / member_count / static_cast<double>(kKibibyte));
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
    result.trends.push_back(FitTrend(figure, result.points));
  }
  return result;
}

}  // namespace millethollow::scale
