// Replicated maintenance state of workers: operators' decisions to take a worker into maintenance
// or put it back, and drain notices that one member received from discovery. Decisions
// and notices arrive at any member and are replicated to all. Merging records is commutative,
// associative and idempotent, so their gossip may be lost, duplicated and delayed, and both sides
// of a partition merge when it heals. A worker stays in maintenance until a later decision to put
// it back, which revokes the decisions that its member knew, and no others (an observed-remove set:
// Shapiro, Preguica, Baquero, Zawirski 2011).
//
// No I/O and no clock of its own; not thread-safe. State is bounded by kMaxWorkers. An update is
// gossiped to a few random members and on from there (rumor mongering), and members whose digests
// differ exchange all records (anti-entropy; Demers et al. 1987). Times are seconds on the member's
// clock.
#ifndef MILLETHOLLOW_MEMBERSHIP_MAINTENANCE_REGISTRY_H_
#define MILLETHOLLOW_MEMBERSHIP_MAINTENANCE_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/types.h"

namespace millethollow::membership {

// State of a worker by its last drain notice, in order of precedence.
enum class DrainState : std::uint8_t { kNone, kDraining, kGone };

// How often one process took a worker into maintenance, and how many of these decisions have been
// revoked.
struct DecisionCounts {
  std::uint32_t taken_out = 0, put_back = 0;
  bool operator==(const DecisionCounts&) const = default;
};

// The maintenance state of one worker.
struct MaintenanceRecord {
  std::string worker;
  std::map<ProcessIncarnation, DecisionCounts> decisions;  // by the process of the member
  // The latest drain notice is about the worker that started at this time (Unix seconds).
  double started_at_s = 0;
  DrainState drain_state = DrainState::kNone;
  bool InMaintenance() const;
  bool operator==(const MaintenanceRecord&) const = default;
};

// A message between two registries.
struct MaintenanceGossip {
  static constexpr std::size_t kMaxRecords = 12;
  std::uint64_t digest = 0;          // of all records of the sender
  std::uint64_t sequence = 0;        // to be acknowledged; 0: no update
  std::uint64_t acked_sequence = 0;  // of an update that was received; 0: none
  bool request_all = false;          // asks for the receiver's records if its digest differs
  std::vector<MaintenanceRecord> records;
};

// Durations in seconds, and limits of the gossip.
struct MaintenanceTimings {
  double retransmit_interval_s = 0.1;  // between transmissions of an update
  double digest_interval_s = 1.0;      // between comparisons of digests with a random member
  double drain_retention_s = 300.0;    // a drain notice is dropped this long after it came last
  int fanout = 3;                      // members that one transmission of an update goes to
  int max_transmissions = 12;          // of one update; then only anti-entropy spreads it
};

// The maintenance registry of one member.
class MaintenanceRegistry {
 public:
  static constexpr std::size_t kMaxWorkers = 2048;
  // The result of a call: messages to be sent, and changes of the records.
  struct Actions {
    std::vector<std::pair<NodeId, MaintenanceGossip>> send;  // with their recipients
    std::vector<std::string> taken_out, put_back;  // workers that went into or out of maintenance
    std::vector<MaintenanceRecord> drains;         // with a new drain notice
    std::vector<MaintenanceRecord> changed;        // with new decisions, to be written to disk
    // Numbers returned by SetMaintenance() whose decisions another member has received now.
    std::vector<std::uint64_t> replicated;
  };

  MaintenanceRegistry(NodeId self, ProcessIncarnation process_incarnation,
                      const MaintenanceTimings& timings, std::uint64_t seed, double now);

  // An operator's decision at this member. Returns a number that comes back in Actions::replicated,
  // or 0 if the decision is refused because kMaxWorkers are in maintenance.
  std::uint64_t SetMaintenance(double now, const std::string& worker, bool in_maintenance,
                               Actions* actions);
  // Discovery reports to this member that the worker drains, or is gone.
  void OnDrainNotice(double now, const std::string& worker, double started_at_s, bool gone);
  // Restores a record from this member's disk, before any other event. It is not gossiped but
  // spreads by anti-entropy.
  void Restore(double now, const MaintenanceRecord& record);
  void OnGossip(double now, NodeId from, const MaintenanceGossip& gossip, Actions* actions);
  // Sends the updates and digests that are due. `alive`: the other members that are alive.
  void Tick(double now, const std::vector<NodeId>& alive, Actions* actions);
  double NextTickAt() const;  // when Tick is due

  bool InMaintenance(const std::string& worker) const;
  std::vector<std::string> WorkersInMaintenance() const;
  std::size_t size() const { return entries_.size(); }
  std::vector<MaintenanceRecord> Records() const;
  // Whether the decisions here were equal to another member's since the start, or this member was
  // alone.
  bool synced() const { return synced_; }
  std::uint64_t digest() const { return digest_; }

 private:
  struct Entry {
    MaintenanceRecord record;
    double last_activity_at = 0;  // time of the last decision, drain notice or merged change
  };
  struct Update {  // a record that is being gossiped
    std::uint64_t sequence = 0;
    std::string worker;
    std::set<NodeId> acked_by;
    int transmissions_left = 0;
    bool is_local = false;  // a decision made here whose replication is to be reported
  };

  // The worker's entry, created if there is none; null if there is no room for it.
  Entry* FindOrCreate(double now, const std::string& worker);
  bool EvictLeastRecentlyActive();
  void UpdateDigest(const std::string& worker, std::uint64_t digest_before);
  void StartUpdate(const std::string& worker, bool is_local);
  void Merge(double now, const MaintenanceRecord& record, Actions* actions);
  void OnAck(NodeId from, std::uint64_t sequence, Actions* actions);
  void SendUpdates(double now, const std::vector<NodeId>& alive, Actions* actions);
  void SendUpdate(const std::vector<NodeId>& alive, Update* update, Actions* actions);
  void CompareDigests(double now, const std::vector<NodeId>& alive, Actions* actions);
  void DropExpiredDrainNotices(double now);
  // The next records with decisions, in turn from the one after last_sent_worker_.
  MaintenanceGossip NextRecords() const;

  NodeId self_;
  ProcessIncarnation process_incarnation_;
  MaintenanceTimings timings_;
  Random random_;
  std::map<std::string, Entry> entries_;
  std::uint64_t digest_ = 0, last_sequence_ = 0;
  std::vector<Update> updates_;
  double update_at_, compare_at_;
  std::string last_sent_worker_;  // where the last anti-entropy message ended
  bool synced_ = false;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_MAINTENANCE_REGISTRY_H_
