// What the decision module keeps about workers, jobs, buckets and peers. Types only, no decision.
#ifndef MILLETHOLLOW_BALANCING_STATE_H_
#define MILLETHOLLOW_BALANCING_STATE_H_

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "balancing/support.h"
#include "balancing/usage_report.h"
#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {

constexpr double kInf = std::numeric_limits<double>::infinity();

struct Worker {
  std::string name;
  std::uint64_t hash = 0;
  bool ready = false;  // the list says ready and no operator has it out
  bool listed = false, out_of_service = false;
  int zone = 0, kind = 0, cell = 0;
  double capacity_hint = 1, started_at_s = 0;
  double seen_at = 0;  // last named by a list
  double capacity_slots = 0, capacity_memory = 0;
  double slots_in_flight = 0;          // own slots out
  double memory_in_flight = 0;         // and memory
  double peer_slots_in_flight = 0;     // peers' slots out, as they last told
  double sibling_slots_in_flight = 0;  // of these, the ones of this dispatcher's other process
  double slot_limit = 1;               // learned threshold on own slots out
  // Load report, as far as it is known.
  double reported_free_slots = 0, reported_queued = 0, reported_in_flight = -1,
         reported_free_memory = kInf, reported_at = -kInf, slots_sent_since_report = 0;
  // Pace: seconds taken per second expected, and how much has been seen.
  double pace = 1, pace_weight = 0, pace_at = 0, start_wait_s = 0, start_wait_at = -kInf;
  // Health.
  double heard_at = -kInf, probed_at = -kInf, ejected_until = -kInf, ejection_s = 0, error_rate = 0;
  bool ejected = false, probation = false;
  // Cold budget. Put back by hand, it is as cold as after a start, which the list may tell late.
  double slow_start_tokens = 0, slow_start_tokens_at = 0, returned_at = 0;
  std::uint64_t recent_keys[2] = {0, 0};  // the last keys this dispatcher sent there
  double slot_seconds = 0, slot_seconds_at = 0,
         slot_seconds_since = 0;  // own slots out over time, since area_since

  bool HasRecentKey(std::uint64_t key) const {
    return key != 0 && (recent_keys[0] == key || recent_keys[1] == key);
  }
  // Own sends and their ends. Says whether the key was among the last sent there; from now on it
  // is.
  bool OnSent(double slots, double mem, std::uint64_t key, double now) {
    AccumulateSlotSeconds(now);
    slots_in_flight += slots;
    memory_in_flight += mem;
    slots_sent_since_report += slots;
    const bool warm = HasRecentKey(key);
    if (recent_keys[0] != key) recent_keys[1] = std::exchange(recent_keys[0], key);
    return warm;
  }
  void OnEnded(double slots, double mem, double now) {
    AccumulateSlotSeconds(now);
    slots_in_flight = std::max(0.0, slots_in_flight - slots);
    memory_in_flight = std::max(0.0, memory_in_flight - mem);
  }
  void AccumulateSlotSeconds(double now) {
    slot_seconds += slots_in_flight * std::max(0.0, now - slot_seconds_at);
    slot_seconds_at = now;
  }
  // Own slots out on average since the last call.
  double TakeMeanSlotsInFlight(double now) {
    AccumulateSlotSeconds(now);
    const double mean =
        now > slot_seconds_since ? slot_seconds / (now - slot_seconds_since) : slots_in_flight;
    slot_seconds = 0;
    slot_seconds_since = now;
    return mean;
  }

  template <typename Visitor>
  void Visit(Visitor& v) {  // what a process hands to the one that replaces it
    v(name, hash, zone, kind, cell, capacity_hint, started_at_s, listed, out_of_service, slot_limit,
      pace, pace_weight, pace_at, start_wait_s, start_wait_at);
    v(heard_at, probed_at, ejected_until, ejection_s, error_rate, ejected, probation,
      slow_start_tokens, slow_start_tokens_at, returned_at);
  }

  void ApplyEndpoint(const Endpoint& m, double now, int kinds, int zones) {
    seen_at = now;
    zone = std::clamp(m.zone, 0, zones - 1);
    kind = std::clamp(m.kind, 0, kinds - 1);
    cell = m.cell;
    capacity_hint = m.capacity_hint;
    capacity_slots = m.slots;
    capacity_memory = m.memory;
    started_at_s = std::max(m.started_at_s, returned_at);
    listed = m.readiness == Readiness::kReady;
    ready = listed && !out_of_service;
  }

