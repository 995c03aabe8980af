#include "codec/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "encoding/fields.h"

namespace millethollow::codec {
namespace {

using encoding::Reader;
using encoding::Writer;

using namespace membership;

constexpr auto kLastMessage = AgreementMessage::Kind::kRelease;
constexpr auto kLastProbe = SwimMessage::Kind::kGossip;

std::string Pair(std::uint64_t a, std::uint64_t b) {
  Writer w;
  w.Raw(a);
  w.Raw(b);
  return w.Take();
}
void Put(Writer* w, std::uint8_t field, const Ballot& b) {
  if (b != Ballot{}) w->Nested(field, Pair(b.round, b.proposer));
}
Ballot TakeBallot(Reader* r) {
  Ballot b;
  b.round = r->Raw<std::uint64_t>();
  b.proposer = r->Raw<std::uint64_t>();
  return b;
}
void Put(Writer* w, std::uint8_t field, const StorageIdentity& m) {
  if (m == StorageIdentity{}) return;
  Writer inner;
  inner.Raw(m.number);
  inner.Raw(m.nonce);
  w->Nested(field, inner.bytes());
}
StorageIdentity TakeMind(Reader* r) {
  StorageIdentity m;
  m.number = r->Raw<std::uint32_t>();
  m.nonce = r->Raw<std::uint64_t>();
  return m;
}
void Put(Writer* w, std::uint8_t field, const StorageIdentities& storage_identities) {
  for (const auto& [id, storage_identity] : storage_identities) {
    Writer inner;
    inner.Raw(id);
    inner.Raw(storage_identity.number);
    inner.Raw(storage_identity.nonce);
    w->Nested(field, inner.bytes());
  }
}
void Take(Reader* r, StorageIdentities* storage_identities) {
  const auto id = r->Raw<std::uint64_t>();
  const StorageIdentity storage_identity = TakeMind(r);
  if (storage_identities->size() >= kMaxVoters) return r->Fail();
  storage_identities->emplace_back(id, storage_identity);
}
void Put(Writer* w, std::uint8_t field, const std::vector<LogAssignment>& logs) {
  for (const LogAssignment& l : logs) {
    Writer log;
    log.Number(1, l.log);
    log.Number(2, l.owner);
    log.Number(3, l.process_incarnation);
    log.Number(4, l.owner_epoch);
    log.Number(5, l.version);
    for (const LogReplica& h : l.replicas) {
      Writer holder;
      holder.Raw(h.id);
      holder.Raw(h.store_id);
      log.Nested(6, holder.bytes());
    }
    w->Nested(field, log.bytes());
  }
}
bool Take(std::string_view bytes, std::vector<LogAssignment>* logs) {
  if (logs->size() >= kMaxLogs) return false;
  LogAssignment& l = logs->emplace_back();
  Reader r(bytes);
  while (r.Next()) {
    if (r.field() == 1) l.log = r.Raw<std::uint64_t>();
    if (r.field() == 2) l.owner = r.Raw<std::uint64_t>();
    if (r.field() == 3) l.process_incarnation = r.Raw<std::uint64_t>();
    if (r.field() == 4) l.owner_epoch = r.Raw<std::uint64_t>();
    if (r.field() == 5) l.version = r.Raw<std::uint64_t>();
    if (r.field() != 6) continue;
    if (l.replicas.size() >= kMaxReplicasPerLog) return false;
    const auto id = r.Raw<std::uint64_t>();
    l.replicas.push_back({id, r.Raw<std::uint64_t>()});
  }
  return r.ok();
}
void Put(Writer* w, std::uint8_t field, const View& v) {
  if (v.epoch == 0) return;
  Writer inner;
  inner.Number(1, v.epoch);
  inner.Number(3, v.settled_epoch);
  for (const ViewMember& m : v.members) {
    Writer member;
    member.Number(1, m.id);
    member.Number(2, m.process_incarnation);
    member.Text(3, m.failure_domain);
    member.Number(4, m.joined_epoch);
    member.Number(5, m.store_id);
    inner.Nested(2, member.bytes());
  }
  Put(&inner, 4, v.logs);
  w->Nested(field, inner.bytes());
}
bool Take(std::string_view bytes, View* v) {
  Reader r(bytes);
  while (r.Next()) {
    if (r.field() == 1) v->epoch = r.Raw<std::uint64_t>();
    if (r.field() == 3) v->settled_epoch = r.Raw<std::uint64_t>();
    if (r.field() == 4 && !Take(r.value(), &v->logs)) return false;
    if (r.field() != 2) continue;
    if (v->members.size() >= kMaxMembers) return false;
    ViewMember& m = v->members.emplace_back();
    Reader in(r.value());
    while (in.Next()) {
      if (in.field() == 1) m.id = in.Raw<std::uint64_t>();
      if (in.field() == 2) m.process_incarnation = in.Raw<std::uint64_t>();
      if (in.field() == 3) m.failure_domain = in.value();
      if (in.field() == 4) m.joined_epoch = in.Raw<std::uint64_t>();
      if (in.field() == 5) m.store_id = in.Raw<std::uint64_t>();
    }
    if (!in.ok() || m.failure_domain.size() > kMaxFailureDomain) return false;
  }
  return r.ok();
}

}  // namespace

std::uint64_t Hash(std::string_view text) {
  const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == 0 ? 1 : hash;
}

std::string Encode(const PersistentVoterState& v) {
  Writer w;
  Put(&w, 1, v.promised);
  Put(&w, 2, v.accepted_by);
  Put(&w, 3, v.accepted);
  Put(&w, 4, v.storage_identity);
  Put(&w, 5, v.storage_identities);
  w.Number(6, v.writes);
  return w.Take();
}

std::optional<PersistentVoterState> DecodeVoterState(std::string_view bytes) {
  PersistentVoterState v;
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
        v.storage_identity = TakeMind(&r);
        break;
      case 5:
        Take(&r, &v.storage_identities);
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

std::string Encode(const SwimMessage& p) {
  Writer w;
  w.Raw(static_cast<std::uint8_t>(p.kind));
  w.Number(1, p.seq);
  w.Number(2, p.about);
  w.Number(3, p.incarnation);
  w.Number(4, p.digest);
  for (const GossipUpdate& n : p.updates) {
    Writer inner;
    inner.Raw(n.member);
    inner.Raw(n.incarnation);
    inner.Raw(static_cast<std::uint8_t>(n.health));
    if (n.suspected_by != 0) inner.Raw(n.suspected_by);
    w.Nested(5, inner.bytes());
  }
  return w.Take();
}

std::optional<SwimMessage> DecodeSwimMessage(std::string_view bytes) {
  if (bytes.empty() ||
      static_cast<std::uint8_t>(bytes[0]) > static_cast<std::uint8_t>(kLastProbe)) {
    return std::nullopt;
  }
  SwimMessage p;
  p.kind = static_cast<SwimMessage::Kind>(bytes[0]);
  Reader r(bytes.substr(1));
  while (r.Next()) {
    if (r.field() == 1) p.seq = r.Raw<std::uint32_t>();
    if (r.field() == 2) p.about = r.Raw<std::uint64_t>();
    if (r.field() == 3) p.incarnation = r.Raw<std::uint32_t>();
    if (r.field() == 4) p.digest = r.Raw<std::uint64_t>();
    if (r.field() != 5) continue;
    GossipUpdate n;
    n.member = r.Raw<std::uint64_t>();
    n.incarnation = r.Raw<std::uint32_t>();
    const auto health = r.Raw<std::uint8_t>();
    if (health > static_cast<std::uint8_t>(Health::kLeft)) continue;  // of a later build
    n.health = static_cast<Health>(health);
    if (!r.value().empty()) n.suspected_by = r.Raw<std::uint64_t>();
    if (p.updates.size() < SwimMessage::kMaxUpdates) p.updates.push_back(n);
  }
  return r.ok() ? std::optional(std::move(p)) : std::nullopt;
}

std::string Encode(const AgreementMessage& m) {
  Writer w;
  w.Raw(static_cast<std::uint8_t>(m.kind));
  Put(&w, 1, m.ballot);
  Put(&w, 2, m.accepted_by);
  Put(&w, 3, m.view);
  Put(&w, 4, m.storage_identity);
  Put(&w, 5, m.storage_identities);
  Put(&w, 6, m.quorum);
  w.Number(7, m.number);
  w.Number(8, m.count);
  w.Number(9, m.process_incarnation);
  w.Number(10, m.asked_at);
  w.Number(11, m.span);
  w.Number(12, static_cast<std::uint8_t>(m.yes));
  w.Number(13, m.origin);
  w.Number(14, m.store_id);
  Put(&w, 15, m.logs);
  w.Number(16, m.knows);
  return w.Take();
}

std::optional<AgreementMessage> DecodeAgreementMessage(std::string_view bytes) {
  if (bytes.empty() ||
      static_cast<std::uint8_t>(bytes[0]) > static_cast<std::uint8_t>(kLastMessage)) {
    return std::nullopt;
  }
  AgreementMessage m;
  m.kind = static_cast<AgreementMessage::Kind>(bytes[0]);
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
        m.storage_identity = TakeMind(&r);
        break;
      case 5:
        Take(&r, &m.storage_identities);
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
        m.process_incarnation = r.Raw<std::uint64_t>();
        break;
      case 10:
        m.asked_at = r.Raw<double>();
        break;
      case 11:
        m.span = r.Raw<double>();
        break;
      case 14:
        m.store_id = r.Raw<std::uint64_t>();
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

std::string Encode(const MaintenanceGossip& n) {
  Writer w;
  w.Number(1, n.digest);
  w.Number(2, n.sequence);
  w.Number(3, n.acked_sequence);
  w.Number(4, static_cast<std::uint8_t>(n.request_all));
  for (const MaintenanceRecord& f : n.records) {
    Writer fact;
    fact.Text(1, f.worker);
    for (const auto& [process_incarnation, calls] : f.decisions) {
      Writer call;
      call.Raw(process_incarnation);
      call.Raw(calls.taken_out);
      call.Raw(calls.put_back);
      fact.Nested(2, call.bytes());
    }
    fact.Number(3, f.started_at_s);
    fact.Number(4, static_cast<std::uint8_t>(f.drain_state));
    w.Nested(5, fact.bytes());
  }
  return w.Take();
}

std::optional<MaintenanceGossip> DecodeMaintenanceGossip(std::string_view bytes) {
  MaintenanceGossip n;
  Reader r(bytes);
  while (r.Next()) {
    if (r.field() == 1) n.digest = r.Raw<std::uint64_t>();
    if (r.field() == 2) n.sequence = r.Raw<std::uint64_t>();
    if (r.field() == 3) n.acked_sequence = r.Raw<std::uint64_t>();
    if (r.field() == 4) n.request_all = r.Raw<std::uint8_t>() != 0;
    if (r.field() != 5 || n.records.size() >= MaintenanceGossip::kMost) continue;
    MaintenanceRecord& f = n.records.emplace_back();
    Reader in(r.value());
    while (in.Next()) {
      if (in.field() == 1) f.worker = in.value();
      if (in.field() == 3) f.started_at_s = in.Raw<double>();
      if (in.field() == 4)
        f.drain_state = static_cast<DrainState>(std::min<std::uint8_t>(in.Raw<std::uint8_t>(), 2));
      if (in.field() != 2 || f.decisions.size() >= kMaxCallers) continue;
      const auto process_incarnation = in.Raw<std::uint64_t>();
      const auto out = in.Raw<std::uint32_t>();
      f.decisions[process_incarnation] = {out, in.Raw<std::uint32_t>()};
    }
    if (!in.ok() || f.worker.empty() || f.worker.size() > kMaxName) return std::nullopt;
  }
  return r.ok() ? std::optional(std::move(n)) : std::nullopt;
}

}  // namespace millethollow::codec
