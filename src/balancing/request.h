// A job and its attempts.
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

// An attempt at a worker; `worker` is its index, -1: not known here.
struct Attempt {
  int worker = -1;
  double sent_at = 0, started_at = -1;
  double slots_before = 0;  // own slots in flight there when it was sent
  bool open = true, may_have_run = true, blocked = false;
  bool had_free_slot = false;  // by a fresh load report
  bool recent_key = false;     // its key was among the last sent there
};

// A request from its arrival to its final answer.
struct Job {
  std::string id;
  int class_index = 0, tenant = 0;
  double slots = 1, memory = 0, size_hint_s = 0, expires_at_s = 0;
  std::uint64_t key = 0;     // hash; 0: none
  std::uint64_t digest = 0;  // tells a job that comes back
  std::vector<Attempt> attempts;
  std::vector<int> probed;            // indices of the workers probed for it
  std::size_t probe_round_begin = 0;  // of them, the first of the last round
  int probes_awaited = 0;             // of that round, yet to answer
  int slow_start_worker = -1;  // the one worker in slow start that it may go to, in a large tier
  bool ended = false;          // answered, or no longer wanted
  bool shed = false;           // cancelled while queued, for overload
  bool awaiting_capacity = false;
  bool wait_check_set = false, impossible = false;
  int found_worker = -1;      // has capacity for it; -1: none
  int max_attempts = 1;       // by the settings at its arrival
  int full_count = 0;         // rejections by workers that were full
  bool counted_late = false;  // as a late start

  template <typename Test>
  bool Any(Test test) const {
    return std::any_of(attempts.begin(), attempts.end(), test);
  }
  bool AnyOpen() const {
    return Any([](const Attempt& a) { return a.open; });
  }
  bool Running() const {
    return Any([](const Attempt& a) { return a.open && a.started_at >= 0; });
  }
  bool MayHaveRun() const {
    return Any([](const Attempt& a) { return a.may_have_run; });
  }
  // The worker's index is in use by this job.
  bool Names(int worker) const {
    return slow_start_worker == worker || found_worker == worker ||
           std::find(probed.begin(), probed.end(), worker) != probed.end() ||
           Any([worker](const Attempt& a) { return a.worker == worker; });
  }
  // Where `unless_rejected`, attempts that surely have not run do not count.
  bool WasTriedAt(int worker, bool unless_rejected) const {
    return Any([&](const Attempt& a) {
      return a.worker == worker && (a.may_have_run || !unless_rejected);
    });
  }
};

// The digest covers all that is known of a job but its id.
inline Job MakeJob(const RequestArrived& e, int tenants, const WorkerTable& workers) {
  Job job;
  job.id = e.id;
  job.class_index = e.cls;
  job.tenant = e.tenant >= 0 && e.tenant < tenants ? e.tenant : 0;
  job.slots = std::max(e.slots, 1e-3);
  job.memory = e.memory;
  job.size_hint_s = e.size_hint_s;
  job.key = e.key.empty() ? 0 : HashText(e.key);
  job.expires_at_s = e.expires_s;
  job.digest = Mix(Mix(job.key, std::bit_cast<std::uint64_t>(e.memory)),
                   Mix(std::bit_cast<std::uint64_t>(job.slots + 1e3 * job.size_hint_s),
                       static_cast<std::uint64_t>(job.tenant << 8 | job.class_index)));
  for (const PreviousAttempt& t : e.previous_attempts) {
    job.attempts.push_back({.worker = workers.Find(t.worker), .sent_at = t.sent_at, .open = false});
  }
  return job;
}

// A look at an attempt, probe round or wait of a job, at its time in order of their setting.
struct OverdueCheck {
  double at;
  std::uint64_t sequence;
  std::string job;
  int attempt;  // kProbeCheck and kCapacityWaitCheck: none
  bool operator>(const OverdueCheck& o) const {
    return at != o.at ? at > o.at : sequence > o.sequence;
  }
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_REQUEST_H_
