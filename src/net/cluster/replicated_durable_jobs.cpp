#include "net/cluster/replicated_durable_jobs.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>
#include <utility>

#include "logging/event_log.h"

namespace millethollow::cluster {
namespace {

using copies::DurableJobQueue;

// The lease is checked this often also by a member without logs, which has no other reason to tick.
constexpr double kLeaseCheckIntervalS = 0.25;

std::string_view ReasonText(DurableJobQueue::RejectReason reason) {
  switch (reason) {
    case DurableJobQueue::RejectReason::kNone:
      return "";
    case DurableJobQueue::RejectReason::kNoLog:
      return "no majority, or not ready yet";
    case DurableJobQueue::RejectReason::kTooFewReplicas:
      return "too few copies in reach";
    case DurableJobQueue::RejectReason::kFull:
      return "queue full";
    case DurableJobQueue::RejectReason::kTenantFull:
      return "tenant's queue full";
    case DurableJobQueue::RejectReason::kStoreFailed:
      return "store failed";
    case DurableJobQueue::RejectReason::kOwnershipLost:
      break;
  }
  return "not known whether kept";
}

}  // namespace

ReplicatedDurableJobs::ReplicatedDurableJobs(Loop* loop, Member* member,
                                             const DurableJobQueue::Limits& limits,
                                             std::string name, std::uint64_t number)
    : loop_(loop),
      member_(member),
      name_(std::move(name)),
      process_number_(number),
      jobs_(
          limits, number,
          {.append =
               [this](copies::LogId log, std::string key, std::string value, bool erase,
                      copies::ReplicatedLogs::AppendError* reason) {
                 return member_->log_replicator()->Append(log, std::move(key), std::move(value),
                                                          erase, reason);
               },
           .may_act = [this](copies::LogId log) { return member_->log_replicator()->MayAct(log); },
           .open = [this](copies::LogId log) { member_->log_replicator()->Open(log); },
           .close = [this](copies::LogId log) { member_->log_replicator()->Close(log); },
           .max_age_s =
               [this](copies::LogId log, copies::SequenceNumber sequence) {
                 return member_->log_replicator()->MaxAge(log, sequence);
               },
           .run = [this](const DurableJobQueue::Round& round) { Run(round); },
           .abort =
               [this](const std::string& handle) {
                 if (runner_ != nullptr) runner_->Abort(handle);
               },
           .on_ended =
               [](const copies::JobRecord& job, DurableJobQueue::RoundOutcome outcome) {
                 Events().info(
                     "cluster job={} function={} tenant={} ended={}", job.handle, job.function,
                     job.tenant,
                     outcome == DurableJobQueue::RoundOutcome::kCompleted ? "served" : "failed");
               }}) {
  member_->log_replicator()->SetObserver(
      {.acquired =
           [this](copies::LogId log, const std::vector<copies::Operation>& entries) {
             if (copies::KindOf(log) == copies::LogKind::kJobs) {
               jobs_.OnLogAcquired(Member::Now(), log, entries);
             }
             ScheduleTick();
           },
       .released =
           [this](copies::LogId log) {
             jobs_.OnLogReleased(log);
             ScheduleTick();
           },
       .committed =
           [this](copies::LogId log, copies::SequenceNumber sequence) {
             jobs_.OnCommitted(Member::Now(), log, sequence);
             ScheduleTick();
           }});
  ScheduleTick();
}

ReplicatedDurableJobs::~ReplicatedDurableJobs() {
  loop_->deadlines().Drop(&tick_timer_);
  member_->log_replicator()->SetObserver({});
}

void ReplicatedDurableJobs::ScheduleTick() {
  loop_->deadlines().Drop(&tick_timer_);
  const double delay_s = std::min(kLeaseCheckIntervalS, jobs_.NextTickAt() - Member::Now());
  tick_timer_ = loop_->deadlines().At(loop_->Now() + std::max(0.0, delay_s), [this] {
    tick_timer_ = Deadlines::kNone;
    jobs_.OnLease(Member::Now(), member_->HoldsLease());
    jobs_.Tick(Member::Now());
    ScheduleTick();
  });
}

void ReplicatedDurableJobs::Accept(DurableJob job, AcceptCallback then) {
  copies::JobRecord record;
  record.handle = jobs_.NewHandle("H:" + name_ + ":");
  record.function = std::move(job.function);
  record.unique_id = std::move(job.unique);
  record.class_name = std::move(job.class_name);
  record.tenant = std::move(job.tenant);
  record.body = std::move(job.body);
  record.priority = static_cast<std::uint8_t>(std::clamp(job.priority, 0, 2));
  jobs_.Submit(
      Member::Now(), std::move(record),
      [then = std::move(then)](const std::string& handle, DurableJobQueue::RejectReason reason,
                               double after_s) { then(handle, ReasonText(reason), after_s); });
  ScheduleTick();
}

std::string ReplicatedDurableJobs::Find(std::string_view function, std::string_view unique) const {
  return jobs_.Find(std::string(function), std::string(unique));
}

void ReplicatedDurableJobs::RunNow(const std::string& handle) {
  jobs_.RunNow(Member::Now(), handle);
  ScheduleTick();
}

void ReplicatedDurableJobs::Complete(const std::string& handle, const FinalAnswer& answer) {
  using Kind = FinalAnswer::Kind;
  jobs_.OnRoundEnded(Member::Now(), handle,
                     answer.kind == Kind::kCompleted  ? DurableJobQueue::RoundOutcome::kCompleted
                     : answer.kind == Kind::kRejected ? DurableJobQueue::RoundOutcome::kRejected
                                                      : DurableJobQueue::RoundOutcome::kFailed,
                     answer.retry_after_s, answer.never_ran);
  ScheduleTick();
}

void ReplicatedDurableJobs::RecordAttempt(const AttemptRecorder::Attempt& attempt,
                                          AttemptRecorder::DoneCallback then) {
  const std::string& handle = attempt.durable_job;
  if (attempt.idempotent) return then(jobs_.MayAct(handle));
  jobs_.RecordAttempt(
      handle,
      {.worker = attempt.worker, .local_worker = attempt.local_worker, .number = attempt.number},
      [this, handle, then = std::move(then)](bool recorded) {
        then(recorded && jobs_.MayAct(handle));
      });
}

void ReplicatedDurableJobs::Run(const DurableJobQueue::Round& round) {
  DurableJob job;
  const copies::JobRecord& record = *round.job;
  char suffix[48];
  std::snprintf(suffix, sizeof suffix, "~%08x.%llu",
                static_cast<unsigned>(process_number_ & 0xffffffff),
                static_cast<unsigned long long>(round.number));
  job.handle = record.handle;
  job.wire_id = record.handle + suffix;
  job.function = record.function;
  job.unique = record.unique_id;
  job.class_name = record.class_name;
  job.tenant = record.tenant;
  job.body = record.body;
  job.priority = record.priority;
  for (std::size_t i = 0; i < record.attempts.size(); ++i) {
    job.prior_attempts.push_back(
        {record.attempts[i].worker, record.attempts[i].local_worker, round.ages_s[i]});
  }
  if (runner_ != nullptr) return runner_->Run(job);
  loop_->Defer([this, handle = job.handle] {
    Complete(handle, {.kind = FinalAnswer::Kind::kRejected, .retry_after_s = 1});
  });
}

std::string ReplicatedDurableJobs::Metrics() const {
  std::ostringstream out;
  const auto count = [&](const char* name, std::uint64_t value, char kind = 'c') {
    out << "app.cluster.jobs." << name << ':' << value << '|' << kind << '\n';
  };
  const DurableJobQueue::Counters& counters = jobs_.counters();
  count("held", jobs_.size(), 'g');
  count("bytes", jobs_.bytes(), 'g');
  count("running", jobs_.running(), 'g');
  count("logs", jobs_.logs(), 'g');
  count("accepted", counters.accepted);
  count("refused", counters.rejected);
  count("adopted", counters.recovered);
  count("rounds", counters.rounds);
  count("served", counters.completed);
  count("failed", counters.failed);
  count("given_over", counters.handed_over);
  return out.str();
}

}  // namespace millethollow::cluster
