// The entry that a log of idempotency keys holds for a key, and which log a key belongs to. No I/O.
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

// One request with a key: the member that a client asked, its process, and the number of the claim
// within that process.
struct ClaimId {
  NodeId node = 0;  // 0: nobody
  ProcessIncarnation process_incarnation = 0;
  std::uint64_t number = 0;
  auto operator<=>(const ClaimId&) const = default;
};

struct IdempotencyRecord {
  ClaimId claim;                        // whose request may run now; nobody's: none
  std::vector<AttemptRecord> attempts;  // that may have run, oldest first
  double window_s = 0;                  // how long the key is kept after its request ended
  bool answered = false;
  std::string result;  // of the answer
};

// The bytes of a record in a log.
std::string Encode(const IdempotencyRecord& record);
// None where the bytes are damaged or name more than kMaxAttempts attempts.
std::optional<IdempotencyRecord> DecodeIdempotencyRecord(std::string_view bytes);

// How many logs the keys are spread over.
constexpr LogId kKeyLogs = 8;
// The log that holds the key: the same at every member.
LogId LogOfKey(std::string_view key);
// The member that opens the log where the view has none: by rendezvous hashing over the members
// with a store. 0: no member has one.
NodeId PreferredOpener(LogId log, const View& view);

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_IDEMPOTENCY_RECORD_H_
