// The client of discovery: fetches and watches the list of workers over HTTP/1.1 and converts it
// into endpoints for the planner.
//
// Everything here runs on the thread of the event loop.
#ifndef MILLETHOLLOW_NET_DISCOVERY_H_
#define MILLETHOLLOW_NET_DISCOVERY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "millethollow/balancing/load_balancer.h"
#include "net/loop.h"
#include "net/poll_backoff.h"

namespace millethollow {

// One worker of a list.
struct ListEntry {
  balancing::Endpoint endpoint;
  std::string address;
  std::size_t max_in_flight = 0;  // attempts in flight per forwarder; 0: unlimited
};

// A list as discovery sends it: either all workers, or those that changed since another version.
struct EndpointList {
  long long version = 0;
  bool full = false;  // whether it names all workers
  std::vector<ListEntry> entries;
  std::vector<balancing::Endpoint> Endpoints() const;
};

// Parses a list in discovery's JSON format; `zones` and `kinds` are the configured names that
// become indexes. False, with `error`, if the list as a whole is unusable; single invalid
// entries are skipped.
bool ReadEndpointList(std::string_view text, const std::vector<std::string>& zones,
                      const std::vector<std::string>& kinds, EndpointList* list,
                      std::string* error);

class DiscoveryConnection;

// Keeps the list of workers current. A poll is one HTTP request; discovery may hold a long poll
// until there is a change. The watch is a chain of polls on one connection, each of which follows
// the answer to the last. A fetch is a poll for the complete list, on a connection of its own.
//
// Discovery considers a change delivered to a node some seconds after it happened, whether or not
// the node received it. The drain grace runs from that time; once it is over, nothing may be sent
// to a draining worker. The loop is not owned and must outlive the object.
class Discovery {
 public:
  struct Options {
    std::string address;                    // "a.b.c.d:port"
    double max_poll_interval_s = 10;        // the list may not go without a poll for longer
    std::vector<std::string> zones, kinds;  // configured names, by index
    std::uint64_t seed = 0;                 // of the jitter
    double drain_grace_s = 2;  // time from a drain's delivery for which requests may be sent
    // Number of nodes that poll the same discovery. Large tiers poll less often, with jitter.
    int nodes = 1;
  };
  struct Hooks {
    // A list arrived: a snapshot or the changes since the last version.
    std::function<void(balancing::EndpointListKind, const EndpointList&)> on_list;
    // A poll failed or timed out.
    std::function<void()> on_unavailable;
  };
  Discovery(Loop* loop, Options options, Hooks hooks);
  ~Discovery();

  // Sets the version of the list that the caller already has.
  void SetVersion(long long version) { version_ = version; }
  long long version() const { return version_; }
  // Whether so many nodes poll the same discovery that their polls have to be spread out.
  bool IsLargeTier() const;
  // Whether a change may exist whose drain grace is almost over, counted from its delivery, and
  // which the current list lacks, since the next poll has no answer yet. While it is true, nothing
  // may be sent by the current list.
  bool IsOverdue() const;
  // Discovery has a new address. Fetches the complete list from there at once, since its versions
  // need not match those of the old address; a poll in flight at the old address may still
  // complete.
  void SetAddress(const std::string& address);
  // Starts or stops watching the list.
  void Subscribe(bool enable);
  // Requests the complete list, unless that is in progress.
  void Fetch();
  // Ends all requests for good.
  void Stop();

 private:
  friend class DiscoveryConnection;
  // `hold_s`: how long discovery may hold the poll; 0: not a long poll.
  void SendPoll(bool is_fetch, double hold_s, bool immediate = false);
  double LongPollS();   // how long discovery may hold the next long poll, in seconds
  double RandomUnit();  // random, uniform in [0, 1)
  void SchedulePoll(double delay_s, bool long_poll = false);
  void OnAnswer(DiscoveryConnection* connection, int status, const std::string& body,
                bool is_fetch);
  void OnPollFailed(DiscoveryConnection* connection, const char* reason, bool is_fetch);
  void OnLongPollTimeout(DiscoveryConnection* connection);
  void DropFailed(DiscoveryConnection* connection, const char* reason);
  void Drop(DiscoveryConnection* connection);
  void OnOldAddressAnswer(const std::string& body);
  void KeepUnavailableDraining(EndpointList* list);
  void RecordUnavailable(const EndpointList& list);

  Loop* loop_;
  Options options_;
  Hooks hooks_;
  std::unique_ptr<DiscoveryConnection> watch_, fetch_, old_address_watch_;
  long long version_ = 0;  // of the newest list received
  bool watching_ = false, stopped_ = false;
  bool awaiting_first_list_ = false;  // no list has arrived from the current address yet
  static constexpr double kNever = 1e18;
  double overdue_from_ = kNever;      // on the loop's clock
  double address_changed_at_ = -1e9;  // on the loop's clock
  // Start times of the workers that are draining or gone, in Unix seconds.
  std::map<std::string, double> unavailable_;
  int consecutive_failures_ = 0;
  PollBackoff backoff_;  // used in large tiers
  std::uint64_t random_state_ = 0;
  Deadlines::TimerId poll_timer_ = Deadlines::kNone, refetch_timer_ = Deadlines::kNone;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_DISCOVERY_H_
