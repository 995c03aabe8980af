// Requests, attempts and outcomes, as forwarders and planners exchange them. Knows no encoding.
#ifndef MILLETHOLLOW_CORE_REQUEST_H_
#define MILLETHOLLOW_CORE_REQUEST_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow {

using balancing::AttemptStatus;

// Unique in a planner: the top 16 bits are the forwarder's number.
using RequestId = std::uint64_t;
constexpr int kForwarderShift = 48;

// The number of the forwarder that has the request's client.
constexpr std::uint64_t ForwarderOf(RequestId id) { return id >> kForwarderShift; }

// An attempt of a durable job that another process made. It may have run.
struct PriorAttempt {
  std::string worker;
  bool local_worker = false;  // connected to that process itself, and so unknown to others
  double age_s = 0;           // at most so long ago; infinite: not known
};

struct Request {
  RequestId id = 0;
  std::string wire_id;  // the client's own id, which the worker gets unchanged; empty: none
  int class_index = 0, tenant = 0;
  std::string key;             // idempotency key; empty: the class has none
  std::string affinity;        // requests with the same one are better placed together
  std::string body;            // only at the forwarder
  std::size_t body_bytes = 0;  // of the body, where it is not here
  double expires_at = 0;       // seconds on the loop's clock
  double slots = 1, memory = 0;
  double size_hint_s = 0;                    // run time as the client expects it; 0: not known
  bool retry = false;                        // the client marks it as its retry
  std::string durable_job;                   // the handle of the durable job it runs; empty: none
  std::vector<PriorAttempt> prior_attempts;  // of that job, oldest first
};

// How an attempt or a probe ended.
struct Outcome {
  AttemptStatus status = AttemptStatus::kSucceeded;
  double latency_s = 0;
  // The request itself is at fault: any worker would fail it.
  bool client_error = false;
  // The worker's load report: the values of Settings::load_report_metrics, in order.
  bool has_report = false;
  double report[4] = {0, 0, 0, 0};
};

struct FinalAnswer {
  enum class Kind : std::uint8_t {
    kCompleted,
    kRejected,     // surely nothing has run
    kFailed,       // attempts may have run
    kDuplicateId,  // never accepted: another request has its wire id
  };
  Kind kind = Kind::kFailed;
  int attempt = -1;          // kCompleted: whose result it is
  double retry_after_s = 0;  // kRejected; 0: no advice
  // Of a durable job: workers where it may have run.
  std::vector<std::string> ran_at = {};
};

// The worker surely has not begun the attempt.
inline bool NeverRan(AttemptStatus v) {
  return v == AttemptStatus::kRejected || v == AttemptStatus::kConnectFailed ||
         v == AttemptStatus::kNotSent;
}

// Final answers by class. Each request is counted once, by the planner.
struct ClassCounters {
  std::uint64_t completed = 0, rejected = 0, failed = 0;
};

// Datagrams between planners. All but the first two count dropped ones, by cause.
struct PeerCounters {
  std::uint64_t messages_out = 0, bytes_out = 0;  // given to the socket
  std::uint64_t too_long = 0;                     // exceeds the size limit
  std::uint64_t no_address = 0;                   // the recipient has none here
  std::uint64_t not_sent = 0;         // the socket took nothing or not all (it was full, say)
  std::uint64_t unreadable = 0;       // received: exceeds the limit, or the read failed
  std::uint64_t unknown_senders = 0;  // received from an unknown address
};

// Counters of one process. Printed on SIGUSR1 and at exit, and the source of the metrics.
struct Counters {
  std::uint64_t received = 0;  // requests accepted by the planner
  std::uint64_t sent = 0;      // attempts
  std::uint64_t probes = 0;
  std::uint64_t completed = 0, rejected = 0, failed = 0;  // final answers
  std::uint64_t cancelled = 0;                            // by the client, before the final answer
  std::uint64_t blocked = 0;                              // attempts, by DispatchCheck
  std::uint64_t bad_input = 0;  // requests and messages that can't be used
  std::uint64_t peer_messages_in = 0, peer_messages_out = 0;
  std::uint64_t endpoint_lists = 0;              // received from discovery
  std::uint64_t reloads = 0, reload_errors = 0;  // of the configuration
  PeerCounters peers;
  std::uint64_t written = 0;                     // attempts sent to workers completely
  std::map<std::string, ClassCounters> classes;  // by name
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_REQUEST_H_
