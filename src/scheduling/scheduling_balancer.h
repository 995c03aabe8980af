// The balancer with the scheduler in front of it, for whoever carries out its actions (a node's
// planner, the simulator's adapter). The balancer places a request where the scheduler has capacity
// for it; requests that find none wait in the scheduler's queue until they may start.
//
// With scheduling off every event and action passes through unchanged.
#ifndef MILLETHOLLOW_SCHEDULING_SCHEDULING_BALANCER_H_
#define MILLETHOLLOW_SCHEDULING_SCHEDULING_BALANCER_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "millethollow/balancing/load_balancer.h"
#include "scheduling/capacity_estimator.h"
#include "scheduling/scheduler.h"

namespace millethollow::scheduling {

// Not thread-safe. No I/O and no clock: times come with the calls, in seconds.
class SchedulingBalancer final : private balancing::CapacityReservations {
 public:
  SchedulingBalancer(const balancing::Settings& settings, std::uint64_t seed,
                     const Options& options);

  // Appends the actions that follow from the event. `now_s` must not fall.
  void Handle(double now_s, const balancing::Event& event, balancing::Actions* actions);
  bool Excludes(std::string_view worker) const { return balancer_.Excludes(worker); }
  std::vector<balancing::WorkerView> Workers() const { return balancer_.Workers(); }
  std::string SaveState() const { return balancer_.SaveState(); }
  std::uint64_t RejectedPeerMessages() const { return balancer_.RejectedPeerMessages(); }
  void SetFleetShare(const balancing::FleetShare& parts) { balancer_.SetFleetShare(parts); }
  bool RestoreState(std::string_view text, const std::vector<int>& classes) {
    return balancer_.RestoreState(text, classes);
  }

  bool on() const { return options_.on; }
  // New limits hold at once, for queued jobs too. Whether scheduling is on does not change.
  void Configure(const Options& options);
  // By index: what `reserving_classes` refers to.
  void SetClassNames(std::vector<std::string> names);
  const Scheduler& scheduler() const { return scheduler_; }
  std::size_t open_jobs() const { return jobs_.size(); }

 private:
  struct Attempt {
    std::size_t worker = 0;
    double sent_at = 0, started_at = -1;
    bool open = true;
  };
  struct TrackedJob {
    Job job;
    std::vector<Attempt> attempts;
    bool ended = false;
  };
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>()(s); }
  };
  using Jobs = std::unordered_map<std::string, TrackedJob, TextHash, std::equal_to<>>;

  // CapacityReservations: what the balancer asks while it places a request.
  Candidate FindWorker(std::string_view job) override;
  bool HasCapacityFor(std::string_view job, std::string_view worker) override;
  bool MayReserve(int cls) const override {
    return options_.max_reserved_fleet_share > 0 && IsReservingClass(cls);
  }
  double ReservedSlots(std::string_view worker) const override;

  void Observe(const balancing::Event& event);
  void OnRequest(const balancing::RequestArrived& e);
  void OnAttemptEnded(const balancing::AttemptEnded& e);
  void AfterAction(const balancing::Action& action);
  void StartQueued(balancing::Actions* actions);
  void OnAwaitCapacity(const std::string& id);
  void OnProgress(const balancing::AttemptProgress& e);
  WorkerState StateOf(const balancing::WorkerView& view) const;
  void Deliver(const balancing::Event& event, balancing::Actions* actions);
  void FinishJob(Jobs::iterator it);
  void EraseIfComplete(Jobs::iterator it);
  void SyncWorkers();
  void OnReport(int worker, const double (&report)[4]);
  int FindIndex(std::string_view name) const;
  bool IsReservingClass(int cls) const;

  Options options_;
  balancing::Settings settings_;
  balancing::LoadBalancer balancer_;
  Scheduler scheduler_;
  double now_ = 0;
  std::uint64_t seen_version_ = 0, last_handle_ = 0;
  // In the balancer's order.
  struct Worker {
    std::string name;
    int kind = 0;
    // Slots in use by other nodes: now, and at the last update before `others_at`.
    double others = 0, others_before = 0, others_at = 0;
  };
  std::vector<Worker> workers_;
  CapacityEstimator capacity_;
  std::unordered_map<std::string, int, TextHash, std::equal_to<>> index_;
  Jobs jobs_;
  std::unordered_map<scheduling::JobHandle, std::string> ids_;
  std::deque<std::string> rejected_by_queue_;  // ids the balancer must still hear of
  std::vector<std::string> class_names_;
  bool ticking_ = false;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_SCHEDULING_BALANCER_H_
