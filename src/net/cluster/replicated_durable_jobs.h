// Promised jobs in this process: carries between the decisions of copies::DurableJobQueue, the logs
// that this member acts on, and the front that runs the jobs.
#ifndef MILLETHOLLOW_NET_CLUSTER_REPLICATED_DURABLE_JOBS_H_
#define MILLETHOLLOW_NET_CLUSTER_REPLICATED_DURABLE_JOBS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "copies/durable_job_queue.h"
#include "core/durable_jobs.h"
#include "net/cluster/member.h"
#include "net/loop.h"

namespace millethollow::cluster {

class ReplicatedDurableJobs final : public DurableJobs {
 public:
  // `name`: of this node, the beginning of the handles that it gives; `number`: no other process's.
  ReplicatedDurableJobs(Loop* loop, Member* member, const copies::DurableJobQueue::Limits& limits,
                        std::string name, std::uint64_t number);
  ~ReplicatedDurableJobs() override;
  ReplicatedDurableJobs(const ReplicatedDurableJobs&) = delete;
  ReplicatedDurableJobs& operator=(const ReplicatedDurableJobs&) = delete;

  void SetRunner(DurableJobRunner* runner) { runner_ = runner; }
  // Nothing new is begun. Idle(): all that was begun has ended, and is written down.
  void Stop() { jobs_.Stop(); }
  bool Idle() const { return jobs_.Idle(); }

  // Promises
  void Accept(DurableJob job, Then then) override;
  std::string Find(std::string_view function, std::string_view unique) const override;
  bool Has(std::string_view handle) const override { return jobs_.Has(std::string(handle)); }
  void RunNow(const std::string& handle) override;
  bool MayAct(const std::string& handle) const override { return jobs_.MayAct(handle); }
  void Complete(const std::string& handle, const FinalAnswer& answer) override;

  // For the planner: as AttemptRecorder::Record.
  void RecordAttempt(const std::string& handle, const std::string& worker, bool own,
                     bool repeatable, std::function<void(bool)> then);
  std::string Metrics() const;

 private:
  void Run(const copies::DurableJobQueue::Round& round);
  void Arm();

  Loop* loop_;
  Member* member_;
  std::string name_;
  std::uint64_t number_;
  DurableJobRunner* runner_ = nullptr;
  copies::DurableJobQueue jobs_;
  Deadlines::Ticket tick_ = Deadlines::kNone;
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_REPLICATED_DURABLE_JOBS_H_
