#include "copies/durable_job_queue.h"

#include <algorithm>
#include <limits>

#include "encoding/fields.h"

namespace millethollow::copies {
namespace {

constexpr double kInf = std::numeric_limits<double>::infinity();
constexpr double kReturnS = 1.0;        // advised where promises can't be given now
constexpr double kSayAgainS = 0.5;      // an end that could not be written
constexpr double kOpenAgainS = 30.0;    // a log that was asked for and never came
constexpr std::size_t kOverhead = 256;  // of a job beside its bytes

std::string Hex(std::uint64_t number) {
  std::string text;
  for (; number != 0 || text.empty(); number >>= 4) {
    text.insert(text.begin(), "0123456789abcdef"[number & 15]);
  }
  return text;
}

}  // namespace

std::string Encode(const AttemptRecord& t) {
  encoding::Writer w;
  w.Text(1, t.worker);
  w.Number(2, static_cast<std::uint8_t>(t.local_worker));
  w.Number(3, t.sequence);
  return w.Take();
}

std::optional<AttemptRecord> DecodeAttempt(std::string_view bytes) {
  AttemptRecord t;
  encoding::Reader r(bytes);
  while (r.Next()) {
    if (r.field() == 1) t.worker = r.value();
    if (r.field() == 2) t.local_worker = r.Raw<std::uint8_t>() != 0;
    if (r.field() == 3) t.sequence = r.Raw<std::uint64_t>();
  }
  return r.ok() ? std::optional(std::move(t)) : std::nullopt;
}

std::string Encode(const JobRecord& job) {
  encoding::Writer w;
  w.Text(1, job.function);
  w.Text(2, job.unique_id);
  w.Text(3, job.class_name);
  w.Text(4, job.tenant);
  w.Text(5, job.body);
  w.Number(6, job.priority);
  for (const AttemptRecord& t : job.attempts) w.Nested(7, Encode(t));
  return w.Take();
}

std::optional<JobRecord> DecodeJob(std::string handle, std::string_view bytes) {
  JobRecord job;
  job.handle = std::move(handle);
  job.priority = 0;  // as left out
  encoding::Reader r(bytes);
  while (r.Next()) {
    if (r.field() == 1) job.function = r.value();
    if (r.field() == 2) job.unique_id = r.value();
    if (r.field() == 3) job.class_name = r.value();
    if (r.field() == 4) job.tenant = r.value();
    if (r.field() == 5) job.body = r.value();
    if (r.field() == 6) job.priority = std::min<std::uint8_t>(r.Raw<std::uint8_t>(), 2);
    if (r.field() != 7) continue;
    if (job.attempts.size() >= kMaxAttempts) return std::nullopt;
    auto attempt = DecodeAttempt(r.value());
    if (!attempt) return std::nullopt;
    job.attempts.push_back(std::move(*attempt));
  }
  return r.ok() ? std::optional(std::move(job)) : std::nullopt;
}

DurableJobQueue::DurableJobQueue(const Limits& limits, std::uint64_t number, Hooks hooks)
    : limits_(limits), number_(number), hooks_(std::move(hooks)) {}

std::string DurableJobQueue::NewHandle(const std::string& prefix) {
  return prefix + Hex(number_) + ":" + std::to_string(++order_);
}

std::size_t DurableJobQueue::SizeOf(const JobRecord& job) {
  return kOverhead + job.handle.size() + job.function.size() + 2 * job.unique_id.size() +
         job.body.size();
}

DurableJobQueue::Job* DurableJobQueue::Put(JobRecord record, LogId log) {
  Load& load = load_[record.tenant];
  load.jobs += 1;
  load.bytes += SizeOf(record);
  bytes_ += SizeOf(record);
  logs_[log].jobs += 1;
  if (!record.unique_id.empty())
    uniques_.emplace(std::pair(record.function, record.unique_id), record.handle);
  std::string handle = record.handle;
  Job& job = jobs_[std::move(handle)];
  job.record = std::move(record);
  job.log = log;
  job.order = ++order_;
  return &job;
}

JobRecord DurableJobQueue::Remove(std::map<std::string, Job>::iterator it) {
  Job& job = it->second;
  const std::size_t size = SizeOf(job.record);
  const auto load = load_.find(job.record.tenant);
  load->second.jobs -= 1;
  load->second.bytes -= size;
  bytes_ -= size;
  if (load->second.jobs == 0) load_.erase(load);
  if (const auto log = logs_.find(job.log); log != logs_.end()) log->second.jobs -= 1;
  running_ -= job.state == State::kRunning;
  ending_ -= job.state == State::kEnding;
  later_.erase({job.at, it->first});
  LeaveLine(job);
  const auto unique = uniques_.find({job.record.function, job.record.unique_id});
  if (unique != uniques_.end() && unique->second == it->first) uniques_.erase(unique);
  JobRecord record = std::move(job.record);
  jobs_.erase(it);
  return record;
}

void DurableJobQueue::LeaveLine(const Job& job) {
  const auto line = ready_.find(job.record.tenant);
  if (line == ready_.end()) return;
  line->second.erase({job.record.priority, job.order});
  if (line->second.empty()) ready_.erase(line);
}

std::string DurableJobQueue::Find(const std::string& function, const std::string& unique) const {
  const auto it = uniques_.find({function, unique});
  return it == uniques_.end() ? "" : it->second;
}

bool DurableJobQueue::Idle() const {
  return running_ == 0 && ending_ == 0 &&
         std::all_of(logs_.begin(), logs_.end(),
                     [](const auto& l) { return l.second.pending_commits.empty(); });
}

DurableJobQueue::RejectReason DurableJobQueue::CheckCapacity(const JobRecord& job) const {
  if (jobs_.size() >= limits_.jobs || bytes_ + SizeOf(job) > limits_.bytes)
    return RejectReason::kFull;
  const auto load = load_.find(job.tenant);
  if (load == load_.end()) return RejectReason::kNone;
  const bool many = static_cast<double>(load->second.jobs) >=
                    limits_.tenant_share * static_cast<double>(limits_.jobs);
  const bool much = static_cast<double>(load->second.bytes + SizeOf(job)) >
                    limits_.tenant_share * static_cast<double>(limits_.bytes);
  return many || much ? RejectReason::kTenantFull : RejectReason::kNone;
}

DurableJobQueue::RejectReason DurableJobQueue::RejectReasonOf(ReplicatedLogs::AppendError reason) {
  return reason == ReplicatedLogs::AppendError::kTooFewReplicas ? RejectReason::kTooFewReplicas
         : reason == ReplicatedLogs::AppendError::kFull         ? RejectReason::kFull
         : reason == ReplicatedLogs::AppendError::kStoreFailed  ? RejectReason::kStoreFailed
                                                                : RejectReason::kNoLog;
}

void DurableJobQueue::Submit(double now, JobRecord record, Then then) {
  const auto refuse = [&](RejectReason reason) {
    counters_.rejected += 1;
    then(record.handle, reason, kReturnS);
  };
  if (main_ == 0 || stopping_) return refuse(RejectReason::kNoLog);
  if (const std::string same = Find(record.function, record.unique_id);
      !record.unique_id.empty() && !same.empty()) {
    Job& job = jobs_[same];
    if (job.state != State::kAsked) return then(same, RejectReason::kNone, 0);
    logs_[job.log].pending_commits.emplace(
        job.put, PendingCommit{.handle = same, .then = std::move(then), .sent = {}});
    return;
  }
  if (const RejectReason reason = CheckCapacity(record); reason != RejectReason::kNone)
    return refuse(reason);
  ReplicatedLogs::AppendError reason{};
  const LogId log = main_;
  const SequenceNumber sequence = hooks_.append(log, record.handle, Encode(record), false, &reason);
  if (sequence == 0) return refuse(RejectReasonOf(reason));
  Job* job = Put(std::move(record), log);
  job->put = sequence;
  job->at = now;
  logs_[log].pending_commits.emplace(
      sequence, PendingCommit{.handle = job->record.handle, .then = std::move(then), .sent = {}});
}

void DurableJobQueue::OnCommitted(double, LogId log, SequenceNumber sequence) {
  // What is told may end the log, or give it more to owe.
  while (true) {
    const auto it = logs_.find(log);
    if (it == logs_.end() || it->second.pending_commits.empty()) break;
    if (it->second.pending_commits.begin()->first > sequence) break;
    const PendingCommit owed = std::move(it->second.pending_commits.begin()->second);
    it->second.pending_commits.erase(it->second.pending_commits.begin());
    const auto job = jobs_.find(owed.handle);
    if (owed.end) {
      if (job == jobs_.end()) continue;
      const JobOutcome outcome = job->second.outcome;
      (outcome == JobOutcome::kCompleted ? counters_.completed : counters_.failed) += 1;
      hooks_.on_ended(Remove(job), outcome);
    } else if (owed.then) {
      counters_.accepted += 1;
      if (job != jobs_.end() && job->second.state == State::kAsked) SetReady(&job->second);
      owed.then(owed.handle, RejectReason::kNone, 0);
    } else if (owed.sent) {
      owed.sent(true);
    }
  }
  Tidy();
  StartMore();
}

void DurableJobQueue::SetReady(Job* job) {
  job->state = State::kReady;
  ready_[job->record.tenant].emplace(Line{job->record.priority, job->order}, job->record.handle);
}

// By turns among tenants, within one by priority and then in order.
void DurableJobQueue::StartMore() {
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
  Round round{.job = &job->record, .number = ++rounds_, .ages_s = {}};
  for (const AttemptRecord& t : job->record.attempts) {
    round.ages_s.push_back(hooks_.max_age_s(job->log, t.sequence == 0 ? job->put : t.sequence));
  }
  hooks_.run(round);
}

bool DurableJobQueue::RunNow(double now, const std::string& handle) {
  const auto it = jobs_.find(handle);
  if (it == jobs_.end() || stopping_) return false;
  Job& job = it->second;
  if (job.state == State::kWaiting) {
    later_.erase({job.at, handle});
    job.at = now;
    Start(&job);
  } else if (job.state == State::kReady) {
    LeaveLine(job);
    Start(&job);
  }
  return job.state == State::kRunning;
}

bool DurableJobQueue::MayAct(const std::string& handle) const {
  const auto it = jobs_.find(handle);
  return it != jobs_.end() && hooks_.may_act(it->second.log);
}

void DurableJobQueue::RecordAttempt(double, const std::string& handle, const std::string& worker,
                                    bool local_worker, std::function<void(bool)> then) {
  const auto it = jobs_.find(handle);
  if (it == jobs_.end() || it->second.state != State::kRunning) return then(false);
  Job& job = it->second;
  JobRecord next = job.record;
  if (!next.attempts.empty() && next.attempts.back().sequence == 0) next.attempts.back().sequence = job.put;
  if (next.attempts.size() >= kMaxAttempts) return then(false);
  next.attempts.push_back({worker, local_worker, 0});
  ReplicatedLogs::AppendError reason{};
  const SequenceNumber sequence = hooks_.append(job.log, handle, Encode(next), false, &reason);
  if (sequence == 0) return then(false);
  job.record.attempts = std::move(next.attempts);
  job.put = sequence;
  logs_[job.log].pending_commits.emplace(
      sequence, PendingCommit{.handle = handle, .then = {}, .sent = std::move(then)});
}

void DurableJobQueue::OnJobEnded(double now, const std::string& handle, JobOutcome outcome,
                                 double retry_after_s, const std::vector<std::string>& ran_at) {
  const auto it = jobs_.find(handle);
  if (it == jobs_.end() || it->second.state != State::kRunning) return;
  Job& job = it->second;
  running_ -= 1;
  job.outcome = outcome;
  if (outcome == JobOutcome::kRejected) {
    std::erase_if(job.record.attempts, [&](const AttemptRecord& t) {
      return std::find(ran_at.begin(), ran_at.end(), t.worker) == ran_at.end();
    });
    job.wait_s = std::clamp(std::max(retry_after_s, 2 * job.wait_s), limits_.retry_min_s,
                            limits_.retry_max_s);
    job.state = State::kWaiting;
    job.at = now + job.wait_s;
    later_.emplace(job.at, handle);
  } else {
    job.state = State::kEnding;
    ending_ += 1;
    End(now, &job);
  }
  StartMore();
}

// Written down; where that can't be done now it is said again, until another has the log.
void DurableJobQueue::End(double now, Job* job) {
  ReplicatedLogs::AppendError reason{};
  const LogId log = job->log;
  const std::string handle = job->record.handle;
  const SequenceNumber sequence = hooks_.append(log, handle, "", true, &reason);
  if (sequence != 0) {
    logs_[log].pending_commits.emplace(
        sequence, PendingCommit{.handle = handle, .then = {}, .sent = {}, .end = true});
    return;
  }
  const auto it = jobs_.find(handle);
  if (it == jobs_.end()) return;  // refused, as another has the log
  it->second.at = now + kSayAgainS;
  later_.emplace(it->second.at, handle);
}

void DurableJobQueue::OnLogAcquired(double now, LogId log, const std::vector<Operation>& entries) {
  logs_[log];
  if (main_ == 0) main_ = log;
  opened_ = 0;
  for (const Operation& op : entries) {
    auto record = DecodeJob(op.key, op.value);
    if (!record || jobs_.contains(op.key)) continue;
    Job* job = Put(std::move(*record), log);
    job->put = op.sequence;
    job->at = now;
    counters_.recovered += 1;
    SetReady(job);
  }
  Tidy();
  StartMore();
}

void DurableJobQueue::OnLogReleased(LogId log) {
  const auto it = logs_.find(log);
  if (it == logs_.end()) return;
  const auto owed = std::move(it->second.pending_commits);
  logs_.erase(it);
  if (main_ == log) main_ = logs_.empty() ? 0 : logs_.begin()->first;
  std::vector<std::string> theirs, running;
  for (const auto& [handle, job] : jobs_) {
    if (job.log != log) continue;
    theirs.push_back(handle);
    if (job.state == State::kRunning) running.push_back(handle);
  }
  counters_.handed_over += theirs.size();
  for (const std::string& handle : theirs) Remove(jobs_.find(handle));
  for (const std::string& handle : running) hooks_.abort(handle);
  for (const auto& [sequence, o] : owed) {
    if (o.then) o.then(o.handle, RejectReason::kOwnershipLost, kReturnS);
    if (o.sent) o.sent(false);
  }
}

// Of the logs that came to this member the empty ones end.
void DurableJobQueue::Tidy() {
  if (logs_.size() < 2) return;
  std::vector<LogId> empty;
  for (const auto& [id, log] : logs_) {
    if (id != main_ && log.pending_commits.empty() && log.jobs == 0) empty.push_back(id);
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
  if (now >= OpensAt()) {
    opened_at_ = now;
    opened_ = (membership::Mix(number_ ^ membership::Mix(++order_)) << 8) |
              static_cast<std::uint64_t>(LogKind::kJobs);
    hooks_.open(opened_);
  }
  while (!later_.empty() && later_.begin()->first <= now) {
    const std::string handle = later_.begin()->second;
    later_.erase(later_.begin());
    Job& job = jobs_[handle];
    if (job.state == State::kEnding) {
      End(now, &job);
    } else {
      SetReady(&job);
    }
  }
  StartMore();
}

double DurableJobQueue::NextAt() const {
  double at = later_.empty() ? kInf : later_.begin()->first;
  return std::min(at, OpensAt());
}

// When a log of its own is to be asked for.
double DurableJobQueue::OpensAt() const {
  if (!limits_.accepts_jobs || stopping_ || leased_since_ < 0 || !logs_.empty()) return kInf;
  const double settled_at = leased_since_ + limits_.settle_s;
  return opened_ == 0 ? settled_at : std::max(settled_at, opened_at_ + kOpenAgainS);
}

}  // namespace millethollow::copies
