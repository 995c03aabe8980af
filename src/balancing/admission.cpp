// Buckets, their quotas, and the reports between peers.
#include <algorithm>
#include <cmath>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// Depth absorbs chance: a Poisson stream strays by the root of its count.
constexpr double kBurstS = 0.5;  // steady part of a bucket's depth, in seconds of its rate
constexpr double kBurstDeviations =
    2.0;                            // and this many standard deviations of a second's arrivals
constexpr double kSparseRps = 1.0;  // jobs a second; below, depth outlasts an overload
constexpr double kReturnWindowS =
    0.3;  // a job refused this recently that comes again is the same one
constexpr double kSignalWeightJobs =
    5;  // own word of what found no room weighs by jobs against these
constexpr double kSignalSmoothingS =
    0.5;                                 // sends and 'full' are smoothed over this or one interval
constexpr double kPeerRateWeight = 0.3;  // of the way to peers' rates in a report interval
constexpr double kWorkerRateDecayS =
    20.0;  // what workers carried in good times is remembered this long

void LoadBalancerImpl::On(const RequestArrived& e) {
  if (e.cls < 0 || e.cls >= class_count_ || jobs_.contains(e.id)) return;
  Job job = MakeJob(e, tenant_count_, worker_index_);
  job.max_attempts = settings_.max_attempts;
  memory_per_slot_.Add(job.memory / job.slots, 200);
  Bucket& bucket = buckets_[BucketOf(job)];
  if (!std::exchange(bucket.in_use, true)) {
    bucket.tokens = BurstSize(bucket);
    bucket.tokens_at = now_;
    if (now_ - reported_at_ > report_interval_s_ / 2)
      PublishUsage();  // a new bucket reports at once
  }
  // Demand must not grow with our own refusals: what comes back is not counted again.
  const bool returned = e.retry || recent_rejections_.Take(job.digest, now_ - kReturnWindowS);
  if (!returned) bucket.first_attempts += 1;
  const double more = bucket.rate_rps == kInf ? kInf : bucket.rate_rps * (now_ - bucket.tokens_at);
  bucket.tokens = std::min(BurstSize(bucket), bucket.tokens + more);
  bucket.tokens_at = now_;
  // Exception: a bucket that sees less than a job a second would outlast any overload on its
  // depth. Its jobs are drawn at the quota's share of demand, once each.
  const bool sparse = !full_mesh_ && bucket.rate_rps < kSparseRps;
  if (sparse) bucket.tokens = !returned && random_.Unit() < bucket.admit_share ? 1 : 0;
  if ((bucket.tokens < 1 && !job.MayHaveRun()) || job.expires_at_s <= now_) {
    if (!returned && bucket.rejected < 0xffff) ++bucket.rejected;
    return Reject(job);
  }
  bucket.tokens -= 1;
  DrawSlowStartWorker(job);
  if (bucket.admitted < 0xffff) ++bucket.admitted;
  auto [it, unused] = jobs_.emplace(job.id, std::move(job));
  if (ProbeCandidates(it->second)) return;
  PlaceJob(it->second);
  FinishIfIdle(it->second);
}

double LoadBalancerImpl::BurstSize(const Bucket& b) {
  const double rate = b.rate_rps == kInf ? b.demand_rps : b.rate_rps;
  return 2 + kBurstS * rate + kBurstDeviations * std::sqrt(rate);
}

// Within its aim a refused job that comes back finds the same quotas: advise to wait that long.
void LoadBalancerImpl::Reject(const Job& job) {
  recent_rejections_.Put(job.digest, now_);
  const double wait =
      std::min(settings_.max_retry_after_s, ClassOf(job.class_index).latency_objective_s);
  actions_->push_back(RejectRequest{job.id, settings_.retry_after ? wait : 0.0});
}

