#include "net/loop.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace millethollow {
namespace {

// Longest time in one turn for waiting for events and handling them.
constexpr double kMaxTurnS = 0.02;
constexpr std::size_t kMaxDeferredCallbacks = 32;

template <typename Clock>
double SecondsSinceEpoch() {
  return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

}  // namespace

Loop::Loop() : base_(event_base_new()) {
  // Writing to a socket that the peer has closed must fail with EPIPE instead of killing the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  if (base_ == nullptr) throw std::runtime_error("cannot create an event loop");
  event_base_priority_init(base_.get(), 2);  // ordinary events get the lower priority
  // Under steady load libevent would handle events without returning: this timer ends the turn, so
  // that deadlines and deferred callbacks run.
  const event_callback_fn end_turn = [](evutil_socket_t, short, void* base) {
    event_base_loopbreak(static_cast<event_base*>(base));
  };
  turn_timeout_.reset(event_new(base_.get(), -1, 0, end_turn, base_.get()));
  wall_time_at_start_s_ = SecondsSinceEpoch<std::chrono::system_clock>();
  monotonic_time_at_start_s_ = SecondsSinceEpoch<std::chrono::steady_clock>();
}

// Runs the deferred libevent callbacks that are still pending. Such a callback holds a reference to
// the bufferevent of a connection closed in the last turn; if the base is freed first, the
// bufferevent leaks.
Loop::~Loop() { event_base_loop(base_.get(), EVLOOP_NONBLOCK); }

double Loop::Now() const {
  return wall_time_at_start_s_ +
         (SecondsSinceEpoch<std::chrono::steady_clock>() - monotonic_time_at_start_s_);
}

void Loop::ClientFreed() {
  budget_.clients -= 1;
  NotifyClientCapacity();
}

void Loop::NotifyClientCapacity() {
  for (const auto& callback : client_freed_callbacks_) callback();
}

void Loop::Defer(std::function<void()> callback) {
  deferred_.push_back(std::move(callback));
  if (deferred_.size() >= kMaxDeferredCallbacks) event_base_loopbreak(base_.get());
}

void Loop::Turn() {
  double wait_s = kMaxTurnS;
  if (const auto next = deadlines_.Next()) wait_s = std::clamp(*next - Now(), 0.0, kMaxTurnS);
  timeval timeout{};
  timeout.tv_sec = static_cast<time_t>(wait_s);
  timeout.tv_usec = static_cast<suseconds_t>(std::ceil((wait_s - std::floor(wait_s)) * 1e6));
  if (timeout.tv_usec >= 1000000) timeout = {timeout.tv_sec + 1, 0};
  event_add(turn_timeout_.get(), &timeout);
  event_base_loop(base_.get(), EVLOOP_ONCE);
  deadlines_.Sweep(Now());
  while (!deferred_.empty()) {
    for (const auto& callback : std::exchange(deferred_, {})) callback();
  }
}

void Loop::Run() {
  while (!stopped_) Turn();
}

}  // namespace millethollow
