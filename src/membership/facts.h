// What is said once to any member and holds on all: workers out by hand, and drains that discovery
// told to one. Each fact merges the same in any order and any number of times, so news of it may be
// lost, doubled and late; two sides of a cut merge when it is healed. A worker taken out is out
// until a call back that came after it: a call back ends the calls out that its node knew, and no
// others (an observed-remove set: Shapiro, Preguica, Baquero, Zawirski 2011).
//
// Decides only. State is bounded by kMostWorkers; news goes to a few members at random and on from
// there, and members whose digests differ exchange all they have (Demers et al. 1987).
#ifndef MILLETHOLLOW_MEMBERSHIP_FACTS_H_
#define MILLETHOLLOW_MEMBERSHIP_FACTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/types.h"

namespace millethollow::membership {

struct Fact {
  std::string worker;
  // By the life that took it out: how often, and how many of these were called back.
  std::map<Life, std::pair<std::uint32_t, std::uint32_t>> calls;
  // The latest drain that was told: the worker's start that it speaks of (Unix seconds), and what:
  // 0 nothing, 1 drains, 2 gone.
  double started_at_s = 0;
  std::uint8_t down = 0;
  bool Out() const;
  bool operator==(const Fact&) const = default;
};

struct FactNews {
  static constexpr std::size_t kMost = 12;  // facts in one frame
  std::uint64_t digest = 0;                 // of all that the sender has
  std::uint64_t number = 0;                 // to be answered with; 0: this is no telling
  std::uint64_t answers = 0;                // the number of a telling that has come
  bool ask = false;                         // for all that the receiver has, where digests differ
  std::vector<Fact> facts;
};

struct FactTimings {
  double retell_s = 0.1;    // an unanswered telling is told again, to others too
  double compare_s = 1.0;   // digests are compared with one member this often
  double forget_s = 300.0;  // a drain that nobody spoke of for so long
  int fanout = 3;
  int tellings = 12;  // of one fact, until comparing digests must do
};

class Facts {
 public:
  static constexpr std::size_t kMostWorkers = 2048;
  struct Actions {
    std::vector<std::pair<NodeId, FactNews>> send;
    std::vector<std::string> out, back;   // workers whose calls changed so
    std::vector<Fact> down;               // drains that were news
    std::vector<Fact> changed;            // calls by hand, as they are now: to be kept on disk
    std::vector<std::uint64_t> heard_of;  // numbers of Say() that another member has now
  };

  Facts(NodeId self, Life life, const FactTimings& timings, std::uint64_t seed, double now);

  // `alive`: the other members that are there. Returns the number under which heard_of comes, and 0
  // where the store is full of workers that are out.
  std::uint64_t Say(double now, const std::string& worker, bool out, Actions* actions);
  void Told(double now, const std::string& worker, double started_at_s, bool gone);
  // What this member's disk had: before any other event. Told to nobody; comparing finds it.
  void Restore(double now, const Fact& fact);
  void Hear(double now, NodeId from, const FactNews& news, Actions* actions);
  void Tick(double now, const std::vector<NodeId>& alive, Actions* actions);
  double NextAt() const;

  bool Out(const std::string& worker) const;
  std::vector<std::string> AllOut() const;
  std::size_t size() const { return facts_.size(); }
  std::vector<Fact> Known() const;  // all there are
  // Has another member compared its facts with ours since the start?
  bool synced() const { return synced_; }
  std::uint64_t digest() const { return digest_; }

 private:
  struct Kept {
    Fact fact;
    double spoken_at = 0;
  };
  struct Telling {
    std::uint64_t number = 0;
    std::string worker;
    std::set<NodeId> told;
    int left = 0;
    bool own = false;  // somebody waits to hear of it
  };
  void Merge(double now, const Fact& fact, Actions* actions);
  FactNews All() const;
  Kept* Keep(double now, const std::string& worker);
  void Changed(const std::string& worker, std::uint64_t before);
  void StartTelling(const std::string& worker, bool own);

  NodeId self_;
  Life life_;
  FactTimings t_;
  Random random_;
  std::map<std::string, Kept> facts_;
  std::uint64_t digest_ = 0, numbers_ = 0;
  std::vector<Telling> tellings_;
  double tell_at_, compare_at_;
  std::string next_sent_;  // of all, where they don't fit in one frame
  bool synced_ = false;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_FACTS_H_
