// The history of durable jobs in a cluster test with faults: the answers that clients received and
// the workers that ran the jobs. The guarantees are checked at the end.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_JOB_HISTORY_H_
#define MILLETHOLLOW_TESTS_SUPPORT_JOB_HISTORY_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/cluster_harness.h"

namespace millethollow::cluster_test {

// Submits jobs to a cluster, and checks their history.
class JobHistory {
 public:
  JobHistory(ClusterHarness* harness, std::size_t workers) : harness_(harness), workers_(workers) {}

  std::set<std::string> completed_bodies;  // of jobs that a worker completed

  // Submits a background job, identified by its body. Returns false if the node does not serve.
  bool Submit(std::size_t node, bool charge) {
    if (!harness_->Serves(node)) return false;
    Submission& submission = submissions_.emplace_back();
    submission.body = "job-" + std::to_string(submissions_.size());
    submission.charge = charge;
    submission.node = node;
    submission.submitted_at = harness_->now();
    submission.peer =
        std::make_unique<GearmanPeer>(&harness_->loop(), harness_->gearman_address(node));
    submission.peer->Send(gearman::Type::kSubmitJobBg,
                          {charge ? "charge" : "look", "", submission.body});
    return true;
  }
  bool SubmitAny() {
    return Submit(harness_->random().Below(harness_->size()), harness_->random().Below(2) == 0);
  }
  // Records the answers that have arrived.
  void CollectAnswers() {
    for (Submission& submission : submissions_) {
      if (!submission.peer) continue;
      const auto created = submission.peer->ResponsesOf(gearman::Type::kJobCreated),
                 rejected = submission.peer->ResponsesOf(gearman::Type::kError);
      const bool timed_out =
          submission.peer->ended || harness_->now() - submission.submitted_at > kAnswerTimeoutS;
      if (created.empty() && rejected.empty() && !timed_out) continue;
      if (!created.empty()) submission.handle = created[0];
      if (!rejected.empty()) submission.rejection = rejected[0].substr(rejected[0].find('\0') + 1);
      submission.latency_s = harness_->now() - submission.submitted_at;
      submission.peer.reset();
    }
  }
  bool AllAnswered() const {
    return std::none_of(submissions_.begin(), submissions_.end(),
                        [](const Submission& submission) { return submission.peer != nullptr; });
  }
  std::size_t submitted() const { return submissions_.size(); }
  std::size_t accepted() const {
    return static_cast<std::size_t>(
        std::count_if(submissions_.begin(), submissions_.end(),
                      [](const Submission& submission) { return !submission.handle.empty(); }));
  }
  const std::string& rejection(std::size_t n) const { return submissions_[n].rejection; }
  const std::string& handle(std::size_t n) const { return submissions_[n].handle; }
  double latency_s(std::size_t n) const { return submissions_[n].latency_s; }
  // The number of jobs in the queues of all nodes that serve; -1 if a node does not report it.
  long HeldJobs() {
    long held = 0;
    for (std::size_t i = 0; i < harness_->size(); ++i) {
      if (!harness_->Serves(i)) continue;
      const long node_jobs = harness_->Metric(i, "app.cluster.jobs.held");
      if (node_jobs < 0) return -1;
      held += node_jobs;
    }
    return held;
  }
  // Describes each violated guarantee. To be called once no node has a job in its queue.
  std::vector<std::string> Violations() const {
    std::map<std::string, std::set<std::size_t>> cells;  // cells in which a job ran, by its body
    for (std::size_t worker = 0; worker < workers_; ++worker) {
      for (const auto& execution : harness_->worker(worker).requests)
        cells[execution.body].insert(worker / 2);
    }
    std::string logs;
    for (std::size_t i = 0; i < harness_->size(); ++i) logs += harness_->LogOf(i);
    std::vector<std::string> violations;
    for (const Submission& submission : submissions_) {
      const auto ran_in = cells.find(submission.body);
      const std::string description = submission.body + " (" + submission.handle + ") at " +
                                      ClusterHarness::Name(submission.node) + ": ";
      const bool failed = logs.find("job=" + submission.handle +
                                    " function=" + (submission.charge ? "charge" : "look") +
                                    " tenant=andes ended=failed") != std::string::npos;
      const bool completed = completed_bodies.contains(submission.body);
      if (!submission.handle.empty() && !completed && !failed)
        violations.push_back(description + "accepted, but no worker completed it");
      if (!submission.handle.empty() && !submission.charge && failed)
        violations.push_back(description + "a job that may be retried failed");
      if (submission.charge && ran_in != cells.end() && ran_in->second.size() > 1)
        violations.push_back(description + "an at-most-once job ran in two cells");
    }
    return violations;
  }

 private:
  static constexpr double kAnswerTimeoutS = 12;
  struct Submission {
    std::string body, handle, rejection;
    std::size_t node = 0;
    bool charge = false;
    double submitted_at = 0, latency_s = 0;
    std::unique_ptr<GearmanPeer> peer;
  };
  ClusterHarness* harness_;
  std::size_t workers_;
  std::deque<Submission> submissions_;
};

}  // namespace millethollow::cluster_test

#endif  // MILLETHOLLOW_TESTS_SUPPORT_JOB_HISTORY_H_
