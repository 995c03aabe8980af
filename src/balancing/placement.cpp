// Placement: which worker a job goes to.
#include <algorithm>
#include <tuple>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr int kSampleSize = 12;  // random workers looked at: a small fleet whole
// In a large tier a node knows too little of them: the best of many would be the same for all, and
// all would send there. Two drawn by what they can do spread the load as it should be spread.
constexpr int kSampleSizeLargeTier = 2;
constexpr int kPreferredWorkers = 4;  // workers that a key prefers, the same at every dispatcher
constexpr int kNotPreferredRank = 4 * kPreferredWorkers;  // the rank of all other workers
constexpr double kNoCapacityPenalty =
    10.0;  // past the threshold counts more than any pace or price
constexpr double kKeyFetchWeight =
    1.5;  // aims that a job waits rather than fetch its key elsewhere

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

// Lower is better: expected time over the aim, plus prices; workers with room come first.
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

// A job must fetch what its key names where it is not kept, and each fetch pushes out a key that
// another job fetches again: keys stay on few workers once a cold one is seen to run longer.
double LoadBalancerImpl::KeyAffinityWeight() const {
  const double fetch = estimates_.KeyFetchOverhead();
  return settings_.price_origin + kKeyFetchWeight * std::clamp(5 * fetch - 0.5, 0.0, 1.0);
}

// A random worker, the abler the likelier: by told size where told, else by learned pace.
int LoadBalancerImpl::SampleWorker(const std::vector<int>& from) {
  int w = -1;
  for (int i = 0; i < 4; ++i) {
    w = from[random_.Below(from.size())];
    if (random_.Unit() < ThroughputOf(workers_[Idx(w)]) *
                             estimates_.GroupSuccess(workers_[Idx(w)]) / max_throughput_)
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
