// Messages of view agreement between members, a type for each kind. Any message may be lost,
// duplicated, delayed or reordered. codec/membership.cpp has their wire format.
#ifndef MILLETHOLLOW_MEMBERSHIP_MESSAGE_H_
#define MILLETHOLLOW_MEMBERSHIP_MESSAGE_H_

#include <variant>
#include <vector>

#include "membership/types.h"

namespace millethollow::membership {

// A voter and its storage identity, as known to the sender.
struct VoterIdentity {
  NodeId id = 0;
  StorageIdentity storage_identity;
};
using VoterIdentities = std::vector<VoterIdentity>;  // in ascending order of id

// The lowest VoterHeader::feature_level of builds that support logs in views. Logs are opened
// once all voters have such a build: an older one would propose views without logs.
constexpr std::uint8_t kLogsFeatureLevel = 1;

// The part of every message between voters that is about the sender's storage.
struct VoterHeader {
  StorageIdentity storage_identity;  // number 0: it has none yet
  VoterIdentities known_identities;  // of all voters, including its own
  std::uint64_t writes = 0;          // PersistentVoterState::writes of the sender
  std::uint8_t feature_level = 0;    // of the sender's build; 0: the first one
};

// ---- recovery of a voter's storage identity ----

// A starting voter asks the other voters for the storage identity that they know for it.
struct IdentityQuery {
  VoterHeader voter;
  std::uint64_t nonce = 0;
};
// `voter.writes` is not sent: `writes_seen` takes its place on the wire.
struct IdentityReply {
  VoterHeader voter;
  std::uint64_t nonce = 0;        // of the query
  std::uint64_t writes_seen = 0;  // the most writes of the requester that the replier knows of
  bool never_promised = false;    // the replier has no vote on record
};
// A voter that lost its disk claims the new identity in `voter.storage_identity`.
struct IdentityClaim {
  VoterHeader voter;
  std::uint64_t nonce = 0;
};
// `voter.storage_identity` is the claimed one, the votes are the replier's.
struct IdentityClaimAck {
  VoterHeader voter;
  Ballot promised, accepted_by;
  View accepted;
};

// ---- elections and votes ----

// Asks whether the receiver has lost contact with the leader too, before an election starts (the
// pre-vote of Raft: Ongaro 2014, section 9.6).
struct LeaderLossQuery {
  VoterHeader voter;
  std::uint64_t query_number = 0;
};
struct LeaderLossReply {
  VoterHeader voter;
  Ballot promised;  // the highest one
  std::uint64_t query_number = 0;
  bool leader_lost = false;
};
// Phase 1 of Paxos: asks for a promise to take part in no lower ballot.
struct Prepare {
  VoterHeader voter;
  Ballot ballot;
};
// Promises the ballot, with the view that the voter accepted last and the ballot of that.
struct Promise {
  VoterHeader voter;
  Ballot ballot, accepted_by;
  View accepted;
};
// Phase 2 of Paxos: the leader's proposal of a view.
struct Propose {
  VoterHeader voter;
  Ballot ballot;
  View view;
  VoterIdentities quorum;  // the voters whose promises elected the leader
};
struct Accepted {
  VoterHeader voter;
  Ballot ballot;
  std::uint64_t epoch = 0;  // of the accepted view
};
// The voter has promised a higher ballot than that of the request, or knows that a voter of its
// quorum has lost its storage.
struct Rejection {
  VoterHeader voter;
  Ballot promised;  // the highest one
};
// Sent by the leader at intervals. An acknowledgement by a majority confirms its leadership.
struct Heartbeat {
  VoterHeader voter;
  Ballot ballot;
  VoterIdentities quorum;  // as in Propose
  std::uint64_t sequence = 0;
};
struct HeartbeatAck {
  VoterHeader voter;
  Ballot ballot;
  std::uint64_t sequence = 0;
};

// ---- to and from any member ----
// `origin`: in a message that a voter relays, the member that sent the request; otherwise 0.

// A view that a majority of the voters has accepted.
struct ViewDecided {
  View view;
  NodeId origin = 0;
};
// Requests a lease on the member's entry in the view. Also informs the leader that the member is
// present, which view it knows, and which logs it requests.
struct LeaseRequest {
  std::uint64_t epoch = 0;  // of the latest view that the member knows
  ProcessIncarnation process_incarnation = 0;
  double requested_at_s = 0;  // on the requesting member's clock
  NodeId origin = 0;
  std::uint64_t store_id = 0;                 // of its store of log replicas; 0: none
  std::vector<LogAssignment> requested_logs;  // as LogRequest::logs
};
// Grants the lease; a majority has confirmed that its sender still leads.
struct LeaseGrant {
  Ballot ballot;
  std::uint64_t epoch = 0;
  ProcessIncarnation process_incarnation = 0;
  double requested_at_s = 0;  // as in the request
  double duration_s = 0;      // from requested_at_s
  NodeId origin = 0;
};
// The sender does not lead. ballot.proposer is the leader that it knows; 0: none.
struct LeaderRedirect {
  Ballot ballot;
  NodeId origin = 0;
};
// Another process uses the receiver's member id.
struct IdentityConflict {
  ProcessIncarnation process_incarnation = 0;  // of the other process
  bool both_present = false;  // both processes run; it is not a delayed message of an ended one
  NodeId origin = 0;
};
// The process gives up its lease, as it leaves the cluster.
struct LeaseRelease {
  ProcessIncarnation process_incarnation = 0;
  NodeId origin = 0;
};

// In the order of their type numbers on the wire.
using AgreementMessage =
    std::variant<IdentityQuery, IdentityReply, IdentityClaim, IdentityClaimAck, LeaderLossQuery,
                 LeaderLossReply, Prepare, Promise, Propose, Accepted, Rejection, Heartbeat,
                 HeartbeatAck, ViewDecided, LeaseRequest, LeaseGrant, LeaderRedirect,
                 IdentityConflict, LeaseRelease>;

// A message to be sent, and its recipient.
struct OutgoingMessage {
  NodeId to = 0;
  AgreementMessage message;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_MESSAGE_H_
