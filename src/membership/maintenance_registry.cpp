#include "membership/maintenance_registry.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace millethollow::membership {
namespace {

constexpr std::size_t kMostTellings = 64;
constexpr std::size_t kMaxCallers = 64;  // lives that called one worker out, remembered

// Of the calls by hand alone: drains are told on but not compared, or those that one member forgets
// it would learn from another for ever.
std::uint64_t DigestOf(const MaintenanceRecord& f) {
  if (f.decisions.empty()) return 0;
  std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
  for (const char c : f.worker) hash = Mix(hash + static_cast<unsigned char>(c));
  for (const auto& [process_incarnation, calls] : f.decisions) {
    hash =
        Mix(hash + process_incarnation) ^ (std::uint64_t{calls.taken_out} << 32 | calls.put_back);
  }
  return hash;
}

}  // namespace

bool MaintenanceRecord::InMaintenance() const {
  return std::any_of(decisions.begin(), decisions.end(),
                     [](const auto& c) { return c.second.taken_out > c.second.put_back; });
}

MaintenanceRegistry::MaintenanceRegistry(NodeId self, ProcessIncarnation process_incarnation,
                                         const MaintenanceTimings& timings, std::uint64_t seed,
                                         double now)
    : self_(self),
      process_incarnation_(process_incarnation),
      t_(timings),
      random_(seed),
      tell_at_(now),
      compare_at_(now) {}

double MaintenanceRegistry::NextAt() const {
  return tellings_.empty() ? compare_at_ : std::min(tell_at_, compare_at_);
}

bool MaintenanceRegistry::InMaintenance(const std::string& worker) const {
  const auto it = facts_.find(worker);
  return it != facts_.end() && it->second.fact.InMaintenance();
}

std::vector<std::string> MaintenanceRegistry::WorkersInMaintenance() const {
  std::vector<std::string> out;
  for (const auto& [worker, kept] : facts_) {
    if (kept.fact.InMaintenance()) out.push_back(worker);
  }
  return out;
}

// Room for a worker: where there is none, the one that was not spoken of for longest makes it, but
// never one that is out.
MaintenanceRegistry::Kept* MaintenanceRegistry::Keep(double now, const std::string& worker) {
  const auto found = facts_.find(worker);
  if (found != facts_.end()) return &found->second;
  if (facts_.size() >= kMaxWorkers) {
    auto oldest = facts_.end();
    for (auto it = facts_.begin(); it != facts_.end(); ++it) {
      if (it->second.fact.InMaintenance()) continue;
      if (oldest == facts_.end() || it->second.spoken_at < oldest->second.spoken_at) oldest = it;
    }
    if (oldest == facts_.end()) return nullptr;
    digest_ ^= DigestOf(oldest->second.fact);
    facts_.erase(oldest);
  }
  Kept& kept = facts_[worker];
  kept.fact.worker = worker;
  kept.spoken_at = now;
  digest_ ^= DigestOf(kept.fact);
  return &kept;
}

void MaintenanceRegistry::StartTelling(const std::string& worker, bool own) {
  // What is told on may make room: comparing digests finds it.
  if (tellings_.size() >= kMostTellings && !own) return;
  std::erase_if(tellings_, [&](const Telling& t) { return t.worker == worker && !t.own; });
  tellings_.push_back({++numbers_, worker, {}, t_.tellings, own});
}

std::uint64_t MaintenanceRegistry::SetMaintenance(double now, const std::string& worker, bool out,
                                                  Actions* actions) {
  Kept* kept = Keep(now, worker);
  if (kept == nullptr) return 0;
  const bool was = kept->fact.InMaintenance();
  const std::uint64_t before = DigestOf(kept->fact);
  kept->spoken_at = now;
  if (out) {  // also where it is out: a call back at another node may not have known of that
    auto& own = kept->fact.decisions[process_incarnation_];
    own.taken_out = std::max(own.taken_out, own.put_back) + 1;
  } else {
    for (auto& [process_incarnation, calls] : kept->fact.decisions)
      calls.put_back = std::max(calls.taken_out, calls.put_back);
  }
  Changed(worker, before);
  actions->changed.push_back(kept->fact);
  if (was != out) (out ? actions->taken_out : actions->put_back).push_back(worker);
  StartTelling(worker, true);
  tell_at_ = now;
  return numbers_;
}

void MaintenanceRegistry::Changed(const std::string& worker, std::uint64_t before) {
  digest_ ^= before ^ DigestOf(facts_[worker].fact);
}

void MaintenanceRegistry::OnDrainNotice(double now, const std::string& worker, double started_at_s,
                                        bool gone) {
  Kept* kept = Keep(now, worker);
  if (kept == nullptr) return;
  kept->spoken_at = now;
  const DrainState state = gone ? DrainState::kGone : DrainState::kDraining;
  if (std::pair(started_at_s, state) <= std::pair(kept->fact.started_at_s, kept->fact.drain_state))
    return;
  const std::uint64_t before = DigestOf(kept->fact);
  kept->fact.started_at_s = started_at_s;
  kept->fact.drain_state = state;
  Changed(worker, before);
  StartTelling(worker, false);
  tell_at_ = now;
}

