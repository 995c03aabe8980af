// Members of a cluster on a virtual clock: the real decisions, a network, disks and clocks that a
// seed breaks. After every step each promise is checked; a seed always plays the same.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_MEMBERSHIP_SIMULATION_H_
#define MILLETHOLLOW_TESTS_SUPPORT_MEMBERSHIP_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "membership/membership_node.h"

namespace millethollow::membership {

// Faults that are built in on purpose: a check that does not find them proves nothing.
struct Planted {
  bool vote_not_kept = false;        // the disk says 'written' and forgets a part of it
  bool lease_by_wall_clock = false;  // a clock that does not count pauses
  bool refutation_ignored = false;
};

class MembershipSimulation {
 public:
  struct Options {
    std::size_t members = 5, voters = 3;
    double loss = 0, doubled = 0;
    double least_delay_s = 0.0002, most_delay_s = 0.003;
    bool clocks_differ = true;
    bool check = true;  // after each step; takes the square of the members
    Planted planted = {};
  };
  struct Node {
    MembershipNode::Options options;
    std::unique_ptr<MembershipNode> cluster;  // none: the process is not there
    PersistentVoterState disk;
    double rate = 1, offset = 0, paused_until = -1, write_s = 0.001, written_at = 0;
    std::uint64_t timer = 0, tasks = 0;
    std::uint64_t datagrams = 0, bytes = 0;
    View last;
  };

  MembershipSimulation(std::uint64_t seed, const Options& options) : o_(options), random_(seed) {
    for (std::size_t i = 0; i < o_.members; ++i) {
      Node& n = nodes_.emplace_back();
      for (std::size_t m = 0; m < o_.members; ++m) {
        n.options.members.push_back({m + 1, "rack-" + std::to_string(m % 3), m < o_.voters});
      }
      n.options.self = i + 1;
      if (o_.clocks_differ) {
        n.rate = 1 + 0.008 * (random_.Unit() - 0.5);
        n.offset = 1000 * random_.Unit();
      }
    }
    cut_.assign(o_.members, std::vector<bool>(o_.members, false));
  }

  Node& node(std::size_t i) { return nodes_[i]; }
  std::size_t size() const { return nodes_.size(); }
  double now() const { return now_; }
  Random& random() { return random_; }
  void SetLoss(double loss) { o_.loss = loss; }
  const std::vector<std::string>& broken() const { return broken_; }
  bool up(std::size_t i) const { return nodes_[i].cluster != nullptr; }

