// decksail's decisions, all of them. The interface (settings, events, actions) stands in
// include/decksail/balancer.h. Sections: buckets and quotas, peer reports, fleet rate, placement,
// worker health and cold budget, attempts and final answers, discovery.
#include <algorithm>
#include <cmath>
#include <queue>
#include <tuple>
#include <unordered_map>

#include "carry.h"
#include "decksail/balancer.h"
#include "state.h"
#include "support.h"

namespace decksail {
namespace {

// Buckets. Depth absorbs chance: a Poisson stream strays by the root of its count.
constexpr double kDepthS = 0.5;      // steady part of a bucket's depth, in seconds of its rate
constexpr double kDepthRoots = 2.0;  // and this many standard deviations of a second's arrivals
constexpr double kSparse = 1.0;      // jobs a second; below, depth outlasts an overload
constexpr double kDemandS = 1.5;     // demand is smoothed over this or two report intervals
constexpr double kReturnS = 0.3;     // a job refused this recently that comes again is the same one
// Peer reports. Up to kDirectPeers everyone hears everyone; beyond, kFanout random peers a report.
constexpr int kDirectPeers = 24;
constexpr int kFanout = 2;
constexpr double kReportS = 0.25;  // interval of a tier of four; grows with the tier's third root
constexpr double kPeerPoints = 0.003;  // of the result may go into messages
constexpr double kStaleReports = 6;    // a peer silent for so many intervals is taken for dead
constexpr double kOwnWeight = 0.15;    // weight of the own sample in a gossiped mean of demand
constexpr double kSignalJobs = 5;  // own word of what found no room weighs by jobs against these
// Fleet rate.
constexpr double kFullS = 0.5;        // sends and 'full' are smoothed over this or one interval
constexpr double kFullShare = 0.05;   // more jobs than this that found workers full: a cut
constexpr double kProof = 8;          // jobs of an interval that a share of them must stand against
constexpr double kLateWeight = 0.7;  // a late start is a 'full' only in part
constexpr double kCut = 0.85;         // deep enough to end an overload in a few cuts
constexpr double kRise = 0.2;         // step up, as a share of the rate, per second without a cut
// Never below what is told and asked for: a bounce is cheap, refusing in-share work is not. Deep
// waiting rooms make all late instead: then less, by the share that starts late.
constexpr double kLateDepth = 0.5;
constexpr double kFollow = 0.3;  // of the way to peers' rates in a report interval
constexpr double kSlack = 1.25;  // a rate this far above demand binds nobody
// Placement.
constexpr int kSample = 12;  // random workers looked at: a small fleet whole, a large one at no cost
constexpr int kProbes = 5, kProbesStale = 2;  // workers asked for a job; where reports prove old
// Where probes have a price, so many points of the result may go into them: reports of a few jobs
// tell what a kind can hold, and what is out there peers tell for less.
constexpr double kProbePoints = 0.0025;
constexpr double kProbeWaitS = 0.04;          // how long a job waits for them
constexpr int kHomes = 4;              // workers that a key prefers, the same at every dispatcher
constexpr int kNoHome = 4 * kHomes;    // the rank of all other workers
constexpr double kOver = 10.0;         // past the threshold counts more than any pace or price
constexpr double kReportTrustS = 0.1;  // a report is soon older than what peers and own sends tell
constexpr double kMostReport = 1e6;    // a larger figure in a report is none
constexpr double kWaitTrustS = 1.0;    // and so does an observed wait for a start
constexpr double kLimitStep = 0.1;     // a threshold's rise after a good send at the threshold
// Health.
constexpr double kSilentS = 0.25;  // without a word since a send: the worker is asked whether it lives
constexpr double kOverdue = 4.0;  // an attempt this many times its expected time is overdue
constexpr double kEjectS = 2.0, kEjectMostS = 12.0;  // first ejection, doubled each time up to this
constexpr double kEjectShare = 0.7;  // never more of the fleet than this: a lost zone of two fits
constexpr double kGroupBad = 0.3;  // a kind's workers in a zone are left where less than this goes
constexpr double kGroupFade = 0.05;  // well; forgiven with each report interval of a small tier
constexpr double kColdPart = 0.5;    // of what the guarantee allows to a cold worker
constexpr double kCarriedS = 20.0;   // what workers carried in good times is remembered this long
constexpr double kSpeedKeep = 8.0;   // a worker's own pace outweighs its kind's after so many jobs
constexpr double kPaceTrustS = 10.0;
// Second copies per send where load is never told: there a copy is the only way to a free slot. By
// AIMD, since nothing tells whether a cancel ends waiting work.
constexpr double kCopies = 1.0;
constexpr double kWatchS = 0.1;      // how often overdue attempts are looked for
constexpr double kDropsKept = 10.0;  // starts that earn the right to call off as much hopeless work

}  // namespace

class Balancer::Brain {
 public:
  Brain(const Settings& settings, std::uint64_t seed)
      : s_(settings), random_(seed), pools_(s_.kinds, s_.zones) {
    classes_ = static_cast<int>(s_.classes.size());
    if (s_.tenants.empty()) s_.tenants.push_back({.share = 1});
    tenants_ = static_cast<int>(s_.tenants.size());
    buckets_.resize(Idx(classes_ * tenants_));
    direct_ = s_.dispatchers - 1 <= kDirectPeers;
    interval_ = kReportS * std::max(1.0, std::cbrt(s_.dispatchers / 4.0));
    own_.assign(Idx(tenants_) + 3, 0.0);
    mean_ = own_;
    peers_.rows.resize(direct_ && s_.peers ? Idx(s_.dispatchers) : 0);
    run_.resize(s_.classes.size());
    blind_ = s_.tells_start && s_.report_source == ReportSource::kOff;
    copies_ = blind_ ? kCopies : 0.0;
    sheds_ = s_.cancel && (s_.tells_start ? blind_ : s_.report_source == ReportSource::kOnProbe);
    kind_pace_.resize(Idx(std::max(1, s_.kinds)));
    kind_slots_.assign(kind_pace_.size(), 0.0);
    kind_most_.assign(kind_pace_.size(), {0.0, -1});
    wait_.assign(kind_pace_.size() * Idx(zones()), 0.0);
    room_.assign(wait_.size(), 1.0);
  }

