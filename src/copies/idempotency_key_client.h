// The claimant's side of the claim protocol (idempotency_messages.h): the member that received a
// client's request with an idempotency key.
//
// No I/O and no clock of its own: takes requests, messages and the time, and calls Hooks and the
// requests' callbacks. Times are seconds on a clock that never runs backwards and includes pauses
// of the machine.
#ifndef MILLETHOLLOW_COPIES_IDEMPOTENCY_KEY_CLIENT_H_
#define MILLETHOLLOW_COPIES_IDEMPOTENCY_KEY_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "copies/idempotency_messages.h"

namespace millethollow::copies {

// The claims of this process that are not yet released.
//
// Invariants: a message is sent again until it is answered; the callback of a claim is called at
// most once; an attempt is allowed only after the owner has committed its record, so that a request
// has an effect at most once within the key's window.
class IdempotencyKeyClient {
 public:
  // The result of a claim.
  struct Result {
    enum class Kind : std::uint8_t { kGranted, kAnswered, kRejected };
    Kind kind = Kind::kRejected;
    std::vector<AttemptRecord> attempts;  // kGranted: earlier ones that may have run
    std::vector<double> ages_s;           // the greatest age of each; infinite: not known
    std::string result;                   // kAnswered
  };
  using ClaimCallback = std::function<void(const Result&)>;
  using AttemptCallback = std::function<void(bool allowed)>;
  // What the client uses of its environment.
  struct Hooks {
    std::function<NodeId(LogId)> owner;  // by the view, under a current lease; 0: none
    std::function<void(NodeId, const IdempotencyMessage&)> send;
  };
  IdempotencyKeyClient(NodeId self, ProcessIncarnation process_incarnation, Hooks hooks)
      : self_(self), process_incarnation_(process_incarnation), hooks_(std::move(hooks)) {}

  // Claims the key. Calls `on_result` once, possibly before it returns, unless Release is called
  // first. Returns the number of the claim, or 0 if it is rejected.
  std::uint64_t Claim(double now, const std::string& key, double window_s, ClaimCallback on_result);
  // Records an attempt. It may be sent once `on_decision(true)` is called.
  void RequestAttempt(double now, std::uint64_t number, const std::string& worker,
                      bool local_worker, AttemptCallback on_decision);
  // The request has ended here, answered or not, or its client is gone. `ran_at`: the workers where
  // it may have run, if it was not answered.
  void Release(double now, std::uint64_t number, bool answered, std::string result,
               std::vector<std::string> ran_at);
  // Whether, as far as is known, another claim runs the request.
  bool IsPending(std::uint64_t number) const;
  // A reply of the owner.
  void OnMessage(const IdempotencyMessage& message);
  // Sends unanswered messages again and lets claims time out. To be called at NextTickAt().
  void Tick(double now);
  double NextTickAt() const;
  std::size_t size() const { return claims_.size(); }

 private:
  struct OpenClaim {
    // The last message to the owner, sent again until a reply to it arrives.
    IdempotencyMessage request;
    ClaimCallback on_result;
    AttemptCallback on_decision;
    bool awaiting_reply = true, pending = false, granted = false, released = false;
    std::uint64_t attempt = 0;
    double sent_at = 0, since = 0;
  };
  using Claims = std::map<std::uint64_t, OpenClaim>;

  void Send(double now, OpenClaim* claim);
  void OnClaimResult(Claims::iterator claim, const Result& result);
  static void OnAttemptDecision(OpenClaim* claim, std::uint64_t attempt, bool allowed);
  static double ResendAt(const OpenClaim& claim);

  NodeId self_;
  ProcessIncarnation process_incarnation_;
  Hooks hooks_;
  Claims claims_;  // by number
  std::uint64_t last_number_ = 0;
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_IDEMPOTENCY_KEY_CLIENT_H_
