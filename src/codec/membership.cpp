#include "codec/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "encoding/fields.h"

namespace millethollow::codec {
namespace {

using encoding::Reader;
using encoding::Writer;

using namespace membership;

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
StorageIdentity TakeStorageIdentity(Reader* r) {
  StorageIdentity m;
  m.number = r->Raw<std::uint32_t>();
  m.nonce = r->Raw<std::uint64_t>();
  return m;
}
void Put(Writer* w, std::uint8_t field, const VoterIdentities& identities) {
  for (const VoterIdentity& identity : identities) {
    Writer inner;
    inner.Raw(identity.id);
    inner.Raw(identity.storage_identity.number);
    inner.Raw(identity.storage_identity.nonce);
    w->Nested(field, inner.bytes());
  }
}
void Take(Reader* r, VoterIdentities* identities) {
  const auto id = r->Raw<std::uint64_t>();
  const StorageIdentity identity = TakeStorageIdentity(r);
  if (identities->size() >= kMaxVoters) return r->Fail();
  identities->push_back({id, identity});
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

// ---- the fields of each message, by rising number ----

// Writes fields; what has its default value is left out.
struct FieldWriter {
  Writer* w;
  template <typename T>
  void operator()(std::uint8_t number, const T& value) const {
    if constexpr (std::is_same_v<T, bool>) {
      w->Number(number, static_cast<std::uint8_t>(value));
    } else if constexpr (std::is_arithmetic_v<T>) {
      w->Number(number, value);
    } else {
      Put(w, number, value);
    }
  }
};

// Reads the field that the reader is at, where it has the number.
struct FieldReader {
  Reader* r;
  template <typename T>
  void operator()(std::uint8_t number, T& value) const {
    if (r->field() != number) return;
    if constexpr (std::is_same_v<T, bool>) {
      value = r->Raw<std::uint8_t>() != 0;
    } else if constexpr (std::is_arithmetic_v<T>) {
      value = r->Raw<T>();
    } else if constexpr (std::is_same_v<T, Ballot>) {
      value = TakeBallot(r);
    } else if constexpr (std::is_same_v<T, StorageIdentity>) {
      value = TakeStorageIdentity(r);
    } else if constexpr (std::is_same_v<T, VoterIdentities>) {
      Take(r, &value);
    } else if (!Take(r->value(), &value)) {
      r->Fail();
    }
  }
};

template <typename T, typename Message>
concept Of = std::is_same_v<std::remove_const_t<T>, Message>;

template <typename Visit>
void VisitIdentities(auto& header, Visit visit) {
  visit(4, header.storage_identity);
  visit(5, header.known_identities);
}
template <typename Visit>
void VisitBuild(auto& header, Visit visit) {
  visit(8, header.writes);
  visit(16, header.features);
}

template <Of<IdentityQuery> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  VisitIdentities(m.voter, visit);
  visit(7, m.nonce);
  VisitBuild(m.voter, visit);
}
template <Of<IdentityReply> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  VisitIdentities(m.voter, visit);
  visit(7, m.nonce);
  visit(8, m.writes_seen);
  visit(12, m.never_promised);
  visit(16, m.voter.features);
}
template <Of<IdentityClaim> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  VisitIdentities(m.voter, visit);
  visit(7, m.nonce);
  VisitBuild(m.voter, visit);
}
template <Of<IdentityClaimAck> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(1, m.promised);
  visit(2, m.accepted_by);
  visit(3, m.accepted);
  VisitIdentities(m.voter, visit);
  VisitBuild(m.voter, visit);
}
template <Of<LeaderLossQuery> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  VisitIdentities(m.voter, visit);
  visit(7, m.query_number);
  VisitBuild(m.voter, visit);
}
template <Of<LeaderLossReply> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(1, m.promised);
  VisitIdentities(m.voter, visit);
  visit(7, m.query_number);
  visit(8, m.voter.writes);
  visit(12, m.leader_lost);
  visit(16, m.voter.features);
}
template <Of<Prepare> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(1, m.ballot);
  VisitIdentities(m.voter, visit);
  VisitBuild(m.voter, visit);
}
template <Of<Promise> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(1, m.ballot);
  visit(2, m.accepted_by);
  visit(3, m.accepted);
  VisitIdentities(m.voter, visit);
  VisitBuild(m.voter, visit);
}
template <Of<Propose> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(1, m.ballot);
  visit(3, m.view);
  VisitIdentities(m.voter, visit);
  visit(6, m.quorum);
  VisitBuild(m.voter, visit);
}
template <Of<Accepted> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(1, m.ballot);
  VisitIdentities(m.voter, visit);
  visit(7, m.epoch);
  VisitBuild(m.voter, visit);
}
template <Of<Rejection> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(1, m.promised);
  VisitIdentities(m.voter, visit);
  VisitBuild(m.voter, visit);
}
template <Of<Heartbeat> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(1, m.ballot);
  VisitIdentities(m.voter, visit);
  visit(6, m.quorum);
  visit(7, m.sequence);
  VisitBuild(m.voter, visit);
}
template <Of<HeartbeatAck> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(1, m.ballot);
  VisitIdentities(m.voter, visit);
  visit(7, m.sequence);
  VisitBuild(m.voter, visit);
}
template <Of<ViewDecided> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(3, m.view);
  visit(13, m.origin);
}
template <Of<LeaseRequest> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(7, m.epoch);
  visit(9, m.process_incarnation);
  visit(10, m.requested_at_s);
  visit(13, m.origin);
  visit(14, m.store_id);
  visit(15, m.wanted_logs);
}
template <Of<LeaseGrant> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(1, m.ballot);
  visit(7, m.epoch);
  visit(9, m.process_incarnation);
  visit(10, m.requested_at_s);
  visit(11, m.duration_s);
  visit(13, m.origin);
}
template <Of<LeaderRedirect> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(1, m.ballot);
  visit(13, m.origin);
}
template <Of<IdentityConflict> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(9, m.process_incarnation);
  visit(12, m.both_present);
  visit(13, m.origin);
}
template <Of<LeaseRelease> Message, typename Visit>
void VisitFields(Message& m, Visit visit) {
  visit(9, m.process_incarnation);
  visit(13, m.origin);
}

