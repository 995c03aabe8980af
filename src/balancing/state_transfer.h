// Transfers learned state from a process to the one that replaces it in a hot restart. Requests and
// slots in flight are not included: the old process reports them while it runs. The order, types
// and layout of all visited fields are fixed, because builds before and after a change must read
// each other's state.
#ifndef MILLETHOLLOW_BALANCING_STATE_TRANSFER_H_
#define MILLETHOLLOW_BALANCING_STATE_TRANSFER_H_

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balancing/support.h"

namespace millethollow::balancing {

// Visits, saves and restores the learned state of a LoadBalancerImpl.
struct StateTransfer {
  // Calls `visitor` with all fields, in a fixed order.
  template <typename LoadBalancerImpl, typename Visitor>
  static void Visit(LoadBalancerImpl& balancer, Visitor& visitor) {
    visitor(balancer.fleet_rate_.rate_rps_, balancer.worker_rate_rps_, balancer.has_measured_,
            balancer.own_rates_, balancer.tier_mean_rates_, balancer.estimates_.memory_per_slot_,
            balancer.estimates_.all_run_, balancer.estimates_.class_hint_fit_,
            balancer.estimates_.prompt_starts_, balancer.estimates_.class_run_time_,
            balancer.admission_.buckets_, balancer.estimates_.kind_slowdown_,
            balancer.estimates_.kind_slots_, balancer.estimates_.kind_max_slots_,
            balancer.estimates_.group_wait_s_, balancer.estimates_.group_success_,
            balancer.workers_.mean_slot_limit_, balancer.hedge_budget_.available_,
            balancer.hedge_budget_.per_attempt_, balancer.shed_budget_.available_,
            balancer.workers_.workers_);
  }

  // Returns the learned state, for Restore.
  template <typename LoadBalancerImpl>
  static std::string Save(LoadBalancerImpl& balancer) {
    StateWriter writer;
    Visit(balancer, writer);
    return std::move(writer.output);
  }

  // Restores the complete state, or nothing if the text is damaged or was saved under settings of
  // another form. `classes` maps each class to its index in the saved state; -1: none.
  template <typename LoadBalancerImpl>
  static bool Restore(std::string_view text, const std::vector<int>& classes,
                      LoadBalancerImpl* balancer) {
    LoadBalancerImpl restored(*balancer);
    StateReader reader{text};
    Visit(restored, reader);
    const auto tenant_count = static_cast<std::size_t>(balancer->tenant_count_);
    const std::size_t saved_class_count = restored.estimates_.class_run_time_.size();
    if (!reader.valid || !reader.input.empty() ||
        restored.admission_.buckets_.size() != saved_class_count * tenant_count ||
        restored.estimates_.class_hint_fit_.size() != saved_class_count ||
        restored.own_rates_.size() != balancer->own_rates_.size() ||
        restored.tier_mean_rates_.size() != balancer->tier_mean_rates_.size() ||
        restored.estimates_.group_wait_s_.size() != balancer->estimates_.group_wait_s_.size() ||
        restored.estimates_.group_success_.size() != balancer->estimates_.group_success_.size() ||
        restored.estimates_.kind_slowdown_.size() != balancer->estimates_.kind_slowdown_.size() ||
        restored.estimates_.kind_slots_.size() != balancer->estimates_.kind_slots_.size() ||
        restored.estimates_.kind_max_slots_.size() != balancer->estimates_.kind_max_slots_.size()) {
      return false;
    }
    auto class_run_times = balancer->estimates_.class_run_time_;
    auto class_hint_fits = balancer->estimates_.class_hint_fit_;
    auto buckets = balancer->admission_.buckets_;
    for (std::size_t class_index = 0;
         class_index < class_run_times.size() && class_index < classes.size(); ++class_index) {
      if (classes[class_index] < 0 || ToIndex(classes[class_index]) >= saved_class_count) continue;
      class_run_times[class_index] =
          restored.estimates_.class_run_time_[ToIndex(classes[class_index])];
      class_hint_fits[class_index] =
          restored.estimates_.class_hint_fit_[ToIndex(classes[class_index])];
      std::copy_n(
          restored.admission_.buckets_.begin() + classes[class_index] * balancer->tenant_count_,
          tenant_count, buckets.begin() + static_cast<std::ptrdiff_t>(class_index * tenant_count));
    }
    restored.estimates_.class_run_time_ = std::move(class_run_times);
    restored.estimates_.class_hint_fit_ = std::move(class_hint_fits);
    restored.admission_.buckets_ = std::move(buckets);
    for (int worker_index = 0; worker_index < restored.workers_.size(); ++worker_index) {
      restored.workers_.index_.emplace(restored.workers_[worker_index].name, worker_index);
    }
    *balancer = std::move(restored);
    return true;
  }
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_STATE_TRANSFER_H_
