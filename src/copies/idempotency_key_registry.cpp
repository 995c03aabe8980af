#include "copies/idempotency_key_registry.h"

#include <algorithm>

namespace millethollow::copies {
namespace {

constexpr std::size_t kRecordOverheadBytes = 200;  // counted per key on top of its fields
constexpr std::size_t kMaxExpiredAtOnce = 256;     // keys erased in one Tick()

}  // namespace

std::size_t IdempotencyKeyRegistry::SizeOf(const std::string& key,
                                           const IdempotencyRecord& record) {
  return kRecordOverheadBytes + key.size() + record.result.size();
}

void IdempotencyKeyRegistry::OnLogAcquired(double now, LogId log,
                                           const std::vector<Operation>& entries) {
  owned_logs_[log];
  for (const Operation& entry : entries) {
    auto stored = DecodeIdempotencyRecord(entry.value);
    if (!stored || records_.contains(entry.key)) continue;
    Record& record = records_[entry.key];
    bytes_ += SizeOf(entry.key, *stored);
    record.stored = std::move(*stored);
    record.log = log;
    record.last_write = entry.sequence;
    record.committed = true;
    record.expires_at = now + record.stored.window_s;
  }
}

void IdempotencyKeyRegistry::OnLogReleased(LogId log) {
  owned_logs_.erase(log);
  for (auto it = records_.begin(); it != records_.end();) {
    if (it->second.log != log) {
      ++it;
      continue;
    }
    bytes_ -= SizeOf(it->first, it->second.stored);
    it = records_.erase(it);
  }
}

// Records the sequence number of the last attempt, which is that of the last write, before the
// record is written again.
void IdempotencyKeyRegistry::SetLastAttemptSequence(Record* record) {
  if (record->stored.attempts.empty() || record->stored.attempts.back().sequence != 0) return;
  record->stored.attempts.back().sequence = record->last_write;
}

// Appends the record. Returns false if the log rejects it.
bool IdempotencyKeyRegistry::Write(const std::string& key, Record* record) {
  ReplicatedLogs::AppendError reason{};
  const SequenceNumber sequence =
      hooks_.append(record->log, key, Encode(record->stored), false, &reason);
  if (sequence == 0) return false;
  record->last_write = sequence;
  record->committed = false;
  owned_logs_[record->log].emplace(sequence, key);
  return true;
}

bool IdempotencyKeyRegistry::Erase(const std::string& key, Record* record) {
  ReplicatedLogs::AppendError reason{};
  const SequenceNumber sequence = hooks_.append(record->log, key, "", true, &reason);
  if (sequence == 0) return false;
  record->last_write = sequence;
  record->committed = false;
  record->erasing = true;
  owned_logs_[record->log].emplace(sequence, key);
  return true;
}

template <typename Body>
void IdempotencyKeyRegistry::Reply(const IdempotencyMessage& message, Body body) {
  hooks_.send(message.claim.node, {message.log, message.key, message.claim, std::move(body)});
}

template <typename Body>
void IdempotencyKeyRegistry::Send(const std::string& key, const Record& record, const ClaimId& to,
                                  Body body) {
  hooks_.send(to.node, {record.log, key, to, std::move(body)});
}

ClaimGranted IdempotencyKeyRegistry::Grant(const Record& record) const {
  ClaimGranted grant{.attempts = record.stored.attempts, .ages_s = {}};
  for (const AttemptRecord& attempt : grant.attempts) {
    const SequenceNumber sequence = attempt.sequence == 0 ? record.last_write : attempt.sequence;
    grant.ages_s.push_back(hooks_.max_age_s(record.log, sequence));
  }
  return grant;
}

void IdempotencyKeyRegistry::OnMessage(double now, NodeId from, const IdempotencyMessage& message) {
  if (message.claim.node != from) return;
  const auto* claim = std::get_if<ClaimRequest>(&message.body);
  const auto* attempt = std::get_if<AttemptRequest>(&message.body);
  const auto* release = std::get_if<ReleaseRequest>(&message.body);
  if (!owned_logs_.contains(message.log)) {  // this member does not act on the log, or not yet
    if (attempt != nullptr) Reply(message, AttemptRejected{attempt->attempt});
    return;
  }
  if (claim != nullptr) OnClaimRequest(now, message, *claim);
  if (attempt != nullptr) OnAttemptRequest(message, *attempt);
  if (release != nullptr) OnReleaseRequest(now, message, *release);
}

void IdempotencyKeyRegistry::OnClaimRequest(double now, const IdempotencyMessage& message,
                                            const ClaimRequest& request) {
  const auto found = records_.find(message.key);
  if (found == records_.end()) return OnNewKey(message, request);
  Record& record = found->second;
  if (record.erasing) return;  // the claim is sent again and finds a new key
  if (record.stored.answered) {
    if (!record.committed) return;
    counters_.repeated += 1;
    return Reply(message, ClaimAnswered{record.stored.result});
  }
  if (record.stored.claim == message.claim) {
    if (record.committed) Reply(message, Grant(record));
    return;
  }
  JoinWaiting(now, message, &record);
}

void IdempotencyKeyRegistry::OnNewKey(const IdempotencyMessage& message,
                                      const ClaimRequest& request) {
  Record record;
  record.log = message.log;
  record.stored.claim = message.claim;
  record.stored.window_s = request.window_s;
  const bool full = records_.size() >= limits_.keys || bytes_ >= limits_.bytes;
  if (full || !Write(message.key, &record)) {
    counters_.rejected += 1;
    return Reply(message, ClaimRejected{});
  }
  counters_.claims += 1;
  bytes_ += SizeOf(message.key, record.stored);
  records_.emplace(message.key, std::move(record));
}

void IdempotencyKeyRegistry::JoinWaiting(double now, const IdempotencyMessage& message,
                                         Record* record) {
  auto& waiting = record->waiting;
  if (std::find(waiting.begin(), waiting.end(), message.claim) == waiting.end()) {
    if (waiting.size() >= limits_.waiting) return Reply(message, ClaimRejected{});
    waiting.push_back(message.claim);
    counters_.joined += 1;
  }
  PassToNextWaiting(now, message.key, record);
  if (record->stored.claim != message.claim) Reply(message, ClaimPending{});
}

// If no claim runs the request, or the process of the one that does has left the view, passes the
// request to the first waiting claim.
void IdempotencyKeyRegistry::PassToNextWaiting(double now, const std::string& key, Record* record) {
  if (record->stored.answered || record->erasing) return;
  if (record->stored.claim.node != 0) {
    if (hooks_.alive(record->stored.claim)) return;
    record->stored.claim = {};
    record->attempt = 0;
    record->expires_at = now + record->stored.window_s;
  }
  while (!record->waiting.empty()) {
    const ClaimId next = record->waiting.front();
    if (!hooks_.alive(next)) {
      record->waiting.pop_front();
      continue;
    }
    record->stored.claim = next;
    SetLastAttemptSequence(record);
    if (!Write(key, record)) {
      record->stored.claim = {};
      return;
    }
    record->waiting.pop_front();
    counters_.taken_over += 1;
    return;
  }
}

void IdempotencyKeyRegistry::OnAttemptRequest(const IdempotencyMessage& message,
                                              const AttemptRequest& request) {
  const auto found = records_.find(message.key);
  if (found == records_.end() || found->second.stored.claim != message.claim ||
      found->second.stored.answered) {
    return Reply(message, AttemptRejected{request.attempt});
  }
  Record& record = found->second;
  if (request.attempt <= record.attempt) {  // sent again
    if (request.attempt == record.attempt && record.committed) {
      Reply(message, AttemptAllowed{request.attempt});
    }
    return;
  }
  const std::vector<AttemptRecord> before = record.stored.attempts;
  SetLastAttemptSequence(&record);
  record.stored.attempts.push_back({request.worker, request.local_worker, 0});
  if (record.stored.attempts.size() > kMaxAttempts || !Write(message.key, &record)) {
    record.stored.attempts = before;
    return Reply(message, AttemptRejected{request.attempt});
  }
  record.attempt = request.attempt;
}

void IdempotencyKeyRegistry::OnReleaseRequest(double now, const IdempotencyMessage& message,
                                              const ReleaseRequest& request) {
  const auto found = records_.find(message.key);
  if (found == records_.end()) return Reply(message, ClaimReleased{});
  Record& record = found->second;
  std::erase(record.waiting, message.claim);
  // Acknowledged only once the end is committed: otherwise a new owner of the log would still see
  // the claim as running.
  if (record.stored.claim != message.claim || record.stored.answered || record.erasing) {
    if (record.committed) Reply(message, ClaimReleased{});
    return;
  }
  if (request.answered) {
    RecordAnswer(now, message.key, request, &record);
  } else {
    ReleaseUnanswered(now, message.key, request, &record);
  }
}

void IdempotencyKeyRegistry::RecordAnswer(double now, const std::string& key,
                                          const ReleaseRequest& request, Record* record) {
  const IdempotencyRecord before = record->stored;
  bytes_ += request.result.size();
  record->stored.answered = true;
  record->stored.result = request.result;
  record->expires_at = now + record->stored.window_s;
  if (Write(key, record)) return;
  bytes_ -= request.result.size();
  record->stored = before;  // the request is sent again
}

void IdempotencyKeyRegistry::ReleaseUnanswered(double now, const std::string& key,
                                               const ReleaseRequest& request, Record* record) {
  const IdempotencyRecord before = record->stored;
  SetLastAttemptSequence(record);
  std::erase_if(record->stored.attempts, [&request](const AttemptRecord& attempt) {
    return std::ranges::none_of(request.ran_at, [&attempt](const std::string& worker) {
      return worker == attempt.worker || worker == kAnyWorker;
    });
  });
  record->stored.claim = {};
  const std::uint64_t last_attempt = std::exchange(record->attempt, 0);
  record->expires_at = now + record->stored.window_s;
  PassToNextWaiting(now, key, record);
  if (record->stored.claim.node != 0) return;
  if (record->stored.attempts.empty() ? Erase(key, record) : Write(key, record)) return;
  record->stored = before;  // the request is sent again
  record->attempt = last_attempt;
}

void IdempotencyKeyRegistry::OnCommitted(LogId log, SequenceNumber sequence) {
  while (true) {
    const auto owned = owned_logs_.find(log);
    if (owned == owned_logs_.end() || owned->second.empty()) return;
    PendingWrites& pending = owned->second;
    if (pending.begin()->first > sequence) return;
    const SequenceNumber written = pending.begin()->first;
    const std::string key = std::move(pending.begin()->second);
    pending.erase(pending.begin());
    OnWriteCommitted(key, written);
  }
}

void IdempotencyKeyRegistry::OnWriteCommitted(const std::string& key, SequenceNumber sequence) {
  const auto found = records_.find(key);
  if (found == records_.end() || found->second.last_write != sequence)
    return;  // it was written again
  Record& record = found->second;
  record.committed = true;
  const ClaimId claim = record.stored.claim;
  if (record.erasing) {  // waiting claims are sent again
    bytes_ -= SizeOf(key, record.stored);
    records_.erase(found);
  } else if (record.stored.answered) {
    Send(key, record, claim, ClaimReleased{});
    for (const ClaimId& waiting : std::exchange(record.waiting, {})) {
      Send(key, record, waiting, ClaimAnswered{record.stored.result});
    }
  } else if (record.attempt > 0) {
    Send(key, record, claim, AttemptAllowed{record.attempt});
  } else if (claim.node != 0) {
    Send(key, record, claim, Grant(record));
  }
}

void IdempotencyKeyRegistry::Tick(double now) {
  std::vector<std::string> open, expired;
  for (const auto& [key, record] : records_) {
    if (!record.committed || record.erasing) continue;
    const bool claimed = record.stored.claim.node != 0;
    const bool answered = record.stored.answered;
    if (!answered && (claimed || !record.waiting.empty())) open.push_back(key);
    const bool over = (answered || !claimed) && now >= record.expires_at;
    if (over && expired.size() < kMaxExpiredAtOnce) expired.push_back(key);
  }
  for (const std::string& key : open) {
    const auto it = records_.find(key);
    if (it != records_.end()) PassToNextWaiting(now, key, &it->second);
  }
  for (const std::string& key : expired) {
    const auto it = records_.find(key);
    if (it != records_.end() && it->second.committed) Erase(key, &it->second);
  }
}

}  // namespace millethollow::copies
