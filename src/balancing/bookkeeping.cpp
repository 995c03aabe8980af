// What the decision module keeps in order: nothing is decided here.
#include <algorithm>
#include <cmath>
#include <numeric>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

LoadBalancerImpl::LoadBalancerImpl(const Settings& settings, std::uint64_t seed)
    : s_(settings), random_(seed), pools_(s_.kinds, s_.zones) {
  Fit();
  direct_ = s_.dispatcher_count - 1 <= kDirectPeers;
  interval_ = kReportS * std::max(1.0, std::cbrt(s_.dispatcher_count / 4.0));
  lore_classes_ = direct_ ? 0 : classes_;
  layout_ = {.tenants = Idx(tenants_),
             .large_tier = !direct_,
             .classes = Idx(lore_classes_),
             .kinds = Idx(std::max(1, s_.kinds))};
  own_.assign(layout_.size(), 0.0);
  mean_ = own_;
  peers_.rows.resize(direct_ && s_.peers ? Idx(s_.dispatcher_count) : 0);
  blind_ = s_.workers_notify_start && s_.load_report_source == LoadReportSource::kOff;
  copies_ = blind_ ? kCopies : 0.0;
  sheds_ = s_.cancel &&
           (s_.workers_notify_start ? blind_ : s_.load_report_source == LoadReportSource::kOnProbe);
  kind_pace_.resize(Idx(std::max(1, s_.kinds)));
  kind_slots_.assign(kind_pace_.size(), 0.0);
  kind_most_.assign(kind_pace_.size(), {0.0, -1});
  wait_.assign(kind_pace_.size() * Idx(zones()), 0.0);
  room_.assign(wait_.size(), 1.0);
}

// To the settings, at the start and when they change. By class first, so that indices stay.
void LoadBalancerImpl::Fit() {
  classes_ = static_cast<int>(s_.classes.size());
  if (s_.tenants.empty()) s_.tenants.push_back({.share = 1});
  tenants_ = static_cast<int>(s_.tenants.size());
  buckets_.resize(Idx(classes_ * tenants_));
  run_.resize(s_.classes.size());
  hinted_.resize(s_.classes.size());
}

void LoadBalancerImpl::On(const SettingsChanged& e) {
  s_ = *e.settings;
  Fit();
  for (const int c : *e.redefined_classes) {
    run_[Idx(c)] = {};
    hinted_[Idx(c)] = {};
    for (int i = 0; c < lore_classes_ && i < 2; ++i)
      own_[LoreOf(c, -1) + Idx(i)] = mean_[LoreOf(c, -1) + Idx(i)] = 0;
    std::fill_n(buckets_.begin() + c * tenants_, tenants_, Bucket{});
  }
}

void LoadBalancerImpl::On(const SiblingProcess& e) {
  mate_ = e;
  if (e.present) TellMate();
}

// A worker off the list this long, with nothing of ours out and named by no open job, gives its
// place to the next new one. Else every name that a list ever carried stays, and each list and
// peer report costs more the longer the node runs while workers are replaced under new names.
constexpr double kForgetS = 300;
constexpr double kNothingOut = 1e-6;  // below the least slots of a job: a residue of rounding

int LoadBalancerImpl::SlotFor(const std::string& name, std::vector<char>* listed) {
  Worker fresh{.name = name, .hash = HashText(name), .limit = mean_limit_};
  const auto named = [this](int i) {
    return std::any_of(jobs_.begin(), jobs_.end(), [i](const auto& entry) {
      const Job& job = entry.second;
      return job.cold_drawn == i || job.found == i ||
             std::find(job.asked.begin(), job.asked.end(), i) != job.asked.end() ||
             job.Any([i](const Attempt& a) { return a.worker == i; });
    });
  };
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    const Worker& w = workers_[i];
    const int at = static_cast<int>(i);
    if (w.listed || w.out_by_hand || w.out > kNothingOut || w.memory_out > kNothingOut ||
        now_ - w.seen_at < kForgetS || named(at)) {
      continue;
    }
    index_.erase(w.name);
    for (auto& [most, who] : kind_most_) {
      if (who == static_cast<std::ptrdiff_t>(i)) std::tie(most, who) = std::pair(0.0, -1);
    }
    workers_[i] = std::move(fresh);
    return at;
  }
  workers_.push_back(std::move(fresh));
  listed->push_back(1);
  return static_cast<int>(workers_.size()) - 1;
}

