// Axis `tenants`: the report that a dispatcher sends to each peer, and the cost of many tenants.
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
constexpr int kMinJobsPerRound = 80;  // Fills a report's list of workers.
constexpr int kReceiver = 1;
constexpr double kRoundS = 0.5;  // Longer than the interval between two reports.
constexpr std::uint64_t kReportTimer = 1;

// The messages of one report.
struct Report {
  std::vector<std::string> bodies;  // To one peer.
  double nanoseconds = 0;

  std::size_t TotalBytes() const {
    std::size_t sum = 0;
    for (const std::string& body : bodies) sum += body.size();
    return sum;
  }
  std::size_t LargestBodyBytes() const {
    std::size_t largest = 0;
    for (const std::string& body : bodies) largest = std::max(largest, body.size());
    return largest;
  }
};

bool Differs(double a, double b) { return std::abs(a - b) > 1e-9; }

// A dispatcher that reports and one that receives its reports. Jobs cover every combination of
// tenant and class.
class ReportingPair {
 public:
  ReportingPair(int tenants, std::uint64_t seed)
      : tenants_(tenants),
        settings_(MakeFleetSettings(kDispatchers, tenants)),
        reporter_(settings_, seed),
        receiver_(ReceiverSettings(settings_), seed + 1) {
    const std::vector<balancing::Endpoint> endpoints = MakeEndpoints(kWorkers);
    for (LoadBalancer* balancer : {&reporter_, &receiver_}) {
      Handle(balancer, balancing::DispatcherStarted{});
      Handle(balancer,
             balancing::EndpointsUpdated{balancing::EndpointListKind::kSnapshot, &endpoints});
    }
  }

  // Submits jobs of each tenant and class in turn; they stay at their workers until EndJobs.
  void SubmitJobs(Samples* decision_times) {
    const int jobs = std::max(kMinJobsPerRound, tenants_ * kClassCount);
    for (int i = 0; i < jobs; ++i) {
      open_jobs_.push_back(AppendNumber("j", next_job_++));
      balancing::RequestArrived job;
      job.id = open_jobs_.back();
      job.expires_s = now_ + 30;
      job.tenant = i % tenants_;
      job.class_index = i / tenants_ % kClassCount;
      const Stopwatch watch;
      Handle(&reporter_, job);
      decision_times->Add(watch.Nanoseconds());
    }
  }
  // Ends all open jobs.
  void EndJobs() {
    for (const std::string& id : open_jobs_) {
      balancing::AttemptEnded end;
      end.id = id;
      end.terminal = true;
      end.latency_s = 0.05;
      Handle(&reporter_, end);
    }
    open_jobs_.clear();
  }
  // Advances the clock by kRoundS and makes the reporter's report.
  Report MakeReport() {
    now_ += kRoundS;
    Report report;
    const Stopwatch watch;
    const Actions actions = Handle(&reporter_, balancing::TimerFired{kReportTimer});
    report.nanoseconds = watch.Nanoseconds();
    for (const Action& action : actions) {
      const auto* peer_message = std::get_if<balancing::SendPeerMessage>(&action);
      if (peer_message != nullptr && peer_message->recipient == kReceiver)
        report.bodies.push_back(peer_message->body);
    }
    return report;
  }
  // Makes the receiver's own report after a single job, so that its demand is known to be small.
  void MakeReceiverReport() {
    balancing::RequestArrived job;
    const std::string id = AppendNumber("own", next_job_++);
    job.id = id;
    job.expires_s = now_ + 30;
    Handle(&receiver_, job);
    balancing::AttemptEnded end;
    end.id = id;
    end.terminal = true;
    Handle(&receiver_, end);
    Handle(&receiver_, balancing::TimerFired{kReportTimer});
  }
  // Delivers the messages that fit a datagram. Returns the nanoseconds for the whole report.
  double DeliverReport(const Report& report) {
    const Stopwatch watch;
    for (const std::string& body : report.bodies) {
      if (body.size() <= kMaxPeerMessageBytes) Handle(&receiver_, balancing::PeerMessage{0, body});
    }
    return watch.Nanoseconds();
  }
  // Whether the receiver accepts the report when messages of any length are delivered.
  bool AcceptsUnboundedReport(const Report& report) {
    const double share_before = ReceiverDemandShare();
    for (const std::string& body : report.bodies) {
      Handle(&receiver_, balancing::PeerMessage{0, body});
    }
    return Differs(share_before, ReceiverDemandShare());
  }
  // The receiver's own share of all demand, as it knows it.
  double ReceiverDemandShare() const { return receiver_.DemandShare(); }

 private:
  static balancing::Settings ReceiverSettings(balancing::Settings settings) {
    settings.dispatcher_index = kReceiver;
    return settings;
  }
  Actions Handle(LoadBalancer* balancer, const balancing::Event& event) {
    Actions actions;
    balancer->Handle(now_, event, &actions);
    return actions;
  }

  int tenants_;
  balancing::Settings settings_;
  LoadBalancer reporter_, receiver_;
  double now_ = 1000;
  int next_job_ = 0;
  std::vector<std::string> open_jobs_;
};

Point MeasureTenants(int tenants, int rounds, std::uint64_t seed) {
  ReportingPair pair(tenants, seed);
  Samples decision_times, report_times, delivery_times;
  Report loaded;
  bool received = false;
  for (int round = 0; round < rounds; ++round) {
    pair.SubmitJobs(&decision_times);
    loaded = pair.MakeReport();
    pair.EndJobs();
    report_times.Add(loaded.nanoseconds);
    pair.MakeReceiverReport();
    const double share_before = pair.ReceiverDemandShare();
    delivery_times.Add(pair.DeliverReport(loaded));
    // Without a report a dispatcher assumes that each peer's demand equals its own, so its share of
    // all demand changes with the first report that it accepts.
    received = received || Differs(pair.ReceiverDemandShare(), share_before);
  }
  const bool accepted = received || pair.AcceptsUnboundedReport(loaded);
  const Report quiet = pair.MakeReport();
  const auto fits_datagram = [](const Report& report) {
    return report.LargestBodyBytes() <= kMaxPeerMessageBytes;
  };
  Point point;
  point.AddComputed("tenants", "tenant", tenants);
  point.AddComputed("report_bytes", "B", static_cast<double>(loaded.TotalBytes()));
  point.AddComputed("report_bytes_quiet", "B", static_cast<double>(quiet.TotalBytes()));
  point.AddComputed("report_datagrams", "datagram", static_cast<double>(loaded.bodies.size()));
  point.AddComputed("largest_datagram", "B", static_cast<double>(loaded.LargestBodyBytes()));
  point.AddComputed("fits", "yes=1", fits_datagram(loaded) ? 1 : 0);
  point.AddComputed("fits_quiet", "yes=1", fits_datagram(quiet) ? 1 : 0);
  point.AddComputed("heard_by_peer", "yes=1", received ? 1 : 0);
  point.AddComputed("taken_if_delivered", "yes=1", accepted ? 1 : 0);
  AddQuantiles("report", report_times, &point);
  AddQuantiles("hear", delivery_times, &point);
  AddQuantiles("decision", decision_times, &point);
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
    result.trends.push_back(FitTrend(figure, result.points));
  }
  return result;
}

}  // namespace millethollow::scale
