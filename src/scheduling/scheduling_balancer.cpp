#include "scheduling/scheduling_balancer.h"

#include <algorithm>
#include <cmath>
#include <variant>

namespace millethollow::scheduling {
namespace {

// Timer id of the scheduler's tick. The balancer's own timer ids are small.
constexpr std::uint64_t kTickTimer = 1ULL << 40;
// A job that has run for longer than this is included in any load report that arrives.
constexpr double kReportMaxAgeS = 0.2;
// A job's time to start by assumes this quantile of its run time, which is a short run.
constexpr double kStartByQuantile = 0.1;
constexpr double kUnlimitedMemory = 1e12;
constexpr double kMinSlots = 1e-3;  // a job that needs fewer slots counts as needing this many

}  // namespace

using balancing::AttemptStatus;

SchedulingBalancer::SchedulingBalancer(const balancing::Settings& settings, std::uint64_t seed,
                                       const Options& options)
    : options_(options), settings_(settings), balancer_(settings, seed), scheduler_(options, seed) {
  if (!options_.on) return;
  balancer_.SetCapacityReservations(this);
  Configure(options);
}

void SchedulingBalancer::Configure(const Options& options) {
  const bool on = options_.on;
  options_ = options;
  options_.on = on;
  scheduler_.Configure(options_);
  std::vector<double> shares;
  double share_sum = 0;
  for (const auto& tenant : settings_.tenants) share_sum += tenant.share;
  for (const auto& tenant : settings_.tenants) {
    shares.push_back(share_sum > 0 ? tenant.share / share_sum
                                   : 1.0 / static_cast<double>(settings_.tenants.size()));
  }
  scheduler_.SetTenants(std::move(shares));
  for (std::size_t class_index = 0; class_index < settings_.classes.size(); ++class_index) {
    scheduler_.runtimes().SetPrior(static_cast<int>(class_index),
                                   settings_.classes[class_index].latency_objective_s);
  }
}

void SchedulingBalancer::SetClassNames(std::vector<std::string> names) {
  class_names_ = std::move(names);
}

bool SchedulingBalancer::IsReservingClass(int class_index) const {
  const auto index = static_cast<std::size_t>(class_index);
  if (!options_.reserving_classes.empty()) {
    return index < class_names_.size() &&
           std::find(options_.reserving_classes.begin(), options_.reserving_classes.end(),
                     class_names_[index]) != options_.reserving_classes.end();
  }
  const auto lowest = std::min_element(settings_.classes.begin(), settings_.classes.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.priority_weight < right.priority_weight;
                                       });
  return settings_.classes[index].priority_weight > lowest->priority_weight;
}

int SchedulingBalancer::FindWorkerIndex(std::string_view name) const {
  const auto it = index_by_name_.find(name);
  return it == index_by_name_.end() ? -1 : it->second;
}

// Copies the balancer's view of the workers to the scheduler if it has changed.
void SchedulingBalancer::SyncWorkers() {
  if (balancer_.version() == synced_version_) return;
  synced_version_ = balancer_.version();
  const std::vector<balancing::WorkerView> views = balancer_.Workers();
  for (std::size_t index = 0; index < views.size(); ++index) {
    const balancing::WorkerView& view = views[index];
    if (index >= workers_.size()) workers_.emplace_back();
    if (workers_[index].name != view.worker) {  // new, or in the place of an erased worker
      const auto indexed = index_by_name_.find(workers_[index].name);
      if (indexed != index_by_name_.end() && indexed->second == static_cast<int>(index))
        index_by_name_.erase(indexed);
      workers_[index] = {.name = std::string(view.worker)};
      index_by_name_.emplace(workers_[index].name, static_cast<int>(index));
    }
    Worker& worker = workers_[index];
    worker.kind = view.kind;
    if (now_ - worker.other_slots_updated_at > kReportMaxAgeS) {
      worker.previous_other_slots = worker.other_slots;
      worker.other_slots_updated_at = now_;
    }
    worker.other_slots = view.peer_slots_in_flight;
    scheduler_.SetWorker(index, MakeWorkerState(view));
  }
  scheduler_.SetReservationShare(balancer_.DemandShare());
}