void LoadBalancerImpl::RemakePools() {  // only when the list or an ejection changes
  pools_.Remake(workers_);
  ready_ = ejected_ = 0;
  double limits = 0;
  for (const Worker& w : workers_) {
    if (!w.ready) continue;
    ready_ += 1;
    ejected_ += w.ejected;
    limits += w.limit;
  }
  if (ready_ > 0) mean_limit_ = limits / ready_;
  Weigh();
  ++pool_version_;
  ++version_;
}

void LoadBalancerImpl::Weigh() {  // paces and slots are learned all the time, and what is drawn
                                  // goes by them
  most_power_ = 1e-9;
  double sum = 0;
  for (const Worker& w : workers_) {
    if (!w.ready) continue;
    sum += Power(w);
    most_power_ = std::max(most_power_, Power(w));
  }
  mean_power_ = sum > 0 ? sum / ready_ : 1.0;
}

void LoadBalancerImpl::Take(int sender, const UsageReport& report) {
  if (!direct_) return LearnFromPeers(report);
  peers_.rows[Idx(sender)].Take(report, layout_.size(), now_);
  if (report.BeginsRow()) SumOthers();
}

// A node of a large tier ends too few jobs to tell kinds and classes apart by itself: it learns
// from the sums of all, times and jobs each. The most slots that peers agree on are taken as they
// are.
void LoadBalancerImpl::LearnFromPeers(const UsageReport& told) {
  const std::size_t first = told.first, end = first + told.rates.size();
  for (std::size_t i = first; i < end; ++i) mean_[i] = (mean_[i] + told.rates[i - first]) / 2;
  const auto holds = [&](std::size_t at) { return at >= first && at < end; };
  const auto learn = [&](std::size_t at, Mean& mean) {
    if (!holds(at) || mean_[at + 1] <= 0) return;
    mean = {mean_[at] / mean_[at + 1], std::max(mean.n, kLoreWeight)};
  };
  for (int c = 0; c < lore_classes_; ++c) learn(LoreOf(c, -1), run_[Idx(c)]);
  for (int k = 0; k < static_cast<int>(kind_pace_.size()); ++k) {
    const std::size_t at = LoreOf(-1, k);
    if (!holds(at)) continue;
    learn(at, kind_pace_[Idx(k)]);
    kind_slots_[Idx(k)] = std::max(kind_slots_[Idx(k)], told.rates[at + 2 - first]);
    own_[at + 2] = mean_[at + 2] = kind_slots_[Idx(k)];
  }
}

Attempt* LoadBalancerImpl::Find(std::string_view id, int attempt, Job** job) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || Idx(attempt) >= it->second.attempts.size()) return nullptr;
  *job = &it->second;
  return &it->second.attempts[Idx(attempt)];
}

void LoadBalancerImpl::WatchAt(double at, const std::string& id, int attempt) {
  watch_.push({at, ++order_, id, attempt});
  if (!watching_) actions_->push_back(SetTimer{kWatchMark, kWatchS / 4});
  watching_ = true;
}

void LoadBalancerImpl::CancelOpen(const Job& job, bool only_waiting) {
  for (std::size_t i = 0; s_.cancel && i < job.attempts.size(); ++i) {
    const Attempt& a = job.attempts[i];
    if (!a.open || (only_waiting && a.started_at >= 0)) continue;
    actions_->push_back(CancelAttempt{job.id, static_cast<int>(i)});
  }
}

// Without the counts of buckets. Peers hear of both our processes.
UsageReport LoadBalancerImpl::ReportOf(bool fresh, bool to_mate) const {
  UsageReport report;
  report.fresh = fresh;
  report.rate = rate_ == kInf ? 0.0 : rate_;
  report.rates = direct_ ? own_ : mean_;
  report.hears_all = agreed_.hears_all();
  report.view = agreed_.view();
  for (const Worker& w : workers_) {
    if (!direct_ && !to_mate) break;  // one of many can't say how much is out there
    const double held = room_keeper_ ? room_keeper_->ReservedSlots(w.name) : 0.0;
    const double slots = w.out + held + (to_mate ? 0.0 : w.mate);
    if (slots > 0) report.out.emplace_back(Tag(w), static_cast<int>(std::lround(slots)));
  }
  return report;
}

