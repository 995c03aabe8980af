// The client of discovery: fetches and watches the list, and turns it into members.
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

struct ListEntry {
  balancing::Endpoint member;
  std::string address;
  std::size_t max_in_flight = 0;  // requests out at once that it may have of a forwarder; 0: any
};

struct ServerList {
  long long version = 0;
  bool full = false;
  std::vector<ListEntry> entries;
  std::vector<balancing::Endpoint> Members() const;
};

// Reads a list in discovery's form. False, with `error`, where the whole is unusable; single bad
// entries are left out.
bool ReadServerList(std::string_view text, const std::vector<std::string>& zones,
                    const std::vector<std::string>& kinds, ServerList* list, std::string* error);

class DiscoveryCall;

class Discovery {
 public:
  struct Options {
    std::string address;
    double max_poll_interval_s = 10;
    std::vector<std::string> zones, kinds;
    std::uint64_t seed = 0;
    double drain_grace_s = 2;  // for which a worker that was told to end may be sent to
    int nodes = 1;  // that ask the same discovery: many ask less often, and not all at once
  };
  struct Hooks {
    std::function<void(balancing::EndpointListKind, const ServerList&)> on_list;
    std::function<void()> on_unavailable;
  };
  Discovery(Loop* loop, Options options, Hooks hooks);
  ~Discovery();

  void SetVersion(long long version) { version_ = version; }
  long long version() const { return version_; }
  bool IsLargeTier() const;  // many nodes ask the same discovery
  // A call is out that may bring what has counted as told for as long as the drain grace lasts.
  bool IsOverdue() const;
  // Discovery has moved. Its whole list is asked for at once, since another's versions may mean
  // something else; a call that is out at the old address is heard to its end.
  void SetAddress(const std::string& address);
  void Subscribe(bool enable);
  void Fetch();
  void Stop();

 private:
  friend class DiscoveryCall;
  void Ask(bool whole, double wait_s, bool goes_on = false);
  double WaitS();
  double Unit();
  void CallIn(double wait_s, bool waits = false);
  void Answered(DiscoveryCall* call, int status, const std::string& body, bool whole);
  void Failed(DiscoveryCall* call, const char* reason, bool whole);
  void Silent(DiscoveryCall* call);
  void Lost(DiscoveryCall* call, const char* reason);
  void Drop(DiscoveryCall* call);
  void OnOldAddressAnswer(const std::string& body);
  void KeepDown(ServerList* list);
  void RememberDown(const ServerList& list);

  Loop* loop_;
  Options options_;
  Hooks hooks_;
  std::unique_ptr<DiscoveryCall> watch_, fetch_, old_;
  long long version_ = 0;
  bool watching_ = false, stopped_ = false;
  bool unread_ = false;  // nothing has come from the present address yet
  static constexpr double kNever = 1e18;
  double overdue_from_ = kNever;        // on the loop's clock
  double moved_at_ = -1e9;              // on the loop's clock
  std::map<std::string, double> down_;  // told to drain or be gone: their last start
  int failures_ = 0;
  PollBackoff pace_;  // of a large tier
  std::uint64_t jitter_ = 0;
  Deadlines::Ticket retry_ = Deadlines::kNone, settle_ = Deadlines::kNone;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_DISCOVERY_H_
