#include "copies/keys.h"

#include <algorithm>
#include <limits>

#include "codec/fields.h"

namespace millethollow::copies {
namespace {

constexpr const char* kAnywhere = "*";  // of ran_at
constexpr double kInf = std::numeric_limits<double>::infinity();
constexpr double kSayAgainS = 0.25;
constexpr double kOnItsWayS = 3.0;  // a word is no older when it comes
constexpr double kSilentS = 2.0;    // a claim that nobody has answered for so long is refused
constexpr double kLater = 0.05;     // an end is said again more seldom with its age
constexpr std::size_t kOverhead = 200, kForgetAtOnce = 256;

std::string EncodeClaimer(const Claimer& c) {
  codec::Writer w;
  w.Raw(c.who);
  w.Raw(c.process_incarnation);
  w.Raw(c.number);
  return w.Take();
}

}  // namespace

std::string Encode(const KeyRecord& record) {
  codec::Writer w;
  if (record.claimer.who != 0) w.Nested(1, EncodeClaimer(record.claimer));
  for (const Tried& t : record.tried) w.Nested(2, Encode(t));
  w.Number(3, record.window_s);
  w.Number(4, static_cast<std::uint8_t>(record.answered));
  w.Text(5, record.result);
  return w.Take();
}

std::optional<KeyRecord> DecodeKey(std::string_view bytes) {
  KeyRecord record;
  codec::Reader r(bytes);
  while (r.Next()) {
    if (r.field() == 1) {
      record.claimer.who = r.Raw<std::uint64_t>();
      record.claimer.process_incarnation = r.Raw<std::uint64_t>();
      record.claimer.number = r.Raw<std::uint64_t>();
    }
    if (r.field() == 2) {
      auto tried = DecodeTried(r.value());
      if (!tried || record.tried.size() >= kMostTried) return std::nullopt;
      record.tried.push_back(std::move(*tried));
    }
    if (r.field() == 3) record.window_s = r.Raw<double>();
    if (r.field() == 4) record.answered = r.Raw<std::uint8_t>() != 0;
    if (r.field() == 5) record.result = r.value();
  }
  return r.ok() ? std::optional(std::move(record)) : std::nullopt;
}

LogId HomeOf(std::string_view key) {
  std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
  for (const char c : key) hash = membership::Mix(hash ^ static_cast<std::uint8_t>(c));
  return (hash % kKeyLogs + 1) << 8 | static_cast<LogId>(LogKind::kKeys);
}

NodeId OpenerOf(LogId log, const View& view) {
  NodeId best = 0;
  std::uint64_t most = 0;
  for (const auto& member : view.members) {
    const std::uint64_t weight = membership::Mix(log ^ membership::Mix(member.id));
    if (member.store_id != 0 && (best == 0 || weight > most)) best = member.id, most = weight;
  }
  return best;
}

// ---- the owner's side ----

std::size_t KeyLedger::SizeOf(const std::string& key, const KeyRecord& record) {
  return kOverhead + key.size() + record.result.size();
}

void KeyLedger::Begun(double now, LogId log, const std::vector<Op>& entries) {
  logs_[log];
  for (const Op& op : entries) {
    auto it = DecodeKey(op.value);
    if (!it || records_.contains(op.key)) continue;
    Record& record = records_[op.key];
    bytes_ += SizeOf(op.key, *it);
    record.it = std::move(*it);
    record.log = log;
    record.put = op.seq;
    record.kept = true;
    record.ends_at = now + record.it.window_s;
  }
}

void KeyLedger::Ended(LogId log) {
  logs_.erase(log);
  for (auto it = records_.begin(); it != records_.end();) {
    if (it->second.log != log) {
      ++it;
      continue;
    }
    bytes_ -= SizeOf(it->first, it->second.it);
    it = records_.erase(it);
  }
}

// What was tried last came with the last operation: said so before there is another.
void KeyLedger::Date(Record* record) {
  if (record->it.tried.empty() || record->it.tried.back().seq != 0) return;
  record->it.tried.back().seq = record->put;
}

// Written as it is now; `kept` falls until it is on the disks. False: it can't be.
bool KeyLedger::Put(const std::string& key, Record* record) {
  Copies::Refusal why{};
  const Seq seq = hooks_.append(record->log, key, Encode(record->it), false, &why);
  if (seq == 0) return false;
  record->put = seq;
  record->kept = false;
  logs_[record->log].emplace(seq, key);
  return true;
}

void KeyLedger::Tell(const std::string& key, const Record& record, const Claimer& to,
                     KeyWord::Kind kind, std::uint64_t step) {
  KeyWord w;
  w.kind = kind;
  w.log = record.log;
  w.key = key;
  w.claimer = to;
  w.step = step;
  if (kind == KeyWord::Kind::kAnswered) w.result = record.it.result;
  if (kind == KeyWord::Kind::kGo) {
    w.tried = record.it.tried;
    for (const Tried& t : w.tried) {
      w.ages_s.push_back(hooks_.age(record.log, t.seq == 0 ? record.put : t.seq));
    }
  }
  hooks_.send(to.who, w);
}

void KeyLedger::Hear(double now, NodeId from, const KeyWord& word) {
  if (word.claimer.who != from) return;
  if (!logs_.contains(word.log)) {  // not this member's, or not yet
    if (word.kind == KeyWord::Kind::kTry) {
      Record none;
      none.log = word.log;
      Tell(word.key, none, word.claimer, KeyWord::Kind::kNo, word.step);
    }
    return;
  }
  if (word.kind == KeyWord::Kind::kClaim) Claim(now, word);
  if (word.kind == KeyWord::Kind::kTry) Try(now, word);
  if (word.kind == KeyWord::Kind::kEnd) End(now, word);
}

void KeyLedger::Claim(double now, const KeyWord& w) {
  const auto found = records_.find(w.key);
  Record fresh;
  fresh.log = w.log;
  if (found == records_.end()) {
    const bool full = records_.size() >= limits_.keys || bytes_ >= limits_.bytes;
    fresh.it.claimer = w.claimer;
    fresh.it.window_s = w.window_s;
    if (full || !Put(w.key, &fresh)) {
      counters_.refused += 1;
      return Tell(w.key, fresh, w.claimer, KeyWord::Kind::kNo);
    }
    counters_.claims += 1;
    bytes_ += SizeOf(w.key, fresh.it);
    records_.emplace(w.key, std::move(fresh));
    return;
  }
  Record& record = found->second;
  if (record.ending) return;  // asked again, it finds that there is none
  if (record.it.answered) {
    if (!record.kept) return;
    counters_.repeated += 1;
    return Tell(w.key, record, w.claimer, KeyWord::Kind::kAnswered);
  }
  if (record.it.claimer == w.claimer) {
    if (record.kept) Tell(w.key, record, w.claimer, KeyWord::Kind::kGo);
    return;
  }
  if (std::find(record.waiting.begin(), record.waiting.end(), w.claimer) == record.waiting.end()) {
    if (record.waiting.size() >= limits_.waiting) {
      return Tell(w.key, record, w.claimer, KeyWord::Kind::kNo);
    }
    record.waiting.push_back(w.claimer);
    counters_.joined += 1;
  }
  Settle(now, w.key, &record);
  if (record.it.claimer != w.claimer) Tell(w.key, record, w.claimer, KeyWord::Kind::kWait);
}

// Nobody runs it, or whoever did is gone: the first of those that wait may.
void KeyLedger::Settle(double now, const std::string& key, Record* record) {
  if (record->it.answered || record->ending) return;
  if (record->it.claimer.who != 0) {
    if (hooks_.there(record->it.claimer)) return;
    record->it.claimer = {};
    record->step = 0;
    record->ends_at = now + record->it.window_s;
  }
  while (!record->waiting.empty()) {
    const Claimer next = record->waiting.front();
    if (!hooks_.there(next)) {
      record->waiting.pop_front();
      continue;
    }
    record->it.claimer = next;
    Date(record);
    if (!Put(key, record)) {
      record->it.claimer = {};
      return;
    }
    record->waiting.pop_front();
    counters_.taken_over += 1;
    return;
  }
}

void KeyLedger::Try(double, const KeyWord& w) {
  const auto found = records_.find(w.key);
  Record none;
  none.log = w.log;
  if (found == records_.end() || found->second.it.claimer != w.claimer ||
      found->second.it.answered) {
    return Tell(w.key, none, w.claimer, KeyWord::Kind::kNo, w.step);
  }
  Record& record = found->second;
  if (w.step <= record.step) {  // said again
    if (w.step == record.step && record.kept) {
      Tell(w.key, record, w.claimer, KeyWord::Kind::kMay, w.step);
    }
    return;
  }
  const std::vector<Tried> before = record.it.tried;
  Date(&record);
  record.it.tried.push_back({w.worker, w.own, 0});
  if (record.it.tried.size() > kMostTried || !Put(w.key, &record)) {
    record.it.tried = before;
    return Tell(w.key, record, w.claimer, KeyWord::Kind::kNo, w.step);
  }
  record.step = w.step;
}

void KeyLedger::End(double now, const KeyWord& w) {
  const auto found = records_.find(w.key);
  Record none;
  none.log = w.log;
  if (found == records_.end()) return Tell(w.key, none, w.claimer, KeyWord::Kind::kDone);
  Record& record = found->second;
  std::erase(record.waiting, w.claimer);
  // Only once that it ended is kept: else whoever adopts the log takes it for one that runs.
  if (record.it.claimer != w.claimer || record.it.answered || record.ending) {
    if (record.kept) Tell(w.key, record, w.claimer, KeyWord::Kind::kDone);
    return;
  }
  const KeyRecord before = record.it;
  if (w.served) {
    bytes_ += w.result.size();
    record.it.answered = true;
    record.it.result = w.result;
    record.ends_at = now + record.it.window_s;
    if (!Put(w.key, &record)) {
      bytes_ -= w.result.size();
      record.it = before;  // it says so again
    }
    return;
  }
  Date(&record);
  std::erase_if(record.it.tried, [&](const Tried& t) {
    return std::none_of(w.ran_at.begin(), w.ran_at.end(),
                        [&](const std::string& at) { return at == t.worker || at == kAnywhere; });
  });
  record.it.claimer = {};
  const std::uint64_t step = std::exchange(record.step, 0);
  record.ends_at = now + record.it.window_s;
  Settle(now, w.key, &record);
  const bool nobody = record.it.claimer.who == 0;
  const bool written =
      !nobody || (record.it.tried.empty() ? Release(w.key, &record) : Put(w.key, &record));
  if (written) return;
  record.it = before;  // it says so again
  record.step = step;
}

bool KeyLedger::Release(const std::string& key, Record* record) {
  Copies::Refusal why{};
  const Seq seq = hooks_.append(record->log, key, "", true, &why);
  if (seq == 0) return false;
  record->put = seq;
  record->kept = false;
  record->ending = true;
  logs_[record->log].emplace(seq, key);
  return true;
}

void KeyLedger::Kept(double now, LogId log, Seq seq) {
  while (true) {
    const auto it = logs_.find(log);
    if (it == logs_.end() || it->second.empty() || it->second.begin()->first > seq) return;
    const Seq done = it->second.begin()->first;
    const std::string key = std::move(it->second.begin()->second);
    it->second.erase(it->second.begin());
    const auto found = records_.find(key);
    if (found == records_.end() || found->second.put != done) continue;  // written again since
    Record& record = found->second;
    record.kept = true;
    if (record.ending) {
      bytes_ -= SizeOf(key, record.it);
      const auto waiting = std::move(record.waiting);
      records_.erase(found);
      (void)waiting;  // they ask again
    } else if (record.it.answered) {
      Tell(key, record, record.it.claimer, KeyWord::Kind::kDone);
      for (const Claimer& c : std::exchange(record.waiting, {})) {
        Tell(key, record, c, KeyWord::Kind::kAnswered);
      }
    } else if (record.step > 0) {
      Tell(key, record, record.it.claimer, KeyWord::Kind::kMay, record.step);
    } else if (record.it.claimer.who != 0) {
      Tell(key, record, record.it.claimer, KeyWord::Kind::kGo);
    }
  }
  (void)now;
}

void KeyLedger::Tick(double now) {
  std::vector<std::string> open, over;
  for (const auto& [key, record] : records_) {
    if (!record.kept || record.ending) continue;
    const bool nobody = record.it.claimer.who == 0;
    if (!record.it.answered && (!nobody || !record.waiting.empty())) open.push_back(key);
    const bool idle = record.it.answered || nobody;
    if (idle && now >= record.ends_at && over.size() < kForgetAtOnce) over.push_back(key);
  }
  for (const std::string& key : open) {
    if (const auto it = records_.find(key); it != records_.end()) Settle(now, key, &it->second);
  }
  for (const std::string& key : over) {
    const auto it = records_.find(key);
    if (it != records_.end() && it->second.kept) Release(key, &it->second);
  }
}

// ---- the side of the member that was asked ----

std::uint64_t KeyClaims::Claim(double now, const std::string& key, double window_s, Then then) {
  const LogId log = HomeOf(key);
  if (hooks_.owner(log) == 0) {
    then({});
    return 0;
  }
  const std::uint64_t number = ++numbers_;
  Open& open = claims_[number];
  open.then = std::move(then);
  open.word.kind = KeyWord::Kind::kClaim;
  open.word.log = log;
  open.word.key = key;
  open.word.claimer = {self_, process_incarnation_, number};
  open.word.window_s = window_s;
  open.since = now;
  Say(now, &open);
  return number;
}

void KeyClaims::Say(double now, Open* open) {
  open->said_at = now;
  const NodeId owner = hooks_.owner(open->word.log);
  if (owner != 0) hooks_.send(owner, open->word);
}

bool KeyClaims::Waits(std::uint64_t number) const {
  const auto it = claims_.find(number);
  return it != claims_.end() && it->second.waits;
}

void KeyClaims::Try(double now, std::uint64_t number, const std::string& worker, bool own,
                    std::function<void(bool)> then) {
  const auto it = claims_.find(number);
  if (it == claims_.end() || it->second.asks || it->second.ended) return then(false);
  Open& open = it->second;
  open.asks = true;
  open.may = std::move(then);
  open.word.kind = KeyWord::Kind::kTry;
  open.word.step = ++open.step;
  open.word.worker = worker;
  open.word.own = own;
  Say(now, &open);
}

void KeyClaims::End(double now, std::uint64_t number, bool served, std::string result,
                    std::vector<std::string> ran_at) {
  const auto it = claims_.find(number);
  if (it == claims_.end() || it->second.ended) return;
  Open& open = it->second;
  open.asks = open.ended = true;
  open.then = nullptr;
  open.may = nullptr;
  open.since = now;
  open.word.kind = KeyWord::Kind::kEnd;
  open.word.served = served;
  open.word.result = std::move(result);
  // Who was never told to go does not know what was tried before.
  open.word.ran_at = open.went ? std::move(ran_at) : std::vector<std::string>{kAnywhere};
  Say(now, &open);
}

void KeyClaims::Hear(double now, const KeyWord& w) {
  if (w.claimer.who != self_ || w.claimer.process_incarnation != process_incarnation_) return;
  const auto it = claims_.find(w.claimer.number);
  if (it == claims_.end() || it->second.word.key != w.key) return;
  Open& open = it->second;
  using Kind = KeyWord::Kind;
  const bool claims = open.asks && open.word.kind == Kind::kClaim;
  const bool tries = open.asks && open.word.kind == Kind::kTry && w.step == open.step;
  if (claims && (w.kind == Kind::kGo || w.kind == Kind::kAnswered || w.kind == Kind::kNo)) {
    Result result;
    result.kind = w.kind == Kind::kGo         ? Result::Kind::kGo
                  : w.kind == Kind::kAnswered ? Result::Kind::kAnswered
                                              : Result::Kind::kRefused;
    result.tried = w.tried;
    for (const double age : w.ages_s) result.ages_s.push_back(age + kOnItsWayS);
    result.ages_s.resize(result.tried.size(), kInf);
    result.result = w.result;
    const Then then = std::move(open.then);
    open.asks = false;
    open.went = w.kind == Kind::kGo;
    if (w.kind != Kind::kGo) claims_.erase(it);
    then(result);
  } else if (claims && w.kind == Kind::kWait) {
    open.waits = true;
  } else if (tries && (w.kind == Kind::kMay || w.kind == Kind::kNo)) {
    open.asks = false;
    const auto may = std::move(open.may);
    may(w.kind == Kind::kMay);
  } else if (open.ended && w.kind == Kind::kDone) {
    claims_.erase(it);
  }
  (void)now;
}

void KeyClaims::Tick(double now) {
  std::vector<std::uint64_t> silent;
  for (auto& [number, open] : claims_) {
    if (!open.asks || now < SayAt(open)) continue;
    const bool claims = open.word.kind == KeyWord::Kind::kClaim;
    if (claims && !open.waits && now - open.since > kSilentS) {
      silent.push_back(number);
    } else {
      Say(now, &open);
    }
  }
  for (const std::uint64_t number : silent) {
    const Then then = std::move(claims_[number].then);
    End(now, number, false, "", {});
    then({});
  }
}

double KeyClaims::SayAt(const Open& open) {
  const double age = open.ended ? open.said_at - open.since : 0;
  return open.said_at + std::max(kSayAgainS, kLater * age);
}

double KeyClaims::NextAt() const {
  double at = kInf;
  for (const auto& [number, open] : claims_) {
    if (open.asks) at = std::min(at, SayAt(open));
  }
  return at;
}

}  // namespace millethollow::copies
