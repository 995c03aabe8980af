// The life cycle of a planner's requests and attempts, from arrival to the final answer.
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
  // Workers identify requests by their wire id: a second request with an id in use would get the
  // result of the first.
  if (!ledger_.ReserveWireId(request.wire_id)) {
    counters_->bad_input += 1;
    LogRequest({.step = RequestStep::kRefused,
                .id = request.wire_id,
                .number = id,
                .reason = "duplicate-id"});
    if (ForwarderPort* port = FindForwarder(id)) {
      port->Answer(id, {.kind = FinalAnswer::Kind::kDuplicateId});
    }
    return;
  }
  if (!request.wire_id.empty()) environment_->OnWireIdReserved(request.wire_id);
  counters_->received += 1;
  if (!request.retry) {
    demand_meter_.Count(environment_->Now(), static_cast<std::size_t>(request.tenant));
  }
  pending_ += 1;
  LedgerEntry& entry = ledger_.Add(id);
  entry.wire_id = request.wire_id;
  entry.class_index = request.class_index;
  entry.max_attempts = settings_.max_attempts;
  entry.durable_job = request.durable_job;
  std::vector<balancing::PreviousAttempt> previous_attempts;
  if (!request.prior_attempts.empty() && !AddPriorAttempts(request, &entry, &previous_attempts)) {
    Answer(id, &entry, {});
    return PostEraseIfComplete(id);
  }
  entry.expiry = deadlines_->At(request.expires_at, [this, id] { Expire(id); });
  PostRequestArrived(request, std::move(previous_attempts));
}

void Planner::PostRequestArrived(const Request& request,
                                 std::vector<balancing::PreviousAttempt> previous_attempts) {
  Request without_body = request;
  if (without_body.body_bytes == 0) without_body.body_bytes = without_body.body.size();
  without_body.body.clear();
  event_queue_.Post([this, without_body = std::move(without_body),
                     previous_attempts = std::move(previous_attempts)] {
    const std::string name = std::to_string(without_body.id);
    HandleEvent(balancing::RequestArrived{.id = name,
                                          .expires_s = without_body.expires_at,
                                          .slots = without_body.slots,
                                          .memory = without_body.memory,
                                          .bytes = static_cast<double>(without_body.body_bytes),
                                          .tenant = without_body.tenant,
                                          .class_index = without_body.class_index,
                                          .retry = without_body.retry,
                                          .key = without_body.affinity,
                                          .size_hint_s = without_body.size_hint_s,
                                          .previous_attempts = previous_attempts});
  });
}

// Adds attempts that another process sent, which count like this process's own. Returns false if
// the request must not be sent again, since the worker of such an attempt is unknown or
// DispatchCheck does not allow another attempt after it.
bool Planner::AddPriorAttempts(const Request& request, LedgerEntry* entry,
                               std::vector<balancing::PreviousAttempt>* previous_attempts) const {
  if (IsIdempotent(*entry)) return true;
  const double now = environment_->Now();
  for (const PriorAttempt& prior : request.prior_attempts) {
    const RegisteredWorker* worker = workers_.Find(prior.worker);
    if (prior.local_worker || worker == nullptr || worker->local) return false;
    const double sent_at = now - prior.age_s;
    entry->attempts.push_back({.worker = prior.worker,
                               .sent_at = sent_at,
                               .open = false,
                               .status = AttemptStatus::kNoResponse});
    const LedgerAttempt& previous = entry->attempts.back();
    if (dispatch_check_.CheckRepeat(previous, ClassOf(*entry), *worker, now)) return false;
    previous_attempts->push_back({prior.worker, sent_at});
  }
  return true;
}

void Planner::OnRequestCancelled(RequestId id) {
  LedgerEntry* entry = ledger_.Find(id);
  if (entry == nullptr || entry->answered) return;
  entry->answered = true;  // no answer is due any more
  counters_->cancelled += 1;
  LogRequest(
      {.step = RequestStep::kClosed, .id = entry->wire_id, .number = id, .reason = "client-gone"});
  pending_ -= 1;
  deadlines_->Drop(&entry->expiry);
  PostRequestCancelled(id);
}

