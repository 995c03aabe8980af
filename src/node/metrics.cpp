#include "node/metrics.h"

#include <cmath>
#include <ostream>
#include <sstream>
#include <string_view>
#include <utility>

namespace millethollow {
namespace {

template <typename T>
void Counter(const std::string& name, const T& value, std::ostream* out) {
  *out << name << ':' << value << "|c\n";
}

template <typename T>
void Gauge(const std::string& name, const T& value, std::ostream* out) {
  *out << name << ':' << value << "|g\n";
}

void PrintClasses(const Counters& counters, std::ostream* out) {
  for (const auto& [name, c] : counters.classes) {
    if (name.empty()) continue;
    const std::string prefix = "app.downstream_requests." + name + ".";
    Counter(prefix + "completed", c.completed, out);
    Counter(prefix + "rejected", c.rejected, out);
    Counter(prefix + "failed", c.failed, out);
  }
}

void PrintPlanner(const Planner& planner, std::ostream* out) {
  const WorkerRegistry::Counts workers = planner.CountWorkers();
  Gauge("app.pending", planner.pending(), out);
  Gauge("app.members", workers.listed, out);
  Gauge("app.members_unavailable", workers.unavailable, out);
}

// `rejected`: messages that the balancer could not use.
void PrintPeers(const Counters& counters, std::uint64_t rejected, std::ostream* out) {
  const PeerCounters& p = counters.peers;
  const std::string prefix = "app.peers.";
  Counter(prefix + "messages_in", counters.peer_messages_in, out);
  Counter(prefix + "messages_out", p.messages_out, out);
  Counter(prefix + "bytes_out", p.bytes_out, out);
  Counter(prefix + "dropped.too_long", p.too_long, out);
  Counter(prefix + "dropped.no_address", p.no_address, out);
  Counter(prefix + "dropped.not_sent", p.not_sent, out);
  Counter(prefix + "dropped.unreadable", p.unreadable, out);
  Counter(prefix + "dropped.strangers", p.strangers, out);
  Counter(prefix + "dropped.refused", rejected, out);
}

void PrintScheduling(const Planner& planner, std::ostream* out) {
  const scheduling::Scheduler& scheduler = planner.balancer().scheduler();
  const scheduling::SchedulerStats stats = scheduler.stats();
  const std::string prefix = "app.scheduling.";
  Gauge(prefix + "waiting", stats.waiting, out);
  Gauge(prefix + "reservations", stats.reservations, out);
  Gauge(prefix + "held_slots", stats.reserved_slots, out);
  Counter(prefix + "waited", stats.waited, out);
  Counter(prefix + "backfilled", stats.backfilled, out);
  Counter(prefix + "broken_off", stats.broken_reservations, out);
  Counter(prefix + "turned_away", stats.rejected, out);
  for (const auto& [cls, count] : scheduler.QueuedByClass()) {
    Gauge(prefix + planner.class_name(cls) + ".waiting", count, out);
  }
  for (const auto& [cls, waits] : scheduler.wait_times()) {
    if (!waits.known()) continue;
    for (const auto& [name, p] : {std::pair{"p50", 0.5}, {"p95", 0.95}}) {
      Gauge(prefix + planner.class_name(cls) + ".wait_ms_" + name, std::lround(1000 * waits.At(p)),
            out);
    }
  }
}

}  // namespace

std::string MetricsText(const MetricsSources& sources) {
  const Counters& counters = sources.counters;
  std::ostringstream out;
  PrintClasses(counters, &out);
  Counter("app.upstream_requests", counters.written, &out);
  if (sources.planner != nullptr) {
    const scheduling::SchedulingBalancer& balancer = sources.planner->balancer();
    PrintPlanner(*sources.planner, &out);
    PrintPeers(counters, balancer.RejectedPeerMessages(), &out);
    if (balancer.on()) PrintScheduling(*sources.planner, &out);
  }
  if (sources.member != nullptr) out << sources.member->Metrics();
  if (sources.durable_jobs != nullptr) out << sources.durable_jobs->Metrics();
  Counter("app.config_reloads", counters.reloads, &out);
  Counter("app.config_reload_errors", counters.reload_errors, &out);
  return out.str();
}

std::string CountersText(const Counters& c) {
  std::ostringstream out;
  out << "taken=" << c.received << " sent=" << c.sent << " served=" << c.completed
      << " refused=" << c.rejected << " failed=" << c.failed << " gone=" << c.cancelled
      << " probes=" << c.probes << " blocked=" << c.blocked << " bad_input=" << c.bad_input
      << " peers_in=" << c.peer_messages_in << " peers_out=" << c.peer_messages_out
      << " lists=" << c.endpoint_lists << " reloads=" << c.reloads;
  return out.str();
}

}  // namespace millethollow
