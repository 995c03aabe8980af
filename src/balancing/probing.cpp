// Probing: where load is reported on probes only, candidates are asked before a job is placed.
#include <algorithm>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr int kMinProbedFull = 3;  // so many without room say that there is none
constexpr int kMaxProbes = 5,
              kMaxProbesStale = 2;  // workers asked for a job; where reports prove old
// Where probes have a price, so many points of the result may go into them: reports of a few jobs
// tell what a kind can hold, and what is out there peers tell for less.
constexpr double kProbeBudget = 0.0025;
// Large tiers: half of what is lost where a job has to wait for its start is lost by ending late.
constexpr double kLateShareOfWaiting = 0.5;

// How many workers to ask now, so that what they are likely to save is worth the price.
int LoadBalancerImpl::ProbeCount(const Job& job) {
  const double price = settings_.price_probe;
  if (full_mesh_) {
    const int probes = estimates_.PromptStartShare() > 0.8 ? kMaxProbes : kMaxProbesStale;
    if (price <= 0) return probes;
    const double most = kProbeBudget / price;  // a part of a probe is a chance of one
    return std::min(probes, static_cast<int>(most + random_.Unit()));
  }
  // Peers can't tell what is out at a worker: only the worker does. One is asked after the other
  // until one has room; the first only where many have none, or now and then to see how many.
  const double found = ProbedFreeShare(0.5);
  const double gain = kLateShareOfWaiting * (1 - ClassOf(job.class_index).late_weight) * found;
  const int asked = static_cast<int>(job.probed.size());
  const bool worth = price < (asked > 0 ? gain : gain * (1 - found));
  const bool look = asked == 0 && random_.Unit() * price < kProbeBudget;
  return worth || look ? std::min(asked > 0 ? 2 : 1, kMaxProbes - asked) : 0;
}

// Exception: where load is told only on probes, a job waits a moment for a few workers' word.
bool LoadBalancerImpl::ProbeCandidates(Job& job) {
  const std::vector<int>& all = Selectable(ClassOf(job.class_index).kind, -1);
  const std::vector<int>& near = Selectable(ClassOf(job.class_index).kind, settings_.zone);
  if (!settings_.probing || settings_.load_report_source != LoadReportSource::kOnProbe ||
      all.empty())
    return false;
  if (job.expires_at_s < now_ + 10 * kProbeTimeoutS) return false;
  job.probe_round_begin = job.probed.size();
  const std::size_t most = job.probe_round_begin + Idx(ProbeCount(job));
  for (std::size_t i = 0; i < 2 * most && job.probed.size() < most; ++i) {
    const bool home = !full_mesh_ && i == 0 && settings_.price_cross_zone > 0 && !near.empty();
    const bool drawn = job.probed.empty() && job.slow_start_worker >= 0;
    const int w = drawn && i == 0 ? job.slow_start_worker : SampleWorker(home ? near : all);
    if (std::count(job.probed.begin(), job.probed.end(), w) > 0 || !Allowed(job, w, -1)) continue;
    job.probed.push_back(w);
    workers_[Idx(w)].probed_at = now_;
    actions_->push_back(Probe{workers_[Idx(w)].name});
  }
  job.probes_awaited = static_cast<int>(job.probed.size() - job.probe_round_begin);
  if (job.probes_awaited == 0) return false;
  jobs_awaiting_probes_.push_back(job.id);
  CheckAt(now_ + kProbeTimeoutS, job.id, kProbeCheck);
  return true;
}

void LoadBalancerImpl::On(const ProbeAnswered& e) {
  const auto it = worker_index_.find(e.worker);
  if (it == worker_index_.end()) return;
  Worker& w = workers_[Idx(it->second)];
  const bool silent = e.status == AttemptStatus::kNoResponse ||
                      e.status == AttemptStatus::kConnectFailed ||
                      e.status == AttemptStatus::kConnectionLost;
  if (!silent && e.status != AttemptStatus::kNotSent) w.heard_at = now_;
  if (silent && w.heard_at < w.probed_at) Eject(it->second);
  if (e.has_report) OnLoadReport(w, e.report);
  for (const std::string& id : std::vector<std::string>(jobs_awaiting_probes_)) {
    Job& job = jobs_.find(id)->second;
    const auto now_asked = job.probed.begin() + static_cast<std::ptrdiff_t>(job.probe_round_begin);
    if (std::count(now_asked, job.probed.end(), it->second) == 0) continue;
    if (--job.probes_awaited == 0) OnProbesAnswered(id);
  }
}

void LoadBalancerImpl::OnProbesAnswered(
    std::string_view id) {  // all asked have answered, or time is up
  if (std::erase(jobs_awaiting_probes_, id) == 0) return;
  Job& job = jobs_.find(id)->second;
  const auto has_room = [&](int w) {
    const Worker& worker = workers_[Idx(w)];
    return now_ - worker.reported_at < kLoadReportFreshS && !ForecastFor(job, worker).no_capacity;
  };
  if (!full_mesh_ && job.probe_round_begin == 0 && job.probed[0] != job.slow_start_worker) {
    first_probes_ += 1;
    first_probes_free_ += has_room(job.probed[0]);
  }
  if (!full_mesh_ && std::none_of(job.probed.begin(), job.probed.end(), has_room)) {
    if (ProbeCandidates(job)) return;
    // Where the whole tier is full it would end late, and so would all that wait behind it:
    // workers' queues then stay full for long after. Refused unsent, it may find room when it
    // returns.
    const auto told = [&](int w) {
      return now_ - workers_[Idx(w)].reported_at < kLoadReportFreshS;
    };
    if (std::ranges::count_if(job.probed, told) >= kMinProbedFull &&
        ProbedFreeShare(1) < kFreeShareNotFull) {
      full_signals_ += 1;
      return FinishIfIdle(job);
    }
  }
  PlaceJob(job);
  FinishIfIdle(job);
}

}  // namespace millethollow::balancing
