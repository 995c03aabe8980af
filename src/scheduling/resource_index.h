// Finds a worker with enough free resources in logarithmic time, by a segment tree of maxima.
#ifndef MILLETHOLLOW_SCHEDULING_RESOURCE_INDEX_H_
#define MILLETHOLLOW_SCHEDULING_RESOURCE_INDEX_H_

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace millethollow::scheduling {

constexpr double kRounding = 1e-6;  // tolerance for rounding errors in sums of resources

// Slots and units of memory that a job needs or a worker has.
struct Resources {
  double slots = 1, memory = 0;
  Resources operator+(const Resources& other) const {
    return {slots + other.slots, memory + other.memory};
  }
  Resources operator-(const Resources& other) const {
    return {slots - other.slots, memory - other.memory};
  }
  bool operator==(const Resources&) const = default;
  // Whether this need fits into `available`.
  bool Within(const Resources& available) const {
    return slots <= available.slots + kRounding && memory <= available.memory + kRounding;
  }
};

// The available resources of workers, by index. Not thread-safe.
class ResourceIndex {
 public:
  // Sets the available resources of a worker.
  void Set(std::size_t worker, const Resources& available) {
    while (worker >= leaves_) Grow();
    std::size_t node = leaves_ + worker;
    maxima_[node] = available;
    for (node /= 2; node >= 1; node /= 2) {
      maxima_[node] = Max(maxima_[2 * node], maxima_[2 * node + 1]);
    }
  }
  // Returns a worker with enough resources for `need`, or -1. The search begins at worker `from`
  // (modulo the size), so that load is spread. A fitting maximum of an inner node is no proof that
  // a worker below it fits, since its slots and memory may come from two workers.
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
    for (std::size_t node = leaves_ - 1; node >= 1; --node)
      maxima_[node] = Max(maxima_[2 * node], maxima_[2 * node + 1]);
  }
  int Search(std::size_t node, std::size_t low, std::size_t span, const Resources& need,
             int start) const {
    if (static_cast<int>(low + span) <= start || !need.Within(maxima_[node])) return -1;
    if (span == 1) return static_cast<int>(low);
    const int left = Search(2 * node, low, span / 2, need, start);
    return left >= 0 ? left : Search(2 * node + 1, low + span / 2, span / 2, need, start);
  }
  std::size_t leaves_ = 0;
  std::vector<Resources> maxima_;  // binary heap: the children of node i are 2i and 2i + 1
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_RESOURCE_INDEX_H_
