// Axis `workers`: the cost of reading, holding and changing an endpoint list, and of a decision.
#include <stdexcept>

#include "net/discovery.h"
#include "scale/axes.h"
#include "scale/fixtures.h"
#include "scale/planner_fixture.h"
#include "scale/process.h"
#include "scale/statistics.h"

namespace millethollow::scale {
namespace {

constexpr int kMaxFullMeshDispatchers = 24;  // Larger tiers report to some peers only.
constexpr int kMaxReportedWorkers = 40;      // Per report.
constexpr double kJobIntervalS = 0.0005;
constexpr double kReportIntervalS = 0.5;
constexpr std::uint64_t kReportTimer = 1;
constexpr std::size_t kMaxListBytes = 4 * kMebibyte;  // Longer lists are rejected.

// Number of samples of each measurement.
struct SampleCounts {
  int decisions = 20000;
  int keyed_decisions = 500;
  int changes = 200;
  int reports = 50;
  int list_readings = 5;
};

SampleCounts MakeSampleCounts(const AxisOptions& options) {
  if (options.is_short) return {500, 50, 20, 5, 1};
  return {};
}

double InMebibytes(std::size_t bytes) {
  return static_cast<double>(bytes) / static_cast<double>(kMebibyte);
}

Samples MeasurePlannerDecisions(PlannerFixture* fixture, int count, bool keyed) {
  Samples samples;
  for (int i = 0; i < count; ++i) {
    const std::string key = keyed ? AppendNumber("key-", i) : "";
    const Stopwatch watch;
    const RequestId id = fixture->SubmitJob(keyed ? kKeyedClass : kPlainClass, key);
    samples.Add(watch.Nanoseconds());
    if (id == 0) throw std::runtime_error("no worker took a job in an idle fleet");
    fixture->CompleteJob(id);
    fixture->Advance(kJobIntervalS);
  }
  return samples;
}

Point MeasurePlanner(int workers, const SampleCounts& counts, std::uint64_t seed) {
  Point point;
  point.AddComputed("workers", "worker", workers);
  const std::size_t memory_before = ResidentMemory();
  PlannerFixture fixture(workers, seed);
  point.AddMeasured("rss_after_list", "MiB", InMebibytes(ResidentMemory()));
  point.AddMeasured("rss_of_list", "MiB", InMebibytes(ResidentMemory() - memory_before));
  MeasurePlannerDecisions(&fixture, counts.decisions / 10, false);  // Warm-up.
  AddQuantiles("planner_decision", MeasurePlannerDecisions(&fixture, counts.decisions, false),
               &point);
  AddQuantiles("planner_keyed_decision",
               MeasurePlannerDecisions(&fixture, counts.keyed_decisions, true), &point);
  Samples change_times;
  for (int i = 0; i < counts.changes; ++i) {
    const Stopwatch watch;
    fixture.ChangeWorkers(1);
    change_times.Add(watch.Nanoseconds());
  }
  AddQuantiles("planner_change", change_times, &point);
  point.AddMeasured("rss_after_work", "MiB", InMebibytes(ResidentMemory()));
  return point;
}

// One report, as the first peer receives it.
struct Report {
  std::vector<std::string> to_first_peer;  // One body per datagram.
  double next_report_after_s = 0;          // Interval until the next report.
};

// One decision module on a virtual clock, without the rest of the node.
class BalancerFixture {
 public:
  BalancerFixture(int workers, int dispatcher_index, std::uint64_t seed)
      : balancer_(MakeSettings(dispatcher_index), seed), endpoints_(MakeEndpoints(workers)) {
    Handle(balancing::DispatcherStarted{});
    Handle(balancing::EndpointsUpdated{balancing::EndpointListKind::kSnapshot, &endpoints_});
  }
  balancing::Actions Handle(const balancing::Event& event) {
    balancing::Actions actions;
    balancer_.Handle(now_, event, &actions);
    return actions;
  }
  void Advance(double seconds) { now_ += seconds; }
  // Submits one job, which stays at its worker, and returns its id.
  std::string SubmitJob() {
    std::string id = AppendNumber("j", next_job_++);
    balancing::RequestArrived job;
    job.id = id;
    job.expires_s = now_ + 30;
    job.tenant = next_job_ % 13;
    Handle(job);
    return id;
  }
  void EndJob(const std::string& id) {
    balancing::AttemptEnded end;
    end.id = id;
    end.terminal = true;
    end.latency_s = 0.01;
    Handle(end);
  }
  // Fires the report timer and returns the report.
  Report MakeReport() {
    Report report;
    for (const balancing::Action& action : Handle(balancing::TimerFired{kReportTimer})) {
      const auto* peer_message = std::get_if<balancing::SendPeerMessage>(&action);
      if (peer_message != nullptr && peer_message->recipient == 0)
        report.to_first_peer.push_back(peer_message->body);
      const auto* timer = std::get_if<balancing::SetTimer>(&action);
      if (timer != nullptr && timer->timer_id == kReportTimer)
        report.next_report_after_s = timer->after_s;
    }
    return report;
  }

