// Copies of promises on a virtual clock: real members agree on views and logs, real logs are kept
// on disks that a seed wipes, puts back and slows. After every step each promise is checked.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_REPLICATION_SIMULATION_H_
#define MILLETHOLLOW_TESTS_SUPPORT_REPLICATION_SIMULATION_H_

#include <functional>

#include "copies/replicated_logs.h"
#include "support/membership_world.h"

namespace millethollow::copies {

using membership::Random;
using membership::World;
using Disk = std::map<std::string, std::string>;

inline void WriteTo(Disk* disk, const std::vector<StoreWrite>& batch) {
  for (const StoreWrite& w : batch) {
    if (w.kind == StoreWrite::Kind::kPut) (*disk)[w.key] = w.value;
    if (w.kind == StoreWrite::Kind::kErase) disk->erase(w.key);
    if (w.kind != StoreWrite::Kind::kErasePrefix) continue;
    auto it = disk->lower_bound(w.key);
    while (it != disk->end() && it->first.starts_with(w.key)) it = disk->erase(it);
  }
}

struct CopyFaults {  // planted: a check that does not find them proves nothing
  bool answers_before_disk = false, acts_without_lease = false, loses_tail_of_snapshot = false;
  bool planted() const {
    return answers_before_disk || acts_without_lease || loses_tail_of_snapshot;
  }
};

class ReplicationSimulation {
 public:
  ReplicationSimulation(std::uint64_t seed, std::size_t members, CopyFaults planted)
      : faults(planted),
        random(seed * 77 + 5),
        world(seed, {.members = members,
                     .voters = 3,
                     .loss = seed % 3 == 0 ? 0.05 : 0.02,
                     .doubled = 0.03}),
        nodes_(members) {
    for (Node& n : nodes_) n.store_id = random.NextUint64() | 1;
    world.on_start = [this](std::size_t i) { Run(i); };
    world.on_kill = [this](std::size_t i) {
      if (nodes_[i].copies) snapshot_transfers += nodes_[i].copies->counters().snapshot_transfers;
      ledger.kill(i);
      nodes_[i].copies.reset();
    };
  }

  // The machine goes with its disk. Its votes stay: that is membership's matter.
  void Wipe(std::size_t i) {
    world.Kill(i);
    nodes_[i].disk.clear();
    nodes_[i].store_id = random.NextUint64() | 1;
  }
  void KeepOld(std::size_t i) { nodes_[i].old = nodes_[i].disk; }
  void PutBackOld(std::size_t i) {
    world.Kill(i);
    nodes_[i].disk = nodes_[i].old;
    put_back = true;
  }
  void Slow(std::size_t i, double s) { nodes_[i].write_s = s; }
  // One disk less than `min_replicas` of a log's at a time: of any view that somebody knows or has
  // accepted.
  bool MayLose(std::size_t i) {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      std::vector<const View*> views{&world.node(n).disk.accepted};
      if (world.up(n)) {
        const membership::ViewAgreement& a = world.node(n).cluster->agreement();
        views.insert(views.end(), {&a.view(), &a.leader().decided(), &a.voter_state().accepted});
      }
      for (const View* v : views) {
        for (const LogAssignment& log : v->logs) {
          if (log.Find(i + 1) == nullptr) continue;
          if (log.replicas.size() < 2) return false;
          for (const LogReplica& h : log.replicas) {
            if (h.id != i + 1 && nodes_[h.id - 1].store_id != h.store_id) return false;
          }
        }
      }
    }
    return true;
  }
  void Append(std::size_t i) {
    if (!world.Runs(i) || !nodes_[i].copies) return;
    for (const auto& [log, unused] : model_) {
      if (!Acts(i, log)) continue;
      ReplicatedLogs::AppendError reason{};
      const std::string key = "k" + std::to_string(random.Below(40)),
                        value = "v" + std::to_string(++values_);
      const bool erase = random.Below(3) == 0;
      Put(i, log, key, erase ? "" : value, erase, &reason);
      refused += reason == ReplicatedLogs::AppendError::kTooFewReplicas;
    }
  }
  bool Acts(std::size_t i, LogId log) {
    bool acts = false;
    Do(i, [&](ReplicatedLogs* c, double, ReplicatedLogs::Actions*) { acts = c->MayAct(log); });
    return acts;
  }
  SequenceNumber Put(std::size_t i, LogId log, const std::string& key, const std::string& value,
                     bool erase, ReplicatedLogs::AppendError* reason) {
    Operation op{.key = key, .value = value, .erase = erase};
    Do(i, [&](ReplicatedLogs* c, double now, ReplicatedLogs::Actions* a) {
      op.sequence = c->Append(now, log, key, value, erase, reason, a);
      if (op.sequence == 0) return;
      op.epoch = world.ViewOf(i).Log(log)->owner_epoch;
      made_[log][{op.sequence, op.epoch}] = op;
    });
    return op.sequence;
  }
  void Open(std::size_t i, LogId log) {
    model_[log];
    if (nodes_[i].copies) nodes_[i].copies->Open(log);
  }
  void Close(std::size_t i, LogId log) {
    Do(i, [log](ReplicatedLogs* c, double, ReplicatedLogs::Actions*) { c->Close(log); });
  }
  const ReplicatedLogs* At(std::size_t i) const { return nodes_[i].copies.get(); }
  // Every log has an owner who acts and holders as many as wanted, where so many are there.
  bool Whole(std::size_t copies) {
    if (!world.Whole()) return false;
    const View& view = world.ViewOf(0);
    return !view.logs.empty() &&
           std::all_of(view.logs.begin(), view.logs.end(), [&](const LogAssignment& log) {
             return log.process_incarnation != 0 &&
                    log.replicas.size() >= std::min(copies, world.size()) &&
                    nodes_[log.owner - 1].copies->MayAct(log.log);
           });
  }
  void OpenLog(std::size_t i) { Open(i, random.NextUint64() | 1); }
  std::string Describe() {
    std::string all;
    const View* latest = Latest();
    for (const LogAssignment& log : latest ? latest->logs : std::vector<LogAssignment>{}) {
      all += "\nlog " + std::to_string(log.log % 1000) + " owner " + std::to_string(log.owner) +
             " life " + std::to_string(log.process_incarnation != 0) + " since " +
             std::to_string(log.owner_epoch) + " version " + std::to_string(log.version) +
             " holders";
      for (const auto& h : log.replicas) {
        const Node& n = nodes_[h.id - 1];
        all += " " + std::to_string(h.id) + (n.store_id == h.store_id ? "" : "(lost)") +
               (n.copies ? "" : "(down)");
        if (n.copies && n.copies->MayAct(log.log)) all += "(acts)";
      }
      if (log.owner != 0 && nodes_[log.owner - 1].copies)
        all += "\n  " + nodes_[log.owner - 1].copies->DescribeReplicas(log.log);
    }
    return all;
  }

