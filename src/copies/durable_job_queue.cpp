#include "copies/durable_job_queue.h"

#include <algorithm>
#include <limits>

#include "encoding/fields.h"

namespace millethollow::copies {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kRetryAfterS = 1.0;        // advised to the client when a job is not accepted
constexpr double kEndRetryIntervalS = 0.5;  // until the end of a job is appended again
constexpr double kReopenIntervalS = 30.0;   // until a log that was not assigned is requested again
constexpr std::size_t kRecordOverheadBytes = 256;  // counted per job on top of its fields

std::string Hex(std::uint64_t number) {
  std::string text;
  for (; number != 0 || text.empty(); number >>= 4) {
    text.insert(text.begin(), "0123456789abcdef"[number & 15]);
  }
  return text;
}

}  // namespace

std::string Encode(const AttemptRecord& attempt) {
  encoding::Writer writer;
  writer.Text(1, attempt.worker);
  writer.Number(2, static_cast<std::uint8_t>(attempt.local_worker));
  writer.Number(3, attempt.sequence);
  return writer.Take();
}

std::optional<AttemptRecord> DecodeAttempt(std::string_view bytes) {
  AttemptRecord attempt;
  encoding::Reader reader(bytes);
  while (reader.Next()) {
    if (reader.field() == 1) attempt.worker = reader.value();
    if (reader.field() == 2) attempt.local_worker = reader.Raw<std::uint8_t>() != 0;
    if (reader.field() == 3) attempt.sequence = reader.Raw<std::uint64_t>();
  }
  return reader.ok() ? std::optional(std::move(attempt)) : std::nullopt;
}

std::string Encode(const JobRecord& job) {
  encoding::Writer writer;
  writer.Text(1, job.function);
  writer.Text(2, job.unique_id);
  writer.Text(3, job.class_name);
  writer.Text(4, job.tenant);
  writer.Text(5, job.body);
  writer.Number(6, job.priority);
  for (const AttemptRecord& attempt : job.attempts) writer.Nested(7, Encode(attempt));
  return writer.Take();
}

std::optional<JobRecord> DecodeJob(std::string handle, std::string_view bytes) {
  JobRecord job;
  job.handle = std::move(handle);
  job.priority = 0;  // the encoding leaves out 0
  encoding::Reader reader(bytes);
  while (reader.Next()) {
    if (reader.field() == 1) job.function = reader.value();
    if (reader.field() == 2) job.unique_id = reader.value();
    if (reader.field() == 3) job.class_name = reader.value();
    if (reader.field() == 4) job.tenant = reader.value();
    if (reader.field() == 5) job.body = reader.value();
    if (reader.field() == 6) job.priority = std::min<std::uint8_t>(reader.Raw<std::uint8_t>(), 2);
    if (reader.field() != 7) continue;
    if (job.attempts.size() >= kMaxAttempts) return std::nullopt;
    auto attempt = DecodeAttempt(reader.value());
    if (!attempt) return std::nullopt;
    job.attempts.push_back(std::move(*attempt));
  }
  return reader.ok() ? std::optional(std::move(job)) : std::nullopt;
}

DurableJobQueue::DurableJobQueue(const Limits& limits, std::uint64_t process_number, Hooks hooks)
    : limits_(limits), process_number_(process_number), hooks_(std::move(hooks)) {}

std::string DurableJobQueue::NewHandle(const std::string& prefix) {
  return prefix + Hex(process_number_) + ":" + std::to_string(++last_number_);
}

std::size_t DurableJobQueue::SizeOf(const JobRecord& job) {
  return kRecordOverheadBytes + job.handle.size() + job.function.size() + 2 * job.unique_id.size() +
         job.body.size();
}

DurableJobQueue::Job* DurableJobQueue::AddJob(JobRecord record, LogId log) {
  TenantUsage& usage = tenant_usage_[record.tenant];
  usage.jobs += 1;
  usage.bytes += SizeOf(record);
  bytes_ += SizeOf(record);
  logs_[log].jobs += 1;
  if (!record.unique_id.empty())
    handles_by_unique_id_.emplace(std::pair(record.function, record.unique_id), record.handle);
  std::string handle = record.handle;
  Job& job = jobs_[std::move(handle)];
  job.record = std::move(record);
  job.log = log;
  job.order = ++last_number_;
  return &job;
}

