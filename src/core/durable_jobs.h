// Durable jobs: background jobs that are run to completion although no client waits for them, if
// need be by another process after a crash. This is the interface between a front, which accepts
// and runs them, and the store that replicates them across the cluster.
#ifndef MILLETHOLLOW_CORE_DURABLE_JOBS_H_
#define MILLETHOLLOW_CORE_DURABLE_JOBS_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/request.h"

namespace millethollow {

// A durable job as it is stored, and as it is run.
struct DurableJob {
  std::string handle;   // unique in the cluster, never reused
  std::string wire_id;  // new for each run, since a worker accepts an id only once
  std::string function, unique, class_name, tenant, body;
  int priority = 1;                          // 0 high, 1 normal, 2 low
  std::vector<PriorAttempt> prior_attempts;  // of earlier runs, oldest first
};

// The replicated store of durable jobs. All calls and callbacks are on the loop's thread.
class DurableJobs {
 public:
  // Result of Accept. If `refusal` is empty, the job is durable under `handle`. Otherwise it was
  // not stored: `refusal` is the reason for the log, and `retry_after_s` the time in seconds after
  // which the client may retry.
  using AcceptCallback = std::function<void(const std::string& handle, std::string_view refusal,
                                            double retry_after_s)>;

  virtual ~DurableJobs() = default;
  // Stores the job and calls `then` once it is replicated. A job with the same function and unique
  // id as a stored one is taken to be that job.
  virtual void Accept(DurableJob job, AcceptCallback then) = 0;
  // Returns the handle of the job with this function and unique id, or an empty string if this
  // process has none.
  virtual std::string Find(std::string_view function, std::string_view unique) const = 0;
  // Whether this process has the job.
  virtual bool Has(std::string_view handle) const = 0;
  // Runs the job at once, unless it is running, because a client now waits for its result.
  virtual void RunNow(const std::string& handle) = 0;
  // Whether this process still owns the job. Check it right before each action on the job's behalf,
  // since another process may have taken the job over.
  virtual bool MayAct(const std::string& handle) const = 0;
  // Reports that a run of the job has ended with `answer`.
  virtual void Complete(const std::string& handle, const FinalAnswer& answer) = 0;
};

// Runs durable jobs for the store; implemented by the front. Called on the loop's thread.
class DurableJobRunner {
 public:
  virtual ~DurableJobRunner() = default;
  // Starts a run of the job. The runner reports its end through DurableJobs::Complete.
  virtual void Run(const DurableJob& job) = 0;
  // Ends the run in this process without a call of Complete, since another process has taken the
  // job over.
  virtual void Abort(const std::string& handle) = 0;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_DURABLE_JOBS_H_
