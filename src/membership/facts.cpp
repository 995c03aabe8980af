#include "membership/facts.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace millethollow::membership {
namespace {

constexpr std::size_t kMostTellings = 64;
constexpr std::size_t kMostCallers = 64;  // lives that called one worker out, remembered

// Of the calls by hand alone: drains are told on but not compared, or those that one member forgets
// it would learn from another for ever.
std::uint64_t DigestOf(const Fact& f) {
  if (f.calls.empty()) return 0;
  std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
  for (const char c : f.worker) hash = Mix(hash + static_cast<unsigned char>(c));
  for (const auto& [life, calls] : f.calls) {
    hash = Mix(hash + life) ^ (std::uint64_t{calls.first} << 32 | calls.second);
  }
  return hash;
}

}  // namespace

bool Fact::Out() const {
  return std::any_of(calls.begin(), calls.end(),
                     [](const auto& c) { return c.second.first > c.second.second; });
}

Facts::Facts(NodeId self, Life life, const FactTimings& timings, std::uint64_t seed, double now)
    : self_(self), life_(life), t_(timings), random_(seed), tell_at_(now), compare_at_(now) {}

double Facts::NextAt() const {
  return tellings_.empty() ? compare_at_ : std::min(tell_at_, compare_at_);
}

bool Facts::Out(const std::string& worker) const {
  const auto it = facts_.find(worker);
  return it != facts_.end() && it->second.fact.Out();
}

std::vector<std::string> Facts::AllOut() const {
  std::vector<std::string> out;
  for (const auto& [worker, kept] : facts_) {
    if (kept.fact.Out()) out.push_back(worker);
  }
  return out;
}