  // Whoever keeps promises in the logs.
  struct Ledger {
    std::function<void(std::size_t)> start = [](std::size_t) {}, kill = [](std::size_t) {};
    std::function<void(std::size_t, LogId, const std::vector<Operation>&)> begun =
        [](std::size_t, LogId, const std::vector<Operation>&) {};
    std::function<void(std::size_t, LogId)> ended = [](std::size_t, LogId) {};
    std::function<void(std::size_t, LogId, SequenceNumber)> kept = [](std::size_t, LogId,
                                                                      SequenceNumber) {};
  } ledger;
  const CopyFaults faults;
  Random random;
  World world;
  std::size_t answered = 0, refused = 0, adopted = 0, snapshot_transfers = 0,
              given_up = 0;  // given up: disks that lied
  bool put_back = false;     // some disk was

 private:
  struct Node {
    std::unique_ptr<ReplicatedLogs> copies;
    std::uint64_t store_id = 0;
    Disk disk, old;  // old: as it was when somebody copied it
    double write_s = 0.002, busy_until = 0, written_at = 0;
  };

  void Run(std::size_t i) {
    Node& n = nodes_[i];
    std::vector<std::pair<std::string, std::string>> records;
    for (const auto& [key, value] : n.disk) {
      if (ParseStoreKey(key)->type != 'e') records.emplace_back(key, value);
    }
    Options o;
    o.self = i + 1;
    o.process_incarnation = world.node(i).options.process_incarnation;
    o.store_id = n.store_id;
    o.retained_operations = 24;
    o.snapshot_chunk_entries = 4;
    o.max_message_operations = 5;
    n.copies = std::make_unique<ReplicatedLogs>(o, records);
    n.busy_until = n.written_at = 0;
    ledger.start(i);
    Beat(i);
  }
  // What comes between a clock and the decisions of the process that is there.
  template <typename Event>
  void Do(std::size_t i, Event event) {
    if (!nodes_[i].copies) return;
    ReplicatedLogs::Actions look, then;
    nodes_[i].copies->OnView(world.now(), world.ViewOf(i),
                             world.Leased(i) || faults.acts_without_lease, &look);
    CarryOut(i, &look);
    if (!nodes_[i].copies) return;
    event(nodes_[i].copies.get(), world.now(), &then);
    CarryOut(i, &then);
    Check();
  }
  void Beat(std::size_t i) {
    Do(i, [](ReplicatedLogs* c, double now, ReplicatedLogs::Actions* a) { c->Tick(now, a); });
    if (!nodes_[i].copies) return;
    world.node(i).cluster->RequestLogs(world.LocalNow(i), nodes_[i].copies->store_id(),
                                       nodes_[i].copies->RequestedLogs());
    world.At(world.now() + 0.01, i, [this, i] { Beat(i); });
  }
  const View* Latest() {
    const View* latest = nullptr;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!world.up(i)) continue;
      for (const View* v :
           {&world.ViewOf(i), &world.node(i).cluster->agreement().leader().decided()}) {
        if (latest == nullptr || v->epoch > latest->epoch) latest = v;
      }
    }
    return latest;
  }
  void CarryOut(std::size_t i, ReplicatedLogs::Actions* a) {
    Node& n = nodes_[i];
    const double now = world.now();
    if (!a->write.empty()) {
      // What comes while the disk is busy is written together after it.
      const double takes = n.write_s * (0.5 + random.Unit());
      if (now >= n.written_at) {
        n.busy_until = n.written_at = now + takes;
      } else if (now >= n.busy_until || n.written_at <= n.busy_until) {
        n.busy_until = n.written_at;
        n.written_at += takes;
      }
      const auto put = [this, i, batch = a->write] { WriteTo(&nodes_[i].disk, batch); };
      if (faults.answers_before_disk) world.At(n.written_at + 0.2, i, put);
      world.At(n.written_at, i, [this, i, put, ticket = a->ticket] {
        if (!faults.answers_before_disk) put();
        Do(i, [ticket](ReplicatedLogs* c, double at, ReplicatedLogs::Actions* more) {
          c->OnStored(at, ticket, more);
        });
      });
    }
    for (const ReplicatedLogs::Read& r : a->read) {
      world.At(std::max(now, n.written_at) + 0.001, i, [this, i, r] {
        std::vector<Operation> entries;
        const Disk& disk = nodes_[i].disk;
        auto it = disk.upper_bound(r.after.empty() ? r.prefix : r.after);
        const auto more = [&] { return it != disk.end() && it->first.starts_with(r.prefix); };
        for (; more() && entries.size() < 4; ++it) entries.push_back(*DecodeOperation(it->second));
        const bool last = !more() || faults.loses_tail_of_snapshot;
        Do(i, [&](ReplicatedLogs* c, double at, ReplicatedLogs::Actions* then) {
          c->OnSnapshotChunkRead(at, r.log, r.snapshot_id, entries, last, then);
        });
      });
    }
    for (const auto& [to, frame] : a->send) {
      world.Carry(i, to - 1, [this, i, at = to - 1, frame = frame] {
        Do(at, [&](ReplicatedLogs* c, double then, ReplicatedLogs::Actions* more) {
          c->OnMessage(then, i + 1, frame, more);
        });
      });
    }
    for (const LogId log : a->released) ledger.ended(i, log);
    for (const LogId log : a->acquired) {
      world.At(std::max(now, n.written_at) + 1e-6, i,
               [this, i, log, upto = Answered(log)] { Begun(i, log, upto); });
    }
    for (const auto& [log, sequence] : a->committed) Kept(i, log, sequence);
    for (const auto& [log, sequence] : a->committed) ledger.kept(i, log, sequence);
    if (!a->store_is_stale) return;  // else a new disk, and a new process on it
    if (!put_back && !faults.planted())
      return Break(i, "gives its disk up, which was never put back");
    given_up += 1;
    world.At(now, i, [this, i] {
      Wipe(i);
      world.Start(i);
    });
  }
  // Answered: whoever acts on the log later must know of it.
  void Kept(std::size_t i, LogId log, SequenceNumber sequence) {
    const View& view = world.ViewOf(i);
    auto& kept = model_[log];
    const LogAssignment* place = view.Log(log);
    for (SequenceNumber s = kept.empty() ? 1 : kept.rbegin()->first + 1; s <= sequence; ++s) {
      const Operation* op = Find(i, log, s);
      if (op == nullptr) {
        Break(i, "answers operation " + std::to_string(s) + " that it does not have");
        return;
      }
      kept[s] = *op;
      answered += 1;
      std::size_t disks = 0;
      for (std::size_t d = 0; d < nodes_.size(); ++d) {
        const LogReplica* h = place->Find(d + 1);
        // One that was lost since had it, or its owner would not have answered.
        disks += h != nullptr && (h->store_id != nodes_[d].store_id || OnDisk(d, log, s, op->epoch));
      }
      if (disks < 2 && !faults.planted())
        Break(i,
              "answers operation " + std::to_string(s) + " on " + std::to_string(disks) + " disks");
    }
  }
  // As the owner has it: on its disk, of those that were made under this number.
  const Operation* Find(std::size_t i, LogId log, SequenceNumber sequence) {
    const auto record = nodes_[i].disk.find(OperationKey(log, sequence));
    if (record == nodes_[i].disk.end()) return nullptr;
    const auto made = made_[log].find({sequence, DecodeOperation(record->second)->epoch});
    return made == made_[log].end() ? nullptr : &made->second;
  }
  bool OnDisk(std::size_t d, LogId log, SequenceNumber sequence, std::uint64_t epoch) const {
    const auto head = nodes_[d].disk.find(HeadKey(log));
    if (head != nodes_[d].disk.end() && DecodeLogHead(head->second)->applied >= sequence) return true;
    const auto op = nodes_[d].disk.find(OperationKey(log, sequence));
    return op != nodes_[d].disk.end() && DecodeOperation(op->second)->epoch == epoch;
  }
  // It may act: the entries on its disk, and the operations that follow them, must hold all that
  // was answered.
  SequenceNumber Answered(LogId log) {
    return model_[log].empty() ? 0 : model_[log].rbegin()->first;
  }
  void Begun(std::size_t i, LogId log, SequenceNumber upto) {
    if (!nodes_[i].copies) return;
    const auto owned = nodes_[i].copies->Owned();  // its lease may have ended for a while
    if (std::find(owned.begin(), owned.end(), log) == owned.end()) return;
    adopted += 1;
    const Disk& disk = nodes_[i].disk;
    const auto head = disk.find(HeadKey(log));
    if (head == disk.end()) return Break(i, "acts on a log that its disk does not have");
    const SequenceNumber applied = DecodeLogHead(head->second)->applied;
    std::map<std::string, Operation> last;  // answered, by entry
    for (const auto& [sequence, op] : model_[log]) {
      if (sequence <= upto) last[op.key] = op;
    }
    if (applied < upto) {
      return Break(i, "acts on operations up to " + std::to_string(applied) + ", answered were " +
                          std::to_string(upto));
    }
    const std::string prefix = nodes_[i].copies->EntryPrefixOf(log);
    for (const auto& [key, op] : last) {
      const auto it = disk.find(prefix + key);
      const SequenceNumber has = it == disk.end() ? 0 : DecodeOperation(it->second)->sequence;
      bool taken_out = false;
      for (const auto& [id, made] : made_[log])
        taken_out |= made.key == key && made.erase && id.first >= op.sequence && id.first <= applied;
      if (has < op.sequence && !taken_out) {
        return Break(i, "lacks entry " + key + " of operation " + std::to_string(op.sequence) +
                            ", has " + std::to_string(has) + " applied " + std::to_string(applied));
      }
      if (has == op.sequence && DecodeOperation(it->second)->epoch != op.epoch)
        return Break(i, "has another operation " + std::to_string(op.sequence));
    }
    std::vector<Operation> entries;
    for (auto it = disk.lower_bound(prefix); it != disk.end() && it->first.starts_with(prefix);
         ++it) {
      entries.push_back(*DecodeOperation(it->second));
    }
    ledger.begun(i, log, entries);
  }
  void Check() {
    for (const auto& [log, unused] : model_) {
      std::size_t act = 0, who = 0;
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        // One that is stopped acts on nothing, and looks at its lease before it goes on.
        if (!world.Runs(i) || !nodes_[i].copies || !nodes_[i].copies->MayAct(log)) continue;
        if (!world.Leased(i) && !faults.acts_without_lease) continue;
        act += 1;
        who = i;
      }
      if (act > 1) Break(who, "is not the only one to act on a log");
    }
  }
  void Break(std::size_t i, const std::string& what) {
    world.Broken(std::to_string(i + 1) + " " + what);
  }

  std::vector<Node> nodes_;
  std::uint64_t values_ = 0;
  std::map<LogId, std::map<SequenceNumber, Operation>> model_;  // answered
  std::map<LogId, std::map<std::pair<SequenceNumber, std::uint64_t>, Operation>> made_;
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_TESTS_SUPPORT_REPLICATION_SIMULATION_H_
