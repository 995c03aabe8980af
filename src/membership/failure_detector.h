// Failure detector and gossip of member health: SWIM (Das, Gupta, Motivala 2002) with the
// refinements of Lifeguard (Dadgar, Phillips, Currey 2018). docs/design/membership.md says where it
// differs from them.
//
// No I/O and no clock of its own: takes messages and the time, returns messages and health changes.
// Not thread-safe. State is bounded by the number of members. All times are seconds on a monotonic
// clock that counts pauses of the process.
#ifndef MILLETHOLLOW_MEMBERSHIP_FAILURE_DETECTOR_H_
#define MILLETHOLLOW_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "membership/types.h"

namespace millethollow::membership {

// Durations in seconds, and numbers of members that a message is sent to.
struct FailureDetectorTimings {
  double probe_interval_s = 0.25;        // one member is probed each interval
  double probe_timeout_s = 0.1;          // until relays are asked to probe the member too
  double gossip_interval_s = 0.1;        // between gossip messages with queued updates
  double suspicion_min_s = 1.2;          // until a member that several suspect counts as failed
  double suspicion_max_s = 1.7;          // until a member that only one suspects counts as failed
  double failed_probe_interval_s = 1.0;  // between probes of failed members
  int relays = 3;                        // of the indirect probes of one member
  int fanout = 2;                        // members that each gossip message goes to
};

// A datagram of the detector. It may be lost, duplicated, delayed or reordered.
struct SwimMessage {
  enum class Kind : std::uint8_t { kPing, kAck, kPingRequest, kNack, kGossip };
  static constexpr std::size_t kMaxUpdates = 32;
  Kind kind = Kind::kGossip;
  std::uint32_t sequence = 0;     // of the probe that it belongs to
  NodeId subject = 0;             // kPingRequest: the member to probe; kAck, kNack: the probed one
  std::uint32_t incarnation = 0;  // of the sender
  std::uint64_t digest = 0;       // of the sender's member table
  std::vector<GossipUpdate> updates;
};

// Counts since the start.
struct FailureDetectorCounters {
  std::uint64_t probes = 0, failed_probes = 0, suspicions = 0, refutations = 0, failures = 0;
  std::uint64_t pauses_detected = 0;
};

// The failure detector of one member.
class FailureDetector {
 public:
  // A message and its recipient.
  struct Outgoing {
    NodeId to = 0;
    SwimMessage message;
  };
  // The result of a call: messages to be sent, and health changes.
  struct Actions {
    std::vector<Outgoing> send;
    std::vector<HealthChange> changes;
  };
  // An entry of the member table.
  struct Member {
    NodeId id = 0;
    std::uint32_t incarnation = 0;
    Health health = Health::kAlive;
    double last_message_at = -1;  // arrival of its last message; -1: none has arrived
    double suspect_since = 0;
    NodeId suspected_by = 0;           // the member that suspected it first or confirmed it last
    std::vector<NodeId> confirmed_by;  // all members that suspect it
    int transmissions_left = 0;        // of the update about it
  };

  // `members` includes `self`. All count as alive at first.
  FailureDetector(NodeId self, const std::vector<NodeId>& members,
                  const FailureDetectorTimings& timings, std::uint64_t seed, double now);

  void OnMessage(double now, NodeId from, const SwimMessage& message, Actions* actions);
  // Sends the probes and gossip that are due, and ends suspicions.
  void Tick(double now, Actions* actions);
  // Gossips that this member leaves. It stops probing but still answers probes.
  void Leave(double now, Actions* actions);
  double NextTickAt() const;  // when Tick is due

  const std::vector<Member>& members() const { return members_; }
  const Member* Find(NodeId id) const;
  const FailureDetectorCounters& counters() const { return counters_; }
  // Lifeguard's local health multiplier, 0 to 8: the higher, the more likely it is that this
  // process is slow or its messages are lost. It lengthens the timeouts of probes.
  int local_health_multiplier() const { return local_health_multiplier_; }

 private:
  struct PendingProbe {  // a ping without an ack so far
    std::uint32_t sequence = 0;
    std::size_t target = 0;  // index in members_
    double next_at = 0;      // of the next step: indirect probes, then suspicion; -1: none is left
    bool indirect_probes_requested = false;
    int nacks_expected = 0, nacks_received = 0;
    bool of_failed_member = false;  // the target has failed or left: without an ack it stays so
  };
  struct RelayedPing {  // a ping on behalf of another member, the requester
    std::uint32_t sequence = 0, requester_sequence = 0;
    NodeId requester = 0, target = 0;
    double nack_at = 0;
  };

  Member* FindMember(NodeId id);
  // A process that was paused has received nothing: extends its timeouts by the pause.
  void CompensatePause(double now);
  void AdjustLocalHealth(int change);

  // Health of members.
  void OnUpdate(double now, const GossipUpdate& update, Actions* actions);
  void Refute(double now, std::uint32_t incarnation, Actions* actions);
  void SetHealth(Member* member, std::uint32_t incarnation, Health health, Actions* actions);
  void Suspect(double now, Member* member, std::uint32_t incarnation, NodeId suspected_by,
               Actions* actions);
  void ExpireSuspicions(double now, Actions* actions);
  double SuspicionEndsAt(const Member& member) const;

  // Probes.
  std::size_t Successor() const;
  void Ping(double now, std::size_t target, Actions* actions);
  void ProbeNext(double now, Actions* actions);
  void ProbeFailedMember(double now, Actions* actions);
  void AdvanceProbes(double now, Actions* actions);
  void AdvanceProbe(double now, PendingProbe* probe, Actions* actions);
  void RequestIndirectProbes(double now, PendingProbe* probe, Actions* actions);
  void RelayPing(double now, NodeId from, const SwimMessage& request, Actions* actions);
  void SendNacks(double now, Actions* actions);
  void OnProbeReply(std::uint32_t sequence, NodeId subject, bool acked, Actions* actions);

  // Messages and their piggybacked updates.
  SwimMessage MakeMessage(SwimMessage::Kind kind, std::uint32_t sequence, const Member* to,
                          std::uint64_t peer_digest);
  static void AddUpdate(const Member& member, SwimMessage* message);
  void AddQueuedUpdates(const Member* to, SwimMessage* message);
  void AddTableUpdates(SwimMessage* message);
  void QueueUpdate(Member* member);
  void Send(NodeId to, SwimMessage message, Actions* actions) {
    actions->send.push_back({to, std::move(message)});
  }
  void Gossip(std::size_t fanout, Actions* actions);
  int MaxTransmissions() const;

  NodeId self_;
  FailureDetectorTimings timings_;
  Random random_;
  std::vector<Member> members_;
  std::unordered_map<NodeId, std::size_t> index_;
  std::vector<std::size_t> probe_order_;  // all other members, shuffled again after each round
  std::size_t next_in_probe_order_ = 0, last_failed_probed_ = 0, last_table_update_ = 0;
  std::vector<std::size_t> gossip_queue_;  // members whose updates have transmissions left
  std::vector<PendingProbe> pending_probes_;
  std::vector<RelayedPing> relayed_pings_;
  std::uint32_t sequence_ = 0;
  std::uint64_t digest_ = 0;  // of members_
  int suspect_count_ = 0;
  int local_health_multiplier_ = 0;
  double probe_at_, gossip_at_, probe_failed_at_, next_tick_at_;  // when each is due
  bool leaving_ = false, probe_successor_next_ = false;
  FailureDetectorCounters counters_;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_FAILURE_DETECTOR_H_
