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
  bool listed = false, out_by_hand = false;
  int zone = 0, kind = 0, cell = 0;
  double capacity = 1, born = 0;
  double seen_at = 0;  // last named by a list
  double told_slots = 0, told_memory = 0;
  double out = 0;         // own slots out
  double memory_out = 0;  // and memory
  double others = 0;      // peers' slots out, as they last told
  double mate = 0;        // of these, the ones of this dispatcher's other process
  double limit = 1;       // learned threshold on own slots out
  // Load report, as far as it is known.
  double free = 0, queued = 0, held = -1, memory = kInf, report_at = -kInf, sent_since = 0;
  // Pace: seconds taken per second expected, and how much has been seen.
  double pace = 1, pace_n = 0, pace_at = 0, wait = 0, wait_at = -kInf;
  // Health.
  double heard_at = -kInf, probed_at = -kInf, eject_until = -kInf, eject_s = 0, errors = 0;
  bool ejected = false, probation = false;
  // Cold budget. Put back by hand, it is as cold as after a start, which the list may tell late.
  double cold_tokens = 0, cold_at = 0, back_at = 0;
  std::uint64_t keys[2] = {0, 0};                   // the last keys this dispatcher sent there
  double out_area = 0, out_at = 0, area_since = 0;  // own slots out over time, since area_since

  bool Warm(std::uint64_t key) const { return key != 0 && (keys[0] == key || keys[1] == key); }
  // Own sends and their ends. Says whether the key was among the last sent there; from now on it
  // is.
  bool Sent(double slots, double mem, std::uint64_t key, double now) {
    Mark(now);
    out += slots;
    memory_out += mem;
    sent_since += slots;
    const bool warm = Warm(key);
    if (keys[0] != key) keys[1] = std::exchange(keys[0], key);
    return warm;
  }
  void Back(double slots, double mem, double now) {
    Mark(now);
    out = std::max(0.0, out - slots);
    memory_out = std::max(0.0, memory_out - mem);
  }
  void Mark(double now) {
    out_area += out * std::max(0.0, now - out_at);
    out_at = now;
  }
  // Own slots out on average since the last call.
  double MeanOut(double now) {
    Mark(now);
    const double mean = now > area_since ? out_area / (now - area_since) : out;
    out_area = 0;
    area_since = now;
    return mean;
  }

  template <typename Visitor>
  void Visit(Visitor& v) {  // what a process hands to the one that replaces it
    v(name, hash, zone, kind, cell, capacity, born, listed, out_by_hand, limit, pace, pace_n,
      pace_at, wait, wait_at);
    v(heard_at, probed_at, eject_until, eject_s, errors, ejected, probation, cold_tokens, cold_at,
      back_at);
  }

  void Follow(const Endpoint& m, double now, int kinds, int zones) {
    seen_at = now;
    zone = std::clamp(m.zone, 0, zones - 1);
    kind = std::clamp(m.kind, 0, kinds - 1);
    cell = m.cell;
    capacity = m.capacity_hint;
    told_slots = m.slots;
    told_memory = m.memory;
    born = std::max(m.started_at_s, back_at);
    listed = m.readiness == Readiness::kReady;
    ready = listed && !out_by_hand;
  }

  // What a report says it holds at once: where a slot is free nothing waits, so all it holds runs.
  double SlotsTold() const { return std::round(free + (free >= 1 && held > 0 ? held : 0)); }

  void TakeReport(double now, const std::vector<LoadMetric>& columns, const double (&values)[4]) {
    report_at = now;
    sent_since = 0;
    queued = -1;  // not told
    for (std::size_t i = 0; i < columns.size() && i < 4; ++i) {
      if (columns[i] == LoadMetric::kFreeSlots) free = values[i];
      if (columns[i] == LoadMetric::kInFlight) held = values[i];
      if (columns[i] == LoadMetric::kQueued) queued = values[i];
      if (columns[i] == LoadMetric::kFreeMemory) memory = values[i];
    }
  }
};

// Do these two drop each other's repeats?
inline bool SameGroup(DeduplicationScope group, const Worker& a, const Worker& b) {
  return group == DeduplicationScope::kAll ||
         (a.zone == b.zone && (group == DeduplicationScope::kZone || a.cell == b.cell));
}

struct Attempt {
  int worker = -1;
  double sent_at = 0, started_at = -1, out_before = 0;
  bool open = true, may_have_run = true, blocked = false;
  bool roomy = false;  // by a report just in, it had a free slot
  bool warm = false;   // its key was among the last sent to that worker
};

struct Job {
  std::string id;
  int cls = 0, tenant = 0;
  double slots = 1, memory = 0, hint = 0, expires_at = 0;
  std::uint64_t key = 0, print = 0;
  std::vector<Attempt> attempts;
  std::vector<int> asked;  // workers probed for it
  std::size_t round = 0;   // of them, those asked before the last time
  int awaited = 0;         // of the others, yet to answer
  int cold_drawn = -1;     // the one cold worker that it may go to, in a large tier
  bool ended = false, dropped = false;
  bool on_hold = false;  // waits for room
  bool hold_watched = false, impossible = false;
  int found = -1;        // where it is said to be
  int max_attempts = 1;  // as the settings were when it came
  int fulls = 0;         // how often it was turned away
  bool late = false;     // kept from starting until its aim was at stake

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
  bool Tried(int worker, bool unless_turned_away) const {
    return Any([&](const Attempt& a) {
      return a.worker == worker && (a.may_have_run || !unless_turned_away);
    });
  }
};

