#include "net/forwarder.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"

namespace millethollow {
namespace {
constexpr double kBackstopS = 0.03;  // within the slack that the rules leave
}

RequestId Forwarder::Submit(ClientRequest held, ResponseHandler* client) {
  if (link_ == nullptr || !accepting_) return 0;
  const RequestId id = number_ << kForwarderShift | ++sequence_;
  held.request.id = id;
  Open& open = held_[id];
  open.held = std::move(held);
  open.client = client;
  // The planner answers at expiry. One across a link that hangs must not keep a client waiting.
  open.backstop = loop_->deadlines().At(open.held.request.expires_at + kBackstopS, [this, id] {
    const auto it = held_.find(id);
    if (it == held_.end()) return;
    it->second.backstop = Deadlines::kNone;
    if (it->second.answered) return;
    LogLine(Level::kWarn) << "the planner left a request unanswered";
    Abandon(id);
    if (link_ != nullptr) link_->OnRequestCancelled(id);
  });
  // The request may be answered within the call: the answer reaches the client only next turn's
  // end, so that a client always has the id first.
  loop_->Defer([this, id] {
    const auto it = held_.find(id);
    if (it == held_.end()) return;
    if (link_ == nullptr) return OnPlannerLost();
    const Request request = it->second.held.request;
    link_->OnRequest(request);
  });
  return id;
}

const ClientRequest* Forwarder::Find(RequestId id) const {
  const auto it = held_.find(id);
  return it == held_.end() ? nullptr : &it->second.held;
}

bool Forwarder::IsClassInUse(int cls) const {
  return std::any_of(held_.begin(), held_.end(),
                     [cls](const auto& h) { return h.second.held.request.cls == cls; });
}

void Forwarder::CancelRequest(RequestId id) {
  const auto it = held_.find(id);
  if (it == held_.end() || it->second.answered) return;
  it->second.answered = true;
  it->second.client = nullptr;
  loop_->deadlines().Drop(&it->second.backstop);
  const auto out = it->second.attempts;
  if (link_ != nullptr) link_->OnRequestCancelled(id);
  // Whether or not the planner may call attempts off: none begins for a client that has left.
  for (const auto& [attempt, driver] : out) driver->CancelUnsent(id, attempt);
  Forget(id);
}

void Forwarder::Forget(RequestId id) {
  const auto it = held_.find(id);
  if (it != held_.end() && it->second.answered && it->second.attempts.empty()) held_.erase(it);
}

WorkerDriver* Forwarder::DriverOf(const std::string& worker) const {
  for (WorkerDriver* driver : drivers_) {
    if (driver->Owns(worker)) return driver;
  }
  return nullptr;
}

void Forwarder::Send(RequestId id, int attempt, const std::string& worker) {
  const auto it = held_.find(id);
  WorkerDriver* driver = DriverOf(worker);
  if (it == held_.end() || it->second.answered || driver == nullptr) {
    if (link_ != nullptr) link_->OnAttemptEnded(id, attempt, {.status = AttemptStatus::kNotSent});
    return;
  }
  it->second.attempts[attempt] = driver;
  driver->Send(it->second.held, attempt, worker);
}

void Forwarder::Cancel(RequestId id, int attempt) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  const auto out = it->second.attempts.find(attempt);
  if (out == it->second.attempts.end()) return;
  WorkerDriver* driver = out->second;
  it->second.attempts.erase(out);
  it->second.may_have_run = true;
  driver->Cancel(id, attempt);
  Forget(id);
}

void Forwarder::Probe(const std::string& worker) {
  if (WorkerDriver* driver = DriverOf(worker)) return driver->Probe(worker);
  OnProbeAnswered(worker, {.status = AttemptStatus::kConnectFailed});
}

void Forwarder::Answer(RequestId id, const FinalAnswer& answer) {
  const auto it = held_.find(id);
  if (it == held_.end() || it->second.answered) return;
  Open& open = it->second;
  open.answered = true;
  loop_->deadlines().Drop(&open.backstop);
  ResponseHandler* client = std::exchange(open.client, nullptr);
  if (client != nullptr) client->Answer(open.held, answer, open.results[answer.attempt]);
  open.results.clear();
  Forget(id);
}

void Forwarder::OnAttemptStarted(RequestId id, int attempt) {
  const auto it = held_.find(id);
  if (it == held_.end() || !it->second.attempts.contains(attempt)) return;
  it->second.may_have_run = true;
  if (it->second.client != nullptr) it->second.client->OnAttemptStarted(id);
  if (link_ != nullptr) link_->OnAttemptStarted(id, attempt);
}

void Forwarder::OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome,
                               std::string result) {
  const auto it = held_.find(id);
  if (it == held_.end() || it->second.attempts.erase(attempt) == 0) return;
  if (!NeverRan(outcome.status)) it->second.may_have_run = true;
  if (outcome.status == AttemptStatus::kSucceeded && !it->second.answered) {
    it->second.results[attempt] = std::move(result);
  }
  if (link_ != nullptr) link_->OnAttemptEnded(id, attempt, outcome);
  Forget(id);
}

void Forwarder::OnProbeAnswered(const std::string& worker, const Outcome& outcome) {
  if (link_ != nullptr) link_->OnProbeAnswered(worker, outcome);
}

void Forwarder::OnPlannerLost() {
  link_ = nullptr;
  std::vector<RequestId> ids;
  for (const auto& [id, open] : held_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const RequestId id : ids) Abandon(id);
}

// Without the planner's word: what was never sent is refused, what may have run fails.
void Forwarder::Abandon(RequestId id) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  const bool ran = it->second.may_have_run || !it->second.attempts.empty();
  for (const auto& [attempt, driver] : std::exchange(it->second.attempts, {})) {
    driver->Cancel(id, attempt);
  }
  using Kind = FinalAnswer::Kind;
  Answer(id, {.kind = ran ? Kind::kFailed : Kind::kRejected, .retry_after_s = ran ? 0.0 : 0.5});
  Forget(id);
}

}  // namespace millethollow
