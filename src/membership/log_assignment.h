// The logs of the next view: the owner and the replicas of each. The rules are those of PacificA's
// configuration manager (Lin, Yang, Zhang, Zhou 2008): an owner changes the replicas of its own
// log, and a member with a replica replaces an owner that has gone. docs/design/copies.md has the
// guarantees.
#ifndef MILLETHOLLOW_MEMBERSHIP_LOG_ASSIGNMENT_H_
#define MILLETHOLLOW_MEMBERSHIP_LOG_ASSIGNMENT_H_

#include <cstddef>
#include <vector>

#include "membership/types.h"

namespace millethollow::membership {

constexpr std::size_t kMaxLogs = 256;          // of all members
constexpr std::size_t kMaxLogsPerMember = 16;  // in the requests of one member
constexpr std::size_t kMaxReplicasPerLog = 8;

// The logs as a member requests them, under the decided view: those that it owns and wants changed
// or closed, and those that it wants opened.
struct LogRequest {
  NodeId member = 0;
  ProcessIncarnation process_incarnation = 0;
  std::vector<LogAssignment> logs;
};

// Returns the logs of the view `next`, whose epoch and members are set. `decided` is the view
// before it. `may_open`: new logs may be opened.
std::vector<LogAssignment> NextLogs(const View& decided, const View& next,
                                    const std::vector<LogRequest>& requests, bool may_open);

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_LOG_ASSIGNMENT_H_
