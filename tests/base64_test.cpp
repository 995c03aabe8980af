// Base64 of peer messages: every length of padding must round-trip, malformed text must be
// rejected.
#include "simulator_adapter/base64.h"

#include <gtest/gtest.h>

#include <string>

namespace millethollow::simulator_adapter {
namespace {

TEST(Base64Test, RoundTripsEveryLength) {
  std::string bytes;
  for (int i = 0; i < 300; ++i) {
    EXPECT_EQ(DecodeBase64(EncodeBase64(bytes)), bytes) << i;
    bytes.push_back(static_cast<char>(i * 37));
  }
  EXPECT_EQ(EncodeBase64("hi 7"), "aGkgNw==");
  EXPECT_EQ(EncodeBase64(""), "-");
}

TEST(Base64Test, RejectsMalformedText) {
  EXPECT_FALSE(DecodeBase64("aGk"));
  EXPECT_FALSE(DecodeBase64("a=k="));
  EXPECT_FALSE(DecodeBase64("aG*g"));
}

}  // namespace
}  // namespace millethollow::simulator_adapter