// All datagrams of a report go out at once. One in turn with each report would cost less, but each
// rate would then be as old as there are datagrams, times the interval; what is reckoned from them
// (kStaleReports, the hold of AgreedShare, the weights of a large tier's means) takes them for no
// older than one. `counts` is empty where the counts have gone out already.
void LoadBalancerImpl::TellPeers(const std::vector<int>& whom, bool fresh,
                                 std::vector<UsageReport::Usage> counts) {
  UsageReport report = ReportOf(fresh, false);
  report.usage = std::move(counts);
  const std::vector<std::string> datagrams = EncodeReport(report, layout_);
  for (const int peer : whom) {
    for (const std::string& datagram : datagrams)
      actions_->push_back(SendPeerMessage{peer, datagram});
  }
}

// Our other process heeds the slots out alone: they are where the row begins.
void LoadBalancerImpl::TellMate() {
  actions_->push_back(
      SendPeerMessage{s_.dispatcher_index, EncodeReport(ReportOf(false, true), layout_).front()});
}

std::vector<double> LoadBalancerImpl::Fleet() {
  const double since = now_ - kStaleReports * interval_;
  if (!agreed_.on()) {
    return direct_ ? peers_.Fleet(own_, s_.dispatcher_index, since)
                   : Times(mean_, s_.dispatcher_count);
  }
  if (!direct_) {
    std::vector<double> fleet = Times(mean_, 1 / std::max(agreed_.part(), 1e-6));
    agreed_.ApplyTenantRates(own_, s_.tenants, &fleet);
    return fleet;
  }
  std::vector<double> all = own_;
  int heard = 0;
  bool others_hear = true;
  for (std::size_t p = 0; p < peers_.rows.size(); ++p) {
    const Peer& peer = peers_.rows[p];
    if (static_cast<int>(p) == s_.dispatcher_index || !peer.RowKnown(since)) continue;
    if (peer.view == 0 || peer.view != agreed_.view()) continue;
    heard += 1;
    others_hear = others_hear && peer.hears_all;
    for (std::size_t i = 0; i < all.size(); ++i) all[i] += peer.values[i];
  }
  all_sends_ = all[Idx(tenants_)];
  std::vector<double> fleet =
      agreed_.Fleet(now_, (kStaleReports + 2) * interval_, own_, all, heard, others_hear);
  agreed_.ApplyTenantRates(own_, s_.tenants, &fleet);
  return fleet;
}

double LoadBalancerImpl::Carried(double mine) {
  return agreed_.Carried(mine, all_sends_ / std::max(1, ready_), Idx(tenants_));
}

void LoadBalancerImpl::SetFleetShare(const FleetShare& parts) {
  agreed_.Set(parts);
  for (std::size_t b = 0; b < buckets_.size(); ++b) {
    Bucket& bucket = buckets_[b];
    const std::size_t tenant = b % Idx(tenants_);
    const double given = agreed_.Given(tenant, own_[tenant]);
    if (bucket.rate != kInf) {
      bucket.rate *= agreed_.Fall(tenant);
    } else if (rate_ != kInf && agreed_.Fall(tenant) < 1 && given < 1) {
      // There was enough for all until now.
      bucket.share = given;
      bucket.rate = bucket.demand * given;
    }
    // What was saved up of a larger given rate goes with it: others may use that rate now.
    if (agreed_.HasGiven(tenant)) bucket.tokens *= std::min(1.0, agreed_.Fall(tenant));
  }
}

std::vector<WorkerView> LoadBalancerImpl::Views() const {
  std::vector<WorkerView> views;
  views.reserve(workers_.size());
  for (const Worker& w : workers_) {
    views.push_back({.worker = w.name,
                     .kind = w.kind,
                     .usable = w.ready && !w.ejected,
                     .warming_up = Cold(w),
                     .in_other_zone = s_.price_cross_zone > 0 && w.zone != s_.zone,
                     .capacity_slots = w.told_slots,
                     .capacity_memory = w.told_memory,
                     .peer_slots_in_flight = w.others,
                     .reported_free_slots = now_ - w.report_at < kReportTrustS ? w.free : -1,
                     .own_slots_at_report = std::max(0.0, w.out - w.sent_since)});
  }
  return views;
}

double LoadBalancerImpl::DemandShare() const {
  const auto sum = [this](const std::vector<double>& rates) {
    return std::accumulate(rates.begin(), rates.begin() + tenants_, 0.0);
  };
  const double all =
      direct_ ? sum(peers_.Fleet(own_, s_.dispatcher_index, now_ - kStaleReports * interval_))
              : s_.dispatcher_count * sum(mean_);
  if (agreed_.on()) return agreed_.part();
  const double even = 1.0 / std::max(1, s_.dispatcher_count);
  return all > 0 && measured_ ? std::clamp(sum(own_) / all, even / 4, 1.0) : even;
}

}  // namespace millethollow::balancing
