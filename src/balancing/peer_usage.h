// What peers reported last.
#ifndef MILLETHOLLOW_BALANCING_PEER_USAGE_H_
#define MILLETHOLLOW_BALANCING_PEER_USAGE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "balancing/support.h"
#include "balancing/usage_report.h"
#include "balancing/worker.h"

namespace millethollow::balancing {

// The last report of a peer. A row that does not fit one datagram comes in parts, each applied by
// itself.
struct PeerUsage {
  double heard_at = -kInf;        // of any part
  double slots_heard_at = -kInf;  // of the part with its slots in flight
  std::vector<double> rates;      // as RowLayout has them
  std::vector<double> rates_heard_at;
  std::vector<std::pair<std::uint16_t, int>> slots_in_flight;  // by worker tag
  // Where shares are agreed on: it hears all members, and the view that it has its share in.
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
  // Every rate of its row was heard after `since`. Else the row is not used: a rate that never
  // came, or is too old, is neither zero nor what it was.
  bool RowKnown(double since) const {
    return heard_at > since && std::all_of(rates_heard_at.begin(), rates_heard_at.end(),
                                           [since](double at) { return at > since; });
  }
};

// The latest reports of peers, one row each.
struct PeerUsageTable {
  std::vector<PeerUsage> rows;
  PeerUsage sibling;

  // Sets the slots that live peers have in flight at each worker, by their last report.
  void SumSlotsInFlight(std::vector<Worker>* workers, double since) const {
    for (Worker& w : *workers) w.peer_slots_in_flight = w.sibling_slots_in_flight = 0;
    const auto add = [&](const PeerUsage& peer, bool is_sibling) {
      if (peer.slots_heard_at < since) return;
      for (const auto& [tag, out] : peer.slots_in_flight) {
        for (Worker& w : *workers) {
          if (static_cast<std::uint16_t>(w.hash) != tag) continue;
          w.peer_slots_in_flight += out;
          if (is_sibling) w.sibling_slots_in_flight += out;
        }
      }
    };
    for (const PeerUsage& peer : rows) add(peer, false);
    add(sibling, true);
  }

  // The sum of own and fresh rows. Peers never heard, and those whose row is not complete, count as
  // the average one. Those not heard since `since` are dead.
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

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_PEER_USAGE_H_
