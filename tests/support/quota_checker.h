// Checks the invariants on admitted rates: the sum over all processes is at most the quota, and
// each process has its floor rate. Uses only the true time, the rate that each process would admit
// then, and the quotas that it has.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_QUOTA_CHECKER_H_
#define MILLETHOLLOW_TESTS_SUPPORT_QUOTA_CHECKER_H_

#include <algorithm>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace millethollow::quota {

// Rates in requests per second, times in seconds of true time.
class QuotaChecker {
 public:
  // A lowered quota must hold this long after the last process had the higher one.
  static constexpr double kLoweredWithinSeconds = 9;
  static constexpr double kTolerance = 1e-6;
  // The rate of a tenant that a process would admit now, by its own clock; 0 if it does not run.
  using RateOf = std::function<double(std::size_t process, std::size_t tenant)>;

  QuotaChecker(std::size_t processes, std::vector<double> quotas, double floor_fraction,
               RateOf rate_of)
      : floor_fraction_(floor_fraction),
        rate_of_(std::move(rate_of)),
        version_at_(processes, kNoVersion),
        last_rates_(processes, std::vector<double>(quotas.size(), 0)),
        rate_sums_(quotas.size(), 0),
        bounds_(quotas.size(), 0) {
    AddVersion(std::move(quotas));
  }

  // Adds a version of the quotas, which no process has yet.
  void AddVersion(std::vector<double> quotas) { versions_.push_back({std::move(quotas), 0, 0}); }
  // The process has this version of the quotas now; kNoVersion: it has ended.
  static constexpr std::size_t kNoVersion = std::numeric_limits<std::size_t>::max();
  void SetVersion(double now, std::size_t process, std::size_t version) {
    const std::size_t before = version_at_[process];
    if (before != kNoVersion) {
      versions_[before].processes -= 1;
      versions_[before].last_in_force = now;
    }
    if (version != kNoVersion) versions_[version].processes += 1;
    version_at_[process] = version;
    RefreshBounds(now);
  }

  // To be called after each event at a process. Between its events a rate can only fall, so the sum
  // of the last known rates is an upper bound of the true sum: only if it exceeds the quota are all
  // rates read again.
  void Check(double now, std::size_t process) {
    if (now > bounds_valid_until_) RefreshBounds(now);
    for (std::size_t tenant = 0; tenant < bounds_.size(); ++tenant) {
      const double rate = rate_of_(process, tenant);
      CheckProcess(now, process, tenant, rate);
      rate_sums_[tenant] += rate - last_rates_[process][tenant];
      last_rates_[process][tenant] = rate;
      if (rate_sums_[tenant] > bounds_[tenant] + kTolerance) CheckSum(now, tenant);
    }
  }
  // Reads and checks the rates of all tenants at all processes.
  void CheckAll(double now) {
    RefreshBounds(now);
    for (std::size_t tenant = 0; tenant < bounds_.size(); ++tenant) CheckSum(now, tenant);
  }

  double Floor(std::size_t process, std::size_t tenant) const {
    const double quota = versions_[version_at_[process]].quotas[tenant];
    return floor_fraction_ * quota / static_cast<double>(last_rates_.size());
  }
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t sums_checked() const { return sums_checked_; }

 private:
  struct Version {
    std::vector<double> quotas;
    std::size_t processes = 0;  // number that have it now
    double last_in_force = 0;
  };

  void RefreshBounds(double now) {
    std::fill(bounds_.begin(), bounds_.end(), 0);
    bounds_valid_until_ = std::numeric_limits<double>::infinity();
    for (const Version& version : versions_) {
      const double until = version.last_in_force + kLoweredWithinSeconds;
      if (version.processes == 0 && now > until) continue;
      if (version.processes == 0) bounds_valid_until_ = std::min(bounds_valid_until_, until);
      for (std::size_t tenant = 0; tenant < bounds_.size(); ++tenant) {
        bounds_[tenant] = std::max(bounds_[tenant], version.quotas[tenant]);
      }
    }
  }

  void CheckProcess(double now, std::size_t process, std::size_t tenant, double rate) {
    if (version_at_[process] == kNoVersion) return;
    if (!(rate >= Floor(process, tenant) - kTolerance)) {
      ReportViolation(
          now, tenant,
          "process " + std::to_string(process + 1) + " admits less than its floor rate");
    }
    if (!(rate <= versions_[version_at_[process]].quotas[tenant] + kTolerance)) {
      ReportViolation(now, tenant,
                      "process " + std::to_string(process + 1) + " admits more than the quota");
    }
  }

  void CheckSum(double now, std::size_t tenant) {
    sums_checked_ += 1;
    double sum = 0;
    for (std::size_t process = 0; process < last_rates_.size(); ++process) {
      last_rates_[process][tenant] = rate_of_(process, tenant);
      sum += last_rates_[process][tenant];
    }
    rate_sums_[tenant] = sum;
    if (sum <= bounds_[tenant] + kTolerance) return;
    ReportViolation(
        now, tenant,
        "the rates sum to " + std::to_string(sum) + " of " + std::to_string(bounds_[tenant]));
  }

  void ReportViolation(double now, std::size_t tenant, const std::string& description) {
    violations_.push_back("at " + std::to_string(now) + " s, tenant " + std::to_string(tenant) +
                          ": " + description);
  }

  double floor_fraction_;
  RateOf rate_of_;
  std::vector<Version> versions_;
  std::vector<std::size_t> version_at_;          // by process
  std::vector<std::vector<double>> last_rates_;  // rates, by process and tenant
  std::vector<double> rate_sums_;                // sums of those, by tenant
  std::vector<double> bounds_;                   // by tenant
  double bounds_valid_until_ = 0;
  std::uint64_t sums_checked_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_TESTS_SUPPORT_QUOTA_CHECKER_H_
