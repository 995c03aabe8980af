// Which worker a job goes to.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr int kSample = 12;  // random workers looked at: a small fleet whole
// In a large tier a node knows too little of them: the best of many would be the same for all, and
// all would send there. Two drawn by what they can do spread the load as it should be spread.
constexpr int kSampleLarge = 2;
constexpr int kProbes = 5, kProbesStale = 2;  // workers asked for a job; where reports prove old
// Where probes have a price, so many points of the result may go into them: reports of a few jobs
// tell what a kind can hold, and what is out there peers tell for less.
constexpr double kProbePoints = 0.0025;
constexpr double kProbeWaitS = 0.04;  // how long a job waits for them
// Large tiers: half of what is lost where a job has to wait for its start is lost by ending late.
constexpr double kLateByWait = 0.5;
constexpr int kHomes = 4;            // workers that a key prefers, the same at every dispatcher
constexpr int kNoHome = 4 * kHomes;  // the rank of all other workers
constexpr double kOver = 10.0;       // past the threshold counts more than any pace or price
constexpr double kSpeedKeep = 8.0;   // a worker's own pace outweighs its kind's after so many jobs
constexpr double kKeyPull = 1.5;     // aims that a job waits rather than fetch its key elsewhere

double LoadBalancerImpl::ExpectedRun(const Job& job) const {
  const double mean = run_[Idx(job.cls)].Or(ClassOf(job.cls).latency_objective_s);
  return job.hint > 0 ? hinted_[Idx(job.cls)].At(job.hint, mean) : mean;
}
double LoadBalancerImpl::PaceOf(const Worker& w) const {
  const double kind = kind_pace_[Idx(w.kind)].Or(1 / std::max(0.1, w.capacity));
  // What was seen of one worker fades: a slow spell is forgiven and the worker tried again.
  const double n = w.pace_n * std::exp((w.pace_at - now_) / kPaceTrustS);
  return (w.pace * n + kind * kSpeedKeep) / (n + kSpeedKeep);
}
double LoadBalancerImpl::AimOf(const Job& job) const {
  const ClassSettings& c = ClassOf(job.cls);
  return std::max(s_.tick_s,
                  c.latency_objective_s + c.latency_objective_stretch * ExpectedRun(job));
}

// May this job go to that worker at all?
bool LoadBalancerImpl::Allowed(const Job& job, int index, int anchor) const {
  const Worker& w = workers_[Idx(index)];
  if (!w.ready) return false;
  if (w.probation && (w.out > 0 || ClassOf(job.cls).idempotency == Idempotency::kNotIdempotent))
    return false;
  // Where jobs wait for room, one may come back to a worker that turned it away.
  if (job.Tried(index, room_keeper_ != nullptr)) return false;
  if (anchor >= 0 && !SameGroup(ClassOf(job.cls).deduplication_scope, workers_[Idx(anchor)], w))
    return false;
  if (!Cold(w) || mate_.draining) return !Cold(w);
  return direct_ ? ColdHeld(w) >= ColdCost(job) : index == job.cold_drawn && ColdRoom(w);
}

// Expected time to the job's end, and whether it would find no room.
std::pair<double, bool> LoadBalancerImpl::Outlook(const Job& job, const Worker& w) const {
  const double run = ExpectedRun(job) * PaceOf(w);
  double wait = WaitOf(w);
  const bool silent = w.probed_at > w.heard_at && now_ - w.probed_at > kProbeWaitS / 2;
  const double slots = SlotsOf(w);
  bool over = silent;
  if (slots > 0) {  // what all dispatchers have out there, against what its kind can hold
    // A report just in counts what all have out there; a large tier's others are but a guess.
    const double others = direct_ || now_ - w.report_at > kReportTrustS ? w.others : 0;
    double need = w.out + others + job.slots;
    if (job.memory > 0) need = std::max(need, w.memory_out + others * memory_.Or(0) + job.memory);
    wait = std::max(0.0, need - slots) / slots * all_run_.Or(run) * PaceOf(w);
    over |= need > slots;
  } else {
    over |= w.out > 0 && w.out + job.slots > w.limit;
    if (over) wait += run * (w.out + job.slots) / std::max(w.limit, 1.0);
  }
  if (now_ - w.report_at < kReportTrustS) {
    double room = w.free - w.sent_since;
    if (w.memory != kInf) room = std::min(room, w.memory - job.memory + job.slots);
    if (room < job.slots - 0.5) {
      over = true;
      wait += run * (job.slots - room + w.queued) / std::max(1.0, slots);
    }
  }
  return {run + wait, over};
}

