#include "core/planner.h"

#include <algorithm>
#include <charconv>

#include "balancing/agreed_share.h"

namespace millethollow {

using balancing::DeduplicationScope;
using balancing::Endpoint;
using balancing::EndpointListKind;
using balancing::Idempotency;
using balancing::Readiness;

namespace {
constexpr std::size_t kMostEndedIds = 4096;  // names remembered after their request's end
}  // namespace

bool Planner::Entry::MayHaveRun() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& a) { return a.may_have_run; });
}

Planner::Planner(const balancing::Settings& settings, std::uint64_t seed, Deadlines* deadlines,
                 Hooks hooks, Counters* counters, const scheduling::Options& options)
    : settings_(settings),
      balancer_(settings, seed, options),
      deadlines_(deadlines),
      hooks_(std::move(hooks)),
      counters_(counters),
      demand_(settings.tenants.size()) {}

void Planner::Start(const std::vector<Endpoint>& known) {
  Post([this] { Deliver(balancing::DispatcherStarted{}); });
  OnEndpointsUpdated(EndpointListKind::kRestored, known);
  for (const auto& [name, worker_state] : workers_) {  // by the process that went before
    if (worker_state.out_since < 0) continue;
    Post([this, n = name] { Deliver(balancing::MaintenanceChanged{n, true}); });
  }
}

std::uint64_t Planner::AddForwarder(ForwarderPort* port, bool in_process) {
  forwarders_[++next_forwarder_] = port;
  if (in_process) in_process_.insert(next_forwarder_);
  return next_forwarder_;
}

void Planner::OnForwarderLost(std::uint64_t forwarder) {
  forwarders_.erase(forwarder);
  std::vector<RequestId> lost;
  for (const auto& [id, entry] : ledger_) {
    if (id >> kForwarderShift == forwarder) lost.push_back(id);
  }
  std::sort(lost.begin(), lost.end());
  for (const RequestId id : lost) {
    OnRequestCancelled(id);
    Entry* entry = Find(id);
    for (std::size_t i = 0; entry != nullptr && i < entry->attempts.size(); ++i) {
      if (!entry->attempts[i].open) continue;
      End(id, entry, i, {.status = AttemptStatus::kConnectionLost});
      entry = Find(id);
    }
  }
  for (auto& [name, worker_state] : workers_) {
    if (!worker_state.local || worker_state.forwarder != forwarder) continue;
    Endpoint gone = worker_state.member;
    gone.readiness = Readiness::kGone;
    OnLocalWorkerChanged(forwarder, gone);
  }
}

// Events queue up and run one after the other: what an action sets off never re-enters the module.
void Planner::Post(std::function<void()> event) {
  queue_.push_back(std::move(event));
  if (running_) return;
  running_ = true;
  while (!queue_.empty()) {
    const auto next = std::move(queue_.front());
    queue_.pop_front();
    next();
  }
  running_ = false;
}

void Planner::Deliver(const balancing::Event& event) {
  balancing::Actions actions;
  if (hooks_.parts) {
    balancing::FleetShare parts = hooks_.parts();
    parts.stopped = hooks_.now() - parts_at_ > balancing::AgreedShare::kStoppedS;
    if (parts != parts_) balancer_.SetFleetShare(parts);
    parts_ = parts;
    parts_at_ = hooks_.now();
  }
  balancer_.Handle(hooks_.now(), event, &actions);
  for (const balancing::Action& action : actions) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
}

Planner::Entry* Planner::Find(RequestId id) {
  const auto it = ledger_.find(id);
  return it == ledger_.end() ? nullptr : &it->second;
}

Planner::Entry* Planner::Find(const std::string& name, RequestId* id) {
  std::from_chars(name.data(), name.data() + name.size(), *id);
  return Find(*id);
}

ForwarderPort* Planner::PortOf(RequestId id) {
  const auto it = forwarders_.find(id >> kForwarderShift);
  return it == forwarders_.end() ? nullptr : it->second;
}

