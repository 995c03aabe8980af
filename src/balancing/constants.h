// Constants that several parts of the decision module use.
#ifndef MILLETHOLLOW_BALANCING_CONSTANTS_H_
#define MILLETHOLLOW_BALANCING_CONSTANTS_H_

#include <cstdint>

namespace millethollow::balancing {

constexpr double kDemandSmoothingS =
    1.5;  // demand is smoothed over the longer of this and two report intervals
// Up to kMaxFullMeshPeers every dispatcher reports to all; in larger tiers to kGossipFanout
// random peers.
constexpr int kMaxFullMeshPeers = 24;
constexpr int kGossipFanout = 2;
constexpr double kReportIntervalS =
    0.25;  // of a tier of four; grows with the cube root of the tier's size
constexpr double kPeerTimeoutReports = 6;  // a peer not heard for so many intervals is dead
constexpr double kOwnSampleWeight = 0.15;  // of the own sample in a gossiped mean of demand
constexpr double kFreeShareNotFull =
    0.3;  // a tier is not full where so many probed workers have a free slot
constexpr double kLoadReportFreshS =
    0.1;  // after this, usage reports and own attempts say more than a load report
constexpr double kGroupSuccessMin = 0.3;  // below it, other groups are preferred
constexpr double kOverdueCheckS = 0.1;    // longest time between two looks at overdue attempts
constexpr std::uint64_t kReportTimer = 1, kOverdueTimer = 2,
                        kPollTimer = 3;  // identifiers of timers

constexpr double kOverdueFactor =
    4.0;  // an attempt is overdue after this multiple of its expected run time
constexpr int kProbeCheck = -1;
constexpr int kCapacityWaitCheck = -2;   // OverdueCheck::attempt of a wait for capacity
constexpr double kProbeTimeoutS = 0.04;  // how long a job waits for probed workers

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_CONSTANTS_H_
