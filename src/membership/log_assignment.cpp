#include "membership/log_assignment.h"

#include <algorithm>

namespace millethollow::membership {
namespace {

bool There(const View& view, const LogReplica& holder) {
  const ViewMember* member = view.Find(holder.id);
  return member != nullptr && holder.store_id != 0 && member->store_id == holder.store_id;
}

// The one before, where it is back with its disk: it knows its promises best. Else the same one
// whoever asks, and another for another log.
NodeId Adopter(const View& next, const LogAssignment& log, NodeId before) {
  NodeId best = 0;
  std::uint64_t most = 0;
  for (const LogReplica& h : log.replicas) {
    if (!There(next, h)) continue;
    if (h.id == before) return before;
    const std::uint64_t weight = Mix(log.log ^ Mix(h.id));
    if (best == 0 || weight > most) best = h.id, most = weight;
  }
  return best;
}

const LogAssignment* Wanted(const std::vector<LogRequest>& wants, const LogAssignment& log) {
  for (const LogRequest& w : wants) {
    if (w.member != log.owner || w.process_incarnation != log.process_incarnation) continue;
    for (const LogAssignment& l : w.logs) {
      if (l.log == log.log && l.version > log.version) return &l;
    }
  }
  return nullptr;
}

}  // namespace

std::vector<LogAssignment> NextLogs(const View& decided, const View& next,
                                    const std::vector<LogRequest>& wants, bool open) {
  std::vector<LogAssignment> logs;
  for (LogAssignment log : decided.logs) {
    const ViewMember* owner = next.Find(log.owner);
    if (owner != nullptr && owner->process_incarnation == log.process_incarnation) {
      if (const LogAssignment* want = Wanted(wants, log)) {
        if (want->replicas.empty()) continue;
        const LogReplica* self = want->Find(log.owner);
        if (self != nullptr && want->replicas.size() <= kMaxReplicasPerLog) {
          log.replicas = want->replicas;
          log.version = want->version;
          // It gives the log to another who has all of it.
          const LogReplica* to = want->owner == log.owner ? nullptr : log.Find(want->owner);
          if (to != nullptr && There(next, *to)) {
            log.owner = to->id;
            log.process_incarnation = next.Find(to->id)->process_incarnation;
            log.owner_epoch = next.epoch;
            logs.push_back(std::move(log));
            continue;
          }
        }
      }
    }
    const bool stays = owner != nullptr && owner->process_incarnation == log.process_incarnation &&
                       log.Find(log.owner) != nullptr && There(next, *log.Find(log.owner));
    if (!stays) {
      const NodeId adopter = Adopter(next, log, log.owner);
      if (adopter != 0 || log.process_incarnation != 0) {
        // Nobody's: the name of the one before is kept, so that it is known when it is back.
        log.process_incarnation = adopter == 0 ? 0 : next.Find(adopter)->process_incarnation;
        if (adopter != 0) log.owner = adopter;
        log.owner_epoch = next.epoch;
      }
    }
    logs.push_back(std::move(log));
  }
  for (const LogRequest& w : wants) {
    if (!open) break;
    const ViewMember* member = next.Find(w.member);
    if (member == nullptr || member->process_incarnation != w.process_incarnation ||
        member->store_id == 0)
      continue;
    for (const LogAssignment& want : w.logs) {
      // Two may open one at once. What was asked of a log that has ended since opens no other under
      // its number.
      const bool there = std::any_of(logs.begin(), logs.end(),
                                     [&](const LogAssignment& l) { return l.log == want.log; });
      const bool known = there || decided.Log(want.log) != nullptr || want.log == 0 ||
                         want.replicas.empty() || want.owner_epoch != 0;
      if (known || logs.size() >= kMaxLogs) continue;
      logs.push_back({.log = want.log,
                      .owner = w.member,
                      .process_incarnation = w.process_incarnation,
                      .owner_epoch = next.epoch,
                      .version = want.version,
                      .replicas = {{w.member, member->store_id}}});
    }
  }
  return logs;
}

}  // namespace millethollow::membership
