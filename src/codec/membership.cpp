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

constexpr auto kLastSwimKind = SwimMessage::Kind::kGossip;

std::string EncodePair(std::uint64_t a, std::uint64_t b) {
  Writer writer;
  writer.Raw(a);
  writer.Raw(b);
  return writer.Take();
}
void Put(Writer* writer, std::uint8_t field, const Ballot& ballot) {
  if (ballot != Ballot{}) writer->Nested(field, EncodePair(ballot.round, ballot.proposer));
}
Ballot TakeBallot(Reader* reader) {
  Ballot ballot;
  ballot.round = reader->Raw<std::uint64_t>();
  ballot.proposer = reader->Raw<std::uint64_t>();
  return ballot;
}
void Put(Writer* writer, std::uint8_t field, const StorageIdentity& identity) {
  if (identity == StorageIdentity{}) return;
  Writer identity_writer;
  identity_writer.Raw(identity.number);
  identity_writer.Raw(identity.nonce);
  writer->Nested(field, identity_writer.bytes());
}
StorageIdentity TakeStorageIdentity(Reader* reader) {
  StorageIdentity identity;
  identity.number = reader->Raw<std::uint32_t>();
  identity.nonce = reader->Raw<std::uint64_t>();
  return identity;
}
void Put(Writer* writer, std::uint8_t field, const VoterIdentities& identities) {
  for (const VoterIdentity& identity : identities) {
    Writer identity_writer;
    identity_writer.Raw(identity.id);
    identity_writer.Raw(identity.storage_identity.number);
    identity_writer.Raw(identity.storage_identity.nonce);
    writer->Nested(field, identity_writer.bytes());
  }
}
void Take(Reader* reader, VoterIdentities* identities) {
  const auto id = reader->Raw<std::uint64_t>();
  const StorageIdentity identity = TakeStorageIdentity(reader);
  if (identities->size() >= kMaxVoters) return reader->Fail();
  identities->push_back({id, identity});
}
void Put(Writer* writer, std::uint8_t field, const std::vector<LogAssignment>& logs) {
  for (const LogAssignment& assignment : logs) {
    Writer log_writer;
    log_writer.Number(1, assignment.log);
    log_writer.Number(2, assignment.owner);
    log_writer.Number(3, assignment.process_incarnation);
    log_writer.Number(4, assignment.owner_epoch);
    log_writer.Number(5, assignment.version);
    for (const LogReplica& replica : assignment.replicas) {
      Writer replica_writer;
      replica_writer.Raw(replica.id);
      replica_writer.Raw(replica.store_id);
      log_writer.Nested(6, replica_writer.bytes());
    }
    writer->Nested(field, log_writer.bytes());
  }
}
bool Take(std::string_view bytes, std::vector<LogAssignment>* logs) {
  if (logs->size() >= kMaxLogs) return false;
  LogAssignment& assignment = logs->emplace_back();
  Reader reader(bytes);
  while (reader.Next()) {
    if (reader.field() == 1) assignment.log = reader.Raw<std::uint64_t>();
    if (reader.field() == 2) assignment.owner = reader.Raw<std::uint64_t>();
    if (reader.field() == 3) assignment.process_incarnation = reader.Raw<std::uint64_t>();
    if (reader.field() == 4) assignment.owner_epoch = reader.Raw<std::uint64_t>();
    if (reader.field() == 5) assignment.version = reader.Raw<std::uint64_t>();
    if (reader.field() != 6) continue;
    if (assignment.replicas.size() >= kMaxReplicasPerLog) return false;
    const auto id = reader.Raw<std::uint64_t>();
    assignment.replicas.push_back({id, reader.Raw<std::uint64_t>()});
  }
  return reader.ok();
}
void Put(Writer* writer, std::uint8_t field, const View& view) {
  if (view.epoch == 0) return;
  Writer view_writer;
  view_writer.Number(1, view.epoch);
  view_writer.Number(3, view.settled_epoch);
  for (const ViewMember& member : view.members) {
    Writer member_writer;
    member_writer.Number(1, member.id);
    member_writer.Number(2, member.process_incarnation);
    member_writer.Text(3, member.failure_domain);
    member_writer.Number(4, member.joined_epoch);
    member_writer.Number(5, member.store_id);
    view_writer.Nested(2, member_writer.bytes());
  }
  Put(&view_writer, 4, view.logs);
  writer->Nested(field, view_writer.bytes());
}
bool Take(std::string_view bytes, View* view) {
  Reader reader(bytes);
  while (reader.Next()) {
    if (reader.field() == 1) view->epoch = reader.Raw<std::uint64_t>();
    if (reader.field() == 3) view->settled_epoch = reader.Raw<std::uint64_t>();
    if (reader.field() == 4 && !Take(reader.value(), &view->logs)) return false;
    if (reader.field() != 2) continue;
    if (view->members.size() >= kMaxMembers) return false;
    ViewMember& member = view->members.emplace_back();
    Reader member_reader(reader.value());
    while (member_reader.Next()) {
      if (member_reader.field() == 1) member.id = member_reader.Raw<std::uint64_t>();
      if (member_reader.field() == 2)
        member.process_incarnation = member_reader.Raw<std::uint64_t>();
      if (member_reader.field() == 3) member.failure_domain = member_reader.value();
      if (member_reader.field() == 4) member.joined_epoch = member_reader.Raw<std::uint64_t>();
      if (member_reader.field() == 5) member.store_id = member_reader.Raw<std::uint64_t>();
    }
    if (!member_reader.ok() || member.failure_domain.size() > kMaxFailureDomainBytes) return false;
  }
  return reader.ok();
}

