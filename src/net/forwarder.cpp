#include "net/forwarder.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"

namespace millethollow {
namespace {
// How long after a request's expiry the planner's answer is waited for, in seconds. Shorter than
// the tolerance that clients are promised for answers at expiry.
constexpr double kExpiryGraceS = 0.03;
}  // namespace

RequestId Forwarder::Submit(ClientRequest client_request, ResponseHandler* client) {
  if (link_ == nullptr || !accepting_) return 0;
  const RequestId id = forwarder_number_ << kForwarderShift | ++last_sequence_;
  client_request.request.id = id;
  PendingRequest& pending = requests_[id];
  pending.client_request = std::move(client_request);
  pending.client = client;
  // The planner answers at expiry. If its link hangs, the client must not be kept waiting.
  pending.expiry_timer =
      loop_->deadlines().At(pending.client_request.request.expires_at + kExpiryGraceS, [this, id] {
        const auto it = requests_.find(id);
        if (it == requests_.end()) return;
        it->second.expiry_timer = Deadlines::kNone;
        if (it->second.answered) return;
        LogLine(Level::kWarn) << "no answer from the planner for an expired request";
        Abandon(id);
        if (link_ != nullptr) link_->OnRequestCancelled(id);
      });
  // The planner may answer within OnRequest. Deferring the call ensures that the client side has
  // the id before the answer arrives.
  loop_->Defer([this, id] {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    if (link_ == nullptr) return OnPlannerLost();
    const Request request = it->second.client_request.request;
    link_->OnRequest(request);
  });
  return id;
}

const ClientRequest* Forwarder::Find(RequestId id) const {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second.client_request;
}

bool Forwarder::IsClassInUse(int class_index) const {
  return std::any_of(requests_.begin(), requests_.end(), [class_index](const auto& entry) {
    return entry.second.client_request.request.class_index == class_index;
  });
}

void Forwarder::CancelRequest(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  it->second.answered = true;
  it->second.client = nullptr;
  loop_->deadlines().Drop(&it->second.expiry_timer);
  const auto attempts = it->second.attempts;
  if (link_ != nullptr) link_->OnRequestCancelled(id);
  // No attempt may start for a client that is gone, whether or not the planner may cancel attempts
  // that have started.
  for (const auto& [attempt, driver] : attempts) driver->CancelUnsent(id, attempt);
  EraseIfFinished(id);
}

void Forwarder::EraseIfFinished(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.answered || it->second.answering) return;
  if (it->second.attempts.empty()) requests_.erase(it);
}

WorkerDriver* Forwarder::DriverOf(const std::string& worker) const {
  for (WorkerDriver* driver : drivers_) {
    if (driver->Owns(worker)) return driver;
  }
  return nullptr;
}

void Forwarder::Send(RequestId id, int attempt, const std::string& worker,
                     const DeliveryLimit& limit) {
  const auto it = requests_.find(id);
  WorkerDriver* driver = DriverOf(worker);
  if (it == requests_.end() || it->second.answered || driver == nullptr) {
    if (link_ != nullptr) link_->OnAttemptEnded(id, attempt, {.status = AttemptStatus::kNotSent});
    return;
  }
  if (!LimitOpenAttempts(id, it->second, limit.window_s)) {
    link_->OnAttemptEnded(id, attempt, {.status = AttemptStatus::kNotSent});
    return;
  }
  it->second.attempts[attempt] = driver;
  driver->Send(it->second.client_request, attempt, worker, limit);
}

bool Forwarder::LimitOpenAttempts(RequestId id, const PendingRequest& pending,
                                  double window_s) const {
  if (window_s >= DeliveryLimit::kUnlimited) return true;
  bool limited = true;
  for (const auto& [attempt, driver] : pending.attempts) {
    limited = driver->LimitDelivery(id, attempt, loop_->Now() + window_s) && limited;
  }
  return limited;
}

void Forwarder::Cancel(RequestId id, int attempt) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  const auto found = it->second.attempts.find(attempt);
  if (found == it->second.attempts.end()) return;
  WorkerDriver* driver = found->second;
  it->second.attempts.erase(found);
  it->second.may_have_run = true;
  driver->Cancel(id, attempt);
  EraseIfFinished(id);
}

void Forwarder::Probe(const std::string& worker) {
  if (WorkerDriver* driver = DriverOf(worker)) return driver->Probe(worker);
  OnProbeAnswered(worker, {.status = AttemptStatus::kConnectFailed});
}

void Forwarder::Answer(RequestId id, const FinalAnswer& answer) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  PendingRequest& pending = it->second;
  pending.answered = true;
  loop_->deadlines().Drop(&pending.expiry_timer);
  ResponseHandler* client = std::exchange(pending.client, nullptr);
  pending.answering = true;
  if (client != nullptr)
    client->Answer(pending.client_request, answer, pending.results[answer.attempt]);
  pending.answering = false;
  pending.results.clear();
  EraseIfFinished(id);
}

void Forwarder::OnAttemptStarted(RequestId id, int attempt) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.attempts.contains(attempt)) return;
  it->second.may_have_run = true;
  if (it->second.client != nullptr) it->second.client->OnAttemptStarted(id);
  if (link_ != nullptr) link_->OnAttemptStarted(id, attempt);
}

void Forwarder::OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome,
                               std::string result) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.attempts.erase(attempt) == 0) return;
  if (!NeverRan(outcome.status)) it->second.may_have_run = true;
  if (outcome.status == AttemptStatus::kSucceeded && !it->second.answered) {
    it->second.results[attempt] = std::move(result);
  }
  if (link_ != nullptr) link_->OnAttemptEnded(id, attempt, outcome);
  EraseIfFinished(id);
}

void Forwarder::OnProbeAnswered(const std::string& worker, const Outcome& outcome) {
  if (link_ != nullptr) link_->OnProbeAnswered(worker, outcome);
}

void Forwarder::OnPlannerLost() {
  link_ = nullptr;
  std::vector<RequestId> ids;
  for (const auto& [id, pending] : requests_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const RequestId id : ids) Abandon(id);
}

void Forwarder::Abandon(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  const bool ran = it->second.may_have_run || !it->second.attempts.empty();
  for (const auto& [attempt, driver] : std::exchange(it->second.attempts, {})) {
    driver->Cancel(id, attempt);
  }
  using Kind = FinalAnswer::Kind;
  Answer(id, {.kind = ran ? Kind::kFailed : Kind::kRejected, .retry_after_s = ran ? 0.0 : 0.5});
  EraseIfFinished(id);
}

}  // namespace millethollow