  void Handle(double now, const Event& event, Actions* actions) {
    now_ = std::max(now, now_);
    actions_ = actions;
    std::visit([this](const auto& e) { On(e); }, event);
  }

  bool Avoids(std::string_view worker) const {
    const auto it = index_.find(worker);
    return it == index_.end() || !workers_[Idx(it->second)].ready || workers_[Idx(it->second)].ejected;
  }

 private:
  friend struct Carry;  // hands what was learned to the process that replaces this one
  // ---- buckets and quotas ----

  void On(const JobArrived& e) {
    if (e.cls < 0 || e.cls >= classes_ || jobs_.contains(e.id)) return;
    Job job = JobOf(e, tenants_);
    job.most_tries = s_.most_tries;
    memory_.Add(job.memory / job.slots, 200);
    Bucket& bucket = buckets_[BucketOf(job)];
    if (!bucket.known) {
      bucket.known = true;
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
    if (bucket.tokens < 1 || job.expires_at <= now_) {
      if (!returned && bucket.denied < 0xffff) ++bucket.denied;
      return Decline(job);
    }
    bucket.tokens -= 1;
    if (bucket.allowed < 0xffff) ++bucket.allowed;
    auto [it, unused] = jobs_.emplace(job.id, std::move(job));
    if (AskAround(it->second)) return;
    Place(it->second);
    Settle(it->second);
  }

  // By class first: classes may be added while the program runs.
  std::size_t BucketOf(const Job& job) const { return Idx(job.cls * tenants_ + job.tenant); }

  static double Depth(const Bucket& b) {
    const double rate = b.rate == kInf ? b.demand : b.rate;
    return 2 + kDepthS * rate + kDepthRoots * std::sqrt(rate);
  }

  // Within its aim a refused job that comes back finds the same quotas: advise to wait that long.
  void Decline(const Job& job) {
    refused_.Put(job.print, now_);
    const double wait = std::min(s_.max_retry_after_s, ClassOf(job.cls).aim_s);
    actions_->push_back(Refuse{job.id, s_.retry_after ? wait : 0.0});
  }

  // ---- peer reports ----

  // `counts` is empty where the counts have gone out already. Peers hear of both our processes.
  std::string Message(bool fresh, std::vector<UsageReport::Usage> counts, bool to_mate = false) const {
    std::vector<std::pair<std::uint16_t, int>> out;
    for (const Worker& w : workers_) {
      const double slots = w.out + (to_mate ? 0.0 : w.mate);
      if (slots > 0) out.emplace_back(Tag(w), static_cast<int>(std::lround(slots)));
    }
    return EncodeReport({fresh, rate_ == kInf ? 0.0 : rate_, direct_ ? own_ : mean_,
                         std::move(out), std::move(counts)});
  }

  // Sends the counts to peers, resets them, and reckons quotas anew.
  void Report() {
    const double span = std::max(now_ - reported_at_, interval_ / 2);  // one early job is no rush
    reported_at_ = now_;
    const double keep = std::exp(-span / std::max(kDemandS, 2 * interval_));
    const double quick = std::exp(-span / std::max(kFullS, interval_));
    std::fill(own_.begin(), own_.end() - 3, 0.0);
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
    for (const auto& [slot, count] : {std::pair{0, &sends_}, {1, &fulls_}, {2, &lates_}}) {
      double& rate = own_[Idx(tenants_ + slot)];
      rate = measured_ ? rate * quick + *count / span * (1 - quick) : *count / span;
      *count = 0;
    }
    const double jobs = own_[Idx(tenants_)] * span;
    for (std::size_t i = 0; !direct_ && i < mean_.size(); ++i) {
      const double weight = i < Idx(tenants_) ? kOwnWeight : jobs / (jobs + kSignalJobs);
      mean_[i] = measured_ ? mean_[i] + weight * (own_[i] - mean_[i]) : own_[i];
    }
    // What a worker carries in good times; low sends after a cut say nothing of capacity.
    // In a large tier what all send on average says more: a node just back has sent nothing yet.
    const double sent = std::max(own_[Idx(tenants_)], direct_ ? 0.0 : mean_[Idx(tenants_)]);
    carried_ = std::max(carried_ * std::exp(-span / kCarriedS), sent / std::max(1, ready_));
    measured_ = true;
    if (mate_.present) actions_->push_back(TellPeer{s_.ordinal, Message(false, {}, true)});
    if (s_.peers && s_.dispatchers > 1 && !mate_.leaving) {
      const std::string message = Message(!heard_peers_, std::move(counts));
      for (int i = 0; i < (direct_ ? s_.dispatchers : kFanout); ++i) {
        const int whom = direct_ ? i : random_.OtherThan(s_.ordinal, s_.dispatchers);
        if (whom != s_.ordinal) actions_->push_back(TellPeer{whom, message});
      }
    }
    Control(span);
  }

  void On(const PeerMessage& e) {
    UsageReport report;
    if (e.sender == s_.ordinal && DecodeReport(e.body, own_.size(), &report)) {
      peers_.mate = {now_, {}, std::move(report.out)};
      return SumOthers();
    }
    const bool peer = e.sender >= 0 && e.sender < s_.dispatchers && e.sender != s_.ordinal;
    if (!s_.peers || !peer || !DecodeReport(e.body, own_.size(), &report)) return;
    heard_peers_ = true;
    if (direct_) {
      peers_.rows[Idx(e.sender)] = {now_, std::move(report.rates), std::move(report.out)};
      SumOthers();
    } else {
      for (std::size_t i = 0; i < mean_.size(); ++i) mean_[i] = (mean_[i] + report.rates[i]) / 2;
    }
    // Rates draw together, but slowly: else the many that have not cut yet undo each cut at once.
    const double weight = rate_ == kInf ? 1 : kFollow / (direct_ ? s_.dispatchers - 1 : kFanout);
    if (report.rate > 0) rate_ = std::min(rate_, 1e12) * (1 - weight) + report.rate * weight;
    // A restarted dispatcher is told at once what the fleet does: not held to one Nth for long.
    if (report.fresh && measured_) actions_->push_back(TellPeer{e.sender, Message(false, {})});
  }

  static std::uint16_t Tag(const Worker& w) { return static_cast<std::uint16_t>(w.hash); }

  void SumOthers() { peers_.SumOut(&workers_, now_ - kStaleReports * interval_); }

  void On(const Mate& e) {
    mate_ = e;
    if (e.present) actions_->push_back(TellPeer{s_.ordinal, Message(false, {}, true)});
  }

  // ---- fleet rate ----

  void Control(double span) {
    // What live dispatchers report in all, those not yet heard taken as the average one.
    const std::vector<double> fleet =
        direct_ ? peers_.Fleet(own_, s_.ordinal, now_ - kStaleReports * interval_)
                : Times(mean_, s_.dispatchers);
    const double sends = fleet[Idx(tenants_)], fulls = fleet[Idx(tenants_ + 1)];
    const double lates = fleet[Idx(tenants_ + 2)];
    std::vector<double> part(Idx(tenants_), 0.0);  // by tenant, at first what is told and asked for
    double demand = 0, told = 0;
    for (int t = 0; t < tenants_; ++t) {
      part[Idx(t)] = std::min(fleet[Idx(t)], s_.tenants[Idx(t)].quota_rps);
      demand += fleet[Idx(t)];
      told += part[Idx(t)];
    }
    // One or two jobs prove nothing: shares are taken as of some more sends than were seen.
    const double shown =
        sends + kProof / std::max(span, interval_) * (direct_ ? 1.0 : s_.dispatchers * kOwnWeight);
    full_ = sends > 0 && fulls + kLateWeight * lates > kFullShare * shown;
    if (full_) {
      if (now_ >= next_cut_) {
        // Cut from what was carried: clients that return at once make sends a multiple of demand.
        rate_ = std::max(std::min({rate_, demand, sends - fulls}) * kCut,
                         told * (1 - kLateDepth * std::min(1.0, lates / shown)));
        next_cut_ = now_ + std::max(1.0, 2 * interval_);
        copies_ /= 2;
      }
    } else {
      const double rise = std::pow(1 + kRise, interval_);
      // Never under what is told and asked, here too: where a node restarts, demand goes and comes
      // back at once, and a rate that had shrunk with it refused all for seconds at idle workers.
      if (rate_ != kInf) rate_ = std::max(told, std::min(rate_ * rise, kSlack * demand));
      if (blind_) copies_ = std::min((copies_ + 0.01) * rise, kCopies);
    }
    // Each tenant is served within its told quota first; what is left is lent by told shares.
    double left = rate_;
    if (rate_ != kInf) {
      for (int t = 0; t < tenants_; ++t) {
        part[Idx(t)] *= std::min(1.0, told > 0 ? rate_ / told : 1.0);
        left -= part[Idx(t)];
      }
      for (int round = 0; round < tenants_ && left > 1e-9; ++round) {
        double shares = 0;
        for (int t = 0; t < tenants_; ++t)
          shares += part[Idx(t)] < fleet[Idx(t)] ? s_.tenants[Idx(t)].share : 0;
        if (shares <= 0) break;
        const double lend = left;
        for (int t = 0; t < tenants_; ++t) {
          const double lent = lend * s_.tenants[Idx(t)].share / shares;
          const double more = std::clamp(fleet[Idx(t)] - part[Idx(t)], 0.0, lent);
          part[Idx(t)] += more;
          left -= more;
        }
      }
    }
    for (int t = 0; t < tenants_; ++t) {
      const double want = fleet[Idx(t)];
      const double fraction = rate_ == kInf || want <= 0 ? 1 : std::min(1.0, part[Idx(t)] / want);
      // Each class gives up the same share. The worst-served class counts for itself, and work of
      // less worth is mostly short: shed first, it pays for little room.
      for (int c = 0; c < classes_; ++c) {
        Bucket& b = buckets_[Idx(c * tenants_ + t)];
        b.share = fraction;
        b.rate = fraction > 0.999 ? kInf : b.demand * fraction;
      }
    }
  }

  const ClassSettings& ClassOf(int c) const { return s_.classes[Idx(c)]; }

  // ---- placement ----

  int zones() const { return std::max(1, s_.zones); }
  std::size_t GroupOf(const Worker& w) const { return Idx(w.kind * zones() + w.zone); }
  const std::vector<int>& Pool(int kind, int zone) const { return pools_.Of(kind, zone); }

  void RemakePools() {  // only when the list or an ejection changes
    pools_.Remake(workers_);
    ready_ = ejected_ = 0;
    most_power_ = 1e-9;
    double limits = 0;
    for (const Worker& w : workers_) {
      if (!w.ready) continue;
      ready_ += 1;
      ejected_ += w.ejected;
      limits += w.limit;
      most_power_ = std::max(most_power_, Power(w));
    }
    if (ready_ > 0) mean_limit_ = limits / ready_;
    ++pool_version_;
  }

  double ExpectedRun(const Job& job) const {
    if (job.hint > 0) return job.hint * hint_scale_.Or(1.0);
    return run_[Idx(job.cls)].Or(ClassOf(job.cls).aim_s);
  }
  double PaceOf(const Worker& w) const {
    const double kind = kind_pace_[Idx(w.kind)].Or(1 / std::max(0.1, w.capacity));
    // What was seen of one worker fades: a slow spell is forgiven and the worker tried again.
    const double n = w.pace_n * std::exp((w.pace_at - now_) / kPaceTrustS);
    return (w.pace * n + kind * kSpeedKeep) / (n + kSpeedKeep);
  }
  double AimOf(const Job& job) const {
    const ClassSettings& c = ClassOf(job.cls);
    return std::max(s_.tick_s, c.aim_s + c.stretch * ExpectedRun(job));
  }

  // May this job go to that worker at all?
  bool Allowed(const Job& job, int index, int anchor) const {
    const Worker& w = workers_[Idx(index)];
    if (!w.ready) return false;
    if (w.probation && (w.out > 0 || ClassOf(job.cls).semantics == Semantics::kOnce)) return false;
    if (job.Tried(index)) return false;
    if (anchor >= 0 && !SameGroup(ClassOf(job.cls).group, workers_[Idx(anchor)], w)) return false;
    return !Cold(w) || (!mate_.leaving && ColdHeld(w) >= ColdCost(job));
  }

  // Expected time to the job's end, and whether it would find no room.
  std::pair<double, bool> Outlook(const Job& job, const Worker& w) const {
    const double run = ExpectedRun(job) * PaceOf(w);
    double wait = WaitOf(w);
    const bool silent = w.probed_at > w.heard_at && now_ - w.probed_at > kProbeWaitS / 2;
    const double slots = kind_slots_[Idx(w.kind)];
    bool over = silent;
    if (slots > 0) {  // what all dispatchers have out there, against what its kind can hold
      double need = w.out + w.others + job.slots;
      if (job.memory > 0) need = std::max(need, w.memory_out + w.others * memory_.Or(0) + job.memory);
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
        wait += run * (job.slots - room + w.queued) / std::max(1.0, kind_slots_[Idx(w.kind)]);
      }
    }
    return {run + wait, over};
  }