  // What a report says it holds at once: where a slot is free nothing waits, so all it holds runs.
  double ImpliedSlots() const {
    return std::round(reported_free_slots + (reported_free_slots >= 1 && reported_in_flight > 0
                                                 ? reported_in_flight
                                                 : 0));
  }

  void ApplyReport(double now, const std::vector<LoadMetric>& columns, const double (&values)[4]) {
    reported_at = now;
    slots_sent_since_report = 0;
    reported_queued = -1;  // not told
    for (std::size_t i = 0; i < columns.size() && i < 4; ++i) {
      if (columns[i] == LoadMetric::kFreeSlots) reported_free_slots = values[i];
      if (columns[i] == LoadMetric::kInFlight) reported_in_flight = values[i];
      if (columns[i] == LoadMetric::kQueued) reported_queued = values[i];
      if (columns[i] == LoadMetric::kFreeMemory) reported_free_memory = values[i];
    }
  }
};

// Do these two drop each other's repeats?
inline bool InSameDeduplicationGroup(DeduplicationScope group, const Worker& a, const Worker& b) {
  return group == DeduplicationScope::kAll ||
         (a.zone == b.zone && (group == DeduplicationScope::kZone || a.cell == b.cell));
}

struct Attempt {
  int worker = -1;
  double sent_at = 0, started_at = -1, slots_before = 0;
  bool open = true, may_have_run = true, blocked = false;
  bool had_free_slot = false;  // by a report just in, it had a free slot
  bool recent_key = false;     // its key was among the last sent to that worker
};

struct Job {
  std::string id;
  int class_index = 0, tenant = 0;
  double slots = 1, memory = 0, size_hint_s = 0, expires_at_s = 0;
  std::uint64_t key = 0, digest = 0;
  std::vector<Attempt> attempts;
  std::vector<int> probed;            // workers probed for it
  std::size_t probe_round_begin = 0;  // of them, those asked before the last time
  int probes_awaited = 0;             // of the others, yet to answer
  int slow_start_worker = -1;         // the one cold worker that it may go to, in a large tier
  bool ended = false, shed = false;
  bool awaiting_capacity = false;  // waits for room
  bool wait_check_set = false, impossible = false;
  int found_worker = -1;      // where it is said to be
  int max_attempts = 1;       // as the settings were when it came
  int full_count = 0;         // how often it was turned away
  bool counted_late = false;  // kept from starting until its aim was at stake

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
  bool WasTriedAt(int worker, bool unless_turned_away) const {
    return Any([&](const Attempt& a) {
      return a.worker == worker && (a.may_have_run || !unless_turned_away);
    });
  }
};

// The print tells a job that comes back: the same in all that is known of it.
template <typename Index>
Job MakeJob(const RequestArrived& e, int tenants, const Index& workers) {
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
    const auto it = workers.find(t.worker);
    const int worker = it == workers.end() ? -1 : it->second;
    job.attempts.push_back({.worker = worker, .sent_at = t.sent_at, .open = false});
  }
  return job;
}

struct Bucket {
  bool in_use = false;
  std::uint16_t admitted = 0, rejected = 0;  // since the last report
  double first_attempts = 0;                 // first tries since the last control round
  double demand_rps = 0, rate_rps = kInf, admit_share = 1, tokens = 0, tokens_at = 0;
};

// The last word of a peer. A row that doesn't fit one datagram comes in parts, each taken by
// itself.
struct PeerUsage {
  double heard_at = -kInf;             // of any part
  double slots_heard_at = -kInf;       // of the part that says what it has out
  std::vector<double> rates;           // its row of rates
  std::vector<double> rates_heard_at;  // when each of them was told
  std::vector<std::pair<std::uint16_t, int>> slots_in_flight;  // slots out by worker
  // Where parts are agreed on: it hears all that have one, and the view that it has its part in.
  bool hears_all = false;
  std::uint8_t view = 0;