// The print tells a job that comes back: the same in all that is known of it.
template <typename Index>
Job JobOf(const RequestArrived& e, int tenants, const Index& workers) {
  Job job;
  job.id = e.id;
  job.cls = e.cls;
  job.tenant = e.tenant >= 0 && e.tenant < tenants ? e.tenant : 0;
  job.slots = std::max(e.slots, 1e-3);
  job.memory = e.memory;
  job.hint = e.size_hint_s;
  job.key = e.key.empty() ? 0 : HashText(e.key);
  job.expires_at = e.expires_s;
  job.print = Mix(Mix(job.key, std::bit_cast<std::uint64_t>(e.memory)),
                  Mix(std::bit_cast<std::uint64_t>(job.slots + 1e3 * job.hint),
                      static_cast<std::uint64_t>(job.tenant << 8 | job.cls)));
  for (const PreviousAttempt& t : e.previous_attempts) {
    const auto it = workers.find(t.worker);
    const int worker = it == workers.end() ? -1 : it->second;
    job.attempts.push_back({.worker = worker, .sent_at = t.sent_at, .open = false});
  }
  return job;
}

struct Bucket {
  bool known = false;
  std::uint16_t allowed = 0, denied = 0;  // since the last report
  double seen = 0;                        // first tries since the last control round
  double demand = 0, rate = kInf, share = 1, tokens = 0, at = 0;
};

// The last word of a peer. A row that doesn't fit one datagram comes in parts, each taken by
// itself.
struct Peer {
  double heard_at = -kInf;                         // of any part
  double out_told_at = -kInf;                      // of the part that says what it has out
  std::vector<double> values;                      // its row of rates
  std::vector<double> values_at;                   // when each of them was told
  std::vector<std::pair<std::uint16_t, int>> out;  // slots out by worker
  // Where parts are agreed on: it hears all that have one, and the view that it has its part in.
  bool hears_all = false;
  std::uint8_t view = 0;

  void Take(const UsageReport& report, std::size_t row_size, double now) {
    heard_at = now;
    hears_all = report.hears_all;
    view = report.view;
    values.resize(row_size, 0.0);
    values_at.resize(row_size, -kInf);
    const auto first = static_cast<std::ptrdiff_t>(report.first);
    std::copy(report.rates.begin(), report.rates.end(), values.begin() + first);
    std::fill_n(values_at.begin() + first, report.rates.size(), now);
    if (report.BeginsRow()) TakeOut(report, now);
  }
  void TakeOut(const UsageReport& report, double now) {
    out_told_at = now;
    out = report.out;
  }
  // Every rate of its row was told after `since`. Else the row says nothing: a rate that never
  // came, or that is of long ago, is neither zero nor what it was.
  bool RowKnown(double since) const {
    return heard_at > since && std::all_of(values_at.begin(), values_at.end(),
                                           [since](double at) { return at > since; });
  }
};

// The latest reports of peers, one row each.
struct PeerTable {
  std::vector<Peer> rows;
  Peer mate;

  // What live peers have out at each worker, by their last word.
  void SumOut(std::vector<Worker>* workers, double since) const {
    for (Worker& w : *workers) w.others = w.mate = 0;
    const auto add = [&](const Peer& peer, bool is_mate) {
      if (peer.out_told_at < since) return;
      for (const auto& [tag, out] : peer.out) {
        for (Worker& w : *workers) {
          if (static_cast<std::uint16_t>(w.hash) != tag) continue;
          w.others += out;
          if (is_mate) w.mate += out;
        }
      }
    };
    for (const Peer& peer : rows) add(peer, false);
    add(mate, true);
  }

  // The sum of own and fresh rows. Peers never heard, and those heard whose row isn't known whole,
  // are taken as the average one. Those unheard since `since` are dead.
  std::vector<double> Fleet(std::vector<double> sum, int me, double since) const {
    double known = 1, alive = 1;
    for (std::size_t p = 0; p < rows.size(); ++p) {
      const bool never = rows[p].heard_at == -kInf, fresh = rows[p].heard_at > since;
      if (static_cast<int>(p) == me || (!never && !fresh)) continue;
      alive += 1;
      if (!rows[p].RowKnown(since)) continue;
      known += 1;
      for (std::size_t i = 0; i < sum.size(); ++i) sum[i] += rows[p].values[i];
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
  const std::vector<int>& Of(int kind, int zone) const {
    return kind < kinds_ && zone < zones_ ? pools_[Slot(kind, zone)] : none_;  // nobody runs it
  }
  void Remake(const std::vector<Worker>& workers) {
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

struct Watch {
  double at;
  std::uint64_t order;
  std::string id;
  int attempt;
  bool operator>(const Watch& o) const { return at != o.at ? at > o.at : order > o.order; }
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_STATE_H_
