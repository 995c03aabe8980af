// The record of an idempotency key in its replicated log, and the mapping of keys to logs. No I/O.
#ifndef MILLETHOLLOW_COPIES_IDEMPOTENCY_RECORD_H_
#define MILLETHOLLOW_COPIES_IDEMPOTENCY_RECORD_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "copies/durable_job_queue.h"

namespace millethollow::copies {

// Identifies the claim of one request: the member that received it, that member's process, and the
// number of the claim within the process.
struct ClaimId {
  NodeId node = 0;  // 0: no claim
  ProcessIncarnation process_incarnation = 0;
  std::uint64_t number = 0;
  auto operator<=>(const ClaimId&) const = default;
};

// The state of a key.
struct IdempotencyRecord {
  ClaimId claim;                        // the claim that may run the request now, if any
  std::vector<AttemptRecord> attempts;  // that may have run, oldest first
  double window_s = 0;  // how long the key is kept after the end of its request, in seconds
  bool answered = false;
  std::string result;  // of the answer
};

// The encoding of a record in its log.
std::string Encode(const IdempotencyRecord& record);
// Returns nothing if the bytes are damaged or have more than kMaxAttempts attempts.
std::optional<IdempotencyRecord> DecodeIdempotencyRecord(std::string_view bytes);

// The number of logs over which the keys are distributed.
constexpr LogId kKeyLogs = 8;
// The log of the key, which is the same at every member.
LogId LogOfKey(std::string_view key);
// The member that opens the log if the view does not have it, by rendezvous hashing over the
// members with a store. 0: no member has one.
NodeId PreferredOpener(LogId log, const View& view);

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_IDEMPOTENCY_RECORD_H_
