// Types shared by the membership modules: members, incarnations, health, ballots, views. No I/O, no
// clock.
#ifndef MILLETHOLLOW_MEMBERSHIP_TYPES_H_
#define MILLETHOLLOW_MEMBERSHIP_TYPES_H_

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace millethollow::membership {

// Identifies a member: a hash of its configured id, the same at every node. 0: none.
using NodeId = std::uint64_t;
// Identifies one run of a member's process: a random number drawn at its start, `life` in log lines
// and in GET /members. 0: none. Not the incarnation number of SWIM, which a running process raises
// to refute a suspicion.
using ProcessIncarnation = std::uint64_t;

// Pseudo-random numbers: equal seeds give equal sequences on every platform, which the
// distributions of the standard library don't guarantee.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t NextUint64() { return engine_(); }
  // Uniform in [0, n), n > 0.
  std::size_t Below(std::size_t n) {
    return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(engine_);
  }
  // Uniform in [0, 1).
  double Unit() { return boost::random::uniform_real_distribution<double>(0, 1)(engine_); }

 private:
  boost::random::mt19937_64 engine_;
};

// State of a member, by rising precedence: of two updates with the same incarnation the greater
// state overrides the other (SWIM).
enum class Health : std::uint8_t { kAlive, kSuspect, kFailed, kLeft };

// A gossiped update about a member (SWIM). The higher incarnation overrides the lower, and within
// one incarnation the greater health.
struct GossipUpdate {
  NodeId member = 0;
  std::uint32_t incarnation = 0;
  Health health = Health::kAlive;
  NodeId suspected_by = 0;  // the member whose suspicion this is, for kSuspect
};

// A change of a member's health, as the failure detector of this process sees it.
struct HealthChange {
  NodeId member = 0;
  Health health = Health::kAlive;
  std::uint32_t incarnation = 0;
};

// A ballot number (Paxos): a round and the voter that stands for election in it. The higher wins.
struct Ballot {
  std::uint64_t round = 0;
  NodeId proposer = 0;
  auto operator<=>(const Ballot&) const = default;
};

// Identifies a voter's storage, to tell a voter that has its disk from one that lost it: the
// greater is the later. Number 0: none.
struct StorageIdentity {
  std::uint32_t number = 0;
  std::uint64_t nonce = 0;
  auto operator<=>(const StorageIdentity&) const = default;
};

// Mixes all bits of a word (the finalizer of splitmix64).
inline std::uint64_t Mix(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// A member of a view: one run of its process.
struct ViewMember {
  NodeId id = 0;
  ProcessIncarnation process_incarnation = 0;
  std::string failure_domain;
  std::uint64_t joined_epoch = 0;  // the first epoch of which this process is a member
  std::uint64_t store_id = 0;      // of its store of log replicas; 0: it has none
  bool operator==(const ViewMember&) const = default;
};

// A replica of a log: the member has every acknowledged operation in its store `store_id`.
struct LogReplica {
  NodeId id = 0;
  std::uint64_t store_id = 0;
  bool operator==(const LogReplica&) const = default;
};

// The owner of a replicated log (src/copies), its only writer, and the log's replicas.
struct LogAssignment {
  std::uint64_t log = 0;                       // id of the log
  NodeId owner = 0;                            // the current one or, if there is none, the last one
  ProcessIncarnation process_incarnation = 0;  // of the owner; 0: no replica is present
  // The epoch in which that process became the owner. In a request 0: the log is to be opened.
  std::uint64_t owner_epoch = 0;
  std::uint64_t version = 0;  // of the owner's request that was applied last
  // Includes the owner's. In a request empty: the log is to be closed.
  std::vector<LogReplica> replicas;
  bool operator==(const LogAssignment&) const = default;
  const LogReplica* Find(NodeId id) const {
    for (const LogReplica& replica : replicas) {
      if (replica.id == id) return &replica;
    }
    return nullptr;
  }
};

// An agreed view: an epoch, its members in ascending order of id, and its logs. Epoch 0 is the one
// before the first view and has no members.
struct View {
  std::uint64_t epoch = 0;
  std::vector<ViewMember> members;
  // No member acted on a view of an earlier epoch any more when this view was proposed.
  std::uint64_t settled_epoch = 0;
  std::vector<LogAssignment> logs;
  bool operator==(const View&) const = default;
  const ViewMember* Find(NodeId id) const {
    for (const ViewMember& member : members) {
      if (member.id == id) return &member;
    }
    return nullptr;
  }
  const LogAssignment* Log(std::uint64_t log) const {
    for (const LogAssignment& assignment : logs) {
      if (assignment.log == log) return &assignment;
    }
    return nullptr;
  }
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_TYPES_H_
