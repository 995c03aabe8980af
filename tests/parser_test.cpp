// The HTTP and Gearman parsers: valid messages split at random positions, malformed messages, and
// random bytes.
#include "net/http/parser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>

#include "net/gearman/packet.h"
#include "net/http/client_front.h"
#include "net/http/worker_pool.h"

namespace millethollow {
namespace {

using namespace std::string_literals;
using namespace std::string_view_literals;
constexpr unsigned kSeed = 20261201;

// A valid message and the body that the parser must return.
struct WholeMessage {
  http::Parser::Side side;
  std::string_view text;
  std::string_view body;
};
constexpr auto kRequest = http::Parser::Side::kRequest, kResponse = http::Parser::Side::kResponse;
const WholeMessage kWholeMessages[] = {
    {kRequest, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", ""},
    {kRequest, "POST /api HTTP/1.1\r\ncontent-length: 5\r\nA: \t b \r\n\r\nhello", "hello"},
    {kRequest,
     "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nT: "
     "1\r\n\r\n",
     "abcde"},
    {kResponse, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
    {kResponse, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503\r\nContent-Length: 0\r\n\r\n", ""},
    {kResponse, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
     "0123456789"},
};

TEST(HttpParser, ReadsMessagesSplitAtRandom) {
  std::mt19937 random(kSeed);
  for (const WholeMessage& whole : kWholeMessages) {
    for (int round = 0; round < 200; ++round) {
      http::Parser parser(whole.side, {});
      std::string body;
      std::string_view rest = whole.text;
      while (!rest.empty()) {
        const std::size_t count = std::min<std::size_t>(1 + random() % 9, rest.size());
        ASSERT_EQ(parser.Feed(rest.substr(0, count)), count) << whole.text;
        rest.remove_prefix(count);
        body += parser.TakeBody();
      }
      EXPECT_TRUE(parser.done()) << whole.text;
      EXPECT_EQ(body, whole.body);
    }
  }
}

TEST(HttpParser, StopsAtTheEndOfAMessage) {
  http::Parser parser(kRequest, {});
  const std::string_view two = "GET / HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
  EXPECT_EQ(parser.Feed(two), two.size() / 2);  // the second message is one byte longer
  EXPECT_TRUE(parser.done());
}

// Guards against reading Work-Hint, which is in microseconds, as seconds.
TEST(HttpParser, AWorkHintIsReadInMicrosecondsAndAnUnreadableOneIsLeftOut) {
  const http::FrontOptions options{.classes = {"job"}, .tenants = {}, .requires_key = {false}};
  const std::pair<std::string_view, double> kHints[] = {{"250000", 0.25},
                                                        {"1500.5", 0.0015005},
                                                        {"0", 0},
                                                        {"-3", 0},
                                                        {"nan", 0},
                                                        {"inf", 0},
                                                        {"12abc", 0},
                                                        {"", 0},
                                                        {"99999999999999", 0}};
  for (const auto& [text, seconds] : kHints) {
    http::Head head{.method = "POST", .target = "/api"};
    head.headers = {{"Request-Id", "r1"},
                    {"Request-Class", "job"},
                    {"Request-Timeout-Ms", "500"},
                    {"Work-Hint", std::string(text)}};
    ClientRequest client_request;
    double timeout_s = 0;
    std::string error;
    EXPECT_EQ(http::ReadRequest(head, options, &client_request, &timeout_s, &error), 0)
        << text << ": " << error;
    EXPECT_DOUBLE_EQ(client_request.request.size_hint_s, seconds) << text;
  }
}

TEST(HttpParser, ReportsTheStatusOfAMalformedMessage) {
  const auto error = [](const std::string& text, http::Parser::Side side = kRequest) {
    http::Parser parser(side, {});
    parser.Feed(text);
    return parser.error();
  };
  const std::string post = "POST /api HTTP/1.1\r\n";
  EXPECT_EQ(error(post + "Content-Length: x\r\n\r\n"), 400);
  EXPECT_EQ(error(post + "Content-Length: +5\r\n\r\n"), 400);
  EXPECT_EQ(error(post + "Content-Length: -5\r\n\r\n"), 400);
  EXPECT_EQ(error(post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n"), 400);
  EXPECT_EQ(error(post + "Content-Length: 5, 6\r\n\r\n"), 400);
  EXPECT_EQ(error(post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
  EXPECT_EQ(error(post + "Content-Length: 65537\r\n\r\n"), 413);
  EXPECT_EQ(error(post + "Content-Length: 99999999999999999999999\r\n\r\n"), 400);
  EXPECT_EQ(error(post + "Transfer-Encoding: chunked\r\n\r\nfffff\r\n"), 413);
  EXPECT_EQ(error(post + "Transfer-Encoding: gzip\r\n\r\n"), 501);
  EXPECT_EQ(error(post + "X : 1\r\n\r\n"), 400);
  EXPECT_EQ(error(post + "X: 1\n\r\n"), 400);
  EXPECT_EQ(error(post + "X: " + std::string(20000, 'a')), 431);
  EXPECT_EQ(error("GET / HTTP/2.0\r\n"), 505);
  EXPECT_EQ(error("GET /a b HTTP/1.1\r\n"), 400);
  EXPECT_EQ(error("HTTP/1.1 2x0 OK\r\n", kResponse), 400);
}

TEST(HttpParser, SurvivesRandomBytes) {
  std::mt19937 random(kSeed);
  for (int round = 0; round < 3000; ++round) {
    const WholeMessage& whole = kWholeMessages[random() % std::size(kWholeMessages)];
    std::string text(whole.text);
    for (int mutations = 1 + static_cast<int>(random() % 6); mutations > 0; --mutations) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    if (round % 3 == 0)
      std::generate(text.begin(), text.end(), [&] { return static_cast<char>(random()); });
    http::Parser parser(whole.side, {.head = 64, .body = 16});
    for (std::size_t position = 0;
         position < text.size() && parser.error() == 0 && !parser.done();) {
      const std::size_t count =
          parser.Feed(std::string_view(text).substr(position, 1 + random() % 7));
      ASSERT_TRUE(count > 0 || parser.error() != 0);
      position += count;
    }
    EXPECT_LE(parser.TakeBody().size(), 16u);
  }
}

TEST(JobLine, IsParsedIntoTheStateOfTheAttempt) {
  using Kind = http::JobLine::Kind;
  const auto kind = [](std::string_view line) { return http::ReadJobLine(line, "a1").kind; };
  EXPECT_EQ(kind(R"({"id":"a1","state":"started"})"), Kind::kStarted);
  EXPECT_EQ(kind(R"({"id":"a1","state":"returned"})"), Kind::kReturned);
  EXPECT_EQ(kind(R"({"id":"a1","state":"lost"})"), Kind::kLost);
  EXPECT_EQ(kind(R"({"id":"a1","state":"failed"})"), Kind::kFailed);
  EXPECT_EQ(http::ReadJobLine(R"({"id":"a1","state":"done","result":"r"})", "a1").result, "r");
  for (const char* bad : {R"({"id":"zz","state":"done","result":"r"})", R"({"state":"done"})", "[]",
                          "{", R"({"id":"a1","state":7})", R"({"id":"a1","state":"done"})"}) {
    EXPECT_EQ(kind(bad), Kind::kUnreadable) << bad;
  }
}

TEST(LoadReport, IsReadInBothForms) {
  for (const char* text : {"rate=4,busy=0.5,x0=3\r\n", R"({"busy":0.5,"x0":3,"rate":4})"}) {
    Outcome outcome;
    http::ReadReport(text, {"rate", "busy", "x0", "x1"}, &outcome);
    EXPECT_TRUE(outcome.has_report);
    EXPECT_EQ(outcome.report[0], 4);
    EXPECT_EQ(outcome.report[2], 3);
  }
  Outcome none;
  http::ReadReport("rate=x,=,,nan=nan,busy=nan", {"rate", "busy"}, &none);
  EXPECT_FALSE(none.has_report);
}

TEST(GearmanParser, ReadsMessagesSplitAtRandom) {
  std::mt19937 random(kSeed);
  using gearman::Message;
  using gearman::Type;
  std::string stream;
  std::vector<std::string> expected;
  for (std::uint32_t type = 1; type <= 42; ++type) {
    const std::string data(random() % 40, static_cast<char>('a' + type % 20));
    stream +=
        gearman::EncodePacket(Message::Form::kRequest, static_cast<Type>(type), {data, "\0x"sv});
    expected.push_back(std::to_string(type) + data + "\0\0x"s.substr(0, 3));
    if (type % 5 == 0) {
      stream += "status\r\n";
      expected.emplace_back("status");
    }
  }
  for (int round = 0; round < 100; ++round) {
    gearman::Parser parser(1000);
    std::vector<std::string> messages;
    for (std::size_t position = 0; position < stream.size();) {
      position += parser.Feed(std::string_view(stream).substr(position, 1 + random() % 17));
      ASSERT_EQ(parser.error(), nullptr);
      if (const auto message = parser.Take()) {
        messages.push_back(message->form == Message::Form::kLine
                               ? message->data
                               : std::to_string(static_cast<std::uint32_t>(message->type)) +
                                     message->data);
      }
    }
    ASSERT_EQ(messages, expected);
  }
}

TEST(GearmanParser, RejectsBadMagicAndOversizedMessages) {
  gearman::Parser wrong(1000), large(10), line(10);
  wrong.Feed("\0REX"sv);
  EXPECT_STREQ(wrong.error(), "bad_magic");
  large.Feed(gearman::EncodePacket(gearman::Message::Form::kRequest, gearman::Type::kEchoReq,
                                   {"01234567890"}));
  EXPECT_STREQ(large.error(), "packet_too_large");
  line.Feed(std::string(5000, 'x'));
  EXPECT_STREQ(line.error(), "line_too_long");
}

TEST(GearmanParser, SurvivesRandomBytes) {
  std::mt19937 random(kSeed);
  for (int round = 0; round < 3000; ++round) {
    std::string text = gearman::EncodePacket(gearman::Message::Form::kRequest,
                                             gearman::Type::kSubmitJob, {"f", "u", "data"}) +
                       "workers\n";
    for (int mutations = static_cast<int>(random() % 8); mutations > 0; --mutations) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    gearman::Parser parser(64);
    for (std::size_t position = 0; position < text.size() && parser.error() == nullptr;) {
      const std::size_t count =
          parser.Feed(std::string_view(text).substr(position, 1 + random() % 7));
      ASSERT_TRUE(count > 0 || parser.error() != nullptr);
      position += count;
      if (const auto message = parser.Take())
        gearman::SplitArguments(message->data, 1 + random() % 4, round % 2 == 0);
    }
  }
}

}  // namespace
}  // namespace millethollow
