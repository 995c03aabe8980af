// Many clients of one discovery that serves call after call, on real sockets.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/discovery.h"
#include "support/support.h"

namespace millethollow {
namespace {

constexpr double kWatchGoesOnS = 0.2;  // a call within this of the last answer lets the watch go on

// A discovery as the protocol has it: it works through new watches one after the other, turns away
// calls that find too many before them, and answers at once what goes on.
class SerialDiscovery {
 public:
  SerialDiscovery(Loop* loop, double service_s, std::size_t max_waiting)
      : loop_(loop), service_s_(service_s), max_waiting_(max_waiting) {
    server_.act = [this](const ToyWorker::Got& call) { Take(call); };
  }
  std::string address() const { return server_.address(); }
  std::size_t turned_away() const { return turned_away_; }

  // The list has changed: whoever watches hears so.
  void Change() {
    ++version_;
    for (const Call& watch : std::exchange(watches_, {})) Answer(watch);
  }

 private:
  struct Call {
    RawClient* from;
    int after = 0;
    bool waits = false;
  };
  static int Number(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::stoi(target.substr(at + name.size() + 1));
  }
  void Take(const ToyWorker::Got& got) {
    const Call call{got.from, Number(got.head.target, "after"),
                    Number(got.head.target, "wait_ms") > 0};
    const auto last = answered_.find(call.from);
    if (last != answered_.end() && loop_->Now() - last->second <= kWatchGoesOnS) return Serve(call);
    if (queue_.size() >= max_waiting_) {
      ++turned_away_;
      call.from->Write("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    queue_.push_back(call);
    if (queue_.size() == 1) ServeNext();
  }
  void ServeNext() {
    loop_->deadlines().At(loop_->Now() + service_s_, [this] {
      Serve(queue_.front());
      queue_.pop_front();
      if (!queue_.empty()) ServeNext();
    });
  }
  void Serve(const Call& call) {
    if (call.after < version_ || !call.waits) return Answer(call);
    watches_.push_back(call);
  }
  void Answer(const Call& call) {
    if (call.from->closed()) return;
    const std::string servers =
        call.after < version_ ? R"({"id":"w","addr":"127.0.0.1:9","state":"in_service"})" : "";
    const std::string body = R"({"version":)" + std::to_string(version_) +
                             R"(,"full":false,"servers":[)" + servers + "]}";
    call.from->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body);
    answered_[call.from] = loop_->Now();
  }

  Loop* loop_;
  double service_s_;
  std::size_t max_waiting_;
  ToyWorker server_{loop_};
  int version_ = 1;
  std::size_t turned_away_ = 0;
  std::deque<Call> queue_;
  std::vector<Call> watches_;
  std::map<RawClient*, double> answered_;
};

// A tier and its discovery; for each change, when each node heard of it.
struct CrowdedTier {
  CrowdedTier(std::size_t nodes, double service_s, std::size_t max_waiting)
      : discovery(&loop, service_s, max_waiting), versions(nodes) {
    LogLevel() = Level::kError;
    for (std::size_t node = 0; node < nodes; ++node) {
      Discovery::Options options{
          .address = discovery.address(), .max_poll_interval_s = 10, .zones = {}, .kinds = {}};
      options.seed = 7919 * (node + 1);
      options.nodes = static_cast<int>(nodes);
      const auto on_list = [this, node](balancing::EndpointListKind, const ServerList& list) {
        versions[node] = std::max(versions[node], list.version);
      };
      clients.push_back(std::make_unique<Discovery>(
          &loop, options, Discovery::Hooks{.on_list = on_list, .on_unavailable = [] {}}));
      clients.back()->SetVersion(1);
      clients.back()->Subscribe(true);
    }
  }
  bool AllReceived(long long version) const {
    return std::all_of(versions.begin(), versions.end(),
                       [&](long long had) { return had >= version; });
  }

  Loop loop;
  SerialDiscovery discovery;
  std::vector<long long> versions;  // by node: the newest version
  std::vector<std::unique_ptr<Discovery>> clients;
};

// Thirty nodes, whose new watches keep discovery busy for 7 s, and a change every few seconds. Each
// change once cost every node a new watch: discovery turned away most calls, and a node went on by
// a list of 24 s before, sending to servers that had ended.
TEST(CrowdedDiscovery, EachNodeHearsOfEachChangeInTime) {
  constexpr double kNotifiedS = 6, kGraceS = 2;
  CrowdedTier tier(32, 0.23, 13);
  const double began = tier.loop.Now();
  double changed_at = 0;
  for (const double at : {2.5, 4.9, 8.6}) {
    TurnUntil(
        tier.loop, [] { return false; }, began + at - tier.loop.Now());
    tier.discovery.Change();
    changed_at = tier.loop.Now();
  }
  ASSERT_TRUE(TurnUntil(
      tier.loop, [&] { return tier.AllReceived(4); }, kNotifiedS + kGraceS))
      << std::count_if(tier.versions.begin(), tier.versions.end(),
                       [](long long had) { return had < 4; })
      << " nodes have not heard of it";
  // All have a watch now. What changes next all hear at once, and nobody is turned away.
  const std::size_t turned_away = tier.discovery.turned_away();
  for (long long version = 5; version <= 7; ++version) {
    tier.discovery.Change();
    ASSERT_TRUE(TurnUntil(
        tier.loop, [&] { return tier.AllReceived(version); }, 1.0))
        << version;
  }
  EXPECT_EQ(tier.discovery.turned_away(), turned_away);
  EXPECT_LT(tier.loop.Now() - changed_at, kNotifiedS + kGraceS);
}

}  // namespace
}  // namespace millethollow
