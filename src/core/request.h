// Requests, attempts and outcomes as exchanged between forwarders and planners, independent of any
// encoding, and the counters of a process.
#ifndef MILLETHOLLOW_CORE_REQUEST_H_
#define MILLETHOLLOW_CORE_REQUEST_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow {

using balancing::AttemptStatus;

// Identifies a request within a planner. The top 16 bits are the forwarder's number.
using RequestId = std::uint64_t;
constexpr int kForwarderShift = 48;

// Returns the number of the forwarder to which the request's client is connected.
constexpr std::uint64_t ForwarderOf(RequestId id) { return id >> kForwarderShift; }

// An attempt of a durable job that was sent by another process and may have run.
struct PriorAttempt {
  std::string worker;
  bool local_worker = false;  // connected to that process itself and unknown to others
  double age_s = 0;  // upper bound of the time since it was sent, in seconds; infinite if not known
};

// A client's request.
struct Request {
  RequestId id = 0;
  std::string wire_id;  // the client's id, passed to the worker unchanged; empty if it has none
  int class_index = 0, tenant = 0;  // indexes in Settings::classes and Settings::tenants
  std::string key;                  // idempotency key; empty if the class has none
  std::string affinity;  // affinity key: requests with equal ones are preferably placed together
  std::string body;      // held by the forwarder only
  std::size_t body_bytes = 0;    // length of the body where `body` itself is not present
  double expires_at = 0;         // seconds on the loop's clock
  double slots = 1, memory = 0;  // needed at the worker
  double size_hint_s = 0;        // run time that the client expects, in seconds; 0 if not known
  bool retry = false;            // the client has marked it as a retry
  std::string durable_job;       // handle of the durable job that it runs; empty if none
  std::vector<PriorAttempt> prior_attempts;  // of the durable job, oldest first
};

// Until when an attempt may reach its worker, however long it waits on its way there. Times are
// seconds on the loop's clock; infinite if nothing limits them.
struct DeliveryLimit {
  static constexpr double kUnlimited = std::numeric_limits<double>::infinity();
  double first_byte_by = kUnlimited;  // the worker is draining
  double last_byte_by = kUnlimited;   // an earlier attempt may have run: its key expires
  // How long after this attempt the worker's group still drops those that are already out; infinite
  // unless the request has an idempotency key.
  double window_s = kUnlimited;

  bool limited() const { return first_byte_by < kUnlimited || last_byte_by < kUnlimited; }
};

// Part of each time limit that is left to a process that is held up between reading its clock and
// writing, in seconds.
constexpr double kPauseAllowanceS = 0.15;

// The result of an attempt or a probe.
struct Outcome {
  AttemptStatus status = AttemptStatus::kSucceeded;
  double latency_s = 0;  // seconds from sending to the result
  // The error is caused by the request itself: every worker would fail it.
  bool client_error = false;
  // The worker's load report, if it sent one: the values of Settings::load_report_metrics, in
  // order.
  bool has_report = false;
  double report[4] = {0, 0, 0, 0};
};

// The final result of a request.
struct FinalAnswer {
  enum class Kind : std::uint8_t {
    kCompleted,    // an attempt has succeeded
    kRejected,     // no attempt has run
    kFailed,       // an attempt may have run
    kDuplicateId,  // not accepted: another request has the same wire id
  };
  Kind kind = Kind::kFailed;
  int attempt = -1;          // the attempt with the result, for kCompleted
  double retry_after_s = 0;  // seconds after which to retry, for kRejected; 0 if not given
  // For a durable job: the numbers of those attempts of this request that certainly never ran. What
  // is not named here, and every attempt of an earlier run, stays as it was recorded.
  std::vector<int> never_ran = {};
};

// Whether an attempt with this outcome was certainly never started by its worker.
inline bool NeverRan(AttemptStatus status) {
  return status == AttemptStatus::kRejected || status == AttemptStatus::kConnectFailed ||
         status == AttemptStatus::kNotSent;
}

// The status as it appears in log lines: one token without spaces.
inline std::string_view AttemptStatusText(AttemptStatus status) {
  switch (status) {
    case AttemptStatus::kSucceeded:
      return "succeeded";
    case AttemptStatus::kServerError:
      return "server-error";
    case AttemptStatus::kRejected:
      return "rejected";
    case AttemptStatus::kNoResponse:
      return "no-response";
    case AttemptStatus::kConnectFailed:
      return "connect-failed";
    case AttemptStatus::kConnectionLost:
      return "connection-lost";
    case AttemptStatus::kCancelled:
      return "cancelled";
    case AttemptStatus::kNotSent:
      return "not-sent";
  }
  return "unknown";
}

// Final answers of one class. The planner counts each request once.
struct ClassCounters {
  std::uint64_t completed = 0, rejected = 0, failed = 0;
};

// Datagrams exchanged with other planners. All but the first two fields count dropped datagrams, by
// cause.
struct PeerCounters {
  std::uint64_t messages_out = 0, bytes_out = 0;  // handed to the socket
  std::uint64_t too_long = 0;                     // over the size limit
  std::uint64_t no_address = 0;                   // the recipient's address is not known
  std::uint64_t not_sent = 0;         // not accepted whole by the socket (its buffer was full)
  std::uint64_t unreadable = 0;       // received, but over the size limit, or the read failed
  std::uint64_t unknown_senders = 0;  // received from an unknown address
};

// Counters of one process, since its start. Printed on SIGUSR1 and at exit, and exported as
// metrics. Updated on the loop's thread.
struct Counters {
  std::uint64_t received = 0;  // requests accepted by the planner
  std::uint64_t sent = 0;      // attempts handed to forwarders
  std::uint64_t probes = 0;
  std::uint64_t completed = 0, rejected = 0, failed = 0;  // final answers
  std::uint64_t cancelled = 0;                            // by clients, before the final answer
  std::uint64_t blocked = 0;    // attempts that DispatchCheck did not allow
  std::uint64_t bad_input = 0;  // malformed messages and requests, and wire ids already in use
  std::uint64_t peer_messages_in = 0, peer_messages_out = 0;
  std::uint64_t endpoint_lists = 0;              // received from discovery
  std::uint64_t reloads = 0, reload_errors = 0;  // of the configuration
  PeerCounters peers;
  std::uint64_t written = 0;  // attempts whose request was written to a worker completely
  std::map<std::string, ClassCounters> classes;  // by class name
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_REQUEST_H_
