// Who is there and who has failed: SWIM (Das, Gupta, Motivala 2002) with the refinements of
// Lifeguard (Dadgar, Phillips, Currey 2018). docs/design/membership.md says what is ours.
//
// Decides only: datagrams and time in, datagrams and changes out. State is bounded by the number of
// members. All times are seconds on a clock that never runs back and counts pauses of the process.
#ifndef MILLETHOLLOW_MEMBERSHIP_FAILURE_DETECTOR_H_
#define MILLETHOLLOW_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "membership/types.h"

namespace millethollow::membership {

struct FailureDetectorTimings {
  double probe_interval_s = 0.25;  // one member is probed each period
  double probe_timeout_s = 0.1;    // without an answer for this long others are asked to probe it
  double gossip_interval_s =
      0.1;                       // while there is fresh news it goes to `fanout` members this often
  double suspicion_min_s = 1.2;  // a suspicion that others confirm ends in 'failed' after this,
  double suspicion_max_s = 1.7;  // and one that nobody confirms after this
  double failed_probe_interval_s = 1.0;  // a failed member is asked this often whether it is back
  int relays = 3;
  int fanout = 2;
};

// A datagram of the detector. It may be lost, doubled, late and out of order.
struct SwimMessage {
  enum class Kind : std::uint8_t { kPing, kAck, kPingRequest, kNack, kGossip };
  static constexpr std::size_t kMaxUpdates = 32;
  Kind kind = Kind::kGossip;
  std::uint32_t seq = 0;  // of the ping that it belongs to
  NodeId about = 0;       // kPingRequest: whom to probe; kAck, kNack by a relay: who was probed
  std::uint32_t incarnation = 0;  // of the sender
  std::uint64_t digest = 0;       // of the sender's table
  std::vector<GossipUpdate> updates;
};

struct FailureDetectorCounters {
  std::uint64_t probes = 0, failed_probes = 0, suspicions = 0, refutations = 0, failures = 0;
  std::uint64_t pauses_detected = 0;
};

class FailureDetector {
 public:
  struct Out {
    NodeId to = 0;
    SwimMessage probe;
  };
  struct Actions {
    std::vector<Out> send;
    std::vector<HealthChange> changes;
  };
  struct Member {
    NodeId id = 0;
    std::uint32_t incarnation = 0;
    Health health = Health::kAlive;
    double seen_at = -1;  // last heard itself; -1: never
    // A suspicion, and who confirms it.
    double suspect_since = 0;
    NodeId by = 0;
    std::vector<NodeId> confirmed_by;
    int tells_left = 0;  // how often its news still goes out
  };

  // `members` holds `self`. All are taken for alive at first.
  FailureDetector(NodeId self, const std::vector<NodeId>& members,
                  const FailureDetectorTimings& timings, std::uint64_t seed, double now);

  void OnMessage(double now, NodeId from, const SwimMessage& probe, Actions* actions);
  void Tick(double now, Actions* actions);
  // Tells some that this member goes. Nothing is probed any more; what asks is still answered.
  void Leave(double now, Actions* actions);
  double NextAt() const;  // when Tick is due

  const std::vector<Member>& members() const { return members_; }
  const Member* Find(NodeId id) const;
  const FailureDetectorCounters& counters() const { return counters_; }
  int local_health_multiplier() const { return slowness_; }  // 0 to 8

 private:
  struct Asked {  // a ping that waits for its answer
    std::uint32_t seq = 0;
    std::size_t target = 0;
    double next_at = 0;  // of the step that is next: asking others, then giving up
    bool asked_others = false;
    int nacks_due = 0, nacks = 0;
    bool only_asks = false;  // of a failed member: silence says nothing new
  };
  struct Relayed {  // a ping on behalf of another
    std::uint32_t seq = 0, their_seq = 0;
    NodeId whom = 0, target = 0;
    double nack_at = 0;
  };

  // A process that was stopped has heard nothing: what it waited for gets the time that it lost.
  void NoticeStop(double now);
  Member* At(NodeId id);
  void Learn(double now, const GossipUpdate& news, Actions* actions);
  void Refute(double now, std::uint32_t incarnation, Actions* actions);
  void Set(Member* member, std::uint32_t incarnation, Health health, Actions* actions);
  void Suspect(double now, Member* member, std::uint32_t incarnation, NodeId by, Actions* actions);
  double SuspicionEnds(const Member& member) const;
  std::size_t Successor() const;
  void Ping(double now, std::size_t target, Actions* actions);
  void StartProbe(double now, Actions* actions);
  void AskFailed(double now, Actions* actions);
  void Step(double now, Asked* asked, Actions* actions);
  void Answered(std::uint32_t seq, NodeId about, bool yes, Actions* actions);
  SwimMessage Make(SwimMessage::Kind kind, std::uint32_t seq, const Member* to,
                   std::uint64_t their_digest);
  void Send(NodeId to, SwimMessage probe, Actions* actions) {
    actions->send.push_back({to, std::move(probe)});
  }
  void SendNews(std::size_t how_many, Actions* actions);
  int Tells() const;
  void Slower(int by) { slowness_ = std::min(8, std::max(0, slowness_ + by)); }

  NodeId self_;
  FailureDetectorTimings t_;
  Random random_;
  std::vector<Member> members_;
  std::unordered_map<NodeId, std::size_t> index_;
  std::vector<std::size_t> order_;  // of probing; shuffled anew after each round
  std::size_t next_in_order_ = 0, next_failed_ = 0, next_told_ = 0;
  std::vector<std::size_t> fresh_;  // members with tells left
  std::vector<Asked> asked_;
  std::vector<Relayed> relayed_;
  std::uint32_t seq_ = 0;
  std::uint64_t digest_ = 0;
  int suspects_ = 0;
  int slowness_ = 0;
  double probe_at_, gossip_at_, ask_failed_at_, due_at_;
  bool leaving_ = false, successors_turn_ = false;
  FailureDetectorCounters counters_;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_FAILURE_DETECTOR_H_
