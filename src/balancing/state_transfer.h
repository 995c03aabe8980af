// Hands learned state from a process to the one that replaces it in a hot restart. Jobs and slots
// in flight are not included: the old process reports them while it runs. Order, types and layout
// of all that is visited are fixed: builds before and after must read each other.
#ifndef MILLETHOLLOW_BALANCING_STATE_TRANSFER_H_
#define MILLETHOLLOW_BALANCING_STATE_TRANSFER_H_

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balancing/support.h"

namespace millethollow::balancing {

struct StateTransfer {
  template <typename LoadBalancerImpl, typename Visitor>
  static void Visit(LoadBalancerImpl& b, Visitor& v) {
    v(b.fleet_rate_.rate_rps_, b.worker_rate_rps_, b.has_measured_, b.own_rates_,
      b.tier_mean_rates_, b.estimates_.memory_per_slot_, b.estimates_.all_run_,
      b.estimates_.class_hint_fit_, b.estimates_.prompt_starts_, b.estimates_.class_run_time_,
      b.admission_.buckets_, b.estimates_.kind_pace_, b.estimates_.kind_slots_,
      b.estimates_.kind_max_slots_, b.estimates_.group_wait_s_, b.estimates_.group_success_,
      b.workers_.mean_slot_limit_, b.hedge_budget_.available_, b.hedge_budget_.per_attempt_,
      b.shed_budget_.available_, b.workers_.workers_);
  }

  template <typename LoadBalancerImpl>
  static std::string Save(LoadBalancerImpl& balancer) {
    Saver saver;
    Visit(balancer, saver);
    return std::move(saver.out);
  }

  // Restores all of it or, where it is damaged or from settings of another form, nothing.
  template <typename LoadBalancerImpl>
  static bool Restore(std::string_view text, const std::vector<int>& classes,
                      LoadBalancerImpl* balancer) {
    LoadBalancerImpl other(*balancer);
    Loader loader{text};
    Visit(other, loader);
    const auto tenants = static_cast<std::size_t>(balancer->tenant_count_);
    const std::size_t theirs = other.estimates_.class_run_time_.size();
    if (!loader.ok || !loader.in.empty() || other.admission_.buckets_.size() != theirs * tenants ||
        other.estimates_.class_hint_fit_.size() != theirs ||
        other.own_rates_.size() != balancer->own_rates_.size() ||
        other.tier_mean_rates_.size() != balancer->tier_mean_rates_.size() ||
        other.estimates_.group_wait_s_.size() != balancer->estimates_.group_wait_s_.size() ||
        other.estimates_.group_success_.size() != balancer->estimates_.group_success_.size() ||
        other.estimates_.kind_pace_.size() != balancer->estimates_.kind_pace_.size() ||
        other.estimates_.kind_slots_.size() != balancer->estimates_.kind_slots_.size() ||
        other.estimates_.kind_max_slots_.size() != balancer->estimates_.kind_max_slots_.size()) {
      return false;
    }
    auto run = balancer->estimates_.class_run_time_;
    auto hinted = balancer->estimates_.class_hint_fit_;
    auto buckets = balancer->admission_.buckets_;
    for (std::size_t c = 0; c < run.size() && c < classes.size(); ++c) {
      if (classes[c] < 0 || Idx(classes[c]) >= theirs) continue;
      run[c] = other.estimates_.class_run_time_[Idx(classes[c])];
      hinted[c] = other.estimates_.class_hint_fit_[Idx(classes[c])];
      std::copy_n(other.admission_.buckets_.begin() + classes[c] * balancer->tenant_count_, tenants,
                  buckets.begin() + static_cast<std::ptrdiff_t>(c * tenants));
    }
    other.estimates_.class_run_time_ = std::move(run);
    other.estimates_.class_hint_fit_ = std::move(hinted);
    other.admission_.buckets_ = std::move(buckets);
    for (int w = 0; w < other.workers_.size(); ++w) {
      other.workers_.index_.emplace(other.workers_[w].name, w);
    }
    *balancer = std::move(other);
    return true;
  }
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_STATE_TRANSFER_H_
