// The jobs of the Gearman front: submission, durable background jobs, and results.
#include <algorithm>
#include <cstdio>

#include "logging/log.h"
#include "net/gearman/peer.h"

namespace millethollow::gearman {
namespace {

constexpr std::size_t kMaxHeldBytes = 24 * 1024 * 1024;  // of all jobs
constexpr std::size_t kJobOverheadBytes = 2 * 1024;      // besides its body and its unique id
// Delays before a durable job is retried: one that this node cannot run, and one while another job
// with the same unique id runs.
constexpr double kCannotRunRetryS = 5.0;
constexpr double kSameUniqueRetryS = 0.5;

// 0 high, 1 normal, 2 low.
int PriorityOf(Type type) {
  return type == Type::kSubmitJobHigh || type == Type::kSubmitJobHighBg ? 0
         : type == Type::kSubmitJobLow || type == Type::kSubmitJobLowBg ? 2
                                                                        : 1;
}

}  // namespace

bool Front::NeedsDeduplication(int class_index) const {
  return config_.settings.classes[static_cast<std::size_t>(class_index)].idempotency !=
         balancing::Idempotency::kIdempotent;
}

std::shared_ptr<Job> Front::FindByHandle(std::string_view handle) const {
  const auto it = jobs_by_handle_.find(handle);
  return it == jobs_by_handle_.end() ? nullptr : it->second;
}

std::shared_ptr<Job> Front::FindByRequest(RequestId id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second;
}

std::shared_ptr<Job> Front::FindByUnique(std::string_view unique) const {
  for (const auto& [function, mapped] : config_.gearman_functions) {
    const auto it = jobs_by_unique_.find({function, std::string(unique)});
    if (it != jobs_by_unique_.end()) return it->second;
  }
  return nullptr;
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
  // The unique id '-' stands for the body.
  const std::string_view unique_id = unique == "-" ? body : unique;
  if (held_bytes_ + JobBytes(body, unique_id) > kMaxHeldBytes) {
    return error("queue_full", "Try again later");
  }
  const bool background = IsBackground(type);
  if (!background && peer->waits() >= kMaxWaits) {
    return error("too_many_jobs", "This connection waits for too many jobs already");
  }
  const UniqueKey key{function, unique_id};
  if (!key.second.empty()) {
    // A repeat of a running job, or of one whose result is kept, is the same job.
    auto same = jobs_by_unique_.find(key);
    if (same == jobs_by_unique_.end() && !background && durable_jobs_ != nullptr) {
      // A durable job that waits is run now, and the client waits for its result.
      const std::string durable = durable_jobs_->Find(key.first, key.second);
      if (!durable.empty()) durable_jobs_->RunNow(durable);
      same = jobs_by_unique_.find(key);
    }
    // A running foreground job is not durable: a background job is stored in addition to it.
    const bool joins = same != jobs_by_unique_.end() && (!background || durable_jobs_ == nullptr);
    if (joins) {
      const std::shared_ptr<Job> job = same->second;
      if (!background) AddWait(job, peer);
      return peer->Send(Response(Type::kJobCreated, {job->handle}));
    }
    EvictKeptResults();
    const auto kept = kept_results_.find(key);
    if (kept != kept_results_.end()) {
      const KeptResult& result = kept->second;
      peer->Send(Response(Type::kJobCreated, {result.handle}));
      if (background) return;
      for (const auto& [kind, part] : result.partial_data)
        peer->Send(Response(kind, {result.handle, part}));
      return peer->Send(Response(Type::kWorkComplete, {result.handle, result.result}));
    }
  }
  if (background && durable_jobs_ != nullptr) return SubmitDurable(peer, type, key, body);
  auto job = std::make_shared<Job>();
  job->handle = NewHandle();
  job->function = function;
  job->unique = key.second;
  job->background = background;
  job->priority = PriorityOf(type);
  job->request = stopping_ && !listener_.open()
                     ? 0
                     : forwarder_->Submit(MakeClientRequest(*job, mapped->second, body), this);
  if (job->request == 0) {
    peer->Send(Response(Type::kJobCreated, {job->handle}));
    if (background) return;
    if (peer->wants_exceptions()) {
      peer->Send(Response(Type::kWorkException, {job->handle, "refused: not taking jobs"}));
    }
    return peer->Send(Response(Type::kWorkFail, {job->handle}));
  }
  AddJob(job, body);
  if (!background) AddWait(job, peer);
  // After AddJob: sending may close the peer, which must then be removed from its job.
  peer->Send(Response(Type::kJobCreated, {job->handle}));
}

std::string Front::NewHandle() { return handle_prefix_ + ":" + std::to_string(++last_job_); }

std::string Front::HandleOfRequest(RequestId id) const {
  return handle_prefix_ + ":e" + std::to_string(id);
}

std::size_t Front::JobBytes(std::string_view body, std::string_view unique) {
  return body.size() + unique.size() + kJobOverheadBytes;
}

void Front::AddWait(const std::shared_ptr<Job>& job, Peer* peer) {
  job->waiters[peer] += 1;
  peer->AddWait(job->request);
}

void Front::AddJob(const std::shared_ptr<Job>& job, std::string_view body) {
  job->held_bytes = JobBytes(body, job->unique);
  held_bytes_ += job->held_bytes;
  jobs_[job->request] = job;
  jobs_by_handle_[job->handle] = job;
  if (!job->unique.empty()) jobs_by_unique_[{job->function, job->unique}] = job;
}

ClientRequest Front::MakeClientRequest(const Job& job, const GearmanFunction& mapped,
                                       std::string_view body) const {
  const auto [class_index, tenant] = mapped;
  ClientRequest client_request;
  client_request.request.class_index = class_index;
  client_request.request.tenant = tenant;
  client_request.request.wire_id = job.handle;
  client_request.request.body = body;
  client_request.request.expires_at =
      forwarder_->loop()->Now() +
      config_.settings.classes[static_cast<std::size_t>(class_index)].client_timeout_s;
  // An HTTP worker may run it too, so the key must be valid as a header value.
  char hashed[40];
  std::snprintf(hashed, sizeof hashed, "%016zx%016zx", std::hash<std::string>()(job.unique),
                std::hash<std::string>()(job.function + '\n' + job.unique));
  if (!job.unique.empty()) client_request.request.key = hashed;
  if (job.unique.empty() && NeedsDeduplication(class_index))
    client_request.request.key = job.handle;
  client_request.target = config_.gearman_path;
  client_request.forward_headers =
      "Request-Class: " + config_.classes[static_cast<std::size_t>(class_index)] + "\r\n";
  if (!config_.tenants.empty()) {
    client_request.forward_headers +=
        "Tenant: " + config_.tenants[static_cast<std::size_t>(tenant)] + "\r\n";
  }
  return client_request;
}

// ---- Durable background jobs ----

// JOB_CREATED is sent only once the job has been replicated.
void Front::SubmitDurable(Peer* peer, Type type, const UniqueKey& key, std::string_view body) {
  const GearmanFunction& mapped = config_.gearman_functions.find(key.first)->second;
  DurableJob job;
  job.function = key.first;
  job.unique = key.second;
  job.class_name = config_.classes[static_cast<std::size_t>(mapped.class_index)];
  if (!config_.tenants.empty()) {
    job.tenant = config_.tenants[static_cast<std::size_t>(mapped.tenant)];
  }
  job.body = body;
  job.priority = PriorityOf(type);
  const int cell = peer->cell();  // a later connection may reuse the pointer
  durable_jobs_->Accept(
      std::move(job), [this, peer, cell](const std::string& handle, std::string_view refusal,
                                         double retry_after_s) {
        const auto found = peers_.find(peer);
        if (found == peers_.end() || peer->cell() != cell || peer->closed()) return;
        if (refusal.empty()) return peer->Send(Response(Type::kJobCreated, {handle}));
        char text[96];
        std::snprintf(text, sizeof text, "%.*s: try again after %.1f s",
                      static_cast<int>(refusal.size()), refusal.data(), retry_after_s);
        peer->Send(Response(Type::kError, {"not_promised", text}));
      });
}

void Front::Run(const DurableJob& durable_job) {
  const auto complete = [&](const FinalAnswer& answer) {
    forwarder_->loop()->Defer([this, handle = durable_job.handle, answer] {
      if (durable_jobs_ != nullptr) durable_jobs_->Complete(handle, answer);
    });
  };
  const auto mapped = config_.gearman_functions.find(durable_job.function);
  const UniqueKey key{durable_job.function, durable_job.unique};
  using Kind = FinalAnswer::Kind;
  if (mapped == config_.gearman_functions.end()) {  // another node may map it
    return complete({.kind = Kind::kRejected, .retry_after_s = kCannotRunRetryS});
  }
  if (!key.second.empty()) {
    EvictKeptResults();
    if (kept_results_.contains(key)) return complete({.kind = Kind::kCompleted});
    if (jobs_by_unique_.contains(key))
      return complete({.kind = Kind::kRejected, .retry_after_s = kSameUniqueRetryS});
  }
  auto job = std::make_shared<Job>();
  job->handle = job->durable_handle = durable_job.handle;
  job->function = durable_job.function;
  job->unique = durable_job.unique;
  job->background = true;
  job->priority = durable_job.priority;
  ClientRequest client_request = MakeClientRequest(*job, mapped->second, durable_job.body);
  client_request.request.wire_id = durable_job.wire_id;
  client_request.request.durable_job = durable_job.handle;
  client_request.request.prior_attempts = durable_job.prior_attempts;
  job->request = forwarder_->Submit(std::move(client_request), this);
  if (job->request == 0)
    return complete({.kind = Kind::kRejected, .retry_after_s = kCannotRunRetryS});
  AddJob(job, durable_job.body);
}

void Front::Abort(const std::string& handle) {
  const auto job = FindByHandle(handle);
  if (job == nullptr || job->durable_handle.empty()) return;
  const RequestId id = job->request;
  RemoveJob(job);
  SendToWaiters(*job, Response(Type::kWorkFail, {job->handle}));
  forwarder_->CancelRequest(id);
}

// A job for which no client waits any more is cancelled, unless it is non-idempotent and a worker
// has started it: Gearman cannot stop a worker, so the job will run, and a client that resubmits it
// with the same unique id must join it rather than start a second one.
void Front::Detach(Peer* peer) {
  for (const RequestId awaited : peer->TakeAwaitedJobs()) {
    const std::shared_ptr<Job> job = FindByRequest(awaited);
    if (job == nullptr) continue;
    job->waiters.erase(peer);
    if (!job->waiters.empty() || job->background) continue;
    const ClientRequest* client_request = forwarder_->Find(job->request);
    if (client_request != nullptr && job->running && !job->unique.empty() &&
        NeedsDeduplication(client_request->request.class_index)) {
      job->background = true;
      continue;
    }
    const RequestId id = job->request;
    RemoveJob(job);
    forwarder_->CancelRequest(id);
  }
}

void Front::RemoveJob(const std::shared_ptr<Job>& job) {
  if (jobs_.erase(job->request) == 0) return;
  held_bytes_ -= job->held_bytes;
  for (const auto& [peer, submissions] : job->waiters) {
    peer->RemoveWaits(job->request, submissions);
  }
  jobs_by_handle_.erase(job->handle);
  const auto it = jobs_by_unique_.find({job->function, job->unique});
  if (it != jobs_by_unique_.end() && it->second == job) jobs_by_unique_.erase(it);
}

void Front::SendToWaiters(const Job& job, const std::string& packet) {
  // A copy: a client that reads too slowly is closed, and removed from the job.
  const std::map<Peer*, std::size_t> waiters = job.waiters;
  for (const auto& [peer, submissions] : waiters) {
    for (std::size_t i = 0; i < submissions && !peer->closed(); ++i) peer->Send(packet);
  }
}

void Front::OnAttemptStarted(RequestId id) {
  if (const auto job = FindByRequest(id)) job->running = true;
}

void Front::Answer(const ClientRequest& client_request, const FinalAnswer& answer,
                   const std::string& result) {
  const auto job = FindByRequest(client_request.request.id);
  if (job == nullptr) return;
  RemoveJob(job);
  if (answer.kind == FinalAnswer::Kind::kDuplicateId) {
    LogLine(Level::kWarn) << "request-id-in-use request_id=" << client_request.request.wire_id
                          << " function=" << job->function;
  }
  const char* outcome = "failed";
  if (answer.kind == FinalAnswer::Kind::kCompleted) {
    outcome = "served";
    auto partial_data = std::move(partial_data_[{client_request.request.id, answer.attempt}]);
    partial_data_.erase({client_request.request.id, answer.attempt});
    for (const auto& [kind, part] : partial_data)
      SendToWaiters(*job, Response(kind, {job->handle, part}));
    SendToWaiters(*job, Response(Type::kWorkComplete, {job->handle, result}));
    const auto& settings =
        config_.settings.classes[static_cast<std::size_t>(client_request.request.class_index)];
    if (NeedsDeduplication(client_request.request.class_index) && !job->unique.empty() &&
        settings.deduplication_window_s > 0) {
      KeepResult({job->function, job->unique},
                 {.handle = job->handle,
                  .result = result,
                  .partial_data = std::move(partial_data),
                  .expires_at = forwarder_->loop()->Now() + settings.deduplication_window_s});
    }
  } else {
    std::string exception = job->exception.empty() ? "failed" : job->exception;
    if (answer.kind == FinalAnswer::Kind::kRejected) {
      outcome = "refused";
      char text[64];
      std::snprintf(text, sizeof text, "refused: retry after %.3f s", answer.retry_after_s);
      exception = text;
    }
    for (const auto& [peer, submissions] : job->waiters) {
      for (std::size_t i = 0; i < submissions; ++i) {
        if (peer->wants_exceptions())
          peer->Send(Response(Type::kWorkException, {job->handle, exception}));
        peer->Send(Response(Type::kWorkFail, {job->handle}));
      }
    }
  }
  if (job->background) LogLine(Level::kInfo) << "background job " << job->handle << ' ' << outcome;
  if (!job->durable_handle.empty() && durable_jobs_ != nullptr)
    durable_jobs_->Complete(job->durable_handle, answer);
}

}  // namespace millethollow::gearman
