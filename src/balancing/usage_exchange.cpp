// Usage exchange: the reports of dispatchers to each other, and the rates of the whole tier.
#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// An own signal that covers n requests has the weight n / (n + this) when it updates the gossiped
// mean.
constexpr double kSignalWeightRequests = 5;
// Smoothing time of signals, at least one report interval.
constexpr double kSignalSmoothingS = 0.5;
// Part of the way towards the peers' fleet rates that the own rate moves per report interval.
constexpr double kPeerRateWeight = 0.3;
constexpr double kWorkerRateDecayS = 20.0;  // decay time of the largest rate that workers carried

// Measures this dispatcher's rates, sends them to its peers and runs a control round.
void LoadBalancerImpl::PublishUsage() {
  // A single request in a short interval is not a high rate.
  const double sample_s = std::max(now_ - reported_at_, report_interval_s_ / 2);
  reported_at_ = now_;
  std::vector<UsageReport::Usage> usage = MeasureDemand(sample_s);
  MeasureSignals(sample_s);
  if (!full_mesh_) UpdateTierMeans(sample_s);
  // The rate that a worker carries in normal operation. It decays slowly, so that fewer sends after
  // a cut do not lower it at once. In a large tier the gossiped mean is the better estimate: a
  // dispatcher that has just restarted has sent nothing.
  const double sends_rps = std::max(own_rates_[ToIndex(tenant_count_)],
                                    full_mesh_ ? 0.0 : tier_mean_rates_[ToIndex(tenant_count_)]);
  worker_rate_rps_ = WorkerRate(std::max(worker_rate_rps_ * std::exp(-sample_s / kWorkerRateDecayS),
                                         sends_rps / std::max(1, workers_.ready_count())));
  has_measured_ = true;
  if (sibling_.present) NotifySibling();
  if (settings_.peers && settings_.dispatcher_count > 1 && !sibling_.draining) {
    SendReport(ReportRecipients(), !has_received_reports_, std::move(usage));
  }
  UpdateFleetRate(sample_s);
}

// Smooths the demand of each bucket, sums it by tenant, and returns and resets the counts of the
// buckets.
std::vector<UsageReport::Usage> LoadBalancerImpl::MeasureDemand(double sample_s) {
  const double keep_weight =
      std::exp(-sample_s / std::max(kDemandSmoothingS, 2 * report_interval_s_));
  std::fill_n(own_rates_.begin(), tenant_count_, 0.0);
  return admission_.Measure(sample_s, keep_weight, !has_measured_, &own_rates_);
}

// Smooths the rates that follow the tenants' in the row, and resets their counts.
void LoadBalancerImpl::MeasureSignals(double sample_s) {
  const double keep_weight = std::exp(-sample_s / std::max(kSignalSmoothingS, report_interval_s_));
  std::vector<std::pair<int, double*>> signals{
      {0, &sends_since_report_}, {1, &found_full_count_}, {2, &late_start_count_}};
  if (!full_mesh_) signals.insert(signals.end(), {{3, &first_probes_}, {4, &first_probes_free_}});
  for (const auto& [offset, count] : signals) {
    double& smoothed_rate = own_rates_[ToIndex(tenant_count_ + offset)];
    smoothed_rate = has_measured_
                        ? smoothed_rate * keep_weight + *count / sample_s * (1 - keep_weight)
                        : *count / sample_s;
    *count = 0;
  }
}

// Moves the gossiped means of a large tier towards this dispatcher's own rates.
void LoadBalancerImpl::UpdateTierMeans(double sample_s) {
  const double requests = own_rates_[ToIndex(tenant_count_)] * sample_s;
  for (std::size_t index = 0; index < tier_mean_rates_.size(); ++index) {
    const bool is_signal = index >= ToIndex(tenant_count_) && index < ProbeIndex() + 2;
    const double weight =
        is_signal ? requests / (requests + kSignalWeightRequests) : kOwnRateWeight;
    tier_mean_rates_[index] =
        has_measured_
            ? tier_mean_rates_[index] + weight * (own_rates_[index] - tier_mean_rates_[index])
            : own_rates_[index];
  }
}

// Returns the peers that get the next report: all, or in a large tier a few random ones.
std::vector<int> LoadBalancerImpl::ReportRecipients() {
  std::vector<int> recipients;
  for (int index = 0; index < (full_mesh_ ? settings_.dispatcher_count : kGossipFanout); ++index) {
    const int recipient =
        full_mesh_ ? index
                   : random_.OtherThan(settings_.dispatcher_index, settings_.dispatcher_count);
    if (recipient != settings_.dispatcher_index) recipients.push_back(recipient);
  }
  return recipients;
}

