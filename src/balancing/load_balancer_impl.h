// The coordinator of the decision module: it handles events and owns the parts that decide. Its
// member functions are defined in one file for each concern.
#ifndef MILLETHOLLOW_BALANCING_LOAD_BALANCER_IMPL_H_
#define MILLETHOLLOW_BALANCING_LOAD_BALANCER_IMPL_H_

#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancing/admission_controller.h"
#include "balancing/agreed_share.h"
#include "balancing/constants.h"
#include "balancing/fleet_rate_limiter.h"
#include "balancing/hedge_budget.h"
#include "balancing/load_estimates.h"
#include "balancing/peer_usage.h"
#include "balancing/request.h"
#include "balancing/support.h"
#include "balancing/worker.h"
#include "balancing/worker_table.h"
#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {

// The expected course of a request at a worker.
struct Forecast {
  double time_s = 0;         // seconds until it ends
  bool no_capacity = false;  // it would be queued
};

// Implements LoadBalancer, which documents its public functions. Times are seconds on the caller's
// clock.
class LoadBalancerImpl {
 public:
  LoadBalancerImpl(Settings settings, std::uint64_t seed);

  void Handle(double now_s, const Event& event, Actions* actions) {
    now_ = std::max(now_s, now_);
    actions_ = actions;
    std::visit([this](const auto& typed_event) { On(typed_event); }, event);
  }

  bool Excludes(std::string_view name) const {
    const int worker_index = workers_.Find(name);
    return worker_index < 0 || !workers_[worker_index].ready || workers_[worker_index].ejected;
  }

  void SetCapacityReservations(CapacityReservations* reservations) { reservations_ = reservations; }
  std::uint64_t version() const { return version_; }
  std::uint64_t rejected_messages() const { return rejected_messages_; }
  std::vector<WorkerView> WorkerViews() const;
  double DemandShare() const;
  void SetFleetShare(const FleetShare& share);

 private:
  friend struct StateTransfer;  // transfers learned state in a hot restart

  // Admission control (admission.cpp).
  void On(const RequestArrived& event);
  void Reject(const Request& request);

  // Usage exchange (usage_exchange.cpp).
  UsageReport MakeReport(bool reply_requested, bool to_sibling) const;
  void SendReport(const std::vector<int>& recipients, bool reply_requested,
                  std::vector<UsageReport::Usage> usage);
  void NotifySibling();
  void OnPeerUsage(int sender, const UsageReport& report);
  std::vector<UsageReport::Usage> MeasureDemand(double sample_s);
  void MeasureSignals(double sample_s);  // of signals and probes, see RowLayout
  void UpdateTierMeans(double sample_s);
  std::vector<int> ReportRecipients();
  void PublishUsage();
  void On(const PeerMessage& event);
  // Identifies the worker in usage reports.
  static std::uint16_t Tag(const Worker& worker) { return static_cast<std::uint16_t>(worker.hash); }
  void UpdatePeerSlots() {
    peers_.SumSlotsInFlight(workers_.all(), now_ - kPeerTimeoutReports * report_interval_s_);
    ++version_;
  }
  void On(const SiblingProcess& event);

  // Fleet rate (admission.cpp, fleet_rate_limiter.h).
  void UpdateFleetRate(double sample_s);
  void LimitTenant(int tenant, double admit_share);
  std::vector<double> TierRates();  // rates of all dispatchers, as RowLayout orders them
  // Attempts per second that a worker past its slow start carries; `own_rps` by this dispatcher's
  // own count.
  double WorkerRate(double own_rps);
  const ClassSettings& ClassSettingsOf(int class_index) const {
    return settings_.classes[ToIndex(class_index)];
  }

  // Indices of the shared estimates in the row of rates of a large tier.
  std::size_t ProbeIndex() const { return layout_.ProbeIndex(); }
  std::size_t SharedEstimateIndex(int class_index, int kind) const {
    return kind < 0 ? layout_.ClassIndex(ToIndex(class_index)) : layout_.KindIndex(ToIndex(kind));
  }
  // The share of probed workers that have capacity, over the whole tier; `fallback` if not known.
  double ProbedFreeShare(double fallback) const {
    const double probed = full_mesh_ ? 0.0 : tier_mean_rates_[ProbeIndex()];
    return probed > 0 ? tier_mean_rates_[ProbeIndex() + 1] / probed : fallback;
  }
  void MergeSharedEstimates(const UsageReport& report);

  // Placement (placement.cpp, forecast.cpp) and probing (probing.cpp).
  const std::vector<int>& EligibleWorkers(int kind, int zone) const {
    return workers_.EligibleWorkers(kind, zone);
  }
  void RebuildPools();
  double ExpectedRunTime(const Request& request) const {
    return estimates_.RunTime(request, ClassSettingsOf(request.class_index));
  }
  double SlowdownOf(const Worker& worker) const { return estimates_.Slowdown(worker, now_); }
  double LatencyObjectiveOf(const Request& request) const;
  double SlotsOf(const Worker& worker) const { return estimates_.Slots(worker); }
  bool IsCandidate(const Request& request, int worker_index, int scope_worker) const;
  Forecast ForecastFor(const Request& request, const Worker& worker) const;
  double Score(const Request& request, const Worker& worker, int preferred_rank) const;
  double KeyAffinityWeight() const;
  int SampleWorker(const std::vector<int>& from);
  double ThroughputOf(const Worker& worker) const;
  void UpdateThroughputs();
  int ProbeCount(const Request& request);
  bool ProbeCandidates(Request& request);
  int PickWorker(const Request& request, int scope_worker);
  const std::vector<int>& PreferredWorkers(std::uint64_t key, int kind);

