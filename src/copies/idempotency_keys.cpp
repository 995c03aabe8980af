#include "copies/idempotency_keys.h"

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

std::string EncodeClaimId(const ClaimId& c) {
  codec::Writer w;
  w.Raw(c.who);
  w.Raw(c.process_incarnation);
  w.Raw(c.number);
  return w.Take();
}

}  // namespace

std::string Encode(const IdempotencyRecord& record) {
  codec::Writer w;
  if (record.claim.who != 0) w.Nested(1, EncodeClaimId(record.claim));
  for (const AttemptRecord& t : record.attempts) w.Nested(2, Encode(t));
  w.Number(3, record.window_s);
  w.Number(4, static_cast<std::uint8_t>(record.answered));
  w.Text(5, record.result);
  return w.Take();
}

std::optional<IdempotencyRecord> DecodeIdempotencyRecord(std::string_view bytes) {
  IdempotencyRecord record;
  codec::Reader r(bytes);
  while (r.Next()) {
    if (r.field() == 1) {
      record.claim.who = r.Raw<std::uint64_t>();
      record.claim.process_incarnation = r.Raw<std::uint64_t>();
      record.claim.number = r.Raw<std::uint64_t>();
    }
    if (r.field() == 2) {
      auto attempt = DecodeAttempt(r.value());
      if (!attempt || record.attempts.size() >= kMaxAttempts) return std::nullopt;
      record.attempts.push_back(std::move(*attempt));
    }
    if (r.field() == 3) record.window_s = r.Raw<double>();
    if (r.field() == 4) record.answered = r.Raw<std::uint8_t>() != 0;
    if (r.field() == 5) record.result = r.value();
  }
  return r.ok() ? std::optional(std::move(record)) : std::nullopt;
}

LogId LogOfKey(std::string_view key) {
  std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
  for (const char c : key) hash = membership::Mix(hash ^ static_cast<std::uint8_t>(c));
  return (hash % kKeyLogs + 1) << 8 | static_cast<LogId>(LogKind::kKeys);
}

NodeId PreferredOpener(LogId log, const View& view) {
  NodeId best = 0;
  std::uint64_t most = 0;
  for (const auto& member : view.members) {
    const std::uint64_t weight = membership::Mix(log ^ membership::Mix(member.id));
    if (member.store_id != 0 && (best == 0 || weight > most)) best = member.id, most = weight;
  }
  return best;
}

// ---- the owner's side ----

std::size_t IdempotencyKeyRegistry::SizeOf(const std::string& key,
                                           const IdempotencyRecord& record) {
  return kOverhead + key.size() + record.result.size();
}