void Planner::PostRequestCancelled(RequestId id) {
  event_queue_.Post([this, id] {
    const std::string name = std::to_string(id);
    HandleEvent(balancing::RequestCancelled{name});
    ledger_.EraseIfComplete(id, environment_->Now());
  });
}

// ---- attempts ----

void Planner::OnAttemptStarted(RequestId id, int attempt) {
  LedgerAttempt* open_attempt = ledger_.FindOpenAttempt(id, attempt);
  if (open_attempt == nullptr) return;
  open_attempt->started = true;
  event_queue_.Post([this, id, attempt] {
    const std::string name = std::to_string(id);
    HandleEvent(balancing::AttemptProgress{name, attempt, balancing::ProgressKind::kStarted, 0});
  });
}

void Planner::OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome) {
  if (ledger_.FindOpenAttempt(id, attempt) == nullptr) return;  // cancelled or timed out meanwhile
  EndAttempt(id, ledger_.Find(id), static_cast<std::size_t>(attempt), outcome);
}

void Planner::EndAttempt(RequestId id, LedgerEntry* entry, std::size_t attempt,
                         const Outcome& outcome) {
  LedgerAttempt& ledger_attempt = entry->attempts[attempt];
  if (!ledger_attempt.open) return;
  ledger_attempt.open = false;
  ledger_attempt.status = outcome.status;
  const bool answered = outcome.status == AttemptStatus::kSucceeded ||
                        outcome.status == AttemptStatus::kServerError ||
                        outcome.status == AttemptStatus::kRejected;
  LogAttempt(answered ? RequestStep::kAnswered : RequestStep::kClosed, id, attempt,
             AttemptStatusText(outcome.status));
  ledger_attempt.may_have_run = !NeverRan(outcome.status);
  if (outcome.status == AttemptStatus::kSucceeded && !entry->answered) {
    Answer(id, entry,
           {.kind = FinalAnswer::Kind::kCompleted, .attempt = static_cast<int>(attempt)});
  }
  // An error that the request itself causes is no fault of the worker, and other workers would
  // return it too. If it counted as a failure, such requests could get every worker ejected.
  const bool client_error = outcome.client_error && !NeverRan(outcome.status);
  const AttemptStatus status = client_error ? AttemptStatus::kCancelled : outcome.status;
  if (status != outcome.status && !entry->answered) Answer(id, entry, {});
  event_queue_.Post([this, id, attempt, outcome, status] {
    const LedgerEntry* current = ledger_.Find(id);
    const std::string name = std::to_string(id);
    balancing::AttemptEnded event{.id = name,
                                  .attempt = static_cast<int>(attempt),
                                  .status = status,
                                  .latency_s = outcome.latency_s,
                                  .terminal = current == nullptr || current->answered,
                                  .has_report = outcome.has_report};
    std::copy(std::begin(outcome.report), std::end(outcome.report), std::begin(event.report));
    HandleEvent(event);
    ledger_.EraseIfComplete(id, environment_->Now());
  });
}

// Ends an attempt that is no longer needed and has the forwarder cancel it.
void Planner::CancelOpenAttempt(RequestId id, LedgerEntry* entry, std::size_t attempt,
                                AttemptStatus status_if_started) {
  if (ForwarderPort* port = FindForwarder(id)) port->Cancel(id, static_cast<int>(attempt));
  const bool not_started = IsKnownNotStarted(id, entry->attempts[attempt]);
  EndAttempt(id, entry, attempt,
             {.status = not_started ? AttemptStatus::kNotSent : status_if_started});
}

// A local worker pulls its jobs: until it reports a start, nothing has been sent to it.
bool Planner::IsKnownNotStarted(RequestId id, const LedgerAttempt& attempt) const {
  if (attempt.deferred) return true;
  return !attempt.started && workers_.IsLocal(attempt.worker) &&
         in_process_forwarders_.contains(ForwarderOf(id));
}

void Planner::OnAttemptTimeout(RequestId id, std::size_t attempt) {
  LedgerEntry* entry = ledger_.Find(id);
  if (entry == nullptr || !entry->attempts[attempt].open) return;
  if (ForwarderPort* port = FindForwarder(id)) port->Cancel(id, static_cast<int>(attempt));
  EndAttempt(id, entry, attempt, {.status = AttemptStatus::kNoResponse});
}

// ---- the final answer ----

