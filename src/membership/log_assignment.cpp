#include "membership/log_assignment.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace millethollow::membership {
namespace {

// Whether the member is in the view with the store that has the replica.
bool IsPresent(const View& view, const LogReplica& replica) {
  const ViewMember* member = view.Find(replica.id);
  return member != nullptr && replica.store_id != 0 && member->store_id == replica.store_id;
}

bool IsPresent(const View& view, const LogReplica* replica) {
  return replica != nullptr && IsPresent(view, *replica);
}

bool HasProcess(const View& view, NodeId member, ProcessIncarnation process_incarnation) {
  const ViewMember* found = view.Find(member);
  return found != nullptr && found->process_incarnation == process_incarnation;
}

// The last owner if it is back with its store; otherwise a member with a replica, chosen by
// rendezvous hashing (Thaler, Ravishankar 1996), which spreads the logs over the members. 0: none.
NodeId NextOwner(const View& next, const LogAssignment& log) {
  NodeId best = 0;
  std::uint64_t best_weight = 0;
  for (const LogReplica& replica : log.replicas) {
    if (!IsPresent(next, replica)) continue;
    if (replica.id == log.owner) return log.owner;
    const std::uint64_t weight = Mix(log.log ^ Mix(replica.id));
    if (best != 0 && weight <= best_weight) continue;
    best = replica.id;
    best_weight = weight;
  }
  return best;
}

// The owner's request for the log, if it is newer than the one that was applied last.
const LogAssignment* FindRequest(const std::vector<LogRequest>& requests,
                                 const LogAssignment& log) {
  for (const LogRequest& request : requests) {
    if (request.member != log.owner) continue;
    if (request.process_incarnation != log.process_incarnation) continue;
    for (const LogAssignment& wanted : request.logs) {
      if (wanted.log == log.log && wanted.version > log.version) return &wanted;
    }
  }
  return nullptr;
}

void SetOwner(const View& next, NodeId owner, LogAssignment* log) {
  log->owner = owner;
  log->process_incarnation = next.Find(owner)->process_incarnation;
  log->owner_epoch = next.epoch;
}

// Applies the owner's request. Returns true if the request hands the log over to another member
// that is present and has a replica.
bool ApplyRequest(const View& next, const LogAssignment& wanted, LogAssignment* log) {
  const bool owner_stays = wanted.Find(log->owner) != nullptr;
  if (!owner_stays || wanted.replicas.size() > kMaxReplicasPerLog) return false;
  log->replicas = wanted.replicas;
  log->version = wanted.version;
  if (wanted.owner == log->owner || !IsPresent(next, log->Find(wanted.owner))) return false;
  SetOwner(next, wanted.owner, log);
  return true;
}

void ReplaceMissingOwner(const View& next, LogAssignment* log) {
  const bool stays = HasProcess(next, log->owner, log->process_incarnation) &&
                     IsPresent(next, log->Find(log->owner));
  if (stays) return;
  const NodeId owner = NextOwner(next, *log);
  if (owner != 0) return SetOwner(next, owner, log);
  if (log->process_incarnation == 0) return;
  // No replica is present. The owner's id stays, so that it is preferred when it is back.
  log->process_incarnation = 0;
  log->owner_epoch = next.epoch;
}

// The log in the next view; nullopt if its owner closes it.
std::optional<LogAssignment> NextAssignment(const View& next,
                                            const std::vector<LogRequest>& requests,
                                            LogAssignment log) {
  const bool has_owner = HasProcess(next, log.owner, log.process_incarnation);
  const LogAssignment* wanted = has_owner ? FindRequest(requests, log) : nullptr;
  if (wanted != nullptr) {
    if (wanted->replicas.empty()) return std::nullopt;
    if (ApplyRequest(next, *wanted, &log)) return log;
  }
  ReplaceMissingOwner(next, &log);
  return log;
}

void OpenLogs(const View& decided, const View& next, const LogRequest& request,
              std::vector<LogAssignment>* logs) {
  if (!HasProcess(next, request.member, request.process_incarnation)) return;
  const std::uint64_t store_id = next.Find(request.member)->store_id;
  if (store_id == 0) return;
  for (const LogAssignment& wanted : request.logs) {
    // Two members may open the same log at once. A request that changes a log, which may have been
    // closed since, opens none.
    const bool opened = std::any_of(logs->begin(), logs->end(), [&](const LogAssignment& log) {
      return log.log == wanted.log;
    });
    const bool requests_opening =
        wanted.log != 0 && !wanted.replicas.empty() && wanted.owner_epoch == 0;
    if (!requests_opening || opened || decided.Log(wanted.log) != nullptr) continue;
    if (logs->size() >= kMaxLogs) continue;
    logs->push_back({.log = wanted.log,
                     .owner = request.member,
                     .process_incarnation = request.process_incarnation,
                     .owner_epoch = next.epoch,
                     .version = wanted.version,
                     .replicas = {{request.member, store_id}}});
  }
}

}  // namespace

std::vector<LogAssignment> NextLogs(const View& decided, const View& next,
                                    const std::vector<LogRequest>& requests, bool may_open) {
  std::vector<LogAssignment> logs;
  for (const LogAssignment& log : decided.logs) {
    if (auto assignment = NextAssignment(next, requests, log)) {
      logs.push_back(std::move(*assignment));
    }
  }
  if (!may_open) return logs;
  for (const LogRequest& request : requests) OpenLogs(decided, next, request, &logs);
  return logs;
}

}  // namespace millethollow::membership
