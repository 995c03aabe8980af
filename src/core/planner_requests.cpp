// Requests and attempts of a planner, from their arrival to their end.
#include <algorithm>

#include "core/planner.h"

namespace millethollow {

using balancing::Idempotency;

bool Planner::IsIdempotent(const LedgerEntry& entry) const {
  return ClassOf(entry).idempotency == Idempotency::kIdempotent;
}

// ---- arrival ----

void Planner::OnRequest(const Request& request) {
  const RequestId id = request.id;
  // Workers tell requests apart by their wire id: under an id in use, the second would get the
  // first one's result.
  if (!ledger_.TakeWireId(request.wire_id)) {
    counters_->bad_input += 1;
    if (ForwarderPort* port = PortOf(id)) {
      port->Answer(id, {.kind = FinalAnswer::Kind::kDuplicateId});
    }
    return;
  }
  if (!request.wire_id.empty()) environment_->OnWireIdTaken(request.wire_id);
  counters_->received += 1;
  if (!request.retry) {
    demand_.Count(environment_->Now(), static_cast<std::size_t>(request.tenant));
  }
  pending_ += 1;
  LedgerEntry& entry = ledger_.Add(id);
  entry.wire_id = request.wire_id;
  entry.cls = request.cls;
  entry.max_attempts = settings_.max_attempts;
  entry.durable_job = request.durable_job;
  std::vector<balancing::PreviousAttempt> tried;
  if (!request.prior_attempts.empty() && !AddPriorAttempts(request, &entry, &tried)) {
    Answer(id, &entry, {});
    return EraseLater(id);
  }
  entry.expiry = deadlines_->At(request.expires_at, [this, id] { Expire(id); });
  DeliverRequest(request, std::move(tried));
}

void Planner::DeliverRequest(const Request& request,
                             std::vector<balancing::PreviousAttempt> tried) {
  Request meta = request;
  if (meta.body_bytes == 0) meta.body_bytes = meta.body.size();
  meta.body.clear();
  queue_.Post([this, meta = std::move(meta), tried = std::move(tried)] {
    const std::string name = std::to_string(meta.id);
    Deliver(balancing::RequestArrived{.id = name,
                                      .expires_s = meta.expires_at,
                                      .slots = meta.slots,
                                      .memory = meta.memory,
                                      .bytes = static_cast<double>(meta.body_bytes),
                                      .tenant = meta.tenant,
                                      .class_index = meta.cls,
                                      .retry = meta.retry,
                                      .key = meta.affinity,
                                      .size_hint_s = meta.size_hint_s,
                                      .previous_attempts = tried});
  });
}

// Attempts that another process made count as if they had been made here. False: it is not known
// here where one ran, or too long ago, so that the request may not be sent again.
bool Planner::AddPriorAttempts(const Request& request, LedgerEntry* entry,
                               std::vector<balancing::PreviousAttempt>* tried) const {
  if (IsIdempotent(*entry)) return true;
  const double now = environment_->Now();
  for (const PriorAttempt& prior : request.prior_attempts) {
    const RegisteredWorker* worker = workers_.Find(prior.worker);
    if (prior.local_worker || worker == nullptr || worker->local) return false;
    const double sent_at = now - prior.age_s;
    entry->attempts.push_back({.worker = prior.worker, .sent_at = sent_at, .open = false});
    const LedgerAttempt& before = entry->attempts.back();
    if (dispatch_check_.CheckRepeat(before, ClassOf(*entry), *worker, now)) return false;
    tried->push_back({prior.worker, sent_at});
  }
  return true;
}

void Planner::OnRequestCancelled(RequestId id) {
  LedgerEntry* entry = ledger_.Find(id);
  if (entry == nullptr || entry->answered) return;
  entry->answered = true;  // no answer is owed any more
  counters_->cancelled += 1;
  pending_ -= 1;
  deadlines_->Drop(&entry->expiry);
  PostCancelled(id);
}

void Planner::PostCancelled(RequestId id) {
  queue_.Post([this, id] {
    const std::string name = std::to_string(id);
    Deliver(balancing::RequestCancelled{name});
    ledger_.EraseIfComplete(id);
  });
}

// ---- attempts ----

void Planner::OnAttemptStarted(RequestId id, int attempt) {
  LedgerAttempt* a = ledger_.FindOpenAttempt(id, attempt);
  if (a == nullptr) return;
  a->started = true;
  queue_.Post([this, id, attempt] {
    const std::string name = std::to_string(id);
    Deliver(balancing::AttemptProgress{name, attempt, balancing::ProgressKind::kStarted, 0});
  });
}

void Planner::OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome) {
  if (ledger_.FindOpenAttempt(id, attempt) == nullptr) return;  // cancelled or timed out meanwhile
  EndAttempt(id, ledger_.Find(id), static_cast<std::size_t>(attempt), outcome);
}

