// Promised jobs: each is done as its class's rules say, once, though nobody waits for it, and
// whoever is lost meanwhile. A job is an entry of a log (copies.h); whoever acts on the log runs
// it. docs/design/copies.md has the promises.
//
// Decides only: what logs and the process tell and time go in, calls of Hooks come out. Bounded by
// Limits, but for what is adopted. Times are seconds on a clock that counts pauses.
#ifndef MILLETHOLLOW_COPIES_DURABLE_JOB_QUEUE_H_
#define MILLETHOLLOW_COPIES_DURABLE_JOB_QUEUE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "copies/replicated_logs.h"

namespace millethollow::copies {

// An attempt that went out or was about to.
struct AttemptRecord {
  std::string worker;
  bool local_worker = false;  // the worker connected to that node by itself: no other knows it
  SequenceNumber sequence = 0;  // of the operation that first told of it; 0: the one that it came with
};

struct JobRecord {
  std::string handle;  // unique in the cluster for ever
  std::string function, unique_id, class_name, tenant, body;
  std::uint8_t priority = 1;            // 0 high, 1 normal, 2 low
  std::vector<AttemptRecord> attempts;  // and may have run, oldest first
};

constexpr std::size_t kMaxAttempts = 32;
std::string Encode(const AttemptRecord& attempt);
std::optional<AttemptRecord> DecodeAttempt(std::string_view bytes);
std::string Encode(const JobRecord& job);  // but for the handle, which is its key
std::optional<JobRecord> DecodeJob(std::string handle, std::string_view bytes);

// Logs say in their numbers what they are for.
enum class LogKind : std::uint8_t { kJobs = 1, kKeys = 2 };
inline LogKind KindOf(LogId log) { return static_cast<LogKind>(log & 0xff); }

class DurableJobQueue {
 public:
  struct Limits {
    std::size_t jobs = 10000, bytes = 64 << 20;
    double tenant_share = 0.5;                    // of both, that one tenant's jobs may take
    std::size_t running = 64;                     // at once; the others wait here
    double retry_min_s = 0.1, retry_max_s = 5.0;  // between two rounds of one job
    double settle_s = 1.0;  // a lease held for so long without a log of jobs: one is opened
    bool accepts_jobs = true;      // else it opens none, and only has what it adopts
  };
  enum class RejectReason : std::uint8_t {
    kNone,
    kNoLog,
    kTooFewReplicas,
    kFull,
    kTenantFull,
    kStoreFailed,
    kOwnershipLost
  };
  enum class JobOutcome : std::uint8_t { kCompleted, kFailed, kRejected };
  // Whether it is promised now; else why not, and when to come back (seconds).
  using Then =
      std::function<void(const std::string& handle, RejectReason reason, double retry_after_s)>;
  struct Round {  // of one job: to be tried as a request would
    const JobRecord* job = nullptr;
    std::uint64_t number = 0;    // of this process's rounds: no two have one
    std::vector<double> ages_s;  // of job->tried: at most so long ago; infinite: not known
  };
  struct Hooks {
    std::function<SequenceNumber(LogId, std::string key, std::string value, bool erase,
                                 ReplicatedLogs::AppendError*)>
        append;
    std::function<bool(LogId)> may_act;  // by a clock read now
    std::function<void(LogId)> open, close;
    std::function<double(LogId, SequenceNumber)> max_age_s;  // as LogReplicator::MaxAge
    std::function<void(const Round&)> run;
    std::function<void(const std::string& handle)> abort;  // it is another member's now
    std::function<void(const JobRecord&, JobOutcome)> on_ended = [](const JobRecord&, JobOutcome) {};
  };
  struct Counters {
    std::uint64_t accepted = 0, rejected = 0, recovered = 0, rounds = 0, completed = 0, failed = 0,
                  handed_over = 0;  // jobs of logs that another member owns now
  };

  // `number` is never another process's: names of logs and jobs are made of it.
  DurableJobQueue(const Limits& limits, std::uint64_t number, Hooks hooks);

