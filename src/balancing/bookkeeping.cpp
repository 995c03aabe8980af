// What the decision module keeps in order: nothing is decided here.
#include <algorithm>
#include <cmath>
#include <numeric>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

LoadBalancerImpl::LoadBalancerImpl(const Settings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed), pools_(settings_.kinds, settings_.zones) {
  SizeForSettings();
  full_mesh_ = settings_.dispatcher_count - 1 <= kMaxFullMeshPeers;
  report_interval_s_ =
      kReportIntervalS * std::max(1.0, std::cbrt(settings_.dispatcher_count / 4.0));
  shared_class_count_ = full_mesh_ ? 0 : class_count_;
  layout_ = {.tenants = Idx(tenant_count_),
             .large_tier = !full_mesh_,
             .classes = Idx(shared_class_count_),
             .kinds = Idx(std::max(1, settings_.kinds))};
  own_rates_.assign(layout_.size(), 0.0);
  tier_mean_rates_ = own_rates_;
  peers_.rows.resize(full_mesh_ && settings_.peers ? Idx(settings_.dispatcher_count) : 0);
  load_unreported_ =
      settings_.workers_notify_start && settings_.load_report_source == LoadReportSource::kOff;
  hedges_per_attempt_ = load_unreported_ ? kMaxHedgesPerAttempt : 0.0;
  may_shed_queued_ =
      settings_.cancel &&
      (settings_.workers_notify_start ? load_unreported_
                                      : settings_.load_report_source == LoadReportSource::kOnProbe);
  kind_pace_.resize(Idx(std::max(1, settings_.kinds)));
  kind_slots_.assign(kind_pace_.size(), 0.0);
  kind_max_slots_.assign(kind_pace_.size(), {0.0, -1});
  group_wait_s_.assign(kind_pace_.size() * Idx(zones()), 0.0);
  group_success_.assign(group_wait_s_.size(), 1.0);
}

// To the settings, at the start and when they change. By class first, so that indices stay.
void LoadBalancerImpl::SizeForSettings() {
  class_count_ = static_cast<int>(settings_.classes.size());
  if (settings_.tenants.empty()) settings_.tenants.push_back({.share = 1});
  tenant_count_ = static_cast<int>(settings_.tenants.size());
  buckets_.resize(Idx(class_count_ * tenant_count_));
  class_run_time_.resize(settings_.classes.size());
  class_hint_fit_.resize(settings_.classes.size());
}

void LoadBalancerImpl::On(const SettingsChanged& e) {
  settings_ = *e.settings;
  SizeForSettings();
  for (const int c : *e.redefined_classes) {
    class_run_time_[Idx(c)] = {};
    class_hint_fit_[Idx(c)] = {};
    for (int i = 0; c < shared_class_count_ && i < 2; ++i)
      own_rates_[SharedEstimateIndex(c, -1) + Idx(i)] =
          tier_mean_rates_[SharedEstimateIndex(c, -1) + Idx(i)] = 0;
    std::fill_n(buckets_.begin() + c * tenant_count_, tenant_count_, Bucket{});
  }
}

void LoadBalancerImpl::On(const SiblingProcess& e) {
  sibling_ = e;
  if (e.present) NotifySibling();
}

// A worker off the list this long, with nothing of ours out and named by no open job, gives its
// place to the next new one. Else every name that a list ever carried stays, and each list and
// peer report costs more the longer the node runs while workers are replaced under new names.
constexpr double kForgetWorkerS = 300;
constexpr double kSlotResidue = 1e-6;  // below the least slots of a job: a residue of rounding

int LoadBalancerImpl::AddWorker(const std::string& name, std::vector<char>* listed) {
  Worker fresh{.name = name, .hash = HashText(name), .slot_limit = mean_slot_limit_};
  const auto named = [this](int i) {
    return std::any_of(jobs_.begin(), jobs_.end(), [i](const auto& entry) {
      const Job& job = entry.second;
      return job.slow_start_worker == i || job.found_worker == i ||
             std::find(job.probed.begin(), job.probed.end(), i) != job.probed.end() ||
             job.Any([i](const Attempt& a) { return a.worker == i; });
    });
  };
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    const Worker& w = workers_[i];
    const int at = static_cast<int>(i);
    if (w.listed || w.out_of_service || w.slots_in_flight > kSlotResidue ||
        w.memory_in_flight > kSlotResidue || now_ - w.seen_at < kForgetWorkerS || named(at)) {
      continue;
    }
    worker_index_.erase(w.name);
    for (auto& [most, who] : kind_max_slots_) {
      if (who == static_cast<std::ptrdiff_t>(i)) std::tie(most, who) = std::pair(0.0, -1);
    }
    workers_[i] = std::move(fresh);
    return at;
  }
  workers_.push_back(std::move(fresh));
  listed->push_back(1);
  return static_cast<int>(workers_.size()) - 1;
}

