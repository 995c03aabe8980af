// Compatibility with the program at commit 3865b00: frames, datagrams, stored records, the state
// sent in a hot restart, settings, and the names of metrics must be read and written as by it.
// tests/data/compatibility/README.md describes how the files were made.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "codec/copies.h"
#include "codec/membership.h"
#include "codec/quota.h"
#include "config/config.h"
#include "net/handover/handover.h"
#include "net/handover/hot_restart.h"
#include "store/record_store.h"
#include "store/vote_file.h"
#include "support/compatibility_samples.h"
#include "support/compatibility_settings.h"
#include "support/folder.h"
#include "support/support.h"

namespace millethollow::compatibility {
namespace {

using Lines = std::vector<std::string>;

const std::string kData = MILLETHOLLOW_COMPATIBILITY_DATA;

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  EXPECT_TRUE(in) << path;
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

Lines LinesOf(const std::string& text) {
  Lines lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

std::string FromHex(std::string_view hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  }
  return bytes;
}

struct NamedBytes {
  std::string name, bytes;
};

// Reads a file with a name and bytes in hexadecimal on each line.
std::vector<NamedBytes> ReadHex(const std::string& file) {
  std::vector<NamedBytes> all;
  for (const std::string& line : LinesOf(ReadFile(kData + "/" + file))) {
    const std::size_t space = line.find(' ');
    all.push_back({line.substr(0, space), FromHex(std::string_view(line).substr(space + 1))});
  }
  EXPECT_FALSE(all.empty()) << file;
  return all;
}

std::map<std::string, std::string> ReadHexByName(const std::string& file) {
  std::map<std::string, std::string> all;
  for (NamedBytes& item : ReadHex(file)) all[item.name] = std::move(item.bytes);
  return all;
}

// ---- the cluster's frames ----

// Decodes a frame and encodes it again.
std::string EncodeAgain(const std::string& bytes) {
  cluster::Header header;
  cluster::Body body;
  EXPECT_EQ(cluster::Decode(bytes, &header, &body), cluster::DecodeError::kNone);
  const cluster::Header expected = SampleHeader();
  EXPECT_EQ(header.cluster, expected.cluster);
  EXPECT_EQ(header.from, expected.from);
  EXPECT_EQ(header.process_incarnation, expected.process_incarnation);
  EXPECT_EQ(header.sequence, expected.sequence);
  EXPECT_EQ(cluster::FrameLength(bytes), bytes.size());
  return cluster::Encode(header, body);
}

// Each old frame must decode to the sample that it was made of: encoding the sample, and encoding
// the decoded frame, must both yield the old bytes.
template <typename Samples>
void ExpectFrames(const Samples& samples, const std::map<std::string, std::string>& old) {
  for (const auto& [name, message] : samples) {
    SCOPED_TRACE(name);
    ASSERT_TRUE(old.contains(name));
    const std::string& bytes = old.at(name);
    cluster::Body body;
    if constexpr (std::is_constructible_v<membership::Frame, decltype(message)>) {
      body = membership::Frame(message);
    } else {
      body = message;
    }
    EXPECT_EQ(cluster::Encode(SampleHeader(), body), bytes);
    EXPECT_EQ(EncodeAgain(bytes), bytes);
  }
}

TEST(ClusterFrames, OfEachKindAreUnchanged) {
  const auto old = ReadHexByName("cluster-frames.hex");
  EXPECT_EQ(old.size(), 32U);
  EXPECT_EQ(SampleMessages().size(), 19U);
  EXPECT_EQ(SampleProbes().size(), 5U);
  ExpectFrames(SampleMessages(), old);
  ExpectFrames(SampleProbes(), old);
  ExpectFrames(SampleMaintenance(), old);
  ExpectFrames(SampleReplication(), old);
  ExpectFrames(SampleQuota(), old);
}

TEST(ClusterFrames, RecordedInAClusterAreUnchanged) {
  const auto recorded = ReadHex("cluster-frames-recorded.hex");
  EXPECT_EQ(recorded.size(), 56U);
  for (const auto& [name, bytes] : recorded) {
    SCOPED_TRACE(name);
    EXPECT_EQ(EncodeAgain(bytes), bytes);
  }
}

// ---- frames between forwarders and planners, and between the processes of a hot restart ----

// Decodes the fields of a frame, whose types `shape` lists, and encodes them again.
std::string EncodeAgain(const std::string& bytes, std::string_view shape) {
  link::FrameDecoder decoder;
  decoder.Feed(bytes);
  const std::optional<std::string> frame = decoder.Next();
  EXPECT_TRUE(frame);
  if (!frame) return {};
  link::Reader reader(*frame);
  link::Writer writer(reader.kind());
  for (const char type : shape) {
    if (type == 'B') writer.U8(reader.U8());
    if (type == 'U') writer.U64(reader.U64());
    if (type == 'I') writer.I32(reader.I32());
    if (type == 'R') writer.F64(reader.F64());
    if (type == 'T') writer.Text(reader.Text());
    if (type == 'O') writer.Put(reader.GetOutcome());
    if (type == 'E') writer.Put(reader.GetEndpoint());
    if (type == '*') writer.Raw(reader.Rest());
  }
  EXPECT_TRUE(reader.Complete());
  return writer.Finish();
}

TEST(LinkFrames, OfEachKindAreUnchanged) {
  const std::map<std::string, std::string> shapes{
      {"link-taken", "UTITTRRRRBU"},  {"link-client-gone", "U"}, {"link-began", "UI"},
      {"link-ended", "UIO"},          {"link-probed", "TO"},     {"link-worker", "ER"},
      {"link-welcome", "U"},          {"link-address", "TTU"},   {"link-send", "UIT"},
      {"link-cancel", "UI"},          {"link-probe", "T"},       {"link-answer", "UBIR"},
      {"handover-hello", "I"},        {"handover-socket", "B"},  {"handover-class", "T"},
      {"handover-known", "ERRTU"},    {"handover-ids", "T"},     {"handover-learned", "*"},
      {"handover-told", "U"},         {"handover-serving", ""},  {"handover-client", "B*"},
      {"handover-idle-worker", "TR"}, {"handover-mate", "*"},    {"handover-use", "UU"},
      {"handover-ban", "TB"},         {"handover-down", "E"},    {"handover-id", "T"}};
  const auto old = ReadHexByName("link-frames.hex");
  EXPECT_EQ(old.size(), shapes.size());
  const auto samples = SampleLinkFrames();
  for (const auto& [name, shape] : shapes) {
    SCOPED_TRACE(name);
    ASSERT_TRUE(old.contains(name) && samples.contains(name));
    EXPECT_EQ(samples.at(name), old.at(name));
    EXPECT_EQ(EncodeAgain(old.at(name), shape), old.at(name));
  }
}

// ---- the peers' datagrams ----

void ExpectDatagrams(const std::string& name, const balancing::RowLayout& layout,
                     std::size_t parts) {
  SCOPED_TRACE(name);
  Lines old;
  for (const NamedBytes& item : ReadHex("peer-datagrams.hex")) {
    if (item.name == name) old.push_back(item.bytes);
  }
  EXPECT_EQ(old.size(), parts);
  const balancing::UsageReport sample = SampleUsage(layout);
  EXPECT_EQ(balancing::EncodeReport(sample, layout), old);
  balancing::UsageReport whole;
  for (const std::string& datagram : old) {
    balancing::UsageReport part;
    ASSERT_TRUE(balancing::DecodeReport(datagram, layout, &part));
    EXPECT_EQ(part.fleet_rate_rps, sample.fleet_rate_rps);
    EXPECT_EQ(part.view, sample.view);
    EXPECT_TRUE(part.receives_all && part.reply_requested);
    EXPECT_EQ(part.first_index, whole.rates.size());
    if (part.BeginsRow()) whole = part;
    if (!part.BeginsRow()) {
      whole.rates.insert(whole.rates.end(), part.rates.begin(), part.rates.end());
    }
  }
  EXPECT_EQ(whole.rates, sample.rates);
  EXPECT_EQ(whole.slots_in_flight, sample.slots_in_flight);
  for (std::size_t u = 0; u < whole.usage.size(); ++u) {
    EXPECT_EQ(whole.usage[u].bucket, sample.usage[u].bucket);
    EXPECT_EQ(whole.usage[u].allowed, sample.usage[u].allowed);
    EXPECT_EQ(whole.usage[u].denied, sample.usage[u].denied);
  }
  EXPECT_EQ(balancing::EncodeReport(whole, layout), old);
}

TEST(PeerDatagrams, OfASmallTierAreUnchanged) { ExpectDatagrams("small-tier", SmallTier(), 1); }

TEST(PeerDatagrams, OfALargeTierInPartsAreUnchanged) {
  ExpectDatagrams("large-tier", LargeTier(), 2);
}

// ---- stored records ----

TEST(StoredRecords, AreUnchanged) {
  const auto old = ReadHexByName("stored-records.hex");
  EXPECT_EQ(old.size(), 8U);
  EXPECT_EQ(copies::Encode(SampleHead()), old.at("head"));
  EXPECT_EQ(copies::Encode(SampleOperation()), old.at("operation"));
  EXPECT_EQ(copies::Encode(SampleJob()), old.at("job"));
  EXPECT_EQ(copies::Encode(SampleKey()), old.at("key"));
  EXPECT_EQ(codec::Encode(SampleVotes()), old.at("votes"));
  EXPECT_EQ(copies::HeadKey(0xabc01), old.at("store-key-head"));
  EXPECT_EQ(copies::OperationKey(0xabc01, 41), old.at("store-key-operation"));
  EXPECT_EQ(copies::EntryKey(0xabc01, 2, "H:a:1"), old.at("store-key-entry"));
  const auto head = copies::DecodeLogHead(old.at("head"));
  const auto operation = copies::DecodeOperation(old.at("operation"));
  const auto job = copies::DecodeJob("H:a:1", old.at("job"));
  const auto key = copies::DecodeIdempotencyRecord(old.at("key"));
  const auto votes = codec::DecodeVoterState(old.at("votes"));
  ASSERT_TRUE(head && operation && job && key && votes);
  EXPECT_EQ(copies::Encode(*head), old.at("head"));
  EXPECT_EQ(copies::Encode(*operation), old.at("operation"));
  EXPECT_EQ(copies::Encode(*job), old.at("job"));
  EXPECT_EQ(copies::Encode(*key), old.at("key"));
  EXPECT_EQ(codec::Encode(*votes), old.at("votes"));
}

// The store of a voter with logs: entries, operations that were not applied yet, and workers in
// maintenance.
struct MemberFolder : Folder {
  MemberFolder() {
    for (const char* file : {"votes", "copies.db"}) {
      std::filesystem::copy(kData + "/member-folder/" + file, folder + "/" + file);
    }
  }
  const std::uint64_t cluster = codec::Hash("roast");
  const membership::NodeId self = codec::Hash("a");
};

TEST_F(MemberFolder, VotesAreRead) {
  store::VoteFile file;
  membership::PersistentVoterState votes;
  bool damaged = true;
  ASSERT_TRUE(file.Open(folder, cluster, self, WriteCallback(), &votes, &damaged, &error)) << error;
  EXPECT_FALSE(damaged);
  EXPECT_GT(votes.writes, 0U);
  EXPECT_EQ(votes.accepted.members.size(), 3U);
  EXPECT_EQ(votes.accepted.logs.size(), 3U);
  EXPECT_EQ(votes.known_identities.size(), 2U);
  EXPECT_GT(votes.promised.round, 0U);
  const std::string before = FileContents("votes");
  file.Write(votes, 1);
  ASSERT_TRUE(WaitForWrite(1));
  EXPECT_EQ(FileContents("votes"), before);
}

TEST_F(MemberFolder, LogsAndMaintenanceRecordsAreRead) {
  store::RecordStore store;
  ASSERT_TRUE(store.Open(folder, {cluster, self, 1}, 16 << 20, WriteCallback(), &error)) << error;
  EXPECT_NE(store.store_id(), 1U) << "the file was replaced by a new one";
  store::RecordStore::Records records;
  Lines damaged;
  ASSERT_TRUE(store.LoadLogs(&records, &damaged, &error)) << error;
  EXPECT_EQ(damaged, Lines{});
  std::size_t heads = 0, operations = 0;
  std::map<copies::LogId, copies::LogHead> logs;
  for (const auto& [key, value] : records) {
    const auto parts = copies::ParseStoreKey(key);
    ASSERT_TRUE(parts);
    if (parts->type == 'h') {
      const auto head = copies::DecodeLogHead(value);
      ASSERT_TRUE(head);
      EXPECT_EQ(copies::Encode(*head), value);
      logs[parts->log] = *head;
      heads += 1;
    } else {
      const auto operation = copies::DecodeOperation(value);
      ASSERT_TRUE(operation);
      EXPECT_EQ(copies::Encode(*operation), value);
      EXPECT_EQ(copies::OperationKey(parts->log, operation->sequence), key);
      operations += 1;
    }
  }
  EXPECT_EQ(heads, 3U);
  EXPECT_EQ(operations, 4U);
  std::size_t jobs = 0;
  for (const auto& [log, head] : logs) {
    records.clear();
    const std::string prefix = copies::EntryPrefix(log, head.snapshot_generation);
    ASSERT_TRUE(store.Load(prefix, &records, &damaged, &error)) << error;
    for (const auto& [key, value] : records) {
      const auto entry = copies::DecodeOperation(value);
      ASSERT_TRUE(entry);
      EXPECT_EQ(copies::Encode(*entry), value);
      EXPECT_EQ(prefix + entry->key, key);
      const auto job = copies::DecodeJob(entry->key, entry->value);
      ASSERT_TRUE(job);
      EXPECT_EQ(copies::Encode(*job), entry->value);
      EXPECT_TRUE(job->function == "consulta-plan" || job->function == "cobro-envio");
      EXPECT_TRUE(job->handle.starts_with("H:roast-a:"));
      jobs += 1;
    }
  }
  EXPECT_EQ(jobs, 8U);
  records.clear();
  ASSERT_TRUE(store.Load(copies::EntryPrefix(0, 0), &records, &damaged, &error)) << error;
  std::map<std::string, bool> in_maintenance;
  for (const auto& [key, value] : records) {
    const auto gossip = codec::DecodeMaintenanceGossip(value);
    ASSERT_TRUE(gossip && gossip->records.size() == 1);
    EXPECT_EQ(codec::Encode(*gossip), value);
    in_maintenance[gossip->records[0].worker] = gossip->records[0].InMaintenance();
  }
  EXPECT_EQ(damaged, Lines{});
  EXPECT_EQ(in_maintenance, (std::map<std::string, bool>{{"toy-0", false}, {"toy-1", true}}));
}

// ---- the state sent in a hot restart ----

TEST(BalancerState, IsUnchangedByRestoringAndSaving) {
  const std::string old = ReadHex("balancer-state.hex").front().bytes;
  balancing::LoadBalancer restored(SampleEventSettings(), 5);
  ASSERT_TRUE(restored.RestoreState(old, {0, 1}));
  EXPECT_EQ(restored.SaveState(), old);
  EXPECT_EQ(restored.Workers().size(), 6U);
}

TEST(BalancerState, IsUnchangedAfterTheSameEvents) {
  const std::string old = ReadHex("balancer-state.hex").front().bytes;
  balancing::LoadBalancer played(SampleEventSettings(), 11);
  RunSampleEvents(&played);
  EXPECT_EQ(played.SaveState(), old);
}

struct RecordedPacket {
  bool has_descriptor = false;
  std::string bytes;
};

std::vector<RecordedPacket> RecordedSession() {
  std::vector<RecordedPacket> all;
  for (const NamedBytes& item : ReadHex("handover-session.hex")) {
    all.push_back({item.name == "fd", item.bytes});
  }
  return all;
}

Config HandoverConfig() {
  Config config;
  std::string error;
  EXPECT_TRUE(ReadConfig(ReadFile(kData + "/handover-node.json"), &config, &error)) << error;
  return config;
}

struct Handover : Folder {
  Handover() { LogLevel() = Level::kError; }
  Loop host;
};

TEST_F(Handover, TheNewProcessAcceptsTheStateOfTheOldProgram) {
  std::unique_ptr<handover::SiblingConnection> old;
  handover::SiblingListener server(&host, [&](std::unique_ptr<handover::SiblingConnection> link) {
    old = std::move(link);
    old->Start(
        [&](link::Reader& frame, int) {
          if (frame.kind() != link::FrameKind::kStateRequest) return;
          for (const RecordedPacket& packet : RecordedSession()) {
            old->Send(packet.bytes, packet.has_descriptor ? open("/dev/null", O_RDONLY) : -1);
          }
        },
        [] {});
  });
  const std::string path = folder + "/handover.sock";
  ASSERT_TRUE(server.Listen(path));
  Loop loop;
  handover::HotRestart hot_restart(&loop, path);
  const handover::InheritedState inherited = hot_restart.RequestState([&] {
    host.deadlines().At(host.Now() + 0.001, [] {});
    host.Turn();
  });
  ASSERT_TRUE(inherited.complete);
  EXPECT_GE(inherited.client_listener, 0);
  EXPECT_GE(inherited.peer_socket, 0);
  EXPECT_EQ(inherited.gearman_listener, -1);
  for (const int fd : {inherited.client_listener, inherited.peer_socket}) close(fd);
  EXPECT_EQ(inherited.classes, (Lines{"consulta-plan", "cobro-envio"}));
  ASSERT_EQ(inherited.workers.size(), 2U);
  EXPECT_EQ(inherited.workers[0].endpoint.worker, "toy-0");
  EXPECT_LT(inherited.workers[0].maintenance_since, 0);
  EXPECT_EQ(inherited.workers[1].endpoint.worker, "toy-1");
  EXPECT_GT(inherited.workers[1].maintenance_since, 0);
  ASSERT_EQ(inherited.endpoints.size(), 2U);
  EXPECT_EQ(inherited.endpoints[0].address, "127.0.0.1:23405");
  EXPECT_EQ(inherited.wire_ids.size(), 30U);
  EXPECT_EQ(inherited.endpoint_list_version, 0);
  const Config config = HandoverConfig();
  balancing::LoadBalancer balancer(config.settings, 5);
  ASSERT_TRUE(balancer.RestoreState(inherited.planner_state, {0, 1}));
  EXPECT_EQ(balancer.SaveState(), inherited.planner_state);
}

TEST_F(Handover, TheOldProcessSendsTheSameStateAsTheOldProgram) {
  Config config = HandoverConfig();
  config.listen = config.peer_listen = "127.0.0.1:0";
  config.admin.clear();
  config.handover_directory = folder;
  Node node(config);
  ASSERT_TRUE(IsOk(node.Start()));
  Loop loop;
  auto link = handover::SiblingConnection::ConnectTo(
      &loop, folder + "/millethollow-" + config.name + "-127.0.0.1:0.sock");
  ASSERT_NE(link, nullptr);
  link->Send(link::Writer(link::FrameKind::kStateRequest).I32(1).Finish());
  std::vector<std::pair<link::FrameKind, std::string>> sent;
  ASSERT_TRUE(link->Receive(
      [&](link::Reader& frame, int fd) {
        if (fd >= 0) close(fd);
        sent.emplace_back(frame.kind(), frame.Rest());
      },
      [&] { return !sent.empty() && sent.back().first == link::FrameKind::kStateEnd; },
      loop.Now() + 5,
      [&] {
        node.loop().deadlines().At(node.loop().Now() + 0.001, [] {});
        node.loop().Turn();
      }));
  const auto recorded = RecordedSession();
  ASSERT_EQ(sent.size(), recorded.size());
  for (std::size_t i = 0; i < sent.size(); ++i) {
    SCOPED_TRACE(i);
    const auto kind = static_cast<link::FrameKind>(recorded[i].bytes[4]);
    const std::string fields = recorded[i].bytes.substr(5);
    EXPECT_EQ(sent[i].first, kind);
    if (kind == link::FrameKind::kPlannerState) {
      EXPECT_EQ(sent[i].second.size() > 0, fields.size() > 0);
    } else if (kind == link::FrameKind::kWireIds) {
      EXPECT_EQ(sent[i].second, "") << "this node has served no request";
    } else if (fields.find("toy-1") !=
               std::string::npos) {  // the time since which it is in maintenance differs
      EXPECT_EQ(sent[i].second.size(), fields.size());
    } else {
      EXPECT_EQ(sent[i].second, fields);
    }
  }
}

// ---- settings ----

TEST(SettingsFile, EachKeyHasTheSameMeaning) {
  Config config;
  std::string error;
  ASSERT_TRUE(ReadConfig(ReadFile(kData + "/settings.json"), &config, &error)) << error;
  EXPECT_EQ(LinesOf(FormatValues(config)), LinesOf(ReadFile(kData + "/settings-values.txt")));
}

// ---- a node started on the store of the old program ----

// A cluster of one member, with three durable jobs, and `toy-1` in maintenance.
struct OldNode : Folder {
  OldNode() {
    LogLevel() = Level::kError;
    for (int i = 0; i < 2; ++i) workers.push_back(std::make_unique<FakeWorker>(&host));
    std::filesystem::create_directory(folder + "/store");
    for (const char* file : {"votes", "copies.db"}) {
      std::filesystem::copy(kData + "/node-folder/" + file, folder + "/store/" + file);
    }
    std::string text = ReadFile(kData + "/node.json");
    const auto replace = [&text](const std::string& name, const std::string& value) {
      for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name)) {
        text.replace(at, name.size(), value);
      }
    };
    for (const char* name : {"@HTTP@", "@ADMIN@", "@PEER@", "@CLUSTER@", "@GEARMAN@"}) {
      replace(name, "127.0.0.1:0");
    }
    replace("@STORE@", folder + "/store");
    replace("@WORKER0@", workers[0]->address());
    replace("@WORKER1@", workers[1]->address());
    EXPECT_TRUE(ReadConfig(text, &config, &error)) << error;
    node = std::make_unique<Node>(config);
    EXPECT_TRUE(IsOk(node->Start()));
  }
  ~OldNode() override { node.reset(); }
  template <typename Done>
  bool Until(Done done, double timeout_s) {
    const double until = host.Now() + timeout_s;
    bool reached = done();
    while (!reached && host.Now() < until) {
      for (Loop* loop : {&host, &node->loop()}) {
        loop->deadlines().At(loop->Now() + 0.001, [] {});
        loop->Turn();
      }
      reached = done();
    }
    return reached;
  }
  std::string Get(const std::string& path) {
    RawClient caller(&host, node->admin_address());
    caller.Write("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(Until([&] { return caller.ended; }, 5)) << path;
    return caller.received.substr(caller.received.find("\r\n\r\n") + 4);
  }
  Loop host;
  std::vector<std::unique_ptr<FakeWorker>> workers;
  Config config;
  std::unique_ptr<Node> node;
};

// Collects the path and type of each value in a JSON document.
void AddJsonPaths(const nlohmann::json& value, const std::string& at,
                  std::set<std::string>* paths) {
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) {
      AddJsonPaths(item, at.empty() ? key : at + "." + key, paths);
    }
  } else if (value.is_array()) {
    if (value.empty()) paths->insert(at + "[]");
    for (const auto& item : value) AddJsonPaths(item, at + "[]", paths);
  } else {
    const char* type = value.is_string()         ? "str"
                       : value.is_boolean()      ? "bool"
                       : value.is_number_float() ? "float"
                                                 : "int";
    paths->insert(at + " " + type);
  }
}

