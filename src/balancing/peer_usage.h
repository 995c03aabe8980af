// The latest usage reports of the other dispatchers.
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

// The latest report of a peer. A row of rates that does not fit one datagram arrives in parts, each
// of which is applied by itself. Times are seconds on the caller's clock.
struct PeerUsage {
  double received_at = -kInf;        // any part
  double slots_received_at = -kInf;  // the part with the slots in flight
  std::vector<double> rates;         // per second, in the order of RowLayout
  std::vector<double> rates_received_at;
  std::vector<std::pair<std::uint16_t, int>> slots_in_flight;  // by worker tag
  // Where the tier agrees on shares: whether the peer receives the reports of all members, and the
  // view that its share belongs to.
  bool receives_all = false;
  std::uint8_t view = 0;

  // Applies a report or a part of one.
  void Apply(const UsageReport& report, std::size_t row_size, double now_s) {
    received_at = now_s;
    receives_all = report.receives_all;
    view = report.view;
    rates.resize(row_size, 0.0);
    rates_received_at.resize(row_size, -kInf);
    const auto first = static_cast<std::ptrdiff_t>(report.first_index);
    std::copy(report.rates.begin(), report.rates.end(), rates.begin() + first);
    std::fill_n(rates_received_at.begin() + first, report.rates.size(), now_s);
    if (report.BeginsRow()) ApplySlotsInFlight(report, now_s);
  }
  // Applies only the slots in flight, of a part that begins the row.
  void ApplySlotsInFlight(const UsageReport& report, double now_s) {
    slots_received_at = now_s;
    slots_in_flight = report.slots_in_flight;
  }
  // Whether every rate of the row was received after `since`. Otherwise the row is not used: a rate
  // that is missing or outdated is unknown, neither zero nor its old value.
  bool RowKnown(double since) const {
    return received_at > since && std::all_of(rates_received_at.begin(), rates_received_at.end(),
                                              [since](double time) { return time > since; });
  }
};

// The latest reports of all peers, one row each, and of the sibling process.
struct PeerUsageTable {
  std::vector<PeerUsage> rows;
  PeerUsage sibling;

  // Sets the slots that peers have in flight at each worker, by reports received since `since`.
  void SumSlotsInFlight(std::vector<Worker>* workers, double since) const {
    for (Worker& worker : *workers)
      worker.peer_slots_in_flight = worker.sibling_slots_in_flight = 0;
    const auto add = [&](const PeerUsage& peer, bool is_sibling) {
      if (peer.slots_received_at < since) return;
      for (const auto& [tag, slots] : peer.slots_in_flight) {
        for (Worker& worker : *workers) {
          if (static_cast<std::uint16_t>(worker.hash) != tag) continue;
          worker.peer_slots_in_flight += slots;
          if (is_sibling) worker.sibling_slots_in_flight += slots;
        }
      }
    };
    for (const PeerUsage& peer : rows) add(peer, false);
    add(sibling, true);
  }

  // Returns the sum of the own rates (`sum`) and of the rows received since `since`. A peer that
  // never reported, or whose row is incomplete, counts with the mean of the complete rows. A peer
  // whose last report is older is taken to be dead and counts as 0.
  std::vector<double> TierRates(std::vector<double> sum, int own_index, double since) const {
    double complete_rows = 1, live_dispatchers = 1;
    for (std::size_t peer_index = 0; peer_index < rows.size(); ++peer_index) {
      const bool never_reported = rows[peer_index].received_at == -kInf,
                 recent = rows[peer_index].received_at > since;
      if (static_cast<int>(peer_index) == own_index || (!never_reported && !recent)) continue;
      live_dispatchers += 1;
      if (!rows[peer_index].RowKnown(since)) continue;
      complete_rows += 1;
      for (std::size_t i = 0; i < sum.size(); ++i) sum[i] += rows[peer_index].rates[i];
    }
    for (double& rate : sum) rate *= live_dispatchers / complete_rows;
    return sum;
  }
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_PEER_USAGE_H_
