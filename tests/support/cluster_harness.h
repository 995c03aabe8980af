// Runs several processes of the program on loopback with a relay on each link between two of them.
// A relay can drop, delay, duplicate, reorder, corrupt, truncate, throttle, reset or block what
// goes one way. Processes can be stopped, continued and killed, and their stores removed. Random
// faults follow from a seed. GET /members of each node is polled, and the responses are checked for
// violations of the cluster's invariants.
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

namespace millethollow::cluster_test {

// Returns a port that is free for both TCP and UDP. It is from a range that this process has
// locked, because tests run in parallel and a node that is down must find its ports free when it
// restarts, and below the system's range of ephemeral ports.
int FreePort();
std::string LoopbackAddress(int port);

// Faults of a link in one direction.
struct LinkFaults {
  bool blocked = false;
  double loss = 0, duplicated = 0, corrupted = 0, truncated = 0;  // shares of the datagrams, 0 to 1
  double delay_s = 0, jitter_s = 0;                               // jitter reorders datagrams
  double bytes_per_s = 0;                                         // of streams; 0: unbounded
  bool reset_streams = false;
};

class LinkRelay;
class PeerRelay;

class ClusterHarness {
 public:
  struct Options {
    std::size_t members = 5, voters = 3;
    std::uint64_t seed = 1;
    // Half of the default timings, to shorten the tests.
    std::string timings = R"({"beat_s": 0.12, "election_s": 0.6, "lease_s": 2, "renew_s": 0.25,
                              "view_gap_s": 0.5, "return_s": 0.5})";
    std::size_t workers = 0;  // simulated workers, two to a cell
    bool shim = false;        // load the network shim, for faults of the wall clock and the disk
    std::string more = {};    // further top-level settings, each followed by a comma
    bool gearman = false;     // each node has a Gearman front, with the functions look and charge
    // Usage reports between all nodes. Of the faults of a link, `blocked` and `loss` apply to them.
    bool peers = false;
    std::string cluster = "{}";   // further settings of the section `cluster`
    std::string settings = "{}";  // merged into the section `settings`
  };
  struct Polled {
    double at = -1;
    nlohmann::json response;  // of GET /members; null while the node does not answer
  };

  explicit ClusterHarness(const Options& options);
  ~ClusterHarness();
  ClusterHarness(const ClusterHarness&) = delete;
  ClusterHarness& operator=(const ClusterHarness&) = delete;

  std::size_t size() const { return nodes_.size(); }
  static std::string Name(std::size_t i) { return {static_cast<char>('a' + i)}; }

  // Processes, by index of the member.
  void Start(std::size_t i);
  void StartAll();
  // Starts a second process with the id of member i, but with files and ports of its own.
  void StartDuplicate(std::size_t i);
  void Kill(std::size_t i);       // SIGKILL
  void Terminate(std::size_t i);  // SIGTERM
  void Stop(std::size_t i);       // SIGSTOP
  void Continue(std::size_t i);
  // Rewrites the member's configuration with these settings merged in, and sends SIGHUP.
  void Reload(std::size_t i, const std::string& settings);
  void RemoveStore(std::size_t i);  // after Kill
  // Both after Kill: copy the store's folder aside, and later replace the store by that copy.
  void BackUpStore(std::size_t i);
  void RestoreStore(std::size_t i);
  void LimitFileSize(std::size_t i, std::uint64_t bytes) { nodes_[i].max_file_bytes = bytes; }
  // The faults of a member's wall clock and disk. Needs Options::shim.
  Shim& shim(std::size_t i) { return *nodes_[i].shim; }
  bool Running(std::size_t i);
  // Whether the process runs, is not stopped, and has not been asked to end.
  bool Serves(std::size_t i) { return Running(i) && !nodes_[i].stopped && !nodes_[i].terminating; }
  // Rises with each start, stop or kill of the process. A request during which it changed may fail.
  std::uint64_t DisruptionCount(std::size_t i) const { return nodes_[i].disruptions; }
  FakeWorker& worker(std::size_t i) { return *workers_[i]; }
  int ExitCode(std::size_t i) const { return nodes_[i].exit_code; }
  std::string Folder(std::size_t i) const { return nodes_[i].folder; }
  std::string LogOf(std::size_t i) const;
  std::string DuplicateLog() const;

  // Links.
  LinkFaults& link(std::size_t from, std::size_t to);
  void ForEachLink(const std::function<void(LinkFaults*)>& change);
  // Blocks all links between members of different groups; `groups` holds the group of each member.
  void Partition(const std::vector<int>& groups);
  void Heal();
  // Sends a datagram to a member from an unknown address.
  void Inject(std::size_t to, const std::string& datagram);
  // The first datagrams that went over any link, for replaying them.
  const std::vector<std::string>& CapturedDatagrams() const { return captured_datagrams_; }

  // Time, in seconds of the harness's loop, and the polled state.
  double now() const { return loop_.Now(); }
  // Runs the loop until `done`; false on timeout.
  bool RunUntil(const std::function<bool()>& done, double timeout_s);
  void RunFor(double s) {
    RunUntil([] { return false; }, s);
  }
  const Polled& polled(std::size_t i) const { return nodes_[i].polled; }
  std::uint64_t Epoch(std::size_t i) const;
  bool HoldsLease(std::size_t i) const;
  std::string StateSeenBy(std::size_t observer, std::size_t subject) const;
  // Whether all running nodes hold a lease of the same view, which contains exactly these nodes,
  // and report each other as alive.
  bool Converged();
  // Over all polls so far: how often a node reported this one as newly failed.
  std::uint64_t FailureReports(std::size_t subject) const;
  std::uint64_t highest_epoch() const { return highest_epoch_; }
  const std::vector<std::string>& violations() const { return violations_; }
  // A metric of GET /stats by its name; -1 if it is missing or the node does not answer.
  long Metric(std::size_t i, const std::string& name);
  // Sends a request such as "GET /stats" to the admin address. Returns the whole response, or what
  // there is of it after 2 s.
  std::string AdminRequest(std::size_t i, const std::string& call);
  std::string http_address(std::size_t i) const;
  std::string gearman_address(std::size_t i) const;
  Loop& loop() { return loop_; }
  membership::Random& random() { return random_; }

 private:
  friend class LinkRelay;
  friend class PeerRelay;
  struct Node {
    std::string folder;
    int http = 0, admin = 0, cluster = 0, gearman = 0, peer = 0;  // ports
    pid_t pid = -1;
    bool stopped = false, terminating = false;  // terminating: after SIGTERM
    int exit_code = -1;
    std::uint64_t max_file_bytes = 0, disruptions = 0;
    Shim* shim = nullptr;
    Polled polled;
    std::unique_ptr<RawClient> poll_client;
    double polled_at = 0;
    std::map<std::string, std::string> last_states;  // by member, as this node last reported
  };
  void WriteConfig(std::size_t i, const std::string& path, const Node& node);
  void AddPeerConfig(std::size_t i, nlohmann::json* config) const;
  void LaunchProcess(Node* node, const std::string& config);
  void PollAll();
  void OnMembersResponse(std::size_t i, const std::string& answer);
  void ReapProcess(Node* node);

  Options options_;
  membership::Random random_;
  Loop loop_;
  std::string folder_;
  std::vector<std::unique_ptr<FakeWorker>> workers_;
  std::vector<Node> nodes_;
  Node duplicate_;
  std::vector<std::unique_ptr<LinkRelay>> links_;
  std::vector<std::unique_ptr<PeerRelay>> peer_relays_;
  std::vector<std::string> captured_datagrams_;
  std::map<std::uint64_t, std::string> view_contents_;  // by epoch
  std::map<std::string, std::uint64_t> failure_reports_;
  std::uint64_t highest_epoch_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace millethollow::cluster_test

#endif  // MILLETHOLLOW_TESTS_SUPPORT_CLUSTER_HARNESS_H_
