// Several processes of the program on loopback, with a relay of ours on every link between each
// pair: what goes over a link can be dropped, delayed, doubled, reordered, garbled, cut short,
// throttled, reset or cut one way, and processes can be stopped, continued, killed and robbed of
// their folders. Faults come from a seed. What the nodes tell is polled, kept, and checked as it
// comes.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_CLUSTER_HARNESS_H_
#define MILLETHOLLOW_TESTS_SUPPORT_CLUSTER_HARNESS_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "membership/types.h"
#include "support/network_shim.h"
#include "support/support.h"

namespace millethollow::rig {

// A port that is free for TCP and UDP both, from a range that this process has to itself: tests run
// side by side, and a node that is down must find its ports free when it comes back. Below the
// range from which the system gives ports.
int FreePort();
std::string At(int port);

// One way, from a to b.
struct LinkFaults {
  bool cut = false;
  double loss = 0, doubled = 0, garbled = 0, shortened = 0;  // of datagrams, 0 to 1
  double delay_s = 0, jitter_s = 0;                          // jitter reorders
  double bytes_per_s = 0;                                    // of streams; 0: unbounded
  bool reset_streams = false;
};

class Link;
class PeerRelay;

class ClusterHarness {
 public:
  struct Options {
    std::size_t members = 5, voters = 3;
    std::uint64_t seed = 1;
    // Half of the defaults, so that CI takes half as long.
    std::string timings = R"({"beat_s": 0.12, "election_s": 0.6, "lease_s": 2, "renew_s": 0.25,
                              "view_gap_s": 0.5, "return_s": 0.5})";
    std::size_t workers = 0;  // stand-ins that the harness looks after, two to a cell
    bool shim = false;        // processes under the shim: their wall clock and disk can be broken
    std::string more = {};    // further top-level keys, each with a comma after it
    bool gearman = false;     // each node has that front, with the functions look and charge
    bool peers =
        false;  // usage reports between all; of a link's faults cuts and losses hold for them
    std::string cluster = "{}";   // further keys of the section
    std::string settings = "{}";  // merged into the section `settings`
  };
  struct Polled {
    double at = -1;
    nlohmann::json told;  // of GET /members; null while the node does not answer
  };

  explicit ClusterHarness(const Options& options);
  ~ClusterHarness();
  ClusterHarness(const ClusterHarness&) = delete;
  ClusterHarness& operator=(const ClusterHarness&) = delete;

  std::size_t size() const { return nodes_.size(); }
  static std::string Name(std::size_t i) { return {static_cast<char>('a' + i)}; }

  // Processes. `alias`: another process under the id of member i, with files and ports of its own.
  void Start(std::size_t i);
  void StartAll();
  void StartTwin(std::size_t i);
  void Kill(std::size_t i);       // -9
  void Terminate(std::size_t i);  // SIGTERM
  void Stop(std::size_t i);       // SIGSTOP
  void Continue(std::size_t i);
  // The member's file is written anew with these settings merged in, and SIGHUP tells it so.
  void Reload(std::size_t i, const std::string& settings);
  void TakeFolder(std::size_t i);  // after Kill
  // Both after Kill: what the folder holds now is kept, and put back later, as from a backup.
  void KeepFolder(std::size_t i);
  void PutBackFolder(std::size_t i);
  void BoundFiles(std::size_t i, std::uint64_t bytes) { nodes_[i].file_bytes = bytes; }
  // Needs the shim. By how much the wall clock of a member is off, and whether its disk fails.
  Shim& shim(std::size_t i) { return *nodes_[i].shim; }
  bool Running(std::size_t i);
  bool Serves(std::size_t i) { return Running(i) && !nodes_[i].stopped && !nodes_[i].going; }
  // Rises with whatever is done to the process: what spans it may go wrong.
  std::uint64_t Disturbed(std::size_t i) const { return nodes_[i].disturbed; }
  FakeWorker& worker(std::size_t i) { return *workers_[i]; }
  int ExitCode(std::size_t i) const { return nodes_[i].exit_code; }
  std::string Folder(std::size_t i) const { return nodes_[i].folder; }
  std::string LogOf(std::size_t i) const;
  std::string TwinLog() const;

  // Links.
  LinkFaults& link(std::size_t from, std::size_t to);
  void EachLink(const std::function<void(LinkFaults*)>& what);
  void Split(const std::vector<int>& group);  // members of different groups don't hear each other
  void Heal();
  // Sends bytes of ours to a member, as a stranger might, or again what went over a link before.
  void Inject(std::size_t to, const std::string& datagram);
  const std::vector<std::string>& Captured() const { return captured_; }

  // Time and what is seen.
  double now() const { return loop_.Now(); }
  bool Until(const std::function<bool()>& done, double timeout_s);
  void For(double s) {
    Until([] { return false; }, s);
  }
  const Polled& polled(std::size_t i) const { return nodes_[i].polled; }
  std::uint64_t Epoch(std::size_t i) const;
  bool Leased(std::size_t i) const;
  std::string StateAt(std::size_t at, std::size_t of) const;
  // All that run have one view, with just these in it, hold a lease, and see each other alive.
  bool Whole();
  // Of all polls until now.
  std::uint64_t FailedCalls(std::size_t of) const;  // how often some node said that this one failed
  std::uint64_t highest_epoch() const { return highest_epoch_; }
  const std::vector<std::string>& broken() const { return broken_; }
  // A figure of /stats, by its name; -1 where it can't be had.
  long Figure(std::size_t i, const std::string& name);
  std::string Ask(std::size_t i,
                  const std::string& call);  // at the admin address; the whole answer
  std::string http_address(std::size_t i) const;
  std::string gearman_address(std::size_t i) const;
  Loop& loop() { return loop_; }
  membership::Random& random() { return random_; }

 private:
  friend class Link;
  friend class PeerRelay;
  struct Node {
    std::string folder;
    int http = 0, admin = 0, cluster = 0, gearman = 0, peer = 0;  // ports
    pid_t pid = -1;
    bool stopped = false, going = false;  // going: was asked to end
    int exit_code = -1;
    std::uint64_t file_bytes = 0, disturbed = 0;
    Shim* shim = nullptr;
    Polled polled;
    std::unique_ptr<RawClient> poll;
    double poll_at = 0;
    std::map<std::string, std::string> said;  // of each other: the last state
  };
  void WriteConfig(std::size_t i, const std::string& path, const Node& node);
  void AddPeers(std::size_t i, nlohmann::json* config) const;
  void Launch(Node* node, const std::string& config);
  void Poll();
  void Take(std::size_t i, const std::string& answer);
  void Reap(Node* node);

  Options options_;
  membership::Random random_;
  Loop loop_;
  std::string folder_;
  std::vector<std::unique_ptr<FakeWorker>> workers_;
  std::vector<Node> nodes_;
  Node twin_;
  std::vector<std::unique_ptr<Link>> links_;
  std::vector<std::unique_ptr<PeerRelay>> peer_relays_;
  std::vector<std::string> captured_;
  std::map<std::uint64_t, std::string> contents_;  // of epochs
  std::map<std::string, std::uint64_t> failed_calls_;
  std::uint64_t highest_epoch_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace millethollow::rig

#endif  // MILLETHOLLOW_TESTS_SUPPORT_CLUSTER_HARNESS_H_
