// Sample messages of each kind with all fields of that kind. The program at commit 3865b00 encoded
// the same samples; the tests compare the current encoding with that.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_COMPATIBILITY_SAMPLES_H_
#define MILLETHOLLOW_TESTS_SUPPORT_COMPATIBILITY_SAMPLES_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "balancing/usage_report.h"
#include "copies/durable_job_queue.h"
#include "copies/idempotency_record.h"
#include "copies/records.h"
#include "core/request.h"
#include "membership/membership_node.h"
#include "millethollow/balancing/load_balancer.h"
#include "net/cluster/frame.h"
#include "net/link/frame.h"
#include "quota/types.h"

namespace millethollow::compatibility {

using membership::AgreementMessage;

inline cluster::Header SampleHeader() {
  return {.cluster = 0x1122334455667788,
          .from = 0x0102030405060708,
          .process_incarnation = 0xa1b2c3d4e5f60718,
          .sequence = 77};
}

inline membership::View SampleView() {
  membership::View view;
  view.epoch = 9;
  view.settled_epoch = 8;
  view.members = {
      {.id = 3,
       .process_incarnation = 31,
       .failure_domain = "rack-1",
       .joined_epoch = 2,
       .store_id = 0xd15c},
      {.id = 5, .process_incarnation = 51, .failure_domain = "", .joined_epoch = 7, .store_id = 0}};
  view.logs = {{.log = 0xabc01,
                .owner = 3,
                .process_incarnation = 31,
                .owner_epoch = 8,
                .version = 4,
                .replicas = {{.id = 3, .store_id = 0xd15c}, {.id = 5, .store_id = 0xd15d}}},
               {.log = 0xabd02,
                .owner = 0,
                .process_incarnation = 0,
                .owner_epoch = 0,
                .version = 1,
                .replicas = {}}};
  return view;
}

// The header of every message of a voter.
inline membership::VoterHeader SampleVoter() {
  return {.storage_identity = {.number = 2, .nonce = 0xfeed},
          .known_identities = {{3, {.number = 2, .nonce = 0xfeed}},
                               {5, {.number = 1, .nonce = 0xbeef}}},
          .writes = 12,
          .feature_level = membership::kLogsFeatureLevel};
}

inline std::map<std::string, AgreementMessage> SampleMessages() {
  using namespace membership;
  const VoterHeader voter = SampleVoter();
  std::map<std::string, AgreementMessage> all;
  all["membership-who"] = IdentityQuery{.voter = voter, .nonce = 0xfeed};
  all["membership-known"] =
      IdentityReply{.voter = voter, .nonce = 0xfeed, .writes_seen = 12, .never_promised = true};
  all["membership-claim"] = IdentityClaim{.voter = voter};
  all["membership-claimed"] = IdentityClaimAck{.voter = voter,
                                               .promised = {.round = 4, .proposer = 5},
                                               .accepted_by = {.round = 3, .proposer = 3},
                                               .accepted = SampleView()};
  all["membership-miss"] = LeaderLossQuery{.voter = voter, .query_number = 21};
  all["membership-missed"] =
      LeaderLossReply{.voter = voter, .promised = {}, .query_number = 21, .leader_lost = true};
  all["membership-prepare"] = Prepare{.voter = voter, .ballot = {.round = 6, .proposer = 3}};
  all["membership-promise"] = Promise{.voter = voter,
                                      .ballot = {.round = 6, .proposer = 3},
                                      .accepted_by = {.round = 5, .proposer = 5},
                                      .accepted = SampleView()};
  Propose propose{.voter = voter, .ballot = {.round = 6, .proposer = 3}, .view = SampleView()};
  propose.quorum.push_back({3, {.number = 2, .nonce = 0xfeed}});
  propose.quorum.push_back({5, {.number = 1, .nonce = 0xbeef}});
  all["membership-propose"] = propose;
  all["membership-accepted"] =
      Accepted{.voter = voter, .ballot = {.round = 6, .proposer = 3}, .epoch = 9};
  all["membership-refused"] = Rejection{.voter = voter, .promised = {.round = 7, .proposer = 5}};
  Heartbeat heartbeat{.voter = voter, .ballot = {.round = 6, .proposer = 3}, .sequence = 4711};
  heartbeat.quorum.push_back({3, {.number = 2, .nonce = 0xfeed}});
  all["membership-beat"] = heartbeat;
  all["membership-beaten"] =
      HeartbeatAck{.voter = voter, .ballot = {.round = 6, .proposer = 3}, .sequence = 4711};
  all["membership-decided"] = ViewDecided{.view = SampleView(), .origin = 5};
  all["membership-renew"] = LeaseRequest{.epoch = 9,
                                         .process_incarnation = 31,
                                         .requested_at_s = 123.0625,
                                         .origin = 5,
                                         .store_id = 0xd15c,
                                         .requested_logs = SampleView().logs};
  all["membership-grant"] = LeaseGrant{.ballot = {},
                                       .epoch = 9,
                                       .process_incarnation = 31,
                                       .requested_at_s = 123.0625,
                                       .duration_s = 3.75,
                                       .origin = 5};
  all["membership-elsewhere"] = LeaderRedirect{.ballot = {.round = 6, .proposer = 3}};
  all["membership-taken"] =
      IdentityConflict{.process_incarnation = 32, .both_present = true, .origin = 5};
  all["membership-release"] = LeaseRelease{.process_incarnation = 31, .origin = 5};
  return all;
}

inline std::map<std::string, membership::SwimMessage> SampleProbes() {
  using Kind = membership::SwimMessage::Kind;
  using membership::Health;
  std::map<std::string, membership::SwimMessage> all;
  all["detector-ping"] = {
      .kind = Kind::kPing,
      .sequence = 300,
      .subject = 0,
      .incarnation = 2,
      .digest = 0xd1,
      .updates = {{.member = 3, .incarnation = 1, .health = Health::kAlive, .suspected_by = 0}}};
  all["detector-ack"] = {.kind = Kind::kAck,
                         .sequence = 300,
                         .subject = 5,
                         .incarnation = 2,
                         .digest = 0xd2,
                         .updates = {}};
  all["detector-ping-for"] = {
      .kind = Kind::kPingRequest,
      .sequence = 301,
      .subject = 5,
      .incarnation = 0,
      .digest = 0xd3,
      .updates = {{.member = 5, .incarnation = 4, .health = Health::kSuspect, .suspected_by = 3},
                  {.member = 7, .incarnation = 4, .health = Health::kFailed, .suspected_by = 0}}};
  all["detector-nack"] = {.kind = Kind::kNack,
                          .sequence = 301,
                          .subject = 5,
                          .incarnation = 1,
                          .digest = 0xd4,
                          .updates = {}};
  all["detector-news"] = {
      .kind = Kind::kGossip,
      .sequence = 0,
      .subject = 0,
      .incarnation = 1,
      .digest = 0xd5,
      .updates = {{.member = 9, .incarnation = 8, .health = Health::kLeft, .suspected_by = 0}}};
  return all;
}

inline std::map<std::string, membership::MaintenanceGossip> SampleMaintenance() {
  std::map<std::string, membership::MaintenanceGossip> all;
  membership::MaintenanceGossip gossip;
  gossip.digest = 0xfac7;
  gossip.sequence = 12;
  gossip.acked_sequence = 11;
  gossip.request_all = true;
  membership::MaintenanceRecord record;
  record.worker = "toy-1";
  record.decisions = {{31, {3, 2}}, {51, {1, 0}}};
  gossip.records.push_back(record);
  record = {};
  record.worker = "toy-2";
  record.started_at_s = 1700000000.5;
  record.drain_state = membership::DrainState::kGone;
  gossip.records.push_back(record);
  all["facts"] = gossip;
  return all;
}

inline std::map<std::string, copies::ReplicationMessage> SampleReplication() {
  using copies::ReplicationMessage;
  using Kind = ReplicationMessage::Kind;
  std::map<std::string, ReplicationMessage> all;
  ReplicationMessage message{
      .kind = Kind::kStatusQuery, .log = 0xabc01, .epoch = 8, .store_id = 0xd15c};
  message.query_number = 5;
  all["copies-where"] = message;
  message = {.kind = Kind::kStatus, .log = 0xabc01, .epoch = 8, .store_id = 0xd15c};
  message.sequence = 40, message.commit_index = 38, message.end_sequence = 41;
  message.sequence_epoch = 8, message.end_epoch = 7;
  message.query_number = 5;
  message.process_incarnation = 31;
  message.snapshot_id = 2, message.chunk = 3;
  message.matched = true;
  all["copies-at"] = message;
  message = {.kind = Kind::kAppend, .log = 0xabc01, .epoch = 8, .store_id = 0xd15c};
  message.sequence = 40, message.commit_index = 38, message.sequence_epoch = 8;
  message.operations = {
      {.sequence = 41, .epoch = 8, .key = "H:a:1", .value = std::string("v\0w", 3), .erase = false},
      {.sequence = 42, .epoch = 8, .key = "H:a:2", .value = "", .erase = true}};
  all["copies-ops"] = message;
  message = {.kind = Kind::kSnapshotChunk, .log = 0xabc01, .epoch = 8, .store_id = 0xd15c};
  message.sequence = 40, message.commit_index = 40, message.sequence_epoch = 8;
  message.snapshot_id = 2, message.chunk = 3;
  message.last_chunk = true;
  message.operations = {
      {.sequence = 7, .epoch = 6, .key = "H:a:1", .value = "entry", .erase = false}};
  all["copies-fill"] = message;
  message = {.kind = Kind::kStaleStore, .log = 0xabc01, .epoch = 8, .store_id = 0xd15c};
  all["copies-lied"] = message;
  return all;
}

inline std::map<std::string, quota::Message> SampleQuota() {
  std::map<std::string, quota::Message> all;
  all["quota-report"] = quota::UsageReport{.epoch = 9,
                                           .sequence = 17,
                                           .full = true,
                                           .usages = {{.tenant = 0xaaaa,
                                                       .demand_rps = 12.5,
                                                       .lease_rps = 10,
                                                       .lease_remaining_s = 1.25,
                                                       .grant_number = 3},
                                                      {.tenant = 0xbbbb,
                                                       .demand_rps = 0,
                                                       .lease_rps = 0,
                                                       .lease_remaining_s = 0,
                                                       .grant_number = 0}}};
  all["quota-grant"] =
      quota::Grant{.epoch = 9,
                   .acked_sequence = 17,
                   .request_full_report = true,
                   .lease_duration_s = 3,
                   .assignments = {{.tenant = 0xaaaa, .rate_rps = 11.75, .grant_number = 4}},
                   .process_incarnation = 31};
  return all;
}

// Records of the store.
inline copies::LogHead SampleHead() {
  return {.applied = 38, .applied_epoch = 7, .epoch = 8, .snapshot_generation = 2};
}
inline copies::Operation SampleOperation() {
  return {
      .sequence = 41, .epoch = 8, .key = "H:a:1", .value = std::string("v\0w", 3), .erase = true};
}
inline copies::JobRecord SampleJob() {
  return {.handle = "H:a:1",
          .function = "charge",
          .unique_id = "u-1",
          .class_name = "cobro",
          .tenant = "andes",
          .body = std::string("b\0y", 3),
          .priority = 2,
          .attempts = {{.worker = "toy-1", .local_worker = true, .sequence = 41},
                       {.worker = "toy-2", .local_worker = false, .sequence = 0}}};
}
inline copies::IdempotencyRecord SampleKey() {
  return {.claim = {.node = 3, .process_incarnation = 31, .number = 6},
          .attempts = {{.worker = "toy-1", .local_worker = false, .sequence = 44}},
          .window_s = 40,
          .answered = true,
          .result = "200 done"};
}
inline membership::PersistentVoterState SampleVotes() {
  membership::PersistentVoterState votes;
  votes.promised = {.round = 6, .proposer = 3};
  votes.accepted_by = {.round = 5, .proposer = 5};
  votes.accepted = SampleView();
  votes.storage_identity = {.number = 2, .nonce = 0xfeed};
  votes.known_identities = {{5, {.number = 1, .nonce = 0xbeef}}};
  votes.writes = 12;
  return votes;
}

// Datagrams between peers: of a small tier, and of a large one, whose report takes several.
inline balancing::RowLayout SmallTier() { return {.tenants = 3}; }
inline balancing::RowLayout LargeTier() {
  return {.tenants = 60, .large_tier = true, .classes = 3, .kinds = 2};
}
inline balancing::UsageReport SampleUsage(const balancing::RowLayout& layout) {
  balancing::UsageReport report;
  report.reply_requested = report.receives_all = true;
  report.fleet_rate_rps = 77.5;
  report.view = 41;
  for (std::size_t i = 0; i < layout.size(); ++i)
    report.rates.push_back(0.5 + static_cast<double>(i));
  report.slots_in_flight = {{0x1234, 3}, {0xfedc, 17}};
  report.usage = {{.bucket = 1, .allowed = 4, .denied = 2},
                  {.bucket = 2, .allowed = 0, .denied = 9}};
  return report;
}

// Frames between forwarders and planners, and between the processes of a hot restart.
inline Outcome SampleOutcome() {
  return {.status = AttemptStatus::kServerError,
          .latency_s = 0.125,
          .client_error = true,
          .has_report = true,
          .report = {1, 2.5, 3, 4}};
}
inline balancing::Endpoint SampleEndpoint() {
  balancing::Endpoint m;
  m.worker = "toy-1";
  m.readiness = balancing::Readiness::kDraining;
  m.zone = 1, m.kind = 2, m.cell = -3;
  m.capacity_hint = 1.5;
  m.started_at_s = 1700000000.5;
  return m;
}
inline std::map<std::string, std::string> SampleLinkFrames() {
  using link::FrameKind;
  using link::Writer;
  std::map<std::string, std::string> all;
  all["link-taken"] = Writer(FrameKind::kRequestReceived)
                          .U64(5ULL << 48 | 7)
                          .Text("look")
                          .I32(2)
                          .Text("id-7")
                          .Text("about")
                          .F64(4.5)
                          .F64(2)
                          .F64(0.25)
                          .F64(0.0625)
                          .U8(1)
                          .U64(1000)
                          .Finish();
  all["link-client-gone"] = Writer(FrameKind::kRequestCancelled).U64(5ULL << 48 | 7).Finish();
  all["link-began"] = Writer(FrameKind::kAttemptStarted).U64(5ULL << 48 | 7).I32(1).Finish();
  all["link-ended"] =
      Writer(FrameKind::kAttemptEnded).U64(5ULL << 48 | 7).I32(1).Put(SampleOutcome()).Finish();
  all["link-probed"] =
      Writer(FrameKind::kProbeAnswered).Text("toy-1").Put(SampleOutcome()).Finish();
  all["link-worker"] = Writer(FrameKind::kWorkerChanged).Put(SampleEndpoint()).F64(8).Finish();
  all["link-welcome"] = Writer(FrameKind::kForwarderNumber).U64(5).Finish();
  all["link-address"] =
      Writer(FrameKind::kWorkerAddress).Text("toy-1").Text("127.0.0.1:9101").U64(12).Finish();
  all["link-send"] =
      Writer(FrameKind::kSendAttempt).U64(5ULL << 48 | 7).I32(1).Text("toy-1").Finish();
  all["link-cancel"] = Writer(FrameKind::kCancelAttempt).U64(5ULL << 48 | 7).I32(1).Finish();
  all["link-probe"] = Writer(FrameKind::kSendProbe).Text("toy-1").Finish();
  all["link-answer"] = Writer(FrameKind::kFinalAnswer)
                           .U64(5ULL << 48 | 7)
                           .U8(static_cast<std::uint8_t>(FinalAnswer::Kind::kRejected))
                           .I32(-1)
                           .F64(0.75)
                           .Finish();
  all["handover-hello"] = Writer(FrameKind::kStateRequest).I32(1).Finish();
  all["handover-socket"] = Writer(FrameKind::kSharedSocket).U8(2).Finish();
  all["handover-class"] = Writer(FrameKind::kClassName).Text("look").Finish();
  all["handover-known"] = Writer(FrameKind::kWorkerState)
                              .Put(SampleEndpoint())
                              .F64(12.5)
                              .F64(-1)
                              .Text("127.0.0.1:9101")
                              .U64(12)
                              .Finish();
  all["handover-ids"] = Writer(FrameKind::kWireIds)
                            .Raw(Writer(FrameKind::kWireIdUsed).Text("id-7").Finish().substr(5))
                            .Finish();
  all["handover-learned"] = Writer(FrameKind::kPlannerState).Raw("bytes").Finish();
  all["handover-told"] = Writer(FrameKind::kStateEnd).U64(44).Finish();
  all["handover-serving"] = Writer(FrameKind::kSuccessorServing).Finish();
  all["handover-client"] = Writer(FrameKind::kClientConnection).U8(1).Raw("GET / HT").Finish();
  all["handover-idle-worker"] =
      Writer(FrameKind::kWorkerConnection).Text("toy-1").F64(3.5).Finish();
  all["handover-mate"] = Writer(FrameKind::kPeerMessage).Raw("datagram").Finish();
  all["handover-use"] = Writer(FrameKind::kDescriptorUse).U64(10).U64(20).Finish();
  all["handover-ban"] = Writer(FrameKind::kMaintenance).Text("toy-1").U8(1).Finish();
  all["handover-down"] = Writer(FrameKind::kWorkerDown).Put(SampleEndpoint()).Finish();
  all["handover-id"] = Writer(FrameKind::kWireIdUsed).Text("id-7").Finish();
  return all;
}

// Settings for RunSampleEvents.
inline balancing::Settings SampleEventSettings() {
  balancing::Settings s;
  s.dispatcher_count = 2;
  s.tick_s = 0.005;
  s.classes.resize(2);
  s.classes[0].client_timeout_s = 5;
  s.classes[0].latency_objective_s = 0.2;
  s.classes[1].idempotency = balancing::Idempotency::kIdempotentWithKey;
  s.classes[1].deduplication_scope = balancing::DeduplicationScope::kCell;
  s.classes[1].deduplication_window_s = 4;
  s.classes[1].client_timeout_s = 8;
  s.classes[1].kind = 1;
  s.tenants.resize(3);
  for (std::size_t t = 0; t < 3; ++t)
    s.tenants[t] = {.share = 0.5 - 0.15 * static_cast<double>(t), .quota_rps = 6};
  s.zones = 2;
  s.kinds = 2;
  s.allow_hedging = s.peers = s.probing = s.retry_after = true;
  s.max_attempts = 4;
  s.max_retry_after_s = 2;
  s.load_report_source = balancing::LoadReportSource::kInline;
  s.load_report_metrics = {balancing::LoadMetric::kInFlight, balancing::LoadMetric::kQueued,
                           balancing::LoadMetric::kFreeSlots};
  s.slow_start_min_share = 0.2;
  s.slow_start_s = 10;
  s.drain_grace_s = 0.5;
  s.slow_start_load_multiple = 3;
  s.overload_for_s = 3;
  return s;
}

// Feeds a dispatcher with requests, a slow and a failing worker, a peer, maintenance and
// rejections.
inline void RunSampleEvents(balancing::LoadBalancer* balancer) {
  using namespace balancing;  // NOLINT
  Actions actions;
  std::vector<std::pair<double, std::uint64_t>> timers;
  std::vector<Endpoint> members;
  for (int w = 0; w < 6; ++w) {
    Endpoint m;
    m.worker = "w" + std::to_string(w);
    m.zone = w % 2, m.kind = w % 2, m.cell = w / 2;
    m.capacity_hint = 1 + 0.5 * (w % 3);
    m.started_at_s = w == 5 ? 1.5 : 0;
    m.slots = 4;
    members.push_back(m);
  }
  const UsageReport peer = SampleUsage(SmallTier());
  const std::string datagram = EncodeReport(peer, SmallTier()).front();
  std::vector<std::pair<std::string, std::string>> sent;  // request, worker; in order
  std::map<std::string, int> attempts;
  double now = 1;
  const auto handle = [&](const Event& event) {
    actions.clear();
    balancer->Handle(now, event, &actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action))
        sent.emplace_back(send->id, send->worker);
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers.emplace_back(now + timer->after_s, timer->timer_id);
    }
  };
  handle(DispatcherStarted{});
  handle(EndpointsUpdated{.kind = EndpointListKind::kSnapshot, .endpoints = &members});
  for (int step = 0; step < 400; ++step) {
    now = 1 + 0.02 * step;
    for (std::size_t t = 0; t < timers.size();) {
      if (timers[t].first > now) {
        ++t;
        continue;
      }
      const std::uint64_t mark = timers[t].second;
      timers.erase(timers.begin() + static_cast<std::ptrdiff_t>(t));
      handle(TimerFired{mark});
      t = 0;
    }
    const std::string id = "r" + std::to_string(step);
    const std::string key = step % 3 == 0 ? "k" + std::to_string(step % 12) : "";
    RequestArrived job{.id = id,
                       .expires_s = now + 5,
                       .slots = 1,
                       .tenant = step % 3,
                       .class_index = step % 3 == 0 ? 1 : 0,
                       .key = key,
                       .size_hint_s = 0.05};
    handle(job);
    if (step % 25 == 3) handle(PeerMessage{.sender = 1, .body = datagram});
    if (step == 120) handle(MaintenanceChanged{.worker = "w3", .out_of_service = true});
    if (step == 200) handle(MaintenanceChanged{.worker = "w3", .out_of_service = false});
    // Attempts end in the order of sending, three steps or more after it.
    for (int n = 0; n < 2 && sent.size() > 3; ++n) {
      const auto [request, worker] = sent.front();
      sent.erase(sent.begin());
      const int attempt = attempts[request]++;
      AttemptEnded end{.id = request,
                       .attempt = attempt,
                       .status = AttemptStatus::kSucceeded,
                       .latency_s = worker == "w4" ? 0.3 : 0.05};
      if (worker == "w2" && step % 2 == 0) end.status = AttemptStatus::kServerError;
      if (worker == "w1" && step % 5 == 0) end.status = AttemptStatus::kRejected;
      end.has_report = true;
      end.report[0] = step % 4, end.report[1] = step % 2, end.report[2] = 4 - step % 4;
      handle(end);
    }
  }
}

}  // namespace millethollow::compatibility

#endif  // MILLETHOLLOW_TESTS_SUPPORT_COMPATIBILITY_SAMPLES_H_