JobRecord DurableJobQueue::RemoveJob(std::map<std::string, Job>::iterator it) {
  Job& job = it->second;
  const std::size_t size = SizeOf(job.record);
  const auto usage = tenant_usage_.find(job.record.tenant);
  usage->second.jobs -= 1;
  usage->second.bytes -= size;
  bytes_ -= size;
  if (usage->second.jobs == 0) tenant_usage_.erase(usage);
  if (const auto log = logs_.find(job.log); log != logs_.end()) log->second.jobs -= 1;
  running_ -= job.state == State::kRunning;
  ending_ -= job.state == State::kEnding;
  timers_.erase({job.due_at, it->first});
  RemoveFromReady(job);
  const auto unique = handles_by_unique_id_.find({job.record.function, job.record.unique_id});
  if (unique != handles_by_unique_id_.end() && unique->second == it->first)
    handles_by_unique_id_.erase(unique);
  JobRecord record = std::move(job.record);
  jobs_.erase(it);
  return record;
}

void DurableJobQueue::RemoveFromReady(const Job& job) {
  const auto queue = ready_.find(job.record.tenant);
  if (queue == ready_.end()) return;
  queue->second.erase({job.record.priority, job.order});
  if (queue->second.empty()) ready_.erase(queue);
}

std::string DurableJobQueue::Find(const std::string& function, const std::string& unique) const {
  const auto it = handles_by_unique_id_.find({function, unique});
  return it == handles_by_unique_id_.end() ? "" : it->second;
}

bool DurableJobQueue::Idle() const {
  return running_ == 0 && ending_ == 0 &&
         std::all_of(logs_.begin(), logs_.end(),
                     [](const auto& entry) { return entry.second.pending_commits.empty(); });
}

DurableJobQueue::RejectReason DurableJobQueue::CheckCapacity(const JobRecord& job) const {
  if (jobs_.size() >= limits_.jobs || bytes_ + SizeOf(job) > limits_.bytes)
    return RejectReason::kFull;
  const auto usage = tenant_usage_.find(job.tenant);
  if (usage == tenant_usage_.end()) return RejectReason::kNone;
  const bool too_many_jobs = static_cast<double>(usage->second.jobs) >=
                             limits_.tenant_share * static_cast<double>(limits_.jobs);
  const bool too_many_bytes = static_cast<double>(usage->second.bytes + SizeOf(job)) >
                              limits_.tenant_share * static_cast<double>(limits_.bytes);
  return too_many_jobs || too_many_bytes ? RejectReason::kTenantFull : RejectReason::kNone;
}

DurableJobQueue::RejectReason DurableJobQueue::RejectReasonOf(ReplicatedLogs::AppendError reason) {
  return reason == ReplicatedLogs::AppendError::kTooFewReplicas ? RejectReason::kTooFewReplicas
         : reason == ReplicatedLogs::AppendError::kFull         ? RejectReason::kFull
         : reason == ReplicatedLogs::AppendError::kStoreFailed  ? RejectReason::kStoreFailed
                                                                : RejectReason::kNoLog;
}

void DurableJobQueue::Submit(double now, JobRecord record, SubmitCallback on_result) {
  const auto reject = [&](RejectReason reason) {
    counters_.rejected += 1;
    on_result(record.handle, reason, kRetryAfterS);
  };
  if (default_log_ == 0 || stopping_) return reject(RejectReason::kNoLog);
  if (const std::string existing = Find(record.function, record.unique_id);
      !record.unique_id.empty() && !existing.empty()) {
    Job& job = jobs_[existing];
    if (job.state != State::kUncommitted) return on_result(existing, RejectReason::kNone, 0);
    logs_[job.log].pending_commits.emplace(
        job.last_write,
        PendingCommit{.handle = existing, .on_result = std::move(on_result), .on_recorded = {}});
    return;
  }
  if (const RejectReason reason = CheckCapacity(record); reason != RejectReason::kNone)
    return reject(reason);
  ReplicatedLogs::AppendError reason{};
  const LogId log = default_log_;
  const SequenceNumber sequence = hooks_.append(log, record.handle, Encode(record), false, &reason);
  if (sequence == 0) return reject(RejectReasonOf(reason));
  Job* job = AddJob(std::move(record), log);
  job->last_write = sequence;
  job->due_at = now;
  logs_[log].pending_commits.emplace(sequence, PendingCommit{.handle = job->record.handle,
                                                             .on_result = std::move(on_result),
                                                             .on_recorded = {}});
}

