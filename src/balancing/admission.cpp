// Buckets, their quotas, and the reports between peers.
#include <algorithm>
#include <cmath>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// Depth absorbs chance: a Poisson stream strays by the root of its count.
constexpr double kDepthS = 0.5;      // steady part of a bucket's depth, in seconds of its rate
constexpr double kDepthRoots = 2.0;  // and this many standard deviations of a second's arrivals
constexpr double kSparse = 1.0;      // jobs a second; below, depth outlasts an overload
constexpr double kReturnS = 0.3;     // a job refused this recently that comes again is the same one
constexpr double kSignalJobs = 5;    // own word of what found no room weighs by jobs against these
constexpr double kFullS = 0.5;       // sends and 'full' are smoothed over this or one interval
constexpr double kFollow = 0.3;      // of the way to peers' rates in a report interval
constexpr double kCarriedS = 20.0;   // what workers carried in good times is remembered this long

void LoadBalancerImpl::On(const RequestArrived& e) {
  if (e.cls < 0 || e.cls >= classes_ || jobs_.contains(e.id)) return;
  Job job = JobOf(e, tenants_, index_);
  job.max_attempts = s_.max_attempts;
  memory_.Add(job.memory / job.slots, 200);
  Bucket& bucket = buckets_[BucketOf(job)];
  if (!std::exchange(bucket.known, true)) {
    bucket.tokens = Depth(bucket);
    bucket.at = now_;
    if (now_ - reported_at_ > interval_ / 2) Report();  // a new bucket reports at once
  }
  // Demand must not grow with our own refusals: what comes back is not counted again.
  const bool returned = e.retry || refused_.Take(job.print, now_ - kReturnS);
  if (!returned) bucket.seen += 1;
  const double more = bucket.rate == kInf ? kInf : bucket.rate * (now_ - bucket.at);
  bucket.tokens = std::min(Depth(bucket), bucket.tokens + more);
  bucket.at = now_;
  // Exception: a bucket that sees less than a job a second would outlast any overload on its
  // depth. Its jobs are drawn at the quota's share of demand, once each.
  const bool sparse = !direct_ && bucket.rate < kSparse;
  if (sparse) bucket.tokens = !returned && random_.Unit() < bucket.share ? 1 : 0;
  if ((bucket.tokens < 1 && !job.MayHaveRun()) || job.expires_at <= now_) {
    if (!returned && bucket.denied < 0xffff) ++bucket.denied;
    return Decline(job);
  }
  bucket.tokens -= 1;
  DrawCold(job);
  if (bucket.allowed < 0xffff) ++bucket.allowed;
  auto [it, unused] = jobs_.emplace(job.id, std::move(job));
  if (AskAround(it->second)) return;
  Place(it->second);
  Settle(it->second);
}

double LoadBalancerImpl::Depth(const Bucket& b) {
  const double rate = b.rate == kInf ? b.demand : b.rate;
  return 2 + kDepthS * rate + kDepthRoots * std::sqrt(rate);
}

// Within its aim a refused job that comes back finds the same quotas: advise to wait that long.
void LoadBalancerImpl::Decline(const Job& job) {
  refused_.Put(job.print, now_);
  const double wait = std::min(s_.max_retry_after_s, ClassOf(job.cls).latency_objective_s);
  actions_->push_back(RejectRequest{job.id, s_.retry_after ? wait : 0.0});
}

// Sends the counts to peers, resets them, and reckons quotas anew.
void LoadBalancerImpl::Report() {
  const double span = std::max(now_ - reported_at_, interval_ / 2);  // one early job is no rush
  reported_at_ = now_;
  const double keep = std::exp(-span / std::max(kDemandS, 2 * interval_));
  const double quick = std::exp(-span / std::max(kFullS, interval_));
  std::fill_n(own_.begin(), tenants_, 0.0);
  std::vector<UsageReport::Usage> counts;
  for (std::size_t b = 0; b < buckets_.size(); ++b) {
    Bucket& bucket = buckets_[b];
    if (bucket.allowed + bucket.denied > 0) {
      counts.push_back({static_cast<int>(b), bucket.allowed, bucket.denied});
    }
    bucket.allowed = bucket.denied = 0;
    const double rate = bucket.seen / span;
    bucket.demand = measured_ ? bucket.demand * keep + rate * (1 - keep) : rate;
    bucket.seen = 0;
    own_[b % Idx(tenants_)] += bucket.demand;
  }
  std::vector<std::pair<int, double*>> signals{{0, &sends_}, {1, &fulls_}, {2, &lates_}};
  if (!direct_) signals.insert(signals.end(), {{3, &asked_}, {4, &roomy_}});
  for (const auto& [slot, count] : signals) {
    double& rate = own_[Idx(tenants_ + slot)];
    rate = measured_ ? rate * quick + *count / span * (1 - quick) : *count / span;
    *count = 0;
  }
  const double jobs = own_[Idx(tenants_)] * span;
  for (std::size_t i = 0; !direct_ && i < mean_.size(); ++i) {
    const bool signal = i >= Idx(tenants_) && i < AskedAt() + 2;
    const double weight = signal ? jobs / (jobs + kSignalJobs) : kOwnWeight;
    mean_[i] = measured_ ? mean_[i] + weight * (own_[i] - mean_[i]) : own_[i];
  }
  // What a worker carries in good times; low sends after a cut say nothing of capacity.
  // In a large tier what all send on average says more: a node just back has sent nothing yet.
  const double sent = std::max(own_[Idx(tenants_)], direct_ ? 0.0 : mean_[Idx(tenants_)]);
  carried_ = Carried(std::max(carried_ * std::exp(-span / kCarriedS), sent / std::max(1, ready_)));
  measured_ = true;
  if (mate_.present) TellMate();
  if (s_.peers && s_.dispatcher_count > 1 && !mate_.draining) {
    std::vector<int> told;
    for (int i = 0; i < (direct_ ? s_.dispatcher_count : kFanout); ++i) {
      const int whom = direct_ ? i : random_.OtherThan(s_.dispatcher_index, s_.dispatcher_count);
      if (whom != s_.dispatcher_index) told.push_back(whom);
    }
    TellPeers(told, !heard_peers_, std::move(counts));
  }
  Control(span);
}

void LoadBalancerImpl::On(const PeerMessage& e) {
  UsageReport report;
  const bool readable = DecodeReport(e.body, layout_, &report);
  if (e.sender == s_.dispatcher_index && readable && report.BeginsRow()) {
    peers_.mate.TakeOut(report, now_);
    return SumOthers();
  }
  const bool peer =
      e.sender >= 0 && e.sender < s_.dispatcher_count && e.sender != s_.dispatcher_index;
  if (!s_.peers || !peer || !readable) return void(++refused_messages_);
  Take(e.sender, report);
  if (!report.BeginsRow()) return;  // what follows counts once a report
  heard_peers_ = true;
  // Rates draw together, but slowly: else the many that have not cut yet undo each cut at once.
  const double weight = rate_ == kInf ? 1 : kFollow / (direct_ ? s_.dispatcher_count - 1 : kFanout);
  if (report.rate > 0) rate_ = std::min(rate_, 1e12) * (1 - weight) + report.rate * weight;
  // A restarted dispatcher is told at once what the fleet does: not held to one Nth for long.
  if (report.fresh && measured_) TellPeers({e.sender}, false, {});
}

}  // namespace millethollow::balancing