// Room for a worker: where there is none, the one that was not spoken of for longest makes it, but
// never one that is out.
Facts::Kept* Facts::Keep(double now, const std::string& worker) {
  const auto found = facts_.find(worker);
  if (found != facts_.end()) return &found->second;
  if (facts_.size() >= kMostWorkers) {
    auto oldest = facts_.end();
    for (auto it = facts_.begin(); it != facts_.end(); ++it) {
      if (it->second.fact.Out()) continue;
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

void Facts::StartTelling(const std::string& worker, bool own) {
  // What is told on may make room: comparing digests finds it.
  if (tellings_.size() >= kMostTellings && !own) return;
  std::erase_if(tellings_, [&](const Telling& t) { return t.worker == worker && !t.own; });
  tellings_.push_back({++numbers_, worker, {}, t_.tellings, own});
}

std::uint64_t Facts::Say(double now, const std::string& worker, bool out, Actions* actions) {
  Kept* kept = Keep(now, worker);
  if (kept == nullptr) return 0;
  const bool was = kept->fact.Out();
  const std::uint64_t before = DigestOf(kept->fact);
  kept->spoken_at = now;
  if (out) {  // also where it is out: a call back at another node may not have known of that
    auto& own = kept->fact.calls[life_];
    own.first = std::max(own.first, own.second) + 1;
  } else {
    for (auto& [life, calls] : kept->fact.calls) calls.second = std::max(calls.first, calls.second);
  }
  Changed(worker, before);
  actions->changed.push_back(kept->fact);
  if (was != out) (out ? actions->out : actions->back).push_back(worker);
  StartTelling(worker, true);
  tell_at_ = now;
  return numbers_;
}

void Facts::Changed(const std::string& worker, std::uint64_t before) {
  digest_ ^= before ^ DigestOf(facts_[worker].fact);
}

void Facts::Told(double now, const std::string& worker, double started_at_s, bool gone) {
  Kept* kept = Keep(now, worker);
  if (kept == nullptr) return;
  kept->spoken_at = now;
  const std::uint8_t down = gone ? 2 : 1;
  if (std::pair(started_at_s, down) <= std::pair(kept->fact.started_at_s, kept->fact.down)) return;
  const std::uint64_t before = DigestOf(kept->fact);
  kept->fact.started_at_s = started_at_s;
  kept->fact.down = down;
  Changed(worker, before);
  StartTelling(worker, false);
  tell_at_ = now;
}

void Facts::Merge(double now, const Fact& fact, Actions* actions) {
  Kept* kept = Keep(now, fact.worker);
  if (kept == nullptr) return;
  Fact& own = kept->fact;
  const Fact old = own;
  for (const auto& [life, calls] : fact.calls) {
    if (own.calls.size() >= kMostCallers && !own.calls.contains(life)) continue;
    auto& mine = own.calls[life];
    mine = {std::max(mine.first, calls.first), std::max(mine.second, calls.second)};
  }
  const bool down = std::pair(fact.started_at_s, fact.down) > std::pair(own.started_at_s, own.down);
  if (down) {
    own.started_at_s = fact.started_at_s;
    own.down = fact.down;
  }
  if (own == old) return;
  kept->spoken_at = now;
  Changed(fact.worker, DigestOf(old));
  if (old.Out() != own.Out()) (own.Out() ? actions->out : actions->back).push_back(fact.worker);
  if (down) actions->down.push_back(own);
  if (old.calls != own.calls) actions->changed.push_back(own);
  StartTelling(fact.worker, false);
  tell_at_ = std::min(tell_at_, now);
}

void Facts::Restore(double now, const Fact& fact) {
  Kept* kept = Keep(now, fact.worker);
  if (kept == nullptr) return;
  const std::uint64_t before = DigestOf(kept->fact);
  kept->fact = fact;
  Changed(fact.worker, before);
}

std::vector<Fact> Facts::Known() const {
  std::vector<Fact> all;
  for (const auto& [worker, kept] : facts_) all.push_back(kept.fact);
  return all;
}

FactNews Facts::All() const {
  FactNews news;
  news.digest = digest_;
  auto it = facts_.upper_bound(next_sent_);
  for (std::size_t n = 0; n < facts_.size() && news.facts.size() < FactNews::kMost; ++n, ++it) {
    if (it == facts_.end()) it = facts_.begin();
    if (!it->second.fact.calls.empty()) news.facts.push_back(it->second.fact);
  }
  return news;
}

void Facts::Hear(double now, NodeId from, const FactNews& news, Actions* actions) {
  for (std::size_t i = 0; i < std::min(news.facts.size(), FactNews::kMost); ++i) {
    Merge(now, news.facts[i], actions);
  }
  for (std::size_t i = 0; i < tellings_.size(); ++i) {
    Telling& t = tellings_[i];
    if (t.number != news.answers) continue;
    t.told.insert(from);
    if (std::exchange(t.own, false)) actions->heard_of.push_back(t.number);
    break;
  }
  // Whatever it has that we have not came with this, or comes with its answer to ours.
  if (news.digest == digest_) synced_ = true;
  FactNews reply;
  reply.digest = digest_;
  reply.answers = news.number;
  const bool differs = news.ask && news.digest != digest_;
  if (differs) {
    reply = All();
    reply.answers = news.number;
    if (!reply.facts.empty()) next_sent_ = reply.facts.back().worker;
  }
  if (news.ask || news.number != 0) actions->send.emplace_back(from, std::move(reply));
}

void Facts::Tick(double now, const std::vector<NodeId>& alive, Actions* actions) {
  if (!tellings_.empty() && tell_at_ <= now) {
    tell_at_ = now + t_.retell_s;
    std::erase_if(tellings_, [this](const Telling& t) { return !facts_.contains(t.worker); });
    for (Telling& t : tellings_) {
      std::vector<NodeId> to;
      for (const NodeId id : alive) {
        if (!t.told.contains(id)) to.push_back(id);
      }
      t.left = to.empty() ? 0 : t.left - 1;
      for (int n = 0; n < t_.fanout && !to.empty(); ++n) {
        const std::size_t pick = random_.Below(to.size());
        FactNews news;
        news.digest = digest_;
        news.number = t.number;
        news.facts.push_back(facts_[t.worker].fact);
        actions->send.emplace_back(to[pick], std::move(news));
        to[pick] = to.back();
        to.pop_back();
      }
    }
    std::erase_if(tellings_, [](const Telling& t) { return t.left <= 0; });
  }
  if (compare_at_ <= now) {
    compare_at_ = now + (synced_ ? t_.compare_s : t_.retell_s) * (0.5 + random_.Unit());
    if (alive.empty()) synced_ = true;  // nobody is there who could know better
    if (!alive.empty()) {
      FactNews news = All();
      if (!news.facts.empty()) next_sent_ = news.facts.back().worker;
      if (synced_) news.facts.clear();
      news.ask = true;
      actions->send.emplace_back(alive[random_.Below(alive.size())], std::move(news));
    }
    for (auto it = facts_.begin(); it != facts_.end();) {
      const bool calls = !it->second.fact.calls.empty();
      const bool keep = calls || now - it->second.spoken_at < t_.forget_s;
      it = keep ? std::next(it) : facts_.erase(it);
    }
  }
}

}  // namespace millethollow::membership
