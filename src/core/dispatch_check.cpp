#include "core/dispatch_check.h"

#include <algorithm>

namespace millethollow {

using balancing::DeduplicationScope;
using balancing::Idempotency;

namespace {

// The part of the grace period in which attempts are still sent. One sent later could reach the
// worker after the period has ended.
constexpr double kUsableGraceShare = 0.9;

// Seconds after an attempt that may have run in which a keyed request may be repeated.
double UsableWindow(const balancing::ClassSettings& class_settings) {
  return class_settings.deduplication_window_s - kPauseAllowanceS;
}

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
  const std::size_t earlier_attempts = std::min(attempt, entry.attempts.size());
  if (earlier_attempts >= static_cast<std::size_t>(entry.max_attempts))
    return BlockReason::kAttemptLimit;
  const RegisteredWorker* next_worker = workers_->Find(worker);
  if (next_worker == nullptr) return BlockReason::kUnlisted;
  if (const auto reason = CheckWorker(*next_worker, id, now)) return reason;
  const balancing::ClassSettings& class_settings =
      settings_->classes[static_cast<std::size_t>(entry.class_index)];
  for (std::size_t index = 0; index < entry.attempts.size(); ++index) {
    const LedgerAttempt& other = entry.attempts[index];
    if (index == attempt) continue;
    if (other.open && !settings_->allow_hedging) return BlockReason::kHedgingDisabled;
    if (const auto reason = CheckRepeat(other, class_settings, *next_worker, now)) return reason;
  }
  return std::nullopt;
}

std::optional<BlockReason> DispatchCheck::CheckWorker(const RegisteredWorker& worker, RequestId id,
                                                      double now) const {
  if (now > LastSendTo(worker)) {
    return worker.draining() ? BlockReason::kDraining : BlockReason::kMaintenance;
  }
  if (worker.local && worker.forwarder != ForwarderOf(id)) return BlockReason::kOtherForwarder;
  return std::nullopt;
}

double DispatchCheck::LastSendTo(const RegisteredWorker& worker) const {
  const double usable_s = kUsableGraceShare * settings_->drain_grace_s;
  double last_send_at = DeliveryLimit::kUnlimited;
  if (worker.draining()) last_send_at = worker.drain_notified_at + usable_s;
  if (worker.in_maintenance()) {
    last_send_at = std::min(last_send_at, worker.maintenance_since + usable_s);
  }
  return last_send_at;
}

DeliveryLimit DispatchCheck::LimitOf(const LedgerEntry& entry, const std::string& worker,
                                     std::size_t attempt) const {
  DeliveryLimit limit;
  if (const RegisteredWorker* next_worker = workers_->Find(worker)) {
    limit.first_byte_by = LastSendTo(*next_worker);
  }
  const balancing::ClassSettings& class_settings =
      settings_->classes[static_cast<std::size_t>(entry.class_index)];
  if (class_settings.idempotency != Idempotency::kIdempotentWithKey) return limit;
  limit.window_s = UsableWindow(class_settings);
  for (std::size_t index = 0; index < entry.attempts.size(); ++index) {
    const LedgerAttempt& other = entry.attempts[index];
    if (index == attempt || !other.may_have_run) continue;
    limit.last_byte_by = std::min(limit.last_byte_by, other.sent_at + limit.window_s);
  }
  return limit;
}

std::optional<BlockReason> DispatchCheck::CheckRepeat(
    const LedgerAttempt& previous, const balancing::ClassSettings& class_settings,
    const RegisteredWorker& next_worker, double now) const {
  if (!previous.may_have_run || class_settings.idempotency == Idempotency::kIdempotent)
    return std::nullopt;
  if (class_settings.idempotency == Idempotency::kNotIdempotent) return BlockReason::kNotIdempotent;
  if (now - previous.sent_at > UsableWindow(class_settings))
    return BlockReason::kDeduplicationWindow;
  if (!SharesKeys(class_settings.deduplication_scope, workers_->Find(previous.worker),
                  next_worker)) {
    return BlockReason::kDeduplicationScope;
  }
  return std::nullopt;
}

bool DispatchCheck::SharesKeys(DeduplicationScope scope, const RegisteredWorker* first_worker,
                               const RegisteredWorker& next_worker) const {
  const bool same_zone =
      first_worker != nullptr && first_worker->endpoint.zone == next_worker.endpoint.zone;
  const bool same_cell = same_zone && first_worker->endpoint.cell == next_worker.endpoint.cell;
  if (scope == DeduplicationScope::kZone) return same_zone;
  if (scope == DeduplicationScope::kCell) return same_cell;
  return true;
}

}  // namespace millethollow