  // Lower is better: expected time over the aim, plus prices; workers with room come first.
  double Score(const Job& job, const Worker& w, int home_rank) const {
    const auto [time, over] = Outlook(job, w);
    double score = time / AimOf(job) + (over ? kOver : 0.0);
    if (room_[GroupOf(w)] < kGroupBad) score += 2 * kOver;
    if (w.zone != s_.zone) score += s_.price_cross_zone;
    if (job.key != 0) score += s_.price_origin * (1 - 0.8 / (1 + home_rank));
    return score;
  }

  // A random worker, the abler the likelier: by told size where told, else by learned pace.
  int Draw(const std::vector<int>& from) {
    int w = -1;
    for (int i = 0; i < 4; ++i) {
      w = from[random_.Below(from.size())];
      if (random_.Unit() < Power(workers_[Idx(w)]) * Room(workers_[Idx(w)]) / most_power_) break;
    }
    return w;
  }
  double Power(const Worker& w) const {
    return s_.sizes_told ? w.capacity : std::max(1.0, kind_slots_[Idx(w.kind)]) / PaceOf(w);
  }

  // Exception: where load is told only on probes, a job waits a moment for a few workers' word.
  bool AskAround(Job& job) {
    const std::vector<int>& all = Pool(ClassOf(job.cls).kind, -1);
    if (!s_.probing || s_.report_source != ReportSource::kOnProbe || all.empty()) return false;
    if (job.expires_at < now_ + 10 * kProbeWaitS) return false;
    int probes = prompt_.Or(1.0) > 0.8 ? kProbes : kProbesStale;
    if (s_.price_probe > 0) {
      const double most = kProbePoints / s_.price_probe;  // a part of a probe is a chance of one
      probes = std::min(probes, static_cast<int>(most + random_.Unit()));
    }
    for (int i = 0; i < 2 * probes && static_cast<int>(job.asked.size()) < probes; ++i) {
      const int w = Draw(all);
      if (std::count(job.asked.begin(), job.asked.end(), w) > 0 || !Allowed(job, w, -1)) continue;
      job.asked.push_back(w);
      workers_[Idx(w)].probed_at = now_;
      actions_->push_back(Probe{workers_[Idx(w)].name});
    }
    job.awaited = static_cast<int>(job.asked.size());
    if (job.awaited == 0) return false;
    asking_.push_back(job.id);
    WatchAt(now_ + kProbeWaitS, job.id, -1);
    return true;
  }

