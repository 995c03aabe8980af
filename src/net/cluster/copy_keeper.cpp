#include "net/cluster/copy_keeper.h"

#include <algorithm>

#include "logging/event_log.h"

namespace millethollow::cluster {

using copies::Copies;
using copies::LogId;
using copies::Op;
using copies::Seq;

CopyKeeper::CopyKeeper(Loop* loop, KeptStore* store, const copies::Options& options, Hooks hooks)
    : loop_(loop), store_(store), options_(options), hooks_(std::move(hooks)) {}

CopyKeeper::~CopyKeeper() { loop_->deadlines().Drop(&tick_); }

void CopyKeeper::Start() {
  KeptStore::Records records;
  bool damaged = false;
  if (!store_->LoadLogs(&records, &damaged) && !store_->failed()) damaged = true;
  if (damaged) {
    // What is left of the logs is not what was told of them: others fill it anew.
    Events().error("cluster copies-damaged kept=copies.db.damaged");
    records.clear();
    store_->Renew(hooks_.draw());
    hooks_.renewed();
  }
  options_.disk = store_->disk();
  copies_ = std::make_unique<Copies>(options_, records);
  if (store_->failed()) copies_->StoreFailed();
  Look();
}

void CopyKeeper::Renew() {
  store_->Renew(hooks_.draw());
  hooks_.renewed();
  run_ += 1;
  options_.disk = store_->disk();
  for (const LogId log : copies_->Owned()) {
    if (ledger_.ended) ledger_.ended(log);
  }
  loading_.clear();
  copies_ = std::make_unique<Copies>(options_, KeptStore::Records{});
  if (store_->failed()) copies_->StoreFailed();
  loop_->Later([this] { Look(); });
}

void CopyKeeper::Do(const std::function<void(Copies*, double, Actions*)>& event) {
  Actions actions;
  const double now = hooks_.now();
  copies_->Look(now, hooks_.view(), hooks_.leased(), &actions);
  // Each write by itself: what it comes to is told by its ticket.
  CarryOut(&actions);
  Actions more;
  event(copies_.get(), now, &more);
  CarryOut(&more);
  hooks_.want(copies_->disk(), copies_->Wants());
  Arm();
}

void CopyKeeper::CarryOut(Actions* actions) {
  const std::uint64_t run = run_;
  if (!actions->write.empty()) {
    store_->Write(std::move(actions->write), [this, run, ticket = actions->ticket](bool kept) {
      if (run != run_) return;
      if (!kept) return copies_->StoreFailed();
      Do([ticket](Copies* c, double now, Actions* a) { c->Stored(now, ticket, a); });
    });
  }
  for (const auto& [to, frame] : actions->send) hooks_.send(to, frame);
  for (const Copies::Read& read : actions->read) ReadChunk(read);
  for (const LogId log : actions->ended) {
    Events().info("cluster log={:x} acts=no", log);
    loading_.erase(log);
    if (ledger_.ended) ledger_.ended(log);
  }
  for (const LogId log : actions->begun) {
    loading_[log].clear();
    Load(log, copies_->Prefix(log), "");
  }
  for (const auto& [log, seq] : actions->kept) {
    if (ledger_.kept) ledger_.kept(log, seq);
  }
  if (actions->lied) {
    Events().error(
        "cluster copies-lied: this disk is older than what it told: kept={}, others fill it anew",
        "copies.db.damaged");
    loop_->Later([this, run] {
      if (run == run_) Renew();
    });
  }
}

// All entries of a log, before anybody acts on it.
void CopyKeeper::Load(LogId log, const std::string& prefix, const std::string& after) {
  const std::uint64_t run = run_;
  store_->Read(prefix, after, kLoadEntries,
               [this, run, log, prefix](KeptStore::Records records, bool last, bool damaged) {
                 const auto it = loading_.find(log);
                 if (run != run_ || it == loading_.end()) return;
                 for (const auto& [key, value] : records) {
                   auto op = copies::DecodeOp(value);
                   if (op) it->second.push_back(std::move(*op));
                   damaged |= !op;
                 }
                 if (damaged) {
                   Events().error("cluster copies-damaged log={:x} kept=copies.db.damaged", log);
                   return Renew();
                 }
                 if (!last) return Load(log, prefix, records.back().first);
                 std::vector<Op> entries = std::move(it->second);
                 loading_.erase(it);
                 Events().info("cluster log={:x} acts=yes entries={}", log, entries.size());
                 if (ledger_.begun) ledger_.begun(log, std::move(entries));
               });
}

void CopyKeeper::ReadChunk(const Copies::Read& read) {
  const std::uint64_t run = run_;
  store_->Read(read.prefix, read.after, options_.fill_entries,
               [this, run, log = read.log, fill = read.fill](const KeptStore::Records& records,
                                                             bool last, bool damaged) {
                 if (run != run_) return;
                 std::vector<Op> entries;
                 std::size_t bytes = 0;
                 for (const auto& [key, value] : records) {
                   if (!entries.empty() && bytes + value.size() > kChunkBytes) {
                     last = false;
                     break;
                   }
                   bytes += value.size();
                   auto op = copies::DecodeOp(value);
                   if (op) entries.push_back(std::move(*op));
                   damaged |= !op;
                 }
                 if (damaged) {
                   Events().error("cluster copies-damaged log={:x} kept=copies.db.damaged", log);
                   return Renew();
                 }
                 Do([&](Copies* c, double now, Actions* a) {
                   c->Chunk(now, log, fill, std::move(entries), last, a);
                 });
               });
}

void CopyKeeper::Look() {
  Do([](Copies*, double, Actions*) {});
}

void CopyKeeper::Hear(membership::NodeId from, const copies::Frame& frame) {
  Do([&](Copies* c, double now, Actions* a) { c->Hear(now, from, frame, a); });
}

void CopyKeeper::Open(LogId log) {
  Do([log](Copies* c, double, Actions*) { c->Open(log); });
}

void CopyKeeper::Close(LogId log) {
  Do([log](Copies* c, double, Actions*) { c->Close(log); });
}

Seq CopyKeeper::Append(LogId log, std::string key, std::string value, bool gone,
                       Copies::Refusal* why) {
  Seq seq = 0;
  Do([&](Copies* c, double now, Actions* a) {
    seq = c->Append(now, log, std::move(key), std::move(value), gone, why, a);
  });
  return seq;
}

bool CopyKeeper::Acts(LogId log) {
  bool acts = false;
  Do([&](Copies* c, double, Actions*) { acts = c->Acts(log); });
  return acts;
}

double CopyKeeper::AgeAtMost(LogId log, Seq seq) const {
  return copies_->AgeAtMost(hooks_.now(), log, seq);
}

void CopyKeeper::Arm() {
  loop_->deadlines().Drop(&tick_);
  tick_ =
      loop_->deadlines().At(loop_->Now() + std::max(0.0, copies_->NextAt() - hooks_.now()), [this] {
        tick_ = Deadlines::kNone;
        Do([](Copies* c, double now, Actions* a) { c->Tick(now, a); });
      });
}

}  // namespace millethollow::cluster
