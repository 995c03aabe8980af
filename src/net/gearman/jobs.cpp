// The Gearman front's jobs: what clients hand in, what is promised, and what they are answered.
#include <algorithm>
#include <cstdio>

#include "logging/log.h"
#include "net/gearman/peer.h"

namespace millethollow::gearman {
namespace {

constexpr std::size_t kMaxHeldBytes = 24 * 1024 * 1024;  // of all jobs' bodies
constexpr double kNotMappedS = 5.0;  // a promised job that this node can't run is looked at again
constexpr double kSameRunsS = 0.5;   // and one of whose unique id another runs

int PriorityOf(Type type) {
  return type == Type::kSubmitJobHigh || type == Type::kSubmitJobHighBg ? 0
         : type == Type::kSubmitJobLow || type == Type::kSubmitJobLowBg ? 2
                                                                        : 1;
}

}  // namespace

bool Front::Keyed(int cls) const {
  return config_.settings.classes[static_cast<std::size_t>(cls)].idempotency !=
         balancing::Idempotency::kIdempotent;
}

std::shared_ptr<Job> Front::FindHandle(std::string_view handle) const {
  const auto it = handles_.find(handle);
  return it == handles_.end() ? nullptr : it->second;
}

std::shared_ptr<Job> Front::FindRequest(RequestId id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second;
}

void Front::Submit(Peer* peer, Type type, std::string_view function, std::string_view unique,
                   std::string_view body) {
  const auto mapped = config_.gearman_functions.find(std::string(function));
  const auto error = [&](std::string_view code, std::string_view text) {
    counters_->bad_input += 1;
    peer->Send(Response(Type::kError, {code, text}));
  };
  if (mapped == config_.gearman_functions.end()) {
    return error("unknown_function", "The configuration maps no such function");
  }
  if (body.size() > kMaxBodyBytes) return error("job_too_large", "A job holds 64 KiB at most");
  if (body_bytes_ + body.size() > kMaxHeldBytes) return error("queue_full", "Try again later");
  const bool background =
      type == Type::kSubmitJobBg || type == Type::kSubmitJobHighBg || type == Type::kSubmitJobLowBg;
  // '-' asks that the work itself be the key.
  const Unique key{function, unique == "-" ? body : unique};
  if (!key.second.empty()) {
    // A repeat of what is under way, or of a charge just made, is the same job.
    auto same = uniques_.find(key);
    if (same == uniques_.end() && !background && promises_ != nullptr) {
      // It is promised and waits: whoever asks for its result has it run now, and joins it.
      const std::string promised = promises_->Find(key.first, key.second);
      if (!promised.empty()) promises_->RunNow(promised);
      same = uniques_.find(key);
    }
    // What runs for a client alone is no promise: that is asked for besides.
    const bool joins = same != uniques_.end() && (!background || promises_ == nullptr);
    if (joins) {
      const std::shared_ptr<Job> job = same->second;
      if (!background) job->waiting.push_back(peer);
      return peer->Send(Response(Type::kJobCreated, {job->handle}));
    }
    MakeRoom();
    const auto ended = finished_.find(key);
    if (ended != finished_.end()) {
      const Finished& f = ended->second;
      peer->Send(Response(Type::kJobCreated, {f.handle}));
      if (background) return;
      for (const auto& [kind, part] : f.parts) peer->Send(Response(kind, {f.handle, part}));
      return peer->Send(Response(Type::kWorkComplete, {f.handle, f.result}));
    }
  }
  if (background && promises_ != nullptr) return SubmitPromised(peer, type, key, body);
  auto job = std::make_shared<Job>();
  job->handle = "H:" + config_.name + ":" + std::to_string(++sequence_);
  job->function = function;
  job->unique = key.second;
  job->background = background;
  job->priority = PriorityOf(type);
  if (!background) job->waiting.push_back(peer);
  job->request = stopping_ && !listener_.open()
                     ? 0
                     : forwarder_->Submit(Prepare(*job, mapped->second, body), this);
  if (job->request == 0) {
    peer->Send(Response(Type::kJobCreated, {job->handle}));
    if (background) return;
    if (peer->exceptions()) {
      peer->Send(Response(Type::kWorkException, {job->handle, "refused: not taking jobs"}));
    }
    return peer->Send(Response(Type::kWorkFail, {job->handle}));
  }
  Add(job, body.size());
  // Only now: a peer that takes no more bytes is closed here, and must find its job to leave it.
  peer->Send(Response(Type::kJobCreated, {job->handle}));
}

void Front::Add(const std::shared_ptr<Job>& job, std::size_t bytes) {
  body_bytes_ += bytes;
  jobs_[job->request] = job;
  handles_[job->handle] = job;
  if (!job->unique.empty()) uniques_[{job->function, job->unique}] = job;
}

// What the planner and the worker are told of a job.
ClientRequest Front::Prepare(const Job& job, const GearmanFunction& mapped,
                             std::string_view body) const {
  const auto [cls, tenant] = mapped;
  ClientRequest held;
  held.request.cls = cls;
  held.request.tenant = tenant;
  held.request.wire_id = job.handle;
  held.request.body = body;
  held.request.expires_at =
      forwarder_->loop()->Now() +
      config_.settings.classes[static_cast<std::size_t>(cls)].client_timeout_s;
  // An HTTP worker may get it too: its key must be a plain word there.
  char hashed[40];
  std::snprintf(hashed, sizeof hashed, "%016zx%016zx", std::hash<std::string>()(job.unique),
                std::hash<std::string>()(job.function + '\n' + job.unique));
  if (!job.unique.empty()) held.request.key = hashed;
  if (job.unique.empty() && Keyed(cls)) held.request.key = job.handle;
  held.target = config_.gearman_path;
  held.forward_headers =
      "Request-Class: " + config_.classes[static_cast<std::size_t>(cls)] + "\r\n";
  if (!config_.tenants.empty()) {
    held.forward_headers += "Tenant: " + config_.tenants[static_cast<std::size_t>(tenant)] + "\r\n";
  }
  return held;
}

// ---- background jobs that are promised ----

// The client is told only once whoever keeps promises has it where it must be.
void Front::SubmitPromised(Peer* peer, Type type, const Unique& key, std::string_view body) {
  const GearmanFunction& mapped = config_.gearman_functions.find(key.first)->second;
  DurableJob job;
  job.function = key.first;
  job.unique = key.second;
  job.cls = config_.classes[static_cast<std::size_t>(mapped.cls)];
  if (!config_.tenants.empty()) {
    job.tenant = config_.tenants[static_cast<std::size_t>(mapped.tenant)];
  }
  job.body = body;
  job.priority = PriorityOf(type);
  const int cell = peer->cell();  // no other connection's
  promises_->Accept(
      std::move(job), [this, peer, cell](const std::string& handle, std::string_view refusal,
                                         double retry_after_s) {
        const auto there = peers_.find(peer);
        if (there == peers_.end() || peer->cell() != cell || peer->closed()) return;
        if (refusal.empty()) return peer->Send(Response(Type::kJobCreated, {handle}));
        char text[96];
        std::snprintf(text, sizeof text, "%.*s: try again after %.1f s",
                      static_cast<int>(refusal.size()), refusal.data(), retry_after_s);
        peer->Send(Response(Type::kError, {"not_promised", text}));
      });
}

void Front::Run(const DurableJob& promised) {
  const auto ended = [&](const FinalAnswer& answer) {
    forwarder_->loop()->Defer([this, handle = promised.handle, answer] {
      if (promises_ != nullptr) promises_->Complete(handle, answer);
    });
  };
  const auto mapped = config_.gearman_functions.find(promised.function);
  const Unique key{promised.function, promised.unique};
  using Kind = FinalAnswer::Kind;
  if (mapped == config_.gearman_functions.end()) {  // not of this node: it waits for one of its own
    return ended({.kind = Kind::kRejected, .retry_after_s = kNotMappedS});
  }
  if (!key.second.empty()) {
    MakeRoom();
    if (finished_.contains(key)) return ended({.kind = Kind::kCompleted});
    if (uniques_.contains(key))
      return ended({.kind = Kind::kRejected, .retry_after_s = kSameRunsS});
  }
  auto job = std::make_shared<Job>();
  job->handle = job->promise = promised.handle;
  job->function = promised.function;
  job->unique = promised.unique;
  job->background = true;
  job->priority = promised.priority;
  ClientRequest held = Prepare(*job, mapped->second, promised.body);
  held.request.wire_id = promised.wire_id;
  held.request.durable_job = promised.handle;
  held.request.prior_attempts = promised.prior_attempts;
  job->request = forwarder_->Submit(std::move(held), this);
  if (job->request == 0) return ended({.kind = Kind::kRejected, .retry_after_s = kNotMappedS});
  Add(job, promised.body.size());
}

void Front::Abort(const std::string& handle) {
  const auto job = FindHandle(handle);
  if (job == nullptr || job->promise.empty()) return;
  for (Peer* peer : std::vector<Peer*>(job->waiting)) {
    peer->Send(Response(Type::kWorkFail, {job->handle}));
  }
  const RequestId id = job->request;
  Forget(job);
  forwarder_->CancelRequest(id);
}

// The client has gone. A job that nobody waits for any more is called off, unless it is a charge
// that a worker has already begun: no word stops a Gearman worker, so the charge will be made, and
// the client that comes back with the same unique id must find it rather than start another.
void Front::Detach(Peer* peer) {
  std::vector<std::shared_ptr<Job>> alone;
  for (const auto& [id, job] : jobs_) {
    if (std::erase(job->waiting, peer) > 0 && job->waiting.empty() && !job->background) {
      alone.push_back(job);
    }
  }
  for (const auto& job : alone) {
    const ClientRequest* held = forwarder_->Find(job->request);
    if (held != nullptr && job->running && !job->unique.empty() && Keyed(held->request.cls)) {
      job->background = true;
      continue;
    }
    const RequestId id = job->request;
    Forget(job);
    forwarder_->CancelRequest(id);
  }
}

void Front::Forget(const std::shared_ptr<Job>& job) {
  if (const ClientRequest* held = forwarder_->Find(job->request)) {
    body_bytes_ -= std::min(body_bytes_, held->request.body.size());
  }
  jobs_.erase(job->request);
  handles_.erase(job->handle);
  const auto it = uniques_.find({job->function, job->unique});
  if (it != uniques_.end() && it->second == job) uniques_.erase(it);
}

void Front::Tell(const Job& job, const std::string& packet) {
  for (Peer* peer : std::vector<Peer*>(job.waiting)) peer->Send(packet);
}

void Front::OnAttemptStarted(RequestId id) {
  if (const auto job = FindRequest(id)) job->running = true;
}

void Front::Answer(const ClientRequest& held, const FinalAnswer& answer,
                   const std::string& result) {
  const auto job = FindRequest(held.request.id);
  if (job == nullptr) return;
  Forget(job);
  const char* how = "failed";
  if (answer.kind == FinalAnswer::Kind::kCompleted) {
    how = "served";
    auto parts = std::move(parts_[{held.request.id, answer.attempt}]);
    parts_.erase({held.request.id, answer.attempt});
    for (const auto& [kind, part] : parts) Tell(*job, Response(kind, {job->handle, part}));
    Tell(*job, Response(Type::kWorkComplete, {job->handle, result}));
    const auto& c = config_.settings.classes[static_cast<std::size_t>(held.request.cls)];
    if (Keyed(held.request.cls) && !job->unique.empty() && c.deduplication_window_s > 0) {
      MakeRoom();
      finished_[{job->function, job->unique}] = {
          job->handle, result, std::move(parts),
          forwarder_->loop()->Now() + c.deduplication_window_s};
    }
  } else {
    std::string exception = job->exception.empty() ? "failed" : job->exception;
    if (answer.kind == FinalAnswer::Kind::kRejected) {
      how = "refused";
      char text[64];
      std::snprintf(text, sizeof text, "refused: retry after %.3f s", answer.retry_after_s);
      exception = text;
    }
    for (Peer* peer : std::vector<Peer*>(job->waiting)) {
      if (peer->exceptions()) peer->Send(Response(Type::kWorkException, {job->handle, exception}));
      peer->Send(Response(Type::kWorkFail, {job->handle}));
    }
  }
  if (job->background) LogLine(Level::kInfo) << "background job " << job->handle << ' ' << how;
  if (!job->promise.empty() && promises_ != nullptr) promises_->Complete(job->promise, answer);
}

}  // namespace millethollow::gearman
