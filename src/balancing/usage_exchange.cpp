// Usage exchange: what dispatchers report to each other, and the rates of the whole tier.
#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kSignalWeightJobs = 5;    // own signals weigh by jobs against so many
constexpr double kSignalSmoothingS = 0.5;  // signals are smoothed over this or one interval
constexpr double kPeerRateWeight = 0.3;    // of the way to peers' fleet rates, in a report interval
constexpr double kWorkerRateDecayS = 20.0;  // the largest rate that workers carried fades over this

// Measures this dispatcher's rates, sends them to peers and starts a control round.
void LoadBalancerImpl::PublishUsage() {
  // One early job is not a high rate.
  const double sample_s = std::max(now_ - reported_at_, report_interval_s_ / 2);
  reported_at_ = now_;
  std::vector<UsageReport::Usage> usage = MeasureDemand(sample_s);
  MeasureSignals(sample_s);
  if (!full_mesh_) UpdateTierMeans(sample_s);
  // What a worker carries in good times; few sends after a cut say nothing about capacity. In a
  // large tier the mean of all says more: a dispatcher that has just come back has sent nothing.
  const double sent = std::max(own_rates_[Idx(tenant_count_)],
                               full_mesh_ ? 0.0 : tier_mean_rates_[Idx(tenant_count_)]);
  worker_rate_rps_ = WorkerRate(std::max(worker_rate_rps_ * std::exp(-sample_s / kWorkerRateDecayS),
                                         sent / std::max(1, workers_.ready_count())));
  has_measured_ = true;
  if (sibling_.present) NotifySibling();
  if (settings_.peers && settings_.dispatcher_count > 1 && !sibling_.draining) {
    SendReport(ReportRecipients(), !has_heard_peers_, std::move(usage));
  }
  UpdateFleetRate(sample_s);
}

// Smooths the demand of each bucket, sums it by tenant, and takes the buckets' counts.
std::vector<UsageReport::Usage> LoadBalancerImpl::MeasureDemand(double sample_s) {
  const double keep = std::exp(-sample_s / std::max(kDemandSmoothingS, 2 * report_interval_s_));
  std::fill_n(own_rates_.begin(), tenant_count_, 0.0);
  return admission_.Measure(sample_s, keep, !has_measured_, &own_rates_);
}

// Smooths the rates that follow the tenants' in the row, and resets their counts.
void LoadBalancerImpl::MeasureSignals(double sample_s) {
  const double keep = std::exp(-sample_s / std::max(kSignalSmoothingS, report_interval_s_));
  std::vector<std::pair<int, double*>> signals{
      {0, &sends_since_report_}, {1, &full_signals_}, {2, &late_signals_}};
  if (!full_mesh_) signals.insert(signals.end(), {{3, &first_probes_}, {4, &first_probes_free_}});
  for (const auto& [offset, count] : signals) {
    double& rate = own_rates_[Idx(tenant_count_ + offset)];
    rate = has_measured_ ? rate * keep + *count / sample_s * (1 - keep) : *count / sample_s;
    *count = 0;
  }
}

// Moves the gossiped means of a large tier towards this dispatcher's own rates.
void LoadBalancerImpl::UpdateTierMeans(double sample_s) {
  const double jobs = own_rates_[Idx(tenant_count_)] * sample_s;
  for (std::size_t i = 0; i < tier_mean_rates_.size(); ++i) {
    const bool signal = i >= Idx(tenant_count_) && i < ProbeIndex() + 2;
    const double weight = signal ? jobs / (jobs + kSignalWeightJobs) : kOwnSampleWeight;
    tier_mean_rates_[i] = has_measured_
                              ? tier_mean_rates_[i] + weight * (own_rates_[i] - tier_mean_rates_[i])
                              : own_rates_[i];
  }
}

// All peers, in a large tier a few random ones.
std::vector<int> LoadBalancerImpl::ReportRecipients() {
  std::vector<int> recipients;
  for (int i = 0; i < (full_mesh_ ? settings_.dispatcher_count : kGossipFanout); ++i) {
    const int peer =
        full_mesh_ ? i : random_.OtherThan(settings_.dispatcher_index, settings_.dispatcher_count);
    if (peer != settings_.dispatcher_index) recipients.push_back(peer);
  }
  return recipients;
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
  if (!report.BeginsRow()) return;  // the rest applies once for each report
  has_heard_peers_ = true;
  // Rates converge slowly: else the many peers that have not cut yet would undo each cut at once.
  const double weight =
      kPeerRateWeight / (full_mesh_ ? settings_.dispatcher_count - 1 : kGossipFanout);
  if (report.rate > 0) fleet_rate_.FollowPeer(report.rate, weight);
  // A restarted dispatcher gets the state of the tier at once.
  if (report.fresh && has_measured_) SendReport({e.sender}, false, {});
}

