// Requests in progress and their attempts, as the decision module tracks them.
#ifndef MILLETHOLLOW_BALANCING_REQUEST_H_
#define MILLETHOLLOW_BALANCING_REQUEST_H_

#include <algorithm>
#include <bit>
#include <cstdint>
#include <string>
#include <vector>

#include "balancing/support.h"
#include "balancing/worker_table.h"
#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {

// An attempt to run a request at a worker. `worker` is an index in the WorkerTable; -1: the worker
// is not known here. Times are seconds on the caller's clock.
struct Attempt {
  int worker = -1;
  double sent_at = 0, started_at = -1;
  double slots_before = 0;  // own slots in flight at the worker when the attempt was sent
  bool in_flight = true, may_have_run = true, found_no_capacity = false;
  bool had_free_slot = false;  // a recent load report showed a free slot
  bool recent_key = false;     // the request's key was among the last sent to the worker
};

// A request, from its arrival to its final answer. Times are seconds on the caller's clock.
struct Request {
  std::string id;
  int class_index = 0, tenant = 0;
  double slots = 1, memory = 0, size_hint_s = 0, expires_at_s = 0;
  std::uint64_t key = 0;     // hash of the key; 0: none
  std::uint64_t digest = 0;  // recognizes the request if it returns after a rejection
  std::vector<Attempt> attempts;
  std::vector<int> probed;            // indices of the workers probed for the request
  std::size_t probe_round_begin = 0;  // index in `probed` of the first worker of the latest round
  int probes_awaited = 0;             // probes of the latest round that are not yet answered
  // In a large tier: the one worker in slow start that the request may be sent to; -1: none.
  int slow_start_worker = -1;
  bool ended = false;  // has its final answer, or its client has left
  bool shed = false;   // cancelled while it was queued, because of overload
  bool awaiting_capacity = false;
  // Whether a check of the wait for capacity is scheduled; whether no worker can ever have
  // capacity.
  bool wait_check_set = false, impossible = false;
  int worker_with_capacity = -1;    // index of a worker with capacity for the request; -1: none
  int max_attempts = 1;             // Settings::max_attempts when the request arrived
  int full_rejections = 0;          // rejections by workers that were full
  bool late_start_counted = false;  // already counted as a late start

  // Whether `predicate` holds for any attempt.
  template <typename Predicate>
  bool AnyAttempt(Predicate predicate) const {
    return std::any_of(attempts.begin(), attempts.end(), predicate);
  }
  bool HasAttemptInFlight() const {
    return AnyAttempt([](const Attempt& attempt) { return attempt.in_flight; });
  }
  // Whether an attempt in flight is known to have started.
  bool IsRunning() const {
    return AnyAttempt(
        [](const Attempt& attempt) { return attempt.in_flight && attempt.started_at >= 0; });
  }
  bool MayHaveRun() const {
    return AnyAttempt([](const Attempt& attempt) { return attempt.may_have_run; });
  }
  // Whether the request refers to the worker by its index, which must then not be reused.
  bool RefersTo(int worker) const {
    return slow_start_worker == worker || worker_with_capacity == worker ||
           std::find(probed.begin(), probed.end(), worker) != probed.end() ||
           AnyAttempt([worker](const Attempt& attempt) { return attempt.worker == worker; });
  }
  // With `ignore_not_run`, attempts that cannot have run are not counted.
  bool WasAttemptedAt(int worker, bool ignore_not_run) const {
    return AnyAttempt([&](const Attempt& attempt) {
      return attempt.worker == worker && (attempt.may_have_run || !ignore_not_run);
    });
  }
};

// Builds the request for an arrival. Its digest covers everything that is known of the request but
// its id, which changes when a client sends it again.
inline Request MakeRequest(const RequestArrived& event, int tenant_count,
                           const WorkerTable& workers) {
  Request request;
  request.id = event.id;
  request.class_index = event.class_index;
  request.tenant = event.tenant >= 0 && event.tenant < tenant_count ? event.tenant : 0;
  request.slots = std::max(event.slots, 1e-3);
  request.memory = event.memory;
  request.size_hint_s = event.size_hint_s;
  request.key = event.key.empty() ? 0 : HashText(event.key);
  request.expires_at_s = event.expires_s;
  request.digest = CombineHashes(
      CombineHashes(request.key, std::bit_cast<std::uint64_t>(event.memory)),
      CombineHashes(std::bit_cast<std::uint64_t>(request.slots + 1e3 * request.size_hint_s),
                    static_cast<std::uint64_t>(request.tenant << 8 | request.class_index)));
  for (const PreviousAttempt& previous : event.previous_attempts) {
    request.attempts.push_back(
        {.worker = workers.Find(previous.worker), .sent_at = previous.sent_at, .in_flight = false});
  }
  return request;
}

// A check of an attempt, a round of probes or a wait for capacity. Checks are ordered by
// their time, those of the same time by the order in which they were scheduled.
struct ScheduledCheck {
  double due_at;
  std::uint64_t sequence;
  std::string request_id;
  int attempt;  // index in Request::attempts, or kProbeCheck or kCapacityWaitCheck
  bool operator>(const ScheduledCheck& other) const {
    return due_at != other.due_at ? due_at > other.due_at : sequence > other.sequence;
  }
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_REQUEST_H_
