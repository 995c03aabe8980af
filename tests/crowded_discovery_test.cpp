// Many clients of one discovery that serves polls one at a time, on real sockets.
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

// A poll within this time of the last answer continues the watch.
constexpr double kWatchContinuesS = 0.2;

// A discovery with the behaviour of the real one: it serves new watches one at a time, rejects
// polls while its queue is full, and answers polls that continue a watch immediately.
class SerialDiscovery {
 public:
  SerialDiscovery(Loop* loop, double service_s, std::size_t max_queued)
      : loop_(loop), service_s_(service_s), max_queued_(max_queued) {
    server_.on_request = [this](const FakeWorker::ReceivedRequest& request) { OnPoll(request); };
  }
  std::string address() const { return server_.address(); }
  std::size_t rejected() const { return rejected_; }

  // The list has changed: answers every watch.
  void Change() {
    ++version_;
    for (const Poll& watch : std::exchange(watches_, {})) Answer(watch);
  }

 private:
  struct Poll {
    RawClient* client;
    int after = 0;
    bool long_poll = false;
  };
  static int Number(const std::string& target, const std::string& name) {
    const std::size_t position = target.find(name + "=");
    return position == std::string::npos ? 0 : std::stoi(target.substr(position + name.size() + 1));
  }
  void OnPoll(const FakeWorker::ReceivedRequest& request) {
    const Poll poll{request.from, Number(request.head.target, "after"),
                    Number(request.head.target, "wait_ms") > 0};
    const auto last = answered_.find(poll.client);
    if (last != answered_.end() && loop_->Now() - last->second <= kWatchContinuesS)
      return Serve(poll);
    if (queue_.size() >= max_queued_) {
      ++rejected_;
      poll.client->Write("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    queue_.push_back(poll);
    if (queue_.size() == 1) ServeNext();
  }
  void ServeNext() {
    loop_->deadlines().At(loop_->Now() + service_s_, [this] {
      Serve(queue_.front());
      queue_.pop_front();
      if (!queue_.empty()) ServeNext();
    });
  }
  void Serve(const Poll& poll) {
    if (poll.after < version_ || !poll.long_poll) return Answer(poll);
    watches_.push_back(poll);
  }
  void Answer(const Poll& poll) {
    if (poll.client->closed()) return;
    const std::string servers =
        poll.after < version_ ? R"({"id":"w","addr":"127.0.0.1:9","state":"in_service"})" : "";
    const std::string body = R"({"version":)" + std::to_string(version_) +
                             R"(,"full":false,"servers":[)" + servers + "]}";
    poll.client->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body);
    answered_[poll.client] = loop_->Now();
  }

  Loop* loop_;
  double service_s_;
  std::size_t max_queued_;
  FakeWorker server_{loop_};
  int version_ = 1;
  std::size_t rejected_ = 0;
  std::deque<Poll> queue_;
  std::vector<Poll> watches_;
  std::map<RawClient*, double> answered_;
};

// The nodes of a tier and their discovery, with the newest version that each node has received.
struct LargeTier {
  LargeTier(std::size_t nodes, double service_s, std::size_t max_queued)
      : discovery(&loop, service_s, max_queued), versions(nodes) {
    LogLevel() = Level::kError;
    for (std::size_t node = 0; node < nodes; ++node) {
      Discovery::Options options{
          .address = discovery.address(), .max_poll_interval_s = 10, .zones = {}, .kinds = {}};
      options.seed = 7919 * (node + 1);
      options.nodes = static_cast<int>(nodes);
      const auto on_list = [this, node](balancing::EndpointListKind, const EndpointList& list) {
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
                       [&](long long received) { return received >= version; });
  }

  Loop loop;
  SerialDiscovery discovery;
  std::vector<long long> versions;  // by node: the newest version
  std::vector<std::unique_ptr<Discovery>> clients;
};

// Guards against nodes using an outdated list because discovery is overloaded: each change made
// every node start a new watch, discovery rejected most polls, and a node kept sending to
// terminated servers by a list that was 24 s old. Here the new watches of 32 nodes keep discovery
// busy for 7 s, and the list changes every few seconds.
TEST(CrowdedDiscovery, EachNodeReceivesEachChangeInTime) {
  constexpr double kNotifiedS = 6, kGraceS = 2;
  LargeTier tier(32, 0.23, 13);
  const double began_at = tier.loop.Now();
  double changed_at = 0;
  for (const double change_s : {2.5, 4.9, 8.6}) {
    TurnUntil(
        tier.loop, [] { return false; }, began_at + change_s - tier.loop.Now());
    tier.discovery.Change();
    changed_at = tier.loop.Now();
  }
  ASSERT_TRUE(TurnUntil(
      tier.loop, [&] { return tier.AllReceived(4); }, kNotifiedS + kGraceS))
      << std::count_if(tier.versions.begin(), tier.versions.end(),
                       [](long long received) { return received < 4; })
      << " nodes have not received it";
  // All nodes have a watch now: further changes reach them immediately, and no poll is rejected.
  const std::size_t rejected = tier.discovery.rejected();
  for (long long version = 5; version <= 7; ++version) {
    tier.discovery.Change();
    ASSERT_TRUE(TurnUntil(
        tier.loop, [&] { return tier.AllReceived(version); }, 1.0))
        << version;
  }
  EXPECT_EQ(tier.discovery.rejected(), rejected);
  EXPECT_LT(tier.loop.Now() - changed_at, kNotifiedS + kGraceS);
}

}  // namespace
}  // namespace millethollow
