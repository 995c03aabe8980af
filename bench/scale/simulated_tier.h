// Simulates a tier of dispatchers in one process: the real decision modules on a virtual clock, the
// messages between them, and workers that are modelled as slot counters.
#ifndef MILLETHOLLOW_BENCH_SCALE_SIMULATED_TIER_H_
#define MILLETHOLLOW_BENCH_SCALE_SIMULATED_TIER_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::scale {

// Load of one source: jobs at constant intervals, each submitted to a random dispatcher of a range
// for a random tenant of a range.
struct Demand {
  double jobs_per_s = 0;
  int first_dispatcher = 0, dispatcher_count = 1;
  int first_tenant = 0, tenants = 1;
};

// Cost of the dispatchers' decisions and reports since the last reset, summed over all of them.
struct ControlCost {
  std::uint64_t datagrams = 0, bytes = 0;  // Sent to peers.
  std::uint64_t oversized_messages = 0;    // Dropped: over kMaxPeerMessageBytes.
  double peer_nanoseconds = 0;             // Making and processing reports.
  double job_nanoseconds = 0;              // All other events.
};

// Runs the dispatchers, their workers and the network delays as one discrete-event simulation.
class SimulatedTier {
 public:
  struct Options {
    int dispatcher_count = 3, tenants = 13, workers = 25;
    double job_duration_s = 0.2;     // Running time of a job at a worker.
    std::vector<double> quotas_rps;  // Requests per second, by tenant.
    std::uint64_t seed = 1;
  };
  explicit SimulatedTier(const Options& options);

  // Replaces the demand of `source`, starting at the current virtual time.
  void SetDemand(std::size_t source, const Demand& demand);
  // Runs every call scheduled up to `until_s` and advances the clock to it, in seconds.
  void Run(double until_s);

  // Virtual time in seconds.
  double now() const { return now_; }
  const ControlCost& cost() const { return control_cost_; }
  void ResetCost() { control_cost_ = {}; }
  // Length in seconds of the slices by which admitted and served jobs are counted.
  static constexpr double kSliceS = 0.25;
  // Jobs of a tenant whose first attempt was sent in that time, with both bounds rounded to slices.
  double AdmittedBetween(int tenant, double from_s, double until_s) const;
  // Jobs of a tenant that were served in that time, with both bounds rounded to slices.
  double ServedBetween(int tenant, double from_s, double until_s) const;
  // Served jobs of all tenants in that time, with both bounds rounded to slices.
  double AllServedBetween(double from_s, double until_s) const;

 private:
  struct Attempt {
    int worker = 0;
    bool in_slot = false;
  };
  struct Job {
    int tenant = 0, dispatcher = 0;
    bool answered = false;
    std::vector<Attempt> attempts;
  };
  // Calls at the same time run in the order in which they were scheduled.
  struct ScheduledCall {
    double at_s = 0;
    std::uint64_t sequence = 0;
    std::function<void()> call;
    bool operator<(const ScheduledCall& other) const {
      return at_s != other.at_s ? at_s > other.at_s : sequence > other.sequence;
    }
  };
  struct Source {
    Demand demand;
    // Incremented by SetDemand; scheduled arrivals of an earlier generation are ignored.
    std::uint64_t generation = 0;
  };

  void Schedule(double at_s, std::function<void()> call);
  void Handle(int dispatcher, const balancing::Event& event, bool is_peer_traffic = false);
  void Execute(int dispatcher, const balancing::SendAttempt& send);
  void Execute(int dispatcher, const balancing::RejectRequest& rejection);
  void Execute(int dispatcher, const balancing::FailRequest& failure);
  void Execute(int dispatcher, const balancing::CancelAttempt& cancellation);
  void Execute(int dispatcher, const balancing::SetTimer& timer);
  void Execute(int dispatcher, const balancing::SendPeerMessage& peer_message);
  template <typename Other>
  void Execute(int, const Other&) {}  // Actions that the simulation does not model.
  int RandomInRange(int first, int count);
  void SubmitRequest(std::size_t source, std::uint64_t generation);
  void DeliverToWorker(std::size_t job_index, int attempt);
  void EndAttempt(std::size_t job_index, int attempt, balancing::AttemptStatus status);
  Job& FindJob(const std::string& id) { return jobs_[std::stoul(id)]; }
  void CountInSlice(std::vector<std::vector<double>>* slices, int tenant);
  static double SumBetween(const std::vector<double>& slices, double from_s, double until_s);

  Options options_;
  double now_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::priority_queue<ScheduledCall> scheduled_calls_;
  std::vector<balancing::Endpoint> endpoints_;
  std::vector<int> free_slots_by_worker_;
  std::vector<balancing::LoadBalancer> balancers_;
  std::vector<Job> jobs_;
  std::mt19937_64 random_;
  std::vector<Source> sources_;
  std::vector<std::vector<double>> admitted_, served_;  // Indexed by tenant, then slice.
  ControlCost control_cost_;
};

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_SIMULATED_TIER_H_
