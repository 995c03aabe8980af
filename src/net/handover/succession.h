// One node in two processes, while one replaces the other. The new process claims what the old one
// has; once it serves, the old one takes nothing new, hands over each connection as it comes to
// rest, and finishes what it took. Both tell each other of all that must hold for the sum.
#ifndef MILLETHOLLOW_NET_HANDOVER_SUCCESSION_H_
#define MILLETHOLLOW_NET_HANDOVER_SUCCESSION_H_

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
struct Claimed {
  int client_listener = -1, gearman_listener = -1, peer_socket = -1;
  std::vector<std::string> classes;
  std::vector<Planner::WorkerSnapshot> known;
  std::vector<ListEntry> list;  // those of them that are on the list
  std::vector<std::string> ids;
  std::string learned;
  long long version = 0;
  bool whole = false;
};

class Succession {
 public:
  // The parts of this process. All but the planner, the front and the pool may be missing.
  struct Parts {
    Planner* planner = nullptr;
    http::ClientFront* front = nullptr;
    http::WorkerPool* pool = nullptr;
    gearman::Front* gearman = nullptr;
    Peers* peers = nullptr;
    Discovery* discovery = nullptr;
    const std::vector<std::string>* classes = nullptr;  // by index
    std::function<void()> deserted;                     // the process that replaced us is gone
  };

  Succession(Loop* loop, std::string path) : loop_(loop), path_(std::move(path)) {}
  ~Succession();
  Succession(const Succession&) = delete;
  Succession& operator=(const Succession&) = delete;

  // From the process that serves now. Not `whole` where there is none, or it is silent or foreign:
  // then we start alone.
  Claimed Claim(const std::function<void()>& while_waiting);
  // This process serves: the old one may leave, and the next one may come.
  void Serve(Parts parts);

  bool leaving() const { return leaving_; }
  bool Flushed() const { return after_ == nullptr || after_->link->Flushed(); }
  void TellMates(const std::string& body);
  void TellBan(const std::string& worker, bool out) { Ban(worker, out, nullptr); }
  void TellId(const std::string& wire_id);
  void TellDown();  // whatever the list has brought

 private:
  struct Mate {
    std::unique_ptr<Link> link;
    std::size_t clients = 0, workers = 0;
  };
  using MatePtr = std::unique_ptr<Mate>;
  void Heard(Mate* mate, link::Reader& frame, int fd);
  void Lost(Mate* mate);
  void TellAll(Mate* mate);
  void AwaitNext();
  void Leave();
  void Ban(const std::string& worker, bool out, const Mate* from);
  void Send(const std::string& frame, const Mate* but = nullptr);
  void Watch(MatePtr* mate);
  void Beat();
  void MatesChanged();

  Loop* loop_;
  std::string path_;
  Parts parts_;
  MatePtr before_, after_;
  std::unique_ptr<Server> server_;
  std::string use_told_;
  double told_down_until_ = 0;
  bool leaving_ = false, present_ = false, told_leaving_ = false;
  Deadlines::Ticket beat_ = Deadlines::kNone;
};

}  // namespace millethollow::handover

#endif  // MILLETHOLLOW_NET_HANDOVER_SUCCESSION_H_
