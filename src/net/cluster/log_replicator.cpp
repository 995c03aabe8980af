#include "net/cluster/log_replicator.h"

#include <algorithm>

#include "logging/event_log.h"

namespace millethollow::cluster {

using copies::LogId;
using copies::Operation;
using copies::ReplicatedLogs;
using copies::SequenceNumber;

LogReplicator::LogReplicator(Loop* loop, AsyncRecordStore* store, const copies::Options& options,
                             Hooks hooks)
    : loop_(loop), store_(store), options_(options), hooks_(std::move(hooks)) {}

LogReplicator::~LogReplicator() { loop_->deadlines().Drop(&tick_timer_); }

void LogReplicator::Start() {
  AsyncRecordStore::Records records;
  bool damaged = false;
  if (!store_->LoadLogs(&records, &damaged) && !store_->failed()) damaged = true;
  if (damaged) {
    // What remains of the logs may lack acknowledged operations: start empty and let other members
    // send snapshots.
    Events().error("cluster copies-damaged kept=copies.db.damaged");
    records.clear();
    store_->Recreate(hooks_.new_store_id());
    hooks_.on_store_recreated();
  }
  options_.store_id = store_->store_id();
  logs_ = std::make_unique<ReplicatedLogs>(options_, records);
  if (store_->failed()) logs_->OnStoreFailed();
  OnViewOrLeaseChanged();
}

void LogReplicator::RecreateStore() {
  store_->Recreate(hooks_.new_store_id());
  hooks_.on_store_recreated();
  store_generation_ += 1;
  options_.store_id = store_->store_id();
  for (const LogId log : logs_->Owned()) {
    if (observer_.released) observer_.released(log);
  }
  loading_.clear();
  logs_ = std::make_unique<ReplicatedLogs>(options_, AsyncRecordStore::Records{});
  if (store_->failed()) logs_->OnStoreFailed();
  loop_->Defer([this] { OnViewOrLeaseChanged(); });
}

void LogReplicator::RunEvent(const std::function<void(ReplicatedLogs*, double, Actions*)>& event) {
  Actions actions;
  const double now = hooks_.now();
  logs_->OnView(now, hooks_.view(), hooks_.holds_lease(), &actions);
  // Executed separately from the event's own actions, because each set of actions is one write with
  // one ticket.
  ExecuteActions(&actions);
  Actions further;
  event(logs_.get(), now, &further);
  ExecuteActions(&further);
  hooks_.request_logs(logs_->store_id(), logs_->RequestedLogs());
  ScheduleTick();
}

void LogReplicator::ExecuteActions(Actions* actions) {
  const std::uint64_t generation = store_generation_;
  if (!actions->write.empty()) {
    store_->Write(std::move(actions->write),
                  [this, generation, ticket = actions->ticket](bool stored) {
                    if (generation != store_generation_) return;
                    if (!stored) return logs_->OnStoreFailed();
                    RunEvent([ticket](ReplicatedLogs* logs, double now, Actions* further) {
                      logs->OnStored(now, ticket, further);
                    });
                  });
  }
  for (const auto& [to, message] : actions->send) hooks_.send(to, message);
  for (const ReplicatedLogs::Read& read : actions->read) ReadSnapshotChunk(read);
  for (const LogId log : actions->released) {
    Events().info("cluster log={:x} acts=no", log);
    loading_.erase(log);
    if (observer_.released) observer_.released(log);
  }
  for (const LogId log : actions->acquired) {
    loading_[log].clear();
    LoadEntries(log, logs_->EntryPrefixOf(log), "");
  }
  for (const auto& [log, sequence] : actions->committed) {
    if (observer_.committed) observer_.committed(log, sequence);
  }
  if (actions->store_is_stale) {
    Events().error(
        "cluster copies-lied: the store is older than what this member acknowledged: kept={}, "
        "restored "
        "from other members",
        "copies.db.damaged");
    loop_->Defer([this, generation] {
      if (generation == store_generation_) RecreateStore();
    });
  }
}

// Reads all entries of a log in batches, then reports the log as acquired.
void LogReplicator::LoadEntries(LogId log, const std::string& prefix, const std::string& after) {
  const std::uint64_t generation = store_generation_;
  store_->Read(
      prefix, after, kLoadBatchEntries,
      [this, generation, log, prefix](AsyncRecordStore::Records records, bool last, bool damaged) {
        const auto it = loading_.find(log);
        if (generation != store_generation_ || it == loading_.end()) return;
        for (const auto& [key, value] : records) {
          auto operation = copies::DecodeOperation(value);
          if (operation) it->second.push_back(std::move(*operation));
          damaged |= !operation;
        }
        if (damaged) {
          Events().error("cluster copies-damaged log={:x} kept=copies.db.damaged", log);
          return RecreateStore();
        }
        if (!last) return LoadEntries(log, prefix, records.back().first);
        std::vector<Operation> entries = std::move(it->second);
        loading_.erase(it);
        Events().info("cluster log={:x} acts=yes entries={}", log, entries.size());
        if (observer_.acquired) observer_.acquired(log, std::move(entries));
      });
}

void LogReplicator::ReadSnapshotChunk(const ReplicatedLogs::Read& read) {
  const std::uint64_t generation = store_generation_;
  store_->Read(read.prefix, read.after, options_.snapshot_chunk_entries,
               [this, generation, log = read.log, snapshot_id = read.snapshot_id](
                   const AsyncRecordStore::Records& records, bool last, bool damaged) {
                 if (generation != store_generation_) return;
                 std::vector<Operation> entries;
                 std::size_t bytes = 0;
                 for (const auto& [key, value] : records) {
                   if (!entries.empty() && bytes + value.size() > kMaxChunkBytes) {
                     last = false;
                     break;
                   }
                   bytes += value.size();
                   auto operation = copies::DecodeOperation(value);
                   if (operation) entries.push_back(std::move(*operation));
                   damaged |= !operation;
                 }
                 if (damaged) {
                   Events().error("cluster copies-damaged log={:x} kept=copies.db.damaged", log);
                   return RecreateStore();
                 }
                 RunEvent([&](ReplicatedLogs* logs, double now, Actions* actions) {
                   logs->OnSnapshotChunkRead(now, log, snapshot_id, std::move(entries), last,
                                             actions);
                 });
               });
}

void LogReplicator::OnViewOrLeaseChanged() {
  RunEvent([](ReplicatedLogs*, double, Actions*) {});
}

void LogReplicator::OnMessage(membership::NodeId from, const copies::ReplicationMessage& message) {
  RunEvent([&](ReplicatedLogs* logs, double now, Actions* actions) {
    logs->OnMessage(now, from, message, actions);
  });
}

void LogReplicator::Open(LogId log) {
  RunEvent([log](ReplicatedLogs* logs, double, Actions*) { logs->Open(log); });
}

void LogReplicator::Close(LogId log) {
  RunEvent([log](ReplicatedLogs* logs, double, Actions*) { logs->Close(log); });
}

SequenceNumber LogReplicator::Append(LogId log, std::string key, std::string value, bool erase,
                                     ReplicatedLogs::AppendError* reason) {
  SequenceNumber sequence = 0;
  RunEvent([&](ReplicatedLogs* logs, double now, Actions* actions) {
    sequence = logs->Append(now, log, std::move(key), std::move(value), erase, reason, actions);
  });
  return sequence;
}

bool LogReplicator::MayAct(LogId log) {
  bool may_act = false;
  RunEvent([&](ReplicatedLogs* logs, double, Actions*) { may_act = logs->MayAct(log); });
  return may_act;
}

double LogReplicator::MaxAge(LogId log, SequenceNumber sequence) const {
  return logs_->MaxAge(hooks_.now(), log, sequence);
}

void LogReplicator::ScheduleTick() {
  loop_->deadlines().Drop(&tick_timer_);
  tick_timer_ = loop_->deadlines().At(
      loop_->Now() + std::max(0.0, logs_->NextTickAt() - hooks_.now()), [this] {
        tick_timer_ = Deadlines::kNone;
        RunEvent(
            [](ReplicatedLogs* logs, double now, Actions* actions) { logs->Tick(now, actions); });
      });
}

}  // namespace millethollow::cluster