void LoadBalancerImpl::OnPeerUsage(int sender, const UsageReport& report) {
  if (!full_mesh_) return MergeSharedEstimates(report);
  peers_.rows[Idx(sender)].Apply(report, layout_.size(), now_);
  if (report.BeginsRow()) UpdatePeerSlots();
}

// A dispatcher of a large tier ends too few jobs to tell kinds and classes apart by itself: it
// learns from gossiped sums, of times and jobs. The largest slots that peers agree on are taken
// as they are.
void LoadBalancerImpl::MergeSharedEstimates(const UsageReport& report) {
  const std::size_t first = report.first, end = first + report.rates.size();
  for (std::size_t i = first; i < end; ++i)
    tier_mean_rates_[i] = (tier_mean_rates_[i] + report.rates[i - first]) / 2;
  const auto holds = [&](std::size_t at) { return at >= first && at < end; };
  const auto mean = [&](std::size_t at) { return tier_mean_rates_[at] / tier_mean_rates_[at + 1]; };
  const auto known = [&](std::size_t at) { return holds(at) && tier_mean_rates_[at + 1] > 0; };
  for (int c = 0; c < shared_class_count_; ++c) {
    const std::size_t at = SharedEstimateIndex(c, -1);
    if (known(at)) estimates_.AdoptClassRunTime(c, mean(at));
  }
  for (int k = 0; k < estimates_.kinds(); ++k) {
    const std::size_t at = SharedEstimateIndex(-1, k);
    if (!holds(at)) continue;
    if (known(at)) estimates_.AdoptKindPace(k, mean(at));
    const double slots = estimates_.RaiseKindSlots(k, report.rates[at + 2 - first]);
    own_rates_[at + 2] = tier_mean_rates_[at + 2] = slots;
  }
}

// Adds a run to what a large tier learns together. Classes that came by a reload have no place in
// the reports.
void LoadBalancerImpl::ShareRunSample(const Job& job, const Worker& w, const RunSample& sample) {
  const auto add = [this](std::size_t at, double value) {
    own_rates_[at] += value;
    own_rates_[at + 1] += 1;
  };
  if (job.class_index < shared_class_count_) {
    add(SharedEstimateIndex(job.class_index, -1), sample.took_s);
  }
  add(SharedEstimateIndex(-1, w.kind), sample.pace);
}

// Without the usage of buckets. What peers hear includes the sibling process.
UsageReport LoadBalancerImpl::MakeReport(bool fresh, bool to_sibling) const {
  UsageReport report;
  report.fresh = fresh;
  report.rate = fleet_rate_.limits() ? fleet_rate_.rate_rps() : 0.0;
  report.rates = full_mesh_ ? own_rates_ : tier_mean_rates_;
  report.hears_all = agreed_share_.hears_all();
  report.view = agreed_share_.view();
  for (const Worker& w : workers_) {
    if (!full_mesh_ && !to_sibling) break;  // a large tier gossips no slots
    const double held = reservations_ ? reservations_->ReservedSlots(w.name) : 0.0;
    const double slots = w.slots_in_flight + held + (to_sibling ? 0.0 : w.sibling_slots_in_flight);
    if (slots > 0)
      report.slots_in_flight.emplace_back(Tag(w), static_cast<int>(std::lround(slots)));
  }
  return report;
}

// All datagrams of a report are sent at once: what is computed from the rates
// (kPeerTimeoutReports, the hold of AgreedShare, the weights of a large tier's means) assumes
// them to be no older than one interval. `counts` is empty where they have been sent already.
void LoadBalancerImpl::SendReport(const std::vector<int>& recipients, bool fresh,
                                  std::vector<UsageReport::Usage> counts) {
  UsageReport report = MakeReport(fresh, false);
  report.usage = std::move(counts);
  const std::vector<std::string> datagrams = EncodeReport(report, layout_);
  for (const int peer : recipients) {
    for (const std::string& datagram : datagrams)
      actions_->push_back(SendPeerMessage{peer, datagram});
  }
}

// The sibling process uses the slots in flight only, which the first datagram has.
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
  return agreed_share_.WorkerRate(mine, heard_sends_rps_ / std::max(1, workers_.ready_count()),
                                  Idx(tenant_count_));
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

void LoadBalancerImpl::On(const SiblingProcess& e) {
  sibling_ = e;
  if (e.present) NotifySibling();
}

}  // namespace millethollow::balancing
