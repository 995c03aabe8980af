// The last check of an attempt before it goes to a forwarder. The balancer decides where attempts
// go; this keeps a fault in it from sending to a worker that is out of service, or from running a
// request twice where it must not be.
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

// Why an attempt may not be sent.
enum class BlockReason : std::uint8_t {
  kAnswered,             // the request has its final answer
  kAttemptLimit,         // it has used all of its attempts
  kUnlisted,             // no such worker is known
  kDraining,             // the worker has been draining for most of the grace period
  kMaintenance,          // it has been out of service for most of the grace period
  kOtherForwarder,       // the worker is connected to another forwarder
  kHedgingDisabled,      // another attempt is open, and there may be one at a time
  kNotIdempotent,        // an earlier attempt may have run, and none may run twice
  kDeduplicationWindow,  // the earlier attempt is so old that its key may be forgotten
  kDeduplicationScope,   // the worker does not share keys with that of the earlier attempt
  kNoForwarder,          // the request's forwarder is gone
  kNotRecorded,          // the attempt of a durable job could not be recorded
};

// For log lines: a word without blanks.
std::string_view BlockReasonText(BlockReason reason);

class DispatchCheck {
 public:
  // For CheckAttempt: the attempt is not in the entry yet.
  static constexpr std::size_t kNewAttempt = std::numeric_limits<std::size_t>::max();

  // Both must outlive this.
  DispatchCheck(const balancing::Settings* settings, const WorkerRegistry* workers)
      : settings_(settings), workers_(workers) {}

  // None: `attempt` of the request may go to `worker` now. `now` is on the loop's clock.
  std::optional<BlockReason> CheckAttempt(const LedgerEntry& entry, RequestId id,
                                          const std::string& worker, double now,
                                          std::size_t attempt = kNewAttempt) const;
  // None: after the attempt `before` another may go to `next`.
  std::optional<BlockReason> CheckRepeat(const LedgerAttempt& before,
                                         const balancing::ClassSettings& cls,
                                         const RegisteredWorker& next, double now) const;

 private:
  std::optional<BlockReason> CheckWorker(const RegisteredWorker& worker, RequestId id,
                                         double now) const;
  bool SharesKeys(balancing::DeduplicationScope scope, const RegisteredWorker* first,
                  const RegisteredWorker& next) const;

  const balancing::Settings* settings_;
  const WorkerRegistry* workers_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_DISPATCH_CHECK_H_
