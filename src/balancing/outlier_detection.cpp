// Workers' health, pace and load, and the budget of cold ones.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kMaxReportValue = 1e6;   // a larger figure in a report is none
constexpr double kStartWaitDecayS = 1.0;  // an observed wait for a start says little after this
constexpr double kBaseEjectionS = 2.0,
                 kMaxEjectionS = 12.0;  // first ejection, doubled each time up to this
constexpr double kMaxEjectedShare =
    0.7;  // never more of the fleet than this: a lost zone of two fits
constexpr double kSlowStartShare = 0.5;  // of what the guarantee allows to a cold worker
// In a large tier a cold worker that is asked says itself when it has enough.
constexpr double kSlowStartShareProbed = 0.8;

bool LoadBalancerImpl::WarmingUp(const Worker& w) const {
  return w.started_at_s > 0 && now_ - w.started_at_s < settings_.slow_start_s;
}

// A cold worker gets what a warm one gets on average, times the part of the guarantee by the share
// of capacity that is surely there. Rejected work counts too: every send is charged.
double LoadBalancerImpl::SlowStartShare(const Worker& w) const {
  const double age =
      std::clamp((now_ - w.started_at_s) / std::max(settings_.slow_start_s, 1e-9), 0.0, 1.0);
  const double part = !full_mesh_ && settings_.probing ? kSlowStartShareProbed : kSlowStartShare;
  return part * settings_.slow_start_load_multiple *
         (settings_.slow_start_min_share + (1 - settings_.slow_start_min_share) * age);
}
bool LoadBalancerImpl::SlowStartHasCapacity(const Worker& w) const {
  return now_ - w.reported_at > kLoadReportFreshS ||
         w.reported_free_slots - w.slots_sent_since_report > SlotsOf(w) / 4;
}
double LoadBalancerImpl::SlowStartTokens(const Worker& w) const {
  return w.slow_start_tokens +
         SlowStartShare(w) * worker_rate_rps_ * (now_ - w.slow_start_tokens_at);
}
double LoadBalancerImpl::SlowStartCost(const Job& job) const {
  const double run = ExpectedRun(job);
  return std::max(1.0, job.slots) * std::max(0.5, run / all_run_.Or(run));
}

// In a large tier a node sends a cold worker less than a job: parts can't add up. Each job draws
// one and, if cold, goes there by a chance that gives it its part by power, times the guarantee's.
void LoadBalancerImpl::DrawSlowStartWorker(Job& job) {
  const std::vector<int>& all = Selectable(ClassOf(job.class_index).kind, -1);
  job.slow_start_worker = -1;
  if (full_mesh_ || all.empty()) return;
  const int index = all[random_.Below(all.size())];
  const Worker& w = workers_[Idx(index)];
  if (!WarmingUp(w)) return;
  if (random_.Unit() < SlowStartShare(w) * ThroughputOf(w) / mean_throughput_)
    job.slow_start_worker = index;
}

// Draws go where jobs find room, by kind and zone. Workers that fail one after the other there
// are lost: none could find all out one by one. Trials go on as it is forgiven.
double& LoadBalancerImpl::GroupSuccess(const Worker& w) { return group_success_[GroupOf(w)]; }

void LoadBalancerImpl::Eject(int index) {
  Worker& w = workers_[Idx(index)];
  GroupSuccess(w) *= 0.75;
  if (w.ejected) return;
  w.ejection_s = std::clamp(w.ejection_s * 2, kBaseEjectionS, kMaxEjectionS);
  // Never the whole fleet: then the list is the better guide.
  if (ejected_count_ + 1 > kMaxEjectedShare * ready_count_) return;
  w.ejected = true;
  w.probation = false;
  w.ejected_until = now_ + w.ejection_s * (0.8 + 0.4 * random_.Unit());
  RebuildPools();
}

void LoadBalancerImpl::EndEjections() {  // ejected workers return with one repeatable job at a time
  bool changed = false;
  for (Worker& w : workers_) {
    if (!w.ejected || now_ < w.ejected_until) continue;
    w.ejected = false;
    w.probation = changed = true;
    w.slot_limit = 1;
    w.error_rate = 0;
  }
  if (changed) RebuildPools();
}

