// Reading of JSON that others send: values in place, whatever their depth and number.
#include "encoding/json_value.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config/config.h"
#include "net/discovery.h"
#include "net/http/worker_pool.h"
#include "support/support.h"

namespace millethollow {
namespace {

using encoding::JsonValue;

constexpr std::size_t kDeepNesting = 200'000;

std::string Nested(const std::string& opening, const std::string& closing, std::size_t depth) {
  std::string text;
  for (std::size_t i = 0; i < depth; ++i) text += opening;
  text += "1";
  for (std::size_t i = 0; i < depth; ++i) text += closing;
  return text;
}

TEST(JsonValue, FindsMembersOfEveryTypeInPlace) {
  const std::string text =
      " {\"a\" : [1, {\"b\":\"]}\"}, []] ,\"quote\\\"d\":\"x\\n\\u00e9\",\"t\":true,\"n\":null,"
      "\"i\":-12,\"f\":1.5e2,\"o\":{ }, \"a2\":\"\"} ";
  const auto object = JsonValue::Parse(text);
  ASSERT_TRUE(object);
  EXPECT_EQ(object->Find("a")->text(), "[1, {\"b\":\"]}\"}, []]");
  EXPECT_EQ(object->Find("quote\"d")->String(), "x\n\u00e9");
  EXPECT_EQ(object->Find("t")->Boolean(), true);
  EXPECT_EQ(object->Find("i")->Number(), -12);
  EXPECT_TRUE(object->Find("i")->is_integer());
  EXPECT_EQ(object->Find("f")->Number(), 150);
  EXPECT_FALSE(object->Find("f")->is_integer());
  EXPECT_TRUE(object->Find("o")->is_object());
  EXPECT_EQ(object->Find("a2")->String(), "");
  EXPECT_EQ(object->Find("n")->Number(), std::nullopt);
  EXPECT_EQ(object->Find("n")->String(), std::nullopt);
  EXPECT_FALSE(object->Find("missing"));
  std::vector<std::string> elements;
  object->Find("a")->ForEachElement([&](const JsonValue& value) {
    elements.emplace_back(value.text());
    return elements.size() < 2;
  });
  EXPECT_EQ(elements, (std::vector<std::string>{"1", "{\"b\":\"]}\"}"}));
}

TEST(JsonValue, TakesTheLastOfEqualNames) {
  EXPECT_EQ(JsonValue::Parse(R"({"a":1,"a":2})")->Find("a")->Number(), 2);
}

TEST(JsonValue, RejectsWhatIsNotOneValidValue) {
  for (const char* text : {"", " ", "{", "}", "[1,]", "{\"a\"}", "{\"a\":1}}", "nul", "\"open",
                           "{\"a\":1} 2", "\"\xff\"", "[1 2]", "1e999"}) {
    EXPECT_FALSE(JsonValue::Parse(text)) << text;
  }
}

// Guards against recursion, and memory, by the depth of what a worker sends.
TEST(JsonValue, ReadsAWorkersLineOfAnyDepth) {
  const std::string result = Nested("[", "]", kDeepNesting);
  const std::string load = R"({"util":)" + Nested(R"({"a":)", "}", kDeepNesting) + ",\"qps\":3}";
  const std::string line =
      R"({"id":"a1","state":"done","load":)" + load + ",\"result\":" + result + "}";
  const http::JobLine job_line = http::ReadJobLine(line, "a1");
  EXPECT_EQ(job_line.kind, http::JobLine::Kind::kDone);
  EXPECT_EQ(job_line.result, result);
  Outcome outcome;
  http::ReadReport(job_line.load, {"util", "qps"}, &outcome);
  EXPECT_EQ(outcome.report[0], 0);
  EXPECT_EQ(outcome.report[1], 3);
}

TEST(JsonValue, AWorkersResultStaysAsItCame) {
  const auto result_of = [](const std::string& result) {
    return http::ReadJobLine(R"({"id":"a1","state":"done","result":)" + result + "}", "a1").result;
  };
  EXPECT_EQ(result_of(R"({"b": 1.50, "a":[ ]})"), R"({"b": 1.50, "a":[ ]})");
  EXPECT_EQ(result_of(R"("te\"xt")"), "te\"xt");
  EXPECT_EQ(result_of("null"), "null");
}

// Guards against memory by the depth of a list of workers, and by its number of entries.
TEST(JsonValue, ReadsAListOfAnyDepthAndRejectsOneOfTooManyEntries) {
  const std::string entry = R"({"id":"w","extra":)" + Nested("[", "]", kDeepNesting) + "}";
  EndpointList list;
  std::string error;
  ASSERT_TRUE(ReadEndpointList(R"({"version":7,"full":true,"servers":[)" + entry + "]}", {}, {},
                               &list, &error))
      << error;
  EXPECT_EQ(list.version, 7);
  EXPECT_TRUE(list.full);
  ASSERT_EQ(list.entries.size(), 1u);
  EXPECT_EQ(list.entries[0].endpoint.worker, "w");
  std::string servers;
  for (int i = 0; i < 70'000; ++i) servers += R"({"id":"w"},)";
  EndpointList long_list;
  EXPECT_FALSE(ReadEndpointList("{\"servers\":[" + servers + "{\"id\":\"w\"}]}", {}, {}, &long_list,
                                &error));
  EXPECT_EQ(error, "the list has too many entries");
}

// Guards against a process that ends with a segmentation fault on a configuration that is nested
// deeply, at its start or at SIGHUP.
TEST(JsonValue, ADeeplyNestedConfigurationIsRejected) {
  const std::string known = R"("known":{"servers":)" + Nested("[", "]", kDeepNesting) + "}";
  for (const std::string& text : {"{" + known + "}", "{\"settings\":{" + known + "}}"}) {
    Config config;
    std::string error;
    EXPECT_FALSE(ReadConfig(text, &config, &error));
    EXPECT_EQ(error, "configuration: values are nested too deeply");
  }
}

}  // namespace
}  // namespace millethollow
