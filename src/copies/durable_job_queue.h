// Durable jobs: an accepted job runs to its end as its class's rules allow, although no client
// waits for it and whichever members fail meanwhile. A job is an entry of a replicated log
// (replicated_logs.h); the member that may act on the log runs it. docs/design/copies.md has the
// guarantees.
//
// No I/O and no clock of its own: takes events of logs and attempts and the time, and calls Hooks.
// State is bounded by Limits, recovered jobs aside. Times are seconds on a clock that includes
// pauses of the machine.
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

// An attempt at a worker that was sent or was about to be.
struct AttemptRecord {
  std::string worker;
  bool local_worker = false;    // the worker connected to one node, and the others do not know it
  SequenceNumber sequence = 0;  // of the operation that recorded it first; 0: this operation
  // Its number in the round that is running. Not stored: an attempt of an earlier round, of this
  // process or another, has none.
  int number = kNoNumber;
  static constexpr int kNoNumber = -1;
};

// A durable job as its log stores it.
struct JobRecord {
  std::string handle;  // unique in the cluster, and never reused
  std::string function, unique_id, class_name, tenant, body;
  std::uint8_t priority = 1;            // 0 high, 1 normal, 2 low
  std::vector<AttemptRecord> attempts;  // that may have run, oldest first
};

constexpr std::size_t kMaxAttempts = 32;  // recorded per job
// Encodings in the log. Decoding returns nothing if the bytes are damaged.
std::string Encode(const AttemptRecord& attempt);
std::optional<AttemptRecord> DecodeAttempt(std::string_view bytes);
std::string Encode(const JobRecord& job);  // without the handle, which is the key of the entry
std::optional<JobRecord> DecodeJob(std::string handle, std::string_view bytes);

// What a log is used for: the low byte of its id.
enum class LogKind : std::uint8_t { kJobs = 1, kKeys = 2 };
inline LogKind KindOf(LogId log) { return static_cast<LogKind>(log & 0xff); }

// The durable jobs of the logs that this member acts on.
//
// Invariants:
// - A job is accepted only once its record is committed in the log, so a member that takes over the
//   log recovers it (PacificA: Lin, Yang, Zhang, Zhou 2008).
// - A job leaves the queue as ended only once the erasure of its record is committed.
// - An attempt that RecordAttempt allows is committed before it is sent.
class DurableJobQueue {
 public:
  // Limits of the jobs in the queue, and its timings in seconds.
  struct Limits {
    std::size_t jobs = 10000, bytes = 64 << 20;
    double tenant_share = 0.5;                    // of both limits, for the jobs of one tenant
    std::size_t running = 64;                     // at once; further jobs wait here
    double retry_min_s = 0.1, retry_max_s = 5.0;  // between two rounds of one job
    double open_delay_s = 1.0;  // from holding a lease without a log to opening a log
    bool accepts_jobs = true;   // false: no log is opened, and jobs are only recovered
  };
  // Why a job was not accepted.
  enum class RejectReason : std::uint8_t {
    kNone,
    kNoLog,
    kTooFewReplicas,
    kFull,
    kTenantFull,
    kStoreFailed,
    kOwnershipLost  // it is not known whether the job is committed
  };
  // The result of a round.
  enum class RoundOutcome : std::uint8_t { kCompleted, kFailed, kRejected };
  // Whether the job is accepted; otherwise why not, and when to submit it again (seconds).
  using SubmitCallback =
      std::function<void(const std::string& handle, RejectReason reason, double retry_after_s)>;
  // One round of a job: it is to be dispatched as a request would be, with retries.
  struct Round {
    const JobRecord* job = nullptr;
    std::uint64_t number = 0;  // unique among the rounds of this process
    // The greatest age of each of job->attempts, in seconds; infinite if it is not known.
    std::vector<double> ages_s;
  };
  // What the queue uses of its environment.
  struct Hooks {
    std::function<SequenceNumber(LogId, std::string key, std::string value, bool erase,
                                 ReplicatedLogs::AppendError*)>
        append;
    std::function<bool(LogId)> may_act;  // by a clock read now
    std::function<void(LogId)> open, close;
    std::function<double(LogId, SequenceNumber)> max_age_s;  // as LogReplicator::MaxAge
    std::function<void(const Round&)> run;
    std::function<void(const std::string& handle)> abort;  // another member owns the job's log now
    std::function<void(const JobRecord&, RoundOutcome)> on_ended = [](const JobRecord&,
                                                                      RoundOutcome) {};
  };
  // Events since the start of the process.
  struct Counters {
    std::uint64_t accepted = 0, rejected = 0, recovered = 0, rounds = 0, completed = 0, failed = 0,
                  handed_over = 0;  // jobs of logs that another member owns now
  };

  // `process_number` is unique to this process: ids of logs and handles of jobs are made from it.
  DurableJobQueue(const Limits& limits, std::uint64_t process_number, Hooks hooks);

