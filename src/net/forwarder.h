// A forwarder: holds client requests, reports them and the outcomes of their attempts to a planner
// through PlannerLink, and carries out the planner's actions. It makes no scheduling decisions.
//
// Everything here runs on the thread of the forwarder's event loop.
#ifndef MILLETHOLLOW_NET_FORWARDER_H_
#define MILLETHOLLOW_NET_FORWARDER_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/planner_link.h"
#include "core/request.h"
#include "net/loop.h"

namespace millethollow {

// A request as a forwarder holds it, with what it needs to send it to a worker.
struct ClientRequest {
  Request request;
  std::string target;           // path and query of the client's request
  std::string forward_headers;  // the client's other header lines, each with its line end
};

// The client side of one request. Must live until Answer was called or the request was cancelled by
// Forwarder::CancelRequest.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  // Ends the request; called at most once. `result` is the body of a successful attempt.
  virtual void Answer(const ClientRequest& client_request, const FinalAnswer& answer,
                      const std::string& result) = 0;
  // An attempt of the request began to run at a worker.
  virtual void OnAttemptStarted(RequestId) {}
};

class Forwarder;

// Carries out attempts over one protocol, at the workers that are reached by it. Reports back
// through the forwarder's OnAttemptStarted, OnAttemptEnded and OnProbeAnswered.
class WorkerDriver {
 public:
  virtual ~WorkerDriver() = default;
  // Whether the worker is reached through this driver.
  virtual bool Owns(const std::string& worker) const = 0;
  // Sends an attempt of the request to the worker. An attempt that has not reached it by the time
  // of `limit` ends as not sent.
  virtual void Send(const ClientRequest& client_request, int attempt, const std::string& worker,
                    const DeliveryLimit& limit) = 0;
  // Lets an open attempt of this driver reach its worker no later than `last_byte_by`. Returns
  // false if that cannot be ensured: the worker may still read it later.
  virtual bool LimitDelivery(RequestId id, int attempt, double last_byte_by) = 0;
  // Stops an attempt; its outcome is ignored from then on.
  virtual void Cancel(RequestId id, int attempt) = 0;
  // Sends a health probe to the worker.
  virtual void Probe(const std::string& worker) = 0;
  // The client is gone: drops the attempt if it has not been sent completely, and leaves it running
  // otherwise.
  virtual void CancelUnsent(RequestId, int) {}
};

// Neither the loop, the link, the drivers nor the response handlers are owned.
class Forwarder final : public ForwarderPort {
 public:
  explicit Forwarder(Loop* loop) : loop_(loop) {}
  // Sets the planner, and the number that makes the ids of this forwarder's requests unique.
  void SetLink(PlannerLink* link, std::uint64_t forwarder_number) {
    link_ = link;
    forwarder_number_ = forwarder_number;
  }
  PlannerLink* link() { return link_; }
  void AddDriver(WorkerDriver* driver) { drivers_.push_back(driver); }
  Loop* loop() { return loop_; }

  // Off until the planner is ready for requests; Submit rejects them until then.
  void SetAccepting(bool accepting) { accepting_ = accepting; }
  bool accepting() const { return accepting_; }

  // Called by the fronts. Submit returns the request's id, or 0 if no planner can take it now; the
  // answer comes at the end of this turn of the loop at the earliest.
  RequestId Submit(ClientRequest client_request, ResponseHandler* client);
  // The client is gone: no answer is delivered any more.
  void CancelRequest(RequestId id);
  // The held request, or null. The pointer is valid until the request is erased.
  const ClientRequest* Find(RequestId id) const;
  // Number of requests held, including answered ones that have attempts in flight.
  std::size_t pending_requests() const { return requests_.size(); }
  // Whether a held request is of the class with this index.
  bool IsClassInUse(int class_index) const;

  // Called by the drivers.
  void OnAttemptStarted(RequestId id, int attempt);
  void OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome, std::string result = {});
  void OnProbeAnswered(const std::string& worker, const Outcome& outcome);

  // The connection to the planner is lost: rejects requests that were never sent to a worker, and
  // fails those that may have run.
  void OnPlannerLost();

  // ForwarderPort: called by the planner.
  void Send(RequestId id, int attempt, const std::string& worker,
            const DeliveryLimit& limit) override;
  void Cancel(RequestId id, int attempt) override;
  void Probe(const std::string& worker) override;
  void Answer(RequestId id, const FinalAnswer& answer) override;

 private:
  struct PendingRequest {
    ClientRequest client_request;
    ResponseHandler* client = nullptr;
    bool answered = false;
    bool answering = false;  // its client is being called, and must find it
    bool may_have_run = false;
    std::unordered_map<int, WorkerDriver*> attempts;  // in flight, by attempt number
    std::unordered_map<int, std::string> results;     // of successful attempts
    Deadlines::TimerId expiry_timer = Deadlines::kNone;
  };
  // Erases the request if it is answered and has no attempt in flight.
  void EraseIfFinished(RequestId id);
  // Answers without the planner: rejects the request if it was never sent, and fails it otherwise.
  void Abandon(RequestId id);
  WorkerDriver* DriverOf(const std::string& worker) const;
  // Lets the open attempts of the request reach their workers only within the window that begins
  // now. Returns false if that cannot be ensured.
  bool LimitOpenAttempts(RequestId id, const PendingRequest& pending, double window_s) const;

  Loop* loop_;
  PlannerLink* link_ = nullptr;
  bool accepting_ = true;
  std::uint64_t forwarder_number_ = 0, last_sequence_ = 0;
  std::unordered_map<RequestId, PendingRequest> requests_;
  std::vector<WorkerDriver*> drivers_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_FORWARDER_H_