// The fields of each message, in the order of their numbers.

// Writes fields that do not have their default value.
struct FieldWriter {
  Writer* writer;
  template <typename T>
  void operator()(std::uint8_t number, const T& value) const {
    if constexpr (std::is_same_v<T, bool>) {
      writer->Number(number, static_cast<std::uint8_t>(value));
    } else if constexpr (std::is_arithmetic_v<T>) {
      writer->Number(number, value);
    } else {
      Put(writer, number, value);
    }
  }
};

// Reads the current field of the reader if it has the given number.
struct FieldReader {
  Reader* reader;
  template <typename T>
  void operator()(std::uint8_t number, T& value) const {
    if (reader->field() != number) return;
    if constexpr (std::is_same_v<T, bool>) {
      value = reader->Raw<std::uint8_t>() != 0;
    } else if constexpr (std::is_arithmetic_v<T>) {
      value = reader->Raw<T>();
    } else if constexpr (std::is_same_v<T, Ballot>) {
      value = TakeBallot(reader);
    } else if constexpr (std::is_same_v<T, StorageIdentity>) {
      value = TakeStorageIdentity(reader);
    } else if constexpr (std::is_same_v<T, VoterIdentities>) {
      Take(reader, &value);
    } else if (!Take(reader->value(), &value)) {
      reader->Fail();
    }
  }
};

template <typename T, typename Message>
concept SameMessage = std::is_same_v<std::remove_const_t<T>, Message>;

// The fields of VoterHeader, which all messages between voters have in common.
template <typename Visit>
void VisitIdentities(auto& header, Visit visit) {
  visit(4, header.storage_identity);
  visit(5, header.known_identities);
}
template <typename Visit>
void VisitWritesAndFeatureLevel(auto& header, Visit visit) {
  visit(8, header.writes);
  visit(16, header.feature_level);
}

