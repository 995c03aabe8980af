#include "copies/idempotency_key_client.h"

#include <algorithm>
#include <limits>

namespace millethollow::copies {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kResendIntervalS = 0.25;
constexpr double kMaxTransitS = 3.0;  // the greatest age of a message on arrival
constexpr double kClaimTimeoutS = 2.0;
constexpr double kReleaseBackoffFraction = 0.05;  // of a release's age, until it is sent again

}  // namespace

std::uint64_t IdempotencyKeyClient::Claim(double now, const std::string& key, double window_s,
                                          ClaimCallback on_result) {
  const LogId log = LogOfKey(key);
  if (hooks_.owner(log) == 0) {
    on_result({});
    return 0;
  }
  const std::uint64_t number = ++last_number_;
  OpenClaim& claim = claims_[number];
  claim.on_result = std::move(on_result);
  claim.request = {log, key, {self_, process_incarnation_, number}, ClaimRequest{window_s}};
  claim.since = now;
  Send(now, &claim);
  return number;
}

void IdempotencyKeyClient::Send(double now, OpenClaim* claim) {
  claim->sent_at = now;
  const NodeId owner = hooks_.owner(claim->request.log);
  if (owner != 0) hooks_.send(owner, claim->request);
}

bool IdempotencyKeyClient::IsPending(std::uint64_t number) const {
  const auto it = claims_.find(number);
  return it != claims_.end() && it->second.pending;
}

void IdempotencyKeyClient::RequestAttempt(double now, std::uint64_t number,
                                          const std::string& worker, bool local_worker,
                                          AttemptCallback on_decision) {
  const auto it = claims_.find(number);
  if (it == claims_.end() || it->second.awaiting_reply || it->second.released) {
    return on_decision(false);
  }
  OpenClaim& claim = it->second;
  claim.awaiting_reply = true;
  claim.on_decision = std::move(on_decision);
  claim.attempt += 1;
  claim.request.body = AttemptRequest{claim.attempt, worker, local_worker};
  Send(now, &claim);
}

void IdempotencyKeyClient::Release(double now, std::uint64_t number, bool answered,
                                   std::string result, std::vector<std::string> ran_at) {
  const auto it = claims_.find(number);
  if (it == claims_.end() || it->second.released) return;
  OpenClaim& claim = it->second;
  claim.awaiting_reply = claim.released = true;
  claim.on_result = nullptr;
  claim.on_decision = nullptr;
  claim.since = now;
  // A claim that was never granted does not know the attempts made before it.
  if (!claim.granted) ran_at = {kAnyWorker};
  claim.request.body = ReleaseRequest{answered, std::move(result), std::move(ran_at)};
  Send(now, &claim);
}

void IdempotencyKeyClient::OnMessage(const IdempotencyMessage& message) {
  const ClaimId& id = message.claim;
  if (id.node != self_ || id.process_incarnation != process_incarnation_) return;
  const auto it = claims_.find(id.number);
  if (it == claims_.end() || it->second.request.key != message.key) return;
  OpenClaim& claim = it->second;
  if (const auto* grant = std::get_if<ClaimGranted>(&message.body)) {
    Result result;
    result.kind = Result::Kind::kGranted;
    result.attempts = grant->attempts;
    for (const double age_s : grant->ages_s) result.ages_s.push_back(age_s + kMaxTransitS);
    result.ages_s.resize(result.attempts.size(), kInfinity);
    OnClaimResult(it, result);
  } else if (const auto* answer = std::get_if<ClaimAnswered>(&message.body)) {
    Result result;
    result.kind = Result::Kind::kAnswered;
    result.result = answer->result;
    OnClaimResult(it, result);
  } else if (std::holds_alternative<ClaimRejected>(message.body)) {
    OnClaimResult(it, {});
  } else if (std::holds_alternative<ClaimPending>(message.body)) {
    const bool claiming = std::holds_alternative<ClaimRequest>(claim.request.body);
    claim.pending |= claim.awaiting_reply && claiming;
  } else if (const auto* allowed = std::get_if<AttemptAllowed>(&message.body)) {
    OnAttemptDecision(&claim, allowed->attempt, true);
  } else if (const auto* rejected = std::get_if<AttemptRejected>(&message.body)) {
    OnAttemptDecision(&claim, rejected->attempt, false);
  } else if (std::holds_alternative<ClaimReleased>(message.body) && claim.released) {
    claims_.erase(it);
  }
}

void IdempotencyKeyClient::OnClaimResult(Claims::iterator it, const Result& result) {
  OpenClaim& claim = it->second;
  if (!claim.awaiting_reply || !std::holds_alternative<ClaimRequest>(claim.request.body)) return;
  const ClaimCallback on_result = std::move(claim.on_result);
  claim.awaiting_reply = false;
  claim.granted = result.kind == Result::Kind::kGranted;
  if (!claim.granted) claims_.erase(it);
  on_result(result);
}

void IdempotencyKeyClient::OnAttemptDecision(OpenClaim* claim, std::uint64_t attempt,
                                             bool allowed) {
  const bool asked = std::holds_alternative<AttemptRequest>(claim->request.body);
  if (!claim->awaiting_reply || !asked || attempt != claim->attempt) return;
  claim->awaiting_reply = false;
  const AttemptCallback on_decision = std::move(claim->on_decision);
  on_decision(allowed);
}

void IdempotencyKeyClient::Tick(double now) {
  std::vector<std::uint64_t> timed_out;
  for (auto& [number, claim] : claims_) {
    if (!claim.awaiting_reply || now < ResendAt(claim)) continue;
    const bool claiming = std::holds_alternative<ClaimRequest>(claim.request.body);
    if (claiming && !claim.pending && now - claim.since > kClaimTimeoutS) {
      timed_out.push_back(number);
    } else {
      Send(now, &claim);
    }
  }
  for (const std::uint64_t number : timed_out) {
    const ClaimCallback on_result = std::move(claims_[number].on_result);
    Release(now, number, false, "", {});
    on_result({});
  }
}

double IdempotencyKeyClient::ResendAt(const OpenClaim& claim) {
  const double release_age_s = claim.released ? claim.sent_at - claim.since : 0;
  return claim.sent_at + std::max(kResendIntervalS, kReleaseBackoffFraction * release_age_s);
}

double IdempotencyKeyClient::NextTickAt() const {
  double at = kInfinity;
  for (const auto& [number, claim] : claims_) {
    if (claim.awaiting_reply) at = std::min(at, ResendAt(claim));
  }
  return at;
}

}  // namespace millethollow::copies
