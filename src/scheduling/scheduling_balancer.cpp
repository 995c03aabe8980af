#include "scheduling/scheduling_balancer.h"

#include <algorithm>
#include <cmath>
#include <variant>

namespace millethollow::scheduling {
namespace {

constexpr std::uint64_t kTickTimer = 1ULL << 40;  // the balancer's own timer ids are small
constexpr double kReportMaxAgeS = 0.2;    // what has run for longer is included in any report
constexpr double kStartByQuantile = 0.1;  // a job's time to start by assumes a short run
constexpr double kUnlimitedMemory = 1e12;
constexpr double kMinSlots = 1e-3;

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
  double sum = 0;
  for (const auto& t : settings_.tenants) sum += t.share;
  for (const auto& t : settings_.tenants) {
    shares.push_back(sum > 0 ? t.share / sum : 1.0 / static_cast<double>(settings_.tenants.size()));
  }
  scheduler_.SetTenants(std::move(shares));
  for (std::size_t c = 0; c < settings_.classes.size(); ++c) {
    scheduler_.runtimes().SetPrior(static_cast<int>(c), settings_.classes[c].latency_objective_s);
  }
}

void SchedulingBalancer::NameClasses(std::vector<std::string> names) {
  class_names_ = std::move(names);
}

bool SchedulingBalancer::IsReservingClass(int cls) const {
  const auto c = static_cast<std::size_t>(cls);
  if (!options_.reserving_classes.empty()) {
    return c < class_names_.size() &&
           std::find(options_.reserving_classes.begin(), options_.reserving_classes.end(),
                     class_names_[c]) != options_.reserving_classes.end();
  }
  const auto least = std::min_element(
      settings_.classes.begin(), settings_.classes.end(),
      [](const auto& a, const auto& b) { return a.priority_weight < b.priority_weight; });
  return settings_.classes[c].priority_weight > least->priority_weight;
}

int SchedulingBalancer::FindIndex(std::string_view name) const {
  const auto it = index_.find(name);
  return it == index_.end() ? -1 : it->second;
}

// Copies the balancer's view of the workers to the scheduler, if it has changed.
void SchedulingBalancer::SyncWorkers() {
  if (balancer_.version() == seen_version_) return;
  seen_version_ = balancer_.version();
  const std::vector<balancing::WorkerView> views = balancer_.Workers();
  for (std::size_t w = 0; w < views.size(); ++w) {
    const balancing::WorkerView& v = views[w];
    if (w >= workers_.size()) workers_.emplace_back();
    if (workers_[w].name != v.worker) {  // new, or in the place of a forgotten one
      const auto held = index_.find(workers_[w].name);
      if (held != index_.end() && held->second == static_cast<int>(w)) index_.erase(held);
      workers_[w] = {.name = std::string(v.worker)};
      index_.emplace(workers_[w].name, static_cast<int>(w));
    }
    Worker& worker = workers_[w];
    worker.kind = v.kind;
    if (now_ - worker.others_at > kReportMaxAgeS) {
      worker.others_before = worker.others;
      worker.others_at = now_;
    }
    worker.others = v.peer_slots_in_flight;
    scheduler_.SetWorker(w, StateOf(v));
  }
  scheduler_.SetReservationShare(balancer_.DemandShare());
}

WorkerState SchedulingBalancer::StateOf(const balancing::WorkerView& v) const {
  const double slots = v.capacity_slots > 0 ? v.capacity_slots : capacity_.SlotsOf(v.kind);
  double memory = v.capacity_memory;
  if (memory <= 0) {
    memory = options_.memory_per_slot > 0 ? slots * options_.memory_per_slot : kUnlimitedMemory;
  }
  // A fresh report is better than what peers sent some time ago.
  const bool reported = v.reported_free_slots >= 0 && slots > 0;
  const double other_slots =
      reported ? std::max(0.0, slots - std::round(v.reported_free_slots) - v.own_slots_at_report)
               : v.peer_slots_in_flight;
  return {.kind = v.kind,
          .usable = v.usable,
          .warming_up = v.in_slow_start,
          .remote_zone = v.in_other_zone,
          .capacity = {slots, memory},
          .capacity_reported = v.capacity_slots > 0,
          .other_slots = other_slots};
}

// The free slots and those surely in use, by this node and others, are the worker's capacity.
void SchedulingBalancer::OnReport(int worker, const double (&report)[4]) {
  if (worker < 0) return;
  const Worker& w = workers_[static_cast<std::size_t>(worker)];
  const auto& columns = settings_.load_report_metrics;
  for (std::size_t i = 0; i < columns.size() && i < 4; ++i) {
    if (columns[i] != balancing::LoadMetric::kFreeSlots || !(report[i] >= 0)) continue;
    const double taken =
        scheduler_.SlotsInUseSince(static_cast<std::size_t>(worker), now_ - kReportMaxAgeS) +
        std::min(w.others, w.others_before);
    capacity_.OnReport(w.kind, report[i], taken, now_);
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
  const int w = FindIndex(worker);
  if (it == jobs_.end() || w < 0) return true;
  return scheduler_.MayStart(it->second.job, static_cast<std::size_t>(w), now_);
}

double SchedulingBalancer::ReservedSlots(std::string_view worker) const {
  const int w = FindIndex(worker);
  return w < 0 ? 0 : scheduler_.ReservedSlots(static_cast<std::size_t>(w));
}

// ---- events and actions ----

void SchedulingBalancer::Handle(double now_s, const balancing::Event& event,
                                balancing::Actions* actions) {
  now_ = std::max(now_, now_s);
  if (!options_.on) return balancer_.Handle(now_s, event, actions);
  const auto* timer = std::get_if<balancing::TimerFired>(&event);
  if (timer != nullptr && timer->timer_id == kTickTimer) {
    ticking_ = false;
    scheduler_.Tick(now_);
  } else {
    Observe(event);
    Deliver(event, actions);
  }
  SyncWorkers();
  StartQueued(actions);
  if (!ticking_ && scheduler_.WantsTick()) {
    ticking_ = true;
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
    const std::string id = ids_.at(next->job);
    Deliver(balancing::CapacityFound{id, workers_[next->worker].name}, actions);
    // Not sent there after all: asking again in this turn would get the same answer.
    if (scheduler_.IsQueued(next->job)) scheduler_.ExcludeUntilTick(next->worker);
    SyncWorkers();
  }
}

void SchedulingBalancer::Observe(const balancing::Event& event) {
  if (const auto* e = std::get_if<balancing::RequestArrived>(&event)) {
    OnRequest(*e);
  } else if (const auto* note = std::get_if<balancing::AttemptProgress>(&event)) {
    OnProgress(*note);
  } else if (const auto* end = std::get_if<balancing::AttemptEnded>(&event)) {
    OnAttemptEnded(*end);
  } else if (const auto* gone = std::get_if<balancing::RequestCancelled>(&event)) {
    const auto it = jobs_.find(gone->id);
    if (it != jobs_.end()) FinishJob(it);
  } else if (const auto* probe = std::get_if<balancing::ProbeAnswered>(&event)) {
    if (probe->has_report) OnReport(FindIndex(probe->worker), probe->report);
  } else if (const auto* changed = std::get_if<balancing::SettingsChanged>(&event)) {
    settings_ = *changed->settings;
    Configure(options_);
  }
}

void SchedulingBalancer::OnProgress(const balancing::AttemptProgress& e) {
  const auto it = jobs_.find(e.id);
  const auto a = static_cast<std::size_t>(e.attempt);
  if (it == jobs_.end() || e.attempt < 0 || a >= it->second.attempts.size()) return;
  Attempt& attempt = it->second.attempts[a];
  if (attempt.started_at < 0) attempt.started_at = now_;
}

void SchedulingBalancer::OnRequest(const balancing::RequestArrived& e) {
  if (e.class_index < 0 || static_cast<std::size_t>(e.class_index) >= settings_.classes.size())
    return;
  const auto [it, fresh] = jobs_.try_emplace(std::string(e.id));
  if (!fresh) return;
  const balancing::ClassSettings& c = settings_.classes[static_cast<std::size_t>(e.class_index)];
  Job& job = it->second.job;
  job.handle = ++last_handle_;
  job.cls = e.class_index;
  job.tenant =
      e.tenant >= 0 && static_cast<std::size_t>(e.tenant) < settings_.tenants.size() ? e.tenant : 0;
  job.kind = c.kind;
  job.need = {std::max(e.slots, kMinSlots), std::max(0.0, e.memory)};
  job.bytes = e.bytes;
  job.hint_s = e.size_hint_s;
  job.arrived_at = now_;
  const double run =
      scheduler_.runtimes().Remaining(e.class_index, -1, e.size_hint_s, 0, kStartByQuantile);
  job.start_by =
      std::min(now_ + c.latency_objective_s + std::max(0.0, c.latency_objective_stretch - 1) * run,
               e.expires_s);
  job.may_reserve = IsReservingClass(e.class_index);
  for (const balancing::PreviousAttempt& t : e.previous_attempts) {  // they count as attempts
    const int w = FindIndex(t.worker);
    it->second.attempts.push_back(
        {.worker = w < 0 ? 0 : static_cast<std::size_t>(w), .sent_at = t.sent_at, .open = false});
  }
  ids_.emplace(job.handle, it->first);
}

void SchedulingBalancer::OnAttemptEnded(const balancing::AttemptEnded& e) {
  const auto it = jobs_.find(e.id);
  const auto a = static_cast<std::size_t>(e.attempt);
  if (it == jobs_.end() || e.attempt < 0 || a >= it->second.attempts.size()) return;
  TrackedJob& tracked = it->second;
  Attempt& attempt = tracked.attempts[a];
  if (!attempt.open) return;
  attempt.open = false;
  const double since = attempt.started_at >= 0 ? attempt.started_at : attempt.sent_at;
  scheduler_.OnEnded(tracked.job.handle, attempt.worker,
                     e.status == AttemptStatus::kSucceeded ? now_ - since : -1);
  if (e.has_report) OnReport(static_cast<int>(attempt.worker), e.report);
  if (e.status == AttemptStatus::kRejected) scheduler_.OnRejected(attempt.worker, now_);
  if (e.terminal || e.status == AttemptStatus::kSucceeded) return FinishJob(it);
  EraseIfComplete(it);
}

// Hands an event to the balancer, and keeps the scheduler in step with the actions that follow.
void SchedulingBalancer::Deliver(const balancing::Event& event, balancing::Actions* actions) {
  const std::size_t first = actions->size();
  balancer_.Handle(now_, event, actions);
  std::size_t kept = first;
  for (std::size_t i = first; i < actions->size(); ++i) {
    balancing::Action& action = (*actions)[i];
    AfterAction(action);
    if (std::holds_alternative<balancing::AwaitCapacity>(action)) continue;  // ends here
    if (kept != i) (*actions)[kept] = std::move(action);
    ++kept;
  }
  actions->resize(kept);
}

void SchedulingBalancer::AfterAction(const balancing::Action& action) {
  if (const auto* send = std::get_if<balancing::SendAttempt>(&action)) {
    SyncWorkers();
    const auto it = jobs_.find(send->id);
    const int w = FindIndex(send->worker);
    if (it == jobs_.end() || w < 0) return;
    const auto number = static_cast<std::size_t>(w);
    it->second.attempts.push_back({.worker = number, .sent_at = now_});
    scheduler_.OnStarted(it->second.job, number, now_);
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
  } else if (const int w = scheduler_.FindWorker(job, now_); w >= 0) {
    // There is room, so something else keeps the balancer from sending there.
    scheduler_.ExcludeUntilTick(static_cast<std::size_t>(w));
  }
}

// The job has its final answer, or none is owed. Open attempts keep their slots to their end.
void SchedulingBalancer::FinishJob(Jobs::iterator it) {
  it->second.ended = true;
  scheduler_.Dequeue(it->second.job.handle);
  EraseIfComplete(it);
}

void SchedulingBalancer::EraseIfComplete(Jobs::iterator it) {
  const bool open = std::any_of(it->second.attempts.begin(), it->second.attempts.end(),
                                [](const Attempt& a) { return a.open; });
  if (!it->second.ended || open) return;
  ids_.erase(it->second.job.handle);
  jobs_.erase(it);
}

}  // namespace millethollow::scheduling
