// Tenants: the report that a dispatcher sends each peer, and what quotas of many tenants cost.
#include <cmath>
#include <variant>

#include "scale/axes.h"
#include "scale/fixtures.h"
#include "scale/statistics.h"

namespace millethollow::scale {
namespace {

using balancing::Action;
using balancing::Actions;
using balancing::LoadBalancer;

constexpr int kDispatchers = 3;
constexpr int kWorkers = 100;
constexpr int kLeastJobsPerRound = 80;  // enough that a report names as many workers as it may
constexpr int kPeer = 1;
constexpr double kRoundS = 0.5;  // longer than the time between two reports
constexpr std::uint64_t kReportTimer = 1;

struct Report {
  std::vector<std::string> bodies;  // to one peer
  double nanoseconds = 0;

  std::size_t Bytes() const {
    std::size_t sum = 0;
    for (const std::string& body : bodies) sum += body.size();
    return sum;
  }
  std::size_t Largest() const {
    std::size_t largest = 0;
    for (const std::string& body : bodies) largest = std::max(largest, body.size());
    return largest;
  }
};

bool Differs(double a, double b) { return std::abs(a - b) > 1e-9; }

// A dispatcher that reports, one that listens, and jobs for every bucket in between.
class Reporting {
 public:
  Reporting(int tenants, std::uint64_t seed)
      : tenants_(tenants),
        settings_(FleetSettings(kDispatchers, tenants)),
        teller_(settings_, seed),
        listener_(ListenerSettings(settings_), seed + 1) {
    const std::vector<balancing::Endpoint> members = Workers(kWorkers);
    for (LoadBalancer* balancer : {&teller_, &listener_}) {
      Handle(balancer, balancing::DispatcherStarted{});
      Handle(balancer,
             balancing::EndpointsUpdated{balancing::EndpointListKind::kSnapshot, &members});
    }
  }

  // Lets one job after the other arrive, each in the next bucket; they stay at their workers.
  void TakeJobs(Samples* decisions) {
    const int jobs = std::max(kLeastJobsPerRound, tenants_ * kClasses);
    for (int i = 0; i < jobs; ++i) {
      open_.push_back(Numbered("j", next_job_++));
      balancing::RequestArrived job;
      job.id = open_.back();
      job.expires_s = now_ + 30;
      job.tenant = i % tenants_;
      job.class_index = i / tenants_ % kClasses;
      const Stopwatch watch;
      Handle(&teller_, job);
      decisions->Add(watch.Nanoseconds());
    }
  }
  void EndJobs() {
    for (const std::string& id : open_) {
      balancing::AttemptEnded end;
      end.id = id;
      end.terminal = true;
      end.latency_s = 0.05;
      Handle(&teller_, end);
    }
    open_.clear();
  }
  Report MakeReport() {
    now_ += kRoundS;
    Report report;
    const Stopwatch watch;
    const Actions actions = Handle(&teller_, balancing::TimerFired{kReportTimer});
    report.nanoseconds = watch.Nanoseconds();
    for (const Action& action : actions) {
      const auto* tell = std::get_if<balancing::SendPeerMessage>(&action);
      if (tell != nullptr && tell->recipient == kPeer) report.bodies.push_back(tell->body);
    }
    return report;
  }
  // The listener's own round, with one job of its own, so that its demand is known to be small.
  void ListenerReports() {
    balancing::RequestArrived job;
    const std::string id = Numbered("own", next_job_++);
    job.id = id;
    job.expires_s = now_ + 30;
    Handle(&listener_, job);
    balancing::AttemptEnded end;
    end.id = id;
    end.terminal = true;
    Handle(&listener_, end);
    Handle(&listener_, balancing::TimerFired{kReportTimer});
  }
  // Delivers what a node's process would deliver. Time for the whole report.
  double Hear(const Report& report) {
    const Stopwatch watch;
    for (const std::string& body : report.bodies) {
      if (body.size() <= kMaxPeerMessageBytes) Handle(&listener_, balancing::PeerMessage{0, body});
    }
    return watch.Nanoseconds();
  }
  // As if a datagram could hold any message: does the listener take the report then?
  bool TakesAnyLength(const Report& report) {
    const double before = ListenerDemandPart();
    for (const std::string& body : report.bodies) {
      Handle(&listener_, balancing::PeerMessage{0, body});
    }
    return Differs(before, ListenerDemandPart());
  }
  double ListenerDemandPart() const { return listener_.DemandShare(); }

 private:
  static balancing::Settings ListenerSettings(balancing::Settings settings) {
    settings.dispatcher_index = kPeer;
    return settings;
  }
  Actions Handle(LoadBalancer* balancer, const balancing::Event& event) {
    Actions actions;
    balancer->Handle(now_, event, &actions);
    return actions;
  }

  int tenants_;
  balancing::Settings settings_;
  LoadBalancer teller_, listener_;
  double now_ = 1000;
  int next_job_ = 0;
  std::vector<std::string> open_;
};

Point MeasureTenants(int tenants, int rounds, std::uint64_t seed) {
  Reporting world(tenants, seed);
  Samples decisions, reports, hearings;
  Report loaded;
  bool received = false;
  for (int round = 0; round < rounds; ++round) {
    world.TakeJobs(&decisions);
    loaded = world.MakeReport();
    world.EndJobs();
    reports.Add(loaded.nanoseconds);
    world.ListenerReports();
    const double before = world.ListenerDemandPart();
    hearings.Add(world.Hear(loaded));
    // One that hears of a peer's demand no longer takes all peers for such as itself.
    received = received || Differs(world.ListenerDemandPart(), before);
  }
  const bool taken = received || world.TakesAnyLength(loaded);
  const Report quiet = world.MakeReport();
  const auto fits = [](const Report& report) { return report.Largest() <= kMaxPeerMessageBytes; };
  Point point;
  point.Computed("tenants", "tenant", tenants);
  point.Computed("report_bytes", "B", static_cast<double>(loaded.Bytes()));
  point.Computed("report_bytes_quiet", "B", static_cast<double>(quiet.Bytes()));
  point.Computed("report_datagrams", "datagram", static_cast<double>(loaded.bodies.size()));
  point.Computed("largest_datagram", "B", static_cast<double>(loaded.Largest()));
  point.Computed("fits", "yes=1", fits(loaded) ? 1 : 0);
  point.Computed("fits_quiet", "yes=1", fits(quiet) ? 1 : 0);
  point.Computed("heard_by_peer", "yes=1", received ? 1 : 0);
  point.Computed("taken_if_delivered", "yes=1", taken ? 1 : 0);
  AddQuantiles("report", reports, &point);
  AddQuantiles("hear", hearings, &point);
  AddQuantiles("decision", decisions, &point);
  return point;
}

}  // namespace

AxisResult RunTenants(const AxisOptions& options) {
  AxisResult result = NewResult("tenants");
  const std::vector<int> sizes = options.is_short ? std::vector<int>{2, 13, 52, 130}
                                                  : std::vector<int>{2, 13, 26, 52, 65, 130, 260};
  const int rounds = options.is_short ? 20 : 200;
  for (const int tenants : sizes) {
    AddPoint({[=] { return MeasureTenants(tenants, rounds, options.seed); }},
             std::to_string(tenants) + " tenants", &result);
  }
  for (const char* figure : {"report_bytes", "report_bytes_quiet", "report_p50", "decision_p50"}) {
    result.trends.push_back(TrendOf(figure, result.points));
  }
  return result;
}

}  // namespace millethollow::scale