void Planner::OnRequest(const Request& request) {
  const RequestId id = request.id;
  // Two under one name could not be told apart at a worker: the second would get the first's
  // result, or count as a second copy of it. A worker also turns away a name that it has had.
  if (!request.wire_id.empty() && !wire_ids_.insert(request.wire_id).second) {
    counters_->bad_input += 1;
    if (ForwarderPort* port = PortOf(id)) {
      port->Answer(id, {.kind = FinalAnswer::Kind::kDuplicateId});
    }
    return;
  }
  if (!request.wire_id.empty()) hooks_.took(request.wire_id);
  counters_->received += 1;
  if (!request.retry) demand_.Count(hooks_.now(), static_cast<std::size_t>(request.tenant));
  pending_ += 1;
  Entry& entry = ledger_[id];
  entry.wire_id = request.wire_id;
  entry.cls = request.cls;
  entry.max_attempts = settings_.max_attempts;
  entry.promise = request.durable_job;
  std::vector<balancing::PreviousAttempt> tried;
  if (!request.tried.empty() && !TakeUp(request, &entry, &tried)) {
    Answer(id, &entry, {});
    return Post([this, id] { Forget(id); });
  }
  entry.expiry = deadlines_->At(request.expires_at, [this, id] { Expire(id); });
  Request meta = request;
  if (meta.body_bytes == 0) meta.body_bytes = meta.body.size();
  meta.body.clear();
  Post([this, meta = std::move(meta), tried = std::move(tried)] {
    const std::string name = std::to_string(meta.id);
    Deliver(balancing::RequestArrived{.id = name,
                                      .expires_s = meta.expires_at,
                                      .slots = meta.slots,
                                      .memory = meta.memory,
                                      .bytes = static_cast<double>(meta.body_bytes),
                                      .tenant = meta.tenant,
                                      .cls = meta.cls,
                                      .retry = meta.retry,
                                      .key = meta.affinity,
                                      .size_hint_s = meta.size_hint_s,
                                      .previous_attempts = tried});
  });
}

bool Planner::Repeatable(int cls) const {
  return settings_.classes[static_cast<std::size_t>(cls)].idempotency == Idempotency::kIdempotent;
}

// What another process tried counts as if it had been tried here. False: where it may have run is
// not known here, or too long ago, so that it may not go out again.
bool Planner::TakeUp(const Request& request, Entry* entry,
                     std::vector<balancing::PreviousAttempt>* tried) {
  if (Repeatable(entry->cls)) return true;
  const balancing::ClassSettings& c = settings_.classes[static_cast<std::size_t>(entry->cls)];
  for (const PriorAttempt& t : request.tried) {
    const auto worker_state = workers_.find(t.worker);
    if (t.own || worker_state == workers_.end() || worker_state->second.local) return false;
    const double sent_at = hooks_.now() - t.age_s;
    entry->attempts.push_back({.worker = t.worker, .sent_at = sent_at, .open = false});
    if (WhyNotAgain(entry->attempts.back(), c, worker_state->second) != nullptr) return false;
    tried->push_back({t.worker, sent_at});
  }
  return true;
}

void Planner::OnRequestCancelled(RequestId id) {
  Entry* entry = Find(id);
  if (entry == nullptr || entry->answered) return;
  entry->answered = true;  // no answer is owed any more
  counters_->cancelled += 1;
  pending_ -= 1;
  deadlines_->Drop(&entry->expiry);
  Post([this, id] {
    const std::string name = std::to_string(id);
    Deliver(balancing::RequestCancelled{name});
    Forget(id);
  });
}

void Planner::OnAttemptStarted(RequestId id, int attempt) {
  Entry* entry = Find(id);
  if (entry == nullptr || static_cast<std::size_t>(attempt) >= entry->attempts.size()) return;
  if (!entry->attempts[static_cast<std::size_t>(attempt)].open) return;
  entry->attempts[static_cast<std::size_t>(attempt)].began = true;
  Post([this, id, attempt] {
    const std::string name = std::to_string(id);
    Deliver(balancing::AttemptProgress{name, attempt, balancing::ProgressKind::kStarted, 0});
  });
}

void Planner::OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome) {
  Entry* entry = Find(id);
  if (entry == nullptr || attempt < 0) return;
  if (static_cast<std::size_t>(attempt) >= entry->attempts.size()) return;
  End(id, entry, static_cast<std::size_t>(attempt), outcome);
}

