#include "net/cluster/promised_jobs.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>
#include <utility>

#include "logging/event_log.h"

namespace millethollow::cluster {
namespace {

using copies::DurableJobQueue;

constexpr double kLookS = 0.25;  // whether the lease is held, for a member without any log

std::string_view WordFor(DurableJobQueue::RejectReason reason) {
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
    case DurableJobQueue::RejectReason::kStore:
      return "store failed";
    case DurableJobQueue::RejectReason::kLost:
      break;
  }
  return "not known whether kept";
}

}  // namespace

PromisedJobs::PromisedJobs(Loop* loop, Member* member, const DurableJobQueue::Limits& limits,
                           std::string name, std::uint64_t number)
    : loop_(loop),
      member_(member),
      name_(std::move(name)),
      number_(number),
      jobs_(limits, number,
            {.append =
                 [this](copies::LogId log, std::string key, std::string value, bool gone,
                        copies::ReplicatedLogs::AppendError* reason) {
                   return member_->copies()->Append(log, std::move(key), std::move(value), gone,
                                                    reason);
                 },
             .may_act = [this](copies::LogId log) { return member_->copies()->Acts(log); },
             .open = [this](copies::LogId log) { member_->copies()->Open(log); },
             .close = [this](copies::LogId log) { member_->copies()->Close(log); },
             .age = [this](
                        copies::LogId log,
                        copies::SequenceNumber seq) { return member_->copies()->MaxAge(log, seq); },
             .run = [this](const DurableJobQueue::Round& round) { Run(round); },
             .abort =
                 [this](const std::string& handle) {
                   if (runner_ != nullptr) runner_->Abort(handle);
                 },
             .ended =
                 [](const copies::JobRecord& job, DurableJobQueue::JobOutcome how) {
                   Events().info(
                       "cluster job={} function={} tenant={} ended={}", job.handle, job.function,
                       job.tenant,
                       how == DurableJobQueue::JobOutcome::kCompleted ? "served" : "failed");
                 }}) {
  member_->copies()->SetLedger(
      {.acquired =
           [this](copies::LogId log, const std::vector<copies::Operation>& entries) {
             if (copies::KindOf(log) == copies::LogKind::kJobs) {
               jobs_.OnLogAcquired(Member::Now(), log, entries);
             }
             Arm();
           },
       .released =
           [this](copies::LogId log) {
             jobs_.OnLogReleased(log);
             Arm();
           },
       .committed =
           [this](copies::LogId log, copies::SequenceNumber seq) {
             jobs_.OnCommitted(Member::Now(), log, seq);
             Arm();
           }});
  Arm();
}

PromisedJobs::~PromisedJobs() {
  loop_->deadlines().Drop(&tick_);
  member_->copies()->SetLedger({});
}

void PromisedJobs::Arm() {
  loop_->deadlines().Drop(&tick_);
  const double in = std::min(kLookS, jobs_.NextAt() - Member::Now());
  tick_ = loop_->deadlines().At(loop_->Now() + std::max(0.0, in), [this] {
    tick_ = Deadlines::kNone;
    jobs_.OnLease(Member::Now(), member_->Leased());
    jobs_.Tick(Member::Now());
    Arm();
  });
}

void PromisedJobs::Accept(DurableJob job, Then then) {
  copies::JobRecord record;
  record.handle = jobs_.NewHandle("H:" + name_ + ":");
  record.function = std::move(job.function);
  record.unique = std::move(job.unique);
  record.cls = std::move(job.cls);
  record.tenant = std::move(job.tenant);
  record.body = std::move(job.body);
  record.priority = static_cast<std::uint8_t>(std::clamp(job.priority, 0, 2));
  jobs_.Submit(
      Member::Now(), std::move(record),
      [then = std::move(then)](const std::string& handle, DurableJobQueue::RejectReason reason,
                               double after_s) { then(handle, WordFor(reason), after_s); });
  Arm();
}

std::string PromisedJobs::Find(std::string_view function, std::string_view unique) const {
  return jobs_.Find(std::string(function), std::string(unique));
}

void PromisedJobs::RunNow(const std::string& handle) {
  jobs_.RunNow(Member::Now(), handle);
  Arm();
}

void PromisedJobs::Complete(const std::string& handle, const FinalAnswer& answer) {
  using Kind = FinalAnswer::Kind;
  jobs_.OnJobEnded(Member::Now(), handle,
                   answer.kind == Kind::kCompleted  ? DurableJobQueue::JobOutcome::kCompleted
                   : answer.kind == Kind::kRejected ? DurableJobQueue::JobOutcome::kRejected
                                                    : DurableJobQueue::JobOutcome::kFailed,
                   answer.retry_after_s, answer.ran_at);
  Arm();
}

void PromisedJobs::BeforeSend(const std::string& handle, const std::string& worker, bool own,
                              bool repeatable, std::function<void(bool)> then) {
  if (repeatable) return then(jobs_.MayAct(handle));
  jobs_.RecordAttempt(
      Member::Now(), handle, worker, own,
      [this, handle, then = std::move(then)](bool kept) { then(kept && jobs_.MayAct(handle)); });
}

void PromisedJobs::Run(const DurableJobQueue::Round& round) {
  DurableJob job;
  const copies::JobRecord& record = *round.job;
  char tail[48];
  std::snprintf(tail, sizeof tail, "~%08x.%llu", static_cast<unsigned>(number_ & 0xffffffff),
                static_cast<unsigned long long>(round.number));
  job.handle = record.handle;
  job.wire_id = record.handle + tail;
  job.function = record.function;
  job.unique = record.unique;
  job.cls = record.cls;
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

std::string PromisedJobs::Figures() const {
  std::ostringstream out;
  const auto count = [&](const char* name, std::uint64_t value, char kind = 'c') {
    out << "app.cluster.jobs." << name << ':' << value << '|' << kind << '\n';
  };
  const DurableJobQueue::Counters& c = jobs_.counters();
  count("held", jobs_.size(), 'g');
  count("bytes", jobs_.bytes(), 'g');
  count("running", jobs_.running(), 'g');
  count("logs", jobs_.logs(), 'g');
  count("accepted", c.accepted);
  count("refused", c.refused);
  count("adopted", c.adopted);
  count("rounds", c.rounds);
  count("served", c.served);
  count("failed", c.failed);
  count("given_over", c.lost);
  return out.str();
}

}  // namespace millethollow::cluster
