// The balancer's actions, carried out.
#include <algorithm>
#include <charconv>
#include <utility>

#include "core/planner.h"

namespace millethollow {

using balancing::DeduplicationScope;
using balancing::Idempotency;

namespace {

// The balancer's request ids are ours in decimal.
RequestId ParseRequestId(std::string_view text) {
  RequestId id = 0;
  std::from_chars(text.data(), text.data() + text.size(), id);
  return id;
}

std::string AttemptText(RequestId id, std::size_t attempt) {
  return " request=" + std::to_string(id) + " attempt=" + std::to_string(attempt);
}

}  // namespace

// ---- sending ----

void Planner::Do(const balancing::SendAttempt& a) {
  const RequestId id = ParseRequestId(a.id);
  LedgerEntry* entry = ledger_.Find(id);
  if (entry == nullptr) {
    return environment_->Log("dispatch-unknown-request request=" + std::string(a.id));
  }
  const auto reason = CheckSend(*entry, id, a.worker, DispatchCheck::kNewAttempt);
  const std::size_t attempt = entry->attempts.size();
  entry->attempts.push_back({.worker = a.worker, .sent_at = environment_->Now()});
  if (reason) return BlockAttempt(id, entry, attempt, *reason);
  if (environment_->EndpointsOverdue()) {
    entry->attempts[attempt].deferred = true;
    return deferred_.push_back({id, attempt, a.worker, a.timeout_s});
  }
  if (entry->durable_job.empty() || environment_->attempt_recorder() == nullptr) {
    return Dispatch(id, attempt, a.worker, a.timeout_s);
  }
  RecordThenDispatch(id, attempt, a.worker, a.timeout_s);
}

std::optional<BlockReason> Planner::CheckSend(const LedgerEntry& entry, RequestId id,
                                              const std::string& worker,
                                              std::size_t attempt) const {
  if (PortOf(id) == nullptr) return BlockReason::kNoForwarder;
  return dispatch_check_.CheckAttempt(entry, id, worker, environment_->Now(), attempt);
}

void Planner::RecordThenDispatch(RequestId id, std::size_t attempt, const std::string& worker,
                                 double timeout_s) {
  LedgerEntry* entry = ledger_.Find(id);
  entry->attempts[attempt].deferred = true;
  environment_->attempt_recorder()->Record(
      {.durable_job = entry->durable_job,
       .worker = worker,
       .local_worker = workers_.IsLocal(worker),
       .idempotent = IsIdempotent(*entry)},
      [this, id, attempt, worker, timeout_s](bool recorded) {
        LedgerEntry* current = ledger_.Find(id);
        if (current == nullptr || !current->attempts[attempt].open) return;
        current->attempts[attempt].deferred = false;
        // Checked again: the worker or the request may have changed since the decision.
        const auto reason = recorded ? CheckSend(*current, id, worker, attempt)
                                     : std::optional(BlockReason::kNotRecorded);
        if (reason) return BlockAttempt(id, current, attempt, *reason);
        Dispatch(id, attempt, worker, timeout_s);
      });
}

// Attempts that waited for an endpoint list go out, unless it has ended their worker.
void Planner::DispatchDeferred() {
  if (deferred_.empty() || environment_->EndpointsOverdue()) return;
  for (const DeferredAttempt& d : std::exchange(deferred_, {})) {
    LedgerEntry* entry = ledger_.Find(d.id);
    if (entry == nullptr || !entry->attempts[d.attempt].open) continue;
    entry->attempts[d.attempt].deferred = false;
    const RegisteredWorker* worker = workers_.Find(d.worker);
    const bool draining = worker != nullptr && worker->draining();
    if (!draining && !CheckSend(*entry, d.id, d.worker, d.attempt)) {
      Dispatch(d.id, d.attempt, d.worker, d.timeout_s);
    } else {
      EndAttempt(d.id, entry, d.attempt, {.status = AttemptStatus::kNotSent});
    }
  }
}

void Planner::Dispatch(RequestId id, std::size_t attempt, const std::string& worker,
                       double timeout_s) {
  counters_->sent += 1;
  if (timeout_s > 0) {
    deadlines_->At(environment_->Now() + timeout_s,
                   [this, id, attempt] { OnAttemptTimeout(id, attempt); });
  }
  PortOf(id)->Send(id, static_cast<int>(attempt), worker);
}

// The balancer learns of it as an attempt that was not sent.
void Planner::BlockAttempt(RequestId id, LedgerEntry* entry, std::size_t attempt,
                           BlockReason reason) {
  counters_->blocked += 1;
  environment_->Log("dispatch-blocked reason=" + std::string(BlockReasonText(reason)) +
                    " worker=" + entry->attempts[attempt].worker + AttemptText(id, attempt));
  EndAttempt(id, entry, attempt, {.status = AttemptStatus::kNotSent});
}

// ---- ends ----

void Planner::Do(const balancing::RejectRequest& a) {
  const RequestId id = ParseRequestId(a.id);
  LedgerEntry* entry = ledger_.Find(id);
  if (entry == nullptr || entry->answered) return;
  const balancing::ClassSettings& cls = ClassOf(*entry);
  const bool may_run_again = cls.idempotency == Idempotency::kIdempotent ||
                             (cls.idempotency == Idempotency::kIdempotentWithKey &&
                              cls.deduplication_scope == DeduplicationScope::kAll);
  // A rejection promises the client that nothing has run.
  if (!may_run_again && entry->MayHaveRun()) {
    Answer(id, entry, {});
  } else {
    Answer(id, entry,
           {.kind = FinalAnswer::Kind::kRejected,
            .retry_after_s = std::min(a.retry_after_s, settings_.max_retry_after_s)});
  }
  EraseLater(id);
}

void Planner::Do(const balancing::FailRequest& a) {
  const RequestId id = ParseRequestId(a.id);
  LedgerEntry* entry = ledger_.Find(id);
  if (entry == nullptr || entry->answered) return;
  Answer(id, entry, {});
  EraseLater(id);
}

void Planner::Do(const balancing::CancelAttempt& a) {
  const RequestId id = ParseRequestId(a.id);
  if (ledger_.FindOpenAttempt(id, a.attempt) == nullptr) return;
  CancelOpenAttempt(id, ledger_.Find(id), static_cast<std::size_t>(a.attempt),
                    AttemptStatus::kCancelled);
}

// ---- timers, probes, peers ----

void Planner::Do(const balancing::SetTimer& a) {
  deadlines_->At(environment_->Now() + a.after_s, [this, timer_id = a.timer_id] {
    queue_.Post([this, timer_id] { Deliver(balancing::TimerFired{timer_id}); });
  });
}

void Planner::Do(const balancing::Probe& a) {
  counters_->probes += 1;
  const RegisteredWorker* worker = workers_.Find(a.worker);
  if (worker != nullptr && !forwarders_.empty()) {
    const auto owner = forwarders_.find(worker->forwarder);
    if (owner != forwarders_.end()) return owner->second->Probe(a.worker);
    if (!worker->local) return forwarders_.begin()->second->Probe(a.worker);
  }
  OnProbeAnswered(a.worker, {.status = AttemptStatus::kConnectFailed});
}

void Planner::Do(const balancing::SendPeerMessage& a) {
  if (a.body.size() > balancing::kMaxPeerMessageBytes) {
    counters_->peers.too_long += 1;
    return;
  }
  counters_->peer_messages_out += 1;
  environment_->SendPeerMessage(a.recipient, a.body);
}

}  // namespace millethollow
