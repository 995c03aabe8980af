// A simulated cluster on a virtual clock: real MembershipNodes, with a network, disks and clocks
// whose faults are drawn from a seed. The invariants are checked after every event. The same seed
// always gives the same run. Times are seconds of the virtual clock unless they are said to be on a
// node's clock.
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

// Faults in the implementation's environment that break its guarantees. The checks must find them.
struct InjectedFaults {
  bool vote_not_kept = false;        // the disk reports every write as done but loses half
  bool lease_by_wall_clock = false;  // the node's clock stops during pauses of the process
  bool refutation_ignored = false;   // refutations of suspicions are dropped from messages
};

// The simulated cluster. Node `i` has member id `i` + 1.
class MembershipSimulation {
 public:
  struct Options {
    std::size_t members = 5, voters = 3;
    double loss = 0, duplication = 0;
    double min_delay_s = 0.0002, max_delay_s = 0.003;
    bool clocks_differ = true;
    bool check_invariants = true;  // after each event, in time quadratic in the number of members
    InjectedFaults injected_faults = {};
  };
  struct Node {
    MembershipNode::Options options;
    std::unique_ptr<MembershipNode> membership;  // null: the process does not run
    PersistentVoterState disk;
    // write_s: mean duration of a write to disk.
    double clock_rate = 1, clock_offset_s = 0, paused_until = -1, write_s = 0.001,
           last_write_done_at = 0;
    // Raised to cancel the scheduled tick, or all events of an ended process.
    std::uint64_t timer_generation = 0, process_generation = 0;
    std::uint64_t datagrams_sent = 0, bytes_sent = 0;
    View last_view;
  };

  MembershipSimulation(std::uint64_t seed, const Options& options)
      : options_(options), random_(seed) {
    for (std::size_t i = 0; i < options_.members; ++i) {
      Node& node = nodes_.emplace_back();
      for (std::size_t m = 0; m < options_.members; ++m) {
        node.options.members.push_back(
            {m + 1, "rack-" + std::to_string(m % 3), m < options_.voters});
      }
      node.options.self = i + 1;
      if (options_.clocks_differ) {
        node.clock_rate = 1 + 0.008 * (random_.Unit() - 0.5);
        node.clock_offset_s = 1000 * random_.Unit();
      }
    }
    link_cut_.assign(options_.members, std::vector<bool>(options_.members, false));
  }

  Node& node(std::size_t i) { return nodes_[i]; }
  std::size_t size() const { return nodes_.size(); }
  double now() const { return now_; }
  Random& random() { return random_; }
  void SetLoss(double loss) { options_.loss = loss; }
  // Violated invariants, each with its time. The simulation stops at the first one.
  const std::vector<std::string>& violations() const { return violations_; }
  // Whether the node has a process, running or paused.
  bool up(std::size_t i) const { return nodes_[i].membership != nullptr; }

