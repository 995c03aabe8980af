// Names on the wire and in the code. Each field is given by its name on the wire, followed by the
// member of the event where that differs:
//
//   message      event               fields
//   INGRESS      RequestArrived      msg_id id, expires_s, slots, ram_units memory, party tenant,
//                                    cls class_index, again_by_client retry, target_key key,
//                                    size_hint_s
//   ACCEPTED     StreamStarted       msg_id id, hop attempt
//   UPDATE_OF    AttemptProgress     msg_id id, hop attempt, kind (1 started, 2 progress), amount
//   COMPLETED    AttemptEnded        msg_id id, hop attempt, verdict status, latency_s, terminal,
//                                    health_info report
//   ABORTED      RequestCancelled    msg_id id
//   WAKE         TimerFired          mark timer_id
//   STATUS_BACK  ProbeAnswered       worker, verdict status, latency_s, health_info report
//   NOTE_FROM    PeerMessage         sender, body
//   PEERS_KNOWN  EndpointsUpdated    kind, list (a number) endpoints
//   ENTRY        an Endpoint         worker, readiness, hall zone, generation_hw kind,
//                                    unit_group cell, capacity_hint, born_s started_at_s
#include "simulator_adapter/event_reader.h"

#include <array>
#include <cstddef>
#include <iterator>

#include "simulator_adapter/base64.h"

