// Finds a worker with that much room without looking at all of them: a tree of maxima over workers.
#ifndef MILLETHOLLOW_SCHEDULING_RESOURCE_INDEX_H_
#define MILLETHOLLOW_SCHEDULING_RESOURCE_INDEX_H_

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace millethollow::scheduling {

constexpr double kRounding = 1e-6;  // sums of needs stray by less

// Slots and units of memory: what a job takes, or a worker has.
struct Resources {
  double slots = 1, memory = 0;
  Resources operator+(const Resources& o) const { return {slots + o.slots, memory + o.memory}; }
  Resources operator-(const Resources& o) const { return {slots - o.slots, memory - o.memory}; }
  bool operator==(const Resources&) const = default;
  bool Within(const Resources& room) const {
    return slots <= room.slots + kRounding && memory <= room.memory + kRounding;
  }
};

class ResourceIndex {
 public:
  void Set(std::size_t worker, const Resources& room) {
    while (worker >= leaves_) Grow();
    std::size_t i = leaves_ + worker;
    most_[i] = room;
    for (i /= 2; i >= 1; i /= 2) {
      most_[i] = Most(most_[2 * i], most_[2 * i + 1]);
    }
  }
  // Some worker with room for `need`, or -1. `from` turns the order, so that not always the first
  // is found. A node's maxima may come from two workers: then both its sides are looked at.
  int Find(const Resources& need, std::size_t from = 0) const {
    if (leaves_ == 0) return -1;
    const auto start = static_cast<int>(from % leaves_);
    const int after = Search(1, 0, leaves_, need, start);
    return after >= 0 ? after : Search(1, 0, leaves_, need, 0);
  }

 private:
  static constexpr Resources kNone{-1, -1};
  static Resources Most(const Resources& a, const Resources& b) {
    return {std::max(a.slots, b.slots), std::max(a.memory, b.memory)};
  }
  void Grow() {
    std::vector<Resources> leaves(most_.begin() + static_cast<std::ptrdiff_t>(leaves_),
                                  most_.end());
    leaves_ = std::max<std::size_t>(16, leaves_ * 2);
    most_.assign(2 * leaves_, kNone);
    std::copy(leaves.begin(), leaves.end(), most_.begin() + static_cast<std::ptrdiff_t>(leaves_));
    for (std::size_t i = leaves_ - 1; i >= 1; --i) most_[i] = Most(most_[2 * i], most_[2 * i + 1]);
  }
  int Search(std::size_t node, std::size_t low, std::size_t span, const Resources& need,
             int start) const {
    if (static_cast<int>(low + span) <= start || !need.Within(most_[node])) return -1;
    if (span == 1) return static_cast<int>(low);
    const int left = Search(2 * node, low, span / 2, need, start);
    return left >= 0 ? left : Search(2 * node + 1, low + span / 2, span / 2, need, start);
  }
  std::size_t leaves_ = 0;
  std::vector<Resources> most_;  // a heap: the children of i are 2i and 2i + 1
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_RESOURCE_INDEX_H_