  void Start(std::size_t i) {
    Node& node = nodes_[i];
    if (node.membership) return;
    node.options.process_incarnation = random_.NextUint64() | 1;
    node.process_generation += 1;
    node.paused_until = -1;
    node.membership = std::make_unique<MembershipNode>(node.options, node.disk,
                                                       random_.NextUint64(), LocalTime(node));
    ScheduleTick(i);
    on_start(i);
  }
  void Kill(std::size_t i) {
    if (up(i)) on_kill(i);
    nodes_[i].membership.reset();
    nodes_[i].process_generation += 1;  // pending writes to disk are lost
  }
  void StartAll() {
    for (std::size_t i = 0; i < size(); ++i) Start(i);
  }
  void Wipe(std::size_t i) { nodes_[i].disk = {}; }
  // Pauses the process. Its events happen when it continues.
  void Pause(std::size_t i, double duration_s) {
    nodes_[i].paused_until = now_ + duration_s;
    if (options_.injected_faults.lease_by_wall_clock)
      nodes_[i].clock_offset_s -= duration_s * nodes_[i].clock_rate;
  }
  void SetMaintenance(std::size_t i, const std::string& worker, bool in_maintenance) {
    Node& node = nodes_[i];
    if (!node.membership || node.paused_until > now_) return;
    MembershipNode::Actions actions;
    node.membership->SetMaintenance(LocalTime(node), worker, in_maintenance, &actions);
    ExecuteActions(i, &actions);
    ScheduleTick(i);
  }
  bool InMaintenance(std::size_t i, const std::string& worker) const {
    return up(i) && nodes_[i].membership->maintenance().InMaintenance(worker);
  }
  // Whether all processes have the same decisions on maintenance.
  bool MaintenanceAgrees() const {
    for (std::size_t i = 0; i < size(); ++i) {
      if (!up(i)) continue;
      const MaintenanceRegistry& registry = nodes_[i].membership->maintenance();
      if (registry.digest() != nodes_[FirstUp()].membership->maintenance().digest()) return false;
    }
    return true;
  }
  // Cuts or restores the link in one direction.
  void CutLink(std::size_t from, std::size_t to, bool cut) { link_cut_[from][to] = cut; }
  void CutLinkBothWays(std::size_t a, std::size_t b, bool cut) {
    link_cut_[a][b] = link_cut_[b][a] = cut;
  }
  void Heal() {
    for (auto& row : link_cut_) row.assign(row.size(), false);
  }
  // A random fault: a kill, a pause, a cut link, a partition, or the recovery from all of them.
  void InjectRandomFault(Random* faults, double max_pause_s) {
    const std::size_t i = faults->Below(size()), other = faults->Below(size());
    std::vector<int> group(size());
    for (int& side : group) side = static_cast<int>(faults->Below(2));
    switch (faults->Below(6)) {
      case 0:
        return Kill(i);
      case 1:
        // Pauses don't overlap, so that delayed events keep their order.
        if (IsRunning(i)) Pause(i, max_pause_s * faults->Unit());
        return;
      case 2:
        return CutLink(i, other, true);
      case 3:
        return Partition(group);
      default:
        Heal();
        StartAll();
    }
  }
  // Cuts the links between nodes of different groups. group[i] is the group of node i.
  void Partition(const std::vector<int>& group) {
    for (std::size_t a = 0; a < size(); ++a) {
      for (std::size_t b = 0; b < size(); ++b) link_cut_[a][b] = group[a] != group[b];
    }
  }

  // Runs until this time.
  void RunUntil(double until) {
    while (!queue_.empty() && queue_.top().at <= until && violations_.empty()) Step();
    if (violations_.empty()) now_ = std::max(now_, until);
  }
  // Runs until done() or for max_s. Returns done().
  template <typename Done>
  bool RunUntil(Done done, double max_s) {
    const double until = now_ + max_s;
    while (!done() && !queue_.empty() && queue_.top().at <= until && violations_.empty()) Step();
    return done();
  }

  bool IsLinkUp(std::size_t from, std::size_t to) const { return !link_cut_[from][to]; }
  bool IsRunning(std::size_t i) const { return up(i) && nodes_[i].paused_until <= now_; }
  double FleetShare(std::size_t i) const {
    return nodes_[i].membership->FleetShare(LocalTime(nodes_[i]));
  }
  double LocalNow(std::size_t i) const { return LocalTime(nodes_[i]); }
  bool HoldsLease(std::size_t i) const {
    const Node& node = nodes_[i];
    return node.membership && node.membership->agreement().HoldsLease(LocalTime(node));
  }
  // Whether all processes hold a lease and have the same view, whose members are exactly they.
  bool HasConverged() const {
    for (std::size_t i = 0; i < size(); ++i) {
      if (!up(i)) continue;
      if (!HoldsLease(i) || nodes_[i].membership->agreement().view() != ViewOf(FirstUp()))
        return false;
    }
    std::size_t running = 0;
    for (std::size_t i = 0; i < size(); ++i) running += up(i);
    return running > 0 && ViewOf(FirstUp()).members.size() == running;
  }
  // The state of each process, for the message of a failed assertion.
  std::string Describe() const {
    std::string text;
    for (std::size_t i = 0; i < size(); ++i) {
      if (!up(i)) continue;
      const ViewAgreement& agreement = nodes_[i].membership->agreement();
      text += "\n" + std::to_string(i + 1) + ": epoch " + std::to_string(agreement.view().epoch) +
              " of";
      for (const ViewMember& member : agreement.view().members)
        text += " " + std::to_string(member.id);
      text += "; share " + std::to_string(nodes_[i].membership->FleetShare(LocalTime(nodes_[i])));
      text += "; leased " + std::to_string(HoldsLease(i)) + " leads " +
              std::to_string(agreement.leader().leading()) + " vote " +
              std::to_string(static_cast<int>(agreement.voter().state())) + " identity " +
              std::to_string(agreement.voter_state().storage_identity.number) + " lost disk " +
              std::to_string(agreement.voter().lost_disk()) + " writes " +
              std::to_string(agreement.voter_state().writes) + "/" +
              std::to_string(nodes_[i].disk.writes) + " health";
      for (const auto& member : nodes_[i].membership->detector().members()) {
        text += " " + std::to_string(static_cast<int>(member.health)) + "/" +
                std::to_string(member.incarnation);
      }
    }
    return text;
  }
  const View& ViewOf(std::size_t i) const { return nodes_[i].membership->agreement().view(); }
  // The health that the failure detector of one node has for another.
  Health HealthAt(std::size_t observer, std::size_t subject) const {
    return nodes_[observer].membership->detector().Find(subject + 1)->health;
  }
  std::size_t FirstUp() const {
    for (std::size_t i = 0; i < size(); ++i) {
      if (up(i)) return i;
    }
    return 0;
  }

