#include "scheduling/scheduling_balancer.h"

#include <algorithm>
#include <cmath>
#include <variant>

namespace millethollow::scheduling {
namespace {

constexpr std::uint64_t kTickMark = 1ULL << 40;  // the module's marks are small
constexpr double kSurelyS = 0.2;  // a report may be so old: what has run for longer is in it
constexpr double kShort = 0.1;    // who is to start in time: as if it were one of the shorter jobs
constexpr double kNoMemory = 1e12;  // where memory binds nothing

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
    scheduler_.runtimes().Expect(static_cast<int>(c), settings_.classes[c].latency_objective_s);
  }
}

void SchedulingBalancer::NameClasses(std::vector<std::string> names) {
  class_names_ = std::move(names);
}

bool SchedulingBalancer::MayHold(int cls) const {
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

int SchedulingBalancer::WorkerOf(std::string_view name) const {
  const auto it = index_.find(name);
  return it == index_.end() ? -1 : it->second;
}

// Takes over what the module believes of the workers, if that has changed.
void SchedulingBalancer::Sync() {
  if (balancer_.version() == seen_version_) return;
  seen_version_ = balancer_.version();
  const std::vector<balancing::WorkerView> views = balancer_.Workers();
  for (std::size_t w = 0; w < views.size(); ++w) {
    const balancing::WorkerView& v = views[w];
    if (w >= workers_.size()) workers_.emplace_back();
    if (workers_[w].name != v.worker) {  // new, or in the place of one that the module forgot
      const auto held = index_.find(workers_[w].name);
      if (held != index_.end() && held->second == static_cast<int>(w)) index_.erase(held);
      workers_[w] = {.name = std::string(v.worker)};
      index_.emplace(workers_[w].name, static_cast<int>(w));
    }
    Worker& worker = workers_[w];
    worker.kind = v.kind;
    if (now_ - worker.others_at > kSurelyS) {
      worker.others_before = worker.others;
      worker.others_at = now_;
    }
    worker.others = v.peer_slots_in_flight;
    const double slots = v.capacity_slots > 0 ? v.capacity_slots : capacity_.Of(v.kind);
    double memory = v.capacity_memory;
    if (memory <= 0) {
      memory = options_.memory_per_slot > 0 ? slots * options_.memory_per_slot : kNoMemory;
    }
    // A report that has just come says more than what peers told some time ago.
    const double others =
        v.reported_free_slots >= 0 && slots > 0
            ? std::max(0.0, slots - std::round(v.reported_free_slots) - v.own_slots_at_report)
            : v.peer_slots_in_flight;
    scheduler_.SetWorker(w, {.kind = v.kind,
                             .usable = v.usable,
                             .cold = v.warming_up,
                             .far = v.in_other_zone,
                             .capacity = {slots, memory},
                             .told = v.capacity_slots > 0,
                             .others = others});
  }
  scheduler_.SetPart(balancer_.DemandShare());
}

// What is free and what surely is taken, by us and by others, is all that the worker has.
void SchedulingBalancer::Reported(int worker, const double (&report)[4]) {
  if (worker < 0) return;
  const Worker& w = workers_[static_cast<std::size_t>(worker)];
  const auto& columns = settings_.load_report_metrics;
  for (std::size_t i = 0; i < columns.size() && i < 4; ++i) {
    if (columns[i] != balancing::LoadMetric::kFreeSlots || !(report[i] >= 0)) continue;
    const double taken =
        scheduler_.SlotsInUseSince(static_cast<std::size_t>(worker), now_ - kSurelyS) +
        std::min(w.others, w.others_before);
    capacity_.Told(w.kind, report[i], taken, now_);
  }
}

// ---- what the module asks ----

balancing::CapacityReservations::Candidate SchedulingBalancer::FindWorker(std::string_view job) {
  Sync();
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return {};
  if (scheduler_.FitsNoWorker(it->second.job)) return {.impossible = true, .worker = {}};
  const int worker = scheduler_.FindWorker(it->second.job, now_);
  if (worker < 0) return {};
  return {.impossible = false, .worker = workers_[static_cast<std::size_t>(worker)].name};
}

bool SchedulingBalancer::HasCapacityFor(std::string_view job, std::string_view worker) {
  Sync();
  const auto it = jobs_.find(job);
  const int w = WorkerOf(worker);
  if (it == jobs_.end() || w < 0) return true;
  return scheduler_.MayStart(it->second.job, static_cast<std::size_t>(w), now_);
}

double SchedulingBalancer::ReservedSlots(std::string_view worker) const {
  const int w = WorkerOf(worker);
  return w < 0 ? 0 : scheduler_.ReservedSlots(static_cast<std::size_t>(w));
}

// ---- events and actions ----

void SchedulingBalancer::Handle(double now_s, const balancing::Event& event,
                                balancing::Actions* actions) {
  now_ = std::max(now_, now_s);
  if (!options_.on) return balancer_.Handle(now_s, event, actions);
  const auto* timer = std::get_if<balancing::TimerFired>(&event);
  if (timer != nullptr && timer->timer_id == kTickMark) {
    ticking_ = false;
    scheduler_.Tick(now_);
  } else {
    Note(event);
    Ask(event, actions);
  }
  Sync();
  while (true) {
    if (!no_room_.empty()) {
      const std::string id = std::move(no_room_.front());
      no_room_.pop_front();
      Ask(balancing::CapacityFound{id, {}}, actions);
      continue;
    }
    const auto start = scheduler_.Next(now_);
    if (!start) break;
    const std::string id = ids_.at(start->job);
    Ask(balancing::CapacityFound{id, workers_[start->worker].name}, actions);
    // Whatever the module made of it, it is not asked the same thing twice in a turn.
    if (scheduler_.IsQueued(start->job)) scheduler_.ExcludeUntilTick(start->worker);
    Sync();
  }
  if (!ticking_ && scheduler_.WantsTick()) {
    ticking_ = true;
    actions->push_back(balancing::SetTimer{kTickMark, Scheduler::kTickS});
  }
}

void SchedulingBalancer::Note(const balancing::Event& event) {
  if (const auto* e = std::get_if<balancing::RequestArrived>(&event)) {
    Arrived(*e);
  } else if (const auto* note = std::get_if<balancing::AttemptProgress>(&event)) {
    const auto it = jobs_.find(note->id);
    const auto a = static_cast<std::size_t>(note->attempt);
    if (it == jobs_.end() || note->attempt < 0 || a >= it->second.attempts.size()) return;
    Attempt& attempt = it->second.attempts[a];
    if (attempt.began_at < 0) attempt.began_at = now_;
  } else if (const auto* end = std::get_if<balancing::AttemptEnded>(&event)) {
    Ended(*end);
  } else if (const auto* gone = std::get_if<balancing::RequestCancelled>(&event)) {
    const auto it = jobs_.find(gone->id);
    if (it != jobs_.end()) Finish(it);
  } else if (const auto* probe = std::get_if<balancing::ProbeAnswered>(&event)) {
    if (probe->has_report) Reported(WorkerOf(probe->worker), probe->report);
  } else if (const auto* changed = std::get_if<balancing::SettingsChanged>(&event)) {
    settings_ = *changed->settings;
    Configure(options_);
  }
}

void SchedulingBalancer::Arrived(const balancing::RequestArrived& e) {
  if (e.cls < 0 || static_cast<std::size_t>(e.cls) >= settings_.classes.size()) return;
  const auto [it, fresh] = jobs_.try_emplace(std::string(e.id));
  if (!fresh) return;
  const balancing::ClassSettings& c = settings_.classes[static_cast<std::size_t>(e.cls)];
  Job& job = it->second.job;
  job.handle = ++last_handle_;
  job.cls = e.cls;
  job.tenant =
      e.tenant >= 0 && static_cast<std::size_t>(e.tenant) < settings_.tenants.size() ? e.tenant : 0;
  job.kind = c.kind;
  job.need = {std::max(e.slots, 1e-3), std::max(0.0, e.memory)};
  job.bytes = e.bytes;
  job.hint_s = e.size_hint_s;
  job.arrived_at = now_;
  const double run = scheduler_.runtimes().Remaining(e.cls, -1, e.size_hint_s, 0, kShort);
  job.start_by =
      std::min(now_ + c.latency_objective_s + std::max(0.0, c.latency_objective_stretch - 1) * run,
               e.expires_s);
  job.may_reserve = MayHold(e.cls);
  for (const balancing::PreviousAttempt& t :
       e.previous_attempts) {  // attempts are counted from the first
    const int w = WorkerOf(t.worker);
    it->second.attempts.push_back(
        {.worker = w < 0 ? 0 : static_cast<std::size_t>(w), .sent_at = t.sent_at, .open = false});
  }
  ids_.emplace(job.handle, it->first);
}

void SchedulingBalancer::Ended(const balancing::AttemptEnded& e) {
  const auto it = jobs_.find(e.id);
  const auto a = static_cast<std::size_t>(e.attempt);
  if (it == jobs_.end() || e.attempt < 0 || a >= it->second.attempts.size()) return;
  Known& known = it->second;
  Attempt& attempt = known.attempts[a];
  if (!attempt.open) return;
  attempt.open = false;
  const double since = attempt.began_at >= 0 ? attempt.began_at : attempt.sent_at;
  scheduler_.OnEnded(known.job.handle, attempt.worker,
                     e.status == AttemptStatus::kSucceeded ? now_ - since : -1);
  if (e.has_report) Reported(static_cast<int>(attempt.worker), e.report);
  if (e.status == AttemptStatus::kRejected) scheduler_.OnRejected(attempt.worker, now_);
  if (e.terminal || e.status == AttemptStatus::kSucceeded) return Finish(it);
  Drop(it);
}

// Hands an event to the module and sees to the actions that concern the room.
void SchedulingBalancer::Ask(const balancing::Event& event, balancing::Actions* actions) {
  const std::size_t first = actions->size();
  balancer_.Handle(now_, event, actions);
  std::size_t kept = first;
  for (std::size_t i = first; i < actions->size(); ++i) {
    balancing::Action& action = (*actions)[i];
    bool keep = true;
    if (const auto* send = std::get_if<balancing::SendAttempt>(&action)) {
      Sync();
      const auto it = jobs_.find(send->id);
      const int w = WorkerOf(send->worker);
      if (it != jobs_.end() && w >= 0) {
        const auto number = static_cast<std::size_t>(w);
        it->second.attempts.push_back({.worker = number, .sent_at = now_});
        scheduler_.OnStarted(it->second.job, number, now_);
      }
    } else if (const auto* hold = std::get_if<balancing::AwaitCapacity>(&action)) {
      keep = false;
      const auto it = jobs_.find(hold->id);
      if (it != jobs_.end()) {
        const Job& job = it->second.job;
        if (!scheduler_.Enqueue(job, now_)) {
          no_room_.push_back(hold->id);
        } else if (const int w = scheduler_.FindWorker(job, now_); w >= 0) {
          scheduler_.ExcludeUntilTick(
              static_cast<std::size_t>(w));  // something else is in the way there
        }
      }
    } else if (const auto* refuse = std::get_if<balancing::RejectRequest>(&action)) {
      const auto it = jobs_.find(refuse->id);
      if (it != jobs_.end()) Finish(it);
    } else if (const auto* fail = std::get_if<balancing::FailRequest>(&action)) {
      const auto it = jobs_.find(fail->id);
      if (it != jobs_.end()) Finish(it);
    }
    if (!keep) continue;
    if (kept != i) (*actions)[kept] = std::move(action);
    ++kept;
  }
  actions->resize(kept);
}

// The job has its final answer, or none is owed. Attempts still out keep their room to their end.
void SchedulingBalancer::Finish(Jobs::iterator it) {
  it->second.ended = true;
  scheduler_.Dequeue(it->second.job.handle);
  Drop(it);
}

void SchedulingBalancer::Drop(Jobs::iterator it) {
  const bool open = std::any_of(it->second.attempts.begin(), it->second.attempts.end(),
                                [](const Attempt& a) { return a.open; });
  if (!it->second.ended || open) return;
  ids_.erase(it->second.job.handle);
  jobs_.erase(it);
}

}  // namespace millethollow::scheduling
