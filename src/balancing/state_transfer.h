// What the decision module has learned, on its way from a process to the one that replaces it: not
// its jobs, nor their slots out, which the other tells of while it lives.
#ifndef MILLETHOLLOW_BALANCING_STATE_TRANSFER_H_
#define MILLETHOLLOW_BALANCING_STATE_TRANSFER_H_

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balancing/support.h"

namespace millethollow::balancing {

struct Carry {
  template <typename LoadBalancerImpl, typename Visitor>
  static void Visit(LoadBalancerImpl& b, Visitor& v) {
    v(b.rate_, b.carried_, b.measured_, b.own_, b.mean_, b.memory_, b.all_run_, b.hinted_,
      b.prompt_, b.run_, b.buckets_, b.kind_pace_, b.kind_slots_, b.kind_most_, b.wait_, b.room_,
      b.mean_limit_, b.hedges_, b.copies_, b.drops_, b.workers_);
  }

  template <typename LoadBalancerImpl>
  static std::string Out(LoadBalancerImpl& brain) {
    Saver saver;
    Visit(brain, saver);
    return std::move(saver.out);
  }

  // Takes all of it or, where it is damaged or from settings of another form, nothing.
  template <typename LoadBalancerImpl>
  static bool In(std::string_view text, const std::vector<int>& classes, LoadBalancerImpl* brain) {
    LoadBalancerImpl other(*brain);
    Loader loader{text};
    Visit(other, loader);
    const auto tenants = static_cast<std::size_t>(brain->tenants_);
    const std::size_t theirs = other.run_.size();
    if (!loader.ok || !loader.in.empty() || other.buckets_.size() != theirs * tenants ||
        other.hinted_.size() != theirs || other.own_.size() != brain->own_.size() ||
        other.mean_.size() != brain->mean_.size() || other.wait_.size() != brain->wait_.size() ||
        other.room_.size() != brain->room_.size() ||
        other.kind_pace_.size() != brain->kind_pace_.size() ||
        other.kind_slots_.size() != brain->kind_slots_.size() ||
        other.kind_most_.size() != brain->kind_most_.size()) {
      return false;
    }
    auto run = brain->run_;
    auto hinted = brain->hinted_;
    auto buckets = brain->buckets_;
    for (std::size_t c = 0; c < run.size() && c < classes.size(); ++c) {
      if (classes[c] < 0 || Idx(classes[c]) >= theirs) continue;
      run[c] = other.run_[Idx(classes[c])];
      hinted[c] = other.hinted_[Idx(classes[c])];
      std::copy_n(other.buckets_.begin() + classes[c] * brain->tenants_, tenants,
                  buckets.begin() + static_cast<std::ptrdiff_t>(c * tenants));
    }
    other.run_ = std::move(run);
    other.hinted_ = std::move(hinted);
    other.buckets_ = std::move(buckets);
    for (std::size_t w = 0; w < other.workers_.size(); ++w) {
      other.index_.emplace(other.workers_[w].name, static_cast<int>(w));
    }
    *brain = std::move(other);
    return true;
  }
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_STATE_TRANSFER_H_
