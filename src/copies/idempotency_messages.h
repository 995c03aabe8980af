// The claim protocol between the member that received a request with an idempotency key (the
// claimant) and the owner of the key's log. Messages may be lost, duplicated, delayed or reordered:
// requests are sent again until they are answered.
#ifndef MILLETHOLLOW_COPIES_IDEMPOTENCY_MESSAGES_H_
#define MILLETHOLLOW_COPIES_IDEMPOTENCY_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "copies/idempotency_record.h"

namespace millethollow::copies {

// In ReleaseRequest::ran_at: all workers of recorded attempts.
constexpr const char* kAnyWorker = "*";

// To the owner: asks whether the request may run. `window_s`: how long the key is kept, in seconds.
struct ClaimRequest {
  double window_s = 0;
};
// To the owner: an attempt is about to be sent.
struct AttemptRequest {
  std::uint64_t attempt = 0;  // counts the attempts of the claim, from 1
  std::string worker;
  bool local_worker = false;
};
// To the owner: the request has ended at the claimant.
struct ReleaseRequest {
  bool answered = false;
  std::string result;               // if answered
  std::vector<std::string> ran_at;  // if not: the workers where it may have run, or kAnyWorker
};

// To the claimant: it may run the request.
struct ClaimGranted {
  std::vector<AttemptRecord> attempts;  // earlier ones that may have run
  std::vector<double> ages_s;           // the greatest age of each; infinite: not known
};
// To the claimant: another claim runs the request; a further message follows.
struct ClaimPending {};
// To the claimant: the request may not run now, or this member is not the owner.
struct ClaimRejected {};
// To the claimant: the request was answered already.
struct ClaimAnswered {
  std::string result;
};
// To the claimant: the attempt may be sent.
struct AttemptAllowed {
  std::uint64_t attempt = 0;
};
// To the claimant: the attempt may not be sent.
struct AttemptRejected {
  std::uint64_t attempt = 0;
};
// To the claimant: the release is committed.
struct ClaimReleased {};

// One message of the protocol.
struct IdempotencyMessage {
  LogId log = 0;
  std::string key;
  ClaimId claim;  // the sender or receiver
  std::variant<ClaimRequest, AttemptRequest, ReleaseRequest, ClaimGranted, ClaimPending,
               ClaimRejected, ClaimAnswered, AttemptAllowed, AttemptRejected, ClaimReleased>
      body;

  // Whether it is sent to the owner of the log rather than to the claimant.
  bool ToOwner() const {
    return std::holds_alternative<ClaimRequest>(body) ||
           std::holds_alternative<AttemptRequest>(body) ||
           std::holds_alternative<ReleaseRequest>(body);
  }
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_IDEMPOTENCY_MESSAGES_H_
