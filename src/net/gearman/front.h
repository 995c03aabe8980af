// The Gearman front: clients and workers connect to it, both under the one planner.
#ifndef MILLETHOLLOW_NET_GEARMAN_FRONT_H_
#define MILLETHOLLOW_NET_GEARMAN_FRONT_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "core/durable_jobs.h"
#include "net/forwarder.h"
#include "net/gearman/packet.h"
#include "net/listener.h"

namespace millethollow::gearman {

class Peer;

// What a Gearman client has handed in. Several clients may wait for one job by its unique id.
struct Job {
  std::string handle, function, unique;
  RequestId request = 0;
  int priority = 1;     // 0 high, 1 normal, 2 low
  std::string promise;  // the handle of the promise that it is for; empty: none
  bool background = false, running = false;
  std::string numerator = "0", denominator = "0", exception;
  std::vector<Peer*> waiting;
};

// One attempt at a worker: in its queue until the worker grabs it, then assigned.
struct Task {
  RequestId request = 0;
  int attempt = 0, priority = 1;
  std::string handle, function, unique, body;
  std::string promise;  // the handle of the promise that it is for; empty: none
  double sent_at = 0;
  bool orphan = false;  // called off after the assignment: its result has no taker
  std::vector<std::pair<Type, std::string>> parts;  // WORK_DATA and WORK_WARNING so far
  std::size_t part_bytes = 0;
  Deadlines::Ticket limit = Deadlines::kNone;
};

class Front final : public ResponseHandler, public WorkerDriver, public DurableJobRunner {
 public:
  Front(Forwarder* forwarder, const Config& config, Counters* counters);
  ~Front() override;
  bool Listen(const std::string& address, std::string* error);
  bool AdoptListener(int fd);  // of the process that went before
  int listener() const { return listener_.descriptor(); }
  void SetAccepting(bool on);  // not while another process serves at our address
  std::string address() const { return listener_.address(); }
  void BeginStop() { stopping_ = true; }
  bool Flushed() const;    // all that was said has gone out
  void AnnounceWorkers();  // to a planner that has not heard of them
  void StopListening() { listener_.Close(); }
  // Background jobs are kept there from now on, and handed back to be run. Null: nowhere.
  void SetDurableJobs(DurableJobs* durable_jobs) { durable_jobs_ = durable_jobs; }

  // ResponseHandler
  void Answer(const ClientRequest& held, const FinalAnswer& answer,
              const std::string& result) override;
  void OnAttemptStarted(RequestId id) override;

  // DurableJobRunner
  void Run(const DurableJob& promised) override;
  void Abort(const std::string& handle) override;

  // WorkerDriver
  bool Owns(const std::string& worker) const override { return workers_.contains(worker); }
  void Send(const ClientRequest& held, int attempt, const std::string& worker) override;
  void Cancel(RequestId id, int attempt) override;
  void CancelUnsent(RequestId id, int attempt) override;
  void Probe(const std::string& worker) override;

 private:
  friend class Peer;
  using Unique = std::pair<std::string, std::string>;  // function and unique id
  struct Finished {
    std::string handle, result;
    std::vector<std::pair<Type, std::string>> parts;
    double until = 0;
  };

  void Accept(evutil_socket_t fd);
  void Drop(Peer* peer);
  void Submit(Peer* peer, Type type, std::string_view function, std::string_view unique,
              std::string_view body);
  void SubmitPromised(Peer* peer, Type type, const Unique& key, std::string_view body);
  ClientRequest Prepare(const Job& job, const GearmanFunction& mapped, std::string_view body) const;
  void Add(const std::shared_ptr<Job>& job, std::size_t bytes);
  void Detach(Peer* peer);
  void Forget(const std::shared_ptr<Job>& job);
  bool Keyed(int cls) const;
  std::shared_ptr<Job> FindHandle(std::string_view handle) const;
  std::shared_ptr<Job> FindRequest(RequestId id) const;
  std::string FunctionFor(const ClientRequest& held, const Peer& worker) const;
  void Tell(const Job& job, const std::string& packet);
  void AdminLine(Peer* peer, const std::string& line);
  void SetReady(Peer* worker);
  void MakeRoom();

  Forwarder* forwarder_;
  const Config& config_;
  Counters* counters_;
  DurableJobs* durable_jobs_ = nullptr;
  Listener listener_;
  std::map<Peer*, std::unique_ptr<Peer>> peers_;
  std::map<std::string, Peer*> workers_;  // by worker name
  std::map<RequestId, std::shared_ptr<Job>> jobs_;
  std::map<std::string, std::shared_ptr<Job>, std::less<>> handles_;
  std::map<Unique, std::shared_ptr<Job>> uniques_;
  std::map<Unique, Finished> finished_;
  std::map<std::pair<RequestId, int>, std::vector<std::pair<Type, std::string>>> parts_;
  std::set<int> slots_;  // of the workers' names that are taken
  std::size_t body_bytes_ = 0;
  std::uint64_t sequence_ = 0;
  bool stopping_ = false, accepting_ = true;
};

}  // namespace millethollow::gearman

#endif  // MILLETHOLLOW_NET_GEARMAN_FRONT_H_
