// Failure detector and dissemination of membership: SWIM (Das, Gupta, Motivala 2002) with the
// refinements of Lifeguard (Dadgar, Phillips, Currey 2018). docs/design/membership.md says where it
// differs from them.
//
// Decides only; not thread-safe: messages and time in, messages and health changes out. State is
// bounded by the number of members. All times are seconds on a clock that never runs back and
// counts pauses of the process.
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
  double probe_interval_s = 0.25;        // one member is probed each interval
  double probe_timeout_s = 0.1;          // then relays are asked to probe the member
  double gossip_interval_s = 0.1;        // between sendings of fresh updates to `fanout` members
  double suspicion_min_s = 1.2;          // until a suspicion that others confirm ends in kFailed
  double suspicion_max_s = 1.7;          // and one that nobody confirms
  double failed_probe_interval_s = 1.0;  // between probes of failed members
  int relays = 3;
  int fanout = 2;
};

// A datagram of the detector. It may be lost, duplicated, late and out of order.
struct SwimMessage {
  enum class Kind : std::uint8_t { kPing, kAck, kPingRequest, kNack, kGossip };
  static constexpr std::size_t kMaxUpdates = 32;
  Kind kind = Kind::kGossip;
  std::uint32_t sequence = 0;     // of the ping that it belongs to
  NodeId subject = 0;             // kPingRequest: whom to probe; kAck, kNack: who was probed
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
  struct Outgoing {
    NodeId to = 0;
    SwimMessage message;
  };
  struct Actions {
    std::vector<Outgoing> send;
    std::vector<HealthChange> changes;
  };
  struct Member {
    NodeId id = 0;
    std::uint32_t incarnation = 0;
    Health health = Health::kAlive;
    double seen_at = -1;  // when its last message came; -1: never
    // A suspicion, and who confirms it.
    double suspect_since = 0;
    NodeId suspected_by = 0;
    std::vector<NodeId> confirmed_by;
    int transmissions_left = 0;  // of the update about it
  };

  // `members` holds `self`. All count as alive at first.
  FailureDetector(NodeId self, const std::vector<NodeId>& members,
                  const FailureDetectorTimings& timings, std::uint64_t seed, double now);

  void OnMessage(double now, NodeId from, const SwimMessage& message, Actions* actions);
  void Tick(double now, Actions* actions);
  // Gossips that this member leaves. It probes nobody any more; probes of it are still answered.
  void Leave(double now, Actions* actions);
  double NextAt() const;  // when Tick is due

  const std::vector<Member>& members() const { return members_; }
  const Member* Find(NodeId id) const;
  const FailureDetectorCounters& counters() const { return counters_; }
  // Lifeguard's: 0 to 8; this process is slow, or is not heard well.
  int local_health_multiplier() const { return local_health_multiplier_; }

 private:
  struct PendingProbe {  // a ping that waits for its answer
    std::uint32_t sequence = 0;
    std::size_t target = 0;  // in members_
    double next_at = 0;      // of the next step: asking relays, then suspicion; -1: it is over
    bool relays_asked = false;
    int nacks_expected = 0, nacks_received = 0;
    bool of_failed_member = false;  // silence says nothing new
  };
  struct RelayedPing {  // a ping on behalf of another member
    std::uint32_t sequence = 0, their_sequence = 0;
    NodeId requester = 0, target = 0;
    double nack_at = 0;
  };

  Member* FindMember(NodeId id);
  // A process that was paused has received nothing: what it waits for gets the lost time.
  void CompensatePause(double now);
  void AdjustLocalHealth(int by);

  // Health of members.
  void OnUpdate(double now, const GossipUpdate& update, Actions* actions);
  void Refute(double now, std::uint32_t incarnation, Actions* actions);
  void SetHealth(Member* member, std::uint32_t incarnation, Health health, Actions* actions);
  void Suspect(double now, Member* member, std::uint32_t incarnation, NodeId by, Actions* actions);
  void FailSuspects(double now, Actions* actions);
  double SuspicionEndsAt(const Member& member) const;

  // Probes.
  std::size_t Successor() const;
  void Ping(double now, std::size_t target, Actions* actions);
  void ProbeNext(double now, Actions* actions);
  void ProbeFailedMember(double now, Actions* actions);
  void AdvanceProbes(double now, Actions* actions);
  void AdvanceProbe(double now, PendingProbe* probe, Actions* actions);
  void AskRelays(double now, PendingProbe* probe, Actions* actions);
  void RelayPing(double now, NodeId from, const SwimMessage& request, Actions* actions);
  void SendNacks(double now, Actions* actions);
  void OnProbeAnswer(std::uint32_t sequence, NodeId subject, bool yes, Actions* actions);

  // Messages and the updates in them.
  SwimMessage MakeMessage(SwimMessage::Kind kind, std::uint32_t sequence, const Member* to,
                          std::uint64_t their_digest);
  static void AddUpdate(const Member& member, SwimMessage* message);
  void AddQueuedUpdates(const Member* to, SwimMessage* message);
  void AddTableUpdates(SwimMessage* message);
  void QueueUpdate(Member* member);
  void Send(NodeId to, SwimMessage message, Actions* actions) {
    actions->send.push_back({to, std::move(message)});
  }
  void Gossip(std::size_t receivers, Actions* actions);
  int MaxTransmissions() const;

  NodeId self_;
  FailureDetectorTimings timings_;
  Random random_;
  std::vector<Member> members_;
  std::unordered_map<NodeId, std::size_t> index_;
  std::vector<std::size_t> probe_order_;  // all others; shuffled anew after each round
  std::size_t next_in_probe_order_ = 0, next_failed_ = 0, next_table_update_ = 0;
  std::vector<std::size_t> gossip_queue_;  // members with transmissions left
  std::vector<PendingProbe> pending_probes_;
  std::vector<RelayedPing> relayed_pings_;
  std::uint32_t sequence_ = 0;
  std::uint64_t digest_ = 0;
  int suspect_count_ = 0;
  int local_health_multiplier_ = 0;
  double probe_at_, gossip_at_, probe_failed_at_, next_tick_at_;
  bool leaving_ = false, probe_successor_next_ = false;
  FailureDetectorCounters counters_;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_FAILURE_DETECTOR_H_
