// Finds a worker with enough free resources in logarithmic time: a tree of maxima over workers.
#ifndef MILLETHOLLOW_SCHEDULING_RESOURCE_INDEX_H_
#define MILLETHOLLOW_SCHEDULING_RESOURCE_INDEX_H_

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace millethollow::scheduling {

constexpr double kRounding = 1e-6;  // tolerance of sums of needs

// Slots and units of memory: what a job needs, or a worker has.
struct Resources {
  double slots = 1, memory = 0;
  Resources operator+(const Resources& o) const { return {slots + o.slots, memory + o.memory}; }
  Resources operator-(const Resources& o) const { return {slots - o.slots, memory - o.memory}; }
  bool operator==(const Resources&) const = default;
  bool Within(const Resources& available) const {
    return slots <= available.slots + kRounding && memory <= available.memory + kRounding;
  }
};

// Not thread-safe.
class ResourceIndex {
 public:
  void Set(std::size_t worker, const Resources& available) {
    while (worker >= leaves_) Grow();
    std::size_t i = leaves_ + worker;
    maxima_[i] = available;
    for (i /= 2; i >= 1; i /= 2) {
      maxima_[i] = Max(maxima_[2 * i], maxima_[2 * i + 1]);
    }
  }
  // Some worker that `need` fits at, or -1. The search begins at `from` (mod size), so that not
  // always the first is found. The maxima of an inner node may come from two workers, so it is no
  // proof.
  int Find(const Resources& need, std::size_t from = 0) const {
    if (leaves_ == 0) return -1;
    const auto start = static_cast<int>(from % leaves_);
    const int after = Search(1, 0, leaves_, need, start);
    return after >= 0 ? after : Search(1, 0, leaves_, need, 0);
  }

 private:
  static constexpr Resources kNone{-1, -1};
  static Resources Max(const Resources& a, const Resources& b) {
    return {std::max(a.slots, b.slots), std::max(a.memory, b.memory)};
  }
  void Grow() {
    std::vector<Resources> leaves(maxima_.begin() + static_cast<std::ptrdiff_t>(leaves_),
                                  maxima_.end());
    leaves_ = std::max<std::size_t>(16, leaves_ * 2);
    maxima_.assign(2 * leaves_, kNone);
    std::copy(leaves.begin(), leaves.end(), maxima_.begin() + static_cast<std::ptrdiff_t>(leaves_));
    for (std::size_t i = leaves_ - 1; i >= 1; --i)
      maxima_[i] = Max(maxima_[2 * i], maxima_[2 * i + 1]);
  }
  int Search(std::size_t node, std::size_t low, std::size_t span, const Resources& need,
             int start) const {
    if (static_cast<int>(low + span) <= start || !need.Within(maxima_[node])) return -1;
    if (span == 1) return static_cast<int>(low);
    const int left = Search(2 * node, low, span / 2, need, start);
    return left >= 0 ? left : Search(2 * node + 1, low + span / 2, span / 2, need, start);
  }
  std::size_t leaves_ = 0;
  std::vector<Resources> maxima_;  // a heap: the children of i are 2i and 2i + 1
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_RESOURCE_INDEX_H_
