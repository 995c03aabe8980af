// Replicated maintenance state of workers: operators' decisions to take a worker out or put it
// back, and drain notices that discovery gave to one member. Made at any member, they hold at all.
// Records merge the same in any order and any number of times, so gossip of them may be lost,
// duplicated and late; two sides of a partition merge when it is healed. A worker taken out stays
// out until a later decision to put it back: that one revokes the decisions that its member knew,
// and no others (an observed-remove set: Shapiro, Preguica, Baquero, Zawirski 2011).
//
// Decides only; not thread-safe. State is bounded by kMaxWorkers. An update goes to a few members
// at random and on from there (rumor mongering), and members whose digests differ exchange all
// records (anti-entropy; Demers et al. 1987). Times are seconds on the member's clock.
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

enum class DrainState : std::uint8_t { kNone, kDraining, kGone };

// How often one process took a worker out, and how many of these decisions were revoked.
struct DecisionCounts {
  std::uint32_t taken_out = 0, put_back = 0;
  bool operator==(const DecisionCounts&) const = default;
};

struct MaintenanceRecord {
  std::string worker;
  std::map<ProcessIncarnation, DecisionCounts> decisions;  // by the process that took it out
  // The latest drain notice: the start time of the worker that it is about (Unix seconds).
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
  std::uint64_t acked_sequence = 0;  // of an update that has come
  bool request_all = false;          // for all records of the receiver, where digests differ
  std::vector<MaintenanceRecord> records;
};

struct MaintenanceTimings {
  double retransmit_interval_s = 0.1;  // of an update, to further members
  double digest_interval_s = 1.0;      // between comparisons of digests with one member
  double drain_retention_s = 300.0;    // a drain notice is dropped so long after the last mention
  int fanout = 3;
  int max_transmissions = 12;  // of one update, until anti-entropy must do
};

class MaintenanceRegistry {
 public:
  static constexpr std::size_t kMaxWorkers = 2048;
  struct Actions {
    std::vector<std::pair<NodeId, MaintenanceGossip>> send;
    std::vector<std::string> taken_out, put_back;  // workers whose state changed so
    std::vector<MaintenanceRecord> drains;         // with a new drain notice
    std::vector<MaintenanceRecord> changed;        // with new decisions: to be kept on disk
    // Numbers of SetMaintenance() whose decision another member has now.
    std::vector<std::uint64_t> replicated;
  };

  MaintenanceRegistry(NodeId self, ProcessIncarnation process_incarnation,
                      const MaintenanceTimings& timings, std::uint64_t seed, double now);

  // An operator's decision at this member. Returns the number that comes in Actions::replicated, or
  // 0 where kMaxWorkers are in maintenance.
  std::uint64_t SetMaintenance(double now, const std::string& worker, bool out, Actions* actions);
  // Discovery has told this member that the worker drains, or is gone.
  void OnDrainNotice(double now, const std::string& worker, double started_at_s, bool gone);
  // A record from this member's disk, before any other event. Not gossiped; anti-entropy finds it.
  void Restore(double now, const MaintenanceRecord& record);
  void OnGossip(double now, NodeId from, const MaintenanceGossip& gossip, Actions* actions);
  // `alive`: the other members that are.
  void Tick(double now, const std::vector<NodeId>& alive, Actions* actions);
  double NextAt() const;  // when Tick is due

  bool InMaintenance(const std::string& worker) const;
  std::vector<std::string> WorkersInMaintenance() const;
  std::size_t size() const { return entries_.size(); }
  std::vector<MaintenanceRecord> Records() const;
  // Has another member compared its records with ours since the start?
  bool synced() const { return synced_; }
  std::uint64_t digest() const { return digest_; }

 private:
  struct Entry {
    MaintenanceRecord record;
    double mentioned_at = 0;
  };
  struct Update {  // a record on its way to the other members
    std::uint64_t sequence = 0;
    std::string worker;
    std::set<NodeId> acked_by;
    int transmissions_left = 0;
    bool own = false;  // made here: the caller waits for its replication
  };

  // The worker's entry, made where there is none; null where there is no room.
  Entry* FindOrMake(double now, const std::string& worker);
  bool EvictOldest();
  void OnChanged(const std::string& worker, std::uint64_t digest_before);
  void StartUpdate(const std::string& worker, bool own);
  void Merge(double now, const MaintenanceRecord& record, Actions* actions);
  void OnAck(NodeId from, std::uint64_t sequence, Actions* actions);
  void SendUpdates(double now, const std::vector<NodeId>& alive, Actions* actions);
  void SendUpdate(const std::vector<NodeId>& alive, Update* update, Actions* actions);
  void CompareDigests(double now, const std::vector<NodeId>& alive, Actions* actions);
  void DropOldDrains(double now);
  // The next records that have decisions, after last_sent_worker_ in turn.
  MaintenanceGossip NextRecords() const;

  NodeId self_;
  ProcessIncarnation process_incarnation_;
  MaintenanceTimings timings_;
  Random random_;
  std::map<std::string, Entry> entries_;
  std::uint64_t digest_ = 0, last_sequence_ = 0;
  std::vector<Update> updates_;
  double update_at_, compare_at_;
  std::string last_sent_worker_;  // of all records, where they don't fit in one frame
  bool synced_ = false;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_MAINTENANCE_REGISTRY_H_