  // Slow start (slow_start.cpp) and outlier detection (outlier_detection.cpp).
  bool InSlowStart(const Worker& worker) const;
  double SlowStartShare(const Worker& worker) const;
  bool SlowStartHasCapacity(const Worker& worker) const;
  double SlowStartTokens(const Worker& worker) const;
  double SlowStartCost(const Request& request) const;
  void DrawSlowStartWorker(Request& request);
  void Eject(int worker_index);
  void EndEjections();
  void OnLoadReport(Worker& worker, const double (&report)[4]);
  double StartWaitOf(const Worker& worker) const { return estimates_.StartWait(worker, now_); }
  void ShareRunSample(const Request& request, const Worker& worker, const RunSample& sample);
  void OnNoCapacity(Request& request, Attempt& attempt, bool full, bool late);

  // Attempts (attempts.cpp) and overdue attempts (overdue_attempts.cpp).
  bool PlaceRequest(Request& request);
  void CheckAt(double due_at, const std::string& id, int attempt_index);
  struct RetryScope {
    bool permitted = true;
    // A worker in whose deduplication scope the attempt has to stay; -1: any.
    int scope_worker = -1;
  };
  RetryScope RetryScopeOf(const Request& request) const;
  bool FindCapacity(Request& request);
  void StartAttempt(Request& request, int worker_index, const Forecast& forecast);
  double OverdueAfter(const Request& request) const;
  void LearnFromOutcome(Request& request, Attempt& attempt, AttemptStatus status);
  void OnAttemptSucceeded(Request& request, const Attempt& attempt);
  void OnStartOverdue(Request& request, Attempt& attempt, double age_s);
  bool MayShed(const Request& request, const Attempt& attempt, double age_s) const;
  void HedgeOrCancel(Request& request, int attempt_index, bool lost);
  bool WaitForCapacity(Request& request);
  void On(const CapacityFound& event);
  void FinishIfIdle(Request& request);
  Attempt* FindAttempt(std::string_view id, int attempt_index, Request** request);
  void On(const AttemptEnded& event);
  void CancelAttemptsInFlight(const Request& request, bool only_queued);
  void On(const RequestCancelled& event);
  void On(const StreamStarted& event) { OnAttemptStarted(event.id, event.attempt); }
  void On(const AttemptProgress& event) { OnAttemptStarted(event.id, event.attempt); }
  void OnAttemptStarted(std::string_view id, int attempt_index);
  void On(const ProbeAnswered& event);
  void OnProbesAnswered(std::string_view id);
  bool WouldEndLate(const Request& request, const Worker& worker, double age_s) const;
  void RunCheck(const ScheduledCheck& check);
  void OnCapacityWaitCheck(const ScheduledCheck& check);

  // Workers (endpoint_discovery.cpp), timers and settings (load_balancer_impl.cpp).
  void On(const DispatcherStarted&);
  void PollEndpoints();
  void PollIn(double delay_s);
  void On(const TimerFired& event);
  void On(const EndpointsUpdated& event);
  int AddWorker(const std::string& name);
  void SizeForSettings();
  void On(const SettingsChanged& event);
  void ResetHealth(Worker& worker);
  void On(const MaintenanceChanged& event);

  Settings settings_;
  Random random_;
  double now_ = 0;
  Actions* actions_ = nullptr;
  int class_count_ = 1, tenant_count_ = 1;
  // Admission.
  AdmissionController admission_;
  // Usage reports. `own_rates_` and, in a large tier, `tier_mean_rates_` are rows in the order of
  // `layout_`.
  RowLayout layout_;
  bool full_mesh_ = true, has_measured_ = false, has_received_reports_ = false;
  double report_interval_s_ = kBaseReportIntervalS, reported_at_ = 0, sends_since_report_ = 0,
         found_full_count_ = 0, late_start_count_ = 0;
  std::vector<double> own_rates_, tier_mean_rates_;
  PeerUsageTable peers_;
  std::uint64_t rejected_messages_ = 0;
  SiblingProcess sibling_;
  AgreedShare agreed_share_;
  // First attempts per second of all dispatchers that reported, as of the last report.
  double received_sends_rps_ = 0;
  // Fleet rate.
  FleetRateLimiter fleet_rate_;
  // Workers.
  WorkerTable workers_;
  CapacityReservations* reservations_ = nullptr;
  std::uint64_t version_ = 0;  // changes with what WorkerViews returns
  double worker_rate_rps_ = 0, max_throughput_ = 1, mean_throughput_ = 1;
  std::uint64_t preferred_workers_version_ = 0;
  std::unordered_map<std::uint64_t, std::vector<int>> preferred_workers_;
  // Scratch space of PreferredWorkers, kept for its capacity.
  std::vector<std::pair<std::uint64_t, int>> rank_scratch_;
  LoadEstimates estimates_;
  int shared_class_count_ = 0;
  // Since the last report: workers that were the first to be probed for a request, and those of
  // them with a free slot.
  double first_probes_ = 0, first_probes_free_ = 0;
  // Requests.
  StringMap<Request> requests_;
  std::priority_queue<ScheduledCheck, std::vector<ScheduledCheck>, std::greater<>>
      scheduled_checks_;
  std::vector<std::string> requests_awaiting_probes_;
  std::uint64_t last_check_sequence_ = 0;
  HedgeBudget hedge_budget_;
  ShedBudget shed_budget_;
  // Queued requests may be shed; workers notify starts but never report load.
  bool may_shed_queued_ = false, load_unreported_ = false;
  bool check_timer_set_ = false, subscribed_ = false;
  double poll_at_ = kInf;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_LOAD_BALANCER_IMPL_H_