// Lower is better: expected time over the aim, plus prices; workers with room come first.
double LoadBalancerImpl::Score(const Job& job, const Worker& w, int home_rank) const {
  const auto [time, over] = Outlook(job, w);
  double score = time / AimOf(job) + (over ? kOver : 0.0);
  if (room_[GroupOf(w)] < kGroupBad) score += 2 * kOver;
  if (w.zone != s_.zone) score += s_.price_cross_zone;
  if (job.key != 0) score += KeyPull() * (1 - 0.8 / (1 + (w.Warm(job.key) ? 0 : home_rank)));
  return score;
}

// A job must fetch what its key names where it is not kept, and each fetch pushes out a key that
// another job fetches again: keys stay on few workers once a cold one is seen to run longer.
double LoadBalancerImpl::KeyPull() const {
  const double fetch = cold_.Or(1) / std::max(warm_.Or(1), 1e-9) - 1;
  return s_.price_origin + kKeyPull * std::clamp(5 * fetch - 0.5, 0.0, 1.0);
}

// A random worker, the abler the likelier: by told size where told, else by learned pace.
int LoadBalancerImpl::Draw(const std::vector<int>& from) {
  int w = -1;
  for (int i = 0; i < 4; ++i) {
    w = from[random_.Below(from.size())];
    if (random_.Unit() < Power(workers_[Idx(w)]) * Room(workers_[Idx(w)]) / most_power_) break;
  }
  return w;
}
double LoadBalancerImpl::Power(const Worker& w) const {
  return s_.capacity_hints_valid ? w.capacity : std::max(1.0, SlotsOf(w)) / PaceOf(w);
}

// How many workers to ask now, so that what they are likely to save is worth the price.
int LoadBalancerImpl::ProbesFor(const Job& job) {
  const double price = s_.price_probe;
  if (direct_) {
    const int probes = prompt_.Or(1.0) > 0.8 ? kProbes : kProbesStale;
    if (price <= 0) return probes;
    const double most = kProbePoints / price;  // a part of a probe is a chance of one
    return std::min(probes, static_cast<int>(most + random_.Unit()));
  }
  // Peers can't tell what is out at a worker: only the worker does. One is asked after the other
  // until one has room; the first only where many have none, or now and then to see how many.
  const double found = Found(0.5);
  const double gain = kLateByWait * (1 - ClassOf(job.cls).late_weight) * found;
  const int asked = static_cast<int>(job.asked.size());
  const bool worth = price < (asked > 0 ? gain : gain * (1 - found));
  const bool look = asked == 0 && random_.Unit() * price < kProbePoints;
  return worth || look ? std::min(asked > 0 ? 2 : 1, kProbes - asked) : 0;
}

