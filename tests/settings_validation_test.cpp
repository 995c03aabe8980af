// Validation of the decision module's settings. Usage reports have 16-bit tenant indices: with more
// tenants than these can encode, a report would count for the wrong tenant.
#include <gtest/gtest.h>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {
namespace {

TEST(SettingsValidationTest, RejectsMoreTenantsThanReportsCanIndex) {
  Settings settings;
  settings.classes.resize(1);
  settings.tenants.assign(60'000, {.share = 1});
  const Status valid = ValidateSettings(settings);
  EXPECT_TRUE(valid.has_value()) << valid.error().message;
  settings.tenants.push_back({.share = 1});
  const Status invalid = ValidateSettings(settings);
  EXPECT_FALSE(invalid.has_value());
  EXPECT_EQ(invalid.error().message, "too many tenants");
}

}  // namespace
}  // namespace millethollow::balancing