template <SameMessage<IdentityQuery> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  VisitIdentities(message.voter, visit);
  visit(7, message.nonce);
  VisitWritesAndFeatureLevel(message.voter, visit);
}
template <SameMessage<IdentityReply> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  VisitIdentities(message.voter, visit);
  visit(7, message.nonce);
  visit(8, message.writes_seen);
  visit(12, message.never_promised);
  visit(16, message.voter.feature_level);
}
template <SameMessage<IdentityClaim> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  VisitIdentities(message.voter, visit);
  visit(7, message.nonce);
  VisitWritesAndFeatureLevel(message.voter, visit);
}
template <SameMessage<IdentityClaimAck> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(1, message.promised);
  visit(2, message.accepted_by);
  visit(3, message.accepted);
  VisitIdentities(message.voter, visit);
  VisitWritesAndFeatureLevel(message.voter, visit);
}
template <SameMessage<LeaderLossQuery> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  VisitIdentities(message.voter, visit);
  visit(7, message.query_number);
  VisitWritesAndFeatureLevel(message.voter, visit);
}
template <SameMessage<LeaderLossReply> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(1, message.promised);
  VisitIdentities(message.voter, visit);
  visit(7, message.query_number);
  visit(8, message.voter.writes);
  visit(12, message.leader_lost);
  visit(16, message.voter.feature_level);
}
template <SameMessage<Prepare> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(1, message.ballot);
  VisitIdentities(message.voter, visit);
  VisitWritesAndFeatureLevel(message.voter, visit);
}
template <SameMessage<Promise> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(1, message.ballot);
  visit(2, message.accepted_by);
  visit(3, message.accepted);
  VisitIdentities(message.voter, visit);
  VisitWritesAndFeatureLevel(message.voter, visit);
}
template <SameMessage<Propose> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(1, message.ballot);
  visit(3, message.view);
  VisitIdentities(message.voter, visit);
  visit(6, message.quorum);
  VisitWritesAndFeatureLevel(message.voter, visit);
}
template <SameMessage<Accepted> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(1, message.ballot);
  VisitIdentities(message.voter, visit);
  visit(7, message.epoch);
  VisitWritesAndFeatureLevel(message.voter, visit);
}
template <SameMessage<Rejection> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(1, message.promised);
  VisitIdentities(message.voter, visit);
  VisitWritesAndFeatureLevel(message.voter, visit);
}
template <SameMessage<Heartbeat> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(1, message.ballot);
  VisitIdentities(message.voter, visit);
  visit(6, message.quorum);
  visit(7, message.sequence);
  VisitWritesAndFeatureLevel(message.voter, visit);
}
template <SameMessage<HeartbeatAck> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(1, message.ballot);
  VisitIdentities(message.voter, visit);
  visit(7, message.sequence);
  VisitWritesAndFeatureLevel(message.voter, visit);
}
template <SameMessage<ViewDecided> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(3, message.view);
  visit(13, message.origin);
}
template <SameMessage<LeaseRequest> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(7, message.epoch);
  visit(9, message.process_incarnation);
  visit(10, message.requested_at_s);
  visit(13, message.origin);
  visit(14, message.store_id);
  visit(15, message.requested_logs);
}
template <SameMessage<LeaseGrant> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(1, message.ballot);
  visit(7, message.epoch);
  visit(9, message.process_incarnation);
  visit(10, message.requested_at_s);
  visit(11, message.duration_s);
  visit(13, message.origin);
}
template <SameMessage<LeaderRedirect> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(1, message.ballot);
  visit(13, message.origin);
}
template <SameMessage<IdentityConflict> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(9, message.process_incarnation);
  visit(12, message.both_present);
  visit(13, message.origin);
}
template <SameMessage<LeaseRelease> Message, typename Visit>
void VisitFields(Message& message, Visit visit) {
  visit(9, message.process_incarnation);
  visit(13, message.origin);
}

// An empty message of the kind that has this number on the wire; nothing if a later version sent
// it.
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

std::string Encode(const PersistentVoterState& state) {
  Writer writer;
  Put(&writer, 1, state.promised);
  Put(&writer, 2, state.accepted_by);
  Put(&writer, 3, state.accepted);
  Put(&writer, 4, state.storage_identity);
  Put(&writer, 5, state.known_identities);
  writer.Number(6, state.writes);
  return writer.Take();
}

std::optional<PersistentVoterState> DecodeVoterState(std::string_view bytes) {
  PersistentVoterState state;
  Reader reader(bytes);
  while (reader.Next()) {
    switch (reader.field()) {
      case 1:
        state.promised = TakeBallot(&reader);
        break;
      case 2:
        state.accepted_by = TakeBallot(&reader);
        break;
      case 3:
        if (!Take(reader.value(), &state.accepted)) return std::nullopt;
        break;
      case 4:
        state.storage_identity = TakeStorageIdentity(&reader);
        break;
      case 5:
        Take(&reader, &state.known_identities);
        break;
      case 6:
        state.writes = reader.Raw<std::uint64_t>();
        break;
      default:
        break;
    }
  }
  return reader.ok() ? std::optional(std::move(state)) : std::nullopt;
}

std::string Encode(const SwimMessage& message) {
  Writer writer;
  writer.Raw(static_cast<std::uint8_t>(message.kind));
  writer.Number(1, message.sequence);
  writer.Number(2, message.subject);
  writer.Number(3, message.incarnation);
  writer.Number(4, message.digest);
  for (const GossipUpdate& update : message.updates) {
    Writer update_writer;
    update_writer.Raw(update.member);
    update_writer.Raw(update.incarnation);
    update_writer.Raw(static_cast<std::uint8_t>(update.health));
    if (update.suspected_by != 0) update_writer.Raw(update.suspected_by);
    writer.Nested(5, update_writer.bytes());
  }
  return writer.Take();
}

