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
  for (const auto& [name, class_counters] : counters.classes) {
    if (name.empty()) continue;
    const std::string prefix = "app.downstream_requests." + name + ".";
    Counter(prefix + "completed", class_counters.completed, out);
    Counter(prefix + "rejected", class_counters.rejected, out);
    Counter(prefix + "failed", class_counters.failed, out);
  }
}

void PrintPlanner(const Planner& planner, std::ostream* out) {
  const WorkerRegistry::Counts workers = planner.CountWorkers();
  Gauge("app.pending", planner.pending(), out);
  Gauge("app.members", workers.listed, out);
  Gauge("app.members_unavailable", workers.unavailable, out);
}

// `rejected`: messages that the balancer has rejected.
void PrintPeers(const Counters& counters, std::uint64_t rejected, std::ostream* out) {
  const PeerCounters& peers = counters.peers;
  const std::string prefix = "app.peers.";
  Counter(prefix + "messages_in", counters.peer_messages_in, out);
  Counter(prefix + "messages_out", peers.messages_out, out);
  Counter(prefix + "bytes_out", peers.bytes_out, out);
  Counter(prefix + "dropped.too_long", peers.too_long, out);
  Counter(prefix + "dropped.no_address", peers.no_address, out);
  Counter(prefix + "dropped.not_sent", peers.not_sent, out);
  Counter(prefix + "dropped.unreadable", peers.unreadable, out);
  Counter(prefix + "dropped.strangers", peers.unknown_senders, out);
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
  Counter(prefix + "broken_off", stats.cancelled_reservations, out);
  Counter(prefix + "turned_away", stats.rejected, out);
  for (const auto& [class_index, queued_jobs] : scheduler.QueuedByClass()) {
    Gauge(prefix + planner.class_name(class_index) + ".waiting", queued_jobs, out);
  }
  for (const auto& [class_index, wait_times] : scheduler.wait_times()) {
    if (!wait_times.known()) continue;
    for (const auto& [suffix, quantile] : {std::pair{"p50", 0.5}, {"p95", 0.95}}) {
      Gauge(prefix + planner.class_name(class_index) + ".wait_ms_" + suffix,
            std::lround(1000 * wait_times.At(quantile)), out);
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

std::string CountersText(const Counters& counters) {
  std::ostringstream out;
  out << "taken=" << counters.received << " sent=" << counters.sent
      << " served=" << counters.completed << " refused=" << counters.rejected
      << " failed=" << counters.failed << " gone=" << counters.cancelled
      << " probes=" << counters.probes << " blocked=" << counters.blocked
      << " bad_input=" << counters.bad_input << " peers_in=" << counters.peer_messages_in
      << " peers_out=" << counters.peer_messages_out << " lists=" << counters.endpoint_lists
      << " reloads=" << counters.reloads;
  return out.str();
}

}  // namespace millethollow