 private:
  static balancing::Settings MakeSettings(int dispatcher_index) {
    balancing::Settings settings = MakeFleetSettings(kMaxFullMeshDispatchers, 13);
    settings.dispatcher_index = dispatcher_index;
    return settings;
  }
  balancing::LoadBalancer balancer_;
  std::vector<balancing::Endpoint> endpoints_;
  double now_ = 1000;
  int next_job_ = 0;
};

// A report of each peer, every one with jobs at as many workers as a report can name.
std::vector<Report> MakePeerReports(int workers, std::uint64_t seed) {
  std::vector<Report> reports;
  for (int peer = 1; peer < kMaxFullMeshDispatchers; ++peer) {
    BalancerFixture peer_fixture(workers, peer, seed + static_cast<std::uint64_t>(peer));
    for (int i = 0; i < kMaxReportedWorkers; ++i) peer_fixture.SubmitJob();
    peer_fixture.Advance(kReportIntervalS);
    reports.push_back(peer_fixture.MakeReport());
  }
  return reports;
}

Point MeasureBalancer(int workers, const SampleCounts& counts, std::uint64_t seed) {
  Point point;
  const std::vector<Report> peer_reports = MakePeerReports(workers, seed);
  BalancerFixture fixture(workers, 0, seed);
  Samples decision_times;
  for (int i = 0; i < counts.decisions; ++i) {
    const Stopwatch watch;
    const std::string id = fixture.SubmitJob();
    decision_times.Add(watch.Nanoseconds());
    fixture.EndJob(id);
    fixture.Advance(kJobIntervalS);
  }
  AddQuantiles("balancer_decision", decision_times, &point);
  Samples report_times, delivery_times, report_intervals_s;
  for (int i = 0; i < counts.reports; ++i) {
    for (std::size_t peer = 0; peer < peer_reports.size(); ++peer) {
      const Stopwatch watch;
      for (const std::string& body : peer_reports[peer].to_first_peer) {
        fixture.Handle(balancing::PeerMessage{static_cast<int>(peer) + 1, body});
      }
      delivery_times.Add(watch.Nanoseconds());
    }
    fixture.Advance(kReportIntervalS);
    const Stopwatch watch;
    const Report own_report = fixture.MakeReport();
    report_times.Add(watch.Nanoseconds());
    report_intervals_s.Add(own_report.next_report_after_s);
  }
  AddQuantiles("report_to_23_peers", report_times, &point);
  AddQuantiles("hear_one_of_23_peers", delivery_times, &point);
  // For each report made, one is received from each peer.
  const double processor_ns =
      report_times.Mean() + (kMaxFullMeshDispatchers - 1) * delivery_times.Mean();
  point.AddMeasured("reports_core_share", "core", processor_ns * 1e-9 / report_intervals_s.Mean());
  return point;
}

Point MeasureList(int workers, const SampleCounts& counts) {
  Point point;
  const std::string compact_list = ServerListText(workers, -1);
  const std::size_t indented_bytes = ServerListText(workers, 2).size();
  point.AddComputed("list_bytes", "B", static_cast<double>(compact_list.size()));
  point.AddComputed("list_bytes_indented", "B", static_cast<double>(indented_bytes));
  point.AddComputed("list_of_bound", "share",
                    static_cast<double>(compact_list.size()) / static_cast<double>(kMaxListBytes));
  point.AddComputed("list_indented_of_bound", "share",
                    static_cast<double>(indented_bytes) / static_cast<double>(kMaxListBytes));
  Samples read_times;
  for (int i = 0; i < counts.list_readings; ++i) {
    EndpointList list;
    std::string error;
    const Stopwatch watch;
    const bool read = ReadEndpointList(compact_list, ZoneNames(), KindNames(), &list, &error);
    read_times.Add(watch.Nanoseconds());
    if (!read || list.entries.size() != static_cast<std::size_t>(workers)) {
      throw std::runtime_error("cannot read the endpoint list: " + error);
    }
  }
  point.AddMeasured("list_read_p50", "ms", read_times.Quantile(0.5) / 1e6);
  return point;
}

}  // namespace

AxisResult RunWorkers(const AxisOptions& options) {
  AxisResult result = NewResult("workers");
  const std::vector<int> sizes = options.is_short ? std::vector<int>{100, 300, 1000, 3000}
                                                  : std::vector<int>{1000, 3000, 10000, 23000};
  const SampleCounts counts = MakeSampleCounts(options);
  for (const int workers : sizes) {
    AddPoint({[=] { return MeasurePlanner(workers, counts, options.seed); },
              [=] { return MeasureBalancer(workers, counts, options.seed); },
              [=] { return MeasureList(workers, counts); }},
             std::to_string(workers) + " workers", &result);
  }
  for (const char* figure :
       {"rss_of_list", "planner_decision_p50", "planner_keyed_decision_p50", "planner_change_p50",
        "balancer_decision_p50", "hear_one_of_23_peers_p50", "reports_core_share", "list_bytes",
        "list_read_p50"}) {
    result.trends.push_back(FitTrend(figure, result.points));
  }
  return result;
}

}  // namespace millethollow::scale
