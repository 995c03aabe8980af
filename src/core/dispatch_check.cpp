#include "core/dispatch_check.h"

#include <algorithm>

namespace millethollow {

using balancing::DeduplicationScope;
using balancing::Idempotency;

namespace {

// Of the grace period: what is sent later than this might reach the worker after its end.
constexpr double kUsableGraceShare = 0.9;

}  // namespace

std::string_view BlockReasonText(BlockReason reason) {
  switch (reason) {
    case BlockReason::kAnswered:
      return "answered";
    case BlockReason::kAttemptLimit:
      return "attempt-limit";
    case BlockReason::kUnlisted:
      return "unlisted";
    case BlockReason::kDraining:
      return "draining";
    case BlockReason::kMaintenance:
      return "maintenance";
    case BlockReason::kOtherForwarder:
      return "other-forwarder";
    case BlockReason::kHedgingDisabled:
      return "hedging-disabled";
    case BlockReason::kNotIdempotent:
      return "not-idempotent";
    case BlockReason::kDeduplicationWindow:
      return "deduplication-window";
    case BlockReason::kDeduplicationScope:
      return "deduplication-scope";
    case BlockReason::kNoForwarder:
      return "no-forwarder";
    case BlockReason::kNotRecorded:
      return "not-recorded";
  }
  return "unknown";
}

std::optional<BlockReason> DispatchCheck::CheckAttempt(const LedgerEntry& entry, RequestId id,
                                                       const std::string& worker, double now,
                                                       std::size_t attempt) const {
  if (entry.answered) return BlockReason::kAnswered;
  const std::size_t earlier = std::min(attempt, entry.attempts.size());
  if (earlier >= static_cast<std::size_t>(entry.max_attempts)) return BlockReason::kAttemptLimit;
  const RegisteredWorker* next = workers_->Find(worker);
  if (next == nullptr) return BlockReason::kUnlisted;
  if (const auto reason = CheckWorker(*next, id, now)) return reason;
  const balancing::ClassSettings& cls =
      settings_->classes[static_cast<std::size_t>(entry.class_index)];
  for (std::size_t i = 0; i < entry.attempts.size(); ++i) {
    const LedgerAttempt& other = entry.attempts[i];
    if (i == attempt) continue;
    if (other.open && !settings_->allow_hedging) return BlockReason::kHedgingDisabled;
    if (const auto reason = CheckRepeat(other, cls, *next, now)) return reason;
  }
  return std::nullopt;
}

std::optional<BlockReason> DispatchCheck::CheckWorker(const RegisteredWorker& worker, RequestId id,
                                                      double now) const {
  const double usable_s = kUsableGraceShare * settings_->drain_grace_s;
  if (worker.draining() && now - worker.drain_notified_at > usable_s) return BlockReason::kDraining;
  if (worker.in_maintenance() && now - worker.maintenance_since > usable_s) {
    return BlockReason::kMaintenance;
  }
  if (worker.local && worker.forwarder != ForwarderOf(id)) return BlockReason::kOtherForwarder;
  return std::nullopt;
}

std::optional<BlockReason> DispatchCheck::CheckRepeat(const LedgerAttempt& before,
                                                      const balancing::ClassSettings& cls,
                                                      const RegisteredWorker& next,
                                                      double now) const {
  if (!before.may_have_run || cls.idempotency == Idempotency::kIdempotent) return std::nullopt;
  if (cls.idempotency == Idempotency::kNotIdempotent) return BlockReason::kNotIdempotent;
  if (now - before.sent_at > cls.deduplication_window_s) return BlockReason::kDeduplicationWindow;
  if (!SharesKeys(cls.deduplication_scope, workers_->Find(before.worker), next)) {
    return BlockReason::kDeduplicationScope;
  }
  return std::nullopt;
}

bool DispatchCheck::SharesKeys(DeduplicationScope scope, const RegisteredWorker* first,
                               const RegisteredWorker& next) const {
  const bool same_zone = first != nullptr && first->endpoint.zone == next.endpoint.zone;
  const bool same_cell = same_zone && first->endpoint.cell == next.endpoint.cell;
  if (scope == DeduplicationScope::kZone) return same_zone;
  if (scope == DeduplicationScope::kCell) return same_cell;
  return true;
}

}  // namespace millethollow
