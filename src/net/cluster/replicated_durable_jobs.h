// Durable jobs kept in the replicated logs of the cluster: joins the decisions of
// copies::DurableJobQueue with the logs that this member acts on and the front that runs the jobs.
#ifndef MILLETHOLLOW_NET_CLUSTER_REPLICATED_DURABLE_JOBS_H_
#define MILLETHOLLOW_NET_CLUSTER_REPLICATED_DURABLE_JOBS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "copies/durable_job_queue.h"
#include "core/durable_jobs.h"
#include "core/planner_environment.h"
#include "net/cluster/member.h"
#include "net/loop.h"

namespace millethollow::cluster {

// Does not own the loop, the member or the runner. All calls and callbacks are on the loop's
// thread.
class ReplicatedDurableJobs final : public DurableJobs {
 public:
  // `name`: of this node; the handles that it issues begin with it. `number`: unique to this
  // process. The member must have a store.
  ReplicatedDurableJobs(Loop* loop, Member* member, const copies::DurableJobQueue::Limits& limits,
                        std::string name, std::uint64_t number);
  ~ReplicatedDurableJobs() override;
  ReplicatedDurableJobs(const ReplicatedDurableJobs&) = delete;
  ReplicatedDurableJobs& operator=(const ReplicatedDurableJobs&) = delete;

  // Without a runner, each round ends as rejected and is repeated later.
  void SetRunner(DurableJobRunner* runner) { runner_ = runner; }
  // Starts no further rounds.
  void Stop() { jobs_.Stop(); }
  // Whether all rounds have ended and the ends of jobs are committed.
  bool Idle() const { return jobs_.Idle(); }

  // DurableJobs:
  void Accept(DurableJob job, AcceptCallback then) override;
  std::string Find(std::string_view function, std::string_view unique) const override;
  bool Has(std::string_view handle) const override { return jobs_.Has(std::string(handle)); }
  void RunNow(const std::string& handle) override;
  bool MayAct(const std::string& handle) const override { return jobs_.MayAct(handle); }
  void Complete(const std::string& handle, const FinalAnswer& answer) override;

  // Records that the job is about to be sent to a worker, as AttemptRecorder::Record. Calls `then`
  // with whether it may be sent. An attempt at an idempotent job is not recorded.
  void RecordAttempt(const AttemptRecorder::Attempt& attempt, AttemptRecorder::DoneCallback then);
  std::string Metrics() const;  // one a line, in the format of GET /stats

 private:
  void Run(const copies::DurableJobQueue::Round& round);
  void ScheduleTick();

  Loop* loop_;
  Member* member_;
  std::string name_;
  std::uint64_t process_number_;
  DurableJobRunner* runner_ = nullptr;
  copies::DurableJobQueue jobs_;
  Deadlines::TimerId tick_timer_ = Deadlines::kNone;
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_REPLICATED_DURABLE_JOBS_H_