// An empty message of the kind that a number on the wire names; none: of a later build.
template <std::size_t kIndex = 0>
std::optional<AgreementMessage> MessageOfKind(std::size_t kind) {
  if constexpr (kIndex == std::variant_size_v<AgreementMessage>) {
    return std::nullopt;
  } else {
    if (kind == kIndex) return AgreementMessage(std::in_place_index<kIndex>);
    return MessageOfKind<kIndex + 1>(kind);
  }
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
  Put(&w, 5, v.known_identities);
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
        v.storage_identity = TakeStorageIdentity(&r);
        break;
      case 5:
        Take(&r, &v.known_identities);
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
  w.Number(1, p.sequence);
  w.Number(2, p.subject);
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
    if (r.field() == 1) p.sequence = r.Raw<std::uint32_t>();
    if (r.field() == 2) p.subject = r.Raw<std::uint64_t>();
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

std::string Encode(const AgreementMessage& message) {
  Writer w;
  w.Raw(static_cast<std::uint8_t>(message.index()));
  std::visit([&w](const auto& m) { VisitFields(m, FieldWriter{&w}); }, message);
  return w.Take();
}

std::optional<AgreementMessage> DecodeAgreementMessage(std::string_view bytes) {
  if (bytes.empty()) return std::nullopt;
  std::optional<AgreementMessage> message = MessageOfKind(static_cast<std::uint8_t>(bytes[0]));
  if (!message) return std::nullopt;
  Reader r(bytes.substr(1));
  while (r.Next()) {
    std::visit([&r](auto& m) { VisitFields(m, FieldReader{&r}); }, *message);
  }
  return r.ok() ? std::move(message) : std::nullopt;
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
    if (r.field() != 5 || n.records.size() >= MaintenanceGossip::kMaxRecords) continue;
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