// The name and the kind of each line `name:value|kind`.
Lines MetricNames(const std::string& text) {
  Lines names;
  for (const std::string& line : LinesOf(text)) {
    const std::size_t colon = line.find(':');
    EXPECT_NE(colon, std::string::npos) << line;
    names.push_back(line.substr(0, colon) + line.substr(line.find('|')));
  }
  return names;
}

TEST_F(OldNode, RunsTheDurableJobsAndKeepsTheWorkerInMaintenance) {
  const auto stats_contain = [this](const std::string& line) {
    return Get("/stats").find(line) != std::string::npos;
  };
  ASSERT_TRUE(Until([&] { return stats_contain("app.cluster.jobs.adopted:3|c"); }, 20));
  ASSERT_TRUE(Until([&] { return stats_contain("app.cluster.jobs.held:0|g"); }, 10));
  // The third is not idempotent, was attempted before, and its deduplication window has passed.
  EXPECT_TRUE(stats_contain("app.cluster.jobs.served:2|c"));
  EXPECT_TRUE(stats_contain("app.cluster.jobs.failed:1|c"));
  std::multiset<std::string> bodies;
  for (const FakeWorker::ReceivedRequest& got : workers[0]->requests) bodies.insert(got.body);
  EXPECT_EQ(bodies, (std::multiset<std::string>{"body 0", "body 1"}));
  EXPECT_EQ(workers[1]->requests.size(), 0U);
  const auto members = nlohmann::json::parse(Get("/members"));
  EXPECT_EQ(members["workers_out"], nlohmann::json::array({"toy-1"}));
}

