// Placement: which worker a job goes to.
#include <algorithm>
#include <tuple>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr int kSampleSize = 12;  // random workers considered; covers a small fleet
// In a large tier a dispatcher knows too little of the workers: the best of many would be the
// same for all dispatchers, and all would send there. Two random choices, weighted by throughput,
// spread the load (power of d choices).
constexpr int kSampleSizeLargeTier = 2;
constexpr int kPreferredWorkers = 4;  // that a key prefers, the same at every dispatcher
constexpr int kNotPreferredRank = 4 * kPreferredWorkers;  // of all other workers
constexpr double kNoCapacityPenalty = 10.0;               // outweighs any pace or price
constexpr double kKeyFetchWeight =
    1.5;  // latency objectives that a job waits rather than fetch its key elsewhere

// Whether the job may go to the worker at all. `anchor` is a worker whose deduplication group it
// has to stay in, -1: none.
bool LoadBalancerImpl::Allowed(const Job& job, int index, int anchor) const {
  const Worker& w = workers_[index];
  if (!w.ready) return false;
  if (w.probation && (w.slots_in_flight > 0 ||
                      ClassOf(job.class_index).idempotency == Idempotency::kNotIdempotent))
    return false;
  // Where jobs wait for capacity, one may return to a worker that rejected it.
  if (job.WasTriedAt(index, reservations_ != nullptr)) return false;
  if (anchor >= 0 &&
      !InSameDeduplicationGroup(ClassOf(job.class_index).deduplication_scope, workers_[anchor], w))
    return false;
  if (!WarmingUp(w) || sibling_.draining) return !WarmingUp(w);
  return full_mesh_ ? SlowStartTokens(w) >= SlowStartCost(job)
                    : index == job.slow_start_worker && SlowStartHasCapacity(w);
}

// Lower is better: expected time over the latency objective, plus prices; workers with capacity
// come first.
double LoadBalancerImpl::Score(const Job& job, const Worker& w, int home_rank) const {
  const Forecast forecast = ForecastFor(job, w);
  double score =
      forecast.time_s / LatencyObjectiveOf(job) + (forecast.no_capacity ? kNoCapacityPenalty : 0.0);
  if (estimates_.GroupSuccess(w) < kGroupSuccessMin) score += 2 * kNoCapacityPenalty;
  if (w.zone != settings_.zone) score += settings_.price_cross_zone;
  if (job.key != 0)
    score += KeyAffinityWeight() * (1 - 0.8 / (1 + (w.HasRecentKey(job.key) ? 0 : home_rank)));
  return score;
}

// Where a key is not cached the job must fetch it, and each fetch evicts a key that another job
// fetches again: keys stay on few workers once jobs without a cached key are seen to run longer.
double LoadBalancerImpl::KeyAffinityWeight() const {
  const double fetch = estimates_.KeyFetchOverhead();
  return settings_.price_origin + kKeyFetchWeight * std::clamp(5 * fetch - 0.5, 0.0, 1.0);
}

// A random worker, weighted by throughput and by the success of its group.
int LoadBalancerImpl::SampleWorker(const std::vector<int>& from) {
  int w = -1;
  for (int i = 0; i < 4; ++i) {
    w = from[random_.Below(from.size())];
    if (random_.Unit() <
        ThroughputOf(workers_[w]) * estimates_.GroupSuccess(workers_[w]) / max_throughput_)
      break;
  }
  return w;
}

int LoadBalancerImpl::PickWorker(const Job& job, int anchor) {
  const int kind = ClassOf(job.class_index).kind;
  const std::vector<int>& all = Selectable(kind, -1);
  const std::vector<int>& near = Selectable(kind, settings_.zone);
  int best = -1, looked = 0;
  double best_score = kInf;
  const auto look = [&](int w, int rank) {
    if (!Allowed(job, w, anchor)) return;
    if (reservations_ && anchor < 0 && !reservations_->HasCapacityFor(job.id, workers_[w].name))
      return;
    ++looked;
    const double score = Score(job, workers_[w], rank);
    if (score < best_score) std::tie(best, best_score) = std::pair(w, score);
  };
  if (job.found_worker >= 0) look(job.found_worker, kNotPreferredRank);
  for (const int w : job.probed) look(w, kNotPreferredRank);
  if (!full_mesh_ && best >= 0 && best_score < kNoCapacityPenalty)
    return best;  // by its load report it has capacity
  if (job.key != 0 && !all.empty()) {
    const std::vector<int>& homes = PreferredWorkers(job.key, kind);
    for (std::size_t r = 0; r < homes.size(); ++r) look(homes[r], static_cast<int>(r));
  }
  looked = full_mesh_ ? static_cast<int>(job.probed.size()) - job.probes_awaited : 0;
  const int sample = full_mesh_ ? kSampleSize : kSampleSizeLargeTier;
  if (!full_mesh_ && job.slow_start_worker >= 0) look(job.slow_start_worker, kNotPreferredRank);
  // More draws than workers considered: many may be warming up with no tokens left.
  for (int i = 0; i < 4 * kSampleSize && looked < sample; ++i) {
    const std::vector<int>& from =
        i % 2 == 0 && settings_.price_cross_zone > 0 && !near.empty() ? near : all;
    if (!from.empty()) look(SampleWorker(from), kNotPreferredRank);
  }
  if (best < 0) {  // none of the sample is allowed: consider all, from a random start
    const std::size_t start = all.empty() ? 0 : random_.Below(all.size());
    for (std::size_t i = 0; i < all.size(); ++i)
      look(all[(start + i) % all.size()], kNotPreferredRank);
  }
  return best;
}

// The workers that a key prefers, by rendezvous (highest random weight) hashing: the same at all
// dispatchers without coordination. Cached until the pools change.
const std::vector<int>& LoadBalancerImpl::PreferredWorkers(std::uint64_t key, int kind) {
  if (preferred_workers_version_ != workers_.pool_version() || preferred_workers_.size() > 20000)
    preferred_workers_.clear();
  preferred_workers_version_ = workers_.pool_version();
  auto [it, fresh] =
      preferred_workers_.try_emplace(key * 31 + static_cast<std::uint64_t>(kind + 1));
  if (fresh) {
    rank_scratch_.clear();  // reused: most keys are new, and each would allocate
    for (const int w : Selectable(kind, -1))
      rank_scratch_.emplace_back(Mix(key, workers_[w].hash), w);
    const auto n = std::min<std::size_t>(kPreferredWorkers, rank_scratch_.size());
    std::partial_sort(rank_scratch_.begin(), rank_scratch_.begin() + static_cast<std::ptrdiff_t>(n),
                      rank_scratch_.end());
    it->second.reserve(n);
    for (std::size_t i = 0; i < n; ++i) it->second.push_back(rank_scratch_[i].second);
  }
  return it->second;
}

}  // namespace millethollow::balancing
