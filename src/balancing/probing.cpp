// Probing: where load is reported on probes only, candidates are probed before a job is placed.
#include <algorithm>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr int kMinProbedFull = 3;  // probed workers without a free slot, for a tier to be full
constexpr int kMaxProbes = 5,
              kMaxProbesStale = 2;  // probes for a job; where load reports prove out of date
// Share of a job's weight that may be spent on probes, where they have a price.
constexpr double kProbeBudget = 0.0025;
// Large tiers: the share of jobs that wait for their start which end late.
constexpr double kLateShareOfWaiting = 0.5;

// How many workers to probe now, so that the likely gain is worth the price.
int LoadBalancerImpl::ProbeCount(const Job& job) {
  const double price = settings_.price_probe;
  if (full_mesh_) {
    const int probes = estimates_.PromptStartShare() > 0.8 ? kMaxProbes : kMaxProbesStale;
    if (price <= 0) return probes;
    const double most = kProbeBudget / price;  // a fraction of a probe is a chance of one
    return std::min(probes, static_cast<int>(most + random_.Unit()));
  }
  // Peers do not know what is in flight at a worker; only the worker does. One is probed after
  // the other until one has a free slot; the first only where many have none, or at times as a
  // sample of how many do.
  const double found = ProbedFreeShare(0.5);
  const double gain = kLateShareOfWaiting * (1 - ClassOf(job.class_index).late_weight) * found;
  const int probed = static_cast<int>(job.probed.size());
  const bool worth = price < (probed > 0 ? gain : gain * (1 - found));
  const bool look = probed == 0 && random_.Unit() * price < kProbeBudget;
  return worth || look ? std::min(probed > 0 ? 2 : 1, kMaxProbes - probed) : 0;
}

// Where load is reported on probes only, a job waits up to kProbeTimeoutS for the answers of a
// few workers (power of d choices).
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
    workers_[w].probed_at = now_;
    actions_->push_back(Probe{workers_[w].name});
  }
  job.probes_awaited = static_cast<int>(job.probed.size() - job.probe_round_begin);
  if (job.probes_awaited == 0) return false;
  jobs_awaiting_probes_.push_back(job.id);
  CheckAt(now_ + kProbeTimeoutS, job.id, kProbeCheck);
  return true;
}

void LoadBalancerImpl::On(const ProbeAnswered& e) {
  const int index = workers_.Find(e.worker);
  if (index < 0) return;
  Worker& w = workers_[index];
  const bool silent = e.status == AttemptStatus::kNoResponse ||
                      e.status == AttemptStatus::kConnectFailed ||
                      e.status == AttemptStatus::kConnectionLost;
  if (!silent && e.status != AttemptStatus::kNotSent) w.heard_at = now_;
  if (silent && w.heard_at < w.probed_at) Eject(index);
  if (e.has_report) OnLoadReport(w, e.report);
  for (const std::string& id : std::vector<std::string>(jobs_awaiting_probes_)) {
    Job& job = jobs_.find(id)->second;
    const auto now_asked = job.probed.begin() + static_cast<std::ptrdiff_t>(job.probe_round_begin);
    if (std::count(now_asked, job.probed.end(), index) == 0) continue;
    if (--job.probes_awaited == 0) OnProbesAnswered(id);
  }
}

void LoadBalancerImpl::OnProbesAnswered(
    std::string_view id) {  // all asked have answered, or time is up
  if (std::erase(jobs_awaiting_probes_, id) == 0) return;
  Job& job = jobs_.find(id)->second;
  const auto has_room = [&](int w) {
    const Worker& worker = workers_[w];
    return now_ - worker.reported_at < kLoadReportFreshS && !ForecastFor(job, worker).no_capacity;
  };
  if (!full_mesh_ && job.probe_round_begin == 0 && job.probed[0] != job.slow_start_worker) {
    first_probes_ += 1;
    first_probes_free_ += has_room(job.probed[0]);
  }
  if (!full_mesh_ && std::none_of(job.probed.begin(), job.probed.end(), has_room)) {
    if (ProbeCandidates(job)) return;
    // While the whole tier is full the job would end late, and so would all that wait behind it:
    // queues at workers stay full for long afterwards. Rejected unsent, it may find capacity when
    // it returns.
    const auto is_fresh = [&](int w) { return now_ - workers_[w].reported_at < kLoadReportFreshS; };
    if (std::ranges::count_if(job.probed, is_fresh) >= kMinProbedFull &&
        ProbedFreeShare(1) < kFreeShareNotFull) {
      full_signals_ += 1;
      return FinishIfIdle(job);
    }
  }
  PlaceJob(job);
  FinishIfIdle(job);
}

}  // namespace millethollow::balancing
