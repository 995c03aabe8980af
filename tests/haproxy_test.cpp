// The HAProxy importer must convert what this program supports and report each line that it
// ignores; otherwise an operator loses settings without notice.
#include "config/haproxy.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>

#include "config/config.h"
#include "net/discovery.h"

namespace millethollow {
namespace {

const std::string kHaproxyFile = R"(global
  maxconn 200
  daemon
defaults base
  mode http
  timeout connect 250ms
  timeout server 6s
  timeout client 1m   # idle clients
  retries 2
frontend shop from base
  bind *:8080,127.0.0.1:8081
  acl old path_beg "/a b"
  default_backend roast
backend roast from base
  balance leastconn
  default-server weight 3
  server r1 127.0.0.1:9001 maxconn 4 check inter 2s
  server r2 127.0.0.1:9002 weight 1 disabled
  server r3 roaster.example:9003
listen ship
  bind 127.0.0.1:8082
  timeout server 1500
  server s1 127.0.0.1:9004 weight 0
)";

TEST(Haproxy, ConvertsProxiesAndReportsIgnoredLines) {
  HaproxyImport import;
  std::string error;
  ASSERT_TRUE(ImportHaproxy(kHaproxyFile, &import, &error)) << error;
  Config config;
  ASSERT_TRUE(ReadConfig(import.config, &config, &error)) << error;
  EXPECT_EQ(config.listen, "0.0.0.0:8080");
  EXPECT_EQ(config.classes, (std::vector<std::string>{"roast", "ship"}));
  EXPECT_EQ(config.settings.classes[0].client_timeout_s, 6);
  EXPECT_EQ(config.settings.classes[1].client_timeout_s, 1.5);
  EXPECT_EQ(config.settings.classes[1].kind, 1);
  EXPECT_EQ(config.settings.classes[0].idempotency, balancing::Idempotency::kNotIdempotent);
  EXPECT_EQ(config.connect_timeout_s, 0.25);
  EXPECT_EQ(config.settings.max_attempts, 3);  // section ship inherits the defaults above it
  EXPECT_EQ(config.max_sockets, 464u);
  EndpointList list;
  ASSERT_TRUE(ReadEndpointList(config.known_workers, config.zones, config.kinds, &list, &error));
  ASSERT_EQ(list.entries.size(), 3u);
  EXPECT_EQ(list.entries[0].endpoint.capacity_hint, 3);
  EXPECT_EQ(list.entries[0].max_in_flight, 4u);
  EXPECT_EQ(list.entries[1].endpoint.readiness, balancing::Readiness::kDraining);
  EXPECT_EQ(list.entries[2].endpoint.readiness, balancing::Readiness::kDraining);
  std::string notes;
  for (const std::string& note : import.notes) notes += note + "\n";
  for (const char* expected :
       {"line 3: not honoured: global 'daemon'", "line 8: not honoured: timeout client",
        "line 11: not honoured: bind 127.0.0.1:8081", "line 12: not honoured: 'acl' old",
        "line 15: not honoured: balance leastconn", "line 17: not honoured: server option 'check'",
        "line 17: not honoured: server option 'inter'", "line 19: not honoured: server address",
        "line 21: not honoured: bind 127.0.0.1:8082"}) {
    EXPECT_NE(notes.find(expected), std::string::npos) << expected << "\n" << notes;
  }
}

TEST(Haproxy, ReportsTheLineOfAnError) {
  const std::pair<const char*, const char*> cases[] = {
      {"bind :80\n", "line 1: "},
      {"listen a\n bind :80\n server x\n", "line 3: "},
      {"listen a\n bind :80\n server x 1.2.3.4:5 weight 300\n", "line 3: "},
      {"listen a\n timeout server 5q\n", "line 2: "},
      {"listen a\n bind \":80\n", "line 2: "},
      {"backend a\n bind :80\n", "line 2: "},
      {"frontend a\n bind :80\n default_backend b\n", "line 1: "},
      {"listen a\n bind :80\nlisten a\n", "line 3: "},
      {"backend a\n server x 1.2.3.4:5\n", "no section binds"},
  };
  for (const auto& [text, expected] : cases) {
    HaproxyImport import;
    std::string error;
    EXPECT_FALSE(ImportHaproxy(text, &import, &error)) << text;
    EXPECT_TRUE(error.starts_with(expected)) << error;
  }
}

TEST(Haproxy, ParsesTimesWithUnits) {
  EXPECT_EQ(HaproxySeconds("1500"), 1.5);
  EXPECT_EQ(HaproxySeconds("2m"), 120);
  EXPECT_EQ(HaproxySeconds("1d"), 86400);
  for (const char* bad : {"", "s", "5x", "-1s", "inf", "nan"})
    EXPECT_FALSE(HaproxySeconds(bad)) << bad;
}

TEST(Haproxy, HandlesMutatedFiles) {
  std::mt19937 random(20261201);
  for (int iteration = 0; iteration < 1000; ++iteration) {
    std::string text = kHaproxyFile;
    for (int mutations = 1 + static_cast<int>(random() % 20); mutations > 0; --mutations) {
      text[random() % text.size()] = "\n \"'\\#9a:s"[random() % 11];
    }
    HaproxyImport import;
    std::string error;
    Config config;
    if (ImportHaproxy(text, &import, &error)) {
      EXPECT_TRUE(ReadConfig(import.config, &config, &error)) << error << "\n" << text;
    } else {
      EXPECT_FALSE(error.empty());
    }
  }
}

}  // namespace
}  // namespace millethollow
