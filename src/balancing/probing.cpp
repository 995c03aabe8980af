// Probing: where workers report load only in answers to probes, candidates are probed before a
// request is placed.
#include <algorithm>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// A tier is full only if at least this many probed workers have no free slot.
constexpr int kMinProbedFull = 3;
// Largest number of probes for a request; kMaxProbesStaleReports where load reports often prove out
// of date.
constexpr int kMaxProbes = 5, kMaxProbesStaleReports = 2;
// Share of a request's weight that may be spent on probes, where they have a price.
constexpr double kProbeBudget = 0.0025;
// In a large tier: the share of the requests waiting for their start that end late.
constexpr double kLateShareOfWaiting = 0.5;

// The number of workers to probe now, so that the expected gain is worth the price.
int LoadBalancerImpl::ProbeCount(const Request& request) {
  const double price = settings_.price_probe;
  if (full_mesh_) {
    const int max_count = estimates_.PromptStartShare() > 0.8 ? kMaxProbes : kMaxProbesStaleReports;
    if (price <= 0) return max_count;
    // A fraction of a probe is the probability of one.
    const double affordable = kProbeBudget / price;
    return std::min(max_count, static_cast<int>(affordable + random_.Uniform()));
  }
  // The peers of a large tier do not know what is in flight at a worker; only the worker itself
  // does. Workers are probed one after the other until one has a free slot. The first is probed
  // only if many workers have none, or now and then as a sample of how many do.
  const double free_share = ProbedFreeShare(0.5);
  const double gain =
      kLateShareOfWaiting * (1 - ClassSettingsOf(request.class_index).late_weight) * free_share;
  const int probed_count = static_cast<int>(request.probed.size());
  const bool worth_price = price < (probed_count > 0 ? gain : gain * (1 - free_share));
  const bool take_sample = probed_count == 0 && random_.Uniform() * price < kProbeBudget;
  return worth_price || take_sample ? std::min(probed_count > 0 ? 2 : 1, kMaxProbes - probed_count)
                                    : 0;
}

// Probes a few workers (power of d choices), where load is reported on probes only. The request
// waits up to kProbeTimeoutS for the answers. Returns false if no probe was sent.
bool LoadBalancerImpl::ProbeCandidates(Request& request) {
  const std::vector<int>& eligible = EligibleWorkers(ClassSettingsOf(request.class_index).kind, -1);
  const std::vector<int>& same_zone =
      EligibleWorkers(ClassSettingsOf(request.class_index).kind, settings_.zone);
  if (!settings_.probing || settings_.load_report_source != LoadReportSource::kOnProbe ||
      eligible.empty())
    return false;
  if (request.expires_at_s < now_ + 10 * kProbeTimeoutS) return false;
  request.probe_round_begin = request.probed.size();
  const std::size_t max_probes = request.probe_round_begin + ToIndex(ProbeCount(request));
  for (std::size_t i = 0; i < 2 * max_probes && request.probed.size() < max_probes; ++i) {
    const bool prefer_same_zone =
        !full_mesh_ && i == 0 && settings_.price_cross_zone > 0 && !same_zone.empty();
    const bool has_slow_start_worker = request.probed.empty() && request.slow_start_worker >= 0;
    const int worker_index = has_slow_start_worker && i == 0
                                 ? request.slow_start_worker
                                 : SampleWorker(prefer_same_zone ? same_zone : eligible);
    if (std::count(request.probed.begin(), request.probed.end(), worker_index) > 0 ||
        !IsCandidate(request, worker_index, -1))
      continue;
    request.probed.push_back(worker_index);
    workers_[worker_index].probed_at = now_;
    actions_->push_back(Probe{workers_[worker_index].name});
  }
  request.probes_awaited = static_cast<int>(request.probed.size() - request.probe_round_begin);
  if (request.probes_awaited == 0) return false;
  requests_awaiting_probes_.push_back(request.id);
  CheckAt(now_ + kProbeTimeoutS, request.id, kProbeCheck);
  return true;
}

void LoadBalancerImpl::On(const ProbeAnswered& event) {
  const int index = workers_.Find(event.worker);
  if (index < 0) return;
  Worker& worker = workers_[index];
  const bool no_response = event.status == AttemptStatus::kNoResponse ||
                           event.status == AttemptStatus::kConnectFailed ||
                           event.status == AttemptStatus::kConnectionLost;
  if (!no_response && event.status != AttemptStatus::kNotSent) worker.last_response_at = now_;
  if (no_response && worker.last_response_at < worker.probed_at) Eject(index);
  if (event.has_report) OnLoadReport(worker, event.report);
  for (const std::string& id : std::vector<std::string>(requests_awaiting_probes_)) {
    Request& request = requests_.find(id)->second;
    const auto round_begin =
        request.probed.begin() + static_cast<std::ptrdiff_t>(request.probe_round_begin);
    if (std::count(round_begin, request.probed.end(), index) == 0) continue;
    if (--request.probes_awaited == 0) OnProbesAnswered(id);
  }
}

// All workers of the round have answered, or the time is up.
void LoadBalancerImpl::OnProbesAnswered(std::string_view id) {
  if (std::erase(requests_awaiting_probes_, id) == 0) return;
  Request& request = requests_.find(id)->second;
  const auto has_capacity = [&](int worker_index) {
    const Worker& worker = workers_[worker_index];
    return now_ - worker.reported_at < kLoadReportFreshS &&
           !ForecastFor(request, worker).no_capacity;
  };
  if (!full_mesh_ && request.probe_round_begin == 0 &&
      request.probed[0] != request.slow_start_worker) {
    first_probes_ += 1;
    first_probes_free_ += has_capacity(request.probed[0]);
  }
  if (!full_mesh_ && std::none_of(request.probed.begin(), request.probed.end(), has_capacity)) {
    if (ProbeCandidates(request)) return;
    // While the whole tier is full, the request would end late, and so would everything queued
    // behind it; the queues of the workers would stay full for long afterwards. Rejected without
    // being sent, the request may find capacity when it returns.
    const auto has_recent_report = [&](int worker_index) {
      return now_ - workers_[worker_index].reported_at < kLoadReportFreshS;
    };
    if (std::ranges::count_if(request.probed, has_recent_report) >= kMinProbedFull &&
        ProbedFreeShare(1) < kMinFreeProbedShare) {
      found_full_count_ += 1;
      return FinishIfIdle(request);
    }
  }
  PlaceRequest(request);
  FinishIfIdle(request);
}

}  // namespace millethollow::balancing