void DurableJobQueue::OnCommitted(double, LogId log, SequenceNumber sequence) {
  // A callback may release the log or append to it, so it is looked up again for each operation.
  while (true) {
    const auto it = logs_.find(log);
    if (it == logs_.end() || it->second.pending_commits.empty()) break;
    if (it->second.pending_commits.begin()->first > sequence) break;
    const PendingCommit pending = std::move(it->second.pending_commits.begin()->second);
    it->second.pending_commits.erase(it->second.pending_commits.begin());
    const auto job = jobs_.find(pending.handle);
    if (pending.is_end) {
      if (job == jobs_.end()) continue;
      const RoundOutcome outcome = job->second.outcome;
      (outcome == RoundOutcome::kCompleted ? counters_.completed : counters_.failed) += 1;
      hooks_.on_ended(RemoveJob(job), outcome);
    } else if (pending.on_result) {
      counters_.accepted += 1;
      if (job != jobs_.end() && job->second.state == State::kUncommitted) SetReady(&job->second);
      pending.on_result(pending.handle, RejectReason::kNone, 0);
    } else if (pending.on_recorded) {
      pending.on_recorded(true);
    }
  }
  CloseEmptyLogs();
  StartReadyJobs();
}

void DurableJobQueue::SetReady(Job* job) {
  job->state = State::kReady;
  ready_[job->record.tenant].emplace(QueuePosition{job->record.priority, job->order},
                                     job->record.handle);
}

// Starts ready jobs: round robin over the tenants, within a tenant by priority and then in order.
void DurableJobQueue::StartReadyJobs() {
  if (std::exchange(starting_, true)) return;
  while (!stopping_ && running_ < limits_.running && !ready_.empty()) {
    auto tenant = ready_.upper_bound(last_tenant_);
    if (tenant == ready_.end()) tenant = ready_.begin();
    last_tenant_ = tenant->first;
    const std::string handle = tenant->second.begin()->second;
    tenant->second.erase(tenant->second.begin());
    if (tenant->second.empty()) ready_.erase(tenant);
    Start(&jobs_[handle]);
  }
  starting_ = false;
}

void DurableJobQueue::Start(Job* job) {
  job->state = State::kRunning;
  running_ += 1;
  counters_.rounds += 1;
  Round round{.job = &job->record, .number = ++last_round_, .ages_s = {}};
  for (AttemptRecord& attempt : job->record.attempts) {
    attempt.number = AttemptRecord::kNoNumber;
    round.ages_s.push_back(
        hooks_.max_age_s(job->log, attempt.sequence == 0 ? job->last_write : attempt.sequence));
  }
  hooks_.run(round);
}

bool DurableJobQueue::RunNow(double now, const std::string& handle) {
  const auto it = jobs_.find(handle);
  if (it == jobs_.end() || stopping_) return false;
  Job& job = it->second;
  if (job.state == State::kBackoff) {
    timers_.erase({job.due_at, handle});
    job.due_at = now;
    Start(&job);
  } else if (job.state == State::kReady) {
    RemoveFromReady(job);
    Start(&job);
  }
  return job.state == State::kRunning;
}

bool DurableJobQueue::MayAct(const std::string& handle) const {
  const auto it = jobs_.find(handle);
  return it != jobs_.end() && hooks_.may_act(it->second.log);
}

void DurableJobQueue::RecordAttempt(const std::string& handle, AttemptRecord attempt,
                                    std::function<void(bool)> on_recorded) {
  const auto it = jobs_.find(handle);
  if (it == jobs_.end() || it->second.state != State::kRunning) return on_recorded(false);
  Job& job = it->second;
  JobRecord next = job.record;
  if (!next.attempts.empty() && next.attempts.back().sequence == 0)
    next.attempts.back().sequence = job.last_write;
  if (next.attempts.size() >= kMaxAttempts) return on_recorded(false);
  attempt.sequence = 0;
  next.attempts.push_back(std::move(attempt));
  ReplicatedLogs::AppendError reason{};
  const SequenceNumber sequence = hooks_.append(job.log, handle, Encode(next), false, &reason);
  if (sequence == 0) return on_recorded(false);
  job.record.attempts = std::move(next.attempts);
  job.last_write = sequence;
  logs_[job.log].pending_commits.emplace(
      sequence,
      PendingCommit{.handle = handle, .on_result = {}, .on_recorded = std::move(on_recorded)});
}

void DurableJobQueue::OnRoundEnded(double now, const std::string& handle, RoundOutcome outcome,
                                   double retry_after_s, const std::vector<int>& never_ran) {
  const auto it = jobs_.find(handle);
  if (it == jobs_.end() || it->second.state != State::kRunning) return;
  Job& job = it->second;
  running_ -= 1;
  job.outcome = outcome;
  if (outcome == RoundOutcome::kRejected) {
    std::erase_if(job.record.attempts, [&](const AttemptRecord& attempt) {
      return attempt.number != AttemptRecord::kNoNumber &&
             std::find(never_ran.begin(), never_ran.end(), attempt.number) != never_ran.end();
    });
    job.backoff_s = std::clamp(std::max(retry_after_s, 2 * job.backoff_s), limits_.retry_min_s,
                               limits_.retry_max_s);
    job.state = State::kBackoff;
    job.due_at = now + job.backoff_s;
    timers_.emplace(job.due_at, handle);
  } else {
    job.state = State::kEnding;
    ending_ += 1;
    WriteEnd(now, &job);
  }
  StartReadyJobs();
}