void MaintenanceRegistry::Merge(double now, const MaintenanceRecord& fact, Actions* actions) {
  Kept* kept = Keep(now, fact.worker);
  if (kept == nullptr) return;
  MaintenanceRecord& own = kept->fact;
  const MaintenanceRecord old = own;
  for (const auto& [process_incarnation, calls] : fact.decisions) {
    if (own.decisions.size() >= kMaxCallers && !own.decisions.contains(process_incarnation))
      continue;
    auto& mine = own.decisions[process_incarnation];
    mine = {std::max(mine.taken_out, calls.taken_out), std::max(mine.put_back, calls.put_back)};
  }
  const bool down =
      std::pair(fact.started_at_s, fact.drain_state) > std::pair(own.started_at_s, own.drain_state);
  if (down) {
    own.started_at_s = fact.started_at_s;
    own.drain_state = fact.drain_state;
  }
  if (own == old) return;
  kept->spoken_at = now;
  Changed(fact.worker, DigestOf(old));
  if (old.InMaintenance() != own.InMaintenance())
    (own.InMaintenance() ? actions->taken_out : actions->put_back).push_back(fact.worker);
  if (down) actions->drains.push_back(own);
  if (old.decisions != own.decisions) actions->changed.push_back(own);
  StartTelling(fact.worker, false);
  tell_at_ = std::min(tell_at_, now);
}

void MaintenanceRegistry::Restore(double now, const MaintenanceRecord& fact) {
  Kept* kept = Keep(now, fact.worker);
  if (kept == nullptr) return;
  const std::uint64_t before = DigestOf(kept->fact);
  kept->fact = fact;
  Changed(fact.worker, before);
}

std::vector<MaintenanceRecord> MaintenanceRegistry::Records() const {
  std::vector<MaintenanceRecord> all;
  for (const auto& [worker, kept] : facts_) all.push_back(kept.fact);
  return all;
}

MaintenanceGossip MaintenanceRegistry::All() const {
  MaintenanceGossip news;
  news.digest = digest_;
  auto it = facts_.upper_bound(next_sent_);
  for (std::size_t n = 0; n < facts_.size() && news.records.size() < MaintenanceGossip::kMost;
       ++n, ++it) {
    if (it == facts_.end()) it = facts_.begin();
    if (!it->second.fact.decisions.empty()) news.records.push_back(it->second.fact);
  }
  return news;
}

void MaintenanceRegistry::OnGossip(double now, NodeId from, const MaintenanceGossip& news,
                                   Actions* actions) {
  for (std::size_t i = 0; i < std::min(news.records.size(), MaintenanceGossip::kMost); ++i) {
    Merge(now, news.records[i], actions);
  }
  for (std::size_t i = 0; i < tellings_.size(); ++i) {
    Telling& t = tellings_[i];
    if (t.number != news.acked_sequence) continue;
    t.told.insert(from);
    if (std::exchange(t.own, false)) actions->replicated.push_back(t.number);
    break;
  }
  // Whatever it has that we have not came with this, or comes with its answer to ours.
  if (news.digest == digest_) synced_ = true;
  MaintenanceGossip reply;
  reply.digest = digest_;
  reply.acked_sequence = news.sequence;
  const bool differs = news.request_all && news.digest != digest_;
  if (differs) {
    reply = All();
    reply.acked_sequence = news.sequence;
    if (!reply.records.empty()) next_sent_ = reply.records.back().worker;
  }
  if (news.request_all || news.sequence != 0) actions->send.emplace_back(from, std::move(reply));
}

void MaintenanceRegistry::Tick(double now, const std::vector<NodeId>& alive, Actions* actions) {
  if (!tellings_.empty() && tell_at_ <= now) {
    tell_at_ = now + t_.retransmit_interval_s;
    std::erase_if(tellings_, [this](const Telling& t) { return !facts_.contains(t.worker); });
    for (Telling& t : tellings_) {
      std::vector<NodeId> to;
      for (const NodeId id : alive) {
        if (!t.told.contains(id)) to.push_back(id);
      }
      t.left = to.empty() ? 0 : t.left - 1;
      for (int n = 0; n < t_.fanout && !to.empty(); ++n) {
        const std::size_t pick = random_.Below(to.size());
        MaintenanceGossip news;
        news.digest = digest_;
        news.sequence = t.number;
        news.records.push_back(facts_[t.worker].fact);
        actions->send.emplace_back(to[pick], std::move(news));
        to[pick] = to.back();
        to.pop_back();
      }
    }
    std::erase_if(tellings_, [](const Telling& t) { return t.left <= 0; });
  }
  if (compare_at_ <= now) {
    compare_at_ =
        now + (synced_ ? t_.digest_interval_s : t_.retransmit_interval_s) * (0.5 + random_.Unit());
    if (alive.empty()) synced_ = true;  // nobody is there who could know better
    if (!alive.empty()) {
      MaintenanceGossip news = All();
      if (!news.records.empty()) next_sent_ = news.records.back().worker;
      if (synced_) news.records.clear();
      news.request_all = true;
      actions->send.emplace_back(alive[random_.Below(alive.size())], std::move(news));
    }
    for (auto it = facts_.begin(); it != facts_.end();) {
      const bool calls = !it->second.fact.decisions.empty();
      const bool keep = calls || now - it->second.spoken_at < t_.drain_retention_s;
      it = keep ? std::next(it) : facts_.erase(it);
    }
  }
}

}  // namespace millethollow::membership
