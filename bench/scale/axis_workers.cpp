// Workers: what a list costs to read and to hold, a change of it, and a decision by it.
#include <stdexcept>

#include "net/discovery.h"
#include "scale/axes.h"
#include "scale/fixtures.h"
#include "scale/planner_fixture.h"
#include "scale/process.h"
#include "scale/statistics.h"

namespace millethollow::scale {
namespace {

constexpr int kDirectTier = 24;       // the largest tier whose dispatchers all hear each other
constexpr int kReportedWorkers = 40;  // workers that a report names at most
constexpr double kJobGapS = 0.0005;
constexpr double kReportGapS = 0.5;
constexpr std::uint64_t kReportTimer = 1;
constexpr std::size_t kMaxListBytes = 4 * kMebibyte;  // a longer list is not read

struct Effort {
  int decisions = 20000;
  int keyed_decisions = 500;
  int changes = 200;
  int reports = 50;
  int list_readings = 5;
};

Effort EffortOf(const AxisOptions& options) {
  if (options.is_short) return {500, 50, 20, 5, 1};
  return {};
}

double InMebibytes(std::size_t bytes) {
  return static_cast<double>(bytes) / static_cast<double>(kMebibyte);
}

Samples PlannerDecisions(PlannerFixture* fixture, int count, bool keyed) {
  Samples samples;
  for (int i = 0; i < count; ++i) {
    const std::string key = keyed ? Numbered("key-", i) : "";
    const Stopwatch watch;
    const RequestId id = fixture->Take(keyed ? kKeyedClass : kPlainClass, key);
    samples.Add(watch.Nanoseconds());
    if (id == 0) throw std::runtime_error("a job found no worker in an empty fleet");
    fixture->Serve(id);
    fixture->Advance(kJobGapS);
  }
  return samples;
}

Point MeasurePlanner(int workers, const Effort& effort, std::uint64_t seed) {
  Point point;
  point.Computed("workers", "worker", workers);
  const std::size_t before = ResidentMemory();
  PlannerFixture fixture(workers, seed);
  point.Measured("rss_after_list", "MiB", InMebibytes(ResidentMemory()));
  point.Measured("rss_of_list", "MiB", InMebibytes(ResidentMemory() - before));
  PlannerDecisions(&fixture, effort.decisions / 10, false);  // until caches and maps are warm
  AddQuantiles("planner_decision", PlannerDecisions(&fixture, effort.decisions, false), &point);
  AddQuantiles("planner_keyed_decision", PlannerDecisions(&fixture, effort.keyed_decisions, true),
               &point);
  Samples changes;
  for (int i = 0; i < effort.changes; ++i) {
    const Stopwatch watch;
    fixture.ChangeWorkers(1);
    changes.Add(watch.Nanoseconds());
  }
  AddQuantiles("planner_change", changes, &point);
  point.Measured("rss_after_work", "MiB", InMebibytes(ResidentMemory()));
  return point;
}

struct Report {
  std::vector<std::string> to_first_peer;  // datagrams
  double next_after_s = 0;
};

// One decision module by itself.
class BalancerFixture {
 public:
  BalancerFixture(int workers, int dispatcher_index, std::uint64_t seed)
      : balancer_(SettingsOf(dispatcher_index), seed), members_(Workers(workers)) {
    Handle(balancing::DispatcherStarted{});
    Handle(balancing::EndpointsUpdated{balancing::EndpointListKind::kSnapshot, &members_});
  }
  balancing::Actions Handle(const balancing::Event& event) {
    balancing::Actions actions;
    balancer_.Handle(now_, event, &actions);
    return actions;
  }
  void Advance(double seconds) { now_ += seconds; }
  std::string Take() {
    std::string id = Numbered("j", next_job_++);
    balancing::RequestArrived job;
    job.id = id;
    job.expires_s = now_ + 30;
    job.tenant = next_job_ % 13;
    Handle(job);
    return id;
  }
  void End(const std::string& id) {
    balancing::AttemptEnded end;
    end.id = id;
    end.terminal = true;
    end.latency_s = 0.01;
    Handle(end);
  }
  Report MakeReport() {
    Report report;
    for (const balancing::Action& action : Handle(balancing::TimerFired{kReportTimer})) {
      const auto* tell = std::get_if<balancing::SendPeerMessage>(&action);
      if (tell != nullptr && tell->recipient == 0) report.to_first_peer.push_back(tell->body);
      const auto* timer = std::get_if<balancing::SetTimer>(&action);
      if (timer != nullptr && timer->timer_id == kReportTimer) report.next_after_s = timer->after_s;
    }
    return report;
  }