// A worker that fetches its work has been sent nothing until it began: what still waited for it
// when it was called off, or when its time ran out, never ran.
bool Planner::SurelyWaiting(RequestId id, const Attempt& attempt) const {
  if (attempt.held) return true;
  const auto it = workers_.find(attempt.worker);
  return !attempt.began && it != workers_.end() && it->second.local &&
         in_process_.contains(id >> kForwarderShift);
}

void Planner::End(RequestId id, Entry* entry, std::size_t attempt, const Outcome& outcome) {
  Attempt& a = entry->attempts[attempt];
  if (!a.open) return;  // called off or timed out meanwhile
  a.open = false;
  a.may_have_run = !NeverRan(outcome.status);
  if (outcome.status == AttemptStatus::kSucceeded && !entry->answered) {
    Answer(id, entry,
           {.kind = FinalAnswer::Kind::kCompleted, .attempt = static_cast<int>(attempt)});
  }
  // A worker that cannot use the request itself is well: its answer is no reason to leave it
  // out, nor to ask the others. Taken for failures, such answers once had every worker left out.
  const AttemptStatus learned = outcome.client_error && !NeverRan(outcome.status)
                                    ? AttemptStatus::kCancelled
                                    : outcome.status;
  if (learned != outcome.status && !entry->answered) Answer(id, entry, {});
  Post([this, id, attempt, outcome, learned] {
    const Entry* now = Find(id);
    const std::string name = std::to_string(id);
    balancing::AttemptEnded e{.id = name,
                              .attempt = static_cast<int>(attempt),
                              .status = learned,
                              .latency_s = outcome.latency_s,
                              .terminal = now == nullptr || now->answered,
                              .has_report = outcome.has_report};
    std::copy(std::begin(outcome.report), std::end(outcome.report), std::begin(e.report));
    Deliver(e);
    Forget(id);
  });
}

void Planner::OnProbeAnswered(const std::string& worker, const Outcome& outcome) {
  Post([this, worker, outcome] {
    balancing::ProbeAnswered e{.worker = worker,
                               .status = outcome.status,
                               .latency_s = outcome.latency_s,
                               .has_report = outcome.has_report};
    std::copy(std::begin(outcome.report), std::end(outcome.report), std::begin(e.report));
    Deliver(e);
  });
}

void Planner::Note(const Endpoint& member, bool local, std::uint64_t forwarder) {
  Worker& worker_state = workers_[member.worker];
  worker_state.member = member;
  worker_state.local = local;
  worker_state.forwarder = forwarder;
  if (member.readiness == Readiness::kReady) {
    worker_state.drain_told_at = -1;
  } else if (worker_state.drain_told_at < 0) {
    worker_state.drain_told_at = hooks_.now();
  }
}

void Planner::OnLocalWorkerChanged(std::uint64_t forwarder, const Endpoint& member) {
  Note(member, true, forwarder);
  Post([this, member] {
    const std::vector<Endpoint> changed{member};
    Deliver(balancing::EndpointsUpdated{EndpointListKind::kIncremental, &changed});
  });
}

void Planner::OnEndpointsUpdated(EndpointListKind kind, const std::vector<Endpoint>& members) {
  std::vector<Endpoint> list = members;
  if (kind == EndpointListKind::kSnapshot || kind == EndpointListKind::kRestored) {
    // A full list replaces: who is missing is gone. Workers of our own are not on the list.
    std::unordered_set<std::string_view> listed;
    for (const Endpoint& m : members) listed.insert(m.worker);
    for (auto& [name, worker_state] : workers_) {
      if (worker_state.local) {
        list.push_back(worker_state.member);
      } else if (!listed.contains(name)) {
        worker_state.member.readiness = Readiness::kGone;
        if (worker_state.drain_told_at < 0) worker_state.drain_told_at = hooks_.now();
      }
    }
  }
  for (const Endpoint& m : members) Note(m, false, 0);
  Post([this, kind, list = std::move(list)] {
    Deliver(balancing::EndpointsUpdated{kind,
                                        kind == EndpointListKind::kUnavailable ? nullptr : &list});
    if (kind == EndpointListKind::kSnapshot) ForgetWhatTheModuleForgot();
    ListCame();
  });
}