  int Pick(const Job& job, int anchor) {
    const int kind = ClassOf(job.cls).kind;
    const std::vector<int>& all = Pool(kind, -1);
    const std::vector<int>& near = Pool(kind, s_.zone);
    int best = -1;
    double best_score = kInf;
    int looked = 0;
    const auto look = [&](int w, int rank) {
      if (!Allowed(job, w, anchor)) return;
      ++looked;
      const double score = Score(job, workers_[Idx(w)], rank);
      if (score < best_score) {
        best = w;
        best_score = score;
      }
    };
    for (const int w : job.asked) look(w, kNoHome);
    if (job.key != 0 && !all.empty()) {
      const std::vector<int>& homes = HomesOf(job.key, kind);
      for (std::size_t r = 0; r < homes.size(); ++r) look(homes[r], static_cast<int>(r));
    }
    looked = static_cast<int>(job.asked.size()) - job.awaited;
    // More draws than looks: many may be cold and have had their part.
    for (int i = 0; i < 4 * kSample && looked < kSample; ++i) {
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
  const std::vector<int>& HomesOf(std::uint64_t key, int kind) {
    if (homes_version_ != pool_version_ || homes_.size() > 20000) homes_.clear();
    homes_version_ = pool_version_;
    auto [it, fresh] = homes_.try_emplace(key * 31 + static_cast<std::uint64_t>(kind + 1));
    if (fresh) {
      std::vector<std::pair<std::uint64_t, int>> ranked;
      for (const int w : Pool(kind, -1)) ranked.emplace_back(Mix(key, workers_[Idx(w)].hash), w);
      const auto n = std::min<std::size_t>(kHomes, ranked.size());
      std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n),
                        ranked.end());
      for (std::size_t i = 0; i < n; ++i) it->second.push_back(ranked[i].second);
    }
    return it->second;
  }

