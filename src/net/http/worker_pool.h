// Connections to HTTP workers: one request at a time on each, the last used first.
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

class WorkerPool final : public WorkerDriver {
 public:
  struct Options {
    double connect_timeout_s = 0.25;
    double idle_s = 60;  // workers close idle connections after this
    double probe_timeout_s = 0.5;
    std::vector<std::string> columns;  // names of the load report's values, in order
    Counters* counters = nullptr;
    // Asked right before a request for a promise is written; none: there are no promises.
    std::function<bool(const std::string& promise)> may_act = {};
  };
  WorkerPool(Forwarder* forwarder, Options options);
  ~WorkerPool() override;

  // The server list: where each worker listens.
  void SetAddress(const std::string& worker, const std::string& address,
                  std::size_t max_in_flight = 0);

  bool Owns(const std::string& worker) const override { return workers_.contains(worker); }
  void Send(const ClientRequest& held, int attempt, const std::string& worker) override;
  void Cancel(RequestId id, int attempt) override;
  void Probe(const std::string& worker) override;
  void CancelUnsent(RequestId id, int attempt) override;
  // Where a worker listens, and how many attempts it may have at once.
  std::pair<std::string, std::size_t> Address(const std::string& worker) const;
  // Another process sends from now on: resting connections go to it. Empty: as before.
  using Taker = std::function<void(const std::string& worker, double idle_since, int fd)>;
  void HandOver(Taker taker);
  void AdoptIdle(const std::string& worker, double idle_since, int fd);
  std::size_t connections() const { return connections_.size(); }

 private:
  friend class WorkerConnection;
  struct PooledWorker {
    std::string address_text;
    sockaddr_in address{};
    bool reachable = false;
    std::size_t max_in_flight = 0, in_flight = 0;  // attempts at once: allowed (0: any), and now
    std::vector<WorkerConnection*> idle;           // the last is the one used last
  };
  // A connection, or why there is none. That we have no descriptor left says nothing of the next
  // worker.
  std::pair<WorkerConnection*, AttemptStatus> Get(const std::string& worker);
  WorkerConnection* TakeIdle(PooledWorker* pooled);
  void Release(WorkerConnection* connection);
  void Drop(WorkerConnection* connection);
  void PassOn(WorkerConnection* idle);
  bool CloseOldestIdle();
  void NoLongerOut(RequestId id, int attempt);

  Forwarder* forwarder_;
  Options options_;
  Taker taker_;
  std::map<std::string, PooledWorker> workers_;
  std::map<WorkerConnection*, std::unique_ptr<WorkerConnection>> connections_;
  std::map<std::pair<RequestId, int>, WorkerConnection*> in_flight_;
};

// Reads name=value,... or a JSON object into `outcome`'s report, by the columns' names.
void ReadReport(std::string_view text, const std::vector<std::string>& columns, Outcome* outcome);

// What one line of a worker's answer says about the attempt that carries `id`.
struct JobLine {
  enum class What : std::uint8_t {
    kNonsense,
    kStarted,
    kRunning,
    kServed,
    kError,
    kTurnedAway,
    kLost
  };
  What what = What::kNonsense;
  std::string result;
  std::string load;  // the load report that the line carries, as JSON; empty: none
};
JobLine ReadJobLine(std::string_view line, std::string_view id);

}  // namespace millethollow::http

#endif  // MILLETHOLLOW_NET_HTTP_WORKER_POOL_H_