namespace millethollow::simulator_adapter {
namespace {

using balancing::AttemptStatus;
using balancing::EndpointListKind;
using balancing::ProgressKind;
using balancing::Readiness;

constexpr NamedValue<AttemptStatus> kAttemptStatuses[] = {
    {"served", AttemptStatus::kSucceeded},
    {"server_error", AttemptStatus::kServerError},
    {"turned_away", AttemptStatus::kRejected},
    {"no_answer", AttemptStatus::kNoResponse},
    {"no_connection", AttemptStatus::kConnectFailed},
    {"connection_lost", AttemptStatus::kConnectionLost},
    {"called_off", AttemptStatus::kCancelled},
    {"not_sent", AttemptStatus::kNotSent},
};
constexpr NamedValue<Readiness> kReadinesses[] = {
    {"ready", Readiness::kReady},
    {"draining", Readiness::kDraining},
    {"gone", Readiness::kGone},
};
constexpr NamedValue<EndpointListKind> kListKinds[] = {
    {"update", EndpointListKind::kIncremental},
    {"replace", EndpointListKind::kSnapshot},
    {"restored", EndpointListKind::kRestored},
    {"unavailable", EndpointListKind::kUnavailable},
};
constexpr std::int64_t kStartedCode = 1, kProgressCode = 2;

AttemptStatus ReadStatus(FieldReader* fields) {
  return fields->RequiredName("verdict", kAttemptStatuses, "unknown verdict");
}

// Reads the values of a load report; ignores values beyond the capacity of the event.
template <std::size_t N>
void ReadLoadReport(FieldReader* fields, bool* has_report, double (&report)[N]) {
  const std::string_view text = fields->TextOrEmpty("health_info");
  *has_report = !text.empty();
  std::size_t i = 0;
  for (const std::string_view part : SplitAtCommas(text)) {
    const std::optional<double> value = ParseNumber(part);
    if (!value) return fields->Fail("bad number in 'health_info'");
    if (i < N) report[i] = *value;
    ++i;
  }
}

}  // namespace

Result<balancing::Endpoint> ReadEndpoint(const Fields& fields) {
  FieldReader reader(fields);
  balancing::Endpoint endpoint;
  endpoint.worker = reader.RequiredText("worker");
  endpoint.readiness = reader.RequiredName("readiness", kReadinesses, "unknown readiness");
  endpoint.zone = reader.IntOr("hall", 0);
  endpoint.kind = reader.IntOr("generation_hw", 0);
  endpoint.cell = reader.IntOr("unit_group", 0);
  endpoint.capacity_hint = reader.NumberOr("capacity_hint", endpoint.capacity_hint);
  endpoint.started_at_s = reader.NumberOr("born_s", endpoint.started_at_s);
  if (!reader.ok()) return tl::unexpected(reader.status().error());
  return endpoint;
}

std::optional<EventReader::Handler> EventReader::FindHandler(std::string_view message) {
  static constexpr NamedValue<Handler> kHandlers[] = {
      {"INGRESS", &EventReader::ReadRequestArrived},
      {"COMPLETED", &EventReader::ReadAttemptEnded},
      {"UPDATE_OF", &EventReader::ReadAttemptProgress},
      {"ACCEPTED", &EventReader::ReadStreamStarted},
      {"ABORTED", &EventReader::ReadRequestCancelled},
      {"WAKE", &EventReader::ReadTimerFired},
      {"STATUS_BACK", &EventReader::ReadProbeAnswered},
      {"NOTE_FROM", &EventReader::ReadPeerMessage},
      {"PEERS_KNOWN", &EventReader::ReadEndpointsUpdated},
  };
  return FindByName(kHandlers, message);
}

Result<std::optional<balancing::Event>> EventReader::Read(const WireLine& line) {
  const std::optional<Handler> handler = FindHandler(line.name);
  if (!handler) return MakeError(ErrorCode::kInvalidArgument, "unknown message skipped");
  FieldReader fields(line.fields);
  MaybeEvent event = (this->**handler)(&fields);
  if (!fields.ok()) return tl::unexpected(fields.status().error());
  return event;
}

EventReader::MaybeEvent EventReader::ReadRequestArrived(FieldReader* fields) {
  balancing::RequestArrived event;
  event.id = fields->RequiredText("msg_id");
  event.expires_s = fields->RequiredNumber("expires_s");
  event.class_index = fields->RequiredInt("cls");
  event.tenant = fields->IntOr("party", 0);
  event.slots = fields->NumberOr("slots", event.slots);
  event.memory = fields->NumberOr("ram_units", event.memory);
  event.size_hint_s = fields->NumberOr("size_hint_s", event.size_hint_s);
  event.retry = fields->IsSet("again_by_client");
  event.key = fields->TextOrEmpty("target_key");
  return event;
}

EventReader::MaybeEvent EventReader::ReadStreamStarted(FieldReader* fields) {
  balancing::StreamStarted event;
  event.id = fields->RequiredText("msg_id");
  event.attempt = fields->RequiredInt("hop");
  return event;
}

EventReader::MaybeEvent EventReader::ReadAttemptProgress(FieldReader* fields) {
  balancing::AttemptProgress event;
  event.id = fields->RequiredText("msg_id");
  event.attempt = fields->RequiredInt("hop");
  const std::int64_t kind = fields->RequiredInteger("kind");
  event.amount = fields->NumberOr("amount", event.amount);
  if (kind != kStartedCode && kind != kProgressCode) return std::nullopt;
  event.kind = kind == kStartedCode ? ProgressKind::kStarted : ProgressKind::kProgress;
  return event;
}

EventReader::MaybeEvent EventReader::ReadAttemptEnded(FieldReader* fields) {
  balancing::AttemptEnded event;
  event.id = fields->RequiredText("msg_id");
  event.attempt = fields->RequiredInt("hop");
  event.status = ReadStatus(fields);
  event.latency_s = fields->NumberOr("latency_s", event.latency_s);
  ReadLoadReport(fields, &event.has_report, event.report);
  event.terminal = fields->IsSet("terminal");
  return event;
}

EventReader::MaybeEvent EventReader::ReadRequestCancelled(FieldReader* fields) {
  return balancing::RequestCancelled{fields->RequiredText("msg_id")};
}

EventReader::MaybeEvent EventReader::ReadTimerFired(FieldReader* fields) {
  return balancing::TimerFired{fields->RequiredUnsigned("mark")};
}

EventReader::MaybeEvent EventReader::ReadProbeAnswered(FieldReader* fields) {
  balancing::ProbeAnswered event;
  event.worker = fields->RequiredText("worker");
  event.status = ReadStatus(fields);
  event.latency_s = fields->NumberOr("latency_s", event.latency_s);
  ReadLoadReport(fields, &event.has_report, event.report);
  return event;
}

EventReader::MaybeEvent EventReader::ReadPeerMessage(FieldReader* fields) {
  balancing::PeerMessage event;
  event.sender = fields->RequiredInt("sender");
  std::optional<std::string> body = DecodeBase64(fields->TextOrEmpty("body"));
  if (!body) fields->Fail("bad base64");
  peer_message_ = std::move(body).value_or("");
  event.body = peer_message_;
  return event;
}

EventReader::MaybeEvent EventReader::ReadEndpointsUpdated(FieldReader* fields) {
  balancing::EndpointsUpdated event;
  event.kind = fields->RequiredName("kind", kListKinds, "unknown kind of list");
  if (event.kind == EndpointListKind::kUnavailable) return event;
  event.endpoints = lists_->Find(fields->RequiredInteger("list"));
  if (event.endpoints == nullptr) fields->Fail("unknown list");
  return event;
}

}  // namespace millethollow::simulator_adapter
