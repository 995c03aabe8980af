// The claim protocol between the member that a client asked with an idempotency key and the owner
// of the key's log. A message may be lost, doubled, late or out of order: requests are sent again
// until they are answered.
#ifndef MILLETHOLLOW_COPIES_IDEMPOTENCY_MESSAGES_H_
#define MILLETHOLLOW_COPIES_IDEMPOTENCY_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "copies/idempotency_record.h"

namespace millethollow::copies {

// Of ReleaseRequest::ran_at: wherever the request was tried.
constexpr const char* kAnyWorker = "*";

// To the owner: may the request run?
struct ClaimRequest {
  double window_s = 0;
};
// To the owner: an attempt is about to go out.
struct AttemptRequest {
  std::uint64_t attempt = 0;  // rises with each attempt of the claim, from 1
  std::string worker;
  bool local_worker = false;
};
// To the owner: the request has ended at the member that claimed it.
struct ReleaseRequest {
  bool answered = false;
  std::string result;               // where answered
  std::vector<std::string> ran_at;  // else the workers where it may have run, or kAnyWorker
};

// To the claimer: run it.
struct ClaimGranted {
  std::vector<AttemptRecord> attempts;  // made before, which may have run
  std::vector<double> ages_s;           // of each, at most; infinite: not known
};
// To the claimer: another claim runs it; another message will follow.
struct ClaimPending {};
// To the claimer: not now, or not at this member.
struct ClaimRejected {};
// To the claimer: it was answered already.
struct ClaimAnswered {
  std::string result;
};
// To the claimer: the attempt may go out.
struct AttemptAllowed {
  std::uint64_t attempt = 0;
};
// To the claimer: the attempt may not go out.
struct AttemptRejected {
  std::uint64_t attempt = 0;
};
// To the claimer: the release is on the log's replicas.
struct ClaimReleased {};

struct IdempotencyMessage {
  LogId log = 0;
  std::string key;
  ClaimId claim;  // the claim that asks, or is answered
  std::variant<ClaimRequest, AttemptRequest, ReleaseRequest, ClaimGranted, ClaimPending,
               ClaimRejected, ClaimAnswered, AttemptAllowed, AttemptRejected, ClaimReleased>
      body;

  bool ToOwner() const {
    return std::holds_alternative<ClaimRequest>(body) ||
           std::holds_alternative<AttemptRequest>(body) ||
           std::holds_alternative<ReleaseRequest>(body);
  }
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_IDEMPOTENCY_MESSAGES_H_
