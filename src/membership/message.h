// Messages of view agreement between members: a type for each kind. Any message may be lost,
// duplicated, late or out of order. Their wire form is in codec/membership.cpp.
#ifndef MILLETHOLLOW_MEMBERSHIP_MESSAGE_H_
#define MILLETHOLLOW_MEMBERSHIP_MESSAGE_H_

#include <variant>
#include <vector>

#include "membership/types.h"

namespace millethollow::membership {

// A voter and its storage identity, as somebody knows it.
struct VoterIdentity {
  NodeId id = 0;
  StorageIdentity storage_identity;
};
using VoterIdentities = std::vector<VoterIdentity>;  // by rising id

// VoterHeader::features from which on a build reads and writes logs in views. Logs are opened once
// all voters know them: one that does not would propose views without them.
constexpr std::uint8_t kLogsFeature = 1;

// What each message of a voter says about its sender's storage.
struct VoterHeader {
  StorageIdentity storage_identity;  // number 0: it has none yet
  VoterIdentities known_identities;  // of all voters, its own among them
  std::uint64_t writes = 0;          // VoterState::writes of the sender
  std::uint8_t features = 0;         // of the sender's build; 0: the first one
};

// ---- recovery of a voter's storage identity ----

// A voter that starts asks what the others know of its storage identity.
struct IdentityQuery {
  VoterHeader voter;
  std::uint64_t nonce = 0;
};
// `voter.writes` is not sent: in its place goes what the replier has seen of the asker's writes.
struct IdentityReply {
  VoterHeader voter;
  std::uint64_t nonce = 0;
  std::uint64_t writes_seen = 0;
  bool never_promised = false;  // the replier has no vote on record
};
// A voter that lost its disk: from now on it has the identity in `voter.storage_identity`.
struct IdentityClaim {
  VoterHeader voter;
  std::uint64_t nonce = 0;
};
// `voter.storage_identity` is the one that was claimed.
struct IdentityClaimAck {
  VoterHeader voter;
  Ballot promised, accepted_by;
  View accepted;
};

// ---- elections and votes ----

// Does the receiver miss the leader too? Asked before a ballot is opened.
struct LeaderLossQuery {
  VoterHeader voter;
  std::uint64_t query_number = 0;
};
struct LeaderLossReply {
  VoterHeader voter;
  Ballot promised;
  std::uint64_t query_number = 0;
  bool leader_lost = false;
};
struct Prepare {
  VoterHeader voter;
  Ballot ballot;
};
struct Promise {
  VoterHeader voter;
  Ballot ballot, accepted_by;
  View accepted;
};
struct Propose {
  VoterHeader voter;
  Ballot ballot;
  View view;
  VoterIdentities quorum;  // whose promises made the leader
};
struct Accepted {
  VoterHeader voter;
  Ballot ballot;
  std::uint64_t epoch = 0;
};
struct Rejection {
  VoterHeader voter;
  Ballot promised;  // the higher one
};
struct Heartbeat {
  VoterHeader voter;
  Ballot ballot;
  VoterIdentities quorum;
  std::uint64_t sequence = 0;
};
struct HeartbeatAck {
  VoterHeader voter;
  Ballot ballot;
  std::uint64_t sequence = 0;
};

// ---- to and from any member ----
// `origin`: where a voter in between passes the message on, the member that asked; else 0.

struct ViewDecided {
  View view;
  NodeId origin = 0;
};
struct LeaseRequest {
  std::uint64_t epoch = 0;  // of the latest view that the member knows
  ProcessIncarnation process_incarnation = 0;
  double requested_at_s = 0;  // on the clock of the member that asks
  NodeId origin = 0;
  std::uint64_t store_id = 0;              // of its store of copies; 0: none
  std::vector<LogAssignment> wanted_logs;  // as LogRequest::logs
};
struct LeaseGrant {
  Ballot ballot;
  std::uint64_t epoch = 0;
  ProcessIncarnation process_incarnation = 0;
  double requested_at_s = 0;  // as in the request
  double duration_s = 0;      // from requested_at_s
  NodeId origin = 0;
};
// The leader is another, as far as the sender knows: ballot.proposer.
struct LeaderRedirect {
  Ballot ballot;
  NodeId origin = 0;
};
// Another process speaks under the receiver's member id.
struct IdentityConflict {
  ProcessIncarnation process_incarnation = 0;  // of the other process
  bool both_present = false;  // neither of them is a late message of one that ended
  NodeId origin = 0;
};
// This process needs no lease any more.
struct LeaseRelease {
  ProcessIncarnation process_incarnation = 0;
  NodeId origin = 0;
};

// In the order of their numbers on the wire.
using AgreementMessage =
    std::variant<IdentityQuery, IdentityReply, IdentityClaim, IdentityClaimAck, LeaderLossQuery,
                 LeaderLossReply, Prepare, Promise, Propose, Accepted, Rejection, Heartbeat,
                 HeartbeatAck, ViewDecided, LeaseRequest, LeaseGrant, LeaderRedirect,
                 IdentityConflict, LeaseRelease>;

struct OutgoingMessage {
  NodeId to = 0;
  AgreementMessage message;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_MESSAGE_H_