// What has waited for the list goes out, but for where nothing new may go by it.
void Planner::ListCame() {
  if (waiting_.empty() || hooks_.list_overdue()) return;
  for (const Waiting& w : std::exchange(waiting_, {})) {
    Entry* entry = Find(w.id);
    if (entry == nullptr || !entry->attempts[w.attempt].open) continue;
    entry->attempts[w.attempt].held = false;
    const bool drains = workers_[w.worker].drain_told_at >= 0;
    const char* why = drains ? "drains" : WhyNot(*entry, w.id, w.worker, w.attempt);
    if (why == nullptr && PortOf(w.id) != nullptr) {
      Dispatch(w.id, w.attempt, w.worker, w.timeout_s);
    } else {
      End(w.id, entry, w.attempt, {.status = AttemptStatus::kNotSent});
    }
  }
}

// The module alone says when a gone worker is forgotten (long off the lists, nothing of ours
// there); the ledger follows it, or each name ever listed would stay. One out by hand stays, so
// that a call back still finds it.
void Planner::ForgetWhatTheModuleForgot() {
  std::unordered_set<std::string_view> known;
  const std::vector<balancing::WorkerView> views = balancer_.Workers();
  for (const balancing::WorkerView& v : views) known.insert(v.worker);
  std::erase_if(workers_, [&](const auto& entry) {
    const Worker& worker_state = entry.second;
    return !worker_state.local && worker_state.out_since < 0 &&
           worker_state.member.readiness == Readiness::kGone && !known.contains(entry.first);
  });
}

bool Planner::SetMaintenance(const std::string& worker, bool out) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return false;
  Worker& worker_state = it->second;
  if (out == (worker_state.out_since >= 0)) return true;
  worker_state.out_since = out ? hooks_.now() : -1;
  hooks_.log(worker + (out ? " is taken out by hand" : " is put back by hand"));
  Post([this, worker, out] { Deliver(balancing::MaintenanceChanged{worker, out}); });
  return true;
}

void Planner::NameClasses(std::vector<std::string> names, std::vector<bool> live) {
  class_live_ = std::move(live);
  class_names_ = std::move(names);
  balancer_.NameClasses(class_names_);
  for (const std::string& name : class_names_) counters_->classes.try_emplace(name);
}

int Planner::ClassIndex(const std::string& name) const {
  for (std::size_t c = 0; c < class_names_.size(); ++c) {
    if (class_live_[c] && class_names_[c] == name) return static_cast<int>(c);
  }
  return -1;
}

void Planner::Configure(const balancing::Settings& settings, std::vector<std::string> names,
                        std::vector<bool> live, std::vector<int> begun) {
  settings_ = settings;
  NameClasses(std::move(names), std::move(live));
  Post([this, settings, begun = std::move(begun)] {
    Deliver(balancing::SettingsChanged{&settings, &begun});
  });
}

bool Planner::InUse(int cls) const {
  return std::any_of(ledger_.begin(), ledger_.end(),
                     [cls](const auto& entry) { return entry.second.cls == cls; });
}

std::pair<std::size_t, std::size_t> Planner::Members() const {
  std::size_t listed = 0, avoided = 0;
  for (const auto& [name, worker_state] : workers_) {
    if (worker_state.member.readiness == Readiness::kGone) continue;
    listed += 1;
    avoided += balancer_.Excludes(name);
  }
  return {listed, avoided};
}

void Planner::OnPeerMessage(int sender, const std::string& body) {
  counters_->peer_messages_in += 1;
  Post([this, sender, body] { Deliver(balancing::PeerMessage{sender, body}); });
}

// The last line before the wire. What it stops the module learns as 'not sent'.
const char* Planner::WhyNot(const Entry& entry, RequestId id, const std::string& worker,
                            std::size_t itself) const {
  const double now = hooks_.now();
  if (entry.answered) return "answered";
  const std::size_t others = std::min(itself, entry.attempts.size());
  if (others >= static_cast<std::size_t>(entry.max_attempts)) return "tries";
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return "unlisted";
  const Worker& worker_state = it->second;
  if (worker_state.drain_told_at >= 0 &&
      now - worker_state.drain_told_at > 0.9 * settings_.drain_grace_s) {
    return "drains";
  }
  if (worker_state.out_since >= 0 && now - worker_state.out_since > 0.9 * settings_.drain_grace_s)
    return "out";
  if (worker_state.local && worker_state.forwarder != id >> kForwarderShift) return "elsewhere";
  const balancing::ClassSettings& c = settings_.classes[static_cast<std::size_t>(entry.cls)];
  for (std::size_t i = 0; i < entry.attempts.size(); ++i) {
    const Attempt& a = entry.attempts[i];
    if (i == itself) continue;
    if (a.open && !settings_.allow_hedging) return "duplicate";
    if (const char* why = WhyNotAgain(a, c, worker_state)) return why;
  }
  return nullptr;
}

