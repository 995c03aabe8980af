// The logs of the next view: who owns each, and who has replicas of it. The rules of PacificA's
// configuration manager (Lin, Yang, Zhang, Zhou 2008): an owner changes the replicas of its own
// log, and where the owner is gone one with a replica takes its place. docs/design/copies.md has
// the promises.
#ifndef MILLETHOLLOW_MEMBERSHIP_LOG_ASSIGNMENT_H_
#define MILLETHOLLOW_MEMBERSHIP_LOG_ASSIGNMENT_H_

#include <cstddef>
#include <vector>

#include "membership/types.h"

namespace millethollow::membership {

constexpr std::size_t kMaxLogs = 256;          // of all members
constexpr std::size_t kMaxLogsPerMember = 16;  // that one member may ask for
constexpr std::size_t kMaxReplicasPerLog = 8;

// What a member wants of its logs, asked for with the view that is decided.
struct LogRequest {
  NodeId member = 0;
  ProcessIncarnation process_incarnation = 0;
  std::vector<LogAssignment> logs;
};

// `next` has its epoch and its members; `decided` is the view before it. `may_open`: new logs may
// be opened.
std::vector<LogAssignment> NextLogs(const View& decided, const View& next,
                                    const std::vector<LogRequest>& requests, bool may_open);

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_LOG_ASSIGNMENT_H_
