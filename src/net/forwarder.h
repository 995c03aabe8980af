// A forwarder: holds connections and bytes, reports requests and outcomes to a planner through
// PlannerLink, and carries out the planner's actions. It decides nothing.
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

// What a forwarder holds for one request.
struct ClientRequest {
  Request request;
  std::string target;           // where the client asked for it: path and query
  std::string forward_headers;  // further header lines of the client, each with its line end
};

// The client side of one request. Lives until its answer, or until it says Gone.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  virtual void Answer(const ClientRequest& held, const FinalAnswer& answer,
                      const std::string& result) = 0;
  virtual void OnAttemptStarted(RequestId) {}
};

class Forwarder;

// Speaks one protocol to the workers that it owns.
class WorkerDriver {
 public:
  virtual ~WorkerDriver() = default;
  virtual bool Owns(const std::string& worker) const = 0;
  virtual void Send(const ClientRequest& held, int attempt, const std::string& worker) = 0;
  virtual void Cancel(RequestId id, int attempt) = 0;
  virtual void Probe(const std::string& worker) = 0;
  // Nobody waits for it any more. One that has not gone out whole never does; all else goes on.
  virtual void CancelUnsent(RequestId, int) {}
};

class Forwarder final : public ForwarderPort {
 public:
  explicit Forwarder(Loop* loop) : loop_(loop) {}
  void SetLink(PlannerLink* link, std::uint64_t number) {
    link_ = link;
    number_ = number;
  }
  PlannerLink* link() { return link_; }
  void AddDriver(WorkerDriver* driver) { drivers_.push_back(driver); }
  Loop* loop() { return loop_; }

  // Until the planner has what it needs nothing is taken.
  void SetAccepting(bool accepting) { accepting_ = accepting; }
  bool accepting() const { return accepting_; }

  // From the client side. Returns the request's id, or 0 if no planner can take it now.
  RequestId Submit(ClientRequest held, ResponseHandler* client);
  void CancelRequest(RequestId id);
  const ClientRequest* Find(RequestId id) const;
  std::size_t open() const { return held_.size(); }
  bool IsClassInUse(int cls) const;  // by a request held here

  // From the drivers.
  void OnAttemptStarted(RequestId id, int attempt);
  void OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome, std::string result = {});
  void OnProbeAnswered(const std::string& worker, const Outcome& outcome);

  // The planner is lost. What was never sent is refused; what may have run fails.
  void OnPlannerLost();

  // ForwarderPort, from the planner.
  void Send(RequestId id, int attempt, const std::string& worker) override;
  void Cancel(RequestId id, int attempt) override;
  void Probe(const std::string& worker) override;
  void Answer(RequestId id, const FinalAnswer& answer) override;

 private:
  struct Open {
    ClientRequest held;
    ResponseHandler* client = nullptr;
    bool answered = false;
    bool may_have_run = false;
    std::unordered_map<int, WorkerDriver*> attempts;  // still out
    std::unordered_map<int, std::string> results;
    Deadlines::Ticket backstop = Deadlines::kNone;
  };
  void Forget(RequestId id);
  void Abandon(RequestId id);
  WorkerDriver* DriverOf(const std::string& worker) const;

  Loop* loop_;
  PlannerLink* link_ = nullptr;
  bool accepting_ = true;
  std::uint64_t number_ = 0, sequence_ = 0;
  std::unordered_map<RequestId, Open> held_;
  std::vector<WorkerDriver*> drivers_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_FORWARDER_H_
