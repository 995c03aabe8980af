// A simulation of replicated logs on a virtual clock: real members agree on views, and real logs
// are written to simulated stores, which a seeded random generator loses, restores from old copies
// and slows down. The guarantees are checked after every step.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_REPLICATION_SIMULATION_H_
#define MILLETHOLLOW_TESTS_SUPPORT_REPLICATION_SIMULATION_H_

#include <functional>

#include "copies/replicated_logs.h"
#include "support/membership_simulation.h"

namespace millethollow::copies {

using membership::MembershipSimulation;
using membership::Random;
using StoreContents = std::map<std::string, std::string>;

// Applies a batch to simulated store contents.
inline void WriteTo(StoreContents* contents, const std::vector<StoreWrite>& batch) {
  for (const StoreWrite& write : batch) {
    if (write.kind == StoreWrite::Kind::kPut) (*contents)[write.key] = write.value;
    if (write.kind == StoreWrite::Kind::kErase) contents->erase(write.key);
    if (write.kind != StoreWrite::Kind::kErasePrefix) continue;
    auto it = contents->lower_bound(write.key);
    while (it != contents->end() && it->first.starts_with(write.key)) it = contents->erase(it);
  }
}

// Injected faults: a check that does not find them proves nothing.
struct ReplicationFaults {
  bool acks_before_durable = false, acts_without_lease = false, truncates_snapshots = false;
  bool any() const { return acks_before_durable || acts_without_lease || truncates_snapshots; }
};

// The members, their logs and their stores.
class ReplicationSimulation {
 public:
  ReplicationSimulation(std::uint64_t seed, std::size_t members, ReplicationFaults injected)
      : faults(injected),
        random(seed * 77 + 5),
        world(seed, {.members = members,
                     .voters = 3,
                     .loss = seed % 3 == 0 ? 0.05 : 0.02,
                     .duplication = 0.03}),
        nodes_(members) {
    for (Node& node : nodes_) node.store_id = random.NextUint64() | 1;
    world.on_start = [this](std::size_t i) { StartNode(i); };
    world.on_kill = [this](std::size_t i) {
      if (nodes_[i].logs) snapshot_transfers += nodes_[i].logs->counters().snapshot_transfers;
      observer.on_kill(i);
      nodes_[i].logs.reset();
    };
  }