// Sends the counts to peers, resets them, and reckons quotas anew.
void LoadBalancerImpl::PublishUsage() {
  const double span =
      std::max(now_ - reported_at_, report_interval_s_ / 2);  // one early job is no rush
  reported_at_ = now_;
  const double keep = std::exp(-span / std::max(kDemandSmoothingS, 2 * report_interval_s_));
  const double quick = std::exp(-span / std::max(kSignalSmoothingS, report_interval_s_));
  std::fill_n(own_rates_.begin(), tenant_count_, 0.0);
  std::vector<UsageReport::Usage> counts;
  for (std::size_t b = 0; b < buckets_.size(); ++b) {
    Bucket& bucket = buckets_[b];
    if (bucket.admitted + bucket.rejected > 0) {
      counts.push_back({static_cast<int>(b), bucket.admitted, bucket.rejected});
    }
    bucket.admitted = bucket.rejected = 0;
    const double rate = bucket.first_attempts / span;
    bucket.demand_rps = has_measured_ ? bucket.demand_rps * keep + rate * (1 - keep) : rate;
    bucket.first_attempts = 0;
    own_rates_[b % Idx(tenant_count_)] += bucket.demand_rps;
  }
  std::vector<std::pair<int, double*>> signals{
      {0, &sends_since_report_}, {1, &full_signals_}, {2, &late_signals_}};
  if (!full_mesh_) signals.insert(signals.end(), {{3, &first_probes_}, {4, &first_probes_free_}});
  for (const auto& [slot, count] : signals) {
    double& rate = own_rates_[Idx(tenant_count_ + slot)];
    rate = has_measured_ ? rate * quick + *count / span * (1 - quick) : *count / span;
    *count = 0;
  }
  const double jobs = own_rates_[Idx(tenant_count_)] * span;
  for (std::size_t i = 0; !full_mesh_ && i < tier_mean_rates_.size(); ++i) {
    const bool signal = i >= Idx(tenant_count_) && i < ProbeIndex() + 2;
    const double weight = signal ? jobs / (jobs + kSignalWeightJobs) : kOwnSampleWeight;
    tier_mean_rates_[i] = has_measured_
                              ? tier_mean_rates_[i] + weight * (own_rates_[i] - tier_mean_rates_[i])
                              : own_rates_[i];
  }
  // What a worker carries in good times; low sends after a cut say nothing of capacity.
  // In a large tier what all send on average says more: a node just back has sent nothing yet.
  const double sent = std::max(own_rates_[Idx(tenant_count_)],
                               full_mesh_ ? 0.0 : tier_mean_rates_[Idx(tenant_count_)]);
  worker_rate_rps_ = WorkerRate(std::max(worker_rate_rps_ * std::exp(-span / kWorkerRateDecayS),
                                         sent / std::max(1, ready_count_)));
  has_measured_ = true;
  if (sibling_.present) NotifySibling();
  if (settings_.peers && settings_.dispatcher_count > 1 && !sibling_.draining) {
    std::vector<int> told;
    for (int i = 0; i < (full_mesh_ ? settings_.dispatcher_count : kGossipFanout); ++i) {
      const int whom =
          full_mesh_ ? i
                     : random_.OtherThan(settings_.dispatcher_index, settings_.dispatcher_count);
      if (whom != settings_.dispatcher_index) told.push_back(whom);
    }
    SendReport(told, !has_heard_peers_, std::move(counts));
  }
  UpdateFleetRate(span);
}

void LoadBalancerImpl::On(const PeerMessage& e) {
  UsageReport report;
  const bool readable = DecodeReport(e.body, layout_, &report);
  if (e.sender == settings_.dispatcher_index && readable && report.BeginsRow()) {
    peers_.sibling.ApplySlotsInFlight(report, now_);
    return UpdatePeerSlots();
  }
  const bool peer = e.sender >= 0 && e.sender < settings_.dispatcher_count &&
                    e.sender != settings_.dispatcher_index;
  if (!settings_.peers || !peer || !readable) return void(++rejected_messages_);
  OnPeerUsage(e.sender, report);
  if (!report.BeginsRow()) return;  // what follows counts once a report
  has_heard_peers_ = true;
  // Rates draw together, but slowly: else the many that have not cut yet undo each cut at once.
  const double weight =
      fleet_rate_rps_ == kInf
          ? 1
          : kPeerRateWeight / (full_mesh_ ? settings_.dispatcher_count - 1 : kGossipFanout);
  if (report.rate > 0)
    fleet_rate_rps_ = std::min(fleet_rate_rps_, 1e12) * (1 - weight) + report.rate * weight;
  // A restarted dispatcher is told at once what the fleet does: not held to one Nth for long.
  if (report.fresh && has_measured_) SendReport({e.sender}, false, {});
}

}  // namespace millethollow::balancing
