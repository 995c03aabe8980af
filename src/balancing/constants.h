// What several files of the policy reckon with.
#ifndef MILLETHOLLOW_BALANCING_CONSTANTS_H_
#define MILLETHOLLOW_BALANCING_CONSTANTS_H_

#include <cstdint>

namespace millethollow::balancing {

constexpr double kDemandSmoothingS = 1.5;  // demand is smoothed over this or two report intervals
// Up to kMaxFullMeshPeers everyone hears everyone; beyond, kGossipFanout random peers a report.
constexpr int kMaxFullMeshPeers = 24;
constexpr int kGossipFanout = 2;
constexpr double kReportIntervalS =
    0.25;  // interval of a tier of four; grows with the tier's third root
constexpr double kPeerTimeoutReports = 6;  // a peer silent for so many intervals is taken for dead
constexpr double kOwnSampleWeight = 0.15;  // weight of the own sample in a gossiped mean of demand
constexpr double kFreeShareNotFull =
    0.3;  // where so many of those asked have a free slot, a tier is not full
constexpr double kLoadReportFreshS =
    0.1;  // a report is soon older than what peers and own sends tell
constexpr double kGroupSuccessMin =
    0.3;  // a kind's workers in a zone are left where less than this goes
constexpr double kOverdueCheckS = 0.1;  // how often overdue attempts are looked for
// Second copies per send where load is never told: there a copy is the only way to a free slot. By
// AIMD, since nothing tells whether a cancel ends waiting work.
constexpr double kMaxHedgesPerAttempt = 1.0;
constexpr std::uint64_t kReportTimer = 1, kOverdueTimer = 2, kPollTimer = 3;  // of timers

constexpr double kOverdueFactor = 4.0;  // an attempt this many times its expected time is overdue
constexpr int kProbeCheck = -1;
constexpr int kCapacityWaitCheck = -2;   // a watch on the wait, not on an attempt
constexpr double kProbeTimeoutS = 0.04;  // how long a job waits for them

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_CONSTANTS_H_
