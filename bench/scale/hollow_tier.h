// A tier of dispatchers in one process: their real decision modules on a virtual clock, with the
// messages between them, and workers that only count their slots.
#ifndef MILLETHOLLOW_BENCH_SCALE_HOLLOW_TIER_H_
#define MILLETHOLLOW_BENCH_SCALE_HOLLOW_TIER_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::scale {

// The jobs of one source: evenly spaced over all, each at a random dispatcher of a range and of a
// random tenant of a range.
struct Demand {
  double jobs_per_s = 0;
  int first_dispatcher = 0, dispatcher_count = 1;
  int first_tenant = 0, tenants = 1;
};

// What the dispatchers' control has cost since the last reset, over all of them.
struct ControlCost {
  std::uint64_t datagrams = 0, bytes = 0;  // sent to peers
  std::uint64_t too_long = 0;              // not sent, since a datagram holds less
  double peer_nanoseconds = 0;             // in reports made and heard
  double job_nanoseconds = 0;              // in all else
};

class HollowTier {
 public:
  struct Options {
    int dispatcher_count = 3, tenants = 13, workers = 25;
    double run_s = 0.2;
    std::vector<double> quotas_rps;  // by tenant
    std::uint64_t seed = 1;
  };
  explicit HollowTier(const Options& options);

  // From now on, in place of what was asked before under this number.
  void SetDemand(std::size_t source, const Demand& demand);
  void Run(double until);

  double now() const { return now_; }
  const ControlCost& cost() const { return cost_; }
  void ResetCost() { cost_ = {}; }
  // First sends and served jobs of a tenant in each slice of kSliceS since the start.
  static constexpr double kSliceS = 0.25;
  double AdmittedBetween(int tenant, double from, double until) const;
  double ServedBetween(int tenant, double from, double until) const;
  double AllServedBetween(double from, double until) const;

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
  struct Due {
    double at = 0;
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const Due& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Source {
    Demand demand;
    std::uint64_t life = 0;  // of this demand: what was planned for another is void
  };

  void At(double when, std::function<void()> what);
  void Handle(int dispatcher, const balancing::Event& event, bool of_peers = false);
  void Do(int dispatcher, const balancing::SendAttempt& send);
  void Do(int dispatcher, const balancing::RejectRequest& refuse);
  void Do(int dispatcher, const balancing::FailRequest& fail);
  void Do(int dispatcher, const balancing::CancelAttempt& cancel);
  void Do(int dispatcher, const balancing::SetTimer& timer);
  void Do(int dispatcher, const balancing::SendPeerMessage& tell);
  template <typename Other>
  void Do(int, const Other&) {}  // nothing that such a tier has
  int Draw(int first, int count);
  void Arrive(std::size_t source, std::uint64_t life);
  void Submit(std::size_t job, int attempt);
  void End(std::size_t job, int attempt, balancing::AttemptStatus verdict);
  Job& JobOf(const std::string& id) { return jobs_[std::stoul(id)]; }
  void Count(std::vector<std::vector<double>>* slices, int tenant);
  static double Between(const std::vector<double>& slices, double from, double until);

  Options options_;
  double now_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Due> queue_;
  std::vector<balancing::Endpoint> members_;
  std::vector<int> free_slots_;  // by worker
  std::vector<balancing::LoadBalancer> balancers_;
  std::vector<Job> jobs_;
  std::mt19937_64 random_;
  std::vector<Source> sources_;
  std::vector<std::vector<double>> admitted_, served_;  // by tenant, then slice
  ControlCost cost_;
};

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_HOLLOW_TIER_H_
