// One-shot timers in one sorted map. The event loop runs those that are due once per turn.
#ifndef MILLETHOLLOW_CORE_DEADLINES_H_
#define MILLETHOLLOW_CORE_DEADLINES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace millethollow {

// The timers of one event loop. Times are seconds on the loop's clock. Not thread-safe: used from
// the loop's thread only.
class Deadlines {
 public:
  // Identifies a timer: its due time and a serial number.
  using TimerId = std::pair<double, std::uint64_t>;
  static constexpr TimerId kNone{0, 0};

  // Runs `callback` once, in the first call of Sweep at or after `when`. Timers with equal due
  // times run in the order in which they were set.
  TimerId At(double when, std::function<void()> callback) {
    const TimerId timer_id{when, ++last_serial_};
    entries_.emplace(timer_id, std::move(callback));
    return timer_id;
  }
  // Cancels the timer if it has not run yet, and sets `*timer_id` to kNone.
  void Drop(TimerId* timer_id) {
    entries_.erase(*timer_id);
    *timer_id = kNone;
  }
  // Runs all timers that are due. Timers that are set during a sweep wait for the next one, so that
  // every sweep ends.
  void Sweep(double now) {
    const std::uint64_t last_of_sweep = last_serial_;
    for (auto it = entries_.begin(); it != entries_.end() && it->first.first <= now;) {
      if (it->first.second > last_of_sweep) {
        ++it;
        continue;
      }
      const auto callback = std::move(it->second);
      entries_.erase(it);
      callback();
      it = entries_.begin();  // the callback may have cancelled any timer
    }
  }
  // The earliest due time; nullopt if no timer is set.
  std::optional<double> Next() const {
    if (entries_.empty()) return std::nullopt;
    return entries_.begin()->first.first;
  }

 private:
  std::map<TimerId, std::function<void()>> entries_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_DEADLINES_H_
