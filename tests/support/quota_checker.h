// The promise on the sum of rates, checked from outside: it sees the true time, what each living
// process would admit at that moment and which quotas are in force where, and nothing else.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_QUOTA_CHECKER_H_
#define MILLETHOLLOW_TESTS_SUPPORT_QUOTA_CHECKER_H_

#include <algorithm>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace millethollow::quota {

class QuotaChecker {
 public:
  // A lowered quota binds this long after the higher one was last in force at any process.
  static constexpr double kLoweredWithinSeconds = 9;
  static constexpr double kTolerance = 1e-6;
  // What a process would admit of a tenant now, by its own clock; 0 for one that is not there.
  using RateOf = std::function<double(std::size_t process, std::size_t tenant)>;

  QuotaChecker(std::size_t processes, std::vector<double> quotas, double floor_fraction,
               RateOf rate_of)
      : floor_fraction_(floor_fraction),
        rate_of_(std::move(rate_of)),
        version_at_(processes, kNone),
        seen_(processes, std::vector<double>(quotas.size(), 0)),
        most_(quotas.size(), 0),
        bounds_(quotas.size(), 0) {
    AddVersion(std::move(quotas));
  }

  // Quotas that the settings have from now on; no process has them yet.
  void AddVersion(std::vector<double> quotas) { versions_.push_back({std::move(quotas), 0, 0}); }
  // The process has these quotas now; kNone: it is gone.
  static constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();
  void InForce(double now, std::size_t process, std::size_t version) {
    const std::size_t before = version_at_[process];
    if (before != kNone) {
      versions_[before].processes -= 1;
      versions_[before].last_in_force = now;
    }
    if (version != kNone) versions_[version].processes += 1;
    version_at_[process] = version;
    RefreshBounds(now);
  }

  // To be called after each event at a process. Without one a rate only falls, so the sum of what
  // was seen last is never below the true sum, and only where it is too high all are asked anew.
  void Check(double now, std::size_t process) {
    if (now > bounds_until_) RefreshBounds(now);
    for (std::size_t tenant = 0; tenant < bounds_.size(); ++tenant) {
      const double rate = rate_of_(process, tenant);
      CheckProcess(now, process, tenant, rate);
      most_[tenant] += rate - seen_[process][tenant];
      seen_[process][tenant] = rate;
      if (most_[tenant] > bounds_[tenant] + kTolerance) CheckSum(now, tenant);
    }
  }
  // All tenants, all processes, whatever was seen before.
  void CheckAll(double now) {
    RefreshBounds(now);
    for (std::size_t tenant = 0; tenant < bounds_.size(); ++tenant) CheckSum(now, tenant);
  }

  double Floor(std::size_t process, std::size_t tenant) const {
    const double quota = versions_[version_at_[process]].quotas[tenant];
    return floor_fraction_ * quota / static_cast<double>(seen_.size());
  }
  const std::vector<std::string>& broken() const { return broken_; }
  std::uint64_t sums_checked() const { return sums_checked_; }

 private:
  struct Version {
    std::vector<double> quotas;
    std::size_t processes = 0;  // that have it now
    double last_in_force = 0;
  };

  void RefreshBounds(double now) {
    std::fill(bounds_.begin(), bounds_.end(), 0);
    bounds_until_ = std::numeric_limits<double>::infinity();
    for (const Version& version : versions_) {
      const double until = version.last_in_force + kLoweredWithinSeconds;
      if (version.processes == 0 && now > until) continue;
      if (version.processes == 0) bounds_until_ = std::min(bounds_until_, until);
      for (std::size_t tenant = 0; tenant < bounds_.size(); ++tenant) {
        bounds_[tenant] = std::max(bounds_[tenant], version.quotas[tenant]);
      }
    }
  }

  void CheckProcess(double now, std::size_t process, std::size_t tenant, double rate) {
    if (version_at_[process] == kNone) return;
    if (!(rate >= Floor(process, tenant) - kTolerance)) {
      Broken(now, tenant, "process " + std::to_string(process + 1) + " is under its floor");
    }
    if (!(rate <= versions_[version_at_[process]].quotas[tenant] + kTolerance)) {
      Broken(now, tenant, "process " + std::to_string(process + 1) + " is over the whole quota");
    }
  }

  void CheckSum(double now, std::size_t tenant) {
    sums_checked_ += 1;
    double sum = 0;
    for (std::size_t process = 0; process < seen_.size(); ++process) {
      seen_[process][tenant] = rate_of_(process, tenant);
      sum += seen_[process][tenant];
    }
    most_[tenant] = sum;
    if (sum <= bounds_[tenant] + kTolerance) return;
    Broken(now, tenant,
           "the rates come to " + std::to_string(sum) + " of " + std::to_string(bounds_[tenant]));
  }

  void Broken(double now, std::size_t tenant, const std::string& what) {
    broken_.push_back("at " + std::to_string(now) + " s, tenant " + std::to_string(tenant) + ": " +
                      what);
  }

  double floor_fraction_;
  RateOf rate_of_;
  std::vector<Version> versions_;
  std::vector<std::size_t> version_at_;    // by process
  std::vector<std::vector<double>> seen_;  // rates, by process and tenant
  std::vector<double> most_;               // sums of those, by tenant
  std::vector<double> bounds_;             // by tenant
  double bounds_until_ = 0;
  std::uint64_t sums_checked_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_TESTS_SUPPORT_QUOTA_CHECKER_H_