WorkerState SchedulingBalancer::MakeWorkerState(const balancing::WorkerView& view) const {
  const double slots =
      view.capacity_slots > 0 ? view.capacity_slots : capacity_estimator_.SlotsOf(view.kind);
  double memory = view.capacity_memory;
  if (memory <= 0) {
    memory = options_.memory_per_slot > 0 ? slots * options_.memory_per_slot : kUnlimitedMemory;
  }
  // A recent report of the worker is more accurate than earlier usage reports of peers.
  const bool reported = view.reported_free_slots >= 0 && slots > 0;
  const double other_slots =
      reported
          ? std::max(0.0, slots - std::round(view.reported_free_slots) - view.own_slots_at_report)
          : view.peer_slots_in_flight;
  return {.kind = view.kind,
          .usable = view.usable,
          .in_slow_start = view.in_slow_start,
          .remote_zone = view.in_other_zone,
          .capacity = {slots, memory},
          .capacity_reported = view.capacity_slots > 0,
          .other_slots = other_slots};
}

// Adds a sample of the capacity: the free slots and those certainly in use, by this node and
// others.
void SchedulingBalancer::OnLoadReport(int worker, const double (&report)[4]) {
  if (worker < 0) return;
  const Worker& reporting_worker = workers_[static_cast<std::size_t>(worker)];
  const auto& metrics = settings_.load_report_metrics;
  for (std::size_t i = 0; i < metrics.size() && i < 4; ++i) {
    if (metrics[i] != balancing::LoadMetric::kFreeSlots || !(report[i] >= 0)) continue;
    const double slots_in_use =
        scheduler_.SlotsInUseSince(static_cast<std::size_t>(worker), now_ - kReportMaxAgeS) +
        std::min(reporting_worker.other_slots, reporting_worker.previous_other_slots);
    capacity_estimator_.OnReport(reporting_worker.kind, report[i], slots_in_use, now_);
  }
}

// ---- CapacityReservations ----

balancing::CapacityReservations::Candidate SchedulingBalancer::FindWorker(std::string_view job) {
  SyncWorkers();
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return {};
  if (scheduler_.FitsNoWorker(it->second.job)) return {.impossible = true, .worker = {}};
  const int worker = scheduler_.FindWorker(it->second.job, now_);
  if (worker < 0) return {};
  return {.impossible = false, .worker = workers_[static_cast<std::size_t>(worker)].name};
}

bool SchedulingBalancer::HasCapacityFor(std::string_view job, std::string_view worker) {
  SyncWorkers();
  const auto it = jobs_.find(job);
  const int worker_index = FindWorkerIndex(worker);
  if (it == jobs_.end() || worker_index < 0) return true;
  return scheduler_.MayStart(it->second.job, static_cast<std::size_t>(worker_index), now_);
}

double SchedulingBalancer::ReservedSlots(std::string_view worker) const {
  const int worker_index = FindWorkerIndex(worker);
  return worker_index < 0 ? 0 : scheduler_.ReservedSlots(static_cast<std::size_t>(worker_index));
}

// ---- events and actions ----

void SchedulingBalancer::Handle(double now_s, const balancing::Event& event,
                                balancing::Actions* actions) {
  now_ = std::max(now_, now_s);
  if (!options_.on) return balancer_.Handle(now_s, event, actions);
  const auto* timer = std::get_if<balancing::TimerFired>(&event);
  if (timer != nullptr && timer->timer_id == kTickTimer) {
    tick_timer_set_ = false;
    scheduler_.Tick(now_);
  } else {
    TrackEvent(event);
    Deliver(event, actions);
  }
  SyncWorkers();
  StartQueued(actions);
  if (!tick_timer_set_ && scheduler_.WantsTick()) {
    tick_timer_set_ = true;
    actions->push_back(balancing::SetTimer{kTickTimer, Scheduler::kTickS});
  }
}

