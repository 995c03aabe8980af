// The connection pool to the HTTP workers. Each connection carries one request at a time, without
// pipelining; the most recently used idle connection is reused first. Everything here runs on the
// forwarder's loop.
#ifndef MILLETHOLLOW_NET_HTTP_WORKER_POOL_H_
#define MILLETHOLLOW_NET_HTTP_WORKER_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/connection.h"
#include "net/forwarder.h"
#include "net/http/parser.h"

namespace millethollow::http {

class WorkerConnection;

// Sends attempts and probes to the workers that it owns, and reports their outcomes to the
// forwarder. `forwarder` and the counters must outlive it.
class WorkerPool final : public WorkerDriver {
 public:
  struct Options {
    double connect_timeout_s = 0.25;
    double idle_s = 60;  // idle time after which workers close connections
    double probe_timeout_s = 0.5;
    // Names of the load report's values, in the order of Outcome::report.
    std::vector<std::string> columns;
    Counters* counters = nullptr;
    // Whether this process may still act for a durable job. Asked right before the request of an
    // attempt is written that had to wait for its connection; empty: it is not written. Not asked
    // where it is written at once: the caller of Send must have checked.
    std::function<bool(const std::string& durable_job)> may_act = {};
    // The number of tenants now; empty: one.
    std::function<std::size_t()> tenant_count = {};
    // Whether workers answer probes; empty: no.
    std::function<bool()> may_probe = {};
  };
  WorkerPool(Forwarder* forwarder, Options options);
  ~WorkerPool() override;

  // Adds a worker from the endpoint list, or updates it. `max_in_flight`: attempts in flight; 0: no
  // limit. If the address changes, idle connections to the old one are closed.
  void SetAddress(const std::string& worker, const std::string& address,
                  std::size_t max_in_flight = 0);

  bool Owns(const std::string& worker) const override { return workers_.contains(worker); }
  void Send(const ClientRequest& client_request, int attempt, const std::string& worker,
            const DeliveryLimit& limit) override;
  bool LimitDelivery(RequestId id, int attempt, double last_byte_by) override;
  void Cancel(RequestId id, int attempt) override;
  void Probe(const std::string& worker) override;
  void CancelUnsent(RequestId id, int attempt) override;
  // Returns the worker's address and its limit of attempts in flight; empty if it is unknown.
  std::pair<std::string, std::size_t> Address(const std::string& worker) const;
  // Hands idle connections over to a successor process, now and whenever one becomes idle:
  // `callback` owns `fd`. `idle_since` is loop time in seconds. An empty callback cancels the
  // handover.
  using HandoverCallback =
      std::function<void(const std::string& worker, double idle_since, int fd)>;
  void HandOver(HandoverCallback callback);
  // Adds an idle connection of the previous process, and takes ownership of `fd`.
  void AdoptIdle(const std::string& worker, double idle_since, int fd);
  // Number of connections, including those that are about to be destroyed.
  std::size_t connections() const { return connections_.size(); }

 private:
  friend class WorkerConnection;
  // A worker of the endpoint list and its idle connections.
  struct PooledWorker {
    std::string address_text;
    sockaddr_in address{};
    bool has_valid_address = false;
    std::size_t max_in_flight = 0, in_flight = 0;  // attempts: the limit (0: none), and now
    std::vector<WorkerConnection*> idle;           // the most recently used is last
  };
  // Returns an idle or a new connection, or null and the status of the attempt. A lack of
  // descriptors here is kNotSent, since it is no fault of the worker. `idle_only`: no connection is
  // opened; kNotSent if none is idle.
  std::pair<WorkerConnection*, AttemptStatus> Acquire(const std::string& worker,
                                                      bool idle_only = false);
  // Removes a usable connection from the idle list; null if there is none.
  WorkerConnection* TakeIdle(PooledWorker* pooled);
  // Puts a connection back into the idle list.
  void ReturnToIdle(WorkerConnection* connection);
  // Destroys the connection at the end of the loop's turn.
  void Remove(WorkerConnection* connection);
  // Passes an idle connection to the successor process.
  void HandOverIdle(WorkerConnection* idle);
  // Evicts the connection that has been idle longest, of any worker. False if none is idle.
  bool CloseOldestIdle();
  // Frees the attempt's place under the limits of its worker and its tenant.
  void RemoveInFlight(RequestId id, int attempt);
  // Whether one more attempt of the tenant leaves enough connections to the others.
  bool TenantMaySend(int tenant) const;

  Forwarder* forwarder_;
  Options options_;
  HandoverCallback handover_;
  std::map<std::string, PooledWorker> workers_;
  std::map<WorkerConnection*, std::unique_ptr<WorkerConnection>> connections_;
  struct InFlight {
    WorkerConnection* connection = nullptr;
    int tenant = 0;
  };
  std::map<std::pair<RequestId, int>, InFlight> in_flight_;
  std::map<int, std::size_t> in_flight_by_tenant_;
};

// Parses a load report, either "name=value,..." or a JSON object, into `outcome`. Names that are
// not in `columns` are ignored.
void ReadReport(std::string_view text, const std::vector<std::string>& columns, Outcome* outcome);

// The state of an attempt, as one line of a worker's response reports it.
struct JobLine {
  enum class Kind : std::uint8_t {
    kUnreadable,  // malformed, of another request, or of an unknown state
    kStarted,
    kRunning,
    kDone,  // succeeded, with a result
    kFailed,
    kReturned,  // rejected by the worker before it started
    kLost
  };
  Kind kind = Kind::kUnreadable;
  std::string result;  // of kDone; as it stands in the line unless it is a JSON string
  std::string load;    // the load report in the line, as JSON; empty: none
};
// Parses one line of a response to the attempt with request id `id`. A line that is malformed or
// has another id is kUnreadable.
JobLine ReadJobLine(std::string_view line, std::string_view id);

}  // namespace millethollow::http

#endif  // MILLETHOLLOW_NET_HTTP_WORKER_POOL_H_
