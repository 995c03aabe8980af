// The claimer's side of the claim protocol (idempotency_messages.h): of the member that a client
// asked with an idempotency key.
//
// Decides only: requests, messages and time in; calls of Hooks and of the requests' callbacks out.
// Times are seconds on a clock that never runs back and counts pauses.
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

class IdempotencyKeyClient {
 public:
  // What a claim came to.
  struct Result {
    enum class Kind : std::uint8_t { kGranted, kAnswered, kRejected };
    Kind kind = Kind::kRejected;
    std::vector<AttemptRecord> attempts;  // kGranted: made before, which may have run
    std::vector<double> ages_s;           // of each, at most; infinite: not known
    std::string result;                   // kAnswered
  };
  using ClaimCallback = std::function<void(const Result&)>;
  using AttemptCallback = std::function<void(bool allowed)>;
  struct Hooks {
    std::function<NodeId(LogId)> owner;  // as the view has it, with a lease held now; 0: none
    std::function<void(NodeId, const IdempotencyMessage&)> send;
  };
  IdempotencyKeyClient(NodeId self, ProcessIncarnation process_incarnation, Hooks hooks)
      : self_(self), process_incarnation_(process_incarnation), hooks_(std::move(hooks)) {}

  // Calls `on_result` once, maybe at once, unless Release comes first. Returns the claim's number;
  // 0: rejected.
  std::uint64_t Claim(double now, const std::string& key, double window_s, ClaimCallback on_result);
  // An attempt may go out once `on_decision(true)` is called.
  void RequestAttempt(double now, std::uint64_t number, const std::string& worker,
                      bool local_worker, AttemptCallback on_decision);
  // The request has ended here, answered or not; or nobody waits for it any more.
  void Release(double now, std::uint64_t number, bool answered, std::string result,
               std::vector<std::string> ran_at);
  // Does another claim run the request, as far as is known?
  bool IsPending(std::uint64_t number) const;
  void OnMessage(const IdempotencyMessage& message);
  void Tick(double now);
  double NextTickAt() const;
  std::size_t size() const { return claims_.size(); }

 private:
  struct OpenClaim {
    IdempotencyMessage request;  // sent again until it is answered
    ClaimCallback on_result;
    AttemptCallback on_decision;
    bool unanswered = true, pending = false, granted = false, released = false;
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