  // The node fails and loses its store. The voter state stays: losing it is tested with membership.
  void LoseStore(std::size_t i) {
    world.Kill(i);
    nodes_[i].store.clear();
    nodes_[i].store_id = random.NextUint64() | 1;
  }
  // Keeps a copy of the store, for RestoreSavedStore.
  void SaveStore(std::size_t i) { nodes_[i].saved_store = nodes_[i].store; }
  // Stops the node and replaces its store with the kept copy.
  void RestoreSavedStore(std::size_t i) {
    world.Kill(i);
    nodes_[i].store = nodes_[i].saved_store;
    store_restored = true;
  }
  void SetWriteLatency(std::size_t i, double latency_s) { nodes_[i].write_latency_s = latency_s; }
  // Whether the node may lose its store: at most one less than `min_replicas` stores of a log may
  // be lost at a time, in any view that a node knows or has accepted.
  bool CanLoseStore(std::size_t i) {
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      std::vector<const View*> views{&world.node(other).disk.accepted};
      if (world.up(other)) {
        const membership::ViewAgreement& agreement = world.node(other).membership->agreement();
        views.insert(views.end(), {&agreement.view(), &agreement.leader().decided(),
                                   &agreement.voter_state().accepted});
      }
      for (const View* view : views) {
        for (const LogAssignment& log : view->logs) {
          if (log.Find(i + 1) == nullptr) continue;
          if (log.replicas.size() < 2) return false;
          for (const LogReplica& replica : log.replicas) {
            if (replica.id != i + 1 && nodes_[replica.id - 1].store_id != replica.store_id)
              return false;
          }
        }
      }
    }
    return true;
  }
  // Appends a random operation to each log that the node may act on.
  void Append(std::size_t i) {
    if (!world.IsRunning(i) || !nodes_[i].logs) return;
    for (const auto& [log, unused] : committed_) {
      if (!MayAct(i, log)) continue;
      ReplicatedLogs::AppendError reason{};
      const std::string key = "k" + std::to_string(random.Below(40)),
                        value = "v" + std::to_string(++last_value_);
      const bool erase = random.Below(3) == 0;
      AppendOperation(i, log, key, erase ? "" : value, erase, &reason);
      rejected += reason == ReplicatedLogs::AppendError::kTooFewReplicas;
    }
  }
  // Applies the view, then asks whether the node may act on the log.
  bool MayAct(std::size_t i, LogId log) {
    bool may_act = false;
    Dispatch(i, [&](ReplicatedLogs* logs, double, ReplicatedLogs::Actions*) {
      may_act = logs->MayAct(log);
    });
    return may_act;
  }
  SequenceNumber AppendOperation(std::size_t i, LogId log, const std::string& key,
                                 const std::string& value, bool erase,
                                 ReplicatedLogs::AppendError* error) {
    Operation operation{.key = key, .value = value, .erase = erase};
    Dispatch(i, [&](ReplicatedLogs* logs, double now, ReplicatedLogs::Actions* actions) {
      operation.sequence = logs->Append(now, log, key, value, erase, error, actions);
      if (operation.sequence == 0) return;
      operation.epoch = world.ViewOf(i).Log(log)->owner_epoch;
      appended_[log][{operation.sequence, operation.epoch}] = operation;
    });
    return operation.sequence;
  }
  void Open(std::size_t i, LogId log) {
    committed_[log];
    if (nodes_[i].logs) nodes_[i].logs->Open(log);
  }
  void Close(std::size_t i, LogId log) {
    Dispatch(i,
             [log](ReplicatedLogs* logs, double, ReplicatedLogs::Actions*) { logs->Close(log); });
  }
  const ReplicatedLogs* LogsOf(std::size_t i) const { return nodes_[i].logs.get(); }
  // Whether every log has an owner that acts on it, and  as many replicas as configured or
  // available.
  bool Converged(std::size_t replica_count) {
    if (!world.HasConverged()) return false;
    const View& view = world.ViewOf(0);
    return !view.logs.empty() &&
           std::all_of(view.logs.begin(), view.logs.end(), [&](const LogAssignment& log) {
             return log.process_incarnation != 0 &&
                    log.replicas.size() >= std::min(replica_count, world.size()) &&
                    nodes_[log.owner - 1].logs->MayAct(log.log);
           });
  }
  void OpenLog(std::size_t i) { Open(i, random.NextUint64() | 1); }
  // The state of all logs of the latest view, for a failure message.
  std::string Describe() {
    std::string all;
    const View* latest = LatestView();
    for (const LogAssignment& log : latest ? latest->logs : std::vector<LogAssignment>{}) {
      all += "\nlog " + std::to_string(log.log % 1000) + " owner " + std::to_string(log.owner) +
             " incarnation " + std::to_string(log.process_incarnation != 0) + " since " +
             std::to_string(log.owner_epoch) + " version " + std::to_string(log.version) +
             " replicas";
      for (const auto& replica : log.replicas) {
        const Node& node = nodes_[replica.id - 1];
        all += " " + std::to_string(replica.id) +
               (node.store_id == replica.store_id ? "" : "(lost)") + (node.logs ? "" : "(down)");
        if (node.logs && node.logs->MayAct(log.log)) all += "(acts)";
      }
      if (log.owner != 0 && nodes_[log.owner - 1].logs)
        all += "\n  " + nodes_[log.owner - 1].logs->DescribeReplicas(log.log);
    }
    return all;
  }