 private:
  static balancing::Settings SettingsOf(int dispatcher_index) {
    balancing::Settings settings = FleetSettings(kDirectTier, 13);
    settings.dispatcher_index = dispatcher_index;
    return settings;
  }
  balancing::LoadBalancer balancer_;
  std::vector<balancing::Endpoint> members_;
  double now_ = 1000;
  int next_job_ = 0;
};

// What each of the peers says that has jobs at as many workers as a report names.
std::vector<Report> ReportsOfPeers(int workers, std::uint64_t seed) {
  std::vector<Report> reports;
  for (int peer = 1; peer < kDirectTier; ++peer) {
    BalancerFixture other(workers, peer, seed + static_cast<std::uint64_t>(peer));
    for (int i = 0; i < kReportedWorkers; ++i) other.Take();
    other.Advance(kReportGapS);
    reports.push_back(other.MakeReport());
  }
  return reports;
}

Point MeasureBalancer(int workers, const Effort& effort, std::uint64_t seed) {
  Point point;
  const std::vector<Report> peer_reports = ReportsOfPeers(workers, seed);
  BalancerFixture fixture(workers, 0, seed);
  Samples decisions;
  for (int i = 0; i < effort.decisions; ++i) {
    const Stopwatch watch;
    const std::string id = fixture.Take();
    decisions.Add(watch.Nanoseconds());
    fixture.End(id);
    fixture.Advance(kJobGapS);
  }
  AddQuantiles("balancer_decision", decisions, &point);
  Samples reports, hearings, gaps;
  for (int i = 0; i < effort.reports; ++i) {
    for (std::size_t peer = 0; peer < peer_reports.size(); ++peer) {
      const Stopwatch watch;
      for (const std::string& body : peer_reports[peer].to_first_peer) {
        fixture.Handle(balancing::PeerMessage{static_cast<int>(peer) + 1, body});
      }
      hearings.Add(watch.Nanoseconds());
    }
    fixture.Advance(kReportGapS);
    const Stopwatch watch;
    const Report own = fixture.MakeReport();
    reports.Add(watch.Nanoseconds());
    gaps.Add(own.next_after_s);
  }
  AddQuantiles("report_to_23_peers", reports, &point);
  AddQuantiles("hear_one_of_23_peers", hearings, &point);
  // Each report goes with one from each of the peers.
  const double busy_ns = reports.Mean() + (kDirectTier - 1) * hearings.Mean();
  point.Measured("reports_core_share", "core", busy_ns * 1e-9 / gaps.Mean());
  return point;
}

Point MeasureList(int workers, const Effort& effort) {
  Point point;
  const std::string plain = ServerListText(workers, -1);
  const std::size_t indented_bytes = ServerListText(workers, 2).size();
  point.Computed("list_bytes", "B", static_cast<double>(plain.size()));
  point.Computed("list_bytes_indented", "B", static_cast<double>(indented_bytes));
  point.Computed("list_of_bound", "share",
                 static_cast<double>(plain.size()) / static_cast<double>(kMaxListBytes));
  point.Computed("list_indented_of_bound", "share",
                 static_cast<double>(indented_bytes) / static_cast<double>(kMaxListBytes));
  Samples readings;
  for (int i = 0; i < effort.list_readings; ++i) {
    EndpointList list;
    std::string error;
    const Stopwatch watch;
    const bool read = ReadEndpointList(plain, ZoneNames(), KindNames(), &list, &error);
    readings.Add(watch.Nanoseconds());
    if (!read || list.entries.size() != static_cast<std::size_t>(workers)) {
      throw std::runtime_error("the list can't be read: " + error);
    }
  }
  point.Measured("list_read_p50", "ms", readings.Quantile(0.5) / 1e6);
  return point;
}

}  // namespace

AxisResult RunWorkers(const AxisOptions& options) {
  AxisResult result = NewResult("workers");
  const std::vector<int> sizes = options.is_short ? std::vector<int>{100, 300, 1000, 3000}
                                                  : std::vector<int>{1000, 3000, 10000, 23000};
  const Effort effort = EffortOf(options);
  for (const int workers : sizes) {
    AddPoint({[=] { return MeasurePlanner(workers, effort, options.seed); },
              [=] { return MeasureBalancer(workers, effort, options.seed); },
              [=] { return MeasureList(workers, effort); }},
             std::to_string(workers) + " workers", &result);
  }
  for (const char* figure :
       {"rss_of_list", "planner_decision_p50", "planner_keyed_decision_p50", "planner_change_p50",
        "balancer_decision_p50", "hear_one_of_23_peers_p50", "reports_core_share", "list_bytes",
        "list_read_p50"}) {
    result.trends.push_back(TrendOf(figure, result.points));
  }
  return result;
}

}  // namespace millethollow::scale