TEST_F(OldNode, HasTheSameNamesOfMetrics) {
  const Lines expected_members = LinesOf(ReadFile(kData + "/members-names.txt"));
  std::set<std::string> members;
  EXPECT_TRUE(Until(
      [&] {
        members.clear();
        AddJsonPaths(nlohmann::json::parse(Get("/members")), "", &members);
        return Lines(members.begin(), members.end()) == expected_members;
      },
      20));
  EXPECT_EQ(Lines(members.begin(), members.end()), expected_members);
  const Lines stats = LinesOf(ReadFile(kData + "/stats-names.txt"));
  Lines names;
  // Quantiles of the commit latency are reported only after enough commits.
  EXPECT_TRUE(Until(
      [&] {
        std::vector<std::unique_ptr<RawClient>> calls;
        for (int i = 0; i < 16; ++i) {
          const std::string verb = i % 2 == 0 ? "maint" : "ready";
          calls.push_back(std::make_unique<RawClient>(&host, node->admin_address()));
          calls.back()->Write("PUT /workers/toy-0/" + verb + " HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        Until([&] { return std::ranges::all_of(calls, [](const auto& c) { return c->ended; }); },
              3);
        names = MetricNames(Get("/stats"));
        return names == stats;
      },
      20));
  EXPECT_EQ(names, stats);
  std::ostringstream printed;
  node->PrintCounters(printed);
  const Lines lines = LinesOf(printed.str());
  ASSERT_FALSE(lines.empty());
  std::istringstream words(lines[0]);
  std::string word;
  words >> word;
  EXPECT_EQ(word, "counters");
  words >> word;
  EXPECT_EQ(word, config.name);
  Lines counters;
  while (words >> word) counters.push_back(word.substr(0, word.find('=')));
  EXPECT_EQ(counters, LinesOf(ReadFile(kData + "/counter-names.txt")));
}

}  // namespace
}  // namespace millethollow::compatibility
