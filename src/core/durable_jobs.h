// What a front needs of whoever keeps promises beyond this process (a cluster's copies), and what
// that needs of the front. No wire, no I/O.
#ifndef MILLETHOLLOW_CORE_DURABLE_JOBS_H_
#define MILLETHOLLOW_CORE_DURABLE_JOBS_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/request.h"

namespace millethollow {

// A job that is to be done though nobody waits for it.
struct DurableJob {
  std::string handle;   // unique in the cluster for ever
  std::string wire_id;  // of this round: a worker takes a name once
  std::string function, unique, cls, tenant, body;
  int priority = 1;  // 0 high, 1 normal, 2 low
  std::vector<PriorAttempt> tried;
};

class DurableJobs {
 public:
  // `refusal`: empty, and it is promised, under that handle; or a word for why not, with the time
  // (seconds) to come back after.
  using Then = std::function<void(const std::string& handle, std::string_view refusal,
                                  double retry_after_s)>;
  virtual ~DurableJobs() = default;
  // One of the same function and unique id that is promised already is the same job.
  virtual void Accept(DurableJob job, Then then) = 0;
  // The handle of a promised job; empty: none such here.
  virtual std::string Find(std::string_view function, std::string_view unique) const = 0;
  virtual bool Has(std::string_view handle) const = 0;
  // Somebody waits for it now: it is run at once if it does not run.
  virtual void RunNow(const std::string& handle) = 0;
  // May this process act for the job now? To be asked right before it does.
  virtual bool MayAct(const std::string& handle) const = 0;
  virtual void Complete(const std::string& handle, const FinalAnswer& answer) = 0;
};

class DurableJobRunner {
 public:
  virtual ~DurableJobRunner() = default;
  virtual void Run(const DurableJob& job) = 0;
  // It is another process's now: whatever is under way for it here is broken off.
  virtual void Abort(const std::string& handle) = 0;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_DURABLE_JOBS_H_
