// What clients were told and what workers did, over the whole of a day of faults: kept, and checked
// at its end against what the program promises.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_HISTORY_H_
#define MILLETHOLLOW_TESTS_SUPPORT_HISTORY_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/cluster_rig.h"

namespace millethollow::rig {

class History {
 public:
  explicit History(Cluster* rig, std::size_t workers) : rig_(rig), workers_(workers) {}

  // A request to a node that runs; the rig's turns carry it.
  void Ask() {
    const std::size_t node = rig_->random().Below(rig_->size());
    if (!rig_->Serves(node) || !rig_->polled(node).told.is_object()) return;
    Request& r = requests_.emplace_back();
    r.id = "r" + std::to_string(requests_.size());
    r.node = node;
    r.charge = rig_->random().Below(2) == 0;
    r.disturbed = rig_->Disturbed(node);
    r.raw = std::make_unique<Raw>(&rig_->loop(), rig_->http_address(node));
    r.raw->Write(Post(r.id, r.charge ? "charge" : "look",
                      r.charge ? "Idempotency-Key: " + r.id + "\r\n" : ""));
  }
  // Takes in what was answered, so that no more connections are kept than are open.
  void Gather() {
    while (!requests_.empty() && first_open_ < requests_.size()) {
      Request& r = requests_[first_open_];
      if (r.raw->received.find("\r\n\r\n") == std::string::npos && !r.raw->ended) return;
      r.told = std::move(r.raw->received);
      r.raw.reset();
      r.undisturbed = r.disturbed == rig_->Disturbed(r.node);
      ++first_open_;
    }
  }
  bool AllTold() const { return first_open_ == requests_.size(); }
  std::size_t asked() const { return requests_.size(); }

  // Each promise that was not kept, in words.
  std::vector<std::string> Wrong() const {
    std::map<std::string, std::set<std::size_t>> cells;  // in which an id ran
    for (std::size_t w = 0; w < workers_; ++w) {
      for (const auto& got : rig_->worker(w).requests) {
        const std::string* id = got.head.Get("Request-Id");
        if (id != nullptr) cells[*id].insert(w / 2);
      }
    }
    std::vector<std::string> wrong;
    for (std::size_t i = 0; i < first_open_; ++i) {
      const Request& r = requests_[i];
      const std::string status = r.told.substr(0, 12);
      const auto ran = cells.find(r.id);
      const std::string which = r.id + " at " + Cluster::Name(r.node) + ": ";
      if (r.undisturbed && status != "HTTP/1.1 200")
        wrong.push_back(which + "told '" + status + "'");
      if (status == "HTTP/1.1 200" && ran == cells.end())
        wrong.push_back(which + "told done, and no worker had it");
      if (r.charge && ran != cells.end() && ran->second.size() > 1)
        wrong.push_back(which + "a charge ran in two cells");
      if (r.charge && ran != cells.end() && status == "HTTP/1.1 503")
        wrong.push_back(which + "refused what may have run");
    }
    return wrong;
  }

 private:
  struct Request {
    std::string id, told;
    std::size_t node = 0;
    bool charge = false, undisturbed = false;
    std::uint64_t disturbed = 0;
    std::unique_ptr<Raw> raw;
  };
  Cluster* rig_;
  std::size_t workers_;
  std::deque<Request> requests_;
  std::size_t first_open_ = 0;
};

}  // namespace millethollow::rig

#endif  // MILLETHOLLOW_TESTS_SUPPORT_HISTORY_H_