  void Apply(const UsageReport& report, std::size_t row_size, double now) {
    heard_at = now;
    hears_all = report.hears_all;
    view = report.view;
    rates.resize(row_size, 0.0);
    rates_heard_at.resize(row_size, -kInf);
    const auto first = static_cast<std::ptrdiff_t>(report.first);
    std::copy(report.rates.begin(), report.rates.end(), rates.begin() + first);
    std::fill_n(rates_heard_at.begin() + first, report.rates.size(), now);
    if (report.BeginsRow()) ApplySlotsInFlight(report, now);
  }
  void ApplySlotsInFlight(const UsageReport& report, double now) {
    slots_heard_at = now;
    slots_in_flight = report.slots_in_flight;
  }
  // Every rate of its row was told after `since`. Else the row says nothing: a rate that never
  // came, or that is of long ago, is neither zero nor what it was.
  bool RowKnown(double since) const {
    return heard_at > since && std::all_of(rates_heard_at.begin(), rates_heard_at.end(),
                                           [since](double at) { return at > since; });
  }
};

// The latest reports of peers, one row each.
struct PeerUsageTable {
  std::vector<PeerUsage> rows;
  PeerUsage sibling;

  // What live peers have out at each worker, by their last word.
  void SumSlotsInFlight(std::vector<Worker>* workers, double since) const {
    for (Worker& w : *workers) w.peer_slots_in_flight = w.sibling_slots_in_flight = 0;
    const auto add = [&](const PeerUsage& peer, bool is_mate) {
      if (peer.slots_heard_at < since) return;
      for (const auto& [tag, out] : peer.slots_in_flight) {
        for (Worker& w : *workers) {
          if (static_cast<std::uint16_t>(w.hash) != tag) continue;
          w.peer_slots_in_flight += out;
          if (is_mate) w.sibling_slots_in_flight += out;
        }
      }
    };
    for (const PeerUsage& peer : rows) add(peer, false);
    add(sibling, true);
  }

  // The sum of own and fresh rows. Peers never heard, and those heard whose row isn't known whole,
  // are taken as the average one. Those unheard since `since` are dead.
  std::vector<double> TierRates(std::vector<double> sum, int me, double since) const {
    double known = 1, alive = 1;
    for (std::size_t p = 0; p < rows.size(); ++p) {
      const bool never = rows[p].heard_at == -kInf, fresh = rows[p].heard_at > since;
      if (static_cast<int>(p) == me || (!never && !fresh)) continue;
      alive += 1;
      if (!rows[p].RowKnown(since)) continue;
      known += 1;
      for (std::size_t i = 0; i < sum.size(); ++i) sum[i] += rows[p].rates[i];
    }
    for (double& v : sum) v *= alive / known;
    return sum;
  }
};

// Workers that may be sent to, by kind and zone; -1 for any.
class Pools {
 public:
  Pools(int kinds, int zones)
      : kinds_(std::max(1, kinds)),
        zones_(std::max(1, zones)),
        pools_(Slot(kinds_ - 1, zones_ - 1) + 1) {}
  const std::vector<int>& Workers(int kind, int zone) const {
    return kind < kinds_ && zone < zones_ ? pools_[Slot(kind, zone)] : none_;  // nobody runs it
  }
  void Rebuild(const std::vector<Worker>& workers) {
    for (auto& pool : pools_) pool.clear();
    for (int w = 0; w < static_cast<int>(workers.size()); ++w) {
      const Worker& worker = workers[static_cast<std::size_t>(w)];
      if (!worker.ready || worker.ejected) continue;
      for (const int kind : {-1, worker.kind}) {
        pools_[Slot(kind, -1)].push_back(w);
        pools_[Slot(kind, worker.zone)].push_back(w);
      }
    }
  }

 private:
  std::size_t Slot(int kind, int zone) const {
    return static_cast<std::size_t>((kind + 1) * (zones_ + 1) + zone + 1);
  }
  int kinds_, zones_;
  std::vector<std::vector<int>> pools_;
  std::vector<int> none_;
};

struct OverdueCheck {
  double at;
  std::uint64_t sequence;
  std::string job;
  int attempt;
  bool operator>(const OverdueCheck& o) const {
    return at != o.at ? at > o.at : sequence > o.sequence;
  }
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_STATE_H_
