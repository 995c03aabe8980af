// Numbers of the simulator's protocol: a partly parsed or non-finite number would corrupt the state
// of a decision module.
#include "simulator_adapter/wire_line.h"

#include <gtest/gtest.h>

namespace millethollow::simulator_adapter {
namespace {

TEST(WireLineTest, ParsesOnlyCompleteFiniteNumbers) {
  const std::optional<double> value = ParseNumber("8.41225");
  ASSERT_TRUE(value);
  EXPECT_DOUBLE_EQ(*value, 8.41225);
  for (const char* malformed : {"", "x", "1x", "nan", "inf", "1e999"}) {
    EXPECT_FALSE(ParseNumber(malformed)) << malformed;
  }
  EXPECT_EQ(FormatSeconds(0.08), "0.08");
  EXPECT_EQ(FormatSeconds(2), "2");
  EXPECT_EQ(FormatSeconds(0.000004), "0.000004");
}

}  // namespace
}  // namespace millethollow::simulator_adapter