void SchedulingBalancer::StartQueued(balancing::Actions* actions) {
  while (true) {
    if (!rejected_by_queue_.empty()) {
      const std::string id = std::move(rejected_by_queue_.front());
      rejected_by_queue_.pop_front();
      Deliver(balancing::CapacityFound{id, {}}, actions);
      continue;
    }
    const auto next = scheduler_.Next(now_);
    if (!next) return;
    const std::string id = id_by_handle_.at(next->job);
    Deliver(balancing::CapacityFound{id, workers_[next->worker].name}, actions);
    // The balancer did not send the job there, and would not if it were asked again now.
    if (scheduler_.IsQueued(next->job)) scheduler_.ExcludeUntilTick(next->worker);
    SyncWorkers();
  }
}

void SchedulingBalancer::TrackEvent(const balancing::Event& event) {
  if (const auto* arrived = std::get_if<balancing::RequestArrived>(&event)) {
    OnRequestArrived(*arrived);
  } else if (const auto* progress = std::get_if<balancing::AttemptProgress>(&event)) {
    OnAttemptProgress(*progress);
  } else if (const auto* ended = std::get_if<balancing::AttemptEnded>(&event)) {
    OnAttemptEnded(*ended);
  } else if (const auto* cancelled = std::get_if<balancing::RequestCancelled>(&event)) {
    const auto it = jobs_.find(cancelled->id);
    if (it != jobs_.end()) FinishJob(it);
  } else if (const auto* probe = std::get_if<balancing::ProbeAnswered>(&event)) {
    if (probe->has_report) OnLoadReport(FindWorkerIndex(probe->worker), probe->report);
  } else if (const auto* settings_changed = std::get_if<balancing::SettingsChanged>(&event)) {
    settings_ = *settings_changed->settings;
    Configure(options_);
  }
}

void SchedulingBalancer::OnAttemptProgress(const balancing::AttemptProgress& event) {
  const auto it = jobs_.find(event.id);
  const auto attempt_index = static_cast<std::size_t>(event.attempt);
  if (it == jobs_.end() || event.attempt < 0 || attempt_index >= it->second.attempts.size()) return;
  Attempt& attempt = it->second.attempts[attempt_index];
  if (attempt.started_at < 0) attempt.started_at = now_;
}

void SchedulingBalancer::OnRequestArrived(const balancing::RequestArrived& event) {
  if (event.class_index < 0 ||
      static_cast<std::size_t>(event.class_index) >= settings_.classes.size())
    return;
  const auto [it, inserted] = jobs_.try_emplace(std::string(event.id));
  if (!inserted) return;
  const balancing::ClassSettings& class_settings =
      settings_.classes[static_cast<std::size_t>(event.class_index)];
  Job& job = it->second.job;
  job.handle = ++last_handle_;
  job.class_index = event.class_index;
  job.tenant =
      event.tenant >= 0 && static_cast<std::size_t>(event.tenant) < settings_.tenants.size()
          ? event.tenant
          : 0;
  job.kind = class_settings.kind;
  job.need = {std::max(event.slots, kMinSlots), std::max(0.0, event.memory)};
  job.bytes = event.bytes;
  job.hint_s = event.size_hint_s;
  job.arrived_at = now_;
  const double run_s = scheduler_.runtimes().Remaining(event.class_index, -1, event.size_hint_s, 0,
                                                       kStartByQuantile);
  job.start_by = std::min(now_ + class_settings.latency_objective_s +
                              std::max(0.0, class_settings.latency_objective_stretch - 1) * run_s,
                          event.expires_s);
  job.may_reserve = IsReservingClass(event.class_index);
  // Attempts of another process count as attempts of this job.
  for (const balancing::PreviousAttempt& previous : event.previous_attempts) {
    const int worker_index = FindWorkerIndex(previous.worker);
    it->second.attempts.push_back(
        {.worker = worker_index < 0 ? 0 : static_cast<std::size_t>(worker_index),
         .sent_at = previous.sent_at,
         .open = false});
  }
  id_by_handle_.emplace(job.handle, it->first);
}