void LoadBalancerImpl::OnLoadReport(Worker& w, const double (&report)[4]) {
  for (const double v : report) {  // no worker's figures are negative or so large: unreadable
    if (!(v >= 0 && v < kMaxReportValue)) return;
  }
  w.ApplyReport(now_, settings_.load_report_metrics, report);
  ++version_;
  // A kind holds what two workers agree on: one that is wrong must not make it bottomless.
  double& slots = kind_slots_[Idx(w.kind)];
  auto& [most, who] = kind_max_slots_[Idx(w.kind)];
  const double told = w.ImpliedSlots();
  if (who != &w - workers_.data()) slots = std::max(slots, std::min(most, told));
  if (told > most) std::tie(most, who) = std::pair(told, &w - workers_.data());
  const double busy = slots - w.reported_free_slots;
  if (w.reported_queued < 0)
    w.reported_queued =
        std::max(0.0, w.reported_in_flight - busy);  // the rest of what it holds waits
}

void LoadBalancerImpl::RecordStartWait(Worker& w, double wait) {
  double& kind = group_wait_s_[GroupOf(w)];
  kind += (wait - kind) / 50;
  w.start_wait_s = wait;
  w.start_wait_at = now_;
}
// A worker's last known wait says less and less; then its kind's is the better guess.
double LoadBalancerImpl::StartWaitOf(const Worker& w) const {
  const double kind = group_wait_s_[GroupOf(w)];
  return kind + (w.start_wait_s - kind) * std::exp((w.start_wait_at - now_) / kStartWaitDecayS);
}

void LoadBalancerImpl::RecordRunTime(const Job& job, const Attempt& a, Worker& w) {
  const double took = std::max(1e-4, now_ - (a.started_at >= 0 ? a.started_at : a.sent_at));
  const double ratio = std::min(took / std::max(ExpectedRun(job), 1e-4), 10.0);
  class_run_time_[Idx(job.class_index)].Add(took, 200);
  all_run_.Add(took, 400);
  if (job.size_hint_s > 0) class_hint_fit_[Idx(job.class_index)].Add(job.size_hint_s, took, 200);
  kind_pace_[Idx(w.kind)].Add(ratio, 200);
  if (job.key != 0) (a.recent_key ? recent_key_pace_ : other_key_pace_).Add(took / PaceOf(w), 200);
  if (!full_mesh_) {
    const auto tell = [this](std::size_t at, double sum) {
      own_rates_[at] += sum;
      own_rates_[at + 1] += 1;
    };
    // Classes that came by a reload have no place in the reports.
    if (job.class_index < shared_class_count_) tell(SharedEstimateIndex(job.class_index, -1), took);
    tell(SharedEstimateIndex(-1, w.kind), ratio);
  }
  w.pace_weight = std::min(w.pace_weight * std::exp((w.pace_at - now_) / kPaceDecayS) + 1, 16.0);
  w.pace += (ratio - w.pace) / w.pace_weight;
  w.pace_at = now_;
}

// No room for the job. Only a warm, ready worker of ordinary pace that could hold it speaks of the
// fleet; one full worker says little while others have room, two say more.
void LoadBalancerImpl::OnBlocked(Job& job, Attempt& a, bool full, bool late) {
  Worker& w = workers_[Idx(a.worker)];
  if (!a.blocked) w.slot_limit = std::max(1.0, (w.slot_limit + a.slots_before) / 2);
  a.blocked = true;
  const bool holds = SlotsOf(w) == 0 || job.slots <= SlotsOf(w);
  if (!w.ready || w.probation || WarmingUp(w) || !holds) return;
  if (full && ++job.full_count <= 2) full_signals_ += load_unreported_ ? job.full_count - 1 : 0.5;
  if (late && !job.counted_late) late_signals_ += 1;
  job.counted_late |= late;
}

}  // namespace millethollow::balancing
