// A planner with its real modules, on a virtual clock, with workers that do as they are told.
#ifndef MILLETHOLLOW_BENCH_SCALE_PLANNER_FIXTURE_H_
#define MILLETHOLLOW_BENCH_SCALE_PLANNER_FIXTURE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/planner.h"

namespace millethollow::scale {

class PlannerFixture final : private ForwarderPort, private PlannerEnvironment {
 public:
  PlannerFixture(int workers, std::uint64_t seed);

  // Hands over one job; it stays at its worker. Its number, or 0 where it was not sent at once.
  RequestId Take(int cls = 0, const std::string& key = "");
  // The worker tells of the job's start and then of its end, and the client has its answer.
  void Serve(RequestId id);
  void Begin(RequestId id) { planner_->OnAttemptStarted(id, 0); }
  // One worker leaves the list or comes back to it, turn by turn.
  void ChangeWorkers(int count);
  // Lets time go by; whatever is due runs.
  void Advance(double seconds);

  Planner& planner() { return *planner_; }
  std::uint64_t refused() const { return refused_; }
  std::uint64_t answered() const { return answered_; }

 private:
  void Send(RequestId id, int attempt, const std::string& worker) override;
  void Cancel(RequestId id, int attempt) override;
  void Probe(const std::string& worker) override;
  void Answer(RequestId id, const FinalAnswer& answer) override;

  double Now() override { return now_; }

  double now_ = 1000;
  Deadlines deadlines_;
  Counters counters_;
  std::vector<balancing::Endpoint> members_;
  std::unique_ptr<Planner> planner_;
  std::uint64_t forwarder_ = 0, last_id_ = 0;
  std::size_t next_change_ = 0;
  RequestId last_sent_ = 0;
  std::uint64_t refused_ = 0, answered_ = 0;
};

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_PLANNER_FIXTURE_H_
