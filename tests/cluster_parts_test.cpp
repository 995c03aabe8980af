// Frames between members, the vote file, and the section `cluster` of the configuration.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include "codec/membership.h"
#include "config/cluster.h"
#include "encoding/fields.h"
#include "net/cluster/frame.h"
#include "store/vote_file.h"
#include "support/folder.h"

namespace millethollow {
namespace {

using membership::AgreementMessage;
using membership::SwimMessage;

membership::VoterHeader SampleVoter() {
  return {.storage_identity = {2, 77},
          .known_identities = {{1, {1, 5}}, {2, {2, 77}}},
          .writes = 3,
          .feature_level = 1};
}

membership::View SampleView() {
  return {.epoch = 9,
          .members = {{1, 11, "rack-1", 3, 41}, {2, 12, "", 9}},
          .settled_epoch = 8,
          .logs = {{5, 1, 11, 9, 2, {{1, 41}, {2, 42}}}, {6, 2, 0, 4, 1, {}}}};
}

AgreementMessage SamplePromise() {
  return membership::Promise{
      .voter = SampleVoter(), .ballot = {7, 2}, .accepted_by = {6, 1}, .accepted = SampleView()};
}

// Messages with the fields that a promise does not have.
std::vector<AgreementMessage> SampleMessages() {
  using namespace membership;
  return {
      LeaderLossReply{
          .voter = SampleVoter(), .promised = {7, 2}, .query_number = 21, .leader_lost = true},
      Propose{
          .voter = SampleVoter(), .ballot = {7, 2}, .view = SampleView(), .quorum = {{1, {1, 5}}}},
      LeaseRequest{.epoch = 9,
                   .process_incarnation = 11,
                   .requested_at_s = 12.5,
                   .origin = 3,
                   .store_id = 41,
                   .requested_logs = {{5, 1, 11, 0, 3, {{1, 41}}}}},
      LeaseGrant{.ballot = {7, 2},
                 .epoch = 9,
                 .process_incarnation = 11,
                 .requested_at_s = 12.5,
                 .duration_s = 4,
                 .origin = 3},
  };
}

membership::Frame SampleProbe() {
  return SwimMessage{
      .kind = SwimMessage::Kind::kAck,
      .sequence = 4,
      .subject = 2,
      .incarnation = 3,
      .digest = 99,
      .updates = {{5, 6, membership::Health::kSuspect, 1}, {2, 0, membership::Health::kLeft, 0}}};
}

membership::Frame SampleMaintenance() {
  membership::MaintenanceGossip gossip;
  gossip.sequence = 4;
  gossip.request_all = true;
  gossip.records = {{"w0", {{11, {2, 1}}}, 1700000000.5, membership::DrainState::kGone}};
  return gossip;
}

copies::ReplicationMessage SampleOperations() {
  copies::ReplicationMessage message{.kind = copies::ReplicationMessage::Kind::kAppend,
                                     .log = 0x101,
                                     .epoch = 4,
                                     .store_id = 41,
                                     .sequence = 6,
                                     .commit_index = 5};
  message.sequence_epoch = 3;
  message.query_number = 8;
  message.last_chunk = message.matched = true;
  message.operations = {{7, 4, "H:a:1", std::string(2000, 'x'), false}, {8, 4, "H:a:2", "", true}};
  return message;
}

std::string ExpectRoundTrip(const cluster::Body& frame) {
  cluster::Header header;
  cluster::Body read;
  std::string bytes =
      cluster::Encode({.cluster = 1, .from = 2, .process_incarnation = 3, .sequence = 4}, frame);
  EXPECT_EQ(cluster::Decode(bytes, &header, &read), cluster::DecodeError::kNone);
  EXPECT_EQ(header.process_incarnation, 3U);
  EXPECT_EQ(cluster::Encode(header, read), bytes) << "every field was decoded";
  return bytes;
}

TEST(ClusterFrame, RoundTripsAndRejectsTruncatedOrCorruptBytes) {
  std::uint64_t random_word = 1;
  std::vector<cluster::Body> frames = {membership::Frame(SamplePromise()), SampleProbe(),
                                       SampleMaintenance(), SampleOperations()};
  for (const AgreementMessage& message : SampleMessages()) {
    frames.emplace_back(message);
  }
  for (const cluster::Body& frame : frames) {
    const std::string bytes = ExpectRoundTrip(frame);
    cluster::Header header;
    cluster::Body read;
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      EXPECT_NE(cluster::Decode(bytes.substr(0, n), &header, &read), cluster::DecodeError::kNone)
          << n;
      std::string corrupt = bytes;
      corrupt[n] ^=
          static_cast<char>(1 + (random_word = random_word * 6364136223846793005ULL + 1) % 255);
      EXPECT_NE(cluster::Decode(corrupt, &header, &read), cluster::DecodeError::kNone) << n;
    }
  }
}

TEST(ClusterFrame, SkipsUnknownFieldsAndSurvivesRandomBytes) {
  const std::string bytes = codec::Encode(SamplePromise());
  encoding::Writer extended;
  extended.Bytes(bytes);
  extended.Number(200, std::uint64_t{5});
  extended.Text(201, std::string(300, 'x'));
  const auto read = codec::DecodeAgreementMessage(extended.bytes());
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(codec::Encode(*read), bytes);
  membership::Random random(3);
  for (int i = 0; i < 20000; ++i) {
    std::string random_bytes = i % 2 == 0 ? bytes : std::string(random.Below(80), '\0');
    for (char& c : random_bytes) {
      if (i % 2 == 1 || random.Below(20) == 0) c = static_cast<char>(random.NextUint64());
    }
    const auto message = codec::DecodeAgreementMessage(random_bytes);
    if (message) {
      std::visit(
          [](const auto& m) {
            if constexpr (requires { m.accepted.members; }) {
              EXPECT_LE(m.accepted.members.size(), codec::kMaxMembers);
            }
            if constexpr (requires { m.view.members; }) {
              EXPECT_LE(m.view.members.size(), codec::kMaxMembers);
            }
          },
          *message);
    }
    (void)codec::DecodeSwimMessage(random_bytes);
    (void)codec::DecodeMaintenanceGossip(random_bytes);
    (void)codec::DecodeVoterState(random_bytes);
  }
}

struct VoteFileTest : Folder {
  ~VoteFileTest() override { file.reset(); }
  bool Open(std::uint64_t cluster = 1, membership::NodeId self = 2) {
    file = std::make_unique<store::VoteFile>();
    votes = {};
    return file->Open(folder, cluster, self, WriteCallback(), &votes, &damaged, &error);
  }
  bool Write(const membership::PersistentVoterState& v) {
    file->Write(v, 7);
    return WaitForWrite(7);
  }
  static membership::PersistentVoterState SampleVotes() {
    return {.promised = {3, 2},
            .accepted_by = {2, 1},
            .accepted = {.epoch = 4, .members = {}, .settled_epoch = 0},
            .storage_identity = {1, 9},
            .known_identities = {},
            .writes = 5};
  }
  std::unique_ptr<store::VoteFile> file;
  membership::PersistentVoterState votes;
  bool damaged = false;
};

TEST_F(VoteFileTest, KeepsWhatWasWrittenAndIsLockedByOneProcess) {
  ASSERT_TRUE(Open()) << error;
  EXPECT_TRUE(Write(SampleVotes()));
  store::VoteFile second;
  membership::PersistentVoterState unused;
  bool bad = false;
  EXPECT_FALSE(second.Open(
      folder, 1, 2, [](std::uint64_t, bool) {}, &unused, &bad, &error));
  EXPECT_NE(error.find("in use"), std::string::npos) << error;
  file.reset();
  ASSERT_TRUE(Open()) << error;
  EXPECT_EQ(codec::Encode(votes), codec::Encode(SampleVotes()));
  EXPECT_FALSE(damaged);
}

TEST_F(VoteFileTest, TruncatedAtAnyByteIsDamagedAndSetAside) {
  ASSERT_TRUE(Open());
  Write(SampleVotes());
  file.reset();
  const std::string complete = FileContents("votes");
  for (std::size_t n = 0; n < complete.size(); ++n) {
    WriteFile("votes", complete.substr(0, n));
    ASSERT_TRUE(Open()) << error;
    EXPECT_TRUE(damaged) << n;
    EXPECT_EQ(votes.storage_identity.number, 0U) << n;
    file.reset();
  }
  EXPECT_TRUE(std::filesystem::exists(folder + "/votes.damaged"));
}

TEST_F(VoteFileTest, OfAnotherMemberOrALaterBuildIsNotOverwritten) {
  ASSERT_TRUE(Open());
  Write(SampleVotes());
  file.reset();
  const std::string complete = FileContents("votes");
  EXPECT_FALSE(Open(5, 2));
  EXPECT_NE(error.find("another cluster"), std::string::npos) << error;
  EXPECT_FALSE(Open(1, 5));
  EXPECT_NE(error.find("another member"), std::string::npos) << error;
  std::string later = complete.substr(0, complete.size() - 8);
  later[7] = 9;
  encoding::Writer hash;
  hash.Raw(codec::Hash(later));
  WriteFile("votes", later + hash.bytes());
  EXPECT_FALSE(Open());
  EXPECT_NE(error.find("of schema 9"), std::string::npos) << error;
  EXPECT_EQ(FileContents("votes"), later + hash.bytes()) << "nothing was overwritten";
}

TEST(ClusterSection, ReportsEachMistakeInOneLine) {
  const std::string three = R"([{"id":"a","address":"127.0.0.1:1","voter":true},
    {"id":"b","address":"127.0.0.1:2","voter":true},{"id":"c","address":"127.0.0.1:3","voter":true}])";
  const std::pair<std::string, std::string> cases[] = {
      {R"({"name":"x","self":"a","store":"s","members":)" + three + "}", ""},
      {R"({"name":"x y","self":"a","store":"s","members":)" + three + "}",
       "'name' must be one plain word"},
      {R"({"name":"x","self":"d","store":"s","members":)" + three + "}",
       "'self' names no member: 'd'"},
      {R"({"name":"x","self":"a","members":)" + three + "}", "'store' is missing"},
      {R"({"name":"x","self":"a","store":"s","members":[]})", "no members"},
      {R"({"name":"x","self":"a","store":"s","members":[{"id":"a","address":"h:1","voter":true},
         {"id":"a","address":"h:2"}]})",
       "two members 'a'"},
      {R"({"name":"x","self":"a","store":"s","members":[{"id":"a","address":"h:1","voter":true},
         {"id":"b","address":"h:1"}]})",
       "two members at h:1"},
      {R"({"name":"x","self":"a","store":"s","members":[{"id":"a","address":"h:1","voter":true},
         {"id":"b","address":"h:2","voter":true}]})",
       "must be voters, not 2"},
      {R"({"name":"x","self":"a","store":"s","membres":[]})", "unknown key 'cluster.membres'"},
      {R"({"name":"x","self":"a","store":"s","members":[{"id":"a","adress":"h:1"}]})",
       "unknown key 'cluster.members.0.adress'"},
      {R"({"name":"x","self":"a","store":"s","timings":{"lease_s":1},"members":)" + three + "}",
       "'lease_s' must be at least three times"},
      {R"({"name":"x","self":"a","store":"s","timings":{"probe_s":"1"},"members":)" + three + "}",
       "'cluster.timings.probe_s' is not a number from"},
      {R"({"name":"x","self":"a","store":"s","store_bytes":5,"members":)" + three + "}",
       "'cluster.store_bytes' is not a number from"},
      {R"({"name":"x","self":"a","store":"s","cut_off_part":2,"members":)" + three + "}",
       "'cluster.cut_off_part' is not a number from 0 to 1"},
      {R"({"name":"x","self":"a","store":"s","copies":2,"copies_least":3,"members":)" + three + "}",
       "'copies_least' must not be over 'copies'"},
      {R"({"name":"x","self":"a","store":"s","copies":5,"copies_least":4,"members":)" + three + "}",
       "'copies_least' is over the number of members"},
      {R"({"name":"x","self":"a","store":"s","jobs":{"running":0},"members":)" + three + "}",
       "'cluster.jobs.running' is not a number from"},
      {R"({"name":"x","self":"a","store":"s","jobs":{"again_least_s":9},"members":)" + three + "}",
       "'jobs.again_least_s' must not be over"},
      {"7", "'cluster' is not an object"},
  };
  for (const auto& [text, expected] : cases) {
    ClusterOptions options;
    std::string error;
    EXPECT_EQ(ReadCluster("{\"cluster\":" + text + "}", &options, &error), expected.empty())
        << text;
    EXPECT_NE(error.find(expected), std::string::npos) << error << " for " << text;
    EXPECT_EQ(error.find('\n'), std::string::npos);
    EXPECT_EQ(options.on(), expected.empty())
        << "a section with a mistake must not be applied in part";
  }
}

}  // namespace
}  // namespace millethollow