  // Logs, as LogReplicator tells of them.
  void OnLogAcquired(double now, LogId log, const std::vector<Operation>& entries);
  void OnLogReleased(LogId log);
  void OnCommitted(double now, LogId log, SequenceNumber sequence);
  void OnLease(double now, bool leased);

  // `then` once, maybe at once. One of the same function and unique id is the same job.
  void Submit(double now, JobRecord job, Then then);
  // An attempt of the round is about to go out: it may once `then(true)` comes.
  void RecordAttempt(double now, const std::string& handle, const std::string& worker,
                     bool local_worker, std::function<void(bool)> then);
  // May this process act for the job now?
  bool MayAct(const std::string& handle) const;
  // `ran_at`: workers where it may have run, in this round or before it.
  void OnJobEnded(double now, const std::string& handle, JobOutcome outcome, double retry_after_s,
                  const std::vector<std::string>& ran_at);
  void Tick(double now);
  double NextAt() const;
  // Whoever asks for a job's result waits for it now: it is run at once if it waits. False:
  // unknown.
  bool RunNow(double now, const std::string& handle);
  // Nothing new is begun; what runs may end. Idle: it has, and that is written down.
  void Stop() { stopping_ = true; }
  bool Idle() const;

  std::string Find(const std::string& function, const std::string& unique) const;  // or empty
  bool Has(const std::string& handle) const { return jobs_.contains(handle); }
  std::size_t size() const { return jobs_.size(); }
  std::size_t bytes() const { return bytes_; }
  std::size_t running() const { return running_; }
  std::size_t logs() const { return logs_.size(); }
  const Counters& counters() const { return counters_; }
  std::string NewHandle(const std::string& prefix);

 private:
  enum class State : std::uint8_t { kAsked, kReady, kRunning, kWaiting, kEnding };
  struct Job {
    JobRecord record;
    LogId log = 0;
    State state = State::kAsked;
    SequenceNumber put = 0;  // the last operation that wrote it
    double at = 0, wait_s = 0;
    std::uint64_t order = 0;
    JobOutcome outcome = JobOutcome::kCompleted;
  };
  struct PendingCommit {  // by a log, until an operation is kept
    std::string handle;
    Then then;                       // of an Accept
    std::function<void(bool)> sent;  // of a Try
    bool end = false;
  };
  struct Log {
    std::multimap<SequenceNumber, PendingCommit> pending_commits;
    std::size_t jobs = 0;
  };
  struct Load {
    std::size_t jobs = 0, bytes = 0;
  };
  using Line = std::pair<int, std::uint64_t>;  // in which a tenant's jobs wait: priority and order

  static std::size_t SizeOf(const JobRecord& job);
  Job* Put(JobRecord record, LogId log);
  JobRecord Remove(std::map<std::string, Job>::iterator it);
  void SetReady(Job* job);
  void LeaveLine(const Job& job);
  void End(double now, Job* job);
  void StartMore();
  void Start(Job* job);
  void Tidy();
  double OpensAt() const;
  RejectReason CheckCapacity(const JobRecord& job) const;
  static RejectReason RejectReasonOf(ReplicatedLogs::AppendError reason);

  Limits limits_;
  std::uint64_t number_;
  Hooks hooks_;
  std::map<LogId, Log> logs_;                                           // on which it acts
  LogId main_ = 0;                                                      // where new jobs go
  std::map<std::string, Job> jobs_;                                     // by handle
  std::map<std::pair<std::string, std::string>, std::string> uniques_;  // function and unique id
  std::map<std::string, Load> load_;                                    // by tenant
  std::map<std::string, std::map<Line, std::string>> ready_;            // by tenant
  std::string last_tenant_;                                             // whose turn was the last
  std::set<std::pair<double, std::string>> later_;  // jobs that wait, and ends to say again
  std::size_t bytes_ = 0, running_ = 0, ending_ = 0;
  std::uint64_t order_ = 0, rounds_ = 0, opened_ = 0;
  double leased_since_ = -1, opened_at_ = 0;
  bool stopping_ = false, starting_ = false;
  Counters counters_;
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_DURABLE_JOB_QUEUE_H_