  // Callbacks of a test that keeps records in the logs.
  struct Observer {
    std::function<void(std::size_t)> on_start = [](std::size_t) {}, on_kill = [](std::size_t) {};
    std::function<void(std::size_t, LogId, const std::vector<Operation>&)> on_acquired =
        [](std::size_t, LogId, const std::vector<Operation>&) {};
    std::function<void(std::size_t, LogId)> on_released = [](std::size_t, LogId) {};
    std::function<void(std::size_t, LogId, SequenceNumber)> on_committed = [](std::size_t, LogId,
                                                                              SequenceNumber) {};
  } observer;
  const ReplicationFaults faults;
  Random random;
  MembershipSimulation world;
  std::size_t committed = 0, rejected = 0, takeovers = 0, snapshot_transfers = 0,
              abandoned_stores = 0;  // stores that were restored from an old copy
  bool store_restored = false;       // whether any store was

 private:
  struct Node {
    std::unique_ptr<ReplicatedLogs> logs;
    std::uint64_t store_id = 0;
    StoreContents store, saved_store;  // saved_store: the copy that SaveStore made
    double write_latency_s = 0.002, busy_until = 0, writes_done_at = 0;
  };

  void StartNode(std::size_t i) {
    Node& node = nodes_[i];
    std::vector<std::pair<std::string, std::string>> records;
    for (const auto& [key, value] : node.store) {
      if (ParseStoreKey(key)->type != 'e') records.emplace_back(key, value);
    }
    Options options;
    options.self = i + 1;
    options.process_incarnation = world.node(i).options.process_incarnation;
    options.store_id = node.store_id;
    options.retained_operations = 24;
    options.snapshot_chunk_entries = 4;
    options.max_message_operations = 5;
    node.logs = std::make_unique<ReplicatedLogs>(options, records);
    node.busy_until = node.writes_done_at = 0;
    observer.on_start(i);
    TickLoop(i);
  }
  // Applies the view and then an event to the logs of a node, and performs the actions of both.
  template <typename Event>
  void Dispatch(std::size_t i, Event event) {
    if (!nodes_[i].logs) return;
    ReplicatedLogs::Actions view_actions, event_actions;
    nodes_[i].logs->OnView(world.now(), world.ViewOf(i),
                           world.HoldsLease(i) || faults.acts_without_lease, &view_actions);
    Perform(i, &view_actions);
    if (!nodes_[i].logs) return;
    event(nodes_[i].logs.get(), world.now(), &event_actions);
    Perform(i, &event_actions);
    CheckSingleOwner();
  }
  void TickLoop(std::size_t i) {
    Dispatch(i, [](ReplicatedLogs* logs, double now, ReplicatedLogs::Actions* actions) {
      logs->Tick(now, actions);
    });
    if (!nodes_[i].logs) return;
    world.node(i).membership->RequestLogs(world.LocalNow(i), nodes_[i].logs->store_id(),
                                          nodes_[i].logs->RequestedLogs());
    world.Schedule(world.now() + 0.01, i, [this, i] { TickLoop(i); });
  }
  const View* LatestView() {
    const View* latest = nullptr;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!world.up(i)) continue;
      for (const View* view :
           {&world.ViewOf(i), &world.node(i).membership->agreement().leader().decided()}) {
        if (latest == nullptr || view->epoch > latest->epoch) latest = view;
      }
    }
    return latest;
  }
  void Perform(std::size_t i, ReplicatedLogs::Actions* actions) {
    Node& node = nodes_[i];
    const double now = world.now();
    if (!actions->write.empty()) {
      // Writes that arrive while the store is busy are written together afterwards.
      const double duration_s = node.write_latency_s * (0.5 + random.Unit());
      if (now >= node.writes_done_at) {
        node.busy_until = node.writes_done_at = now + duration_s;
      } else if (now >= node.busy_until || node.writes_done_at <= node.busy_until) {
        node.busy_until = node.writes_done_at;
        node.writes_done_at += duration_s;
      }
      const auto apply_write = [this, i, batch = actions->write] {
        WriteTo(&nodes_[i].store, batch);
      };
      if (faults.acks_before_durable) world.Schedule(node.writes_done_at + 0.2, i, apply_write);
      world.Schedule(node.writes_done_at, i, [this, i, apply_write, ticket = actions->ticket] {
        if (!faults.acks_before_durable) apply_write();
        Dispatch(i,
                 [ticket](ReplicatedLogs* logs, double at, ReplicatedLogs::Actions* next_actions) {
                   logs->OnStored(at, ticket, next_actions);
                 });
      });
    }
    for (const ReplicatedLogs::Read& read : actions->read) {
      world.Schedule(std::max(now, node.writes_done_at) + 0.001, i, [this, i, read] {
        std::vector<Operation> entries;
        const StoreContents& store = nodes_[i].store;
        auto it = store.upper_bound(read.after.empty() ? read.prefix : read.after);
        const auto has_more = [&] {
          return it != store.end() && it->first.starts_with(read.prefix);
        };
        for (; has_more() && entries.size() < 4; ++it)
          entries.push_back(*DecodeOperation(it->second));
        const bool last = !has_more() || faults.truncates_snapshots;
        Dispatch(i, [&](ReplicatedLogs* logs, double at, ReplicatedLogs::Actions* next_actions) {
          logs->OnSnapshotChunkRead(at, read.log, read.snapshot_id, entries, last, next_actions);
        });
      });
    }
    for (const auto& [to, frame] : actions->send) {
      world.Transmit(i, to - 1, [this, i, at = to - 1, frame = frame] {
        Dispatch(at, [&](ReplicatedLogs* logs, double delivered_at,
                         ReplicatedLogs::Actions* next_actions) {
          logs->OnMessage(delivered_at, i + 1, frame, next_actions);
        });
      });
    }
    for (const LogId log : actions->released) observer.on_released(i, log);
    for (const LogId log : actions->acquired) {
      world.Schedule(std::max(now, node.writes_done_at) + 1e-6, i,
                     [this, i, log, committed_end = CommittedEnd(log)] {
                       CheckAcquired(i, log, committed_end);
                     });
    }
    for (const auto& [log, sequence] : actions->committed) CheckCommitted(i, log, sequence);
    for (const auto& [log, sequence] : actions->committed) observer.on_committed(i, log, sequence);
    if (!actions->store_is_stale) return;  // otherwise: a new store, and a new process
    if (!store_restored && !faults.any())
      return ReportViolation(i, "abandons its store, which was never restored");
    abandoned_stores += 1;
    world.Schedule(now, i, [this, i] {
      LoseStore(i);
      world.Start(i);
    });
  }
  // Records committed operations: every later owner must have them.
  void CheckCommitted(std::size_t i, LogId log, SequenceNumber sequence) {
    const View& view = world.ViewOf(i);
    auto& operations = committed_[log];
    const LogAssignment* assignment = view.Log(log);
    for (SequenceNumber current = operations.empty() ? 1 : operations.rbegin()->first + 1;
         current <= sequence; ++current) {
      const Operation* operation = FindAppended(i, log, current);
      if (operation == nullptr) {
        ReportViolation(i,
                        "commits operation " + std::to_string(current) + " that it does not have");
        return;
      }
      operations[current] = *operation;
      committed += 1;
      std::size_t stored_copies = 0;
      for (std::size_t index = 0; index < nodes_.size(); ++index) {
        const LogReplica* replica = assignment->Find(index + 1);
        // A store that was lost since had it, or the owner would not have committed it.
        stored_copies += replica != nullptr && (replica->store_id != nodes_[index].store_id ||
                                                IsStored(index, log, current, operation->epoch));
      }
      if (stored_copies < 2 && !faults.any())
        ReportViolation(i, "commits operation " + std::to_string(current) + " in " +
                               std::to_string(stored_copies) + " stores");
    }
  }
  // The appended operation with this sequence number that is in the store of the owner.
  const Operation* FindAppended(std::size_t i, LogId log, SequenceNumber sequence) {
    const auto record = nodes_[i].store.find(OperationKey(log, sequence));
    if (record == nodes_[i].store.end()) return nullptr;
    const auto appended = appended_[log].find({sequence, DecodeOperation(record->second)->epoch});
    return appended == appended_[log].end() ? nullptr : &appended->second;
  }
  bool IsStored(std::size_t index, LogId log, SequenceNumber sequence, std::uint64_t epoch) const {
    const auto head = nodes_[index].store.find(HeadKey(log));
    if (head != nodes_[index].store.end() && DecodeLogHead(head->second)->applied >= sequence)
      return true;
    const auto operation = nodes_[index].store.find(OperationKey(log, sequence));
    return operation != nodes_[index].store.end() &&
           DecodeOperation(operation->second)->epoch == epoch;
  }
  // The last committed operation.
  SequenceNumber CommittedEnd(LogId log) {
    return committed_[log].empty() ? 0 : committed_[log].rbegin()->first;
  }
  // The entries in the store of a new owner must have all committed operations.
  void CheckAcquired(std::size_t i, LogId log, SequenceNumber committed_end) {
    if (!nodes_[i].logs) return;
    const auto owned = nodes_[i].logs->Owned();  // its lease may have lapsed for a while
    if (std::find(owned.begin(), owned.end(), log) == owned.end()) return;
    takeovers += 1;
    const StoreContents& store = nodes_[i].store;
    const auto head = store.find(HeadKey(log));
    if (head == store.end())
      return ReportViolation(i, "acts on a log that its store does not have");
    const SequenceNumber applied = DecodeLogHead(head->second)->applied;
    std::map<std::string, Operation> latest;  // committed ones, by entry
    for (const auto& [sequence, operation] : committed_[log]) {
      if (sequence <= committed_end) latest[operation.key] = operation;
    }
    if (applied < committed_end) {
      return ReportViolation(i, "acts on operations up to " + std::to_string(applied) +
                                    ", committed were " + std::to_string(committed_end));
    }
    const std::string prefix = nodes_[i].logs->EntryPrefixOf(log);
    for (const auto& [key, operation] : latest) {
      const auto it = store.find(prefix + key);
      const SequenceNumber found_sequence =
          it == store.end() ? 0 : DecodeOperation(it->second)->sequence;
      bool erased = false;
      for (const auto& [id, appended] : appended_[log])
        erased |= appended.key == key && appended.erase && id.first >= operation.sequence &&
                  id.first <= applied;
      if (found_sequence < operation.sequence && !erased) {
        return ReportViolation(i, "lacks entry " + key + " of operation " +
                                      std::to_string(operation.sequence) + ", has " +
                                      std::to_string(found_sequence) + " applied " +
                                      std::to_string(applied));
      }
      if (found_sequence == operation.sequence &&
          DecodeOperation(it->second)->epoch != operation.epoch)
        return ReportViolation(i, "has another operation " + std::to_string(operation.sequence));
    }
    std::vector<Operation> entries;
    for (auto it = store.lower_bound(prefix); it != store.end() && it->first.starts_with(prefix);
         ++it) {
      entries.push_back(*DecodeOperation(it->second));
    }
    observer.on_acquired(i, log, entries);
  }
  void CheckSingleOwner() {
    for (const auto& [log, unused] : committed_) {
      std::size_t owners = 0, last_owner = 0;
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        // A paused process does nothing, and checks its lease before it resumes.
        if (!world.IsRunning(i) || !nodes_[i].logs || !nodes_[i].logs->MayAct(log)) continue;
        if (!world.HoldsLease(i) && !faults.acts_without_lease) continue;
        owners += 1;
        last_owner = i;
      }
      if (owners > 1) ReportViolation(last_owner, "is not the only one to act on a log");
    }
  }
  void ReportViolation(std::size_t i, const std::string& what) {
    world.ReportViolation(std::to_string(i + 1) + " " + what);
  }

  std::vector<Node> nodes_;
  std::uint64_t last_value_ = 0;
  std::map<LogId, std::map<SequenceNumber, Operation>> committed_;  // by log
  std::map<LogId, std::map<std::pair<SequenceNumber, std::uint64_t>, Operation>> appended_;
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_TESTS_SUPPORT_REPLICATION_SIMULATION_H_
