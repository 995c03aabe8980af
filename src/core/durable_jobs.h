// Durable jobs: background jobs that are run to their end although no client waits, by whichever
// process survives. The interface between a front, which takes them in and runs them, and the store
// that replicates them over the cluster.
#ifndef MILLETHOLLOW_CORE_DURABLE_JOBS_H_
#define MILLETHOLLOW_CORE_DURABLE_JOBS_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/request.h"

namespace millethollow {

struct DurableJob {
  std::string handle;   // never used again in the cluster
  std::string wire_id;  // new for each run: a worker takes an id once
  std::string function, unique, class_name, tenant, body;
  int priority = 1;  // 0 high, 1 normal, 2 low
  std::vector<PriorAttempt> prior_attempts;
};

// The store. All calls and callbacks are on the loop's thread.
class DurableJobs {
 public:
  // With an empty `refusal` the job is durable, under that handle. Else it is not kept: `refusal`
  // is a reason for the log, and `retry_after_s` when to try again.
  using Then = std::function<void(const std::string& handle, std::string_view refusal,
                                  double retry_after_s)>;

  virtual ~DurableJobs() = default;
  // Calls `then` once it is replicated. A job with the function and unique id of another one here
  // is the same job.
  virtual void Accept(DurableJob job, Then then) = 0;
  // The handle of the job with these; empty: none here.
  virtual std::string Find(std::string_view function, std::string_view unique) const = 0;
  virtual bool Has(std::string_view handle) const = 0;
  // A client waits for it now: runs it at once unless it runs already.
  virtual void RunNow(const std::string& handle) = 0;
  // Whether this process may act for the job. To be asked right before each action, since another
  // process may have taken the job over.
  virtual bool MayAct(const std::string& handle) const = 0;
  // A run of it has ended.
  virtual void Complete(const std::string& handle, const FinalAnswer& answer) = 0;
};

// The front, as the store sees it.
class DurableJobRunner {
 public:
  virtual ~DurableJobRunner() = default;
  // Ends with DurableJobs::Complete.
  virtual void Run(const DurableJob& job) = 0;
  // Another process has taken the job over: ends the run here, without Complete.
  virtual void Abort(const std::string& handle) = 0;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_DURABLE_JOBS_H_
