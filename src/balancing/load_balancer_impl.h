// The coordinator of the decision module: it handles events and holds the parts that decide. Its
// functions are defined in a file for each concern.
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

// What is expected of a job at a worker.
struct Forecast {
  double time_s = 0;         // until it ends
  bool no_capacity = false;  // it would have to queue
};

class LoadBalancerImpl {
 public:
  LoadBalancerImpl(Settings settings, std::uint64_t seed);

  void Handle(double now, const Event& event, Actions* actions) {
    now_ = std::max(now, now_);
    actions_ = actions;
    std::visit([this](const auto& e) { On(e); }, event);
  }

  bool Excludes(std::string_view worker) const {
    const int index = workers_.Find(worker);
    return index < 0 || !workers_[index].ready || workers_[index].ejected;
  }

  void SetCapacityReservations(CapacityReservations* reservations) { reservations_ = reservations; }
  std::uint64_t version() const { return version_; }
  std::uint64_t rejected_messages() const { return rejected_messages_; }
  std::vector<WorkerView> WorkerViews() const;
  double DemandShare() const;
  void SetFleetShare(const FleetShare& share);

 private:
  friend struct StateTransfer;  // hands learned state over in a hot restart

  // Admission control (admission.cpp).
  void On(const RequestArrived& e);
  void Reject(const Job& job);

  // Usage exchange (usage_exchange.cpp).
  UsageReport MakeReport(bool fresh, bool to_sibling) const;
  void SendReport(const std::vector<int>& recipients, bool fresh,
                  std::vector<UsageReport::Usage> counts);
  void NotifySibling();
  void OnPeerUsage(int sender, const UsageReport& report);
  std::vector<UsageReport::Usage> MeasureDemand(double sample_s);
  void MeasureSignals(double sample_s);
  void UpdateTierMeans(double sample_s);
  std::vector<int> ReportRecipients();
  void PublishUsage();
  void On(const PeerMessage& e);
  static std::uint16_t Tag(const Worker& w) { return static_cast<std::uint16_t>(w.hash); }
  void UpdatePeerSlots() {
    peers_.SumSlotsInFlight(workers_.all(), now_ - kPeerTimeoutReports * report_interval_s_);
    ++version_;
  }
  void On(const SiblingProcess& e);

  // Fleet rate (admission.cpp, fleet_rate_limiter.h).
  void UpdateFleetRate(double sample_s);
  void LimitTenant(int tenant, double admit_share);
  std::vector<double> TierRates();  // of all dispatchers
  // Attempts per second that a warm worker carries; `mine` by this dispatcher's own count.
  double WorkerRate(double mine);
  const ClassSettings& ClassOf(int c) const { return settings_.classes[Idx(c)]; }

  // Indices of the shared estimates in a large tier's row of rates.
  std::size_t ProbeIndex() const { return layout_.ProbeIndex(); }
  std::size_t SharedEstimateIndex(int cls, int kind) const {
    return kind < 0 ? layout_.ClassIndex(Idx(cls)) : layout_.KindIndex(Idx(kind));
  }
  // The share of probed workers that have capacity, over the whole tier.
  double ProbedFreeShare(double unknown) const {
    const double probed = full_mesh_ ? 0.0 : tier_mean_rates_[ProbeIndex()];
    return probed > 0 ? tier_mean_rates_[ProbeIndex() + 1] / probed : unknown;
  }
  void MergeSharedEstimates(const UsageReport& report);

  // Placement (placement.cpp, forecast.cpp) and probing (probing.cpp).
  const std::vector<int>& Selectable(int kind, int zone) const {
    return workers_.Selectable(kind, zone);
  }
  void RebuildPools();
  double ExpectedRun(const Job& job) const {
    return estimates_.RunTime(job, ClassOf(job.class_index));
  }
  double PaceOf(const Worker& w) const { return estimates_.Pace(w, now_); }
  double LatencyObjectiveOf(const Job& job) const;
  double SlotsOf(const Worker& w) const { return estimates_.Slots(w); }
  bool Allowed(const Job& job, int index, int anchor) const;
  Forecast ForecastFor(const Job& job, const Worker& w) const;
  double Score(const Job& job, const Worker& w, int home_rank) const;
  double KeyAffinityWeight() const;
  int SampleWorker(const std::vector<int>& from);
  double ThroughputOf(const Worker& w) const;
  void UpdateThroughputs();
  int ProbeCount(const Job& job);
  bool ProbeCandidates(Job& job);
  int PickWorker(const Job& job, int anchor);
  const std::vector<int>& PreferredWorkers(std::uint64_t key, int kind);

  // Slow start (slow_start.cpp) and outlier detection (outlier_detection.cpp).
  bool WarmingUp(const Worker& w) const;
  double SlowStartShare(const Worker& w) const;
  bool SlowStartHasCapacity(const Worker& w) const;
  double SlowStartTokens(const Worker& w) const;
  double SlowStartCost(const Job& job) const;
  void DrawSlowStartWorker(Job& job);
  void Eject(int index);
  void EndEjections();
  void OnLoadReport(Worker& w, const double (&report)[4]);
  double StartWaitOf(const Worker& w) const { return estimates_.StartWait(w, now_); }
  void ShareRunSample(const Job& job, const Worker& w, const RunSample& sample);
  void OnBlocked(Job& job, Attempt& a, bool full, bool late);

