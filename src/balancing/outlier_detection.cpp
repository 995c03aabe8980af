// Workers' health, pace and load, and the budget of cold ones.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kMostReport = 1e6;  // a larger figure in a report is none
constexpr double kWaitTrustS = 1.0;  // an observed wait for a start says little after this
constexpr double kEjectS = 2.0, kEjectMostS = 12.0;  // first ejection, doubled each time up to this
constexpr double kEjectShare = 0.7;  // never more of the fleet than this: a lost zone of two fits
constexpr double kColdPart = 0.5;    // of what the guarantee allows to a cold worker
// In a large tier a cold worker that is asked says itself when it has enough.
constexpr double kColdPartAsked = 0.8;

bool LoadBalancerImpl::Cold(const Worker& w) const {
  return w.born > 0 && now_ - w.born < s_.slow_start_s;
}

// A cold worker gets what a warm one gets on average, times the part of the guarantee by the share
// of capacity that is surely there. Rejected work counts too: every send is charged.
double LoadBalancerImpl::ColdPart(const Worker& w) const {
  const double age = std::clamp((now_ - w.born) / std::max(s_.slow_start_s, 1e-9), 0.0, 1.0);
  const double part = !direct_ && s_.probing ? kColdPartAsked : kColdPart;
  return part * s_.slow_start_load_multiple *
         (s_.slow_start_min_share + (1 - s_.slow_start_min_share) * age);
}
bool LoadBalancerImpl::ColdRoom(const Worker& w) const {
  return now_ - w.report_at > kReportTrustS || w.free - w.sent_since > SlotsOf(w) / 4;
}
double LoadBalancerImpl::ColdHeld(const Worker& w) const {
  return w.cold_tokens + ColdPart(w) * carried_ * (now_ - w.cold_at);
}
double LoadBalancerImpl::ColdCost(const Job& job) const {
  const double run = ExpectedRun(job);
  return std::max(1.0, job.slots) * std::max(0.5, run / all_run_.Or(run));
}

// In a large tier a node sends a cold worker less than a job: parts can't add up. Each job draws
// one and, if cold, goes there by a chance that gives it its part by power, times the guarantee's.
void LoadBalancerImpl::DrawCold(Job& job) {
  const std::vector<int>& all = Pool(ClassOf(job.cls).kind, -1);
  job.cold_drawn = -1;
  if (direct_ || all.empty()) return;
  const int index = all[random_.Below(all.size())];
  const Worker& w = workers_[Idx(index)];
  if (!Cold(w)) return;
  if (random_.Unit() < ColdPart(w) * Power(w) / mean_power_) job.cold_drawn = index;
}

// Draws go where jobs find room, by kind and zone. Workers that fail one after the other there
// are lost: none could find all out one by one. Trials go on as it is forgiven.
double& LoadBalancerImpl::Room(const Worker& w) { return room_[GroupOf(w)]; }

void LoadBalancerImpl::Eject(int index) {
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

void LoadBalancerImpl::LetBack() {  // ejected workers return with one repeatable job at a time
  bool changed = false;
  for (Worker& w : workers_) {
    if (!w.ejected || now_ < w.eject_until) continue;
    w.ejected = false;
    w.probation = changed = true;
    w.limit = 1;
    w.errors = 0;
  }
  if (changed) RemakePools();
}

void LoadBalancerImpl::TakeReport(Worker& w, const double (&report)[4]) {
  for (const double v : report) {  // no worker's figures are negative or so large: unreadable
    if (!(v >= 0 && v < kMostReport)) return;
  }
  w.TakeReport(now_, s_.load_report_metrics, report);
  ++version_;
  // A kind holds what two workers agree on: one that is wrong must not make it bottomless.
  double& slots = kind_slots_[Idx(w.kind)];
  auto& [most, who] = kind_most_[Idx(w.kind)];
  const double told = w.SlotsTold();
  if (who != &w - workers_.data()) slots = std::max(slots, std::min(most, told));
  if (told > most) std::tie(most, who) = std::pair(told, &w - workers_.data());
  const double busy = slots - w.free;
  if (w.queued < 0) w.queued = std::max(0.0, w.held - busy);  // the rest of what it holds waits
}

void LoadBalancerImpl::LearnWait(Worker& w, double wait) {
  double& kind = wait_[GroupOf(w)];
  kind += (wait - kind) / 50;
  w.wait = wait;
  w.wait_at = now_;
}
// A worker's last known wait says less and less; then its kind's is the better guess.
double LoadBalancerImpl::WaitOf(const Worker& w) const {
  const double kind = wait_[GroupOf(w)];
  return kind + (w.wait - kind) * std::exp((w.wait_at - now_) / kWaitTrustS);
}

void LoadBalancerImpl::LearnPace(const Job& job, const Attempt& a, Worker& w) {
  const double took = std::max(1e-4, now_ - (a.started_at >= 0 ? a.started_at : a.sent_at));
  const double ratio = std::min(took / std::max(ExpectedRun(job), 1e-4), 10.0);
  run_[Idx(job.cls)].Add(took, 200);
  all_run_.Add(took, 400);
  if (job.hint > 0) hinted_[Idx(job.cls)].Add(job.hint, took, 200);
  kind_pace_[Idx(w.kind)].Add(ratio, 200);
  if (job.key != 0) (a.warm ? warm_ : cold_).Add(took / PaceOf(w), 200);
  if (!direct_) {
    const auto tell = [this](std::size_t at, double sum) {
      own_[at] += sum;
      own_[at + 1] += 1;
    };
    // Classes that came by a reload have no place in the reports.
    if (job.cls < lore_classes_) tell(LoreOf(job.cls, -1), took);
    tell(LoreOf(-1, w.kind), ratio);
  }
  w.pace_n = std::min(w.pace_n * std::exp((w.pace_at - now_) / kPaceTrustS) + 1, 16.0);
  w.pace += (ratio - w.pace) / w.pace_n;
  w.pace_at = now_;
}

// No room for the job. Only a warm, ready worker of ordinary pace that could hold it speaks of the
// fleet; one full worker says little while others have room, two say more.
void LoadBalancerImpl::Blocked(Job& job, Attempt& a, bool full, bool late) {
  Worker& w = workers_[Idx(a.worker)];
  if (!a.blocked) w.limit = std::max(1.0, (w.limit + a.out_before) / 2);
  a.blocked = true;
  const bool holds = SlotsOf(w) == 0 || job.slots <= SlotsOf(w);
  if (!w.ready || w.probation || Cold(w) || !holds) return;
  if (full && ++job.fulls <= 2) fulls_ += blind_ ? job.fulls - 1 : 0.5;
  if (late && !job.late) lates_ += 1;
  job.late |= late;
}

}  // namespace millethollow::balancing