// Appends the erasure of an ended job. If that is rejected now, it is retried until it succeeds or
// another member owns the log.
void DurableJobQueue::WriteEnd(double now, Job* job) {
  ReplicatedLogs::AppendError reason{};
  const LogId log = job->log;
  const std::string handle = job->record.handle;
  const SequenceNumber sequence = hooks_.append(log, handle, "", true, &reason);
  if (sequence != 0) {
    logs_[log].pending_commits.emplace(
        sequence,
        PendingCommit{.handle = handle, .on_result = {}, .on_recorded = {}, .is_end = true});
    return;
  }
  const auto it = jobs_.find(handle);
  if (it == jobs_.end()) return;  // rejected because another member owns the log
  it->second.due_at = now + kEndRetryIntervalS;
  timers_.emplace(it->second.due_at, handle);
}

void DurableJobQueue::OnLogAcquired(double now, LogId log, const std::vector<Operation>& entries) {
  logs_[log];
  if (default_log_ == 0) default_log_ = log;
  requested_log_ = 0;
  for (const Operation& operation : entries) {
    auto record = DecodeJob(operation.key, operation.value);
    if (!record || jobs_.contains(operation.key)) continue;
    Job* job = AddJob(std::move(*record), log);
    job->last_write = operation.sequence;
    job->due_at = now;
    counters_.recovered += 1;
    SetReady(job);
  }
  CloseEmptyLogs();
  StartReadyJobs();
}

void DurableJobQueue::OnLogReleased(LogId log) {
  const auto it = logs_.find(log);
  if (it == logs_.end()) return;
  const auto pending = std::move(it->second.pending_commits);
  logs_.erase(it);
  if (default_log_ == log) default_log_ = logs_.empty() ? 0 : logs_.begin()->first;
  std::vector<std::string> released, running;
  for (const auto& [handle, job] : jobs_) {
    if (job.log != log) continue;
    released.push_back(handle);
    if (job.state == State::kRunning) running.push_back(handle);
  }
  counters_.handed_over += released.size();
  for (const std::string& handle : released) RemoveJob(jobs_.find(handle));
  for (const std::string& handle : running) hooks_.abort(handle);
  for (const auto& [sequence, commit] : pending) {
    if (commit.on_result)
      commit.on_result(commit.handle, RejectReason::kOwnershipLost, kRetryAfterS);
    if (commit.on_recorded) commit.on_recorded(false);
  }
}

// Closes logs taken over from other members once they are empty.
void DurableJobQueue::CloseEmptyLogs() {
  if (logs_.size() < 2) return;
  std::vector<LogId> empty;
  for (const auto& [id, log] : logs_) {
    if (id != default_log_ && log.pending_commits.empty() && log.jobs == 0) empty.push_back(id);
  }
  for (const LogId log : empty) {
    logs_.erase(log);
    hooks_.close(log);
  }
}

void DurableJobQueue::OnLease(double now, bool leased) {
  if (!leased) {
    leased_since_ = -1;
  } else if (leased_since_ < 0) {
    leased_since_ = now;
  }
}

void DurableJobQueue::Tick(double now) {
  if (now >= OpenLogAt()) {
    log_requested_at_ = now;
    requested_log_ = (membership::Mix(process_number_ ^ membership::Mix(++last_number_)) << 8) |
                     static_cast<std::uint64_t>(LogKind::kJobs);
    hooks_.open(requested_log_);
  }
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const std::string handle = timers_.begin()->second;
    timers_.erase(timers_.begin());
    Job& job = jobs_[handle];
    if (job.state == State::kEnding) {
      WriteEnd(now, &job);
    } else {
      SetReady(&job);
    }
  }
  StartReadyJobs();
}

double DurableJobQueue::NextTickAt() const {
  double at = timers_.empty() ? kInfinity : timers_.begin()->first;
  return std::min(at, OpenLogAt());
}

// When a log for this member is to be requested.
double DurableJobQueue::OpenLogAt() const {
  if (!limits_.accepts_jobs || stopping_ || leased_since_ < 0 || !logs_.empty()) return kInfinity;
  const double settled_at = leased_since_ + limits_.open_delay_s;
  return requested_log_ == 0 ? settled_at
                             : std::max(settled_at, log_requested_at_ + kReopenIntervalS);
}

}  // namespace millethollow::copies
