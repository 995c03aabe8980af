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

LogReplicator::~LogReplicator() { loop_->deadlines().Drop(&tick_); }

void LogReplicator::Start() {
  AsyncRecordStore::Records records;
  bool damaged = false;
  if (!store_->LoadLogs(&records, &damaged) && !store_->failed()) damaged = true;
  if (damaged) {
    // What is left of the logs is not what was told of them: others send a snapshot.
    Events().error("cluster copies-damaged kept=copies.db.damaged");
    records.clear();
    store_->Renew(hooks_.draw());
    hooks_.renewed();
  }
  options_.disk = store_->disk();
  copies_ = std::make_unique<ReplicatedLogs>(options_, records);
  if (store_->failed()) copies_->OnStoreFailed();
  Look();
}

void LogReplicator::Renew() {
  store_->Renew(hooks_.draw());
  hooks_.renewed();
  run_ += 1;
  options_.disk = store_->disk();
  for (const LogId log : copies_->Owned()) {
    if (ledger_.released) ledger_.released(log);
  }
  loading_.clear();
  copies_ = std::make_unique<ReplicatedLogs>(options_, AsyncRecordStore::Records{});
  if (store_->failed()) copies_->OnStoreFailed();
  loop_->Defer([this] { Look(); });
}

void LogReplicator::Do(const std::function<void(ReplicatedLogs*, double, Actions*)>& event) {
  Actions actions;
  const double now = hooks_.now();
  copies_->OnView(now, hooks_.view(), hooks_.leased(), &actions);
  // Each write by itself: what it comes to is told by its ticket.
  CarryOut(&actions);
  Actions more;
  event(copies_.get(), now, &more);
  CarryOut(&more);
  hooks_.want(copies_->disk(), copies_->RequestedLogs());
  Arm();
}

void LogReplicator::CarryOut(Actions* actions) {
  const std::uint64_t run = run_;
  if (!actions->write.empty()) {
    store_->Write(std::move(actions->write), [this, run, ticket = actions->ticket](bool kept) {
      if (run != run_) return;
      if (!kept) return copies_->OnStoreFailed();
      Do([ticket](ReplicatedLogs* c, double now, Actions* a) { c->OnStored(now, ticket, a); });
    });
  }
  for (const auto& [to, frame] : actions->send) hooks_.send(to, frame);
  for (const ReplicatedLogs::Read& read : actions->read) ReadChunk(read);
  for (const LogId log : actions->released) {
    Events().info("cluster log={:x} acts=no", log);
    loading_.erase(log);
    if (ledger_.released) ledger_.released(log);
  }
  for (const LogId log : actions->acquired) {
    loading_[log].clear();
    Load(log, copies_->EntryPrefixOf(log), "");
  }
  for (const auto& [log, seq] : actions->committed) {
    if (ledger_.committed) ledger_.committed(log, seq);
  }
  if (actions->store_is_stale) {
    Events().error(
        "cluster copies-lied: this disk is older than what it told: kept={}, others fill it anew",
        "copies.db.damaged");
    loop_->Defer([this, run] {
      if (run == run_) Renew();
    });
  }
}

// All entries of a log, before anybody acts on it.
void LogReplicator::Load(LogId log, const std::string& prefix, const std::string& after) {
  const std::uint64_t run = run_;
  store_->Read(
      prefix, after, kLoadEntries,
      [this, run, log, prefix](AsyncRecordStore::Records records, bool last, bool damaged) {
        const auto it = loading_.find(log);
        if (run != run_ || it == loading_.end()) return;
        for (const auto& [key, value] : records) {
          auto op = copies::DecodeOperation(value);
          if (op) it->second.push_back(std::move(*op));
          damaged |= !op;
        }
        if (damaged) {
          Events().error("cluster copies-damaged log={:x} kept=copies.db.damaged", log);
          return Renew();
        }
        if (!last) return Load(log, prefix, records.back().first);
        std::vector<Operation> entries = std::move(it->second);
        loading_.erase(it);
        Events().info("cluster log={:x} acts=yes entries={}", log, entries.size());
        if (ledger_.acquired) ledger_.acquired(log, std::move(entries));
      });
}

void LogReplicator::ReadChunk(const ReplicatedLogs::Read& read) {
  const std::uint64_t run = run_;
  store_->Read(read.prefix, read.after, options_.snapshot_chunk_entries,
               [this, run, log = read.log, snapshot_id = read.snapshot_id](
                   const AsyncRecordStore::Records& records, bool last, bool damaged) {
                 if (run != run_) return;
                 std::vector<Operation> entries;
                 std::size_t bytes = 0;
                 for (const auto& [key, value] : records) {
                   if (!entries.empty() && bytes + value.size() > kChunkBytes) {
                     last = false;
                     break;
                   }
                   bytes += value.size();
                   auto op = copies::DecodeOperation(value);
                   if (op) entries.push_back(std::move(*op));
                   damaged |= !op;
                 }
                 if (damaged) {
                   Events().error("cluster copies-damaged log={:x} kept=copies.db.damaged", log);
                   return Renew();
                 }
                 Do([&](ReplicatedLogs* c, double now, Actions* a) {
                   c->OnSnapshotChunkRead(now, log, snapshot_id, std::move(entries), last, a);
                 });
               });
}

void LogReplicator::Look() {
  Do([](ReplicatedLogs*, double, Actions*) {});
}

void LogReplicator::Hear(membership::NodeId from, const copies::ReplicationMessage& frame) {
  Do([&](ReplicatedLogs* c, double now, Actions* a) { c->OnMessage(now, from, frame, a); });
}

void LogReplicator::Open(LogId log) {
  Do([log](ReplicatedLogs* c, double, Actions*) { c->Open(log); });
}

void LogReplicator::Close(LogId log) {
  Do([log](ReplicatedLogs* c, double, Actions*) { c->Close(log); });
}

SequenceNumber LogReplicator::Append(LogId log, std::string key, std::string value, bool gone,
                                     ReplicatedLogs::AppendError* reason) {
  SequenceNumber seq = 0;
  Do([&](ReplicatedLogs* c, double now, Actions* a) {
    seq = c->Append(now, log, std::move(key), std::move(value), gone, reason, a);
  });
  return seq;
}

bool LogReplicator::Acts(LogId log) {
  bool acts = false;
  Do([&](ReplicatedLogs* c, double, Actions*) { acts = c->MayAct(log); });
  return acts;
}

double LogReplicator::MaxAge(LogId log, SequenceNumber seq) const {
  return copies_->MaxAge(hooks_.now(), log, seq);
}

void LogReplicator::Arm() {
  loop_->deadlines().Drop(&tick_);
  tick_ =
      loop_->deadlines().At(loop_->Now() + std::max(0.0, copies_->NextAt() - hooks_.now()), [this] {
        tick_ = Deadlines::kNone;
        Do([](ReplicatedLogs* c, double now, Actions* a) { c->Tick(now, a); });
      });
}

}  // namespace millethollow::cluster