  // Attempts (attempts.cpp) and overdue attempts (overdue_attempts.cpp).
  bool PlaceJob(Job& job);
  void CheckAt(double at, const std::string& id, int attempt);
  struct RetryScope {
    bool permitted = true;
    int anchor = -1;  // a worker whose deduplication group the attempt has to stay in; -1: none
  };
  RetryScope RetryScopeOf(const Job& job) const;
  bool FindCapacity(Job& job);
  void StartAttempt(Job& job, int index, const Forecast& forecast);
  double OverdueAfter(const Job& job) const;
  void LearnFromOutcome(Job& job, Attempt& a, AttemptStatus status);
  void OnAttemptSucceeded(Job& job, const Attempt& a);
  void OnStartOverdue(Job& job, Attempt& a, double age_s);
  bool MayShed(const Job& job, const Attempt& a, double age_s) const;
  void HedgeOrCancel(Job& job, int attempt, bool lost);
  bool WaitForCapacity(Job& job);
  void On(const CapacityFound& e);
  void FinishIfIdle(Job& job);
  Attempt* FindAttempt(std::string_view id, int attempt, Job** job);
  void On(const AttemptEnded& e);
  void CancelOpenAttempts(const Job& job, bool only_waiting);
  void On(const RequestCancelled& e);
  void On(const StreamStarted& e) { OnAttemptStarted(e.id, e.attempt); }
  void On(const AttemptProgress& e) { OnAttemptStarted(e.id, e.attempt); }
  void OnAttemptStarted(std::string_view id, int attempt);
  void On(const ProbeAnswered& e);
  void OnProbesAnswered(std::string_view id);
  bool WouldEndLate(const Job& job, const Worker& w, double age) const;
  void OnOverdue(const OverdueCheck& watch);
  void OnCapacityWaitCheck(const OverdueCheck& watch);

  // Workers (worker_table.cpp), timers and settings (load_balancer_impl.cpp).
  void On(const DispatcherStarted&);
  void PollEndpoints();
  void PollIn(double span);
  void On(const TimerFired& e);
  void On(const EndpointsUpdated& e);
  int AddWorker(const std::string& name);
  void SizeForSettings();
  void On(const SettingsChanged& e);
  void ResetHealth(Worker& w);
  void On(const MaintenanceChanged& e);

  Settings settings_;
  Random random_;
  double now_ = 0;
  Actions* actions_ = nullptr;
  int class_count_ = 1, tenant_count_ = 1;
  // Admission.
  AdmissionController admission_;
  // Reports: `own_rates_` and, in a large tier, `tier_mean_rates_` are rows as `layout_` has them.
  RowLayout layout_;
  bool full_mesh_ = true, has_measured_ = false, has_heard_peers_ = false;
  double report_interval_s_ = kReportIntervalS, reported_at_ = 0, sends_since_report_ = 0,
         full_signals_ = 0, late_signals_ = 0;
  std::vector<double> own_rates_, tier_mean_rates_;
  PeerUsageTable peers_;
  std::uint64_t rejected_messages_ = 0;
  SiblingProcess sibling_;
  AgreedShare agreed_share_;
  double heard_sends_rps_ = 0;  // of all dispatchers heard, at the last report
  // Fleet rate.
  FleetRateLimiter fleet_rate_;
  // Workers.
  WorkerTable workers_;
  CapacityReservations* reservations_ = nullptr;
  std::uint64_t version_ = 0;  // of all that WorkerViews returns
  double worker_rate_rps_ = 0, max_throughput_ = 1, mean_throughput_ = 1;
  std::uint64_t preferred_workers_version_ = 0;
  std::unordered_map<std::uint64_t, std::vector<int>> preferred_workers_;
  std::vector<std::pair<std::uint64_t, int>>
      rank_scratch_;  // PreferredWorkers's, kept for its capacity
  LoadEstimates estimates_;
  int shared_class_count_ = 0;
  double first_probes_ = 0,
         first_probes_free_ = 0;  // first ones asked for a job, and those with a free slot
  // Jobs.
  TextMap<Job> jobs_;
  std::priority_queue<OverdueCheck, std::vector<OverdueCheck>, std::greater<>> overdue_checks_;
  std::vector<std::string> jobs_awaiting_probes_;
  std::uint64_t next_check_order_ = 0;
  HedgeBudget hedge_budget_;
  ShedBudget shed_budget_;
  bool may_shed_queued_ = false, load_unreported_ = false;  // only starts are reported, never load
  bool check_timer_set_ = false, subscribed_ = false;
  double poll_at_ = kInf;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_LOAD_BALANCER_IMPL_H_