void SchedulingBalancer::OnAttemptEnded(const balancing::AttemptEnded& event) {
  const auto it = jobs_.find(event.id);
  const auto attempt_index = static_cast<std::size_t>(event.attempt);
  if (it == jobs_.end() || event.attempt < 0 || attempt_index >= it->second.attempts.size()) return;
  TrackedJob& tracked = it->second;
  Attempt& attempt = tracked.attempts[attempt_index];
  if (!attempt.open) return;
  attempt.open = false;
  const double since = attempt.started_at >= 0 ? attempt.started_at : attempt.sent_at;
  scheduler_.OnEnded(tracked.job.handle, attempt.worker,
                     event.status == AttemptStatus::kSucceeded ? now_ - since : -1);
  if (event.has_report) OnLoadReport(static_cast<int>(attempt.worker), event.report);
  if (event.status == AttemptStatus::kRejected) scheduler_.OnRejected(attempt.worker, now_);
  if (event.terminal || event.status == AttemptStatus::kSucceeded) return FinishJob(it);
  EraseIfComplete(it);
}

// Passes an event to the balancer and tracks the resulting actions. Removes AwaitCapacity actions,
// which are for the scheduler.
void SchedulingBalancer::Deliver(const balancing::Event& event, balancing::Actions* actions) {
  const std::size_t first = actions->size();
  balancer_.Handle(now_, event, actions);
  std::size_t kept = first;
  for (std::size_t i = first; i < actions->size(); ++i) {
    balancing::Action& action = (*actions)[i];
    TrackAction(action);  // handles AwaitCapacity
    if (std::holds_alternative<balancing::AwaitCapacity>(action)) continue;
    if (kept != i) (*actions)[kept] = std::move(action);
    ++kept;
  }
  actions->resize(kept);
}

void SchedulingBalancer::TrackAction(const balancing::Action& action) {
  if (const auto* send = std::get_if<balancing::SendAttempt>(&action)) {
    SyncWorkers();
    const auto it = jobs_.find(send->id);
    const int worker_index = FindWorkerIndex(send->worker);
    if (it == jobs_.end() || worker_index < 0) return;
    const auto worker = static_cast<std::size_t>(worker_index);
    it->second.attempts.push_back({.worker = worker, .sent_at = now_});
    scheduler_.OnStarted(it->second.job, worker, now_);
  } else if (const auto* await = std::get_if<balancing::AwaitCapacity>(&action)) {
    OnAwaitCapacity(await->id);
  } else if (const auto* reject = std::get_if<balancing::RejectRequest>(&action)) {
    const auto it = jobs_.find(reject->id);
    if (it != jobs_.end()) FinishJob(it);
  } else if (const auto* fail = std::get_if<balancing::FailRequest>(&action)) {
    const auto it = jobs_.find(fail->id);
    if (it != jobs_.end()) FinishJob(it);
  }
}

void SchedulingBalancer::OnAwaitCapacity(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const Job& job = it->second.job;
  if (!scheduler_.Enqueue(job, now_)) {
    rejected_by_queue_.push_back(id);
  } else if (const int worker = scheduler_.FindWorker(job, now_); worker >= 0) {
    // The worker has enough free resources, so the balancer has another reason not to send to it.
    scheduler_.ExcludeUntilTick(static_cast<std::size_t>(worker));
  }
}

// The job has had its final answer, or none is due. Open attempts keep their slots until they end.
void SchedulingBalancer::FinishJob(Jobs::iterator it) {
  it->second.ended = true;
  scheduler_.Dequeue(it->second.job.handle);
  EraseIfComplete(it);
}

void SchedulingBalancer::EraseIfComplete(Jobs::iterator it) {
  const bool open = std::any_of(it->second.attempts.begin(), it->second.attempts.end(),
                                [](const Attempt& attempt) { return attempt.open; });
  if (!it->second.ended || open) return;
  id_by_handle_.erase(it->second.job.handle);
  jobs_.erase(it);
}

}  // namespace millethollow::scheduling