void IdempotencyKeyRegistry::Begun(double now, LogId log, const std::vector<Operation>& entries) {
  logs_[log];
  for (const Operation& op : entries) {
    auto it = DecodeIdempotencyRecord(op.value);
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

void IdempotencyKeyRegistry::Ended(LogId log) {
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
void IdempotencyKeyRegistry::Date(Record* record) {
  if (record->it.attempts.empty() || record->it.attempts.back().seq != 0) return;
  record->it.attempts.back().seq = record->put;
}

// Written as it is now; `kept` falls until it is on the disks. False: it can't be.
bool IdempotencyKeyRegistry::Put(const std::string& key, Record* record) {
  ReplicatedLogs::AppendError why{};
  const SequenceNumber seq = hooks_.append(record->log, key, Encode(record->it), false, &why);
  if (seq == 0) return false;
  record->put = seq;
  record->kept = false;
  logs_[record->log].emplace(seq, key);
  return true;
}

void IdempotencyKeyRegistry::Tell(const std::string& key, const Record& record, const ClaimId& to,
                                  KeyWord::Kind kind, std::uint64_t step) {
  KeyWord w;
  w.kind = kind;
  w.log = record.log;
  w.key = key;
  w.claim = to;
  w.step = step;
  if (kind == KeyWord::Kind::kAnswered) w.result = record.it.result;
  if (kind == KeyWord::Kind::kGo) {
    w.attempts = record.it.attempts;
    for (const AttemptRecord& t : w.attempts) {
      w.ages_s.push_back(hooks_.age(record.log, t.seq == 0 ? record.put : t.seq));
    }
  }
  hooks_.send(to.who, w);
}

void IdempotencyKeyRegistry::Hear(double now, NodeId from, const KeyWord& word) {
  if (word.claim.who != from) return;
  if (!logs_.contains(word.log)) {  // not this member's, or not yet
    if (word.kind == KeyWord::Kind::kTry) {
      Record none;
      none.log = word.log;
      Tell(word.key, none, word.claim, KeyWord::Kind::kNo, word.step);
    }
    return;
  }
  if (word.kind == KeyWord::Kind::kClaim) Claim(now, word);
  if (word.kind == KeyWord::Kind::kTry) Try(now, word);
  if (word.kind == KeyWord::Kind::kEnd) End(now, word);
}

void IdempotencyKeyRegistry::Claim(double now, const KeyWord& w) {
  const auto found = records_.find(w.key);
  Record fresh;
  fresh.log = w.log;
  if (found == records_.end()) {
    const bool full = records_.size() >= limits_.keys || bytes_ >= limits_.bytes;
    fresh.it.claim = w.claim;
    fresh.it.window_s = w.window_s;
    if (full || !Put(w.key, &fresh)) {
      counters_.refused += 1;
      return Tell(w.key, fresh, w.claim, KeyWord::Kind::kNo);
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
    return Tell(w.key, record, w.claim, KeyWord::Kind::kAnswered);
  }
  if (record.it.claim == w.claim) {
    if (record.kept) Tell(w.key, record, w.claim, KeyWord::Kind::kGo);
    return;
  }
  if (std::find(record.waiting.begin(), record.waiting.end(), w.claim) == record.waiting.end()) {
    if (record.waiting.size() >= limits_.waiting) {
      return Tell(w.key, record, w.claim, KeyWord::Kind::kNo);
    }
    record.waiting.push_back(w.claim);
    counters_.joined += 1;
  }
  Settle(now, w.key, &record);
  if (record.it.claim != w.claim) Tell(w.key, record, w.claim, KeyWord::Kind::kWait);
}

// Nobody runs it, or whoever did is gone: the first of those that wait may.
void IdempotencyKeyRegistry::Settle(double now, const std::string& key, Record* record) {
  if (record->it.answered || record->ending) return;
  if (record->it.claim.who != 0) {
    if (hooks_.there(record->it.claim)) return;
    record->it.claim = {};
    record->step = 0;
    record->ends_at = now + record->it.window_s;
  }
  while (!record->waiting.empty()) {
    const ClaimId next = record->waiting.front();
    if (!hooks_.there(next)) {
      record->waiting.pop_front();
      continue;
    }
    record->it.claim = next;
    Date(record);
    if (!Put(key, record)) {
      record->it.claim = {};
      return;
    }
    record->waiting.pop_front();
    counters_.taken_over += 1;
    return;
  }
}

void IdempotencyKeyRegistry::Try(double, const KeyWord& w) {
  const auto found = records_.find(w.key);
  Record none;
  none.log = w.log;
  if (found == records_.end() || found->second.it.claim != w.claim || found->second.it.answered) {
    return Tell(w.key, none, w.claim, KeyWord::Kind::kNo, w.step);
  }
  Record& record = found->second;
  if (w.step <= record.step) {  // said again
    if (w.step == record.step && record.kept) {
      Tell(w.key, record, w.claim, KeyWord::Kind::kMay, w.step);
    }
    return;
  }
  const std::vector<AttemptRecord> before = record.it.attempts;
  Date(&record);
  record.it.attempts.push_back({w.worker, w.local_worker, 0});
  if (record.it.attempts.size() > kMaxAttempts || !Put(w.key, &record)) {
    record.it.attempts = before;
    return Tell(w.key, record, w.claim, KeyWord::Kind::kNo, w.step);
  }
  record.step = w.step;
}

void IdempotencyKeyRegistry::End(double now, const KeyWord& w) {
  const auto found = records_.find(w.key);
  Record none;
  none.log = w.log;
  if (found == records_.end()) return Tell(w.key, none, w.claim, KeyWord::Kind::kDone);
  Record& record = found->second;
  std::erase(record.waiting, w.claim);
  // Only once that it ended is kept: else whoever adopts the log takes it for one that runs.
  if (record.it.claim != w.claim || record.it.answered || record.ending) {
    if (record.kept) Tell(w.key, record, w.claim, KeyWord::Kind::kDone);
    return;
  }
  const IdempotencyRecord before = record.it;
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
  std::erase_if(record.it.attempts, [&](const AttemptRecord& t) {
    return std::none_of(w.ran_at.begin(), w.ran_at.end(),
                        [&](const std::string& at) { return at == t.worker || at == kAnywhere; });
  });
  record.it.claim = {};
  const std::uint64_t step = std::exchange(record.step, 0);
  record.ends_at = now + record.it.window_s;
  Settle(now, w.key, &record);
  const bool nobody = record.it.claim.who == 0;
  const bool written =
      !nobody || (record.it.attempts.empty() ? Release(w.key, &record) : Put(w.key, &record));
  if (written) return;
  record.it = before;  // it says so again
  record.step = step;
}

bool IdempotencyKeyRegistry::Release(const std::string& key, Record* record) {
  ReplicatedLogs::AppendError why{};
  const SequenceNumber seq = hooks_.append(record->log, key, "", true, &why);
  if (seq == 0) return false;
  record->put = seq;
  record->kept = false;
  record->ending = true;
  logs_[record->log].emplace(seq, key);
  return true;
}

void IdempotencyKeyRegistry::Kept(double now, LogId log, SequenceNumber seq) {
  while (true) {
    const auto it = logs_.find(log);
    if (it == logs_.end() || it->second.empty() || it->second.begin()->first > seq) return;
    const SequenceNumber done = it->second.begin()->first;
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
      Tell(key, record, record.it.claim, KeyWord::Kind::kDone);
      for (const ClaimId& c : std::exchange(record.waiting, {})) {
        Tell(key, record, c, KeyWord::Kind::kAnswered);
      }
    } else if (record.step > 0) {
      Tell(key, record, record.it.claim, KeyWord::Kind::kMay, record.step);
    } else if (record.it.claim.who != 0) {
      Tell(key, record, record.it.claim, KeyWord::Kind::kGo);
    }
  }
  (void)now;
}

void IdempotencyKeyRegistry::Tick(double now) {
  std::vector<std::string> open, over;
  for (const auto& [key, record] : records_) {
    if (!record.kept || record.ending) continue;
    const bool nobody = record.it.claim.who == 0;
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

std::uint64_t IdempotencyKeyClient::Claim(double now, const std::string& key, double window_s,
                                          Then then) {
  const LogId log = LogOfKey(key);
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
  open.word.claim = {self_, process_incarnation_, number};
  open.word.window_s = window_s;
  open.since = now;
  Say(now, &open);
  return number;
}

void IdempotencyKeyClient::Say(double now, Open* open) {
  open->said_at = now;
  const NodeId owner = hooks_.owner(open->word.log);
  if (owner != 0) hooks_.send(owner, open->word);
}

bool IdempotencyKeyClient::Waits(std::uint64_t number) const {
  const auto it = claims_.find(number);
  return it != claims_.end() && it->second.waits;
}

void IdempotencyKeyClient::Try(double now, std::uint64_t number, const std::string& worker,
                               bool local_worker, std::function<void(bool)> then) {
  const auto it = claims_.find(number);
  if (it == claims_.end() || it->second.asks || it->second.ended) return then(false);
  Open& open = it->second;
  open.asks = true;
  open.may = std::move(then);
  open.word.kind = KeyWord::Kind::kTry;
  open.word.step = ++open.step;
  open.word.worker = worker;
  open.word.local_worker = local_worker;
  Say(now, &open);
}

void IdempotencyKeyClient::End(double now, std::uint64_t number, bool served, std::string result,
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

void IdempotencyKeyClient::Hear(double now, const KeyWord& w) {
  if (w.claim.who != self_ || w.claim.process_incarnation != process_incarnation_) return;
  const auto it = claims_.find(w.claim.number);
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
    result.attempts = w.attempts;
    for (const double age : w.ages_s) result.ages_s.push_back(age + kOnItsWayS);
    result.ages_s.resize(result.attempts.size(), kInf);
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

void IdempotencyKeyClient::Tick(double now) {
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

double IdempotencyKeyClient::SayAt(const Open& open) {
  const double age = open.ended ? open.said_at - open.since : 0;
  return open.said_at + std::max(kSayAgainS, kLater * age);
}

double IdempotencyKeyClient::NextAt() const {
  double at = kInf;
  for (const auto& [number, open] : claims_) {
    if (open.asks) at = std::min(at, SayAt(open));
  }
  return at;
}

}  // namespace millethollow::copies