void LoadBalancerImpl::On(const PeerMessage& event) {
  UsageReport report;
  const bool valid = DecodeReport(event.body, layout_, &report);
  if (event.sender == settings_.dispatcher_index && valid && report.BeginsRow()) {
    peers_.sibling.ApplySlotsInFlight(report, now_);
    return UpdatePeerSlots();
  }
  const bool from_peer = event.sender >= 0 && event.sender < settings_.dispatcher_count &&
                         event.sender != settings_.dispatcher_index;
  if (!settings_.peers || !from_peer || !valid) return void(++rejected_messages_);
  OnPeerUsage(event.sender, report);
  if (!report.BeginsRow()) return;  // the rest applies once per report
  has_received_reports_ = true;
  // The rate follows those of the peers slowly: otherwise the many peers that have not cut theirs
  // yet would undo each cut at once.
  const double weight =
      kPeerRateWeight / (full_mesh_ ? settings_.dispatcher_count - 1 : kGossipFanout);
  if (report.fleet_rate_rps > 0) fleet_rate_.FollowPeer(report.fleet_rate_rps, weight);
  // A restarted dispatcher gets the state of the tier at once.
  if (report.reply_requested && has_measured_) SendReport({event.sender}, false, {});
}

void LoadBalancerImpl::OnPeerUsage(int sender, const UsageReport& report) {
  if (!full_mesh_) return MergeSharedEstimates(report);
  peers_.rows[ToIndex(sender)].Apply(report, layout_.size(), now_);
  if (report.BeginsRow()) UpdatePeerSlots();
}

// Merges a peer's report into the gossiped means and the shared estimates. A dispatcher of a large
// tier completes too few requests to distinguish kinds and classes by itself: it learns from
// gossiped sums of run times and requests. The largest slots that peers agree on are adopted as
// they are.
void LoadBalancerImpl::MergeSharedEstimates(const UsageReport& report) {
  const std::size_t begin = report.first_index, end = begin + report.rates.size();
  for (std::size_t index = begin; index < end; ++index)
    tier_mean_rates_[index] = (tier_mean_rates_[index] + report.rates[index - begin]) / 2;
  const auto contains = [&](std::size_t offset) { return offset >= begin && offset < end; };
  const auto estimate = [&](std::size_t offset) {
    return tier_mean_rates_[offset] / tier_mean_rates_[offset + 1];
  };
  const auto has_estimate = [&](std::size_t offset) {
    return contains(offset) && tier_mean_rates_[offset + 1] > 0;
  };
  for (int class_index = 0; class_index < shared_class_count_; ++class_index) {
    const std::size_t offset = SharedEstimateIndex(class_index, -1);
    if (has_estimate(offset)) estimates_.AdoptClassRunTime(class_index, estimate(offset));
  }
  for (int kind = 0; kind < estimates_.kinds(); ++kind) {
    const std::size_t offset = SharedEstimateIndex(-1, kind);
    if (!contains(offset)) continue;
    if (has_estimate(offset)) estimates_.AdoptKindSlowdown(kind, estimate(offset));
    const double slots = estimates_.RaiseKindSlots(kind, report.rates[offset + 2 - begin]);
    own_rates_[offset + 2] = tier_mean_rates_[offset + 2] = slots;
  }
}

// Adds a run to the estimates that a large tier shares. Classes added by a reload have no place in
// the reports.
void LoadBalancerImpl::ShareRunSample(const Request& request, const Worker& worker,
                                      const RunSample& sample) {
  const auto add_sample = [this](std::size_t offset, double value) {
    own_rates_[offset] += value;
    own_rates_[offset + 1] += 1;
  };
  if (request.class_index < shared_class_count_) {
    add_sample(SharedEstimateIndex(request.class_index, -1), sample.run_time_s);
  }
  add_sample(SharedEstimateIndex(-1, worker.kind), sample.slowdown);
}