  void Start(std::size_t i) {
    Node& n = nodes_[i];
    if (n.cluster) return;
    n.options.process_incarnation = random_.NextUint64() | 1;
    n.tasks += 1;
    n.paused_until = -1;
    n.cluster = std::make_unique<MembershipNode>(n.options, n.disk, random_.NextUint64(), Local(n));
    Arm(i);
    on_start(i);
  }
  void Kill(std::size_t i) {
    if (up(i)) on_kill(i);
    nodes_[i].cluster.reset();
    nodes_[i].tasks += 1;  // what was on its way to disk may not arrive
  }
  void StartAll() {
    for (std::size_t i = 0; i < size(); ++i) Start(i);
  }
  void Wipe(std::size_t i) { nodes_[i].disk = {}; }
  void Pause(std::size_t i, double s) {
    nodes_[i].paused_until = now_ + s;
    if (o_.planted.lease_by_wall_clock) nodes_[i].offset -= s * nodes_[i].rate;
  }
  void Say(std::size_t i, const std::string& worker, bool out) {
    Node& n = nodes_[i];
    if (!n.cluster || n.paused_until > now_) return;
    MembershipNode::Actions actions;
    n.cluster->SetMaintenance(Local(n), worker, out, &actions);
    CarryOut(i, &actions);
    Arm(i);
  }
  bool Out(std::size_t i, const std::string& worker) const {
    return up(i) && nodes_[i].cluster->maintenance().InMaintenance(worker);
  }
  // Do all that are there hold the same workers out?
  bool FactsAgree() const {
    for (std::size_t i = 0; i < size(); ++i) {
      if (!up(i)) continue;
      const MaintenanceRegistry& facts = nodes_[i].cluster->maintenance();
      if (facts.digest() != nodes_[FirstUp()].cluster->maintenance().digest()) return false;
    }
    return true;
  }
  void Cut(std::size_t from, std::size_t to, bool cut) { cut_[from][to] = cut; }
  void CutBoth(std::size_t a, std::size_t b, bool cut) { cut_[a][b] = cut_[b][a] = cut; }
  void Heal() {
    for (auto& row : cut_) row.assign(row.size(), false);
  }
  // One that those who play days have in common: a kill, a stop, a cut of some form, or all well
  // again.
  void Fault(Random* faults, double longest_stop_s) {
    const std::size_t i = faults->Below(size()), other = faults->Below(size());
    std::vector<int> group(size());
    for (int& g : group) g = static_cast<int>(faults->Below(2));
    switch (faults->Below(6)) {
      case 0:
        return Kill(i);
      case 1:
        // One stop at a time: what waits for its end keeps its order.
        if (Runs(i)) Pause(i, longest_stop_s * faults->Unit());
        return;
      case 2:
        return Cut(i, other, true);
      case 3:
        return Split(group);
      default:
        Heal();
        StartAll();
    }
  }
  // Members of different groups don't hear each other.
  void Split(const std::vector<int>& group) {
    for (std::size_t a = 0; a < size(); ++a) {
      for (std::size_t b = 0; b < size(); ++b) cut_[a][b] = group[a] != group[b];
    }
  }

  void RunUntil(double until) {
    while (!queue_.empty() && queue_.top().at <= until && broken_.empty()) Step();
    if (broken_.empty()) now_ = std::max(now_, until);
  }
  template <typename Done>
  bool RunUntil(Done done, double most_s) {
    const double until = now_ + most_s;
    while (!done() && !queue_.empty() && queue_.top().at <= until && broken_.empty()) Step();
    return done();
  }

  bool Hears(std::size_t from, std::size_t to) const { return !cut_[from][to]; }
  bool Runs(std::size_t i) const { return up(i) && nodes_[i].paused_until <= now_; }
  double Part(std::size_t i) const { return nodes_[i].cluster->FleetShare(Local(nodes_[i])); }
  double LocalNow(std::size_t i) const { return Local(nodes_[i]); }
  bool Leased(std::size_t i) const {
    const Node& n = nodes_[i];
    return n.cluster && n.cluster->agreement().HoldsLease(Local(n));
  }
  // All that are there have one view, with all of them in it, and a lease.
  bool Whole() const {
    for (std::size_t i = 0; i < size(); ++i) {
      if (!up(i)) continue;
      if (!Leased(i) || nodes_[i].cluster->agreement().view() != ViewOf(FirstUp())) return false;
    }
    std::size_t there = 0;
    for (std::size_t i = 0; i < size(); ++i) there += up(i);
    return there > 0 && ViewOf(FirstUp()).members.size() == there;
  }
  // For a message: what each member believes.
  std::string Told() const {
    std::string all;
    for (std::size_t i = 0; i < size(); ++i) {
      if (!up(i)) continue;
      const ViewAgreement& a = nodes_[i].cluster->agreement();
      all += "\n" + std::to_string(i + 1) + ": epoch " + std::to_string(a.view().epoch) + " of";
      for (const ViewMember& m : a.view().members) all += " " + std::to_string(m.id);
      all += "; part " + std::to_string(nodes_[i].cluster->FleetShare(Local(nodes_[i])));
      all += "; leased " + std::to_string(Leased(i)) + " leads " +
             std::to_string(a.leader().leading()) + " vote " +
             std::to_string(static_cast<int>(a.voter().state())) + " mind " +
             std::to_string(a.voter_state().storage_identity.number) + " lost " +
             std::to_string(a.voter().lost_disk()) + " writes " +
             std::to_string(a.voter_state().writes) + "/" + std::to_string(nodes_[i].disk.writes) +
             " health";
      for (const auto& m : nodes_[i].cluster->detector().members()) {
        all +=
            " " + std::to_string(static_cast<int>(m.health)) + "/" + std::to_string(m.incarnation);
      }
    }
    return all;
  }
  const View& ViewOf(std::size_t i) const { return nodes_[i].cluster->agreement().view(); }
  Health HealthAt(std::size_t at, std::size_t of) const {
    return nodes_[at].cluster->detector().Find(of + 1)->health;
  }
  std::size_t FirstUp() const {
    for (std::size_t i = 0; i < size(); ++i) {
      if (up(i)) return i;
    }
    return 0;
  }

