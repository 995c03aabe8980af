// What members say to each other to agree. Any message may be lost, doubled, late or out of order.
#ifndef MILLETHOLLOW_MEMBERSHIP_MESSAGE_H_
#define MILLETHOLLOW_MEMBERSHIP_MESSAGE_H_

#include <utility>
#include <vector>

#include "membership/types.h"

namespace millethollow::membership {

using StorageIdentities = std::vector<std::pair<NodeId, StorageIdentity>>;  // by rising id

// Logs are opened once all voters know them: one that does not would propose views without them.
constexpr std::uint8_t kKnowsLogs = 1;

struct AgreementMessage {
  enum class Kind : std::uint8_t {
    // A voter that starts: what do you know of my mind? Then: note that it is this from now on.
    kWho,      // number: nonce; count: own writes
    kKnown,    // number: nonce; minds; count: the writes that I saw; yes: I never promised anything
    kClaim,    // mind
    kClaimed,  // mind, and ballot, accepted_by, view as in a promise
    // Votes.
    kMiss,      // do you miss the leader?  number: of the question
    kMissed,    // number; yes
    kPrepare,   // ballot
    kPromise,   // ballot, accepted_by, view
    kPropose,   // ballot, view, quorum
    kAccepted,  // ballot, number: epoch
    kRefused,   // ballot: the higher one
    kBeat,      // ballot, number: of the beat, quorum
    kBeaten,    // ballot, number
    // To and from any member.
    kDecided,  // view
    kRenew,    // number: epoch known; asked_at; life; disk; logs; origin, by a voter that passes on
    kGrant,    // number: epoch; asked_at; span
    kElsewhere,  // ballot: of the leader, as far as known
    kTaken,      // life: of the other process of the same member; yes: it spoke after this one
                 // had been there for a while, so both are there
    kRelease,    // this life needs no lease any more
  };
  Kind kind = Kind::kRenew;
  Ballot ballot, accepted_by;
  View view;
  StorageIdentity storage_identity;      // of a voter that speaks; number 0: it has none yet
  StorageIdentities storage_identities;  // all that a voter knows, its own among them
  StorageIdentities quorum;              // those whose promise made the leader
  std::uint64_t number = 0, count = 0;
  ProcessIncarnation process_incarnation = 0;
  NodeId origin = 0;    // whose renewal it is, or who is answered, by way of a voter in between
  double asked_at = 0;  // on the clock of the member that asked; seconds
  double span = 0;      // of a lease, from asked_at; seconds
  bool yes = false;
  std::uint64_t store_id = 0;       // kRenew: of the copies' store
  std::vector<LogAssignment> logs;  // kRenew: what it wants of its logs
  // What the build of a voter that speaks knows beside the first one's: 1 and more, logs in views.
  std::uint8_t knows = 0;
};

struct OutgoingMessage {
  NodeId to = 0;
  AgreementMessage message;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_MESSAGE_H_
