// Placement: the choice of the worker for an attempt.
#include <algorithm>
#include <tuple>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr int kSampleSize = 12;  // random workers considered; covers a small fleet
// In a large tier a dispatcher knows too little about the workers: the best of many would be the
// same for all dispatchers, and all would send there. Two random choices, weighted by throughput,
// spread the load (power of two choices).
constexpr int kSampleSizeLargeTier = 2;
constexpr int kPreferredWorkers = 4;  // workers that a key prefers, the same at every dispatcher
constexpr int kNotPreferredRank = 4 * kPreferredWorkers;  // rank of all other workers
constexpr double kNoCapacityPenalty = 10.0;               // outweighs any slowdown or price
// Extra wait, in latency objectives, up to which a worker that has the data of the request's key is
// preferred to one that must fetch it.
constexpr double kKeyFetchWeight = 1.5;

// Whether the request may be sent to the worker at all. `scope_worker` is a worker whose
// deduplication scope it has to stay in; -1: any.
bool LoadBalancerImpl::IsCandidate(const Request& request, int worker_index,
                                   int scope_worker) const {
  const Worker& worker = workers_[worker_index];
  if (!worker.ready) return false;
  if (worker.probation &&
      (worker.slots_in_flight > 0 ||
       ClassSettingsOf(request.class_index).idempotency == Idempotency::kNotIdempotent))
    return false;
  // Where requests wait for capacity, one may return to a worker that rejected it.
  if (request.WasAttemptedAt(worker_index, reservations_ != nullptr)) return false;
  if (scope_worker >= 0 &&
      !InSameDeduplicationScope(ClassSettingsOf(request.class_index).deduplication_scope,
                                workers_[scope_worker], worker))
    return false;
  if (!InSlowStart(worker) || sibling_.draining) return !InSlowStart(worker);
  return full_mesh_ ? SlowStartTokens(worker) >= SlowStartCost(request)
                    : worker_index == request.slow_start_worker && SlowStartHasCapacity(worker);
}

// The cost of sending the request to the worker; lower is better. It is the expected time over the
// latency objective, plus prices. Workers with capacity come first.
double LoadBalancerImpl::Score(const Request& request, const Worker& worker,
                               int preferred_rank) const {
  const Forecast forecast = ForecastFor(request, worker);
  double score = forecast.time_s / LatencyObjectiveOf(request) +
                 (forecast.no_capacity ? kNoCapacityPenalty : 0.0);
  if (estimates_.GroupSuccess(worker) < kMinGroupSuccess) score += 2 * kNoCapacityPenalty;
  if (worker.zone != settings_.zone) score += settings_.price_cross_zone;
  if (request.key != 0)
    score += KeyAffinityWeight() *
             (1 - 0.8 / (1 + (worker.HasRecentKey(request.key) ? 0 : preferred_rank)));
  return score;
}

// The weight of key affinity. Where a key is not cached, a request must fetch its data, and each
// fetch evicts a key whose data another request then fetches again. Keys are kept on few workers
// once requests without a cached key are seen to run longer.
double LoadBalancerImpl::KeyAffinityWeight() const {
  const double fetch_overhead = estimates_.KeyFetchOverhead();
  return settings_.price_origin + kKeyFetchWeight * std::clamp(5 * fetch_overhead - 0.5, 0.0, 1.0);
}

// Returns a random worker, weighted by its throughput and the success rate of its group.
int LoadBalancerImpl::SampleWorker(const std::vector<int>& from) {
  int worker_index = -1;
  for (int i = 0; i < 4; ++i) {
    worker_index = from[random_.Below(from.size())];
    if (random_.Uniform() < ThroughputOf(workers_[worker_index]) *
                                estimates_.GroupSuccess(workers_[worker_index]) / max_throughput_)
      break;
  }
  return worker_index;
}

int LoadBalancerImpl::PickWorker(const Request& request, int scope_worker) {
  const int kind = ClassSettingsOf(request.class_index).kind;
  const std::vector<int>& eligible = EligibleWorkers(kind, -1);
  const std::vector<int>& same_zone = EligibleWorkers(kind, settings_.zone);
  int best_worker = -1, considered = 0;
  double best_score = kInf;
  const auto consider = [&](int worker_index, int rank) {
    if (!IsCandidate(request, worker_index, scope_worker)) return;
    if (reservations_ && scope_worker < 0 &&
        !reservations_->HasCapacityFor(request.id, workers_[worker_index].name))
      return;
    ++considered;
    const double score = Score(request, workers_[worker_index], rank);
    if (score < best_score) std::tie(best_worker, best_score) = std::pair(worker_index, score);
  };
  if (request.worker_with_capacity >= 0) consider(request.worker_with_capacity, kNotPreferredRank);
  for (const int worker_index : request.probed) consider(worker_index, kNotPreferredRank);
  if (!full_mesh_ && best_worker >= 0 && best_score < kNoCapacityPenalty)
    return best_worker;  // it has capacity by its load report
  if (request.key != 0 && !eligible.empty()) {
    const std::vector<int>& preferred = PreferredWorkers(request.key, kind);
    for (std::size_t rank = 0; rank < preferred.size(); ++rank)
      consider(preferred[rank], static_cast<int>(rank));
  }
  considered = full_mesh_ ? static_cast<int>(request.probed.size()) - request.probes_awaited : 0;
  const int sample_size = full_mesh_ ? kSampleSize : kSampleSizeLargeTier;
  if (!full_mesh_ && request.slow_start_worker >= 0)
    consider(request.slow_start_worker, kNotPreferredRank);
  // Draws more workers than it has to consider, since many may be in slow start without tokens.
  for (int i = 0; i < 4 * kSampleSize && considered < sample_size; ++i) {
    const std::vector<int>& from =
        i % 2 == 0 && settings_.price_cross_zone > 0 && !same_zone.empty() ? same_zone : eligible;
    if (!from.empty()) consider(SampleWorker(from), kNotPreferredRank);
  }
  if (best_worker < 0) {  // no candidate in the sample: considers all workers, from a random start
    const std::size_t start = eligible.empty() ? 0 : random_.Below(eligible.size());
    for (std::size_t i = 0; i < eligible.size(); ++i)
      consider(eligible[(start + i) % eligible.size()], kNotPreferredRank);
  }
  return best_worker;
}

// The workers that a key prefers, by rendezvous (highest random weight) hashing: all dispatchers
// agree on them without coordination. Cached until the pools change.
const std::vector<int>& LoadBalancerImpl::PreferredWorkers(std::uint64_t key, int kind) {
  if (preferred_workers_version_ != workers_.pool_version() || preferred_workers_.size() > 20000)
    preferred_workers_.clear();
  preferred_workers_version_ = workers_.pool_version();
  auto [entry, inserted] =
      preferred_workers_.try_emplace(key * 31 + static_cast<std::uint64_t>(kind + 1));
  if (inserted) {
    rank_scratch_.clear();  // reused: most keys are new, and each would allocate
    for (const int worker_index : EligibleWorkers(kind, -1))
      rank_scratch_.emplace_back(CombineHashes(key, workers_[worker_index].hash), worker_index);
    const auto count = std::min<std::size_t>(kPreferredWorkers, rank_scratch_.size());
    std::partial_sort(rank_scratch_.begin(),
                      rank_scratch_.begin() + static_cast<std::ptrdiff_t>(count),
                      rank_scratch_.end());
    entry->second.reserve(count);
    for (std::size_t i = 0; i < count; ++i) entry->second.push_back(rank_scratch_[i].second);
  }
  return entry->second;
}

}  // namespace millethollow::balancing
