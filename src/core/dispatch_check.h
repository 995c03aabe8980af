// Final check of an attempt before it is handed to a forwarder. The balancer decides where attempts
// go; this check ensures that a bug in it can't send to a worker that is out of service, or repeat
// a request that must not run twice.
#ifndef MILLETHOLLOW_CORE_DISPATCH_CHECK_H_
#define MILLETHOLLOW_CORE_DISPATCH_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include "core/request_ledger.h"
#include "core/worker_registry.h"
#include "millethollow/balancing/load_balancer.h"

namespace millethollow {

// The reason why an attempt must not be sent.
enum class BlockReason : std::uint8_t {
  kAnswered,             // the request has had its final answer
  kAttemptLimit,         // the request has used all of its attempts
  kUnlisted,             // no such worker is known
  kDraining,             // the worker has been draining for most of the grace period
  kMaintenance,          // the worker has been in maintenance for most of the grace period
  kOtherForwarder,       // the worker is connected to another forwarder
  kHedgingDisabled,      // another attempt is open, and hedged requests are disabled
  kNotIdempotent,        // an earlier attempt may have run, and the class is not idempotent
  kDeduplicationWindow,  // an earlier attempt is so old that its key may have expired
  kDeduplicationScope,   // the worker does not share keys with that of an earlier attempt
  kNoForwarder,          // the request's forwarder is disconnected
  kNotRecorded,          // the attempt of a durable job could not be recorded
};

// The reason as it appears in log lines: one token without spaces.
std::string_view BlockReasonText(BlockReason reason);

// Checks attempts against the settings, the request's earlier attempts and the state of workers.
// Not thread-safe.
class DispatchCheck {
 public:
  // Value of CheckAttempt's `attempt` for one that is not in the ledger entry yet.
  static constexpr std::size_t kNewAttempt = std::numeric_limits<std::size_t>::max();

  // `settings` and `workers` must outlive the check.
  DispatchCheck(const balancing::Settings* settings, const WorkerRegistry* workers)
      : settings_(settings), workers_(workers) {}

  // Returns nullopt if `attempt` (an index into the entry's attempts) may be sent to `worker` now,
  // otherwise the reason why not. `now`: seconds on the loop's clock.
  std::optional<BlockReason> CheckAttempt(const LedgerEntry& entry, RequestId id,
                                          const std::string& worker, double now,
                                          std::size_t attempt = kNewAttempt) const;
  // Until when the attempt, which CheckAttempt allows now, may reach the worker.
  DeliveryLimit LimitOf(const LedgerEntry& entry, const std::string& worker,
                        std::size_t attempt) const;
  // Returns nullopt if the request may be sent to `next_worker` after the attempt `previous`,
  // otherwise the reason why not.
  std::optional<BlockReason> CheckRepeat(const LedgerAttempt& previous,
                                         const balancing::ClassSettings& class_settings,
                                         const RegisteredWorker& next_worker, double now) const;

 private:
  // The time after which nothing is sent to the worker; infinite unless it drains.
  double LastSendTo(const RegisteredWorker& worker) const;
  // Checks drain, maintenance and connection of the worker.
  std::optional<BlockReason> CheckWorker(const RegisteredWorker& worker, RequestId id,
                                         double now) const;
  // Whether both workers are in the same scope, within which idempotency keys are shared.
  bool SharesKeys(balancing::DeduplicationScope scope, const RegisteredWorker* first_worker,
                  const RegisteredWorker& next_worker) const;

  const balancing::Settings* settings_;
  const WorkerRegistry* workers_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_DISPATCH_CHECK_H_
