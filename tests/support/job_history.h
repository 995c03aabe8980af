// Promised jobs over a time of faults: what clients were told and what workers did, kept, and
// checked at the end.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_JOB_HISTORY_H_
#define MILLETHOLLOW_TESTS_SUPPORT_JOB_HISTORY_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/cluster_harness.h"

namespace millethollow::rig {

class JobHistory {
 public:
  JobHistory(ClusterHarness* harness, std::size_t workers) : harness_(harness), workers_(workers) {}

  std::set<std::string> served;  // bodies that a worker was done with

  // A background job to a node that runs. Its body names it.
  bool Submit(std::size_t node, bool charge) {
    if (!harness_->Serves(node)) return false;
    Asked& a = asked_.emplace_back();
    a.body = "job-" + std::to_string(asked_.size());
    a.charge = charge;
    a.node = node;
    a.at = harness_->now();
    a.peer = std::make_unique<GearmanPeer>(&harness_->loop(), harness_->gearman_address(node));
    a.peer->Send(gearman::Type::kSubmitJobBg, {charge ? "charge" : "look", "", a.body});
    return true;
  }
  bool SubmitAny() {
    return Submit(harness_->random().Below(harness_->size()), harness_->random().Below(2) == 0);
  }
  // Takes in what was answered.
  void Gather() {
    for (Asked& a : asked_) {
      if (!a.peer) continue;
      const auto created = a.peer->ResponsesOf(gearman::Type::kJobCreated),
                 refused = a.peer->ResponsesOf(gearman::Type::kError);
      const bool over = a.peer->ended || harness_->now() - a.at > kAnswerS;
      if (created.empty() && refused.empty() && !over) continue;
      if (!created.empty()) a.handle = created[0];
      if (!refused.empty()) a.refusal = refused[0].substr(refused[0].find('\0') + 1);
      a.latency_s = harness_->now() - a.at;
      a.peer.reset();
    }
  }
  bool AllAnswered() const {
    return std::none_of(asked_.begin(), asked_.end(),
                        [](const Asked& a) { return a.peer != nullptr; });
  }
  std::size_t asked() const { return asked_.size(); }
  std::size_t promised() const {
    return static_cast<std::size_t>(std::count_if(
        asked_.begin(), asked_.end(), [](const Asked& a) { return !a.handle.empty(); }));
  }
  const std::string& refusal(std::size_t n) const { return asked_[n].refusal; }
  const std::string& handle(std::size_t n) const { return asked_[n].handle; }
  double latency_s(std::size_t n) const { return asked_[n].latency_s; }
  // Jobs that the nodes which run still hold; -1 where one does not say.
  long Held() {
    long held = 0;
    for (std::size_t i = 0; i < harness_->size(); ++i) {
      if (!harness_->Serves(i)) continue;
      const long here = harness_->Figure(i, "app.cluster.jobs.held");
      if (here < 0) return -1;
      held += here;
    }
    return held;
  }
  // Each promise that was not kept, in words. To be asked when nothing is held any more.
  std::vector<std::string> Wrong() const {
    std::map<std::string, std::set<std::size_t>> cells;  // in which a job ran
    for (std::size_t w = 0; w < workers_; ++w) {
      for (const auto& got : harness_->worker(w).requests) cells[got.body].insert(w / 2);
    }
    std::string logs;
    for (std::size_t i = 0; i < harness_->size(); ++i) logs += harness_->LogOf(i);
    std::vector<std::string> wrong;
    for (const Asked& a : asked_) {
      const auto ran = cells.find(a.body);
      const std::string which =
          a.body + " (" + a.handle + ") at " + ClusterHarness::Name(a.node) + ": ";
      const bool failed =
          logs.find("job=" + a.handle + " function=" + (a.charge ? "charge" : "look") +
                    " tenant=andes ended=failed") != std::string::npos;
      const bool done = served.contains(a.body);
      if (!a.handle.empty() && !done && !failed)
        wrong.push_back(which + "promised, and no worker was done with it");
      if (!a.handle.empty() && !a.charge && failed)
        wrong.push_back(which + "one that may be made again failed");
      if (a.charge && ran != cells.end() && ran->second.size() > 1)
        wrong.push_back(which + "a charge ran in two cells");
    }
    return wrong;
  }

 private:
  static constexpr double kAnswerS = 12;
  struct Asked {
    std::string body, handle, refusal;
    std::size_t node = 0;
    bool charge = false;
    double at = 0, latency_s = 0;
    std::unique_ptr<GearmanPeer> peer;
  };
  ClusterHarness* harness_;
  std::size_t workers_;
  std::deque<Asked> asked_;
};

}  // namespace millethollow::rig

#endif  // MILLETHOLLOW_TESTS_SUPPORT_JOB_HISTORY_H_