void Planner::Answer(RequestId id, LedgerEntry* entry, FinalAnswer answer) {
  entry->answered = true;
  pending_ -= 1;
  deadlines_->Drop(&entry->expiry);
  CountAnswer(*entry, answer.kind);
  LogFinalAnswer(id, *entry, answer);
  if (!entry->durable_job.empty()) {
    for (std::size_t attempt = 0; attempt < entry->attempts.size(); ++attempt) {
      if (entry->attempts[attempt].may_have_run && !entry->attempts[attempt].deferred) continue;
      answer.never_ran.push_back(static_cast<int>(attempt));
    }
  }
  if (ForwarderPort* port = FindForwarder(id)) port->Answer(id, answer);
}

// ---- log lines ----

void Planner::LogAttempt(RequestStep step, RequestId id, std::size_t attempt,
                         std::string_view reason) {
  const LedgerEntry* entry = ledger_.Find(id);
  LogRequest({.step = step,
              .id = entry->wire_id,
              .number = id,
              .attempt = static_cast<int>(attempt),
              .worker = entry->attempts[attempt].worker,
              .reason = reason});
}

// Tells of a repeat how the attempt before it ended.
void Planner::LogSend(RequestId id, std::size_t attempt) {
  const LedgerEntry* entry = ledger_.Find(id);
  if (attempt == 0) return LogAttempt(RequestStep::kSent, id, attempt, "first");
  const LedgerAttempt& previous = entry->attempts[attempt - 1];
  const std::string_view reason = previous.open ? "hedged" : AttemptStatusText(previous.status);
  LogAttempt(RequestStep::kRepeated, id, attempt, reason);
}

void Planner::LogFinalAnswer(RequestId id, const LedgerEntry& entry, const FinalAnswer& answer) {
  const bool rejected = answer.kind == FinalAnswer::Kind::kRejected;
  const bool completed = answer.kind == FinalAnswer::Kind::kCompleted;
  LogRequest({.step = rejected ? RequestStep::kRefused : RequestStep::kAnswered,
              .id = entry.wire_id,
              .number = id,
              .attempt = answer.attempt,
              .reason = rejected    ? "final-rejected"
                        : completed ? "final-completed"
                                    : "final-failed"});
}

void Planner::CountAnswer(const LedgerEntry& entry, FinalAnswer::Kind kind) {
  const auto class_index = static_cast<std::size_t>(entry.class_index);
  ClassCounters& class_counters =
      counters_->classes[class_index < class_names_.size() ? class_names_[class_index] : ""];
  switch (kind) {
    case FinalAnswer::Kind::kCompleted:
      counters_->completed += 1;
      class_counters.completed += 1;
      break;
    case FinalAnswer::Kind::kRejected:
      counters_->rejected += 1;
      class_counters.rejected += 1;
      break;
    case FinalAnswer::Kind::kFailed:
      counters_->failed += 1;
      class_counters.failed += 1;
      break;
    case FinalAnswer::Kind::kDuplicateId:
      break;
  }
}

void Planner::Expire(RequestId id) {
  LedgerEntry* entry = ledger_.Find(id);
  if (entry == nullptr || entry->answered) return;
  for (std::size_t attempt = 0; attempt < entry->attempts.size(); ++attempt) {
    if (!entry->attempts[attempt].open) continue;
    CancelOpenAttempt(id, entry, attempt, AttemptStatus::kNoResponse);
    entry = ledger_.Find(id);
    if (entry == nullptr) return;
  }
  if (entry->answered) return;
  // The balancer had no attempt in flight (it may have waited for probes), so it will not answer.
  if (entry->MayHaveRun()) {
    Answer(id, entry, {});
  } else {
    const double objective_s = ClassOf(*entry).latency_objective_s;
    const double retry_after_s =
        settings_.retry_after ? std::min(settings_.max_retry_after_s, objective_s) : 0;
    Answer(id, entry, {.kind = FinalAnswer::Kind::kRejected, .retry_after_s = retry_after_s});
  }
  PostRequestCancelled(id);
}

void Planner::PostEraseIfComplete(RequestId id) {
  event_queue_.Post([this, id] { ledger_.EraseIfComplete(id, environment_->Now()); });
}

}  // namespace millethollow
