// Timers, in one sorted structure that the loop sweeps each turn.
#ifndef MILLETHOLLOW_CORE_DEADLINES_H_
#define MILLETHOLLOW_CORE_DEADLINES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace millethollow {

// Times are seconds on the loop's clock. Not thread-safe.
class Deadlines {
 public:
  using Ticket = std::pair<double, std::uint64_t>;  // due time, and a serial number
  static constexpr Ticket kNone{0, 0};

  // Runs `what` once, at the first sweep from `when` on. Those with equal times run in the order of
  // these calls.
  Ticket At(double when, std::function<void()> what) {
    const Ticket ticket{when, ++order_};
    entries_.emplace(ticket, std::move(what));
    return ticket;
  }
  // Cancels it, if it has not run, and sets the ticket to kNone.
  void Drop(Ticket* ticket) {
    entries_.erase(*ticket);
    *ticket = kNone;
  }
  // Runs all that are due. Those set meanwhile wait for the next sweep, so that a sweep ends.
  void Sweep(double now) {
    const std::uint64_t last = order_;
    for (auto it = entries_.begin(); it != entries_.end() && it->first.first <= now;) {
      if (it->first.second > last) {
        ++it;
        continue;
      }
      const auto what = std::move(it->second);
      entries_.erase(it);
      what();
      it = entries_.begin();  // `what` may have dropped any
    }
  }
  // The earliest due time.
  std::optional<double> Next() const {
    if (entries_.empty()) return std::nullopt;
    return entries_.begin()->first.first;
  }

 private:
  std::map<Ticket, std::function<void()>> entries_;
  std::uint64_t order_ = 0;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_DEADLINES_H_