void LoadBalancerImpl::RebuildPools() {  // only when the list or an ejection changes
  pools_.Rebuild(workers_);
  ready_count_ = ejected_count_ = 0;
  double limits = 0;
  for (const Worker& w : workers_) {
    if (!w.ready) continue;
    ready_count_ += 1;
    ejected_count_ += w.ejected;
    limits += w.slot_limit;
  }
  if (ready_count_ > 0) mean_slot_limit_ = limits / ready_count_;
  UpdateThroughputs();
  ++pool_version_;
  ++version_;
}

void LoadBalancerImpl::UpdateThroughputs() {  // paces and slots are learned all the time, and what
                                              // is drawn
                                              // goes by them
  max_throughput_ = 1e-9;
  double sum = 0;
  for (const Worker& w : workers_) {
    if (!w.ready) continue;
    sum += ThroughputOf(w);
    max_throughput_ = std::max(max_throughput_, ThroughputOf(w));
  }
  mean_throughput_ = sum > 0 ? sum / ready_count_ : 1.0;
}

void LoadBalancerImpl::OnPeerUsage(int sender, const UsageReport& report) {
  if (!full_mesh_) return MergeSharedEstimates(report);
  peers_.rows[Idx(sender)].Apply(report, layout_.size(), now_);
  if (report.BeginsRow()) UpdatePeerSlots();
}

// A node of a large tier ends too few jobs to tell kinds and classes apart by itself: it learns
// from the sums of all, times and jobs each. The most slots that peers agree on are taken as they
// are.
void LoadBalancerImpl::MergeSharedEstimates(const UsageReport& told) {
  const std::size_t first = told.first, end = first + told.rates.size();
  for (std::size_t i = first; i < end; ++i)
    tier_mean_rates_[i] = (tier_mean_rates_[i] + told.rates[i - first]) / 2;
  const auto holds = [&](std::size_t at) { return at >= first && at < end; };
  const auto learn = [&](std::size_t at, Mean& mean) {
    if (!holds(at) || tier_mean_rates_[at + 1] <= 0) return;
    mean = {tier_mean_rates_[at] / tier_mean_rates_[at + 1], std::max(mean.n, kSharedSampleWeight)};
  };
  for (int c = 0; c < shared_class_count_; ++c)
    learn(SharedEstimateIndex(c, -1), class_run_time_[Idx(c)]);
  for (int k = 0; k < static_cast<int>(kind_pace_.size()); ++k) {
    const std::size_t at = SharedEstimateIndex(-1, k);
    if (!holds(at)) continue;
    learn(at, kind_pace_[Idx(k)]);
    kind_slots_[Idx(k)] = std::max(kind_slots_[Idx(k)], told.rates[at + 2 - first]);
    own_rates_[at + 2] = tier_mean_rates_[at + 2] = kind_slots_[Idx(k)];
  }
}

Attempt* LoadBalancerImpl::FindAttempt(std::string_view id, int attempt, Job** job) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || Idx(attempt) >= it->second.attempts.size()) return nullptr;
  *job = &it->second;
  return &it->second.attempts[Idx(attempt)];
}

void LoadBalancerImpl::CheckAt(double at, const std::string& id, int attempt) {
  overdue_checks_.push({at, ++next_check_order_, id, attempt});
  if (!check_timer_set_) actions_->push_back(SetTimer{kOverdueTimer, kOverdueCheckS / 4});
  check_timer_set_ = true;
}

void LoadBalancerImpl::CancelOpenAttempts(const Job& job, bool only_waiting) {
  for (std::size_t i = 0; settings_.cancel && i < job.attempts.size(); ++i) {
    const Attempt& a = job.attempts[i];
    if (!a.open || (only_waiting && a.started_at >= 0)) continue;
    actions_->push_back(CancelAttempt{job.id, static_cast<int>(i)});
  }
}

// Without the counts of buckets. Peers hear of both our processes.
UsageReport LoadBalancerImpl::MakeReport(bool fresh, bool to_mate) const {
  UsageReport report;
  report.fresh = fresh;
  report.rate = fleet_rate_rps_ == kInf ? 0.0 : fleet_rate_rps_;
  report.rates = full_mesh_ ? own_rates_ : tier_mean_rates_;
  report.hears_all = agreed_share_.hears_all();
  report.view = agreed_share_.view();
  for (const Worker& w : workers_) {
    if (!full_mesh_ && !to_mate) break;  // one of many can't say how much is out there
    const double held = reservations_ ? reservations_->ReservedSlots(w.name) : 0.0;
    const double slots = w.slots_in_flight + held + (to_mate ? 0.0 : w.sibling_slots_in_flight);
    if (slots > 0)
      report.slots_in_flight.emplace_back(Tag(w), static_cast<int>(std::lround(slots)));
  }
  return report;
}

// All datagrams of a report go out at once. One in turn with each report would cost less, but each
// rate would then be as old as there are datagrams, times the interval; what is reckoned from them
// (kPeerTimeoutReports, the hold of AgreedShare, the weights of a large tier's means) takes them
// for no older than one. `counts` is empty where the counts have gone out already.
void LoadBalancerImpl::SendReport(const std::vector<int>& whom, bool fresh,
                                  std::vector<UsageReport::Usage> counts) {
  UsageReport report = MakeReport(fresh, false);
  report.usage = std::move(counts);
  const std::vector<std::string> datagrams = EncodeReport(report, layout_);
  for (const int peer : whom) {
    for (const std::string& datagram : datagrams)
      actions_->push_back(SendPeerMessage{peer, datagram});
  }
}

