// Stands between whoever carries out decisions (the node's planner, the adapter) and the decision
// module, and plays the scheduler's part in them: the module is asked with the room that is left
// to a job, and jobs that it puts on hold wait here until the scheduler finds room.
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

class SchedulingBalancer final : private balancing::CapacityReservations {
 public:
  SchedulingBalancer(const balancing::Settings& settings, std::uint64_t seed,
                     const Options& options);

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
  // Bounds change at once and hold for jobs that wait already; whether it is on at all does not.
  void Configure(const Options& options);
  // Which classes `reserving_classes` means.
  void NameClasses(std::vector<std::string> names);
  const Scheduler& scheduler() const { return scheduler_; }
  std::size_t open_jobs() const { return jobs_.size(); }

 private:
  struct Attempt {
    std::size_t worker = 0;
    double sent_at = 0, began_at = -1;
    bool open = true;
  };
  struct Known {
    Job job;
    std::vector<Attempt> attempts;
    bool ended = false;
  };
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>()(s); }
  };
  using Jobs = std::unordered_map<std::string, Known, TextHash, std::equal_to<>>;

  Candidate FindWorker(std::string_view job) override;
  bool HasCapacityFor(std::string_view job, std::string_view worker) override;
  bool MayReserve(int cls) const override {
    return options_.max_reserved_fleet_share > 0 && MayHold(cls);
  }
  double ReservedSlots(std::string_view worker) const override;

  void Note(const balancing::Event& event);
  void Arrived(const balancing::RequestArrived& e);
  void Ended(const balancing::AttemptEnded& e);
  void Ask(const balancing::Event& event, balancing::Actions* actions);
  void Finish(Jobs::iterator it);
  void Drop(Jobs::iterator it);
  void Sync();
  void Reported(int worker, const double (&report)[4]);
  int WorkerOf(std::string_view name) const;
  bool MayHold(int cls) const;

  Options options_;
  balancing::Settings settings_;
  balancing::LoadBalancer balancer_;
  Scheduler scheduler_;
  double now_ = 0;
  std::uint64_t seen_version_ = 0, last_handle_ = 0;
  // By the module's order.
  struct Worker {
    std::string name;
    int kind = 0;
    double others = 0, others_before = 0, others_at = 0;  // by peers: now, and a while ago
  };
  std::vector<Worker> workers_;
  CapacityEstimator capacity_;
  std::unordered_map<std::string, int, TextHash, std::equal_to<>> index_;
  Jobs jobs_;
  std::unordered_map<scheduling::Handle, std::string> ids_;
  std::deque<std::string> no_room_;  // found the waiting room full
  std::vector<std::string> class_names_;
  bool ticking_ = false;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_SCHEDULING_BALANCER_H_
