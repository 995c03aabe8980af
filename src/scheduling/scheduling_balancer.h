// The balancer combined with the scheduler, for callers that execute its actions (a node's planner,
// the simulator's adapter). The balancer places a request at a worker where the scheduler finds
// capacity for it. Requests for which there is none wait in the scheduler's queue until they may
// start.
//
// If scheduling is off, all events and actions pass through unchanged.
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

// Not thread-safe. No I/O and no clock: times are passed in, in seconds.
class SchedulingBalancer final : private balancing::CapacityReservations {
 public:
  SchedulingBalancer(const balancing::Settings& settings, std::uint64_t seed,
                     const Options& options);

  // Handles the event and appends the resulting actions. `now_s` must not go backwards.
  void Handle(double now_s, const balancing::Event& event, balancing::Actions* actions);
  // The following functions call the same function of the balancer.
  bool Excludes(std::string_view worker) const { return balancer_.Excludes(worker); }
  std::vector<balancing::WorkerView> Workers() const { return balancer_.Workers(); }
  std::string SaveState() const { return balancer_.SaveState(); }
  std::uint64_t RejectedPeerMessages() const { return balancer_.RejectedPeerMessages(); }
  void SetFleetShare(const balancing::FleetShare& share) { balancer_.SetFleetShare(share); }
  bool RestoreState(std::string_view text, const std::vector<int>& classes) {
    return balancer_.RestoreState(text, classes);
  }

  // Whether scheduling is on.
  bool on() const { return options_.on; }
  // Applies new limits at once, to queued jobs too. Does not turn scheduling on or off.
  void Configure(const Options& options);
  // Sets the names of the classes by index, for Options::reserving_classes.
  void SetClassNames(std::vector<std::string> names);
  const Scheduler& scheduler() const { return scheduler_; }
  // Number of requests that are not answered yet or have an open attempt.
  std::size_t open_jobs() const { return jobs_.size(); }

 private:
  // Times are seconds on the caller's clock.
  struct Attempt {
    std::size_t worker = 0;
    double sent_at = 0, started_at = -1;  // -1: no start was reported
    bool open = true;
  };
  struct TrackedJob {
    Job job;
    std::vector<Attempt> attempts;
    bool ended = false;  // it has had its final answer, or its client has disconnected
  };
  struct StringHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  using Jobs = std::unordered_map<std::string, TrackedJob, StringHash, std::equal_to<>>;

  // CapacityReservations: called by the balancer while it places a request.
  Candidate FindWorker(std::string_view job) override;
  bool HasCapacityFor(std::string_view job, std::string_view worker) override;
  bool MayReserve(int class_index) const override {
    return options_.max_reserved_fleet_share > 0 && IsReservingClass(class_index);
  }
  double ReservedSlots(std::string_view worker) const override;

  void TrackEvent(const balancing::Event& event);
  void OnRequestArrived(const balancing::RequestArrived& event);
  void OnAttemptEnded(const balancing::AttemptEnded& event);
  void TrackAction(const balancing::Action& action);
  void StartQueued(balancing::Actions* actions);
  void OnAwaitCapacity(const std::string& id);
  void OnAttemptProgress(const balancing::AttemptProgress& event);
  WorkerState MakeWorkerState(const balancing::WorkerView& view) const;
  void Deliver(const balancing::Event& event, balancing::Actions* actions);
  void FinishJob(Jobs::iterator it);
  void EraseIfComplete(Jobs::iterator it);
  void SyncWorkers();
  void OnLoadReport(int worker, const double (&report)[4]);
  int FindWorkerIndex(std::string_view name) const;
  bool IsReservingClass(int class_index) const;

  Options options_;
  balancing::Settings settings_;
  balancing::LoadBalancer balancer_;
  Scheduler scheduler_;
  double now_ = 0;
  std::uint64_t synced_version_ = 0, last_handle_ = 0;
  struct Worker {
    std::string name;
    int kind = 0;
    // Slots in use by other nodes: now, and at the last update before `other_slots_updated_at`.
    double other_slots = 0, previous_other_slots = 0, other_slots_updated_at = 0;
  };
  std::vector<Worker> workers_;  // in the balancer's order
  CapacityEstimator capacity_estimator_;
  std::unordered_map<std::string, int, StringHash, std::equal_to<>> index_by_name_;
  Jobs jobs_;
  std::unordered_map<scheduling::JobHandle, std::string> id_by_handle_;
  std::deque<std::string> rejected_by_queue_;  // ids that are not reported to the balancer yet
  std::vector<std::string> class_names_;
  bool tick_timer_set_ = false;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_SCHEDULING_BALANCER_H_
