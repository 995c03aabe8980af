#include "net/loop.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace millethollow {
namespace {

constexpr double kMaxTurnS = 0.02;

template <typename Clock>
double Seconds() {
  return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

}  // namespace

Loop::Loop() : base_(event_base_new()) {
  // A peer that breaks off while we write to it must end its connection, not the process.
  std::signal(SIGPIPE, SIG_IGN);
  if (base_ == nullptr) throw std::runtime_error("no event loop to be had");
  event_base_priority_init(base_.get(), 2);  // ordinary events get the second
  // Under steady load libevent goes on without end: the tick breaks off, so that the sweep comes.
  const event_callback_fn end_turn = [](evutil_socket_t, short, void* base) {
    event_base_loopbreak(static_cast<event_base*>(base));
  };
  tick_.reset(event_new(base_.get(), -1, 0, end_turn, base_.get()));
  wall_at_start_ = Seconds<std::chrono::system_clock>();
  steady_at_start_ = Seconds<std::chrono::steady_clock>();
}

// A connection that was closed in the last turn may have a deferred callback yet, which holds it:
// libevent lets go of it only as it runs, and with the base freed first it was never let go.
Loop::~Loop() { event_base_loop(base_.get(), EVLOOP_NONBLOCK); }

double Loop::Now() const {
  return wall_at_start_ + (Seconds<std::chrono::steady_clock>() - steady_at_start_);
}

void Loop::ClientFreed() {
  budget_.clients -= 1;
  NotifyClientCapacity();
}

void Loop::NotifyClientCapacity() {
  for (const auto& what : client_freed_) what();
}

void Loop::Turn() {
  double wait = kMaxTurnS;
  if (const auto next = deadlines_.Next()) wait = std::clamp(*next - Now(), 0.0, kMaxTurnS);
  timeval tv{};
  tv.tv_sec = static_cast<time_t>(wait);
  tv.tv_usec = static_cast<suseconds_t>(std::ceil((wait - std::floor(wait)) * 1e6));
  if (tv.tv_usec >= 1000000) tv = {tv.tv_sec + 1, 0};
  event_add(tick_.get(), &tv);
  event_base_loop(base_.get(), EVLOOP_ONCE);
  deadlines_.Sweep(Now());
  while (!deferred_.empty()) {
    for (const auto& what : std::exchange(deferred_, {})) what();
  }
}

void Loop::Run() {
  while (!stopped_) Turn();
}

}  // namespace millethollow