  // ---- worker health and cold budget ----

  bool Cold(const Worker& w) const { return w.born > 0 && now_ - w.born < s_.cold_s; }

  // This dispatcher's part of what a cold worker may get: what it sends a warm worker on average,
  // times the share of capacity that is surely there. Rejected work counts too, so every send is
  // charged.
  double ColdRate(const Worker& w) const {
    const double age = std::clamp((now_ - w.born) / std::max(s_.cold_s, 1e-9), 0.0, 1.0);
    return kColdPart * s_.fall_multiple * carried_ * (s_.cold_share + (1 - s_.cold_share) * age);
  }
  double ColdHeld(const Worker& w) const {
    return w.cold_tokens + ColdRate(w) * (now_ - w.cold_at);
  }
  double ColdCost(const Job& job) const {
    const double run = ExpectedRun(job);
    return std::max(1.0, job.slots) * std::max(0.5, run / all_run_.Or(run));
  }

  // Draws go where jobs find room, by kind and zone. Workers that fail one after the other there
  // are lost: none could find all out one by one. Trials go on as it is forgiven.
  double& Room(const Worker& w) { return room_[GroupOf(w)]; }

  void Eject(int index) {
    Worker& w = workers_[Idx(index)];
    Room(w) *= 0.75;
    if (w.ejected) return;
    w.eject_s = std::clamp(w.eject_s * 2, kEjectS, kEjectMostS);
    // Never the whole fleet: then the list is the better guide.
    if (ejected_ + 1 > kEjectShare * ready_) return;
    w.ejected = true;
    w.probation = false;
    w.eject_until = now_ + w.eject_s * (0.8 + 0.4 * random_.Unit());
    RemakePools();
  }

  void LetBack() {  // ejected workers return with one repeatable job at a time
    bool changed = false;
    for (Worker& w : workers_) {
      if (!w.ejected || now_ < w.eject_until) continue;
      w.ejected = false;
      w.probation = true;
      w.limit = 1;
      w.errors = 0;
      changed = true;
    }
    if (changed) RemakePools();
  }

  void TakeReport(Worker& w, const double (&report)[4]) {
    for (const double v : report) {  // no worker's figures are negative or so large: unreadable
      if (!(v >= 0 && v < kMostReport)) return;
    }
    w.TakeReport(now_, s_.report_columns, report);
    // A kind holds what two workers agree on: one that is wrong must not make it bottomless.
    double& slots = kind_slots_[Idx(w.kind)];
    auto& [most, who] = kind_most_[Idx(w.kind)];
    const double told = std::round(w.free);
    if (who != &w - workers_.data()) slots = std::max(slots, std::min(most, told));
    if (told > most) std::tie(most, who) = std::pair(told, &w - workers_.data());
    const double busy = slots - w.free;
    if (w.queued < 0) w.queued = std::max(0.0, w.held - busy);  // the rest of what it holds waits
  }

  void LearnWait(Worker& w, double wait) {
    double& kind = wait_[GroupOf(w)];
    kind += (wait - kind) / 50;
    w.wait = wait;
    w.wait_at = now_;
  }
  // A worker's last known wait says less and less; then its kind's is the better guess.
  double WaitOf(const Worker& w) const {
    const double kind = wait_[GroupOf(w)];
    return kind + (w.wait - kind) * std::exp((w.wait_at - now_) / kWaitTrustS);
  }

  void LearnPace(const Job& job, const Attempt& a, Worker& w) {
    const double took = std::max(1e-4, now_ - (a.started_at >= 0 ? a.started_at : a.sent_at));
    const double ratio = std::min(took / std::max(ExpectedRun(job), 1e-4), 10.0);
    run_[Idx(job.cls)].Add(took, 200);
    all_run_.Add(took, 400);
    if (job.hint > 0) hint_scale_.Add(took / job.hint, 200);
    kind_pace_[Idx(w.kind)].Add(ratio, 200);
    w.pace_n = std::min(w.pace_n * std::exp((w.pace_at - now_) / kPaceTrustS) + 1, 16.0);
    w.pace += (ratio - w.pace) / w.pace_n;
    w.pace_at = now_;
  }

  // The worker had no room for the job. Only a warm, ready worker of ordinary pace speaks of the
  // fleet, and only for a job that it could hold; one full worker says little while others have
  // room, two say more.
  void Blocked(Job& job, Attempt& a, bool full, bool late) {
    Worker& w = workers_[Idx(a.worker)];
    if (!a.blocked) w.limit = std::max(1.0, (w.limit + a.out_before) / 2);
    a.blocked = true;
    const double slots = kind_slots_[Idx(w.kind)];
    const bool holds = slots == 0 || job.slots <= slots;
    if (!w.ready || w.probation || Cold(w) || !holds) return;
    if (full && ++job.fulls <= 2) fulls_ += blind_ ? job.fulls - 1 : 0.5;
    if (late && !job.late) lates_ += 1;
    job.late |= late;
  }

  // ---- attempts and final answers ----

