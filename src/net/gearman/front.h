// The Gearman front: a job server to which Gearman clients and workers connect. Its jobs and
// workers are placed by the same planner as those of the HTTP front. Everything here runs on the
// forwarder's loop.
#ifndef MILLETHOLLOW_NET_GEARMAN_FRONT_H_
#define MILLETHOLLOW_NET_GEARMAN_FRONT_H_

#include <algorithm>
#include <cstdint>
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

// A submitted job. Several clients may wait for the same job, by its unique id.
struct Job {
  std::string handle, function, unique;
  RequestId request = 0;
  int priority = 1;            // 0 high, 1 normal, 2 low
  std::string durable_handle;  // the handle of its durable job; empty: none
  bool background = false, running = false;
  // From WORK_STATUS and WORK_EXCEPTION.
  std::string numerator = "0", denominator = "0", exception;
  // The clients that wait for it, with the number of submissions by which each does.
  std::map<Peer*, std::size_t> waiters;
  std::size_t held_bytes = 0;  // counted in Front::held_bytes_
};

// An attempt at a worker: queued until the worker sends GRAB_JOB, then assigned.
struct Task {
  RequestId request = 0;
  int attempt = 0, priority = 1;
  std::string handle, function, unique, body;
  std::string durable_handle;  // the handle of its durable job; empty: none
  double sent_at = 0;          // loop time in seconds
  DeliveryLimit limit;
  bool abandoned = false;  // ended here after the assignment: the worker's result is discarded
  std::vector<std::pair<Type, std::string>> partial_data;  // WORK_DATA and WORK_WARNING received
  std::size_t partial_bytes = 0;                           // counted in Front::partial_bytes_
  Deadlines::TimerId limit_timer = Deadlines::kNone;       // time limit from CAN_DO_TIMEOUT
  Deadlines::TimerId delivery_timer = Deadlines::kNone;    // set while `limit` may end it

  // The time by which the worker must have taken it.
  double AssignBy() const { return std::min(limit.first_byte_by, limit.last_byte_by); }
};

// Owns the listening socket, the connections and the jobs. `forwarder`, `config` and `counters`
// must outlive it.
class Front final : public ResponseHandler, public WorkerDriver, public DurableJobRunner {
 public:
  // `process_number`: unique to this process; the handles of its jobs are made from it.
  Front(Forwarder* forwarder, const Config& config, Counters* counters,
        std::uint64_t process_number);
  ~Front() override;
  // Binds `address` and starts accepting. On failure returns false with `error`.
  bool Listen(const std::string& address, std::string* error);
  // Accepts on the listening socket of the previous process, and takes ownership of `fd`.
  bool AdoptListener(int fd);
  // The descriptor of the listening socket, or -1. The front owns it.
  int listener() const { return listener_.descriptor(); }
  // Pauses or resumes accepting. Paused while another process serves the same address.
  void SetAccepting(bool accepting);
  // What the handles of all jobs of this process begin with, and those of no other process.
  const std::string& handle_prefix() const { return handle_prefix_; }
  // The bound address, with the actual port if port 0 was requested.
  std::string address() const { return listener_.address(); }
  // Starts the shutdown. New jobs are refused once the listening socket is closed too.
  void BeginStop() { stopping_ = true; }
  // Whether every byte written to the peers has gone to the kernel.
  bool Flushed() const;
  // Reports every worker to a new planner.
  void AnnounceWorkers();
  // Closes the listening socket.
  void StopListening() { listener_.Close(); }
  // Stores background jobs in `durable_jobs` from now on, which calls Run() for each of them.
  // Null: they are kept in memory only. The caller owns `durable_jobs`.
  void SetDurableJobs(DurableJobs* durable_jobs) { durable_jobs_ = durable_jobs; }

  // ResponseHandler
  void Answer(const ClientRequest& client_request, const FinalAnswer& answer,
              const std::string& result) override;
  void OnAttemptStarted(RequestId id) override;

  // DurableJobRunner
  void Run(const DurableJob& durable_job) override;
  void Abort(const std::string& handle) override;

  // WorkerDriver
  bool Owns(const std::string& worker) const override { return workers_.contains(worker); }
  void Send(const ClientRequest& client_request, int attempt, const std::string& worker,
            const DeliveryLimit& limit) override;
  bool LimitDelivery(RequestId id, int attempt, double last_byte_by) override;
  void Cancel(RequestId id, int attempt) override;
  void CancelUnsent(RequestId id, int attempt) override;
  void Probe(const std::string& worker) override;

