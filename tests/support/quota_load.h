// A steady load of two tenants on the nodes of a cluster, which records how much of the first
// tenant's quota was admitted, and when.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_QUOTA_LOAD_H_
#define MILLETHOLLOW_TESTS_SUPPORT_QUOTA_LOAD_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

#include "support/cluster_harness.h"
#include "support/peak_use.h"

namespace millethollow::cluster_test {

// Sends requests at a steady rate to each node and records when each was answered. The first tenant
// is the one that the rates are set for; the second sends kSecondTenantRps to each node that
// serves.
class QuotaLoad {
 public:
  static constexpr double kSecondTenantRps = 5;  // requests a second
  static constexpr double kWindowS = 5;          // of PeakOver

  // `quota_rps`: the first tenant's quota, which uses are fractions of.
  QuotaLoad(ClusterHarness* harness, double quota_rps);

  // Divides a rate, in requests a second, evenly over these nodes; the others get none.
  void SetRates(const std::vector<std::size_t>& nodes, double all_rps);
  void RunLoad(double span_s);
  // Runs until `done`; false on timeout.
  bool RunLoadUntil(const std::function<bool()>& done, double timeout_s);

  // The highest rate admitted within any kWindowS from `from` on, as a fraction of the quota,
  // without what token buckets saved while nothing was answered (PeakUse).
  double PeakOver(double from) const { return PeakOver(from, quota_rps_); }
  double PeakOver(double from, double quota_rps) const;
  // The fraction of the quota that was used from `from` to `until`.
  double Use(double from, double until) const;
  // Seconds from `from` until the use over 2 s first reaches `min_use`; negative if that takes
  // longer than `max_delay_s`.
  double RecoveryTime(double from, double max_delay_s, double min_use) const;
  // Prints the use by the second, in all and by node, and the pauses.
  void PrintUse(double from) const;

  // Requests of the first tenant that were neither served nor rejected, those that were rejected,
  // and requests of the second tenant that were rejected.
  std::size_t failed() const { return failed_; }
  std::size_t rejected() const { return rejected_; }
  std::size_t other_rejected() const { return other_rejected_; }

 private:
  struct OpenRequest {
    std::unique_ptr<RawClient> client;
    double sent_at = 0;
    bool of_second_tenant = false;
    std::size_t node = 0;
  };
  void Step();
  void Send(std::size_t node, double now, bool of_second_tenant);
  // Records the answer if there is one; false while the request is open.
  bool CollectAnswer(const OpenRequest& request, double now);
  // To be called for each answer.
  void RecordPause(double now);

  ClusterHarness* harness_;
  double quota_rps_;
  std::vector<double> rates_, due_, second_tenant_due_;
  double stepped_at_;
  double longest_step_s_ = 0;  // since the last answer
  double answered_at_ = 0;     // time of the last answer; 0 before the first
  std::vector<AnswerPause> pauses_;
  std::size_t sent_ = 0, rejected_ = 0, failed_ = 0, other_rejected_ = 0;
  std::list<OpenRequest> open_;
  std::vector<double> admitted_at_;
  std::map<std::size_t, std::vector<double>> admitted_at_by_node_;
};

}  // namespace millethollow::cluster_test

#endif  // MILLETHOLLOW_TESTS_SUPPORT_QUOTA_LOAD_H_