// Our other process heeds the slots out alone: they are where the row begins.
void LoadBalancerImpl::NotifySibling() {
  actions_->push_back(SendPeerMessage{settings_.dispatcher_index,
                                      EncodeReport(MakeReport(false, true), layout_).front()});
}

std::vector<double> LoadBalancerImpl::TierRates() {
  const double since = now_ - kPeerTimeoutReports * report_interval_s_;
  if (!agreed_share_.on()) {
    return full_mesh_ ? peers_.TierRates(own_rates_, settings_.dispatcher_index, since)
                      : Times(tier_mean_rates_, settings_.dispatcher_count);
  }
  if (!full_mesh_) {
    std::vector<double> fleet = Times(tier_mean_rates_, 1 / std::max(agreed_share_.share(), 1e-6));
    agreed_share_.ApplyTenantRates(own_rates_, settings_.tenants, &fleet);
    return fleet;
  }
  std::vector<double> all = own_rates_;
  int heard = 0;
  bool others_hear = true;
  for (std::size_t p = 0; p < peers_.rows.size(); ++p) {
    const PeerUsage& peer = peers_.rows[p];
    if (static_cast<int>(p) == settings_.dispatcher_index || !peer.RowKnown(since)) continue;
    if (peer.view == 0 || peer.view != agreed_share_.view()) continue;
    heard += 1;
    others_hear = others_hear && peer.hears_all;
    for (std::size_t i = 0; i < all.size(); ++i) all[i] += peer.rates[i];
  }
  heard_sends_rps_ = all[Idx(tenant_count_)];
  std::vector<double> fleet = agreed_share_.TierRates(
      now_, (kPeerTimeoutReports + 2) * report_interval_s_, own_rates_, all, heard, others_hear);
  agreed_share_.ApplyTenantRates(own_rates_, settings_.tenants, &fleet);
  return fleet;
}

double LoadBalancerImpl::WorkerRate(double mine) {
  return agreed_share_.WorkerRate(mine, heard_sends_rps_ / std::max(1, ready_count_),
                                  Idx(tenant_count_));
}

void LoadBalancerImpl::SetFleetShare(const FleetShare& parts) {
  agreed_share_.Set(parts);
  for (std::size_t b = 0; b < buckets_.size(); ++b) {
    Bucket& bucket = buckets_[b];
    const std::size_t tenant = b % Idx(tenant_count_);
    const double given = agreed_share_.AdmitShare(tenant, own_rates_[tenant]);
    if (bucket.rate_rps != kInf) {
      bucket.rate_rps *= agreed_share_.Factor(tenant);
    } else if (fleet_rate_rps_ != kInf && agreed_share_.Factor(tenant) < 1 && given < 1) {
      // There was enough for all until now.
      bucket.admit_share = given;
      bucket.rate_rps = bucket.demand_rps * given;
    }
    // What was saved up of a larger given rate goes with it: others may use that rate now.
    if (agreed_share_.HasTenantRate(tenant))
      bucket.tokens *= std::min(1.0, agreed_share_.Factor(tenant));
  }
}

std::vector<WorkerView> LoadBalancerImpl::WorkerViews() const {
  std::vector<WorkerView> views;
  views.reserve(workers_.size());
  for (const Worker& w : workers_) {
    views.push_back(
        {.worker = w.name,
         .kind = w.kind,
         .usable = w.ready && !w.ejected,
         .warming_up = WarmingUp(w),
         .in_other_zone = settings_.price_cross_zone > 0 && w.zone != settings_.zone,
         .capacity_slots = w.capacity_slots,
         .capacity_memory = w.capacity_memory,
         .peer_slots_in_flight = w.peer_slots_in_flight,
         .reported_free_slots =
             now_ - w.reported_at < kLoadReportFreshS ? w.reported_free_slots : -1,
         .own_slots_at_report = std::max(0.0, w.slots_in_flight - w.slots_sent_since_report)});
  }
  return views;
}

double LoadBalancerImpl::DemandShare() const {
  const auto sum = [this](const std::vector<double>& rates) {
    return std::accumulate(rates.begin(), rates.begin() + tenant_count_, 0.0);
  };
  const double all = full_mesh_
                         ? sum(peers_.TierRates(own_rates_, settings_.dispatcher_index,
                                                now_ - kPeerTimeoutReports * report_interval_s_))
                         : settings_.dispatcher_count * sum(tier_mean_rates_);
  if (agreed_share_.on()) return agreed_share_.share();
  const double even = 1.0 / std::max(1, settings_.dispatcher_count);
  return all > 0 && has_measured_ ? std::clamp(sum(own_rates_) / all, even / 4, 1.0) : even;
}

}  // namespace millethollow::balancing
