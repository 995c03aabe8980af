// History of a run with faults: the requests of clients with their responses, and the executions at
// workers. It is checked after the run against the guarantees for requests.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_HISTORY_H_
#define MILLETHOLLOW_TESTS_SUPPORT_HISTORY_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/cluster_harness.h"

namespace millethollow::cluster_test {

class History {
 public:
  explicit History(ClusterHarness* cluster, std::size_t workers)
      : cluster_(cluster), workers_(workers) {}

  // Sends a request to a random node, unless that node does not serve now.
  void SendRequest() {
    const std::size_t node = cluster_->random().Below(cluster_->size());
    if (!cluster_->Serves(node) || !cluster_->polled(node).response.is_object()) return;
    Request& request = requests_.emplace_back();
    request.id = "r" + std::to_string(requests_.size());
    request.node = node;
    request.charge = cluster_->random().Below(2) == 0;
    request.disturbances_before = cluster_->DisruptionCount(node);
    request.connection =
        std::make_unique<RawClient>(&cluster_->loop(), cluster_->http_address(node));
    request.connection->Write(
        Post(request.id, request.charge ? "charge" : "look",
             request.charge ? "Idempotency-Key: " + request.id + "\r\n" : ""));
  }
  // Stores the responses that have arrived, in the order of the requests, and closes their
  // connections.
  void CollectResponses() {
    while (!requests_.empty() && first_pending_ < requests_.size()) {
      Request& request = requests_[first_pending_];
      if (request.connection->received.find("\r\n\r\n") == std::string::npos &&
          !request.connection->ended)
        return;
      request.response = std::move(request.connection->received);
      request.connection.reset();
      request.undisturbed = request.disturbances_before == cluster_->DisruptionCount(request.node);
      ++first_pending_;
    }
  }
  bool AllAnswered() const { return first_pending_ == requests_.size(); }
  std::size_t requests_sent() const { return requests_.size(); }

  // Describes each violated guarantee.
  std::vector<std::string> Violations() const {
    std::map<std::string, std::set<std::size_t>> cells;  // in which each request id was executed
    for (std::size_t worker = 0; worker < workers_; ++worker) {
      for (const auto& received : cluster_->worker(worker).requests) {
        const std::string* id = received.head.Get("Request-Id");
        if (id != nullptr) cells[*id].insert(worker / 2);
      }
    }
    std::vector<std::string> violations;
    for (std::size_t i = 0; i < first_pending_; ++i) {
      const Request& request = requests_[i];
      const std::string status = request.response.substr(0, 12);
      const auto executed = cells.find(request.id);
      const std::string prefix = request.id + " at " + ClusterHarness::Name(request.node) + ": ";
      if (request.undisturbed && status != "HTTP/1.1 200")
        violations.push_back(prefix + "response '" + status + "'");
      if (status == "HTTP/1.1 200" && executed == cells.end())
        violations.push_back(prefix + "response 200, but no worker received it");
      if (request.charge && executed != cells.end() && executed->second.size() > 1)
        violations.push_back(prefix + "a charge was executed in two cells");
      if (request.charge && executed != cells.end() && status == "HTTP/1.1 503")
        violations.push_back(prefix + "rejected although it may have been executed");
    }
    return violations;
  }

 private:
  struct Request {
    std::string id, response;
    std::size_t node = 0;
    // undisturbed: its node had no fault until the response.
    bool charge = false, undisturbed = false;
    std::uint64_t disturbances_before = 0;
    std::unique_ptr<RawClient> connection;
  };
  ClusterHarness* cluster_;
  std::size_t workers_;
  std::deque<Request> requests_;
  std::size_t first_pending_ = 0;
};

}  // namespace millethollow::cluster_test

#endif  // MILLETHOLLOW_TESTS_SUPPORT_HISTORY_H_
