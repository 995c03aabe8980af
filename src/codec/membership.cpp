#include "codec/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "codec/fields.h"

namespace millethollow::codec {
namespace {

using namespace membership;

constexpr auto kLastMessage = Message::Kind::kRelease;
constexpr auto kLastProbe = Probe::Kind::kNews;

std::string Pair(std::uint64_t a, std::uint64_t b) {
  Writer w;
  w.Raw(a);
  w.Raw(b);
  return w.Take();
}
void Put(Writer* w, std::uint8_t field, const Ballot& b) {
  if (b != Ballot{}) w->Nested(field, Pair(b.round, b.who));
}
Ballot TakeBallot(Reader* r) {
  Ballot b;
  b.round = r->Raw<std::uint64_t>();
  b.who = r->Raw<std::uint64_t>();
  return b;
}
void Put(Writer* w, std::uint8_t field, const Mind& m) {
  if (m == Mind{}) return;
  Writer inner;
  inner.Raw(m.number);
  inner.Raw(m.nonce);
  w->Nested(field, inner.bytes());
}
Mind TakeMind(Reader* r) {
  Mind m;
  m.number = r->Raw<std::uint32_t>();
  m.nonce = r->Raw<std::uint64_t>();
  return m;
}
void Put(Writer* w, std::uint8_t field, const Minds& minds) {
  for (const auto& [id, mind] : minds) {
    Writer inner;
    inner.Raw(id);
    inner.Raw(mind.number);
    inner.Raw(mind.nonce);
    w->Nested(field, inner.bytes());
  }
}
void Take(Reader* r, Minds* minds) {
  const auto id = r->Raw<std::uint64_t>();
  const Mind mind = TakeMind(r);
  if (minds->size() >= kMostVoters) return r->Fail();
  minds->emplace_back(id, mind);
}
void Put(Writer* w, std::uint8_t field, const std::vector<LogPlace>& logs) {
  for (const LogPlace& l : logs) {
    Writer log;
    log.Number(1, l.log);
    log.Number(2, l.owner);
    log.Number(3, l.life);
    log.Number(4, l.since);
    log.Number(5, l.version);
    for (const LogHolder& h : l.holders) {
      Writer holder;
      holder.Raw(h.id);
      holder.Raw(h.disk);
      log.Nested(6, holder.bytes());
    }
    w->Nested(field, log.bytes());
  }
}
bool Take(std::string_view bytes, std::vector<LogPlace>* logs) {
  if (logs->size() >= kMostLogs) return false;
  LogPlace& l = logs->emplace_back();
  Reader r(bytes);
  while (r.Next()) {
    if (r.field() == 1) l.log = r.Raw<std::uint64_t>();
    if (r.field() == 2) l.owner = r.Raw<std::uint64_t>();
    if (r.field() == 3) l.life = r.Raw<std::uint64_t>();
    if (r.field() == 4) l.since = r.Raw<std::uint64_t>();
    if (r.field() == 5) l.version = r.Raw<std::uint64_t>();
    if (r.field() != 6) continue;
    if (l.holders.size() >= kMostHoldersOfOne) return false;
    const auto id = r.Raw<std::uint64_t>();
    l.holders.push_back({id, r.Raw<std::uint64_t>()});
  }
  return r.ok();
}
void Put(Writer* w, std::uint8_t field, const View& v) {
  if (v.epoch == 0) return;
  Writer inner;
  inner.Number(1, v.epoch);
  inner.Number(3, v.settled);
  for (const ViewMember& m : v.members) {
    Writer member;
    member.Number(1, m.id);
    member.Number(2, m.life);
    member.Text(3, m.place);
    member.Number(4, m.since);
    member.Number(5, m.disk);
    inner.Nested(2, member.bytes());
  }
  Put(&inner, 4, v.logs);
  w->Nested(field, inner.bytes());
}
bool Take(std::string_view bytes, View* v) {
  Reader r(bytes);
  while (r.Next()) {
    if (r.field() == 1) v->epoch = r.Raw<std::uint64_t>();
    if (r.field() == 3) v->settled = r.Raw<std::uint64_t>();
    if (r.field() == 4 && !Take(r.value(), &v->logs)) return false;
    if (r.field() != 2) continue;
    if (v->members.size() >= kMostMembers) return false;
    ViewMember& m = v->members.emplace_back();
    Reader in(r.value());
    while (in.Next()) {
      if (in.field() == 1) m.id = in.Raw<std::uint64_t>();
      if (in.field() == 2) m.life = in.Raw<std::uint64_t>();
      if (in.field() == 3) m.place = in.value();
      if (in.field() == 4) m.since = in.Raw<std::uint64_t>();
      if (in.field() == 5) m.disk = in.Raw<std::uint64_t>();
    }
    if (!in.ok() || m.place.size() > kMostPlace) return false;
  }
  return r.ok();
}

}  // namespace

std::uint64_t Hash(std::string_view text) {
  const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == 0 ? 1 : hash;
}

std::string Encode(const Votes& v) {
  Writer w;
  Put(&w, 1, v.promised);
  Put(&w, 2, v.accepted_by);
  Put(&w, 3, v.accepted);
  Put(&w, 4, v.mind);
  Put(&w, 5, v.minds);
  w.Number(6, v.writes);
  return w.Take();
}

std::optional<Votes> DecodeVotes(std::string_view bytes) {
  Votes v;
  Reader r(bytes);
  while (r.Next()) {
    switch (r.field()) {
      case 1:
        v.promised = TakeBallot(&r);
        break;
      case 2:
        v.accepted_by = TakeBallot(&r);
        break;
      case 3:
        if (!Take(r.value(), &v.accepted)) return std::nullopt;
        break;
      case 4:
        v.mind = TakeMind(&r);
        break;
      case 5:
        Take(&r, &v.minds);
        break;
      case 6:
        v.writes = r.Raw<std::uint64_t>();
        break;
      default:
        break;
    }
  }
  return r.ok() ? std::optional(std::move(v)) : std::nullopt;
}

std::string Encode(const Probe& p) {
  Writer w;
  w.Raw(static_cast<std::uint8_t>(p.kind));
  w.Number(1, p.seq);
  w.Number(2, p.about);
  w.Number(3, p.incarnation);
  w.Number(4, p.digest);
  for (const News& n : p.news) {
    Writer inner;
    inner.Raw(n.who);
    inner.Raw(n.incarnation);
    inner.Raw(static_cast<std::uint8_t>(n.health));
    if (n.by != 0) inner.Raw(n.by);
    w.Nested(5, inner.bytes());
  }
  return w.Take();
}

std::optional<Probe> DecodeProbe(std::string_view bytes) {
  if (bytes.empty() ||
      static_cast<std::uint8_t>(bytes[0]) > static_cast<std::uint8_t>(kLastProbe)) {
    return std::nullopt;
  }
  Probe p;
  p.kind = static_cast<Probe::Kind>(bytes[0]);
  Reader r(bytes.substr(1));
  while (r.Next()) {
    if (r.field() == 1) p.seq = r.Raw<std::uint32_t>();
    if (r.field() == 2) p.about = r.Raw<std::uint64_t>();
    if (r.field() == 3) p.incarnation = r.Raw<std::uint32_t>();
    if (r.field() == 4) p.digest = r.Raw<std::uint64_t>();
    if (r.field() != 5) continue;
    News n;
    n.who = r.Raw<std::uint64_t>();
    n.incarnation = r.Raw<std::uint32_t>();
    const auto health = r.Raw<std::uint8_t>();
    if (health > static_cast<std::uint8_t>(Health::kLeft)) continue;  // of a later build
    n.health = static_cast<Health>(health);
    if (!r.value().empty()) n.by = r.Raw<std::uint64_t>();
    if (p.news.size() < Probe::kMostNews) p.news.push_back(n);
  }
  return r.ok() ? std::optional(std::move(p)) : std::nullopt;
}

std::string Encode(const Message& m) {
  Writer w;
  w.Raw(static_cast<std::uint8_t>(m.kind));
  Put(&w, 1, m.ballot);
  Put(&w, 2, m.accepted_by);
  Put(&w, 3, m.view);
  Put(&w, 4, m.mind);
  Put(&w, 5, m.minds);
  Put(&w, 6, m.quorum);
  w.Number(7, m.number);
  w.Number(8, m.count);
  w.Number(9, m.life);
  w.Number(10, m.asked_at);
  w.Number(11, m.span);
  w.Number(12, static_cast<std::uint8_t>(m.yes));
  w.Number(13, m.origin);
  w.Number(14, m.disk);
  Put(&w, 15, m.logs);
  w.Number(16, m.knows);
  return w.Take();
}

std::optional<Message> DecodeMessage(std::string_view bytes) {
  if (bytes.empty() ||
      static_cast<std::uint8_t>(bytes[0]) > static_cast<std::uint8_t>(kLastMessage)) {
    return std::nullopt;
  }
  Message m;
  m.kind = static_cast<Message::Kind>(bytes[0]);
  Reader r(bytes.substr(1));
  while (r.Next()) {
    switch (r.field()) {
      case 1:
        m.ballot = TakeBallot(&r);
        break;
      case 2:
        m.accepted_by = TakeBallot(&r);
        break;
      case 3:
        if (!Take(r.value(), &m.view)) return std::nullopt;
        break;
      case 4:
        m.mind = TakeMind(&r);
        break;
      case 5:
        Take(&r, &m.minds);
        break;
      case 6:
        Take(&r, &m.quorum);
        break;
      case 7:
        m.number = r.Raw<std::uint64_t>();
        break;
      case 8:
        m.count = r.Raw<std::uint64_t>();
        break;
      case 9:
        m.life = r.Raw<std::uint64_t>();
        break;
      case 10:
        m.asked_at = r.Raw<double>();
        break;
      case 11:
        m.span = r.Raw<double>();
        break;
      case 14:
        m.disk = r.Raw<std::uint64_t>();
        break;
      case 15:
        if (!Take(r.value(), &m.logs)) return std::nullopt;
        break;
      case 16:
        m.knows = r.Raw<std::uint8_t>();
        break;
      case 13:
        m.origin = r.Raw<std::uint64_t>();
        break;
      case 12:
        m.yes = r.Raw<std::uint8_t>() != 0;
        break;
      default:
        break;
    }
  }
  return r.ok() ? std::optional(std::move(m)) : std::nullopt;
}

std::string Encode(const FactNews& n) {
  Writer w;
  w.Number(1, n.digest);
  w.Number(2, n.number);
  w.Number(3, n.answers);
  w.Number(4, static_cast<std::uint8_t>(n.ask));
  for (const Fact& f : n.facts) {
    Writer fact;
    fact.Text(1, f.worker);
    for (const auto& [life, calls] : f.calls) {
      Writer call;
      call.Raw(life);
      call.Raw(calls.first);
      call.Raw(calls.second);
      fact.Nested(2, call.bytes());
    }
    fact.Number(3, f.started_at_s);
    fact.Number(4, f.down);
    w.Nested(5, fact.bytes());
  }
  return w.Take();
}

std::optional<FactNews> DecodeFacts(std::string_view bytes) {
  FactNews n;
  Reader r(bytes);
  while (r.Next()) {
    if (r.field() == 1) n.digest = r.Raw<std::uint64_t>();
    if (r.field() == 2) n.number = r.Raw<std::uint64_t>();
    if (r.field() == 3) n.answers = r.Raw<std::uint64_t>();
    if (r.field() == 4) n.ask = r.Raw<std::uint8_t>() != 0;
    if (r.field() != 5 || n.facts.size() >= FactNews::kMost) continue;
    Fact& f = n.facts.emplace_back();
    Reader in(r.value());
    while (in.Next()) {
      if (in.field() == 1) f.worker = in.value();
      if (in.field() == 3) f.started_at_s = in.Raw<double>();
      if (in.field() == 4) f.down = std::min<std::uint8_t>(in.Raw<std::uint8_t>(), 2);
      if (in.field() != 2 || f.calls.size() >= kMostCallers) continue;
      const auto life = in.Raw<std::uint64_t>();
      const auto out = in.Raw<std::uint32_t>();
      f.calls[life] = {out, in.Raw<std::uint32_t>()};
    }
    if (!in.ok() || f.worker.empty() || f.worker.size() > kMostName) return std::nullopt;
  }
  return r.ok() ? std::optional(std::move(n)) : std::nullopt;
}

}  // namespace millethollow::codec
