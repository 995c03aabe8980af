#include "scheduling/scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace millethollow::scheduling {
namespace {

constexpr double kInf = std::numeric_limits<double>::infinity();
constexpr Resources kBottomless{1e12, 1e12};
constexpr double kLikely = 0.5;          // a running job's end, for a reservation: as likely as not
constexpr double kSure = 0.75;           // a backfilled job's: it should not delay who waits
constexpr std::uint64_t kLateTurn = 16;  // one start in so many goes to a job that is late already
constexpr std::size_t kLooks = 32;       // workers compared for a reservation: a small fleet whole
constexpr double kFullS = 0.2;           // a worker that turned a job away is full for so long
constexpr int kHinted = 4;               // jobs of a shape that are tried where their hints differ

int SlotSteps(double slots) { return static_cast<int>(std::ceil(slots * 4 - kRounding)); }
// Even steps up to two units, then of a twentieth: few shapes, and little room lost to rounding.
int MemorySteps(double memory) {
  if (memory <= 2) return static_cast<int>(std::ceil(memory * 32 - kRounding));
  return 64 + static_cast<int>(std::ceil(std::log(memory / 2) / std::log(1.05) - kRounding));
}
double MemoryOf(int steps) {
  return steps <= 64 ? steps / 32.0 : 2 * std::pow(1.05, static_cast<double>(steps) - 64);
}

std::uint64_t Scramble(std::uint64_t a, std::uint64_t b) {  // SplitMix64's last steps
  std::uint64_t z = a * 0x9e3779b97f4a7c15ULL + b;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

}  // namespace

void Scheduler::Configure(const Options& options) {
  options_ = options;
  plan_ = true;
}

// ---- workers ----

// A capacity that was learned may be too low. A job that by all of them never fits is tried alone.
Resources Scheduler::Clamped(const Worker& w, const Resources& need) const {
  if (w.facts.told || need.Within(largest_.at(w.facts.kind))) return need;
  return {std::min(need.slots, w.facts.capacity.slots),
          std::min(need.memory, w.facts.capacity.memory)};
}

Resources Scheduler::Others(const Worker& w) const {
  const double unit = w.facts.capacity.slots > 0
                          ? w.facts.capacity.memory / w.facts.capacity.slots
                          : 0;  // others' jobs take their slot's part of the memory
  const double slots = std::max(w.facts.others, w.full_others);
  return {slots, slots * std::min(unit, options_.memory_per_slot)};
}

Resources Scheduler::Free(const Worker& w) const {
  if (!w.facts.usable || w.shunned) return {-1, -1};
  if (w.facts.capacity.slots <= 0) return kBottomless;
  return w.facts.capacity - Others(w) - w.used;
}

void Scheduler::SetWorker(std::size_t worker, const WorkerState& facts) {
  if (worker >= workers_.size()) workers_.resize(worker + 1);
  Worker& w = workers_[worker];
  if (w.listed && w.facts == facts) return;
  const auto count = [this](const WorkerState& f, double sign) {
    const double slots = f.usable ? sign * f.capacity.slots : 0;
    fleet_slots_ += slots;
    near_slots_ += f.far ? 0 : slots;
  };
  if (w.listed) count(w.facts, -1);
  count(facts, 1);
  const bool lost = w.listed && w.facts.usable && !facts.usable;
  if (w.listed && (w.facts.kind != facts.kind || w.facts.far != facts.far)) {
    for (const int kind : {-1, w.facts.kind}) open_[{kind, w.facts.far}].Set(worker, {-1, -1});
  }
  w.facts = facts;
  w.listed = true;
  for (const int kind : {-1, facts.kind}) {
    Resources& largest = largest_.try_emplace(kind, Resources{0, 0}).first->second;
    largest = {std::max(largest.slots, facts.capacity.slots),
               std::max(largest.memory, facts.capacity.memory)};
  }
  if (lost && w.held_for != 0) Unhold(&waiting_.at(w.held_for), true);
  // A job that had room here may now do better elsewhere, and the other way round.
  plan_ = true;
  Touch(worker);
}

void Scheduler::Touch(std::size_t worker) {
  Worker& w = workers_[worker];
  Resources room = Free(w);
  if (w.held_for != 0) room = room - Clamped(w, waiting_.at(w.held_for).job.need);
  for (const int kind : {-1, w.facts.kind}) open_[{kind, w.facts.far}].Set(worker, room);
  if (w.dirty || waiting_.empty() || !w.facts.usable) return;
  w.dirty = true;
  dirty_.push_back(worker);
}

double Scheduler::EndOf(const Worker& w, const Run& run, double now) const {
  return now + estimates_.Remaining(run.cls, w.facts.kind, run.hint_s, now - run.since, kLikely);
}

// When there will be room for `need`, as far as can be told. What others have there ends last.
double Scheduler::Shadow(const Worker& w, const Resources& need, double now) const {
  Resources room = Free(w);
  if (need.Within(room)) return now;
  std::vector<std::pair<double, Resources>> ends;
  for (const Run& run : w.runs) ends.emplace_back(EndOf(w, run, now), run.need);
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  double last = now;
  for (const auto& [at, freed] : ends) {
    room = room + freed;
    last = at;
    if (need.Within(room)) return at;
  }
  if (!need.Within(w.facts.capacity)) return kInf;
  return last + mean_run_s_;  // of others nothing more is known
}

// Would the job that room is held for at `w` start as early with this one beside it?
bool Scheduler::SparesHeld(const Worker& w, const Job& job, const Resources& need,
                           double now) const {
  const Waiting& holder = waiting_.at(w.held_for);
  if (holder.job.handle == job.handle) return true;
  const Resources held = Clamped(w, holder.job.need);
  const Resources room = Free(w);
  if (need.Within(room - held)) return true;
  const double shadow = Shadow(w, held, now);
  if (now + estimates_.Remaining(job.cls, w.facts.kind, job.hint_s, 0, kSure) <= shadow)
    return true;
  Resources then = room;
  for (const Run& run : w.runs) {
    if (EndOf(w, run, now) <= shadow) then = then + run.need;
  }
  return need.Within(then - held);
}

// To wait a little for a slot nearby costs less than to cross, as long as few wait for it (delay
// scheduling; Zaharia et al. 2010).
bool Scheduler::MayCross(const Job& job, double now) const {
  return now - job.arrived_at >= options_.local_zone_wait_s || Crowded(waiting_.size());
}

// With room in both zones the choice is the module's: it weighs the price of crossing.
bool Scheduler::RoomNear(const Job& job) const {
  const auto near = open_.find({job.kind, false});
  return near != open_.end() && near->second.Find(job.need) >= 0;
}

bool Scheduler::Crowded(std::size_t waiting) const {
  const double soon = near_slots_ * options_.local_zone_wait_s / mean_run_s_;
  return static_cast<double>(waiting) > soon;
}

void Scheduler::LookFar() {
  if (near_slots_ >= fleet_slots_) return;
  for (std::size_t w = 0; w < workers_.size(); ++w) {
    if (workers_[w].facts.far && Free(workers_[w]).slots > 0) Touch(w);
  }
}

bool Scheduler::MayStart(const Job& job, std::size_t worker, double now) const {
  if (worker >= workers_.size()) return false;
  const Worker& w = workers_[worker];
  if (!w.facts.usable || w.shunned || !KindFits(job.kind, w)) return false;
  if (w.facts.far && !MayCross(job, now) && !RoomNear(job)) return false;
  const Resources need = Clamped(w, job.need);
  if (w.facts.capacity.slots > 0 && !need.Within(Free(w))) return false;
  return w.held_for == 0 || SparesHeld(w, job, need, now);
}

int Scheduler::FindWorker(const Job& job, double now) const {
  const auto held = waiting_.find(job.handle);
  if (held != waiting_.end() && held->second.held_at >= 0 &&
      MayStart(job, static_cast<std::size_t>(held->second.held_at), now)) {
    return held->second.held_at;
  }
  for (const bool far : {false, true}) {
    const auto index = open_.find({job.kind, far});
    if (index == open_.end() || (far && !MayCross(job, now))) continue;
    const int found = index->second.Find(job.need, Scramble(seed_, job.handle));
    if (found >= 0) return found;
  }
  std::size_t looked = 0;
  for (const int w : reserved_) {
    if (++looked > kLooks) break;
    if (MayStart(job, static_cast<std::size_t>(w), now)) return w;
  }
  // It may be larger than any capacity that was learned: then an idle worker is to try.
  const auto largest = largest_.find(job.kind);
  if (largest == largest_.end() || job.need.Within(largest->second)) return -1;
  for (std::size_t w = 0; w < workers_.size(); ++w) {
    if (MayStart(job, w, now)) return static_cast<int>(w);
  }
  return -1;
}

bool Scheduler::FitsNoWorker(const Job& job) const {
  const auto largest = largest_.find(job.kind);
  if (largest == largest_.end() || job.need.Within(largest->second)) return false;
  bool any = false;
  for (const Worker& w : workers_) {
    if (!w.facts.usable || !KindFits(job.kind, w)) continue;
    if (!w.facts.told || job.need.Within(w.facts.capacity)) return false;
    any = true;
  }
  return any;
}

// ---- jobs ----

void Scheduler::AddToShape(Waiting* waiting) {
  Shape& shape = shapes_[waiting->shape];
  shape.timely.emplace(waiting->job.start_by, waiting->job.handle);
  if (waiting->job.may_reserve && waiting->held_at < 0) {
    holdable_[waiting->job.tenant].insert(waiting->job.handle);
    plan_ = true;
  }
}

void Scheduler::RemoveFromShape(Waiting* waiting) {
  const auto it = shapes_.find(waiting->shape);
  if (it == shapes_.end()) return;
  it->second.timely.erase({waiting->job.start_by, waiting->job.handle});
  it->second.late.erase(waiting->job.handle);
  if (it->second.timely.empty() && it->second.late.empty()) shapes_.erase(it);
  const auto mine = holdable_.find(waiting->job.tenant);
  if (mine == holdable_.end()) return;
  mine->second.erase(waiting->job.handle);
  if (mine->second.empty()) holdable_.erase(mine);
}

bool Scheduler::Enqueue(const Job& job, double now) {
  if (waiting_.contains(job.handle)) return true;
  const auto most = static_cast<double>(options_.max_queued_jobs);
  const bool crowded = static_cast<double>(by_tenant_[job.tenant]) >=
                       std::max(1.0, options_.max_tenant_share * most);
  if (waiting_.size() >= options_.max_queued_jobs || crowded ||
      bytes_ + job.bytes > options_.max_queued_bytes) {
    figures_.rejected += 1;
    return false;
  }
  Waiting& w = waiting_[job.handle];
  w.job = job;
  // The need in whole steps is what the job is taken to need from here on.
  w.shape = {job.cls, SlotSteps(job.need.slots), MemorySteps(job.need.memory)};
  w.job.need.memory = std::max(job.need.memory, MemoryOf(std::get<2>(w.shape)));
  w.no_hold_until = now;
  bytes_ += job.bytes;
  by_class_[job.cls] += 1;
  by_tenant_[job.tenant] += 1;
  AddToShape(&w);
  if (Crowded(waiting_.size()) && !Crowded(waiting_.size() - 1)) LookFar();
  return true;
}

void Scheduler::ExcludeUntilTick(std::size_t worker) {
  if (worker >= workers_.size() || workers_[worker].shunned) return;
  Worker& w = workers_[worker];
  w.shunned = true;
  shunned_.push_back(worker);
  if (w.held_for != 0) Unhold(&waiting_.at(w.held_for), true);  // what is in the way may last
  Touch(worker);
}

void Scheduler::Dequeue(Handle job) {
  const auto it = waiting_.find(job);
  if (it == waiting_.end()) return;
  Waiting& w = it->second;
  if (w.held_at >= 0) Unhold(&w, true);
  RemoveFromShape(&w);
  bytes_ -= w.job.bytes;
  const auto drop = [](auto* counts, int key) {
    const auto at = counts->find(key);
    if (--at->second == 0) counts->erase(at);
  };
  drop(&by_class_, w.job.cls);
  drop(&by_tenant_, w.job.tenant);
  waiting_.erase(it);
}

void Scheduler::OnStarted(const Job& job, std::size_t worker, double now) {
  const auto it = waiting_.find(job.handle);
  if (it != waiting_.end()) {
    Waiting& w = it->second;
    figures_.waited += 1;
    waits_[w.job.cls].Add(now - w.job.arrived_at);
    if (w.held_at == static_cast<int>(worker)) Unhold(&w, false);
    Dequeue(job.handle);
  }
  if (worker >= workers_.size()) return;
  Worker& w = workers_[worker];
  figures_.backfilled += w.held_for != 0;
  w.runs.push_back({job.handle, Clamped(w, job.need), job.cls, job.hint_s, now});
  w.used = w.used + w.runs.back().need;
  Touch(worker);
}

void Scheduler::OnEnded(Handle job, std::size_t worker, double ran_s) {
  if (worker >= workers_.size()) return;
  Worker& w = workers_[worker];
  const auto run =
      std::find_if(w.runs.begin(), w.runs.end(), [job](const Run& r) { return r.job == job; });
  if (run == w.runs.end()) return;
  if (ran_s >= 0) mean_run_s_ += (std::max(ran_s, 1e-4) - mean_run_s_) / 100;
  if (ran_s >= 0) estimates_.Ran(run->cls, w.facts.kind, run->hint_s, ran_s);
  w.used = w.used - run->need;
  w.runs.erase(run);
  if (w.runs.empty()) w.used = {0, 0};  // no rounding is carried along
  Touch(worker);
}

double Scheduler::SlotsInUseSince(std::size_t worker, double since) const {
  double slots = 0;
  if (worker >= workers_.size()) return slots;
  for (const Run& run : workers_[worker].runs) slots += run.since < since ? run.need.slots : 0;
  return slots;
}

void Scheduler::OnRejected(std::size_t worker, double now) {
  if (worker >= workers_.size()) return;
  Worker& w = workers_[worker];
  if (w.facts.capacity.slots <= 0) return;
  if (w.full_others <= 0) full_.push_back(worker);
  w.full_others = std::max(1e-3, w.facts.capacity.slots - w.used.slots);
  w.full_until = now + kFullS;
  Touch(worker);
}

// ---- who starts next ----

Handle Scheduler::PickFor(Worker& w, std::size_t number, double now) {
  if (w.held_for != 0 && MayStart(waiting_.at(w.held_for).job, number, now)) return w.held_for;
  const Resources room = Free(w);
  Handle timely = 0, late = 0;
  double first = kInf;
  const auto fits = [&](Handle handle) { return MayStart(waiting_.at(handle).job, number, now); };
  for (auto& [key, shape] : shapes_) {
    const auto some = shape.timely.empty() ? *shape.late.begin() : shape.timely.begin()->second;
    const Job& like = waiting_.at(some).job;
    if (!KindFits(like.kind, w) || !Clamped(w, like.need).Within(room)) continue;
    while (!shape.timely.empty() && shape.timely.begin()->first < now) {
      shape.late.insert(shape.timely.begin()->second);
      shape.timely.erase(shape.timely.begin());
    }
    int tries = 0;
    for (auto it = shape.timely.begin(); it != shape.timely.end() && it->first < first; ++it) {
      if (fits(it->second)) {
        first = it->first;
        timely = it->second;
        break;
      }
      if (like.hint_s <= 0 || ++tries >= kHinted) break;
    }
    tries = 0;
    for (auto it = shape.late.begin(); it != shape.late.end() && (late == 0 || *it < late); ++it) {
      if (fits(*it)) {
        late = *it;
        break;
      }
      if (like.hint_s <= 0 || ++tries >= kHinted) break;
    }
  }
  if (timely == 0 || late == 0) return timely != 0 ? timely : late;
  return ++turn_ % kLateTurn == 0 ? late : timely;
}

std::optional<Scheduler::Start> Scheduler::Next(double now) {
  if (plan_) Plan(now);
  while (!dirty_.empty()) {
    const std::size_t number = dirty_.front();
    Worker& w = workers_[number];
    const Handle job = w.facts.usable ? PickFor(w, number, now) : 0;
    if (job != 0) return Start{job, number};
    w.dirty = false;
    dirty_.pop_front();
  }
  return std::nullopt;
}

void Scheduler::Tick(double now) {
  for (const std::size_t worker : std::exchange(shunned_, {})) {
    workers_[worker].shunned = false;
    Touch(worker);
  }
  for (const std::size_t worker : std::exchange(full_, {})) {
    Worker& w = workers_[worker];
    if (w.full_until > now) {
      full_.push_back(worker);
      continue;
    }
    w.full_others = 0;
    Touch(worker);
  }
  LookFar();  // some may have waited long enough to cross
  std::vector<Handle> over;
  for (const int worker : reserved_) {
    const Handle job = workers_[static_cast<std::size_t>(worker)].held_for;
    if (now - waiting_.at(job).held_since > options_.reservation_timeout_s) over.push_back(job);
  }
  for (const Handle job : over) {
    Waiting& w = waiting_.at(job);
    w.no_hold_until = now + options_.reservation_timeout_s;  // others have their turn first
    Unhold(&w, true);
  }
  if (!holdable_.empty()) plan_ = true;
}

// ---- reservations ----

double Scheduler::HoldCap() const {
  return options_.max_reserved_fleet_share * fleet_slots_ * part_;
}

void Scheduler::Unhold(Waiting* waiting, bool broken) {
  const auto number = static_cast<std::size_t>(std::exchange(waiting->held_at, -1));
  Worker& w = workers_[number];
  w.held_for = 0;
  reserved_.erase(static_cast<int>(number));
  held_total_ -= waiting->job.need.slots;
  held_[waiting->job.tenant] -= waiting->job.need.slots;
  if (reserved_.empty()) {
    held_total_ = 0;
    held_.clear();
  }
  figures_.broken_reservations += broken;
  holdable_[waiting->job.tenant].insert(waiting->job.handle);
  plan_ = true;
  Touch(number);
}

// Reservations go to the tenant that holds least for its share, in turn, until the cap is reached.
void Scheduler::Plan(double now) {
  plan_ = false;
  std::set<int> done;
  while (true) {
    int next = -1;
    double least = kInf;
    for (const auto& [tenant, jobs] : holdable_) {
      if (done.contains(tenant)) continue;
      const auto t = static_cast<std::size_t>(tenant);
      const double share = t < shares_.size() && shares_[t] > 0 ? shares_[t] : 1e-3;
      const auto it = held_.find(tenant);
      const double held = (it == held_.end() ? 0 : it->second) / share;
      if (held < least) {
        least = held;
        next = tenant;
      }
    }
    if (next < 0) return;
    if (!PlanOne(next, now)) done.insert(next);
  }
}

bool Scheduler::PlanOne(int tenant, double now) {
  const auto mine = holdable_.find(tenant);
  const auto t = static_cast<std::size_t>(tenant);
  const double share = t < shares_.size() ? shares_[t] : 1.0;
  int tries = 0;
  for (const Handle handle : mine->second) {
    Waiting& waiting = waiting_.at(handle);
    if (waiting.no_hold_until > now) continue;
    const double slots = waiting.job.need.slots;
    const double cap = HoldCap();
    // The first job is let hold whatever the cap, unless it is shut: a small fleet has few slots.
    if (cap <= 0 || (held_total_ > 0 && held_total_ + slots > cap)) return false;
    const auto held = held_.find(tenant);
    const double has = held == held_.end() ? 0 : held->second;
    if (has > 0 && has + slots > 2 * share * cap) return false;
    int best = -1;
    double earliest = kInf;
    std::uint64_t rank = 0;
    const std::size_t n = workers_.size();
    for (std::size_t i = 0, looked = 0; i < std::min(n, 4 * kLooks) && looked < kLooks; ++i) {
      const std::size_t number = n <= kLooks ? i : (cursor_ + i) % n;
      const Worker& w = workers_[number];
      if (!w.facts.usable || w.shunned || w.facts.cold || w.held_for != 0 ||
          w.facts.capacity.slots <= 0) {
        continue;
      }
      if (!KindFits(waiting.job.kind, w)) continue;
      ++looked;
      const Resources need = Clamped(w, waiting.job.need);
      if (need.slots > options_.max_reserved_worker_share * w.facts.capacity.slots + kRounding)
        continue;
      const double shadow = Shadow(w, need, now);
      if (shadow == kInf) continue;
      // Nodes that see alike choose apart: ties go by a rank of each node's own.
      const std::uint64_t mine_rank = Scramble(seed_, number);
      if (best < 0 || shadow < earliest || (shadow == earliest && mine_rank < rank)) {
        best = static_cast<int>(number);
        earliest = shadow;
        rank = mine_rank;
      }
    }
    cursor_ += kLooks;
    if (best >= 0) {
      Worker& w = workers_[static_cast<std::size_t>(best)];
      w.held_for = handle;
      waiting.held_at = best;
      waiting.held_since = now;
      reserved_.insert(best);
      held_total_ += slots;
      held_[tenant] += slots;
      mine->second.erase(handle);
      if (mine->second.empty()) holdable_.erase(mine);
      Touch(static_cast<std::size_t>(best));
      return true;
    }
    if (++tries >= kHinted) break;
  }
  return false;
}

double Scheduler::ReservedSlots(std::size_t worker) const {
  if (worker >= workers_.size() || workers_[worker].held_for == 0) return 0;
  return waiting_.at(workers_[worker].held_for).job.need.slots;
}

SchedulerStats Scheduler::stats() const {
  SchedulerStats f = figures_;
  f.waiting = waiting_.size();
  f.reservations = reserved_.size();
  f.reserved_slots = held_total_;
  return f;
}

}  // namespace millethollow::scheduling