  // Sends the job somewhere it may go; false if there is no such place now.
  bool Place(Job& job) {
    if (job.attempts.size() >= Idx(job.most_tries) || job.expires_at <= now_) return false;
    const ClassSettings& c = ClassOf(job.cls);
    int anchor = -1;
    for (const Attempt& a : job.attempts) {
      if (a.open && !s_.may_duplicate) return false;
      if (!a.may_have_run) continue;
      if (c.semantics == Semantics::kOnce) return false;
      if (c.semantics == Semantics::kByKey) {
        // Repeats are dropped only within the group and the window, counted from the first sending.
        if (now_ + s_.tick_s > a.sent_at + 0.9 * c.window_s) return false;
        if (anchor < 0) anchor = a.worker;
      }
    }
    const int index = Pick(job, anchor);
    if (index < 0) return false;
    Worker& w = workers_[Idx(index)];
    if (Cold(w)) {
      w.cold_tokens = std::min(1.0, ColdHeld(w) - ColdCost(job));
      w.cold_at = now_;
    }
    // The best of those asked can't end it in time: no worker need tell of a late start.
    const bool told =
        !job.asked.empty() && job.attempts.empty() && now_ - w.report_at < kReportTrustS;
    const auto [time, over] = told ? Outlook(job, w) : std::pair{0.0, true};
    job.attempts.push_back({.worker = index, .sent_at = now_, .out_before = w.out, .roomy = !over});
    w.out += job.slots;
    w.memory_out += job.memory;
    out_total_ += job.slots;
    w.sent_since += job.slots;
    if (told && time > AimOf(job)) Blocked(job, job.attempts.back(), false, true);
    sends_ += job.attempts.size() == 1;
    hedges_ = std::min(3.0, hedges_ + copies_);
    actions_->push_back(Send{job.id, w.name, 0});
    // Looked at as soon as the word of a start is overdue, where a second copy is permitted.
    const bool soon = s_.may_duplicate && c.semantics != Semantics::kOnce;
    const double first = s_.tells_start ? std::max(soon ? 0.0 : c.aim_s * 0.6, 4 * s_.tick_s)
                                        : kOverdue * ExpectedRun(job);
    WatchAt(now_ + std::max(first, 0.02), job.id, static_cast<int>(job.attempts.size()) - 1);
    return true;
  }

  void WatchAt(double at, const std::string& id, int attempt) {
    watch_.push({at, ++order_, id, attempt});
    if (!watching_) actions_->push_back(SetTimer{kWatchMark, kWatchS / 4});
    watching_ = true;
  }

  // Ends a job that has no attempt under way, with the answer that its class allows.
  void Settle(Job& job) {
    if (job.AnyOpen()) return;
    if (!job.ended) {
      const ClassSettings& c = ClassOf(job.cls);
      const bool repeats_dropped = c.semantics == Semantics::kByKey && c.group == Group::kAll;
      if (!job.MayHaveRun() || c.semantics == Semantics::kRepeatable || repeats_dropped) {
        Decline(job);
      } else {
        actions_->push_back(Fail{job.id});
      }
    }
    jobs_.erase(jobs_.find(job.id));
  }