void Planner::EndAttempt(RequestId id, LedgerEntry* entry, std::size_t attempt,
                         const Outcome& outcome) {
  LedgerAttempt& a = entry->attempts[attempt];
  if (!a.open) return;
  a.open = false;
  a.may_have_run = !NeverRan(outcome.status);
  if (outcome.status == AttemptStatus::kSucceeded && !entry->answered) {
    Answer(id, entry,
           {.kind = FinalAnswer::Kind::kCompleted, .attempt = static_cast<int>(attempt)});
  }
  // An error that is the request's own says nothing against the worker, and other workers would
  // give the same. Counted as failures, such answers could eject every worker.
  const bool client_error = outcome.client_error && !NeverRan(outcome.status);
  const AttemptStatus status = client_error ? AttemptStatus::kCancelled : outcome.status;
  if (status != outcome.status && !entry->answered) Answer(id, entry, {});
  queue_.Post([this, id, attempt, outcome, status] {
    const LedgerEntry* now = ledger_.Find(id);
    const std::string name = std::to_string(id);
    balancing::AttemptEnded e{.id = name,
                              .attempt = static_cast<int>(attempt),
                              .status = status,
                              .latency_s = outcome.latency_s,
                              .terminal = now == nullptr || now->answered,
                              .has_report = outcome.has_report};
    std::copy(std::begin(outcome.report), std::end(outcome.report), std::begin(e.report));
    Deliver(e);
    ledger_.EraseIfComplete(id);
  });
}

// Ends an attempt that the planner no longer wants, and has the forwarder stop it.
void Planner::CancelOpenAttempt(RequestId id, LedgerEntry* entry, std::size_t attempt,
                                AttemptStatus status_if_started) {
  if (ForwarderPort* port = PortOf(id)) port->Cancel(id, static_cast<int>(attempt));
  const bool not_started = SurelyNotStarted(id, entry->attempts[attempt]);
  EndAttempt(id, entry, attempt,
             {.status = not_started ? AttemptStatus::kNotSent : status_if_started});
}

// A local worker fetches its work: until it reports the start it has been sent nothing.
bool Planner::SurelyNotStarted(RequestId id, const LedgerAttempt& attempt) const {
  if (attempt.deferred) return true;
  return !attempt.started && workers_.IsLocal(attempt.worker) &&
         in_process_forwarders_.contains(ForwarderOf(id));
}

void Planner::OnAttemptTimeout(RequestId id, std::size_t attempt) {
  LedgerEntry* entry = ledger_.Find(id);
  if (entry == nullptr || !entry->attempts[attempt].open) return;
  if (ForwarderPort* port = PortOf(id)) port->Cancel(id, static_cast<int>(attempt));
  EndAttempt(id, entry, attempt, {.status = AttemptStatus::kNoResponse});
}

// ---- the final answer ----

void Planner::Answer(RequestId id, LedgerEntry* entry, FinalAnswer answer) {
  entry->answered = true;
  pending_ -= 1;
  deadlines_->Drop(&entry->expiry);
  CountAnswer(*entry, answer.kind);
  if (!entry->durable_job.empty()) {
    for (const LedgerAttempt& a : entry->attempts) {
      if (a.may_have_run && !a.deferred) answer.ran_at.push_back(a.worker);
    }
  }
  if (ForwarderPort* port = PortOf(id)) port->Answer(id, answer);
}

void Planner::CountAnswer(const LedgerEntry& entry, FinalAnswer::Kind kind) {
  const auto cls = static_cast<std::size_t>(entry.cls);
  ClassCounters& of_class = counters_->classes[cls < class_names_.size() ? class_names_[cls] : ""];
  switch (kind) {
    case FinalAnswer::Kind::kCompleted:
      counters_->completed += 1;
      of_class.completed += 1;
      break;
    case FinalAnswer::Kind::kRejected:
      counters_->rejected += 1;
      of_class.rejected += 1;
      break;
    case FinalAnswer::Kind::kFailed:
      counters_->failed += 1;
      of_class.failed += 1;
      break;
    case FinalAnswer::Kind::kDuplicateId:
      break;
  }
}

void Planner::Expire(RequestId id) {
  LedgerEntry* entry = ledger_.Find(id);
  if (entry == nullptr || entry->answered) return;
  for (std::size_t i = 0; i < entry->attempts.size(); ++i) {
    if (!entry->attempts[i].open) continue;
    CancelOpenAttempt(id, entry, i, AttemptStatus::kNoResponse);
    entry = ledger_.Find(id);
    if (entry == nullptr) return;
  }
  if (entry->answered) return;
  // The balancer had no attempt out (it still waited for probes, say), so it answers nothing.
  if (entry->MayHaveRun()) {
    Answer(id, entry, {});
  } else {
    const double objective_s = ClassOf(*entry).latency_objective_s;
    const double retry_after_s =
        settings_.retry_after ? std::min(settings_.max_retry_after_s, objective_s) : 0;
    Answer(id, entry, {.kind = FinalAnswer::Kind::kRejected, .retry_after_s = retry_after_s});
  }
  PostCancelled(id);
}

void Planner::EraseLater(RequestId id) {
  queue_.Post([this, id] { ledger_.EraseIfComplete(id); });
}

}  // namespace millethollow
