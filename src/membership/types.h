// Types that all of membership shares: members, incarnations, health, views, ballots. No I/O, no
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

// A hash of the id that the configuration gives a member: the same at every node. 0: nobody.
using NodeId = std::uint64_t;
// One run of a member's process, drawn at its start; `life` on the wire. 0: none. Not the
// incarnation of SWIM's gossip, which a running process raises to refute a suspicion.
using ProcessIncarnation = std::uint64_t;

// Pseudo-random numbers: equal seeds and events give equal decisions, on every platform (the
// standard library's distributions differ).
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t NextUint64() { return engine_(); }
  std::size_t Below(std::size_t n) {
    return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(engine_);
  }
  // Uniform in [0, 1).
  double Unit() { return boost::random::uniform_real_distribution<double>(0, 1)(engine_); }

 private:
  boost::random::mt19937_64 engine_;
};

// Ordered: of two updates with one incarnation the one with the later of these counts.
enum class Health : std::uint8_t { kAlive, kSuspect, kFailed, kLeft };

// What gossip says of a member (SWIM). The higher incarnation counts, and within one the later
// health.
struct GossipUpdate {
  NodeId member = 0;
  std::uint32_t incarnation = 0;
  Health health = Health::kAlive;
  NodeId suspected_by = 0;
};

struct HealthChange {
  NodeId member = 0;
  Health health = Health::kAlive;
  std::uint32_t incarnation = 0;
};

// A round of one voter who wants to lead (Paxos). The higher wins.
struct Ballot {
  std::uint64_t round = 0;
  NodeId proposer = 0;
  auto operator<=>(const Ballot&) const = default;
};

// Tells a voter that has its disk from one that lost it: the higher is the later. Number 0: none.
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

struct ViewMember {
  NodeId id = 0;
  ProcessIncarnation process_incarnation = 0;
  std::string failure_domain;
  std::uint64_t joined_epoch = 0;  // the epoch in which this process came in
  std::uint64_t store_id = 0;      // the number of its store of copies; 0: it has none
  bool operator==(const ViewMember&) const = default;
};

// A member that has all operations of a log that were acknowledged, in the store `store_id`.
struct LogReplica {
  NodeId id = 0;
  std::uint64_t store_id = 0;
  bool operator==(const LogReplica&) const = default;
};

// A replicated log (src/copies): who may write to it, and who has replicas.
struct LogAssignment {
  std::uint64_t log = 0;
  NodeId owner = 0;                            // the present or, where there is none, the last one
  ProcessIncarnation process_incarnation = 0;  // of the owner; 0: no replica is present
  // The epoch in which that process became the owner. In a request 0: the log is to be opened.
  std::uint64_t owner_epoch = 0;
  std::uint64_t version = 0;  // of what the owner asked for
  // The owner among them. In a request none: the log is to be closed.
  std::vector<LogReplica> replicas;
  bool operator==(const LogAssignment&) const = default;
  const LogReplica* Find(NodeId id) const {
    for (const LogReplica& replica : replicas) {
      if (replica.id == id) return &replica;
    }
    return nullptr;
  }
};

// An epoch and its members, by rising id. Epoch 0 is the time before the first, without members.
struct View {
  std::uint64_t epoch = 0;
  std::vector<ViewMember> members;
  // When the view was proposed, nobody acted on a view before this epoch any more.
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
