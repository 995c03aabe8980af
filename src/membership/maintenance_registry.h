// What is said once to any member and holds on all: workers out by hand, and drains that discovery
// told to one. Each fact merges the same in any order and any number of times, so news of it may be
// lost, doubled and late; two sides of a cut merge when it is healed. A worker taken out is out
// until a call back that came after it: a call back ends the calls out that its node knew, and no
// others (an observed-remove set: Shapiro, Preguica, Baquero, Zawirski 2011).
//
// Decides only. State is bounded by kMaxWorkers; news goes to a few members at random and on from
// there, and members whose digests differ exchange all they have (Demers et al. 1987).
#ifndef MILLETHOLLOW_MEMBERSHIP_MAINTENANCE_REGISTRY_H_
#define MILLETHOLLOW_MEMBERSHIP_MAINTENANCE_REGISTRY_H_

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
  // By the life that took it out: how often, and how many of these were called back.
  std::map<ProcessIncarnation, DecisionCounts> decisions;
  // The latest drain that was told: the worker's start that it speaks of (Unix seconds), and what:
  // 0 nothing, 1 drains, 2 gone.
  double started_at_s = 0;
  DrainState drain_state = DrainState::kNone;
  bool InMaintenance() const;
  bool operator==(const MaintenanceRecord&) const = default;
};

struct MaintenanceGossip {
  static constexpr std::size_t kMost = 12;  // facts in one frame
  std::uint64_t digest = 0;                 // of all that the sender has
  std::uint64_t sequence = 0;               // to be answered with; 0: this is no telling
  std::uint64_t acked_sequence = 0;         // the number of a telling that has come
  bool request_all = false;                 // for all that the receiver has, where digests differ
  std::vector<MaintenanceRecord> records;
};

struct MaintenanceTimings {
  double retransmit_interval_s = 0.1;  // an unanswered telling is told again, to others too
  double digest_interval_s = 1.0;      // digests are compared with one member this often
  double drain_retention_s = 300.0;    // a drain that nobody spoke of for so long
  int fanout = 3;
  int tellings = 12;  // of one fact, until comparing digests must do
};

class MaintenanceRegistry {
 public:
  static constexpr std::size_t kMaxWorkers = 2048;
  struct Actions {
    std::vector<std::pair<NodeId, MaintenanceGossip>> send;
    std::vector<std::string> taken_out, put_back;  // workers whose calls changed so
    std::vector<MaintenanceRecord> drains;         // drains that were news
    std::vector<MaintenanceRecord> changed;  // calls by hand, as they are now: to be kept on disk
    std::vector<std::uint64_t>
        replicated;  // numbers of SetMaintenance() that another member has now
  };

  MaintenanceRegistry(NodeId self, ProcessIncarnation process_incarnation,
                      const MaintenanceTimings& timings, std::uint64_t seed, double now);

  // `alive`: the other members that are there. Returns the number under which replicated comes, and
  // 0 where the store is full of workers that are out.
  std::uint64_t SetMaintenance(double now, const std::string& worker, bool out, Actions* actions);
  void OnDrainNotice(double now, const std::string& worker, double started_at_s, bool gone);
  // What this member's disk had: before any other event. Told to nobody; comparing finds it.
  void Restore(double now, const MaintenanceRecord& fact);
  void OnGossip(double now, NodeId from, const MaintenanceGossip& news, Actions* actions);
  void Tick(double now, const std::vector<NodeId>& alive, Actions* actions);
  double NextAt() const;

  bool InMaintenance(const std::string& worker) const;
  std::vector<std::string> WorkersInMaintenance() const;
  std::size_t size() const { return facts_.size(); }
  std::vector<MaintenanceRecord> Records() const;  // all there are
  // Has another member compared its facts with ours since the start?
  bool synced() const { return synced_; }
  std::uint64_t digest() const { return digest_; }

 private:
  struct Kept {
    MaintenanceRecord fact;
    double spoken_at = 0;
  };
  struct Telling {
    std::uint64_t number = 0;
    std::string worker;
    std::set<NodeId> told;
    int left = 0;
    bool own = false;  // somebody waits to hear of it
  };
  void Merge(double now, const MaintenanceRecord& fact, Actions* actions);
  MaintenanceGossip All() const;
  Kept* Keep(double now, const std::string& worker);
  void Changed(const std::string& worker, std::uint64_t before);
  void StartTelling(const std::string& worker, bool own);

  NodeId self_;
  ProcessIncarnation process_incarnation_;
  MaintenanceTimings t_;
  Random random_;
  std::map<std::string, Kept> facts_;
  std::uint64_t digest_ = 0, numbers_ = 0;
  std::vector<Telling> tellings_;
  double tell_at_, compare_at_;
  std::string next_sent_;  // of all, where they don't fit in one frame
  bool synced_ = false;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_MAINTENANCE_REGISTRY_H_
