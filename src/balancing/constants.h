// What several files of the policy reckon with.
#ifndef MILLETHOLLOW_BALANCING_CONSTANTS_H_
#define MILLETHOLLOW_BALANCING_CONSTANTS_H_

#include <cstdint>

namespace millethollow::balancing {

constexpr double kDemandS = 1.5;  // demand is smoothed over this or two report intervals
// Up to kDirectPeers everyone hears everyone; beyond, kFanout random peers a report.
constexpr int kDirectPeers = 24;
constexpr int kFanout = 2;
constexpr double kReportS = 0.25;    // interval of a tier of four; grows with the tier's third root
constexpr double kStaleReports = 6;  // a peer silent for so many intervals is taken for dead
constexpr double kOwnWeight = 0.15;  // weight of the own sample in a gossiped mean of demand
constexpr double kRoomy = 0.3;  // where so many of those asked have a free slot, a tier is not full
constexpr double kLoreWeight = 50;     // jobs that the sums of all peers count for, at least
constexpr double kReportTrustS = 0.1;  // a report is soon older than what peers and own sends tell
constexpr double kGroupBad = 0.3;  // a kind's workers in a zone are left where less than this goes
constexpr double kPaceTrustS = 10.0;
constexpr double kWatchS = 0.1;  // how often overdue attempts are looked for
// Second copies per send where load is never told: there a copy is the only way to a free slot. By
// AIMD, since nothing tells whether a cancel ends waiting work.
constexpr double kCopies = 1.0;
constexpr std::uint64_t kReportMark = 1, kWatchMark = 2, kAskMark = 3;  // of timers

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_CONSTANTS_H_