// An attempt may have run: may another go to this worker?
const char* Planner::WhyNotAgain(const Attempt& before, const balancing::ClassSettings& c,
                                 const Worker& worker_state) const {
  if (!before.may_have_run || c.idempotency == Idempotency::kIdempotent) return nullptr;
  if (c.idempotency == Idempotency::kNotIdempotent) return "once";
  if (hooks_.now() - before.sent_at > c.deduplication_window_s) return "window";
  const auto first = workers_.find(before.worker);
  const bool zone =
      first != workers_.end() && first->second.member.zone == worker_state.member.zone;
  const bool cell = zone && first->second.member.cell == worker_state.member.cell;
  if ((c.deduplication_scope == DeduplicationScope::kZone && !zone) ||
      (c.deduplication_scope == DeduplicationScope::kCell && !cell))
    return "group";
  return nullptr;
}

void Planner::Do(const balancing::SendAttempt& a) {
  RequestId id = 0;
  Entry* entry = Find(a.id, &id);
  if (entry == nullptr) return hooks_.log("send for an unknown request dropped");
  const char* why = WhyNot(*entry, id, a.worker);
  ForwarderPort* port = PortOf(id);
  if (port == nullptr) why = "no forwarder";
  const std::size_t attempt = entry->attempts.size();
  entry->attempts.push_back({.worker = a.worker, .sent_at = hooks_.now()});
  if (why != nullptr) {
    counters_->blocked += 1;
    hooks_.log(std::string("send blocked: ") + why);
    return End(id, entry, attempt, {.status = AttemptStatus::kNotSent});
  }
  if (hooks_.list_overdue()) {
    entry->attempts[attempt].held = true;
    return waiting_.push_back({id, attempt, a.worker, a.timeout_s});
  }
  if (entry->promise.empty() || !hooks_.before_send) {
    return Dispatch(id, attempt, a.worker, a.timeout_s);
  }
  entry->attempts[attempt].held = true;
  hooks_.before_send(entry->promise, a.worker, workers_[a.worker].local, Repeatable(entry->cls),
                     [this, id, attempt, worker = a.worker, timeout_s = a.timeout_s](bool may) {
                       Entry* waits = Find(id);
                       if (waits == nullptr || !waits->attempts[attempt].open) return;
                       waits->attempts[attempt].held = false;
                       // Time has passed: what held when it was decided may hold no more.
                       const char* late =
                           may ? WhyNot(*waits, id, worker, attempt) : "not promised";
                       if (late == nullptr && PortOf(id) != nullptr) {
                         return Dispatch(id, attempt, worker, timeout_s);
                       }
                       counters_->blocked += 1;
                       hooks_.log(std::string("send blocked: ") + (late ? late : "no forwarder"));
                       End(id, waits, attempt, {.status = AttemptStatus::kNotSent});
                     });
}

void Planner::Dispatch(RequestId id, std::size_t attempt, const std::string& worker,
                       double timeout_s) {
  counters_->sent += 1;
  if (timeout_s > 0) {
    deadlines_->At(hooks_.now() + timeout_s, [this, id, attempt] {
      Entry* late = Find(id);
      if (late == nullptr || !late->attempts[attempt].open) return;
      if (ForwarderPort* p = PortOf(id)) p->Cancel(id, static_cast<int>(attempt));
      End(id, late, attempt, {.status = AttemptStatus::kNoResponse});
    });
  }
  PortOf(id)->Send(id, static_cast<int>(attempt), worker);
}