 private:
  friend class Peer;
  using UniqueKey = std::pair<std::string, std::string>;  // function and unique id
  // The result of a job, kept for repeats of it.
  struct KeptResult {
    std::string handle, result;
    std::vector<std::pair<Type, std::string>> partial_data;
    double expires_at = 0;  // loop time in seconds
    std::size_t bytes = 0;  // that it occupies
  };

  void Accept(evutil_socket_t fd);
  // Destroys the connection at the end of the loop's turn.
  void Remove(Peer* peer);
  // Handles one of the SUBMIT_JOB requests.
  void Submit(Peer* peer, Type type, std::string_view function, std::string_view unique,
              std::string_view body);
  // Stores a background job as a durable job.
  void SubmitDurable(Peer* peer, Type type, const UniqueKey& key, std::string_view body);
  // The request by which the forwarder runs the job.
  ClientRequest MakeClientRequest(const Job& job, const GearmanFunction& mapped,
                                  std::string_view body) const;
  // A handle that no other job has, of this process or another. It is the wire id of the job's
  // request too, and its idempotency key if it needs one and the client gave no unique id.
  std::string NewHandle();
  // The handle of an HTTP client's request at a Gearman worker.
  std::string HandleOfRequest(RequestId id) const;
  // Memory for a job with this body and unique id, until it ends.
  static std::size_t JobBytes(std::string_view body, std::string_view unique);
  // Adds the job to the maps.
  void AddJob(const std::shared_ptr<Job>& job, std::string_view body);
  // Lets a client wait for the job by one more submission.
  static void AddWait(const std::shared_ptr<Job>& job, Peer* peer);
  // Removes a closed client from the jobs that it waits for, and cancels those that no client
  // waits for any more.
  void Detach(Peer* peer);
  // Removes the job from the maps.
  void RemoveJob(const std::shared_ptr<Job>& job);
  // Whether a repeat of a job of this class must join the job or get its kept result.
  bool NeedsDeduplication(int class_index) const;
  // These return null if there is no such job.
  std::shared_ptr<Job> FindByHandle(std::string_view handle) const;
  std::shared_ptr<Job> FindByRequest(RequestId id) const;
  std::shared_ptr<Job> FindByUnique(std::string_view unique) const;
  // The function under which `worker` is given the request; empty if it supports none.
  std::string FunctionFor(const ClientRequest& client_request, const Peer& worker) const;
  // Sends a packet to every client that waits for the job, as often as it has submitted it.
  void SendToWaiters(const Job& job, const std::string& packet);
  // Handles a command of the administrative text protocol.
  void HandleAdminLine(Peer* peer, const std::string& line);
  // Reports the worker's state to the planner.
  void UpdateWorker(Peer* worker);
  // Keeps the result of a job for repeats of it.
  void KeepResult(const UniqueKey& key, KeptResult kept);
  // Discards expired results, and those that expire first while there are too many.
  void EvictKeptResults();
  void EraseKeptResult(std::map<UniqueKey, KeptResult>::iterator kept);
  // Closes the connection with the most unsent bytes while all together have too many.
  void LimitUnsentBytes();

  Forwarder* forwarder_;
  const Config& config_;
  Counters* counters_;
  const std::string handle_prefix_;
  DurableJobs* durable_jobs_ = nullptr;
  Listener listener_;
  std::map<Peer*, std::unique_ptr<Peer>> peers_;
  std::map<std::string, Peer*> workers_;  // by worker name
  std::map<RequestId, std::shared_ptr<Job>> jobs_;
  std::map<std::string, std::shared_ptr<Job>, std::less<>> jobs_by_handle_;
  std::map<UniqueKey, std::shared_ptr<Job>> jobs_by_unique_;
  std::map<UniqueKey, KeptResult> kept_results_;
  // By request and attempt, while the outcome of a successful attempt is being reported.
  std::map<std::pair<RequestId, int>, std::vector<std::pair<Type, std::string>>> partial_data_;
  std::set<int> name_numbers_;                        // in use by peers' names
  std::size_t held_bytes_ = 0;                        // of all jobs
  std::size_t kept_bytes_ = 0;                        // of kept_results_
  std::size_t partial_bytes_ = 0;                     // of all tasks' partial data
  std::uint64_t last_connection_ = 0, last_job_ = 0;  // counted from 1
  bool stopping_ = false, accepting_ = true;
};

}  // namespace millethollow::gearman

#endif  // MILLETHOLLOW_NET_GEARMAN_FRONT_H_
