// Requests, attempts and outcomes: what both levels talk about. Knows no wire.
#ifndef MILLETHOLLOW_CORE_REQUEST_H_
#define MILLETHOLLOW_CORE_REQUEST_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow {

using balancing::AttemptStatus;

// Unique over all forwarders of a planner: the forwarder's number stands in the top 16 bits.
using RequestId = std::uint64_t;
constexpr int kForwarderShift = 48;

// An attempt that another process made, which may have run.
struct PriorAttempt {
  std::string worker;
  bool own = false;  // the worker had connected to that process: it is not known here
  double age_s = 0;  // at most so long ago; infinite: not known
};

struct Request {
  RequestId id = 0;
  std::string wire_id;  // the client's own name for it, passed on unchanged
  int cls = 0, tenant = 0;
  std::string key;             // idempotency key; empty where the class has none
  std::string affinity;        // what it is about
  std::string body;            // stays with the forwarder
  std::size_t body_bytes = 0;  // the planner is told this much of it
  double expires_at = 0;       // on the loop's clock
  double slots = 1, memory = 0, size_hint_s = 0;
  bool retry = false;               // marked as the client's repeat
  std::string durable_job;          // the handle of the promise that it is for; empty: none
  std::vector<PriorAttempt> tried;  // for that promise, oldest first
};

struct Outcome {
  AttemptStatus status = AttemptStatus::kSucceeded;
  double latency_s = 0;
  bool client_error = false;  // an error that is the request's own: any worker would say so
  bool has_report = false;
  double report[4] = {0, 0, 0, 0};
};

struct FinalAnswer {
  // kRejected: it was never taken, since its name is that of another request.
  enum class Kind : std::uint8_t { kCompleted, kRejected, kFailed, kDuplicateId };
  Kind kind = Kind::kFailed;
  int attempt = -1;                      // kServed: whose result it is
  double retry_after_s = 0;              // kRefused; 0: no advice
  std::vector<std::string> ran_at = {};  // of a promise: workers where it may have run
};

inline bool NeverRan(AttemptStatus v) {
  return v == AttemptStatus::kRejected || v == AttemptStatus::kConnectFailed ||
         v == AttemptStatus::kNotSent;
}

// How the jobs of a class ended. Each end is counted once, where the ledger decides it.
struct ClassCounters {
  std::uint64_t completed = 0, rejected = 0, failed = 0;
};

// Datagrams between planners, and those dropped, by cause.
struct PeerCounters {
  std::uint64_t messages_out = 0, bytes_out = 0;  // handed to the socket
  std::uint64_t too_long = 0;                     // longer than a datagram may be
  std::uint64_t no_address = 0;                   // to a planner that has none here
  std::uint64_t not_sent = 0;    // the socket took nothing or not all, as when it is full
  std::uint64_t unreadable = 0;  // came longer than allowed, or the socket could not be read
  std::uint64_t strangers = 0;   // came from an address that no planner has
};

// What the program has taken in, sent and answered; printed on SIGUSR1 and at exit, and the source
// of the figures at the second address.
struct Counters {
  std::uint64_t received = 0, sent = 0, probes = 0, completed = 0, rejected = 0, failed = 0,
                cancelled = 0, blocked = 0, bad_input = 0, peer_messages_in = 0,
                peer_messages_out = 0, endpoint_lists = 0, reloads = 0, reload_errors = 0;
  PeerCounters peers;
  std::uint64_t written = 0;                     // attempts that went out whole to workers
  std::map<std::string, ClassCounters> classes;  // by name, each from the start
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_REQUEST_H_