void Planner::Do(const balancing::RejectRequest& a) {
  RequestId id = 0;
  Entry* entry = Find(a.id, &id);
  if (entry == nullptr || entry->answered) return;
  const balancing::ClassSettings& c = settings_.classes[static_cast<std::size_t>(entry->cls)];
  const bool repeatable = c.idempotency == Idempotency::kIdempotent ||
                          (c.idempotency == Idempotency::kIdempotentWithKey &&
                           c.deduplication_scope == DeduplicationScope::kAll);
  if (!repeatable && entry->MayHaveRun()) {  // a refusal says that nothing happened; this can't
    Answer(id, entry, {});
  } else {
    Answer(id, entry,
           {.kind = FinalAnswer::Kind::kRejected,
            .retry_after_s = std::min(a.retry_after_s, settings_.max_retry_after_s)});
  }
  Post([this, id] { Forget(id); });
}

void Planner::Do(const balancing::FailRequest& a) {
  RequestId id = 0;
  Entry* entry = Find(a.id, &id);
  if (entry == nullptr || entry->answered) return;
  Answer(id, entry, {});
  Post([this, id] { Forget(id); });
}

void Planner::Do(const balancing::CancelAttempt& a) {
  RequestId id = 0;
  Entry* entry = Find(a.id, &id);
  if (entry == nullptr || static_cast<std::size_t>(a.attempt) >= entry->attempts.size()) return;
  if (!entry->attempts[static_cast<std::size_t>(a.attempt)].open) return;
  if (ForwarderPort* port = PortOf(id)) port->Cancel(id, a.attempt);
  const auto attempt = static_cast<std::size_t>(a.attempt);
  const bool waiting = SurelyWaiting(id, entry->attempts[attempt]);
  End(id, entry, attempt,
      {.status = waiting ? AttemptStatus::kNotSent : AttemptStatus::kCancelled});
}

void Planner::Do(const balancing::SetTimer& a) {
  deadlines_->At(hooks_.now() + a.after_s, [this, mark = a.timer_id] {
    Post([this, mark] { Deliver(balancing::TimerFired{mark}); });
  });
}

void Planner::Do(const balancing::Probe& a) {
  counters_->probes += 1;
  const auto it = workers_.find(a.worker);
  if (it != workers_.end() && !forwarders_.empty()) {
    const auto owner = forwarders_.find(it->second.forwarder);
    if (owner != forwarders_.end()) return owner->second->Probe(a.worker);
    if (!it->second.local) return forwarders_.begin()->second->Probe(a.worker);
  }
  OnProbeAnswered(a.worker, {.status = AttemptStatus::kConnectFailed});
}

void Planner::Do(const balancing::SendPeerMessage& a) {
  if (a.body.size() > balancing::kMaxPeerMessageBytes) {
    counters_->peers.too_long += 1;
    return;
  }
  counters_->peer_messages_out += 1;
  hooks_.tell_peer(a.recipient, a.body);
}
void Planner::Do(const balancing::Subscribe& a) { hooks_.subscribe(a.enable); }
void Planner::Do(const balancing::FetchEndpoints&) { hooks_.fetch_list(); }
void Planner::Do(const balancing::Log& a) { hooks_.log(a.line); }

void Planner::Answer(RequestId id, Entry* entry, FinalAnswer answer) {
  entry->answered = true;
  pending_ -= 1;
  deadlines_->Drop(&entry->expiry);
  const auto cls = static_cast<std::size_t>(entry->cls);
  ClassCounters& ends = counters_->classes[cls < class_names_.size() ? class_names_[cls] : ""];
  switch (answer.kind) {
    case FinalAnswer::Kind::kCompleted:
      counters_->completed += 1;
      ends.completed += 1;
      break;
    case FinalAnswer::Kind::kRejected:
      counters_->rejected += 1;
      ends.rejected += 1;
      break;
    case FinalAnswer::Kind::kFailed:
      counters_->failed += 1;
      ends.failed += 1;
      break;
    case FinalAnswer::Kind::kDuplicateId:
      break;
  }
  if (!entry->promise.empty()) {
    for (const Attempt& a : entry->attempts) {
      if (a.may_have_run && !a.held) answer.ran_at.push_back(a.worker);
    }
  }
  if (ForwarderPort* port = PortOf(id)) port->Answer(id, answer);
}

