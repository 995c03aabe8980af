// One node in two processes, while one replaces the other. The new process requests the state of
// the old one; once it serves, the old one takes nothing new, hands over each connection as it
// comes to rest, and finishes what it took. Both tell each other of all that must hold for the sum.
#ifndef MILLETHOLLOW_NET_HANDOVER_HOT_RESTART_H_
#define MILLETHOLLOW_NET_HANDOVER_HOT_RESTART_H_

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/planner.h"
#include "net/discovery.h"
#include "net/gearman/front.h"
#include "net/handover/handover.h"
#include "net/http/client_front.h"
#include "net/http/worker_pool.h"
#include "net/peers.h"

namespace millethollow::handover {

// What the new process gets before it starts.
struct InheritedState {
  int client_listener = -1, gearman_listener = -1, peer_socket = -1;
  std::vector<std::string> classes;
  std::vector<Planner::WorkerSnapshot> workers;
  std::vector<ListEntry> endpoints;  // those of them that are on the list
  std::vector<std::string> wire_ids;
  std::string planner_state;
  long long endpoint_list_version = 0;
  bool complete = false;
};

class HotRestart {
 public:
  // The parts of this process. All but the planner, the front and the pool may be missing.
  struct Dependencies {
    Planner* planner = nullptr;
    http::ClientFront* front = nullptr;
    http::WorkerPool* pool = nullptr;
    gearman::Front* gearman = nullptr;
    Peers* peers = nullptr;
    Discovery* discovery = nullptr;
    const std::vector<std::string>* classes = nullptr;  // by index
    std::function<void()> on_successor_lost;            // the process that replaced us is gone
  };

  HotRestart(Loop* loop, std::string path) : loop_(loop), path_(std::move(path)) {}
  ~HotRestart();
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  // From the process that serves now. Not `whole` where there is none, or it is silent or foreign:
  // then we start alone.
  InheritedState RequestState(const std::function<void()>& while_waiting);
  // This process serves: the old one may leave, and the next one may come.
  void Serve(Dependencies dependencies);

  bool replaced() const { return replaced_; }
  bool Flushed() const { return successor_ == nullptr || successor_->link->Flushed(); }
  void SendPeerMessage(const std::string& body);
  void SendMaintenance(const std::string& worker, bool in_maintenance) {
    ForwardMaintenance(worker, in_maintenance, nullptr);
  }
  void SendWireId(const std::string& wire_id);
  void SendWorkersDown();  // whatever the list has brought

 private:
  struct Sibling {
    std::unique_ptr<Link> link;
    std::size_t clients = 0, workers = 0;
  };
  using SiblingPtr = std::unique_ptr<Sibling>;
  void OnFrame(Sibling* sibling, link::Reader& frame, int fd);
  void Lost(Sibling* sibling);
  void SendState(Sibling* sibling);
  void AwaitNext();
  void Leave();
  void ForwardMaintenance(const std::string& worker, bool in_maintenance, const Sibling* from);
  void Send(const std::string& frame, const Sibling* but = nullptr);
  void Watch(SiblingPtr* sibling);
  void Beat();
  void OnSiblingsChanged();

  Loop* loop_;
  std::string path_;
  Dependencies dependencies_;
  SiblingPtr predecessor_, successor_;
  std::unique_ptr<Server> server_;
  std::string last_use_frame_;
  double workers_down_sent_at_ = 0;
  bool replaced_ = false, reported_present_ = false, reported_replaced_ = false;
  Deadlines::Ticket beat_ = Deadlines::kNone;
};

}  // namespace millethollow::handover

#endif  // MILLETHOLLOW_NET_HANDOVER_HOT_RESTART_H_
