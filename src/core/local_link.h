// The link between a forwarder and a planner in the same process.
#ifndef MILLETHOLLOW_CORE_LOCAL_LINK_H_
#define MILLETHOLLOW_CORE_LOCAL_LINK_H_

#include <cstdint>
#include <string>

#include "core/planner.h"
#include "core/planner_link.h"

namespace millethollow {

// Passes a forwarder's events on as direct calls of the planner. Used on the loop's thread.
class LocalLink final : public PlannerLink {
 public:
  // `forwarder`: the number that Planner::AddForwarder returned. `planner` must outlive the link.
  LocalLink(Planner* planner, std::uint64_t forwarder) : planner_(planner), forwarder_(forwarder) {}

  void OnRequest(const Request& request) override { planner_->OnRequest(request); }
  void OnRequestCancelled(RequestId id) override { planner_->OnRequestCancelled(id); }
  void OnAttemptStarted(RequestId id, int attempt) override {
    planner_->OnAttemptStarted(id, attempt);
  }
  void OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome) override {
    planner_->OnAttemptEnded(id, attempt, outcome);
  }
  void OnProbeAnswered(const std::string& worker, const Outcome& outcome) override {
    planner_->OnProbeAnswered(worker, outcome);
  }
  void OnWorkerChanged(const balancing::Endpoint& endpoint) override {
    planner_->OnLocalWorkerChanged(forwarder_, endpoint);
  }

 private:
  Planner* planner_;
  std::uint64_t forwarder_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_LOCAL_LINK_H_
