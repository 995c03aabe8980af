// The wiring of one node: planner, forwarder, fronts, discovery and peers on one loop.
#ifndef MILLETHOLLOW_NODE_H_
#define MILLETHOLLOW_NODE_H_

#include <memory>
#include <string>

#include "config/config.h"
#include "core/planner.h"
#include "net/discovery.h"
#include "net/forwarder.h"
#include "net/gearman/front.h"
#include "net/http/next_hop_pool.h"
#include "net/http/sender_front.h"
#include "net/loop.h"
#include "net/peers.h"

namespace millethollow {

class Node {
 public:
  explicit Node(Config config);
  ~Node();
  bool Start(std::string* why);
  void CatchSignals();  // SIGTERM and SIGINT stop it, SIGUSR1 prints the counters
  void Run();           // until it has stopped
  void BeginStop();
  void PrintCounters(std::ostream& out) const;

  Loop& loop() { return loop_; }
  std::string http_address() const { return front_->address(); }
  std::string gearman_address() const { return gearman_->address(); }
  const Counters& counters() const { return counters_; }

 private:
  void OnList(decksail::ListKind kind, const MemberList& list);
  void CheckStopped();

  Config config_;
  Loop loop_;
  Counters counters_;
  std::unique_ptr<Planner> planner_;
  std::unique_ptr<Forwarder> forwarder_;
  std::unique_ptr<LocalLink> link_;
  std::unique_ptr<http::NextHopPool> pool_;
  std::unique_ptr<http::SenderFront> front_;
  std::unique_ptr<gearman::Front> gearman_;
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<Peers> peers_;
  EventPtr term_, interrupt_, usr1_;
  bool stopping_ = false, idle_closed_ = false;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NODE_H_
