// Hot restart: a new process replaces the running one under load. The new process requests the
// state of the old one. Once the new process serves, the old one accepts nothing new, passes on
// each connection when it is idle, and finishes the requests it has. While both run, they exchange
// what must hold for the node as a whole: maintenance, used request ids, workers that are down, and
// descriptors in use.
#ifndef MILLETHOLLOW_NET_HANDOVER_HOT_RESTART_H_
#define MILLETHOLLOW_NET_HANDOVER_HOT_RESTART_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
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

// What the new process receives from the old one before it starts. The descriptors are the
// caller's to close.
struct InheritedState {
  int client_listener = -1, gearman_listener = -1, peer_socket = -1;
  std::vector<std::string> classes;  // names, by the old process's index
  std::vector<Planner::WorkerSnapshot> workers;
  std::vector<ListEntry> endpoints;   // those of `workers` that are on the endpoint list
  std::vector<std::string> wire_ids;  // request ids that must not be accepted again
  std::string planner_state;          // as Planner::SaveState returned it
  long long endpoint_list_version = 0;
  std::optional<double> clock_offset_s;  // Loop::ClockOffset there; none from older builds
  bool complete = false;                 // false: there is no state, and the other fields are empty
};

// This process's part in hot restarts, first as the successor of a running process and later as the
// predecessor of the next one. All calls are on the loop's thread.
class HotRestart {
 public:
  // The components that hand over or take over; not owned. All but the planner, the front and the
  // pool may be null.
  struct Dependencies {
    Planner* planner = nullptr;
    http::ClientFront* front = nullptr;
    http::WorkerPool* pool = nullptr;
    gearman::Front* gearman = nullptr;
    Peers* peers = nullptr;
    Discovery* discovery = nullptr;
    const std::vector<std::string>* classes = nullptr;  // names, by index
    // The successor was lost after it had taken over: this process serves again.
    std::function<void()> on_successor_lost;
  };

  // `path`: the Unix socket at which the running process of this node is found.
  HotRestart(Loop* loop, std::string path) : loop_(loop), socket_path_(std::move(path)) {}
  ~HotRestart();
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  // Requests the state of the running process and waits for it, without running the loop. The
  // result is not complete if there is no such process, it does not answer in time, or it speaks
  // another protocol version: then this process starts without the state.
  InheritedState RequestState(const std::function<void()>& while_waiting);
  // To be called once this process serves: the predecessor may stop accepting, and a successor may
  // connect.
  void Serve(Dependencies dependencies);

  // Whether a successor serves, so that this process only finishes what it has.
  bool replaced() const { return replaced_; }
  // Whether all frames to the successor, with their descriptors, have been sent.
  bool Flushed() const { return successor_ == nullptr || successor_->connection->Flushed(); }
  // The following go to the sibling processes, if there are any.
  void SendPeerMessage(const std::string& body);
  void SendMaintenance(const std::string& worker, bool in_maintenance) {
    ForwardMaintenance(worker, in_maintenance, nullptr);
  }
  // Tells the sibling that this process has accepted a request with this id, and in a second
  // message for the same id that it has sent an attempt.
  void SendWireId(const std::string& wire_id);
  // Sends the workers whose drain or removal was noticed since the last call. To be called after
  // each update of the endpoint list.
  void SendWorkersDown();

 private:
  struct Sibling {
    std::unique_ptr<SiblingConnection> connection;
    std::size_t clients = 0, workers = 0;  // descriptors that it has in use
  };
  using SiblingPtr = std::unique_ptr<Sibling>;
  void OnFrame(Sibling* sibling, link::Reader& frame, int fd);
  void OnSiblingLost(Sibling* sibling);
  void SendState(Sibling* sibling);
  void ListenForSuccessor();
  void HandOver();
  void ForwardMaintenance(const std::string& worker, bool in_maintenance, const Sibling* from);
  void Send(const std::string& frame, const Sibling* excluded = nullptr);
  void StartConnection(SiblingPtr* sibling);
  void ReportDescriptorUse();
  void OnSiblingsChanged();

  Loop* loop_;
  std::string socket_path_;
  Dependencies dependencies_;
  SiblingPtr predecessor_, successor_;
  std::unique_ptr<SiblingListener> listener_;
  std::string last_descriptor_report_;  // the frame
  double workers_down_sent_at_ = 0;     // seconds of the loop's clock
  bool replaced_ = false, reported_sibling_present_ = false, reported_replaced_ = false;
  Deadlines::TimerId descriptor_report_timer_ = Deadlines::kNone;
};

}  // namespace millethollow::handover

#endif  // MILLETHOLLOW_NET_HANDOVER_HOT_RESTART_H_
