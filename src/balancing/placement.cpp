// Which worker a job goes to.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr int kSampleSize = 12;  // random workers looked at: a small fleet whole
// In a large tier a node knows too little of them: the best of many would be the same for all, and
// all would send there. Two drawn by what they can do spread the load as it should be spread.
constexpr int kSampleSizeLargeTier = 2;
constexpr int kMaxProbes = 5,
              kMaxProbesStale = 2;  // workers asked for a job; where reports prove old
// Where probes have a price, so many points of the result may go into them: reports of a few jobs
// tell what a kind can hold, and what is out there peers tell for less.
constexpr double kProbeBudget = 0.0025;
constexpr double kProbeTimeoutS = 0.04;  // how long a job waits for them
// Large tiers: half of what is lost where a job has to wait for its start is lost by ending late.
constexpr double kLateShareOfWaiting = 0.5;
constexpr int kPreferredWorkers = 4;  // workers that a key prefers, the same at every dispatcher
constexpr int kNotPreferredRank = 4 * kPreferredWorkers;  // the rank of all other workers
constexpr double kNoCapacityPenalty =
    10.0;  // past the threshold counts more than any pace or price
constexpr double kKindPaceWeight =
    8.0;  // a worker's own pace outweighs its kind's after so many jobs
constexpr double kKeyFetchWeight =
    1.5;  // aims that a job waits rather than fetch its key elsewhere

double LoadBalancerImpl::ExpectedRun(const Job& job) const {
  const double mean =
      class_run_time_[Idx(job.class_index)].Or(ClassOf(job.class_index).latency_objective_s);
  return job.size_hint_s > 0 ? class_hint_fit_[Idx(job.class_index)].At(job.size_hint_s, mean)
                             : mean;
}
double LoadBalancerImpl::PaceOf(const Worker& w) const {
  const double kind = kind_pace_[Idx(w.kind)].Or(1 / std::max(0.1, w.capacity_hint));
  // What was seen of one worker fades: a slow spell is forgiven and the worker tried again.
  const double n = w.pace_weight * std::exp((w.pace_at - now_) / kPaceDecayS);
  return (w.pace * n + kind * kKindPaceWeight) / (n + kKindPaceWeight);
}
double LoadBalancerImpl::LatencyObjectiveOf(const Job& job) const {
  const ClassSettings& c = ClassOf(job.class_index);
  return std::max(settings_.tick_s,
                  c.latency_objective_s + c.latency_objective_stretch * ExpectedRun(job));
}

// May this job go to that worker at all?
bool LoadBalancerImpl::Allowed(const Job& job, int index, int anchor) const {
  const Worker& w = workers_[Idx(index)];
  if (!w.ready) return false;
  if (w.probation && (w.slots_in_flight > 0 ||
                      ClassOf(job.class_index).idempotency == Idempotency::kNotIdempotent))
    return false;
  // Where jobs wait for room, one may come back to a worker that turned it away.
  if (job.WasTriedAt(index, reservations_ != nullptr)) return false;
  if (anchor >= 0 && !InSameDeduplicationGroup(ClassOf(job.class_index).deduplication_scope,
                                               workers_[Idx(anchor)], w))
    return false;
  if (!WarmingUp(w) || sibling_.draining) return !WarmingUp(w);
  return full_mesh_ ? SlowStartTokens(w) >= SlowStartCost(job)
                    : index == job.slow_start_worker && SlowStartHasCapacity(w);
}

// Expected time to the job's end, and whether it would find no room.
std::pair<double, bool> LoadBalancerImpl::Forecast(const Job& job, const Worker& w) const {
  const double run = ExpectedRun(job) * PaceOf(w);
  double wait = StartWaitOf(w);
  const bool silent = w.probed_at > w.heard_at && now_ - w.probed_at > kProbeTimeoutS / 2;
  const double slots = SlotsOf(w);
  bool over = silent;
  if (slots > 0) {  // what all dispatchers have out there, against what its kind can hold
    // A report just in counts what all have out there; a large tier's others are but a guess.
    const double others =
        full_mesh_ || now_ - w.reported_at > kLoadReportFreshS ? w.peer_slots_in_flight : 0;
    double need = w.slots_in_flight + others + job.slots;
    if (job.memory > 0)
      need = std::max(need, w.memory_in_flight + others * memory_per_slot_.Or(0) + job.memory);
    wait = std::max(0.0, need - slots) / slots * all_run_.Or(run) * PaceOf(w);
    over |= need > slots;
  } else {
    over |= w.slots_in_flight > 0 && w.slots_in_flight + job.slots > w.slot_limit;
    if (over) wait += run * (w.slots_in_flight + job.slots) / std::max(w.slot_limit, 1.0);
  }
  if (now_ - w.reported_at < kLoadReportFreshS) {
    double room = w.reported_free_slots - w.slots_sent_since_report;
    if (w.reported_free_memory != kInf)
      room = std::min(room, w.reported_free_memory - job.memory + job.slots);
    if (room < job.slots - 0.5) {
      over = true;
      wait += run * (job.slots - room + w.reported_queued) / std::max(1.0, slots);
    }
  }
  return {run + wait, over};
}