  // For what else runs in the members' processes. Done by the process that is there now, once it is
  // not stopped.
  void At(double at, std::size_t node, std::function<void()> what) {
    Put(at, node, [this, node, tasks = nodes_[node].tasks, what = std::move(what)] {
      if (tasks == nodes_[node].tasks) what();
    });
  }
  // Over the link, as datagrams go: late, lost, doubled. Done by whatever process of the member is
  // there.
  void Carry(std::size_t from, std::size_t to, const std::function<void()>& what) {
    if (cut_[from][to]) return;
    const int copies = random_.Unit() < o_.doubled ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
      if (random_.Unit() < o_.loss) continue;
      double delay = o_.least_delay_s + (o_.most_delay_s - o_.least_delay_s) * random_.Unit();
      if (c > 0) delay += 3 * random_.Unit();  // a copy may come much later
      Put(now_ + delay, to, what);
    }
  }
  void Broken(const std::string& what) {
    broken_.push_back("at " + std::to_string(now_) + " s: " + what);
  }
  std::function<void(std::size_t)> on_start = [](std::size_t) {}, on_kill = [](std::size_t) {};

  // Who was called failed though it answers: counted by whoever runs a day without such faults.
  std::uint64_t failures_said = 0;
  std::function<std::size_t(const Frame&)> size_of;  // on the wire; none: not counted
  std::function<void(std::size_t at, const HealthChange&)> on_change = [](std::size_t,
                                                                          const HealthChange&) {};

 private:
  struct Event {
    double at = 0;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  double Local(const Node& n) const { return n.offset + n.rate * now_; }
  void Put(double at, std::size_t node, std::function<void()> what) {
    queue_.push({at, ++order_, node, std::move(what)});
  }
  void Arm(std::size_t i) {
    Node& n = nodes_[i];
    const double at =
        (n.cluster->NextTickAt() - n.offset) / n.rate + 1e-9;  // not just before, by rounding
    if (!std::isfinite(at)) return;
    Put(std::max(at, now_), i, [this, i, mark = ++n.timer] {
      if (mark == nodes_[i].timer)
        Do(i, [](MembershipNode* c, double now, MembershipNode::Actions* a) { c->Tick(now, a); });
    });
  }
  template <typename What>
  void Do(std::size_t i, What what) {
    MembershipNode::Actions actions;
    what(nodes_[i].cluster.get(), Local(nodes_[i]), &actions);
    CarryOut(i, &actions);
    Arm(i);
    if (o_.check) Check(i);
  }

  void Step() {
    Event e = queue_.top();
    queue_.pop();
    now_ = std::max(now_, e.at);
    const Node& n = nodes_[e.node];
    if (!n.cluster) return;
    if (n.paused_until <= now_) return e.what();
    // It finds all of it when it goes on.
    Put(n.paused_until, e.node, std::move(e.what));
  }