  // Events of the logs, as LogReplicator reports them.
  void OnLogAcquired(double now, LogId log, const std::vector<Operation>& entries);
  void OnLogReleased(LogId log);
  void OnCommitted(double now, LogId log, SequenceNumber sequence);
  void OnLease(double now, bool leased);

  // Calls `on_result` once, possibly before it returns. A job with the function and unique id of
  // a queued one is a duplicate of it, and gets its handle.
  void Submit(double now, JobRecord job, SubmitCallback on_result);
  // Records an attempt of the current round, with a number that no other attempt of the round has;
  // it may be sent once `on_recorded(true)` is called.
  void RecordAttempt(const std::string& handle, AttemptRecord attempt,
                     std::function<void(bool)> on_recorded);
  // Whether this process may act for the job now.
  bool MayAct(const std::string& handle) const;
  // The round has ended. `never_ran`: the numbers of its attempts that certainly never ran. They
  // are erased from the job's record; all others stay, and those of earlier rounds always.
  void OnRoundEnded(double now, const std::string& handle, RoundOutcome outcome,
                    double retry_after_s, const std::vector<int>& never_ran);
  // Starts jobs whose backoff has ended and repeats failed writes. To be called at NextTickAt().
  void Tick(double now);
  double NextTickAt() const;
  // A client waits for the result of the job: if it is queued or in backoff it runs at once.
  // Returns whether it runs.
  bool RunNow(double now, const std::string& handle);
  // Starts no further rounds; those that run may end.
  void Stop() { stopping_ = true; }
  // Whether no round runs and all ends are committed.
  bool Idle() const;

  // The handle of the job with that function and unique id; empty if there is none.
  std::string Find(const std::string& function, const std::string& unique_id) const;
  // Whether the queue has a job with this handle.
  bool Has(const std::string& handle) const { return jobs_.contains(handle); }
  // Jobs, their bytes, the running ones, and the logs that this member acts on.
  std::size_t size() const { return jobs_.size(); }
  std::size_t bytes() const { return bytes_; }
  std::size_t running() const { return running_; }
  std::size_t logs() const { return logs_.size(); }
  const Counters& counters() const { return counters_; }
  // A handle that no other job in the cluster has or will have.
  std::string NewHandle(const std::string& prefix);

 private:
  enum class State : std::uint8_t { kUncommitted, kReady, kRunning, kBackoff, kEnding };
  struct Job {
    JobRecord record;
    LogId log = 0;
    State state = State::kUncommitted;
    SequenceNumber last_write = 0;  // the last operation that wrote the record
    double due_at = 0, backoff_s = 0;
    std::uint64_t order = 0;
    RoundOutcome outcome = RoundOutcome::kCompleted;
  };
  // What is to be done once an operation is committed.
  struct PendingCommit {
    std::string handle;
    SubmitCallback on_result;               // of Submit
    std::function<void(bool)> on_recorded;  // of RecordAttempt
    bool is_end = false;
  };
  struct Log {
    std::multimap<SequenceNumber, PendingCommit> pending_commits;
    std::size_t jobs = 0;
  };
  struct TenantUsage {
    std::size_t jobs = 0, bytes = 0;
  };
  using QueuePosition = std::pair<int, std::uint64_t>;  // within a tenant: priority and order

  static std::size_t SizeOf(const JobRecord& job);
  Job* AddJob(JobRecord record, LogId log);
  JobRecord RemoveJob(std::map<std::string, Job>::iterator it);
  void SetReady(Job* job);
  void RemoveFromReady(const Job& job);
  void WriteEnd(double now, Job* job);
  void StartReadyJobs();
  void Start(Job* job);
  void CloseEmptyLogs();
  double OpenLogAt() const;
  RejectReason CheckCapacity(const JobRecord& job) const;
  static RejectReason RejectReasonOf(ReplicatedLogs::AppendError reason);

  Limits limits_;
  std::uint64_t process_number_;
  Hooks hooks_;
  std::map<LogId, Log> logs_;        // that this member acts on
  LogId default_log_ = 0;            // for new jobs
  std::map<std::string, Job> jobs_;  // by handle
  // By function and unique id.
  std::map<std::pair<std::string, std::string>, std::string> handles_by_unique_id_;
  std::map<std::string, TenantUsage> tenant_usage_;                    // by tenant
  std::map<std::string, std::map<QueuePosition, std::string>> ready_;  // by tenant
  std::string last_tenant_;                                            // that started a job
  std::set<std::pair<double, std::string>> timers_;  // ends of backoffs, and retries of WriteEnd
  std::size_t bytes_ = 0, running_ = 0, ending_ = 0;
  std::uint64_t last_number_ = 0, last_round_ = 0, requested_log_ = 0;
  double leased_since_ = -1, log_requested_at_ = 0;
  bool stopping_ = false, starting_ = false;
  Counters counters_;
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_DURABLE_JOB_QUEUE_H_