// Lower is better: expected time over the aim, plus prices; workers with room come first.
double LoadBalancerImpl::Score(const Job& job, const Worker& w, int home_rank) const {
  const auto [time, over] = Forecast(job, w);
  double score = time / LatencyObjectiveOf(job) + (over ? kNoCapacityPenalty : 0.0);
  if (group_success_[GroupOf(w)] < kGroupSuccessMin) score += 2 * kNoCapacityPenalty;
  if (w.zone != settings_.zone) score += settings_.price_cross_zone;
  if (job.key != 0)
    score += KeyAffinityWeight() * (1 - 0.8 / (1 + (w.HasRecentKey(job.key) ? 0 : home_rank)));
  return score;
}

// A job must fetch what its key names where it is not kept, and each fetch pushes out a key that
// another job fetches again: keys stay on few workers once a cold one is seen to run longer.
double LoadBalancerImpl::KeyAffinityWeight() const {
  const double fetch = other_key_pace_.Or(1) / std::max(recent_key_pace_.Or(1), 1e-9) - 1;
  return settings_.price_origin + kKeyFetchWeight * std::clamp(5 * fetch - 0.5, 0.0, 1.0);
}

// A random worker, the abler the likelier: by told size where told, else by learned pace.
int LoadBalancerImpl::SampleWorker(const std::vector<int>& from) {
  int w = -1;
  for (int i = 0; i < 4; ++i) {
    w = from[random_.Below(from.size())];
    if (random_.Unit() <
        ThroughputOf(workers_[Idx(w)]) * GroupSuccess(workers_[Idx(w)]) / max_throughput_)
      break;
  }
  return w;
}
double LoadBalancerImpl::ThroughputOf(const Worker& w) const {
  return settings_.capacity_hints_valid ? w.capacity_hint : std::max(1.0, SlotsOf(w)) / PaceOf(w);
}

// How many workers to ask now, so that what they are likely to save is worth the price.
int LoadBalancerImpl::ProbeCount(const Job& job) {
  const double price = settings_.price_probe;
  if (full_mesh_) {
    const int probes = prompt_starts_.Or(1.0) > 0.8 ? kMaxProbes : kMaxProbesStale;
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
  CheckAt(now_ + kProbeTimeoutS, job.id, -1);
  return true;
}

int LoadBalancerImpl::PickWorker(const Job& job, int anchor) {
  const int kind = ClassOf(job.class_index).kind;
  const std::vector<int>& all = Selectable(kind, -1);
  const std::vector<int>& near = Selectable(kind, settings_.zone);
  int best = -1, looked = 0;
  double best_score = kInf;
  const auto look = [&](int w, int rank) {
    if (!Allowed(job, w, anchor)) return;
    if (reservations_ && anchor < 0 &&
        !reservations_->HasCapacityFor(job.id, workers_[Idx(w)].name))
      return;
    ++looked;
    const double score = Score(job, workers_[Idx(w)], rank);
    if (score < best_score) std::tie(best, best_score) = std::pair(w, score);
  };
  if (job.found_worker >= 0) look(job.found_worker, kNotPreferredRank);
  for (const int w : job.probed) look(w, kNotPreferredRank);
  if (!full_mesh_ && best >= 0 && best_score < kNoCapacityPenalty)
    return best;  // it says that it has room
  if (job.key != 0 && !all.empty()) {
    const std::vector<int>& homes = PreferredWorkers(job.key, kind);
    for (std::size_t r = 0; r < homes.size(); ++r) look(homes[r], static_cast<int>(r));
  }
  looked = full_mesh_ ? static_cast<int>(job.probed.size()) - job.probes_awaited : 0;
  const int sample = full_mesh_ ? kSampleSize : kSampleSizeLargeTier;
  if (!full_mesh_ && job.slow_start_worker >= 0) look(job.slow_start_worker, kNotPreferredRank);
  // More draws than looks: many may be cold and have had their part.
  for (int i = 0; i < 4 * kSampleSize && looked < sample; ++i) {
    const std::vector<int>& from =
        i % 2 == 0 && settings_.price_cross_zone > 0 && !near.empty() ? near : all;
    if (!from.empty()) look(SampleWorker(from), kNotPreferredRank);
  }
  if (best < 0) {  // rare: nothing sampled will do (few ready, a group, a cold budget)
    const std::size_t start = all.empty() ? 0 : random_.Below(all.size());
    for (std::size_t i = 0; i < all.size(); ++i)
      look(all[(start + i) % all.size()], kNotPreferredRank);
  }
  return best;
}

// The workers a key prefers, by rendezvous hashing: the same everywhere without agreement.
const std::vector<int>& LoadBalancerImpl::PreferredWorkers(std::uint64_t key, int kind) {
  if (preferred_workers_version_ != pool_version_ || preferred_workers_.size() > 20000)
    preferred_workers_.clear();
  preferred_workers_version_ = pool_version_;
  auto [it, fresh] =
      preferred_workers_.try_emplace(key * 31 + static_cast<std::uint64_t>(kind + 1));
  if (fresh) {
    rank_scratch_.clear();  // kept from key to key: most keys are new, and each would allocate anew
    for (const int w : Selectable(kind, -1))
      rank_scratch_.emplace_back(Mix(key, workers_[Idx(w)].hash), w);
    const auto n = std::min<std::size_t>(kPreferredWorkers, rank_scratch_.size());
    std::partial_sort(rank_scratch_.begin(), rank_scratch_.begin() + static_cast<std::ptrdiff_t>(n),
                      rank_scratch_.end());
    it->second.reserve(n);
    for (std::size_t i = 0; i < n; ++i) it->second.push_back(rank_scratch_[i].second);
  }
  return it->second;
}

}  // namespace millethollow::balancing
