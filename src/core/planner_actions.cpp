// Execution of the balancer's actions.
#include <algorithm>
#include <charconv>
#include <utility>

#include "core/planner.h"

namespace millethollow {

using balancing::DeduplicationScope;
using balancing::Idempotency;

namespace {

// The balancer's request ids are the planner's in decimal.
RequestId ParseRequestId(std::string_view text) {
  RequestId id = 0;
  std::from_chars(text.data(), text.data() + text.size(), id);
  return id;
}

std::string AttemptFields(RequestId id, std::size_t attempt) {
  return " request=" + std::to_string(id) + " attempt=" + std::to_string(attempt);
}

}  // namespace

// ---- sending ----

void Planner::Execute(const balancing::SendAttempt& action) {
  const RequestId id = ParseRequestId(action.id);
  LedgerEntry* entry = ledger_.Find(id);
  if (entry == nullptr) {
    return environment_->Log("dispatch-unknown-request request=" + std::string(action.id));
  }
  const auto reason = CheckSend(*entry, id, action.worker, DispatchCheck::kNewAttempt);
  const std::size_t attempt = entry->attempts.size();
  entry->attempts.push_back({.worker = action.worker, .sent_at = environment_->Now()});
  if (reason) return BlockAttempt(id, entry, attempt, *reason);
  if (environment_->EndpointsOverdue()) {
    entry->attempts[attempt].deferred = true;
    return deferred_attempts_.push_back({id, attempt, action.worker, action.timeout_s});
  }
  if (entry->durable_job.empty() || environment_->attempt_recorder() == nullptr) {
    return Dispatch(id, attempt, action.worker, action.timeout_s);
  }
  RecordThenDispatch(id, attempt, action.worker, action.timeout_s);
}

std::optional<BlockReason> Planner::CheckSend(const LedgerEntry& entry, RequestId id,
                                              const std::string& worker,
                                              std::size_t attempt) const {
  if (FindForwarder(id) == nullptr) return BlockReason::kNoForwarder;
  return dispatch_check_.CheckAttempt(entry, id, worker, environment_->Now(), attempt);
}

void Planner::RecordThenDispatch(RequestId id, std::size_t attempt, const std::string& worker,
                                 double timeout_s) {
  LedgerEntry* entry = ledger_.Find(id);
  entry->attempts[attempt].deferred = true;
  environment_->attempt_recorder()->Record(
      {.durable_job = entry->durable_job,
       .number = static_cast<int>(attempt),
       .worker = worker,
       .local_worker = workers_.IsLocal(worker),
       .idempotent = IsIdempotent(*entry)},
      [this, id, attempt, worker, timeout_s](bool recorded) {
        LedgerEntry* current = ledger_.Find(id);
        if (current == nullptr || !current->attempts[attempt].open) return;
        current->attempts[attempt].deferred = false;
        // Check again, since the worker or the request may have changed since the decision.
        const auto reason = recorded ? CheckSend(*current, id, worker, attempt)
                                     : std::optional(BlockReason::kNotRecorded);
        if (reason) return BlockAttempt(id, current, attempt, *reason);
        Dispatch(id, attempt, worker, timeout_s);
      });
}

// Sends the attempts that waited for a current endpoint list, except to workers that it lists as
// draining or gone.
void Planner::DispatchDeferred() {
  if (deferred_attempts_.empty() || environment_->EndpointsOverdue()) return;
  for (const DeferredAttempt& deferred : std::exchange(deferred_attempts_, {})) {
    LedgerEntry* entry = ledger_.Find(deferred.id);
    if (entry == nullptr || !entry->attempts[deferred.attempt].open) continue;
    entry->attempts[deferred.attempt].deferred = false;
    const RegisteredWorker* worker = workers_.Find(deferred.worker);
    const bool draining = worker != nullptr && worker->draining();
    if (!draining && !CheckSend(*entry, deferred.id, deferred.worker, deferred.attempt)) {
      Dispatch(deferred.id, deferred.attempt, deferred.worker, deferred.timeout_s);
    } else {
      EndAttempt(deferred.id, entry, deferred.attempt, {.status = AttemptStatus::kNotSent});
    }
  }
}

void Planner::Dispatch(RequestId id, std::size_t attempt, const std::string& worker,
                       double timeout_s) {
  counters_->sent += 1;
  LedgerEntry* entry = ledger_.Find(id);
  if (!std::exchange(entry->sent, true) && !entry->wire_id.empty()) {
    environment_->OnWireIdSent(entry->wire_id);
  }
  LogSend(id, attempt);
  if (timeout_s > 0) {
    deadlines_->At(environment_->Now() + timeout_s,
                   [this, id, attempt] { OnAttemptTimeout(id, attempt); });
  }
  FindForwarder(id)->Send(id, static_cast<int>(attempt), worker,
                          dispatch_check_.LimitOf(*entry, worker, attempt));
}

// Logs that an attempt is blocked, and reports it to the balancer as not sent.
void Planner::BlockAttempt(RequestId id, LedgerEntry* entry, std::size_t attempt,
                           BlockReason reason) {
  counters_->blocked += 1;
  LogAttempt(RequestStep::kRefused, id, attempt, BlockReasonText(reason));
  environment_->Log("dispatch-blocked reason=" + std::string(BlockReasonText(reason)) +
                    " worker=" + entry->attempts[attempt].worker + AttemptFields(id, attempt));
  EndAttempt(id, entry, attempt, {.status = AttemptStatus::kNotSent});
}

// ---- rejection, failure and cancellation ----

void Planner::Execute(const balancing::RejectRequest& action) {
  const RequestId id = ParseRequestId(action.id);
  LedgerEntry* entry = ledger_.Find(id);
  if (entry == nullptr || entry->answered) return;
  const balancing::ClassSettings& class_settings = ClassOf(*entry);
  const bool may_run_again = class_settings.idempotency == Idempotency::kIdempotent ||
                             (class_settings.idempotency == Idempotency::kIdempotentWithKey &&
                              class_settings.deduplication_scope == DeduplicationScope::kAll);
  // A rejection guarantees to the client that no attempt has run.
  if (!may_run_again && entry->MayHaveRun()) {
    Answer(id, entry, {});
  } else {
    Answer(id, entry,
           {.kind = FinalAnswer::Kind::kRejected,
            .retry_after_s = std::min(action.retry_after_s, settings_.max_retry_after_s)});
  }
  PostEraseIfComplete(id);
}

void Planner::Execute(const balancing::FailRequest& action) {
  const RequestId id = ParseRequestId(action.id);
  LedgerEntry* entry = ledger_.Find(id);
  if (entry == nullptr || entry->answered) return;
  Answer(id, entry, {});
  PostEraseIfComplete(id);
}

void Planner::Execute(const balancing::CancelAttempt& action) {
  const RequestId id = ParseRequestId(action.id);
  if (ledger_.FindOpenAttempt(id, action.attempt) == nullptr) return;
  CancelOpenAttempt(id, ledger_.Find(id), static_cast<std::size_t>(action.attempt),
                    AttemptStatus::kCancelled);
}

// ---- timers, probes, peers ----

void Planner::Execute(const balancing::SetTimer& action) {
  deadlines_->At(environment_->Now() + action.after_s, [this, timer_id = action.timer_id] {
    event_queue_.Post([this, timer_id] { HandleEvent(balancing::TimerFired{timer_id}); });
  });
}

void Planner::Execute(const balancing::Probe& action) {
  counters_->probes += 1;
  const RegisteredWorker* worker = workers_.Find(action.worker);
  if (worker != nullptr && !forwarders_.empty()) {
    const auto owner = forwarders_.find(worker->forwarder);
    if (owner != forwarders_.end()) return owner->second->Probe(action.worker);
    if (!worker->local) return forwarders_.begin()->second->Probe(action.worker);
  }
  OnProbeAnswered(action.worker, {.status = AttemptStatus::kConnectFailed});
}

void Planner::Execute(const balancing::SendPeerMessage& action) {
  if (action.body.size() > balancing::kMaxPeerMessageBytes) {
    counters_->peers.too_long += 1;
    return;
  }
  counters_->peer_messages_out += 1;
  environment_->SendPeerMessage(action.recipient, action.body);
}

}  // namespace millethollow