  Attempt* Find(std::string_view id, int attempt, Job** job) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || Idx(attempt) >= it->second.attempts.size()) return nullptr;
    *job = &it->second;
    return &it->second.attempts[Idx(attempt)];
  }

  void On(const AttemptEnded& e) {
    Job* job = nullptr;
    Attempt* a = Find(e.id, e.attempt, &job);
    if (a == nullptr || !a->open) return;  // a repeat, or forgotten
    Worker& w = workers_[Idx(a->worker)];
    a->open = false;
    w.out = std::max(0.0, w.out - job->slots);
    w.memory_out = std::max(0.0, w.memory_out - job->memory);
    out_total_ = std::max(0.0, out_total_ - job->slots);
    if (e.has_report) TakeReport(w, e.report);
    const bool never_ran = e.verdict == Verdict::kTurnedAway ||
                           e.verdict == Verdict::kNoConnection || e.verdict == Verdict::kNotSent;
    a->may_have_run = !never_ran;
    switch (e.verdict) {
      case Verdict::kServed:
        w.heard_at = now_;
        w.probation = false;
        w.eject_s = 0;
        Room(w) += (1 - Room(w)) / 5;
        w.errors *= 0.8;
        LearnPace(*job, *a, w);
        if (!a->blocked && a->out_before + job->slots >= w.limit) w.limit += kLimitStep;
        job->ended = true;
        if (!s_.tells_start) drops_ = std::min(drops_ + 1, kDropsKept);
        break;
      case Verdict::kTurnedAway:
        w.heard_at = now_;
        LearnWait(w, ExpectedRun(*job));
        Room(w) += (2 * kGroupBad - Room(w)) / 20;  // full is not lost
        Blocked(*job, *a, true, false);
        break;
      case Verdict::kServerError:
        w.heard_at = now_;
        w.errors = w.errors * 0.8 + 0.2;
        if (w.errors > 0.45 || w.probation) Eject(a->worker);
        break;
      case Verdict::kConnectionLost:  // one may be chance; a worker that is gone refuses the next
        w.errors = w.errors * 0.8 + 0.3;
        if (w.errors > 0.45 || w.probation) Eject(a->worker);
        break;
      case Verdict::kNoConnection:
        Eject(a->worker);
        break;
      case Verdict::kNoAnswer:
        if (w.heard_at < a->sent_at) Eject(a->worker);
        break;
      default:  // called off, not sent: nothing is learned
        break;
    }
    if (e.terminal) job->ended = true;
    if (job->ended) {
      CancelOpen(*job, false);
    } else if (!job->AnyOpen() && !job->dropped) {
      Place(*job);
    }
    Settle(*job);
  }

  void CancelOpen(const Job& job, bool only_waiting) {
    for (std::size_t i = 0; s_.cancel && i < job.attempts.size(); ++i) {
      const Attempt& a = job.attempts[i];
      if (!a.open || (only_waiting && a.started_at >= 0)) continue;
      actions_->push_back(CancelAttempt{job.id, static_cast<int>(i)});
    }
  }

  void On(const JobGone& e) {
    const auto it = jobs_.find(e.id);
    if (it == jobs_.end()) return;
    std::erase(asking_, e.id);
    it->second.ended = true;
    CancelOpen(it->second, false);
    Settle(it->second);
  }

  void On(const StreamBegan& e) { Begun(e.id, e.attempt); }
  void On(const AttemptNote& e) { Begun(e.id, e.attempt); }

  void Begun(std::string_view id, int attempt) {  // word from the worker that it runs
    Job* job = nullptr;
    Attempt* a = Find(id, attempt, &job);
    if (a == nullptr) return;
    Worker& w = workers_[Idx(a->worker)];
    w.heard_at = now_;
    if (a->started_at >= 0 || !a->open) return;
    a->started_at = now_;
    LearnWait(w, now_ - a->sent_at);
    drops_ = std::min(drops_ + 1, kDropsKept);
    if (a->roomy) prompt_.Add(now_ - a->sent_at < 4 * s_.tick_s, 50);
    // Second copies are sent to find a free slot: one runs, so those still waiting are dropped.
    CancelOpen(*job, true);
  }

  void On(const ProbeAnswered& e) {
    const auto it = index_.find(e.worker);
    if (it == index_.end()) return;
    Worker& w = workers_[Idx(it->second)];
    const bool silent = e.verdict == Verdict::kNoAnswer || e.verdict == Verdict::kNoConnection ||
                        e.verdict == Verdict::kConnectionLost;
    if (!silent && e.verdict != Verdict::kNotSent) w.heard_at = now_;
    if (silent && w.heard_at < w.probed_at) Eject(it->second);
    if (e.has_report) TakeReport(w, e.report);
    for (const std::string& id : std::vector<std::string>(asking_)) {
      Job& job = jobs_.find(id)->second;
      if (std::count(job.asked.begin(), job.asked.end(), it->second) == 0) continue;
      if (--job.awaited == 0) Answered(id);
    }
  }

  void Answered(std::string_view id) {  // all asked have answered, or time is up
    if (std::erase(asking_, id) == 0) return;
    Job& job = jobs_.find(id)->second;
    Place(job);
    Settle(job);
  }

  bool Hopeless(const Job& job, const Worker& w, double age) const {
    const double run = ExpectedRun(job) * PaceOf(w);
    return age > AimOf(job) + (s_.tells_start ? -run : run);
  }

  // An attempt has not started, or not ended, when it should have.
  void Overdue(const Watch& watch) {
    if (watch.attempt < 0) return Answered(watch.id);
    Job* job = nullptr;
    Attempt* a = Find(watch.id, watch.attempt, &job);
    if (a == nullptr || !a->open) return;
    Worker& w = workers_[Idx(a->worker)];
    const double age = now_ - a->sent_at;
    if (s_.tells_start && a->started_at < 0) {
      LearnWait(w, std::max(age, WaitOf(w)));
      // One that is left out says nothing of the fleet.
      Blocked(*job, *a, false, !w.ejected && age > ClassOf(job->cls).aim_s && PaceOf(w) < 2);
      if (w.heard_at < a->sent_at && s_.probing && age > kSilentS && w.probed_at < a->sent_at) {
        w.probed_at = now_;
        actions_->push_back(Probe{w.name});
      }
    }
    // Exception: work that waits past hope is called off while the fleet is full, else all that
    // waits behind it ends late too. No more of it than starts: else cancels end nothing here.
    if (full_ && sheds_ && !job->ended && !job->Running() && drops_ >= 1 &&
        Hopeless(*job, w, age)) {
      drops_ -= 1;
      job->dropped = true;
      return CancelOpen(*job, false);
    }
    const double silence = std::max({kOverdue * ExpectedRun(*job), 1.5 * s_.progress_s, 1.0});
    if (w.heard_at < a->sent_at && age > silence) Eject(a->worker);
    const bool lost = w.ejected || !w.ready;
    const bool waits = s_.tells_start ? a->started_at < 0 : age > silence;
    if (!job->ended && !job->dropped && (lost || waits) && (lost || hedges_ >= 1)) {
      if (s_.may_duplicate) {
        if (Place(*job) && !lost) hedges_ -= 1;
      } else if (lost && s_.cancel && ClassOf(job->cls).semantics != Semantics::kOnce) {
        actions_->push_back(CancelAttempt{job->id, watch.attempt});
      }
    }
    WatchAt(now_ + std::max(0.25, age / 2), watch.id, watch.attempt);
  }

  // ---- discovery and timers ----

  static constexpr std::uint64_t kReportMark = 1, kWatchMark = 2, kAskMark = 3;

  void On(const Started&) {
    reported_at_ = now_;
    next_cut_ = now_ + std::max(kDemandS, 2 * interval_);  // demand is not known yet
    actions_->push_back(SetTimer{kReportMark, interval_ * (0.2 + random_.Unit())});
    if (s_.discovery_ask) Ask();
  }

  void Ask() {
    actions_->push_back(Subscribe{true});
    AskIn(std::max(0.5, 0.4 * s_.ask_within_s));  // in case no answer comes
  }

  void AskIn(double span) {
    ask_at_ = now_ + span;
    actions_->push_back(SetTimer{kAskMark, span});
  }

  void On(const TimerFired& e) {
    if (e.mark == kReportMark) {
      LetBack();
      SumOthers();
      for (double& room : room_) room += (1 - room) * kGroupFade * interval_ / kReportS;
      if (now_ - reported_at_ > interval_ / 4) Report();
      // Jitter keeps dispatchers that started together from reporting in step.
      // In large tiers of little traffic the price of messages, per job, sets the pace.
      const double price = direct_ ? 0 : s_.price_peer * kFanout * 100 / 256 / kPeerPoints;
      const double even = price / std::max(own_[Idx(tenants_)], 1e-3);
      const double span = std::clamp(even, interval_, 4 * interval_);
      actions_->push_back(SetTimer{kReportMark, span * (0.75 + 0.5 * random_.Unit())});
    } else if (e.mark == kWatchMark) {
      while (!watch_.empty() && watch_.top().at <= now_) {
        const Watch watch = watch_.top();
        watch_.pop();
        Overdue(watch);
      }
      watching_ = !watch_.empty();
      const double next = watching_ ? std::clamp(watch_.top().at - now_, 0.005, kWatchS) : 0;
      if (watching_) actions_->push_back(SetTimer{kWatchMark, next});
    } else if (e.mark == kAskMark) {
      if (!subscribed_ && now_ > ask_at_ - s_.tick_s) Ask();  // else set anew meanwhile
    }
  }

  void On(const MembersKnown& e) {
    if (e.kind == ListKind::kUnavailable) {
      // Ask again soon, but not all at once: the list service has a fixed capacity.
      subscribed_ = false;
      if (s_.discovery_ask) AskIn(std::min(0.3 * s_.ask_within_s, 0.4 + 1.2 * random_.Unit()));
      return;
    }
    if (e.kind != ListKind::kRestored) subscribed_ = true;
    if (e.members == nullptr) return;
    std::vector<char> listed(workers_.size(), e.kind == ListKind::kUpdate);
    for (const Member& m : *e.members) {
      auto [it, fresh] = index_.try_emplace(m.worker, static_cast<int>(workers_.size()));
      if (fresh) {
        Worker w;
        w.name = m.worker;
        w.hash = HashText(m.worker);
        w.limit = mean_limit_;
        workers_.push_back(std::move(w));
        listed.push_back(1);
      }
      listed[Idx(it->second)] = 1;
      Worker& w = workers_[Idx(it->second)];
      const bool restarted = m.born_s > w.born && m.born_s > 0;
      w.Follow(m, static_cast<int>(kind_pace_.size()), zones());
      if (restarted) StartAfresh(w);
    }
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      if (!listed[i]) workers_[i].ready = workers_[i].listed = false;
    }
    RemakePools();
  }

  void On(const SettingsChanged& e) {
    s_ = *e.settings;
    classes_ = static_cast<int>(s_.classes.size());
    if (s_.tenants.empty()) s_.tenants.push_back({.share = 1});
    buckets_.resize(Idx(classes_ * tenants_));
    run_.resize(s_.classes.size());
    for (const int c : *e.begun) {
      run_[Idx(c)] = {};
      std::fill_n(buckets_.begin() + c * tenants_, tenants_, Bucket{});
    }
  }

  void StartAfresh(Worker& w) {
    w.ejected = w.probation = false;
    w.eject_s = w.errors = 0;
    w.limit = mean_limit_;
    w.report_at = w.wait_at = -kInf;
    // Everyone hears of the start at once: a random first part keeps the first jobs apart.
    w.cold_tokens = random_.Unit();
    w.cold_at = std::max(now_, w.born);
  }

  void On(const Maintenance& e) {
    const auto it = index_.find(e.worker);
    if (it == index_.end()) return;
    Worker& w = workers_[Idx(it->second)];
    if (!e.out && w.out_by_hand) {
      w.born = w.back_at = now_;
      StartAfresh(w);
    }
    w.out_by_hand = e.out;
    w.ready = w.listed && !e.out;
    RemakePools();
  }

  Settings s_;
  Random random_;
  double now_ = 0;
  Actions* actions_ = nullptr;
  int classes_ = 1, tenants_ = 1;
  // Buckets and refusals.
  std::vector<Bucket> buckets_;
  RecentPrints refused_;
  // Reports: demand by tenant, then sends, fulls and late starts, all per second.
  bool direct_ = true, measured_ = false, heard_peers_ = false;
  double interval_ = kReportS, reported_at_ = 0, sends_ = 0, fulls_ = 0, lates_ = 0;
  std::vector<double> own_, mean_;
  PeerTable peers_;
  Mate mate_;
  // Fleet rate.
  double rate_ = kInf, next_cut_ = 0;
  // Workers.
  std::vector<Worker> workers_;
  TextMap<int> index_;
  Pools pools_;
  int ready_ = 0, ejected_ = 0;
  double mean_limit_ = 1, carried_ = 0, out_total_ = 0, most_power_ = 1;
  std::uint64_t pool_version_ = 0, homes_version_ = 0;
  std::unordered_map<std::uint64_t, std::vector<int>> homes_;
  std::vector<Mean> run_, kind_pace_;
  std::vector<double> kind_slots_;  // what a kind holds: the second most free slots told
  std::vector<std::pair<double, std::ptrdiff_t>> kind_most_;  // the most, and by whom
  std::vector<double> wait_, room_;     // by kind and zone: wait for a start, share that goes well
  Mean memory_;  // of a job, for each of its slots
  Mean all_run_, hint_scale_, prompt_;  // prompt_: slots told free where a job started at once
  // Jobs.
  TextMap<Job> jobs_;
  std::priority_queue<Watch, std::vector<Watch>, std::greater<>> watch_;
  std::vector<std::string> asking_;  // jobs that wait for probed workers
  std::uint64_t order_ = 0;
  double hedges_ = 0, copies_ = 0, drops_ = 0;  // rights to copies, and to calling off
  bool sheds_ = false, blind_ = false;          // load is never told, only starts are
  bool full_ = false, watching_ = false, subscribed_ = false;
  double ask_at_ = kInf;
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed)
    : brain_(std::make_unique<Brain>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::Handle(double now_s, const Event& event, Actions* actions) {
  brain_->Handle(now_s, event, actions);
}

std::string Balancer::Learned() const { return Carry::Out(*brain_); }
bool Balancer::Learn(std::string_view text, const std::vector<int>& classes) {
  return Carry::In(text, classes, brain_.get());
}
bool Balancer::Avoids(std::string_view worker) const { return brain_->Avoids(worker); }

}  // namespace decksail