  void CarryOut(std::size_t i, MembershipNode::Actions* actions) {
    Node& n = nodes_[i];
    for (const HealthChange& change : actions->changes) {
      if (change.health == Health::kFailed) failures_said += 1;
      on_change(i, change);
    }
    if (actions->write) {
      n.written_at = std::max(n.written_at, now_) + n.write_s * (0.5 + random_.Unit());
      At(n.written_at, i,
         [this, i, ticket = actions->ticket, votes = n.cluster->agreement().voter_state()] {
           if (!o_.planted.vote_not_kept || random_.Unit() < 0.5) nodes_[i].disk = votes;
           Do(i, [ticket](MembershipNode* c, double now, MembershipNode::Actions* a) {
             c->OnStored(now, ticket, a);
           });
         });
    }
    for (auto& [to, frame] : actions->send) Send(i, to, std::move(frame));
  }

  void Send(std::size_t from, NodeId to, Frame frame) {
    Node& n = nodes_[from];
    n.datagrams += 1;
    if (size_of) n.bytes += size_of(frame);
    if (o_.planted.refutation_ignored) {
      if (auto* probe = std::get_if<SwimMessage>(&frame)) {
        probe->incarnation = 0;
        std::erase_if(probe->updates, [](const GossipUpdate& w) {
          return w.health == Health::kAlive && w.incarnation > 0;
        });
      }
    }
    Carry(from, to - 1,
          [this, at = to - 1, self = n.options.self,
           process_incarnation = n.options.process_incarnation,
           shared = std::make_shared<const Frame>(std::move(frame))] {
            Do(at, [&](MembershipNode* c, double now, MembershipNode::Actions* a) {
              c->OnFrame(now, self, process_incarnation, *shared, a);
              if (a->reply) a->send.emplace_back(self, std::move(*a->reply));
            });
          });
  }

  void Check(std::size_t i) {
    Node& n = nodes_[i];
    const ViewAgreement& a = n.cluster->agreement();
    const View& view = a.view();
    if (view != n.last) {
      if (view.epoch < n.last.epoch && n.tasks == last_tasks_[i]) Broken("an epoch fell");
      const auto [it, fresh] = contents_.emplace(view.epoch, view);
      if (!fresh && it->second != view)
        Broken("two contents of epoch " + std::to_string(view.epoch));
      n.last = view;
      last_tasks_[i] = n.tasks;
    }
    if (a.counters().conflicts > 0) Broken("a member saw a conflict");
    double sum = 0;
    for (std::size_t b = 0; b < size(); ++b) {
      const Node& other = nodes_[b];
      if (!other.cluster) continue;
      const double local = Local(other);
      sum += other.cluster->FleetShare(local);
      if (!other.cluster->agreement().HoldsLease(local)) continue;
      // Whoever acts on a later view must find this one's place as it is.
      const ViewMember* at = nullptr;
      for (std::size_t c = 0; c < size(); ++c) {
        const Node& third = nodes_[c];
        if (!third.cluster || !third.cluster->agreement().HoldsLease(Local(third))) continue;
        at = third.cluster->agreement().view().Find(other.options.self);
        const bool later =
            third.cluster->agreement().view().epoch > other.cluster->agreement().view().epoch;
        if (later &&
            (at == nullptr || at->process_incarnation != other.options.process_incarnation)) {
          Broken("member " + std::to_string(b + 1) + " acts on a lease after member " +
                 std::to_string(c + 1) + " has a view without it");
        }
      }
    }
    if (sum > 1 + 1e-9) Broken("the parts come to " + std::to_string(sum));
  }

  Options o_;
  Random random_;
  std::vector<Node> nodes_;
  std::vector<std::vector<bool>> cut_;
  std::priority_queue<Event> queue_;
  std::uint64_t order_ = 0;
  double now_ = 0;
  std::map<std::uint64_t, View> contents_;
  std::map<std::size_t, std::uint64_t> last_tasks_;
  std::vector<std::string> broken_;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_TESTS_SUPPORT_MEMBERSHIP_SIMULATION_H_