void Planner::Expire(RequestId id) {
  Entry* entry = Find(id);
  if (entry == nullptr || entry->answered) return;
  for (std::size_t i = 0; i < entry->attempts.size(); ++i) {
    if (!entry->attempts[i].open) continue;
    if (ForwarderPort* port = PortOf(id)) port->Cancel(id, static_cast<int>(i));
    const bool waiting = SurelyWaiting(id, entry->attempts[i]);
    End(id, entry, i, {.status = waiting ? AttemptStatus::kNotSent : AttemptStatus::kNoResponse});
    entry = Find(id);
    if (entry == nullptr) return;
  }
  if (entry->answered) return;
  // The module held it without an attempt (it still waited for probes): the ledger answers.
  const bool may_have_run = entry->MayHaveRun();
  const double aim = settings_.classes[static_cast<std::size_t>(entry->cls)].latency_objective_s;
  const double advice = settings_.retry_after ? std::min(settings_.max_retry_after_s, aim) : 0;
  Answer(id, entry,
         may_have_run ? FinalAnswer{}
                      : FinalAnswer{.kind = FinalAnswer::Kind::kRejected, .retry_after_s = advice});
  Post([this, id] {
    const std::string name = std::to_string(id);
    Deliver(balancing::RequestCancelled{name});
    Forget(id);
  });
}

void Planner::Forget(RequestId id) {
  Entry* entry = Find(id);
  if (entry == nullptr || !entry->answered) return;
  for (const Attempt& a : entry->attempts) {
    if (a.open) return;
  }
  // Ids are new for each request: one that comes again soon after its end is another's.
  if (!entry->wire_id.empty()) RememberId(std::move(entry->wire_id));
  ledger_.erase(id);
}

void Planner::RememberId(std::string wire_id) {
  ended_ids_.push_back(std::move(wire_id));
  if (ended_ids_.size() <= kMostEndedIds) return;
  wire_ids_.erase(ended_ids_.front());
  ended_ids_.pop_front();
}

// ---- two processes that are one node ----

std::vector<Planner::WorkerSnapshot> Planner::ExportWorkers() const {
  std::vector<WorkerSnapshot> known;
  for (const auto& [name, worker_state] : workers_) {
    if (!worker_state.local)
      known.push_back({worker_state.member, worker_state.drain_told_at, worker_state.out_since});
  }
  return known;
}

void Planner::ImportState(const std::vector<WorkerSnapshot>& known, std::string_view learned,
                          const std::vector<int>& classes) {
  if (!balancer_.RestoreState(learned, classes))
    hooks_.log("what the other process learned is no use");
  for (const WorkerSnapshot& k : known) {
    Worker& worker_state = workers_[k.member.worker];
    worker_state.member = k.member;
    worker_state.drain_told_at = k.drain_told_at;
    worker_state.out_since = k.out_since;
  }
}

std::vector<std::string> Planner::WireIds() const {
  std::vector<std::string> ids(ended_ids_.begin(), ended_ids_.end());  // the oldest first
  for (const auto& [id, entry] : ledger_) {
    if (!entry.wire_id.empty()) ids.push_back(entry.wire_id);
  }
  return ids;
}

void Planner::MarkWireIdUsed(const std::string& wire_id) {
  if (wire_ids_.insert(wire_id).second) RememberId(wire_id);
}

void Planner::OnSiblingProcess(bool present, bool leaving) {
  Post([this, present, leaving] { Deliver(balancing::SiblingProcess{present, leaving}); });
}

void Planner::OnSiblingWorkerDown(const Endpoint& member) {
  const auto it = workers_.find(member.worker);
  if (it != workers_.end() &&
      (it->second.local || it->second.member.started_at_s > member.started_at_s))
    return;
  if (member.readiness != Readiness::kReady)
    OnEndpointsUpdated(EndpointListKind::kIncremental, {member});
}

void Planner::OnPeerWorkerDown(const std::string& worker, double started_at_s, bool gone) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return;
  balancing::Endpoint member = it->second.member;
  const Readiness told = gone ? Readiness::kGone : Readiness::kDraining;
  if (member.readiness >= told) return;
  member.started_at_s = started_at_s;
  member.readiness = told;
  OnSiblingWorkerDown(member);
}

}  // namespace millethollow