  // Schedules an event of the node's current process, for other components that run in it. A pause
  // delays it; the end of the process cancels it.
  void Schedule(double at, std::size_t node, std::function<void()> action) {
    Enqueue(at, node,
            [this, node, process_generation = nodes_[node].process_generation,
             action = std::move(action)] {
              if (process_generation == nodes_[node].process_generation) action();
            });
  }
  // Transmits a datagram over a link, with delay, loss and duplication. `action` receives it at the
  // process that the receiving node has then.
  void Transmit(std::size_t from, std::size_t to, const std::function<void()>& action) {
    if (link_cut_[from][to]) return;
    const int deliveries = random_.Unit() < options_.duplication ? 2 : 1;
    for (int delivery = 0; delivery < deliveries; ++delivery) {
      if (random_.Unit() < options_.loss) continue;
      double delay_s =
          options_.min_delay_s + (options_.max_delay_s - options_.min_delay_s) * random_.Unit();
      if (delivery > 0) delay_s += 3 * random_.Unit();  // a duplicate may arrive much later
      Enqueue(now_ + delay_s, to, action);
    }
  }
  void ReportViolation(const std::string& description) {
    violations_.push_back("at " + std::to_string(now_) + " s: " + description);
  }
  // Called after a process has started and before it is killed.
  std::function<void(std::size_t)> on_start = [](std::size_t) {}, on_kill = [](std::size_t) {};

  // Changes to kFailed at all nodes. Each is a false positive in a run without kills and long
  // pauses.
  std::uint64_t failures_declared = 0;
  // Bytes of a frame on the wire; absent: bytes are not counted.
  std::function<std::size_t(const Frame&)> frame_size;
  std::function<void(std::size_t observer, const HealthChange&)> on_health_change =
      [](std::size_t, const HealthChange&) {};

 private:
  struct Event {
    double at = 0;
    std::uint64_t sequence = 0;
    std::size_t node = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  double LocalTime(const Node& node) const { return node.clock_offset_s + node.clock_rate * now_; }
  void Enqueue(double at, std::size_t node, std::function<void()> action) {
    queue_.push({at, ++last_sequence_, node, std::move(action)});
  }
  void ScheduleTick(std::size_t i) {
    Node& node = nodes_[i];
    const double at = (node.membership->NextTickAt() - node.clock_offset_s) / node.clock_rate +
                      1e-9;  // rounding must not make it early
    if (!std::isfinite(at)) return;
    Enqueue(std::max(at, now_), i, [this, i, generation = ++node.timer_generation] {
      if (generation == nodes_[i].timer_generation)
        Invoke(i, [](MembershipNode* membership, double now, MembershipNode::Actions* actions) {
          membership->Tick(now, actions);
        });
    });
  }
  // Calls the node's MembershipNode and executes the resulting actions.
  template <typename Call>
  void Invoke(std::size_t i, Call call) {
    MembershipNode::Actions actions;
    call(nodes_[i].membership.get(), LocalTime(nodes_[i]), &actions);
    ExecuteActions(i, &actions);
    ScheduleTick(i);
    if (options_.check_invariants) CheckInvariants(i);
  }

  void Step() {
    Event event = queue_.top();
    queue_.pop();
    now_ = std::max(now_, event.at);
    const Node& node = nodes_[event.node];
    if (!node.membership) return;
    if (node.paused_until <= now_) return event.action();
    // A paused process handles the event when it continues.
    Enqueue(node.paused_until, event.node, std::move(event.action));
  }