// Exception: where load is told only on probes, a job waits a moment for a few workers' word.
bool LoadBalancerImpl::AskAround(Job& job) {
  const std::vector<int>& all = Pool(ClassOf(job.cls).kind, -1);
  const std::vector<int>& near = Pool(ClassOf(job.cls).kind, s_.zone);
  if (!s_.probing || s_.load_report_source != LoadReportSource::kOnProbe || all.empty())
    return false;
  if (job.expires_at < now_ + 10 * kProbeWaitS) return false;
  job.round = job.asked.size();
  const std::size_t most = job.round + Idx(ProbesFor(job));
  for (std::size_t i = 0; i < 2 * most && job.asked.size() < most; ++i) {
    const bool home = !direct_ && i == 0 && s_.price_cross_zone > 0 && !near.empty();
    const bool drawn = job.asked.empty() && job.cold_drawn >= 0;
    const int w = drawn && i == 0 ? job.cold_drawn : Draw(home ? near : all);
    if (std::count(job.asked.begin(), job.asked.end(), w) > 0 || !Allowed(job, w, -1)) continue;
    job.asked.push_back(w);
    workers_[Idx(w)].probed_at = now_;
    actions_->push_back(Probe{workers_[Idx(w)].name});
  }
  job.awaited = static_cast<int>(job.asked.size() - job.round);
  if (job.awaited == 0) return false;
  asking_.push_back(job.id);
  WatchAt(now_ + kProbeWaitS, job.id, -1);
  return true;
}

int LoadBalancerImpl::Pick(const Job& job, int anchor) {
  const int kind = ClassOf(job.cls).kind;
  const std::vector<int>& all = Pool(kind, -1);
  const std::vector<int>& near = Pool(kind, s_.zone);
  int best = -1, looked = 0;
  double best_score = kInf;
  const auto look = [&](int w, int rank) {
    if (!Allowed(job, w, anchor)) return;
    if (room_keeper_ && anchor < 0 && !room_keeper_->HasCapacityFor(job.id, workers_[Idx(w)].name))
      return;
    ++looked;
    const double score = Score(job, workers_[Idx(w)], rank);
    if (score < best_score) std::tie(best, best_score) = std::pair(w, score);
  };
  if (job.found >= 0) look(job.found, kNoHome);
  for (const int w : job.asked) look(w, kNoHome);
  if (!direct_ && best >= 0 && best_score < kOver) return best;  // it says that it has room
  if (job.key != 0 && !all.empty()) {
    const std::vector<int>& homes = HomesOf(job.key, kind);
    for (std::size_t r = 0; r < homes.size(); ++r) look(homes[r], static_cast<int>(r));
  }
  looked = direct_ ? static_cast<int>(job.asked.size()) - job.awaited : 0;
  const int sample = direct_ ? kSample : kSampleLarge;
  if (!direct_ && job.cold_drawn >= 0) look(job.cold_drawn, kNoHome);
  // More draws than looks: many may be cold and have had their part.
  for (int i = 0; i < 4 * kSample && looked < sample; ++i) {
    const std::vector<int>& from =
        i % 2 == 0 && s_.price_cross_zone > 0 && !near.empty() ? near : all;
    if (!from.empty()) look(Draw(from), kNoHome);
  }
  if (best < 0) {  // rare: nothing sampled will do (few ready, a group, a cold budget)
    const std::size_t start = all.empty() ? 0 : random_.Below(all.size());
    for (std::size_t i = 0; i < all.size(); ++i) look(all[(start + i) % all.size()], kNoHome);
  }
  return best;
}

// The workers a key prefers, by rendezvous hashing: the same everywhere without agreement.
const std::vector<int>& LoadBalancerImpl::HomesOf(std::uint64_t key, int kind) {
  if (homes_version_ != pool_version_ || homes_.size() > 20000) homes_.clear();
  homes_version_ = pool_version_;
  auto [it, fresh] = homes_.try_emplace(key * 31 + static_cast<std::uint64_t>(kind + 1));
  if (fresh) {
    ranked_.clear();  // kept from key to key: most keys are new, and each would allocate anew
    for (const int w : Pool(kind, -1)) ranked_.emplace_back(Mix(key, workers_[Idx(w)].hash), w);
    const auto n = std::min<std::size_t>(kHomes, ranked_.size());
    std::partial_sort(ranked_.begin(), ranked_.begin() + static_cast<std::ptrdiff_t>(n),
                      ranked_.end());
    it->second.reserve(n);
    for (std::size_t i = 0; i < n; ++i) it->second.push_back(ranked_[i].second);
  }
  return it->second;
}

}  // namespace millethollow::balancing
