// The connection between forwarders and planners in separate processes: implements PlannerLink and
// ForwarderPort with framed messages over Unix sockets. All calls and callbacks are on the loop's
// thread of the process concerned.
#ifndef MILLETHOLLOW_NET_LINK_LINK_H_
#define MILLETHOLLOW_NET_LINK_LINK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/planner.h"
#include "net/forwarder.h"
#include "net/listener.h"

namespace millethollow::link {

class ForwarderConnection;

// The planner's end: accepts the connections of forwarders and registers each with the planner.
// Does not own the planner.
class PlannerServer {
 public:
  PlannerServer(Loop* loop, Planner* planner);
  ~PlannerServer();
  // Listens at a Unix socket; false, with a reason, if that fails.
  bool Listen(const std::string& path, std::string* error);
  // Announces a worker's address, and its limit of requests in flight, to all present and future
  // forwarders. To be called before the planner sends anything to the worker.
  void SetWorkerAddress(const std::string& worker, const std::string& address,
                        std::size_t max_in_flight);
  std::size_t forwarder_count() const { return connections_.size(); }

 private:
  friend class ForwarderConnection;
  void OnForwarderConnectionLost(ForwarderConnection* connection);
  Loop* loop_;
  Planner* planner_;
  Listener listener_;
  std::map<ForwarderConnection*, std::unique_ptr<ForwarderConnection>> connections_;
  // Address and limit of requests in flight, by worker.
  std::map<std::string, std::pair<std::string, std::size_t>> addresses_;
};

class PlannerConnection;

// The forwarder's end: keeps a connection to one of the planners, reconnects when it is lost, and
// fails over to the next planner. Messages are dropped while there is no connection. Does not own
// the forwarder.
class PlannerClient final : public PlannerLink {
 public:
  struct Hooks {
    // A worker's address and its limit of requests in flight, as announced by the planner.
    std::function<void(const std::string& worker, const std::string& address,
                       std::size_t max_in_flight)>
        on_worker_address;
    // True: a planner has accepted this forwarder. False: the connection to it is lost.
    std::function<void(bool)> on_connection_changed;
    // The name of a class by its index in this process.
    std::function<std::string(int)> class_name;
  };
  // `paths`: the sockets of all planners; `first`: the index of the one to try first.
  PlannerClient(Forwarder* forwarder, std::vector<std::string> paths, std::size_t first,
                Hooks hooks);
  ~PlannerClient() override;
  void Start();

  void OnRequest(const Request& request) override;
  void OnRequestCancelled(RequestId id) override;
  void OnAttemptStarted(RequestId id, int attempt) override;
  void OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome) override;
  void OnProbeAnswered(const std::string& worker, const Outcome& outcome) override;
  void OnWorkerChanged(const balancing::Endpoint& endpoint) override;

 private:
  friend class PlannerConnection;
  void Write(const std::string& frame);
  void OnConnectionLost();
  Forwarder* forwarder_;
  std::vector<std::string> paths_;
  std::size_t planner_index_;  // of the current planner, modulo their number
  Hooks hooks_;
  std::unique_ptr<PlannerConnection> connection_;
  bool connected_ = false;
  int failures_ = 0;  // connections that failed since a planner last accepted this forwarder
  Deadlines::TimerId reconnect_timer_ = Deadlines::kNone;
};

}  // namespace millethollow::link

#endif  // MILLETHOLLOW_NET_LINK_LINK_H_
