// Parsing of settings: unknown names must not prevent a start, malformed or invalid values must.
#include "simulator_adapter/settings_reader.h"

#include <gtest/gtest.h>

namespace millethollow::simulator_adapter {
namespace {

constexpr char kStartLine[] =
    "START scheduler=3 rng_seed=7 balancers=1 ordinal=0 classes.count=1 classes.0.aim_s=0.1 "
    "classes.0.give_up_s=5 classes.0.semantics=repeatable limits.most_tries=3 zones=a kinds=k "
    "some.unknown=1";

TEST(SettingsReaderTest, ReadsKnownSettingsAndIgnoresUnknownOnes) {
  WireLine line;
  ASSERT_TRUE(SplitLine(kStartLine, &line));
  const Result<balancing::Settings> settings = ParseSettings(line.fields);
  ASSERT_TRUE(settings) << settings.error().message;
  EXPECT_EQ(settings->classes.size(), 1u);
  EXPECT_EQ(settings->max_attempts, 3);
  EXPECT_TRUE(settings->tenants.empty());
}

TEST(SettingsReaderTest, RejectsInvalidSettingsWithAReason) {
  for (const char* malformed :
       {"START a=1 classes.count=0", "START classes.count=1 classes.0.aim_s=-1",
        "START classes.count=x", "START classes.count=1 classes.0.semantics=sometimes"}) {
    WireLine line;
    ASSERT_TRUE(SplitLine(malformed, &line));
    const Result<balancing::Settings> settings = ParseSettings(line.fields);
    ASSERT_FALSE(settings) << malformed;
    EXPECT_FALSE(settings.error().message.empty());
  }
}

}  // namespace
}  // namespace millethollow::simulator_adapter