std::optional<SwimMessage> DecodeSwimMessage(std::string_view bytes) {
  if (bytes.empty() ||
      static_cast<std::uint8_t>(bytes[0]) > static_cast<std::uint8_t>(kLastSwimKind)) {
    return std::nullopt;
  }
  SwimMessage message;
  message.kind = static_cast<SwimMessage::Kind>(bytes[0]);
  Reader reader(bytes.substr(1));
  while (reader.Next()) {
    if (reader.field() == 1) message.sequence = reader.Raw<std::uint32_t>();
    if (reader.field() == 2) message.subject = reader.Raw<std::uint64_t>();
    if (reader.field() == 3) message.incarnation = reader.Raw<std::uint32_t>();
    if (reader.field() == 4) message.digest = reader.Raw<std::uint64_t>();
    if (reader.field() != 5) continue;
    GossipUpdate update;
    update.member = reader.Raw<std::uint64_t>();
    update.incarnation = reader.Raw<std::uint32_t>();
    const auto health = reader.Raw<std::uint8_t>();
    if (health > static_cast<std::uint8_t>(Health::kLeft)) continue;  // sent by a later version
    update.health = static_cast<Health>(health);
    if (!reader.value().empty()) update.suspected_by = reader.Raw<std::uint64_t>();
    if (message.updates.size() < SwimMessage::kMaxUpdates) message.updates.push_back(update);
  }
  return reader.ok() ? std::optional(std::move(message)) : std::nullopt;
}

std::string Encode(const AgreementMessage& message) {
  Writer writer;
  writer.Raw(static_cast<std::uint8_t>(message.index()));
  std::visit([&writer](const auto& body) { VisitFields(body, FieldWriter{&writer}); }, message);
  return writer.Take();
}

std::optional<AgreementMessage> DecodeAgreementMessage(std::string_view bytes) {
  if (bytes.empty()) return std::nullopt;
  std::optional<AgreementMessage> message = MessageOfKind(static_cast<std::uint8_t>(bytes[0]));
  if (!message) return std::nullopt;
  Reader reader(bytes.substr(1));
  while (reader.Next()) {
    std::visit([&reader](auto& body) { VisitFields(body, FieldReader{&reader}); }, *message);
  }
  return reader.ok() ? std::move(message) : std::nullopt;
}

std::string Encode(const MaintenanceGossip& gossip) {
  Writer writer;
  writer.Number(1, gossip.digest);
  writer.Number(2, gossip.sequence);
  writer.Number(3, gossip.acked_sequence);
  writer.Number(4, static_cast<std::uint8_t>(gossip.request_all));
  for (const MaintenanceRecord& record : gossip.records) {
    Writer record_writer;
    record_writer.Text(1, record.worker);
    for (const auto& [process_incarnation, decision] : record.decisions) {
      Writer decision_writer;
      decision_writer.Raw(process_incarnation);
      decision_writer.Raw(decision.taken_out);
      decision_writer.Raw(decision.put_back);
      record_writer.Nested(2, decision_writer.bytes());
    }
    record_writer.Number(3, record.started_at_s);
    record_writer.Number(4, static_cast<std::uint8_t>(record.drain_state));
    writer.Nested(5, record_writer.bytes());
  }
  return writer.Take();
}

std::optional<MaintenanceGossip> DecodeMaintenanceGossip(std::string_view bytes) {
  MaintenanceGossip gossip;
  Reader reader(bytes);
  while (reader.Next()) {
    if (reader.field() == 1) gossip.digest = reader.Raw<std::uint64_t>();
    if (reader.field() == 2) gossip.sequence = reader.Raw<std::uint64_t>();
    if (reader.field() == 3) gossip.acked_sequence = reader.Raw<std::uint64_t>();
    if (reader.field() == 4) gossip.request_all = reader.Raw<std::uint8_t>() != 0;
    if (reader.field() != 5 || gossip.records.size() >= MaintenanceGossip::kMaxRecords) continue;
    MaintenanceRecord& record = gossip.records.emplace_back();
    Reader record_reader(reader.value());
    while (record_reader.Next()) {
      if (record_reader.field() == 1) record.worker = record_reader.value();
      if (record_reader.field() == 3) record.started_at_s = record_reader.Raw<double>();
      if (record_reader.field() == 4)
        record.drain_state =
            static_cast<DrainState>(std::min<std::uint8_t>(record_reader.Raw<std::uint8_t>(), 2));
      if (record_reader.field() != 2 || record.decisions.size() >= kMaxDecisionsPerWorker) continue;
      const auto process_incarnation = record_reader.Raw<std::uint64_t>();
      const auto taken_out = record_reader.Raw<std::uint32_t>();
      record.decisions[process_incarnation] = {taken_out, record_reader.Raw<std::uint32_t>()};
    }
    if (!record_reader.ok() || record.worker.empty() || record.worker.size() > kMaxWorkerNameBytes)
      return std::nullopt;
  }
  return reader.ok() ? std::optional(std::move(gossip)) : std::nullopt;
}

}  // namespace millethollow::codec
