// The link between the two levels across processes: PlannerLink and ForwarderPort over framed Unix
// sockets.
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

class Channel;

// At the planner: takes in forwarders.
class PlannerServer {
 public:
  PlannerServer(Loop* loop, Planner* planner);
  ~PlannerServer();
  bool Listen(const std::string& path, std::string* error);
  // Every forwarder must know where a worker is before the planner sends to it.
  void SetWorkerAddress(const std::string& worker, const std::string& address,
                        std::size_t max_in_flight);
  std::size_t forwarder_count() const { return channels_.size(); }

 private:
  friend class Channel;
  void Drop(Channel* channel);
  Loop* loop_;
  Planner* planner_;
  Listener listener_;
  std::map<Channel*, std::unique_ptr<Channel>> channels_;
  std::map<std::string, std::pair<std::string, std::size_t>> addresses_;
};

class PlannerConnection;

// At the forwarder: holds a link to one of the planners, and moves on to the next when it is lost.
class PlannerClient final : public PlannerLink {
 public:
  struct Hooks {
    std::function<void(const std::string& worker, const std::string& address,
                       std::size_t max_in_flight)>
        on_worker_address;
    std::function<void(bool connected)> on_connection_changed;  // a planner is there, or is lost
    std::function<std::string(int)> class_name;
  };
  PlannerClient(Forwarder* forwarder, std::vector<std::string> paths, std::size_t first,
                Hooks hooks);
  ~PlannerClient() override;
  void Start();

  void OnRequest(const Request& request) override;
  void OnRequestCancelled(RequestId id) override;
  void OnAttemptStarted(RequestId id, int attempt) override;
  void OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome) override;
  void OnProbeAnswered(const std::string& worker, const Outcome& outcome) override;
  void OnWorkerChanged(const balancing::Endpoint& member) override;

 private:
  friend class PlannerConnection;
  void Write(const std::string& frame);
  void Lost();
  Forwarder* forwarder_;
  std::vector<std::string> paths_;
  std::size_t next_;
  Hooks hooks_;
  std::unique_ptr<PlannerConnection> connection_;
  bool linked_ = false;
  int failures_ = 0;  // to connect, one after the other
  Deadlines::Ticket retry_ = Deadlines::kNone;
};

}  // namespace millethollow::link

#endif  // MILLETHOLLOW_NET_LINK_LINK_H_
