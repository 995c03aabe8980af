// Constants shared by several parts of the decision module.
#ifndef MILLETHOLLOW_BALANCING_CONSTANTS_H_
#define MILLETHOLLOW_BALANCING_CONSTANTS_H_

#include <cstdint>

namespace millethollow::balancing {

// Smoothing time of demand rates, at least two report intervals.
constexpr double kDemandSmoothingS = 1.5;
// In a tier with up to kMaxFullMeshPeers peers every dispatcher sends its reports to all of them
// (full mesh); in a larger tier to kGossipFanout random ones (gossip).
constexpr int kMaxFullMeshPeers = 24;
constexpr int kGossipFanout = 2;
// Report interval of a tier of four dispatchers; it grows with the cube root of the tier's size.
constexpr double kBaseReportIntervalS = 0.25;
// A peer is taken to be dead after this many report intervals without a report.
constexpr double kPeerTimeoutReports = 6;
// Weight of a dispatcher's own rate when it updates the gossiped mean of that rate.
constexpr double kOwnRateWeight = 0.15;
// A tier is not full while at least this share of the probed workers has a free slot.
constexpr double kMinFreeProbedShare = 0.3;
// Age after which usage reports and own attempts are a better estimate than a load report.
constexpr double kLoadReportFreshS = 0.1;
// Success rate of a worker group below which other groups are preferred.
constexpr double kMinGroupSuccess = 0.3;
// Longest interval of kCheckTimer.
constexpr double kMaxCheckIntervalS = 0.1;
// Timer identifiers (SetTimer::timer_id).
constexpr std::uint64_t kReportTimer = 1, kCheckTimer = 2, kPollTimer = 3;

// An attempt is overdue after this multiple of its expected run time.
constexpr double kOverdueFactor = 4.0;
// Values of ScheduledCheck::attempt for a round of probes and for a wait for capacity.
constexpr int kProbeCheck = -1;
constexpr int kCapacityWaitCheck = -2;
// Longest wait of a request for its probes.
constexpr double kProbeTimeoutS = 0.04;

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_CONSTANTS_H_