  void ExecuteActions(std::size_t i, MembershipNode::Actions* actions) {
    Node& node = nodes_[i];
    for (const HealthChange& change : actions->changes) {
      if (change.health == Health::kFailed) failures_declared += 1;
      on_health_change(i, change);
    }
    if (actions->write) {
      node.last_write_done_at =
          std::max(node.last_write_done_at, now_) + node.write_s * (0.5 + random_.Unit());
      Schedule(
          node.last_write_done_at, i,
          [this, i, ticket = actions->ticket, votes = node.membership->agreement().voter_state()] {
            if (!options_.injected_faults.vote_not_kept || random_.Unit() < 0.5)
              nodes_[i].disk = votes;
            Invoke(i, [ticket](MembershipNode* membership, double now,
                               MembershipNode::Actions* follow_up) {
              membership->OnStored(now, ticket, follow_up);
            });
          });
    }
    for (auto& [to, frame] : actions->send) Send(i, to, std::move(frame));
  }

  void Send(std::size_t from, NodeId to, Frame frame) {
    Node& node = nodes_[from];
    node.datagrams_sent += 1;
    if (frame_size) node.bytes_sent += frame_size(frame);
    if (options_.injected_faults.refutation_ignored) {
      if (auto* probe = std::get_if<SwimMessage>(&frame)) {
        probe->incarnation = 0;
        std::erase_if(probe->updates, [](const GossipUpdate& update) {
          return update.health == Health::kAlive && update.incarnation > 0;
        });
      }
    }
    Transmit(
        from, to - 1,
        [this, at = to - 1, self = node.options.self,
         process_incarnation = node.options.process_incarnation,
         shared = std::make_shared<const Frame>(std::move(frame))] {
          Invoke(at, [&](MembershipNode* membership, double now, MembershipNode::Actions* actions) {
            membership->OnFrame(now, self, process_incarnation, *shared, actions);
            if (actions->reply) actions->send.emplace_back(self, std::move(*actions->reply));
          });
        });
  }

  // Checks views and leases after an event at node i.
  void CheckInvariants(std::size_t i) {
    Node& node = nodes_[i];
    const ViewAgreement& agreement = node.membership->agreement();
    const View& view = agreement.view();
    if (view != node.last_view) {
      if (view.epoch < node.last_view.epoch && node.process_generation == checked_generation_[i])
        ReportViolation("the epoch of a member's view decreased");
      const auto [known_view, is_new] = views_by_epoch_.emplace(view.epoch, view);
      if (!is_new && known_view->second != view)
        ReportViolation("different views of epoch " + std::to_string(view.epoch));
      node.last_view = view;
      checked_generation_[i] = node.process_generation;
    }
    if (agreement.counters().conflicts > 0)
      ReportViolation("a member learned different views of one epoch");
    double share_sum = 0;
    for (std::size_t holder_index = 0; holder_index < size(); ++holder_index) {
      const Node& holder = nodes_[holder_index];
      if (!holder.membership) continue;
      const double local_time = LocalTime(holder);
      share_sum += holder.membership->FleetShare(local_time);
      if (!holder.membership->agreement().HoldsLease(local_time)) continue;
      // A later view that a leaseholder acts on must have this leaseholder's entry unchanged.
      const ViewMember* entry = nullptr;
      for (std::size_t other_index = 0; other_index < size(); ++other_index) {
        const Node& other_holder = nodes_[other_index];
        if (!other_holder.membership ||
            !other_holder.membership->agreement().HoldsLease(LocalTime(other_holder)))
          continue;
        entry = other_holder.membership->agreement().view().Find(holder.options.self);
        const bool later = other_holder.membership->agreement().view().epoch >
                           holder.membership->agreement().view().epoch;
        if (later && (entry == nullptr ||
                      entry->process_incarnation != holder.options.process_incarnation)) {
          ReportViolation("member " + std::to_string(holder_index + 1) +
                          " holds a lease while member " + std::to_string(other_index + 1) +
                          " acts on a later view without it");
        }
      }
    }
    if (share_sum > 1 + 1e-9)
      ReportViolation("the fleet shares sum to " + std::to_string(share_sum));
  }

  Options options_;
  Random random_;
  std::vector<Node> nodes_;
  std::vector<std::vector<bool>> link_cut_;
  std::priority_queue<Event> queue_;
  std::uint64_t last_sequence_ = 0;
  double now_ = 0;
  std::map<std::uint64_t, View> views_by_epoch_;
  std::map<std::size_t, std::uint64_t> checked_generation_;
  std::vector<std::string> violations_;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_TESTS_SUPPORT_MEMBERSHIP_SIMULATION_H_