// Builds a report without the usage of buckets. For peers it includes the sibling process.
UsageReport LoadBalancerImpl::MakeReport(bool reply_requested, bool to_sibling) const {
  UsageReport report;
  report.reply_requested = reply_requested;
  report.fleet_rate_rps = fleet_rate_.limits() ? fleet_rate_.rate_rps() : 0.0;
  report.rates = full_mesh_ ? own_rates_ : tier_mean_rates_;
  report.receives_all = agreed_share_.receives_all();
  report.view = agreed_share_.view();
  for (const Worker& worker : workers_) {
    if (!full_mesh_ && !to_sibling) break;  // a large tier gossips no slots
    const double reserved_slots = reservations_ ? reservations_->ReservedSlots(worker.name) : 0.0;
    const double slots = worker.slots_in_flight + reserved_slots +
                         (to_sibling ? 0.0 : worker.sibling_slots_in_flight);
    if (slots > 0)
      report.slots_in_flight.emplace_back(Tag(worker), static_cast<int>(std::lround(slots)));
  }
  return report;
}

// Sends all datagrams of a report at once. What is computed from the rates (kPeerTimeoutReports,
// the hold time of AgreedShare, the weights of a large tier's means) assumes that they are no older
// than one interval. `usage` is empty if the counts have been sent already.
void LoadBalancerImpl::SendReport(const std::vector<int>& recipients, bool reply_requested,
                                  std::vector<UsageReport::Usage> usage) {
  UsageReport report = MakeReport(reply_requested, false);
  report.usage = std::move(usage);
  const std::vector<std::string> datagrams = EncodeReport(report, layout_);
  for (const int recipient : recipients) {
    for (const std::string& datagram : datagrams)
      actions_->push_back(SendPeerMessage{recipient, datagram});
  }
}

// The sibling process uses only the slots in flight, which the first datagram contains.
void LoadBalancerImpl::NotifySibling() {
  actions_->push_back(SendPeerMessage{settings_.dispatcher_index,
                                      EncodeReport(MakeReport(false, true), layout_).front()});
}

std::vector<double> LoadBalancerImpl::TierRates() {
  const double since = now_ - kPeerTimeoutReports * report_interval_s_;
  if (!agreed_share_.enabled()) {
    return full_mesh_ ? peers_.TierRates(own_rates_, settings_.dispatcher_index, since)
                      : Scaled(tier_mean_rates_, settings_.dispatcher_count);
  }
  if (!full_mesh_) {
    std::vector<double> tier_rates =
        Scaled(tier_mean_rates_, 1 / std::max(agreed_share_.share(), 1e-6));
    agreed_share_.ApplyTenantRates(own_rates_, settings_.tenants, &tier_rates);
    return tier_rates;
  }
  std::vector<double> received_rates = own_rates_;
  int reporting = 0;
  bool others_receive_all = true;
  for (std::size_t peer_index = 0; peer_index < peers_.rows.size(); ++peer_index) {
    const PeerUsage& usage = peers_.rows[peer_index];
    if (static_cast<int>(peer_index) == settings_.dispatcher_index || !usage.RowKnown(since))
      continue;
    if (usage.view == 0 || usage.view != agreed_share_.view()) continue;
    reporting += 1;
    others_receive_all = others_receive_all && usage.receives_all;
    for (std::size_t index = 0; index < received_rates.size(); ++index)
      received_rates[index] += usage.rates[index];
  }
  received_sends_rps_ = received_rates[ToIndex(tenant_count_)];
  std::vector<double> tier_rates =
      agreed_share_.TierRates(now_, (kPeerTimeoutReports + 2) * report_interval_s_, own_rates_,
                              received_rates, reporting, others_receive_all);
  agreed_share_.ApplyTenantRates(own_rates_, settings_.tenants, &tier_rates);
  return tier_rates;
}

double LoadBalancerImpl::WorkerRate(double own_rps) {
  return agreed_share_.WorkerRate(
      own_rps, received_sends_rps_ / std::max(1, workers_.ready_count()), ToIndex(tenant_count_));
}

double LoadBalancerImpl::DemandShare() const {
  const auto demand_sum = [this](const std::vector<double>& rates) {
    return std::accumulate(rates.begin(), rates.begin() + tenant_count_, 0.0);
  };
  const double demand_rps =
      full_mesh_ ? demand_sum(peers_.TierRates(own_rates_, settings_.dispatcher_index,
                                               now_ - kPeerTimeoutReports * report_interval_s_))
                 : settings_.dispatcher_count * demand_sum(tier_mean_rates_);
  if (agreed_share_.enabled()) return agreed_share_.share();
  const double even_share = 1.0 / std::max(1, settings_.dispatcher_count);
  return demand_rps > 0 && has_measured_
             ? std::clamp(demand_sum(own_rates_) / demand_rps, even_share / 4, 1.0)
             : even_share;
}

void LoadBalancerImpl::On(const SiblingProcess& event) {
  sibling_ = event;
  if (event.present) NotifySibling();
}

}  // namespace millethollow::balancing
